#include "limeramp/net/http.h"
#include "raw_socket.h"

#include <gtest/gtest.h>

#include <atomic>
#include <functional>
#include <future>
#include <map>
#include <mutex>
#include <set>
#include <thread>

namespace {

using namespace limeramp;
using namespace limeramp::net;
using Ms = std::chrono::milliseconds;

Address const anyPort{"127.0.0.1", 0};

class TestServer {
 public:
  explicit TestServer(ServerOptions options = {}, HttpServer::Handler handler = echo())
      : server(HttpServer::listen(network, anyPort, std::move(options), std::move(handler), error)) {}
  ~TestServer() { network.stop(); }

  static HttpServer::Handler echo() {
    return [](Request request, Responder respond) {
      respond({200, {}, request.method + " " + request.target + " " + request.body});
    };
  }

  RawSocket call() const { return RawSocket::to(server->address()); }

  Network network;
  std::string error;
  std::unique_ptr<HttpServer> server;
};

ServerBounds shortBounds() {
  ServerBounds bounds;
  bounds.maxHeaderBytes = 1024;
  bounds.maxBodyBytes = 100;
  bounds.headerMs = Ms(100);
  bounds.idleMs = Ms(200);
  return bounds;
}

std::string statusOf(std::string const& answer) { return answer.size() < 12 ? answer : answer.substr(9, 3); }

TEST(HttpServer, RefusesMalformedOversizedAndSlowRequests) {
  std::atomic<int> handled{0};
  TestServer served(shortBounds(), [&](Request, Responder respond) {
    ++handled;
    respond({200, {}, ""});
  });
  std::string const nul(1, '\0');
  std::vector<std::pair<std::string, std::string>> const cases{
      {"GARBAGE\r\n\r\n", "400"},
      {"GET /\r\n\r\n", "400"},
      {"GET / HTTP/9.9\r\n\r\n", "400"},
      {"GET  / HTTP/1.1\r\n\r\n", "400"},
      {"G@T / HTTP/1.1\r\n\r\n", "400"},
      {"GET / HTTP/1.1 more\r\n\r\n", "400"},
      {"\x16\x03\x01\x02", "400"},
      {"GET / HTTP/1.1\n\n", "400"},
      {"GET / HTTP/1.1\r\na: b\n\r\n", "400"},
      {"GET / HTTP/1.1\r\na: b\r\n folded\r\n\r\n", "400"},
      {"GET / HTTP/1.1\r\n a: b\r\n\r\n", "400"},
      {"GET / HTTP/1.1\r\na: b" + nul + "c\r\n\r\n", "400"},
      {"GET / HTTP/1.1\r\na: b\rc\r\n\r\n", "400"},
      {"GET / HTTP/1.1\r\na : b\r\n\r\n", "400"},
      {"GET / HTTP/1.1\r\na\t: b\r\n\r\n", "400"},
      {"GET / HTTP/1.1\r\nno colon\r\n\r\n", "400"},
      {"GET / HTTP/1.1\r\n: empty\r\n\r\n", "400"},
      {"POST / HTTP/1.1\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
      {"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\ncontent-length: 3\r\n\r\n0\r\n\r\n", "400"},
      {"POST / HTTP/1.1\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd", "400"},
      {"POST / HTTP/1.1\r\ncontent-length: 3, 4\r\n\r\nabcd", "400"},
      {"POST / HTTP/1.1\r\ncontent-length: -1\r\n\r\n", "400"},
      {"POST / HTTP/1.1\r\ncontent-length: 0x3\r\n\r\nabc", "400"},
      {"POST / HTTP/1.1\r\ncontent-length: 99999999999999999999999\r\n\r\n", "400"},
      {"POST / HTTP/1.1\r\ntransfer-encoding: gzip\r\n\r\n", "400"},
      {"POST / HTTP/1.1\r\ntransfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n", "400"},
      {"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
      {"POST / HTTP/1.0\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
      {"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nxyz\r\nabc\r\n0\r\n\r\n", "400"},
      {"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabcdef\r\n0\r\n\r\n", "400"},
      {"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n3;" + std::string(3000, 'e'), "400"},
      {"GET / HTTP/1.1\r\nx: " + std::string(1100, 'h') + "\r\n\r\n", "431"},
      {"GET / HTTP/1.1\r\nx: " + std::string(200'000, 'h'), "431"},
      {"GET /" + std::string(1100, 'h'), "431"},
      {"POST / HTTP/1.1\r\ncontent-length: 101\r\n\r\n", "413"},
      {"POST / HTTP/1.1\r\ncontent-length: 300000\r\n\r\n" + std::string(300'000, 'b'), "413"},
      {"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n65\r\n" + std::string(101, 'b') + "\r\n0\r\n\r\n", "413"},
      {"GET / HTTP/1.1\r\na: ", "408"},
      {"GET / HTTP/1.1\r\na: b\r\n", "408"},
      {"POST / HTTP/1.1\r\ncontent-length: 10\r\n\r\nabc", "408"},
      {"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n3\r\nab", "408"}};
  for (std::pair<std::string, std::string> const& one : cases) {
    RawSocket caller = served.call();
    caller.send(one.first);
    std::string const answer = caller.message();
    std::string const shown = one.first.substr(0, 120);
    EXPECT_EQ(statusOf(answer), one.second) << shown;
    EXPECT_NE(answer.find("Connection: close\r\n"), std::string::npos) << shown;
    EXPECT_NE(answer.find(R"({"verdict":"not_run")"), std::string::npos) << shown;
    EXPECT_TRUE(caller.endsInOrder()) << shown;
  }
  EXPECT_EQ(handled, 0);
}

TEST(HttpServer, ConnectionsBeforeOpenAreServedAfterOpen) {
  ServerOptions options;
  options.opensLater = true;
  std::atomic<bool> opened{false};
  std::atomic<bool> handledBeforeOpen{false};
  TestServer served(options, [&](Request, Responder respond) {
    handledBeforeOpen = handledBeforeOpen || !opened;
    respond({200, {}, "late"});
  });
  RawSocket caller = served.call();
  caller.send("GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
  std::promise<void> passed;
  served.network.post([&] { passed.set_value(); });
  passed.get_future().get();
  opened = true;
  served.server->open();
  EXPECT_EQ(statusOf(caller.message()), "200");
  EXPECT_FALSE(handledBeforeOpen);
}

TEST(HttpServer, UsesTheRefuseOptionToBuildRefusals) {
  ServerOptions options(shortBounds());
  options.refuse = [](int status, std::string const& reason) {
    return Answer{status, {{"x-code", numbered("E", status)}}, "<" + reason + ">"};
  };
  TestServer served(options);
  RawSocket caller = served.call();
  caller.send("POST / HTTP/1.1\r\ncontent-length: 101\r\n\r\n");
  std::string const answer = caller.message();
  EXPECT_NE(answer.find("x-code: E413\r\n"), std::string::npos) << answer;
  EXPECT_EQ(answer.find("verdict"), std::string::npos) << answer;
  EXPECT_TRUE(answer.ends_with(">")) << answer;
}

TEST(HttpServer, IdleConnectionIsClosedWithoutAnAnswer) {
  TestServer served(shortBounds());
  RawSocket silent = served.call();
  EXPECT_EQ(silent.rest(), "");
  RawSocket used = served.call();
  used.send("GET /a HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(used.message().ends_with("GET /a "));
  EXPECT_EQ(used.rest(), "");
  EXPECT_TRUE(used.endsInOrder());
}

TEST(HttpServer, IdleTimeoutDoesNotApplyWhileARequestIsHandled) {
  std::promise<Responder> taken;
  TestServer served(shortBounds(), [&](Request, Responder respond) { taken.set_value(std::move(respond)); });
  RawSocket caller = served.call();
  caller.send("GET / HTTP/1.1\r\n\r\n");
  Responder const respond = taken.get_future().get();
  std::promise<void> later;
  served.network.after(Ms(500), [&] { later.set_value(); });
  later.get_future().wait();
  respond({200, {}, "patient"});
  EXPECT_TRUE(caller.message().ends_with("patient"));
}

TEST(HttpServer, ReadsChunkedBodiesAndBodiesSentInPieces) {
  TestServer served;
  RawSocket caller = served.call();
  std::string const request =
      "POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n4\r\ndefg\r\n0\r\nlate: trailer\r\n\r\n";
  caller.send(request);
  EXPECT_TRUE(caller.message().ends_with("POST /c abcdefg"));
  for (char const character : request) {
    caller.send(std::string_view(&character, 1));
  }
  EXPECT_TRUE(caller.message().ends_with("POST /c abcdefg"));
  std::string const body(700'000, 'l');
  caller.send("POST /l HTTP/1.1\r\ncontent-length: 700000\r\n\r\n" + body);
  EXPECT_TRUE(caller.message().ends_with("POST /l " + body));
  caller.send("\r\nPOST /n HTTP/1.1\r\ncontent-length: 2\r\ncontent-length: 2\r\n\r\nok");
  EXPECT_TRUE(caller.message().ends_with("POST /n ok"));
}

TEST(HttpServer, TrailersDoNotBecomeHeaders) {
  std::promise<Headers> seen;
  TestServer served({}, [&](Request request, Responder respond) {
    seen.set_value(request.headers);
    respond({200, {}, ""});
  });
  RawSocket caller = served.call();
  caller.send(
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nx-a: 1\r\n\r\n1\r\na\r\n0\r\nx-a: 2\r\nx-admin: yes\r\n\r\n");
  Headers const headers = seen.get_future().get();
  EXPECT_EQ(findHeader(headers, "x-a"), "1");
  EXPECT_EQ(findHeader(headers, "x-admin"), std::nullopt);
  EXPECT_EQ(headers.size(), 2U);
}

TEST(HttpServer, SendsContinueBeforeTheBody) {
  TestServer served;
  RawSocket caller = served.call();
  caller.send("POST /e HTTP/1.1\r\nexpect: 100-continue\r\ncontent-length: 4\r\n\r\n");
  EXPECT_EQ(caller.head(), "HTTP/1.1 100 Continue\r\n\r\n");
  caller.send("body");
  EXPECT_TRUE(caller.message().ends_with("POST /e body"));
  caller.send("POST /f HTTP/1.1\r\nexpect: 100-continue\r\ncontent-length: 4\r\n\r\nbody");
  std::string const answer = caller.message();
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200") && answer.ends_with("POST /f body")) << answer;
  TestServer strict(shortBounds());
  RawSocket tooMuch = strict.call();
  tooMuch.send("POST /g HTTP/1.1\r\nexpect: 100-continue\r\ncontent-length: 4000\r\n\r\n");
  EXPECT_EQ(statusOf(tooMuch.message()), "413");
}

TEST(HttpServer, PipelinedRequestsAreHandledOneAtATimeInOrder) {
  std::mutex mutex;
  std::vector<std::pair<std::string, Responder>> pending;
  std::promise<void> first;
  std::atomic<int> taken{0};
  TestServer served({}, [&](Request request, Responder respond) {
    std::unique_lock<std::mutex> const lock(mutex);
    if (++taken == 1) {
      pending.emplace_back(request.target, std::move(respond));
      first.set_value();
    } else {
      respond({200, {}, request.target + request.body});
    }
  });
  RawSocket caller = served.call();
  std::string many;
  for (int number = 0; number < 200; ++number) {
    many += numbered("POST /", static_cast<long>(number)) + " HTTP/1.1\r\ncontent-length: 300\r\n\r\n" +
            std::string(300, 'p');
  }
  std::future<bool> sent = std::async(std::launch::async, [&] { return caller.send(many); });
  first.get_future().wait();
  EXPECT_EQ(taken, 1);
  pending.front().second({200, {}, pending.front().first + std::string(300, 'p')});
  EXPECT_TRUE(sent.get());
  for (int number = 0; number < 200; ++number) {
    EXPECT_TRUE(caller.message().ends_with(numbered("\r\n\r\n/", static_cast<long>(number)) + std::string(300, 'p')))
        << number;
  }
}

TEST(HttpServer, ClosesAPipelinedConnectionAfterARefusal) {
  TestServer served;
  RawSocket caller = served.call();
  caller.send("GET /1 HTTP/1.1\r\n\r\nnonsense\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
  EXPECT_EQ(statusOf(caller.message()), "200");
  EXPECT_EQ(statusOf(caller.message()), "400");
  EXPECT_EQ(caller.rest(), "");
  EXPECT_TRUE(caller.endsInOrder());
}

TEST(HttpServer, HonoursConnectionCloseKeepAliveAndHalfClose) {
  TestServer served;
  for (std::string const request : {"GET / HTTP/1.1\r\nconnection: close\r\n\r\n", "GET / HTTP/1.0\r\n\r\n"}) {
    RawSocket caller = served.call();
    caller.send(request);
    EXPECT_NE(caller.rest().find("Connection: close"), std::string::npos);
    EXPECT_TRUE(caller.endsInOrder());
  }
  RawSocket old = served.call();
  for (int round = 0; round < 2; ++round) {
    old.send("GET / HTTP/1.0\r\nconnection: keep-alive\r\n\r\n");
    EXPECT_NE(old.message().find("Connection: keep-alive"), std::string::npos);
  }
  RawSocket half = served.call();
  half.send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
  half.halfClose();
  EXPECT_TRUE(half.message().ends_with("GET /1 "));
  EXPECT_TRUE(half.message().ends_with("GET /2 "));
  EXPECT_EQ(half.rest(), "");
}

TEST(HttpServer, AnswersToHeadAndWithStatus204HaveNoBody) {
  TestServer served({}, [](Request request, Responder respond) {
    respond({request.target == "/204" ? 204 : 200,
             {{"x-bad", "a\r\nb: c"}, {"content-length", "77"}, {"connection", "close"}},
             request.target == "/204" ? "" : "body"});
  });
  RawSocket caller = served.call();
  caller.send("HEAD / HTTP/1.1\r\n\r\nGET /204 HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\n\r\n");
  EXPECT_EQ(caller.head(), "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n");
  EXPECT_EQ(caller.head(), "HTTP/1.1 204 No Content\r\n\r\n");
  EXPECT_EQ(caller.message(), "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
}

TEST(HttpServer, ReportsCallersThatCloseResetOrHalfClose) {
  std::mutex mutex;
  std::vector<Responder> pending;
  std::promise<std::uint64_t> taken[3];
  std::promise<std::uint64_t> gone[3];
  std::atomic<std::size_t> arrivals{0};
  std::atomic<std::size_t> departedCallers{0};
  ServerOptions options;
  options.gone = [&](std::uint64_t token) { gone[departedCallers++].set_value(token); };
  TestServer served(options, [&](Request request, Responder respond) {
    std::unique_lock<std::mutex> const lock(mutex);
    pending.push_back(std::move(respond));
    taken[arrivals++].set_value(request.token);
  });
  RawSocket closing = served.call();
  closing.send("GET / HTTP/1.1\r\n\r\n");
  std::uint64_t const first = taken[0].get_future().get();
  closing.close();
  EXPECT_EQ(gone[0].get_future().get(), first);
  RawSocket resetting = served.call();
  resetting.send("GET / HTTP/1.1\r\n\r\n");
  std::uint64_t const second = taken[1].get_future().get();
  EXPECT_NE(first, second);
  resetting.reset();
  EXPECT_EQ(gone[1].get_future().get(), second);
  RawSocket half = served.call();
  half.send("GET / HTTP/1.1\r\n\r\n");
  std::uint64_t const third = taken[2].get_future().get();
  half.halfClose();
  EXPECT_EQ(gone[2].get_future().get(), third);
  for (Responder const& respond : pending) {
    respond({200, {}, "still"});
  }
  EXPECT_TRUE(half.rest().ends_with("still"));
}

// A process that resumes after a suspension reads a request and the end of its connection at the same time. Without the
// check it would carry out an order that its caller had already given up.
TEST(HttpServer, MarksRequestsWhoseCallerLeftDuringASuspension) {
  Network network{RunOnCallerThread{}};
  std::map<std::string, bool> callerLeft;
  ServerOptions options;
  options.watchesCaller = [](Request const& request) { return request.method == "POST"; };
  std::string error;
  std::unique_ptr<HttpServer> const server = HttpServer::listen(
      network, anyPort, options,
      [&](Request const& request, Responder const& respond) {
        callerLeft[request.target] = request.callerLeft;
        respond({200, {}, "answer"});
      },
      error);
  ASSERT_NE(server, nullptr) << error;
  std::string const fields = " HTTP/1.1\r\ncontent-length: 2\r\n\r\nhi";
  RawSocket closed = RawSocket::to(server->address());
  closed.send("POST /closed" + fields);
  closed.close();
  RawSocket half = RawSocket::to(server->address());
  half.send("POST /half" + fields);
  half.halfClose();
  RawSocket waiting = RawSocket::to(server->address());
  waiting.send("POST /waiting" + fields);
  RawSocket pipelined = RawSocket::to(server->address());
  pipelined.send("POST /first" + fields + "POST /second" + fields);
  network.after(Ms(200), [&] { network.stop(); });
  network.run();
  EXPECT_EQ(callerLeft,
            (std::map<std::string, bool>{
                {"/closed", true}, {"/half", true}, {"/waiting", false}, {"/first", false}, {"/second", false}}));
  EXPECT_TRUE(half.rest().ends_with("answer"));
  EXPECT_TRUE(waiting.message().ends_with("answer"));
  EXPECT_TRUE(pipelined.message().ends_with("answer"));
  EXPECT_TRUE(pipelined.message().ends_with("answer"));
}

TEST(HttpServer, TokensAreUniqueAmongAllServersOfANetwork) {
  std::mutex mutex;
  std::set<std::uint64_t> tokens;
  HttpServer::Handler const take = [&](Request const& request, Responder const& respond) {
    std::unique_lock<std::mutex> const lock(mutex);
    tokens.insert(request.token);
    respond({200, {}, "taken"});
  };
  TestServer served({}, take);
  std::unique_ptr<HttpServer> const other = HttpServer::listen(served.network, anyPort, {}, take, served.error);
  for (Address const& address : {served.server->address(), other->address(), served.server->address()}) {
    RawSocket caller = RawSocket::to(address);
    caller.send("GET / HTTP/1.1\r\n\r\n");
    EXPECT_TRUE(caller.message().ends_with("taken"));
  }
  std::unique_lock<std::mutex> const lock(mutex);
  EXPECT_EQ(tokens.size(), 3u);
  EXPECT_FALSE(tokens.contains(0));
}

TEST(HttpServer, DroppedResponderClosesTheConnection) {
  TestServer served({}, [](Request, Responder) {});
  RawSocket caller = served.call();
  caller.send("GET / HTTP/1.1\r\n\r\n");
  EXPECT_EQ(caller.rest(), "");
}

TEST(HttpServer, ResponderMayOutliveItsServerAndNetwork) {
  std::promise<Responder> taken;
  Responder kept;
  {
    TestServer served({}, [&](Request, Responder respond) { taken.set_value(std::move(respond)); });
    RawSocket caller = served.call();
    caller.send("GET / HTTP/1.1\r\n\r\n");
    kept = taken.get_future().get();
    caller.halfClose();
  }
  kept({200, {}, "late"});
}

TEST(HttpServer, DrainAnswersRequestsAndClosesConnections) {
  TestServer served;
  RawSocket before = served.call();
  before.send("GET /1 HTTP/1.1\r\n\r\n");
  EXPECT_EQ(before.message().find("Connection: close"), std::string::npos);
  served.server->drain();
  before.send("GET /2 HTTP/1.1\r\n\r\nGET /3 HTTP/1.1\r\n\r\n");
  std::string const last = before.rest();
  EXPECT_NE(last.find("Connection: close"), std::string::npos);
  EXPECT_TRUE(last.ends_with("GET /2 ")) << last;
  EXPECT_TRUE(before.endsInOrder());
  RawSocket after = served.call();
  after.send("GET /4 HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(after.rest().ends_with("GET /4 "));
}

TEST(HttpServer, StopAcceptingClosesIdleConnectionsAndFinishesRequests) {
  std::promise<Responder> taken;
  TestServer served({}, [&](Request request, Responder respond) {
    if (request.target == "/wait") {
      taken.set_value(std::move(respond));
    } else {
      respond({200, {}, ""});
    }
  });
  RawSocket idle = served.call();
  idle.send("GET / HTTP/1.1\r\n\r\n");
  EXPECT_EQ(statusOf(idle.message()), "200");
  RawSocket waiting = served.call();
  waiting.send("GET /wait HTTP/1.1\r\n\r\n");
  Responder const respond = taken.get_future().get();
  served.server->stopAccepting();
  EXPECT_EQ(idle.rest(), "");
  EXPECT_FALSE(served.call().send("GET / HTTP/1.1\r\n\r\n"));
  respond({200, {}, "finished"});
  EXPECT_TRUE(waiting.rest().ends_with("finished"));
}

// A process that shuts down waits for busy connections. A connection that is not counted while its request is being
// read would lose that request.
TEST(HttpServer, ConnectionIsBusyFromFirstRequestByteToLastAnswerByte) {
  std::promise<Responder> pending;
  TestServer served({}, [&](Request, Responder respond) { pending.set_value(std::move(respond)); });
  RawSocket idle = served.call();
  RawSocket caller = served.call();
  std::function<bool(std::size_t)> const busyCountBecomes = [&](std::size_t wanted) {
    for (int round = 0; round < 500 && served.server->busyConnections() != wanted; ++round) {
      std::this_thread::sleep_for(Ms(10));
    }
    return served.server->busyConnections() == wanted;
  };
  EXPECT_TRUE(busyCountBecomes(0));
  caller.send("POST / HTTP/1.1\r\ncontent-length: 4\r\n\r\nbo");
  EXPECT_TRUE(busyCountBecomes(1));
  served.server->stopAccepting();
  EXPECT_EQ(served.server->busyConnections(), 1u);
  caller.send("dy");
  Responder const respond = pending.get_future().get();
  EXPECT_EQ(served.server->busyConnections(), 1u);
  std::size_t const largerThanSocketBuffers = 30'000'000;
  respond({200, {}, std::string(largerThanSocketBuffers, 'x')});
  EXPECT_FALSE(caller.head().empty());
  EXPECT_EQ(served.server->busyConnections(), 1u);
  EXPECT_EQ(caller.exactly(largerThanSocketBuffers).size(), largerThanSocketBuffers);
  EXPECT_TRUE(busyCountBecomes(0));
  EXPECT_TRUE(idle.endsInOrder());
}

TEST(HttpServer, SeveralServersShareOneNetwork) {
  Network network;
  std::string error;
  std::vector<std::unique_ptr<HttpServer>> servers;
  for (std::string const name : {"one", "two"}) {
    servers.push_back(HttpServer::listen(
        network, anyPort, {},
        [name](Request, Responder respond) {
          respond({200, {}, name});
        },
        error));
    ASSERT_NE(servers.back(), nullptr) << error;
  }
  EXPECT_EQ(HttpServer::listen(network, servers[0]->address(), {}, TestServer::echo(), error), nullptr);
  EXPECT_NE(error.find("cannot listen"), std::string::npos);
  for (std::size_t index : {0, 1}) {
    RawSocket caller = RawSocket::to(servers[index]->address());
    caller.send("GET / HTTP/1.1\r\n\r\n");
    EXPECT_TRUE(caller.message().ends_with(index == 0 ? "one" : "two"));
  }
  servers[0]->stopAccepting();
  RawSocket caller = RawSocket::to(servers[1]->address());
  caller.send("GET / HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(caller.message().ends_with("two"));
  network.stop();
}

TEST(HttpServer, BoundsCanChangeWhileTheServerRuns) {
  TestServer served;
  RawSocket caller = served.call();
  std::string const post = "POST / HTTP/1.1\r\ncontent-length: 101\r\n\r\n" + std::string(101, 'b');
  caller.send(post);
  EXPECT_EQ(statusOf(caller.message()), "200");
  RawSocket idle = served.call();
  RawSocket slow = served.call();
  slow.send("GET ");
  served.server->setBounds(shortBounds());
  caller.send(post);
  EXPECT_EQ(statusOf(caller.message()), "413");
  EXPECT_EQ(idle.rest(), "");
  EXPECT_EQ(statusOf(slow.message()), "408");
  ServerBounds none = shortBounds();
  none.maxConnections = 0;
  served.server->setBounds(none);
  RawSocket refused = served.call();
  EXPECT_EQ(refused.rest(), "");
  served.server->setBounds({});
  RawSocket reconnected = served.call();
  reconnected.send(post);
  EXPECT_EQ(statusOf(reconnected.message()), "200");
}

TEST(HttpServer, AnswerLargerThanTheSocketBuffersArrivesComplete) {
  std::string const large(20'000'000, 'a');
  TestServer served({}, [&](Request, Responder respond) { respond({200, {}, large}); });
  RawSocket caller = served.call();
  caller.send("GET / HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(caller.message().ends_with("\r\n\r\n" + large));
  EXPECT_TRUE(caller.message().ends_with("\r\n\r\n" + large));
}

TEST(HttpServer, HandlerMayAnswerFromAnyThread) {
  std::vector<std::future<void>> threads;
  std::mutex mutex;
  TestServer served({}, [&](Request request, Responder respond) {
    std::unique_lock<std::mutex> const lock(mutex);
    threads.push_back(std::async(std::launch::async, [respond = std::move(respond), target = request.target] {
      respond({200, {}, target});
      respond({500, {}, "twice"});
    }));
  });
  RawSocket caller = served.call();
  for (int number = 0; number < 50; ++number) {
    caller.send(numbered("GET /", static_cast<long>(number)) + " HTTP/1.1\r\n\r\n");
    EXPECT_TRUE(caller.message().ends_with(numbered("/", static_cast<long>(number))));
  }
}

}  // namespace
