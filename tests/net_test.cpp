#include "limeramp/dispatch/shard_result.h"
#include "limeramp/net/http.h"
#include "limeramp/net/ring.h"

#include <gtest/gtest.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <future>
#include <latch>
#include <thread>

namespace {

using namespace limeramp;
using namespace limeramp::net;
using Clock = std::chrono::steady_clock;
namespace asio = boost::asio;

Address const anyPort{"127.0.0.1", 0};

Exchange ask(HttpClient& client, std::uint64_t attempt, Address const& server, Request request) {
  std::promise<Exchange> promise;
  std::future<Exchange> future = promise.get_future();
  client.begin(attempt, server, std::move(request), Clock::now() + std::chrono::seconds(30),
               [&promise](Exchange exchange) { promise.set_value(std::move(exchange)); });
  return future.get();
}

class RawServer {
 public:
  RawServer(std::vector<std::string> answers, bool keepOpen)
      : acceptor_(context_, asio::ip::tcp::endpoint(asio::ip::make_address_v4("127.0.0.1"), 0)),
        address_{"127.0.0.1", acceptor_.local_endpoint().port()},
        thread_([this, answers = std::move(answers), keepOpen] { serve(answers, keepOpen); }) {}
  ~RawServer() { thread_.join(); }
  Address address() const { return address_; }
  int connections() const { return connections_; }

 private:
  void serve(std::vector<std::string> const& answers, bool keepOpen) {
    std::vector<asio::ip::tcp::socket> openSockets;
    for (std::size_t next = 0; next < answers.size();) {
      asio::ip::tcp::socket socket = acceptor_.accept();
      ++connections_;
      for (; next < answers.size(); ++next) {
        asio::streambuf buffer;
        boost::system::error_code error;
        asio::read_until(socket, buffer, "\r\n\r\n", error);
        if (error) {
          break;
        }
        asio::write(socket, asio::buffer(answers[next]), error);
        if (!keepOpen) {
          ++next;
          break;
        }
      }
      if (keepOpen) {
        openSockets.push_back(std::move(socket));
      }
    }
  }

  asio::io_context context_;
  asio::ip::tcp::acceptor acceptor_;
  Address address_;
  std::atomic<int> connections_{0};
  std::thread thread_;
};

TEST(Http, ConcurrentExchangesReceiveTheirOwnAnswers) {
  Network serverSide;
  Network clientSide;
  std::string error;
  std::unique_ptr<HttpServer> const server = HttpServer::listen(
      serverSide, anyPort, {},
      [](Request request, Responder respond) {
        respond({200, {{"x-method", request.method}}, request.target + "|" + request.body});
      },
      error);
  ASSERT_NE(server, nullptr) << error;
  HttpClient client(clientSide, {});
  std::latch remaining(300);
  std::atomic<int> correct{0};
  for (std::uint64_t number = 1; number <= 300; ++number) {
    std::string const body(number * 7, 'x');
    std::string const target = "/" + std::to_string(number);
    std::string expected = target;
    expected.append("|").append(body);
    client.begin(
        number, server->address(), {"POST", target, {}, body, ""}, Clock::now() + std::chrono::seconds(60),
        [&, expected](Exchange const& exchange) {
          correct +=
              exchange.answer && exchange.answer->body == expected && exchange.verdict == retry::Verdict::ran ? 1 : 0;
          remaining.count_down();
        });
  }
  remaining.wait();
  EXPECT_EQ(correct, 300);
  clientSide.stop();
  serverSide.stop();
}

TEST(Http, RefusedConnectionIsNotRunAndBrokenAnswerMayHaveRun) {
  Network network;
  HttpClient client(network, {64, 4, std::chrono::seconds(10)});
  std::uint16_t closedPort = 0;
  {
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, asio::ip::tcp::endpoint(asio::ip::make_address_v4("127.0.0.1"), 0));
    closedPort = acceptor.local_endpoint().port();
  }
  EXPECT_EQ(ask(client, 1, {"127.0.0.1", closedPort}, {"GET", "/", {}, "", ""}).verdict, retry::Verdict::notRun);
  for (std::string const answer :
       {"", "HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\nshort", "nonsense\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 500000\r\n\r\n", "HTTP/1.1 999 Odd\r\ncontent-length: 0\r\n\r\n"}) {
    RawServer server({answer}, false);
    Exchange const exchange = ask(client, 2, server.address(), {"GET", "/", {}, "", ""});
    EXPECT_FALSE(exchange.answer.has_value()) << answer;
    EXPECT_EQ(exchange.verdict, retry::Verdict::mayHaveRun) << answer;
  }
  network.stop();
}

TEST(Http, ReusesOnlyCleanConnections) {
  std::string const clean = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
  std::vector<std::pair<std::string, int>> const cases{
      {clean, 1},
      {clean + "HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nothers", 2},
      {"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok", 2}};
  for (std::pair<std::string, int> const& one : cases) {
    Network network;
    HttpClient client(network, {});
    RawServer server({one.first, clean}, true);
    EXPECT_EQ(ask(client, 1, server.address(), {"GET", "/", {}, "", ""}).answer->body, "ok");
    EXPECT_EQ(ask(client, 2, server.address(), {"GET", "/", {}, "", ""}).answer->body, "ok");
    EXPECT_EQ(server.connections(), one.second) << one.first;
    network.stop();
  }
}

TEST(Http, MalformedAndOversizedRequestsAreAnsweredWithVerdictNotRun) {
  Network network;
  std::string error;
  std::atomic<int> handled{0};
  ServerBounds bounds;
  bounds.maxBodyBytes = 10;
  std::unique_ptr<HttpServer> const server = HttpServer::listen(
      network, anyPort, bounds,
      [&](Request, Responder respond) {
        ++handled;
        respond({200, {}, ""});
      },
      error);
  for (std::pair<std::string, std::string> const& one :
       {std::pair<std::string, std::string>("POST / HTTP/1.1\r\ncontent-length: 11\r\n\r\n12345678901", "413"),
        std::pair<std::string, std::string>("GARBAGE\r\n\r\n", "400"),
        std::pair<std::string, std::string>("GET / HTTP/1.1\r\nx: " + std::string(20'000, 'h') + "\r\n\r\n", "431")}) {
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::make_address_v4("127.0.0.1"), server->address().port});
    boost::system::error_code failure;
    asio::write(socket, asio::buffer(one.first), failure);
    asio::streambuf buffer;
    asio::read_until(socket, buffer, "\r\n\r\n", failure);
    std::string const head(asio::buffers_begin(buffer.data()), asio::buffers_end(buffer.data()));
    EXPECT_TRUE(head.starts_with("HTTP/1.1 " + one.second)) << head;
    EXPECT_NE(head.find("not_run"), std::string::npos);
  }
  EXPECT_EQ(handled, 0);
  network.stop();
}

TEST(Ring, KeepsOrderAndCapacityBetweenThreads) {
  Ring<int> ring(8);
  std::thread producer([&ring] {
    for (int number = 0; number < 5000; ++number) {
      ring.push(number);
    }
    ring.close();
  });
  int expected = 0;
  while (std::optional<int> const value = ring.pop()) {
    EXPECT_EQ(*value, expected++);
  }
  producer.join();
  EXPECT_EQ(expected, 5000);
  Ring<int> full(4);
  EXPECT_TRUE(full.tryPush(1, 2));
  EXPECT_TRUE(full.tryPush(2, 2));
  EXPECT_FALSE(full.tryPush(3, 2));
  EXPECT_TRUE(full.tryPush(3));
}

TEST(MergeWorkers, ReadsResultsOnWorkersAndRejectsOtherRequestIds) {
  std::latch remaining(200);
  std::atomic<int> accepted{0};
  {
    dispatch::MergeWorkers workers(2);
    for (int number = 0; number < 200; ++number) {
      std::string const id = "r" + std::to_string(number);
      std::string const body = R"({"stamp":{"shard":"a","cut":"c","request":")" + id + R"("},"records":["x","y"]})";
      workers.read(body, {"a", "c", number % 2 == 0 ? id : "other"}, 1,
                   [&](absl::StatusOr<dispatch::ShardResult> const& part) {
                     accepted += part.ok() ? 1 : 0;
                     remaining.count_down();
                   });
    }
    remaining.wait();
  }
  EXPECT_EQ(accepted, 100);
}

}  // namespace
