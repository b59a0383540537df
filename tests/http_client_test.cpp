#include "limeramp/net/http.h"
#include "limeramp/net/peer_sender.h"
#include "raw_socket.h"

#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <latch>
#include <mutex>

namespace {

using namespace limeramp;
using namespace limeramp::net;
using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;
using retry::Verdict;

std::string const okAnswer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

std::future<Exchange> start(HttpClient& client, std::uint64_t attempt, Address const& server, Ms timeoutMs = Ms(30'000),
                            Request request = {"GET", "/", {}, "", ""}) {
  std::shared_ptr<std::promise<Exchange>> const promise = std::make_shared<std::promise<Exchange>>();
  client.begin(attempt, server, std::move(request), Clock::now() + timeoutMs,
               [promise](Exchange exchange) { promise->set_value(std::move(exchange)); });
  return promise->get_future();
}

void waitOnNetwork(Network& network, Ms delayMs = Ms(0)) {
  std::promise<void> done;
  network.after(delayMs, [&] { done.set_value(); });
  done.get_future().wait();
}

void waitForIdle(Network& network, HttpClient const& client, std::size_t idle) {
  for (int polls = 0; polls < 10'000 && client.counters().all.idle != idle; ++polls) {
    waitOnNetwork(network, Ms(1));
  }
  EXPECT_EQ(client.counters().all.idle, idle);
}

TEST(HttpClient, SkipsInterimAnswersAndReusesTheConnection) {
  Network network;
  HttpClient client(network, {});
  RawListener listener;
  std::future<Exchange> first = start(client, 1, listener.address());
  RawSocket server = listener.accept();
  EXPECT_TRUE(server.message().starts_with(
      std::string("GET / HTTP/1.1\r\nHost: ").append(listener.address().text()).append("\r\n")));
  server.send("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n" + okAnswer);
  EXPECT_EQ(first.get().answer->body, "ok");
  std::future<Exchange> second = start(client, 2, listener.address());
  server.message();
  server.send("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n");
  server.send("2\r\nde\r\n0\r\n\r\n");
  EXPECT_EQ(second.get().answer->body, "abcde");
  ClientCounters const counters = client.counters();
  EXPECT_EQ(counters.all.opened, 1U);
  EXPECT_EQ(counters.all.reused, 1U);
  EXPECT_EQ(counters.all.idle, 1U);
  EXPECT_EQ(counters.servers.at(listener.address().text()).opened, 1U);
}

TEST(HttpClient, TruncatedOrInvalidAnswersGiveVerdictMayHaveRun) {
  Network network;
  ClientBounds bounds;
  bounds.maxAnswerBytes = 100;
  HttpClient client(network, bounds);
  std::uint64_t number = 0;
  std::string interim;
  for (int count = 0; count < 100; ++count) {
    interim += "HTTP/1.1 100 Continue\r\n\r\n";
  }
  for (std::string const& answer :
       {std::string(""), std::string("HTTP/1.1 200 OK\r\ncontent-le"),
        std::string("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nabcd"),
        std::string("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n"),
        std::string("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n"),
        std::string("HTTP/1.1 200 OK\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd"),
        std::string("HTTP/1.1 200 OK\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"),
        std::string("HTTP/1.1 200 OK\r\ncontent-length: 101\r\n\r\n"),
        "HTTP/1.1 200 OK\r\n\r\n" + std::string(101, 'x'), std::string("HTTP/1.1 101 Switching\r\n\r\n"),
        std::string("HTTP/1.1 100 Continue\r\n\r\n"), interim, "HTTP/1.1 200 OK\r\nx: " + std::string(100'000, 'h')}) {
    RawListener listener;
    std::future<Exchange> future = start(client, ++number, listener.address());
    RawSocket server = listener.accept();
    server.message();
    server.send(answer);
    server.halfClose();
    Exchange const exchange = future.get();
    EXPECT_FALSE(exchange.answer.has_value()) << answer.substr(0, 100);
    EXPECT_EQ(exchange.verdict, Verdict::mayHaveRun) << answer.substr(0, 100);
  }
  EXPECT_EQ(client.counters().all.inUse, 0U);
  EXPECT_EQ(client.counters().all.idle, 0U);
}

TEST(HttpClient, MarksAnswersThatEndByConnectionClose) {
  Network network;
  HttpClient client(network, {});
  RawListener listener;
  std::future<Exchange> future = start(client, 1, listener.address());
  RawSocket server = listener.accept();
  server.message();
  server.send("HTTP/1.1 200 OK\r\n\r\nuntil the end");
  server.halfClose();
  Exchange const exchange = future.get();
  ASSERT_TRUE(exchange.answer.has_value());
  EXPECT_TRUE(exchange.answer->endedByClose);
  EXPECT_EQ(exchange.answer->body, "until the end");
  std::future<Exchange> next = start(client, 2, listener.address());
  server = listener.accept();
  server.message();
  server.send(okAnswer);
  EXPECT_FALSE(next.get().answer->endedByClose);
}

TEST(HttpClient, AnswerToHeadHasNoBody) {
  Network network;
  HttpClient client(network, {});
  RawListener listener;
  std::future<Exchange> future = start(client, 1, listener.address(), Ms(30'000), {"HEAD", "/", {}, "", ""});
  RawSocket server = listener.accept();
  server.message();
  server.send("HTTP/1.1 200 OK\r\ncontent-length: 500\r\n\r\n");
  EXPECT_EQ(future.get().answer->body, "");
  EXPECT_EQ(client.counters().all.idle, 1U);
}

TEST(HttpClient, DoesNotReuseUncleanConnections) {
  Network network;
  for (std::string const& answer :
       {okAnswer + "HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nothers", okAnswer + "x",
        std::string("HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok"),
        std::string("HTTP/1.0 200 OK\r\ncontent-length: 2\r\n\r\nok"),
        std::string("HTTP/1.1 200 OK\r\nkeep-alive: timeout=0\r\ncontent-length: 2\r\n\r\nok")}) {
    HttpClient client(network, {});
    RawListener listener;
    std::future<Exchange> future = start(client, 1, listener.address());
    RawSocket server = listener.accept();
    server.message();
    server.send(answer);
    EXPECT_EQ(future.get().answer->body, "ok") << answer;
    EXPECT_EQ(client.counters().all.idle, 0U) << answer;
    EXPECT_EQ(server.rest(), "") << answer;
  }
}

TEST(HttpClient, ClosesIdleConnectionsOnEofOrUnexpectedBytes) {
  Network network;
  HttpClient client(network, {});
  RawListener listener;
  for (bool const closes : {true, false}) {
    std::future<Exchange> future = start(client, 1, listener.address());
    RawSocket server = listener.accept();
    server.message();
    server.send(okAnswer);
    EXPECT_EQ(future.get().answer->body, "ok");
    if (closes) {
      server.close();
    } else {
      server.send("HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nothers");
    }
    waitForIdle(network, client, 0);
  }
  EXPECT_EQ(client.counters().all.opened, 2U);
}

TEST(HttpClient, KeepsIdleConnectionsForTheShorterOfBothTimeouts) {
  Network network;
  ClientBounds bounds;
  bounds.idleMs = Ms(10'000);
  HttpClient client(network, bounds);
  RawListener listener;
  std::future<Exchange> future = start(client, 1, listener.address());
  RawSocket server = listener.accept();
  server.message();
  Clock::time_point const answeredAt = Clock::now();
  server.send("HTTP/1.1 200 OK\r\nKeep-Alive: max=5, timeout=1\r\ncontent-length: 2\r\n\r\nok");
  EXPECT_EQ(future.get().answer->body, "ok");
  EXPECT_EQ(client.counters().all.idle, 1U);
  EXPECT_EQ(server.rest(), "");
  EXPECT_GE(Clock::now() - answeredAt, Ms(700));
  EXPECT_LT(Clock::now() - answeredAt, Ms(1000));
  ClientBounds shortBounds;
  shortBounds.idleMs = Ms(50);
  HttpClient shortIdleClient(network, shortBounds);
  std::future<Exchange> reopened = start(shortIdleClient, 1, listener.address());
  RawSocket other = listener.accept();
  other.message();
  other.send("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=100\r\ncontent-length: 2\r\n\r\nok");
  EXPECT_EQ(reopened.get().answer->body, "ok");
  EXPECT_EQ(other.rest(), "");
}

TEST(HttpClient, ReusesTheNewestIdleConnectionAndLimitsIdleOnes) {
  Network network;
  ClientBounds bounds;
  bounds.maxIdlePerServer = 2;
  HttpClient client(network, bounds);
  RawListener listener;
  std::vector<std::future<Exchange>> futures;
  std::vector<RawSocket> servers;
  for (std::uint64_t number = 1; number <= 3; ++number) {
    futures.push_back(start(client, number, listener.address()));
    servers.push_back(listener.accept());
    servers.back().message();
  }
  for (std::size_t index = 0; index < 3; ++index) {
    servers[index].send(okAnswer);
    EXPECT_EQ(futures[index].get().answer->body, "ok");
  }
  EXPECT_EQ(servers[0].rest(), "");
  std::future<Exchange> next = start(client, 4, listener.address());
  EXPECT_NE(servers[2].message(), "");
  servers[2].send(okAnswer);
  EXPECT_EQ(next.get().answer->body, "ok");
  EXPECT_EQ(client.counters().all.opened, 3U);
  EXPECT_EQ(client.counters().all.reused, 1U);
}

TEST(HttpClient, AttemptsWaitForAConnectionInOrderUntilTheirDeadline) {
  Network network;
  ClientBounds bounds;
  bounds.maxWaitingPerServer = 3;
  HttpClient client(network, bounds);
  RawListener listener;
  client.allow(listener.address(), {1, Ms(2000)});
  std::future<Exchange> first = start(client, 1, listener.address());
  RawSocket server = listener.accept();
  EXPECT_NE(server.message(), "");
  std::future<Exchange> late = start(client, 2, listener.address(), Ms(50));
  std::future<Exchange> third = start(client, 3, listener.address(), Ms(30'000), {"GET", "/3", {}, "", ""});
  std::future<Exchange> fourth = start(client, 4, listener.address(), Ms(30'000), {"GET", "/4", {}, "", ""});
  Exchange const fifth = start(client, 5, listener.address()).get();
  EXPECT_EQ(fifth.verdict, Verdict::notRun);
  EXPECT_EQ(fifth.reason, "no connection free");
  Exchange const tooLate = late.get();
  EXPECT_EQ(tooLate.verdict, Verdict::notRun);
  EXPECT_EQ(tooLate.reason, "no connection free");
  std::future<Exchange> sixth = start(client, 6, listener.address());
  client.cancel(6);
  EXPECT_EQ(sixth.get().verdict, Verdict::notRun);
  EXPECT_EQ(client.counters().all.waiting, 2U);
  server.send(okAnswer);
  EXPECT_EQ(first.get().answer->body, "ok");
  EXPECT_TRUE(server.message().starts_with("GET /3 "));
  server.send("HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok");
  EXPECT_EQ(third.get().answer->body, "ok");
  server = listener.accept();
  EXPECT_TRUE(server.message().starts_with("GET /4 "));
  server.send(okAnswer);
  EXPECT_EQ(fourth.get().answer->body, "ok");
  EXPECT_EQ(client.counters().all.opened, 2U);
  EXPECT_EQ(client.counters().all.waiting, 0U);
}

TEST(HttpClient, RaisedConnectionLimitServesWaitingAttempts) {
  Network network;
  ClientBounds bounds;
  bounds.maxConnectionsPerServer = 1;
  HttpClient client(network, bounds);
  RawListener listener;
  std::future<Exchange> first = start(client, 1, listener.address());
  RawSocket one = listener.accept();
  std::future<Exchange> second = start(client, 2, listener.address());
  client.allow(listener.address(), {2, Ms(2000)});
  RawSocket two = listener.accept();
  two.message();
  two.send(okAnswer);
  EXPECT_EQ(second.get().answer->body, "ok");
  one.message();
  one.send(okAnswer);
  EXPECT_EQ(first.get().answer->body, "ok");
}

TEST(HttpClient, AttemptsEndAtTheirDeadlineOrByCancel) {
  Network network;
  HttpClient client(network, {});
  RawListener listener;
  Clock::time_point const begun = Clock::now();
  std::future<Exchange> late = start(client, 1, listener.address(), Ms(100));
  RawSocket first = listener.accept();
  EXPECT_NE(first.message(), "");
  Exchange const exchange = late.get();
  EXPECT_EQ(exchange.verdict, Verdict::mayHaveRun);
  EXPECT_GE(Clock::now() - begun, Ms(100));
  EXPECT_LT(Clock::now() - begun, Ms(1000));
  EXPECT_EQ(first.rest(), "");
  std::future<Exchange> cancelled = start(client, 2, listener.address());
  RawSocket second = listener.accept();
  EXPECT_NE(second.message(), "");
  client.cancel(2);
  EXPECT_EQ(cancelled.get().verdict, Verdict::mayHaveRun);
  EXPECT_EQ(second.rest(), "");
  client.cancel(77);
}

TEST(HttpClient, ConnectHasItsOwnTimeout) {
  Network network;
  ClientBounds bounds;
  bounds.connectMs = Ms(100);
  HttpClient client(network, bounds);
  RawListener listener(0);
  std::vector<RawSocket> backlogFillers;
  backlogFillers.reserve(4);
  for (int number = 0; number < 4; ++number) {
    backlogFillers.push_back(RawSocket::dial(listener.address()));
  }
  Clock::time_point const begun = Clock::now();
  Exchange const exchange = start(client, 1, listener.address()).get();
  EXPECT_EQ(exchange.verdict, Verdict::notRun);
  EXPECT_TRUE(exchange.reason.starts_with("connect: ")) << exchange.reason;
  EXPECT_FALSE(exchange.refused);
  EXPECT_LT(Clock::now() - begun, Ms(2000));
}

TEST(HttpClient, RefusedConnectIsReportedAndNotFromWithinBegin) {
  Network network;
  HttpClient client(network, {});
  Address closed;
  {
    RawListener const listener;
    closed = listener.address();
  }
  std::promise<Exchange> promise;
  network.post([&] {
    std::shared_ptr<bool> const inside = std::make_shared<bool>(true);
    client.begin(1, closed, {"GET", "/", {}, "", ""}, Clock::now() + Ms(30'000), [&promise, inside](Exchange exchange) {
      exchange.reason = *inside ? "inside" : exchange.reason;
      promise.set_value(std::move(exchange));
    });
    *inside = false;
    client.cancel(2);
  });
  Exchange const exchange = promise.get_future().get();
  EXPECT_EQ(exchange.verdict, Verdict::notRun);
  EXPECT_TRUE(exchange.refused);
  EXPECT_NE(exchange.reason, "inside");
  EXPECT_EQ(start(client, 3, Address{}).get().verdict, Verdict::notRun);
}

TEST(HttpClient, BeginAndCancelOnTheNetworkThreadDeferTheCallback) {
  Network network;
  HttpClient client(network, {});
  RawListener listener;
  std::promise<std::pair<bool, Exchange>> promise;
  network.post([&] {
    std::shared_ptr<bool> const inside = std::make_shared<bool>(true);
    client.begin(1, listener.address(), {"GET", "/", {}, "", ""}, Clock::now() + Ms(30'000),
                 [&promise, inside](Exchange exchange) {
                   promise.set_value({*inside, std::move(exchange)});
                 });
    client.cancel(1);
    *inside = false;
  });
  std::pair<bool, Exchange> const outcome = promise.get_future().get();
  EXPECT_FALSE(outcome.first);
  EXPECT_EQ(outcome.second.verdict, Verdict::notRun);
}

TEST(HttpClient, AcceptsAnAnswerBeforeTheRequestWasSentCompletely) {
  Network network;
  HttpClient client(network, {});
  RawListener listener;
  std::future<Exchange> future =
      start(client, 1, listener.address(), Ms(30'000), {"POST", "/", {}, std::string(30'000'000, 'b'), ""});
  RawSocket server = listener.accept();
  EXPECT_NE(server.head().find("Content-Length: 30000000"), std::string::npos);
  server.send("HTTP/1.1 413 Too Large\r\ncontent-length: 4\r\n\r\nmuch");
  Exchange const exchange = future.get();
  ASSERT_TRUE(exchange.answer.has_value()) << exchange.reason;
  EXPECT_EQ(exchange.answer->status, 413);
  EXPECT_EQ(client.counters().all.idle, 0U);
}

TEST(HttpClient, TransfersLargeBodiesInBothDirections) {
  Network network;
  std::string error;
  ServerBounds bounds;
  bounds.maxBodyBytes = 50 << 20;
  std::unique_ptr<HttpServer> const server = HttpServer::listen(
      network, {"127.0.0.1", 0}, bounds,
      [](Request request, Responder respond) {
        respond({200, {}, std::move(request.body)});
      },
      error);
  ClientBounds clientBounds;
  clientBounds.maxAnswerBytes = 50 << 20;
  HttpClient client(network, clientBounds);
  std::string const body(30'000'000, 'z');
  for (std::uint64_t number = 1; number <= 2; ++number) {
    Exchange const exchange = start(client, number, server->address(), Ms(30'000), {"POST", "/", {}, body, ""}).get();
    ASSERT_TRUE(exchange.answer.has_value()) << exchange.reason;
    EXPECT_TRUE(exchange.answer->body == body);
  }
  EXPECT_EQ(client.counters().all.opened, 1U);
  network.stop();
}

TEST(HttpClient, FourConcurrentFlowsOpenFourConnections) {
  Network serverSide;
  Network clientSide;
  std::string error;
  std::unique_ptr<HttpServer> const server = HttpServer::listen(
      serverSide, {"127.0.0.1", 0}, {},
      [](Request request, Responder respond) {
        respond({200, {}, request.target});
      },
      error);
  HttpClient client(clientSide, {});
  std::atomic<std::uint64_t> issued{0};
  std::atomic<int> correct{0};
  std::latch remainingFlows(4);
  std::function<void()> next = [&] {
    std::uint64_t const number = ++issued;
    if (number > 4000) {
      remainingFlows.count_down();
      return;
    }
    std::string const target = numbered("/", static_cast<long>(number));
    client.begin(number, server->address(), {"GET", target, {}, "", ""}, Clock::now() + Ms(30'000),
                 [&, target](Exchange const& exchange) {
                   correct += exchange.answer && exchange.answer->body == target ? 1 : 0;
                   next();
                 });
  };
  for (int flow = 0; flow < 4; ++flow) {
    clientSide.post(next);
  }
  remainingFlows.wait();
  EXPECT_EQ(correct, 4000);
  EXPECT_EQ(client.counters().all.opened, 4U);
  EXPECT_EQ(client.counters().all.reused, 3996U);
  clientSide.stop();
  serverSide.stop();
}

class RecordingPeer {
 public:
  explicit RecordingPeer(bool answers = true)
      : server(HttpServer::listen(
            network, {"127.0.0.1", 0}, {},
            [this, answers](Request request, Responder respond) {
              std::unique_lock<std::mutex> const lock(mutex);
              bodies.push_back(std::move(request.body));
              peers.push_back(std::move(request.peer));
              if (answers) {
                respond({204, {}, ""});
              } else {
                held.push_back(std::move(respond));
              }
              changed.notify_all();
            },
            error)) {}
  ~RecordingPeer() { network.stop(); }

  void waitFor(std::size_t count) {
    std::unique_lock<std::mutex> lock(mutex);
    changed.wait_for(lock, std::chrono::seconds(20), [&] { return bodies.size() >= count; });
    EXPECT_EQ(bodies.size(), count);
  }

  Network network;
  std::string error;
  std::mutex mutex;
  std::condition_variable changed;
  std::vector<std::string> bodies;
  std::vector<std::string> peers;
  std::vector<Responder> held;
  std::unique_ptr<HttpServer> server;
};

TEST(PeerSender, SendsInOrderOverOneConnection) {
  RecordingPeer peer;
  Network network;
  PeerSender sender(network, "127.0.0.1:1");
  std::vector<std::string> sent;
  for (int number = 0; number < 20; ++number) {
    sent.push_back(numbered("parcel ", static_cast<long>(number)));
    sender.send(peer.server->address().text(), sent.back());
  }
  peer.waitFor(20);
  std::unique_lock<std::mutex> const lock(peer.mutex);
  EXPECT_EQ(peer.bodies, sent);
  EXPECT_EQ(std::count(peer.peers.begin(), peer.peers.end(), peer.peers.front()), 20);
}

TEST(PeerSender, LimitsOutstandingMessagesAndIsolatesUnresponsivePeers) {
  RecordingPeer silent(false);
  RecordingPeer peer;
  Network network;
  PeerSender sender(network, "127.0.0.1:1");
  for (int number = 0; number < 100; ++number) {
    sender.send(silent.server->address().text(), std::to_string(number));
    if (number % 10 == 0) {
      sender.send(peer.server->address().text(), std::to_string(number));
    }
  }
  sender.send("nowhere", "");
  peer.waitFor(10);
  silent.waitFor(1);
  {
    std::unique_lock<std::mutex> const lock(silent.mutex);
    silent.held.front()({204, {}, ""});
  }
  silent.waitFor(2);
  waitOnNetwork(network, Ms(1700));
  std::unique_lock<std::mutex> const lock(silent.mutex);
  EXPECT_LE(silent.bodies.size(), 32U);
}

}  // namespace
