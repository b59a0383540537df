#include "limeramp/net/http.h"
#include "stand_in_server.h"

#include <gtest/gtest.h>

#include <array>
#include <condition_variable>
#include <cstdio>
#include <future>
#include <latch>
#include <random>
#include <set>

namespace {

using namespace limeramp;
using namespace limeramp::net;
using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;
using retry::Verdict;

constexpr Ms timeoutMs{30'000};
constexpr std::size_t exchangesPerWorkload = 2500;

std::string bodyOf(std::string const& id, std::size_t size) { return id + "|" + std::string(size, 'x') + "|" + id; }

enum class Framing { length, chunked, untilClose, interim, oldVersion };
constexpr int framings = 5;

std::string chunked(std::string const& body) {
  constexpr std::size_t chunkBytes = 700;
  std::string out;
  for (std::size_t at = 0; at < body.size(); at += chunkBytes) {
    std::string const chunk = body.substr(at, chunkBytes);
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", chunk.size());
    out += size.data() + chunk + "\r\n";
  }
  return out + "0\r\n\r\n";
}

std::string answerOf(std::string const& id, std::size_t size, Framing framing, std::string const& headers = "") {
  std::string const body = bodyOf(id, size);
  std::string const identity = (id.empty() ? "" : "x-id: " + id + "\r\n") + headers;
  std::string const length = "content-length: " + std::to_string(body.size()) + "\r\n\r\n";
  switch (framing) {
    case Framing::length:
      return "HTTP/1.1 200 OK\r\n" + identity + length + body;
    case Framing::chunked:
      return "HTTP/1.1 200 OK\r\n" + identity + "transfer-encoding: chunked\r\n\r\n" + chunked(body);
    case Framing::untilClose:
      return "HTTP/1.1 200 OK\r\n" + identity + "\r\n" + body;
    case Framing::interim:
      return "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nx-id: early\r\n\r\nHTTP/1.1 200 OK\r\n" +
             identity + length + body;
    case Framing::oldVersion:
      break;
  }
  return "HTTP/1.0 200 OK\r\n" + identity + length + body;
}

/// The fault that a stand-in server injects into an exchange. The caller chooses it at random and sends it in x-plan.
enum class Fault {
  none,
  cut,
  reset,
  noAnswer,
  late,
  otherId,
  noId,
  surplus,
  lateSurplus,
  closes,
  dropsIdle,
  resetsIdle,
  early,
  cutsRequest
};
constexpr int faults = 14;

struct Plan {
  Fault fault = Fault::none;
  Framing framing = Framing::length;
  std::size_t size = 0;
  std::size_t at = 0;

  std::string text() const {
    return std::to_string(static_cast<int>(fault)) + "." + std::to_string(static_cast<int>(framing)) + "." +
           std::to_string(size) + "." + std::to_string(at);
  }

  static Plan parse(std::string const& text) {
    int fault = 0;
    int framing = 0;
    Plan out;
    std::sscanf(text.c_str(), "%d.%d.%zu.%zu", &fault, &framing, &out.size, &out.at);
    out.fault = static_cast<Fault>(fault);
    out.framing = static_cast<Framing>(framing);
    return out;
  }
};

Reaction reactTo(std::string const& id, Plan const& plan, std::size_t headBytes, std::function<void()> const& cancel) {
  std::string const strayAnswer = answerOf("stray-" + id, 5, Framing::length);
  Reaction out;
  out.bytes = answerOf(id, plan.size, plan.framing);
  out.spoils = plan.framing == Framing::oldVersion;
  out.ending = plan.framing == Framing::untilClose ? Ending::closes : Ending::stays;
  switch (plan.fault) {
    case Fault::none:
      break;
    case Fault::cut:
    case Fault::reset:
      out.bytes.resize(plan.at % out.bytes.size());
      out.ending = plan.fault == Fault::cut ? Ending::closes : Ending::resets;
      break;
    case Fault::noAnswer:
      out.bytes.clear();
      out.ending = Ending::stays;
      out.spoils = true;
      out.whenRead = cancel;
      break;
    case Fault::late:
      out.whenRead = cancel;
      break;
    case Fault::otherId:
      out.bytes = strayAnswer + out.bytes;
      out.spoils = true;
      break;
    case Fault::noId:
      out.bytes = answerOf("", plan.size, plan.framing);
      out.spoils = true;
      break;
    case Fault::surplus:
      out.bytes += plan.at % 2 == 0 ? strayAnswer : "x";
      out.spoils = true;
      break;
    case Fault::lateSurplus:
      out.beforeNext = strayAnswer;
      break;
    case Fault::closes:
      out.bytes = answerOf(id, plan.size, plan.framing, "connection: close\r\n");
      out.spoils = true;
      break;
    case Fault::dropsIdle:
      out.ending = Ending::closes;
      break;
    case Fault::resetsIdle:
      out.ending = Ending::resets;
      break;
    case Fault::early:
      out.answersAtHead = true;
      break;
    case Fault::cutsRequest:
      out.resetsAt = headBytes + plan.at;
      out.runs = false;
      break;
  }
  return out;
}

/// Whether the server sent this answer, completely, to this request.
bool isOwnCompleteAnswer(std::string const& id, Plan const& plan, Answer const& answer) {
  std::string const expected = bodyOf(id, plan.size);
  switch (plan.fault) {
    case Fault::noAnswer:
    case Fault::otherId:
    case Fault::noId:
    case Fault::cutsRequest:
    case Fault::reset:
      return false;
    case Fault::cut:
      return answer.endedByClose && plan.framing == Framing::untilClose && expected.starts_with(answer.body);
    case Fault::surplus:
      return answer.endedByClose ? answer.body.starts_with(expected) : answer.body == expected;
    default:
      return answer.body == expected && answer.endedByClose == (plan.framing == Framing::untilClose);
  }
}

struct Outcome {
  std::size_t exchanges = 0;
  std::size_t answered = 0;
  std::size_t notRun = 0;
  std::size_t mayHaveRun = 0;
  std::size_t connections = 0;
  std::vector<std::string> wrong;
};

/// Runs concurrent calls of one HttpClient against stand-in servers that inject a randomly chosen fault into exchanges.
class ClientFaultWorkload {
 public:
  ClientFaultWorkload(unsigned seed, std::size_t exchanges)
      : seed_(seed), maxExchanges_(exchanges), random_(seed), client_(network_, {}) {
    StandInServer::Script const script = [this](SeenRequest const& seen) {
      std::uint64_t const attempt = std::stoull(seen.header("x-attempt"));
      return reactTo(seen.header("x-id"), Plan::parse(seen.header("x-plan")), seen.head.size(),
                     [this, attempt] { client_.cancel(attempt); });
    };
    for (std::unique_ptr<StandInServer>& server : servers_) {
      server = std::make_unique<StandInServer>("x-id", script);
    }
  }
  ~ClientFaultWorkload() { network_.stop(); }

  Outcome run() {
    for (std::size_t flow = 0; flow < flows; ++flow) {
      network_.post([this] { next(); });
    }
    remainingFlows_.wait();
    std::promise<void> caughtUp;
    network_.post([&] { caughtUp.set_value(); });
    caughtUp.get_future().wait();
    check();
    return std::move(outcome_);
  }

 private:
  static constexpr std::size_t flows = 8;

  void next() {
    if (outcome_.exchanges == maxExchanges_) {
      remainingFlows_.count_down();
      return;
    }
    std::uint64_t const attempt = ++outcome_.exchanges;
    std::string const id = "s" + std::to_string(seed_) + "n" + std::to_string(attempt);
    Plan plan;
    plan.fault = random_() % 3 == 0 ? Fault::none : static_cast<Fault>(random_() % faults);
    plan.framing = random_() % 2 == 0 ? Framing::length : static_cast<Framing>(random_() % framings);
    plan.size = random_() % 4 == 0 ? random_() % 9000 : random_() % 60;
    plan.at = attempt;
    Request request{
        "POST", "/" + id, {{"x-id", id}, {"x-plan", plan.text()}, {"x-attempt", std::to_string(attempt)}}, "", ""};
    request.identity = {"x-id", "x-id", true};
    request.body = bodyOf(id, random_() % 500 == 0 ? 6'000'000 : random_() % 400);
    if (plan.fault == Fault::cutsRequest) {
      plan.at = attempt % request.body.size();
      request.headers[1].second = plan.text();
    }
    Clock::time_point const deadline = Clock::now() + (random_() % 100 == 0 ? Ms(random_() % 3) : timeoutMs);
    client_.begin(attempt, servers_[random_() % servers_.size()]->address(), std::move(request), deadline,
                  [this, id, plan](Exchange const& exchange) {
                    onExchange(id, plan, exchange);
                    next();
                  });
  }

  void onExchange(std::string const& id, Plan const& plan, Exchange const& exchange) {
    if (!completed_.insert(id).second) {
      outcome_.wrong.push_back(id + " was answered twice");
    }
    if (exchange.answer.has_value() != (exchange.verdict == Verdict::ran)) {
      outcome_.wrong.push_back(id + " has a verdict against its answer");
    }
    if (exchange.answer && !isOwnCompleteAnswer(id, plan, *exchange.answer)) {
      outcome_.wrong.push_back(id + " by plan " + plan.text() + " got " + exchange.answer->body.substr(0, 60));
    }
    outcome_.answered += exchange.answer ? 1 : 0;
    outcome_.mayHaveRun += exchange.verdict == Verdict::mayHaveRun ? 1 : 0;
    if (exchange.verdict == Verdict::notRun) {
      ++outcome_.notRun;
      notRun_.insert(id);
    }
  }

  void check() {
    std::map<std::string, int> reads;
    for (std::unique_ptr<StandInServer> const& server : servers_) {
      server->stop();
      for (std::pair<std::string const, int> const& entry : server->read()) {
        reads[entry.first] += entry.second;
      }
      outcome_.connections += server->connections();
      if (server->onSpoiltConnections() > 0) {
        outcome_.wrong.push_back(std::to_string(server->onSpoiltConnections()) + " requests on spoilt connections");
      }
    }
    for (std::pair<std::string const, int> const& entry : reads) {
      if (entry.second > 1) {
        outcome_.wrong.push_back(entry.first + " was read " + std::to_string(entry.second) + " times");
      }
      if (notRun_.contains(entry.first)) {
        outcome_.wrong.push_back(entry.first + " was said not to have run, and was read whole");
      }
    }
  }

  unsigned seed_;
  std::size_t maxExchanges_;
  std::mt19937 random_;
  std::latch remainingFlows_{flows};
  Outcome outcome_;
  std::set<std::string> completed_;
  std::set<std::string> notRun_;
  Network network_;
  HttpClient client_;
  std::array<std::unique_ptr<StandInServer>, 3> servers_;
};

TEST(HttpAdversary, ClientCallersGetTheirOwnCompleteAnswerOrNone) {
  for (unsigned seed = 1; seed <= 6; ++seed) {
    Outcome const outcome = ClientFaultWorkload(seed, exchangesPerWorkload).run();
    std::printf("seed %u: %zu exchanges on %zu connections, %zu answered, %zu not run, %zu in doubt\n", seed,
                outcome.exchanges, outcome.connections, outcome.answered, outcome.notRun, outcome.mayHaveRun);
    for (std::string const& wrong : outcome.wrong) {
      ADD_FAILURE() << "seed " << seed << ": " << wrong;
    }
    EXPECT_EQ(outcome.answered + outcome.notRun + outcome.mayHaveRun, exchangesPerWorkload);
    EXPECT_GT(outcome.answered, 500u);
    EXPECT_GT(outcome.mayHaveRun, 200u);
  }
}

Exchange exchangeWith(HttpClient& client, std::uint64_t attempt, RawListener const& listener,
                      std::function<void(RawSocket&)> const& serve, RawListener& accepting) {
  std::promise<Exchange> promise;
  Request request{"POST", "/", {{"x-id", "own"}}, "body", ""};
  request.identity = {"x-id", "x-id", true};
  client.begin(attempt, listener.address(), std::move(request), Clock::now() + timeoutMs,
               [&promise](Exchange exchange) { promise.set_value(std::move(exchange)); });
  RawSocket server = accepting.accept();
  serve(server);
  return promise.get_future().get();
}

TEST(HttpAdversary, ResetAtAnyByteOfARequestGivesMayHaveRun) {
  Network network;
  HttpClient client(network, {});
  RawListener listener;
  std::string whole;
  exchangeWith(
      client, 1, listener,
      [&](RawSocket& server) {
        whole = server.message();
        server.reset();
      },
      listener);
  ASSERT_TRUE(whole.ends_with("\r\n\r\nbody"));
  for (std::size_t bytes = 0; bytes <= whole.size(); ++bytes) {
    Exchange const exchange = exchangeWith(
        client, bytes + 2, listener,
        [&](RawSocket& server) {
          EXPECT_EQ(server.exactly(bytes), whole.substr(0, bytes));
          server.reset();
        },
        listener);
    EXPECT_FALSE(exchange.answer.has_value()) << bytes;
    EXPECT_TRUE(exchange.verdict == Verdict::mayHaveRun || (bytes == 0 && exchange.verdict == Verdict::notRun))
        << bytes << " " << exchange.reason;
  }
}

TEST(HttpAdversary, TruncatedAnswerIsNeverTreatedAsComplete) {
  Network network;
  HttpClient client(network, {});
  RawListener listener;
  std::uint64_t attempt = 0;
  std::size_t cuts = 0;
  for (Framing const framing : {Framing::length, Framing::chunked, Framing::interim, Framing::oldVersion}) {
    std::string const whole = answerOf("own", 3, framing, "connection: close\r\n");
    for (std::size_t bytes = 0; bytes <= whole.size(); ++bytes) {
      for (bool const resets : {false, true}) {
        if (resets && bytes == whole.size()) {
          continue;
        }
        Exchange const exchange = exchangeWith(
            client, ++attempt, listener,
            [&](RawSocket& server) {
              server.message();
              server.send(std::string_view(whole).substr(0, bytes));
              resets ? server.reset() : server.close();
            },
            listener);
        ++cuts;
        ASSERT_EQ(exchange.answer.has_value(), bytes == whole.size()) << bytes << " of " << whole;
        EXPECT_EQ(exchange.verdict, bytes == whole.size() ? Verdict::ran : Verdict::mayHaveRun) << bytes;
      }
    }
  }
  std::printf("%zu answers cut or reset\n", cuts);
}

TEST(HttpAdversary, AnswerWithWrongOrMissingIdClosesTheConnection) {
  for (bool const withOtherId : {true, false}) {
    Network network;
    HttpClient client(network, {});
    RawListener listener;
    std::promise<Exchange> second;
    std::optional<RawSocket> kept;
    Exchange const first = exchangeWith(
        client, 1, listener,
        [&](RawSocket& server) {
          server.message();
          server.send(answerOf("own", 3, Framing::length));
          kept = std::move(server);
        },
        listener);
    ASSERT_TRUE(first.answer.has_value());
    Request request{"POST", "/", {{"x-id", "second"}}, "body", ""};
    request.identity = {"x-id", "x-id", true};
    client.begin(2, listener.address(), std::move(request), Clock::now() + timeoutMs,
                 [&](Exchange exchange) { second.set_value(std::move(exchange)); });
    kept->message();
    kept->send(answerOf(withOtherId ? "own" : "", 3, Framing::length));
    Exchange const exchange = second.get_future().get();
    EXPECT_FALSE(exchange.answer.has_value());
    EXPECT_EQ(exchange.verdict, Verdict::mayHaveRun);
    EXPECT_EQ(client.counters().all.idle, 0u);
    kept->send(answerOf("second", 3, Framing::length));
    EXPECT_EQ(kept->rest(), "");
  }
}

/// How a handler answers a request. The caller chooses it at random and sends it in x-do.
enum class Handling { immediately, later, twice, dropped };
constexpr int handlings = 4;

/// An HttpServer whose handler answers in random order from another thread, twice, or never.
class ReorderingServer {
 public:
  explicit ReorderingServer(unsigned seed) : random_(seed) {
    std::string error;
    server_ = HttpServer::listen(
        network_, {"127.0.0.1", 0}, {},
        [this](Request request, Responder respond) { handleRequest(std::move(request), std::move(respond)); }, error);
    thread_ = std::thread([this] { answerLater(); });
  }
  ~ReorderingServer() {
    {
      std::unique_lock<std::mutex> const lock(mutex_);
      ends_ = true;
    }
    changed_.notify_all();
    thread_.join();
    network_.stop();
  }

  Address address() const { return server_->address(); }
  std::map<std::string, int> seen() const {
    std::unique_lock<std::mutex> const lock(mutex_);
    return seen_;
  }

 private:
  void handleRequest(Request request, Responder respond) {
    std::string const id = findHeader(request.headers, "x-id").value_or("");
    bool const whole = request.body.starts_with(id + "|") && request.body.ends_with("|" + id);
    std::unique_lock<std::mutex> lock(mutex_);
    ++seen_[whole ? id : "not whole: " + id];
    Handling const handling = static_cast<Handling>(std::stoi(findHeader(request.headers, "x-do").value_or("0")));
    Answer answer{200, {{"x-id", id}}, std::move(request.body)};
    if (handling == Handling::later) {
      held_.emplace_back(std::move(respond), std::move(answer));
      changed_.notify_all();
      return;
    }
    lock.unlock();
    if (handling != Handling::dropped) {
      respond(std::move(answer));
    }
    if (handling == Handling::twice) {
      respond({200, {{"x-id", "doubled"}}, "doubled"});
    }
  }

  void answerLater() {
    std::unique_lock<std::mutex> lock(mutex_);
    for (;;) {
      changed_.wait(lock, [&] { return ends_ || !held_.empty(); });
      if (held_.empty()) {
        return;
      }
      std::swap(held_[random_() % held_.size()], held_.back());
      std::pair<Responder, Answer> const one = std::move(held_.back());
      held_.pop_back();
      lock.unlock();
      one.first(one.second);
      one.first({200, {{"x-id", "doubled"}}, "doubled"});
      lock.lock();
    }
  }

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, int> seen_;
  std::vector<std::pair<Responder, Answer>> held_;
  std::mt19937 random_;
  bool ends_ = false;
  Network network_;
  std::unique_ptr<HttpServer> server_;
  std::thread thread_;
};

/// How a caller ends its connection after its complete requests.
enum class ConnectionEnd { inOrder, cuts, resets, surplus };
constexpr int connectionEnds = 4;

/// Opens one connection after another, sends pipelined requests on it and checks the answers.
class FaultyCaller {
 public:
  FaultyCaller(unsigned seed, std::string prefix, Address const& server)
      : random_(seed), prefix_(std::move(prefix)), server_(server) {}

  void connectOnce() {
    ConnectionEnd const connectionEnd = static_cast<ConnectionEnd>(random_() % connectionEnds);
    std::size_t const count = 1 + random_() % 4;
    std::vector<std::string> ids;
    std::string bytes;
    bool dropped = false;
    for (std::size_t index = 0; index < count && !dropped; ++index) {
      Handling const handling = static_cast<Handling>(random_() % 12 == 0 ? random_() % handlings : random_() % 3);
      dropped = handling == Handling::dropped;
      bytes += drawRequest(handling);
      ids.push_back(lastId());
    }
    std::string tail;
    if (connectionEnd == ConnectionEnd::cuts || connectionEnd == ConnectionEnd::resets) {
      std::string const whole = drawRequest(Handling::immediately);
      tail = whole.substr(0, ++nextCut_ % whole.size());
      cut_.insert(lastId());
    } else if (connectionEnd == ConnectionEnd::surplus) {
      tail = "surplus bytes\r\n\r\n";
    }
    RawSocket socket = RawSocket::to(server_);
    sendInPieces(socket, bytes + tail);
    if (connectionEnd == ConnectionEnd::resets) {
      socket.reset();
      mayHaveRead_.insert(ids.begin(), ids.end());
      return;
    }
    if (connectionEnd != ConnectionEnd::surplus) {
      socket.halfClose();
    }
    readAnswers(socket, ids, dropped);
  }

  std::vector<std::string> const& wrong() const { return wrong_; }
  /// Requests that were sent completely on a connection that was not reset.
  std::set<std::string> const& whole() const { return whole_; }
  /// Requests that the server may have read: sent on a connection that was reset, or left without an answer.
  std::set<std::string> const& mayHaveRead() const { return mayHaveRead_; }
  /// Requests that were not sent completely.
  std::set<std::string> const& cut() const { return cut_; }

 private:
  std::string lastId() const { return prefix_ + std::to_string(number_); }

  std::string drawRequest(Handling handling) {
    ++number_;
    std::string const body = bodyOf(lastId(), random_() % 8 == 0 ? random_() % 6000 : random_() % 40);
    std::string const head = "POST / HTTP/1.1\r\nhost: h\r\nx-id: " + lastId() +
                             "\r\nx-do: " + std::to_string(static_cast<int>(handling)) + "\r\n";
    return random_() % 2 == 0 ? head + "content-length: " + std::to_string(body.size()) + "\r\n\r\n" + body
                              : head + "transfer-encoding: chunked\r\n\r\n" + chunked(body);
  }

  void sendInPieces(RawSocket& socket, std::string_view bytes) {
    while (!bytes.empty()) {
      std::size_t const piece = random_() % 3 == 0 ? bytes.size() : 1 + random_() % bytes.size();
      socket.send(bytes.substr(0, piece));
      bytes.remove_prefix(piece);
    }
  }

  void readAnswers(RawSocket& socket, std::vector<std::string> const& ids, bool dropped) {
    for (std::size_t index = 0; index < ids.size(); ++index) {
      std::string const answer = socket.message();
      if (dropped && index + 1 == ids.size()) {
        mayHaveRead_.insert(ids[index]);
        if (!answer.empty()) {
          wrong_.push_back(ids[index] + " was dropped and got " + answer.substr(0, 100));
        }
        return;
      }
      whole_.insert(ids[index]);
      bool const own =
          answer.starts_with("HTTP/1.1 200") && answer.find("x-id: " + ids[index] + "\r\n") != std::string::npos &&
          answer.find("\r\n\r\n" + ids[index] + "|") != std::string::npos && answer.ends_with("|" + ids[index]);
      if (!own) {
        wrong_.push_back(ids[index] + " got " + answer.substr(0, 200));
      }
    }
    std::string const after = socket.rest();
    if (!after.empty() && !after.starts_with("HTTP/1.1 400")) {
      wrong_.push_back(ids.back() + " was followed by " + after.substr(0, 200));
    }
  }

  std::mt19937 random_;
  std::string prefix_;
  Address server_;
  std::size_t number_ = 0;
  std::size_t nextCut_ = 0;
  std::vector<std::string> wrong_;
  std::set<std::string> whole_;
  std::set<std::string> mayHaveRead_;
  std::set<std::string> cut_;
};

TEST(HttpAdversary, ServerCallersGetOrderedAnswersAndTruncatedRequestsNeverRun) {
  constexpr unsigned seed = 1;
  constexpr int connectionsEach = 300;
  ReorderingServer server(seed);
  std::vector<FaultyCaller> callers;
  for (unsigned index = 0; index < 6; ++index) {
    callers.emplace_back(seed * 100 + index, "c" + std::to_string(index) + "n", server.address());
  }
  std::vector<std::thread> threads;
  threads.reserve(callers.size());
  for (FaultyCaller& caller : callers) {
    threads.emplace_back([&caller] {
      for (int round = 0; round < connectionsEach; ++round) {
        caller.connectOnce();
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  std::map<std::string, int> const seen = server.seen();
  std::size_t whole = 0;
  std::size_t cut = 0;
  for (FaultyCaller const& caller : callers) {
    for (std::string const& wrong : caller.wrong()) {
      ADD_FAILURE() << wrong;
    }
    for (std::string const& id : caller.whole()) {
      EXPECT_EQ(seen.contains(id) ? seen.at(id) : 0, 1) << id;
    }
    for (std::string const& id : caller.cut()) {
      EXPECT_FALSE(seen.contains(id)) << id;
    }
    whole += caller.whole().size();
    cut += caller.cut().size();
  }
  for (std::pair<std::string const, int> const& entry : seen) {
    EXPECT_EQ(entry.second, 1) << entry.first;
    EXPECT_FALSE(entry.first.starts_with("not whole")) << entry.first;
  }
  std::printf("seed %u: %zu requests answered in order, %zu cut, %zu seen by the handler\n", seed, whole, cut,
              seen.size());
  EXPECT_GT(whole, 1000u);
  EXPECT_GT(cut, 300u);
}

}  // namespace
