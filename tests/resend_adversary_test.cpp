#include "limeramp/control/operator_api.h"
#include "limeramp/control/order_forwarder.h"
#include "limeramp/gateway/request_manager.h"
#include "stand_in_server.h"

#include <gtest/gtest.h>

#include <array>
#include <cstdio>
#include <future>
#include <latch>
#include <random>
#include <set>

namespace {

using namespace limeramp;
using net::findHeader;
using retry::TimePoint;
using retry::Verdict;
using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

std::uint64_t mix(std::string const& text, std::uint64_t seed) {
  std::uint64_t hash = 14695981039346656037u ^ (seed * 0x9e3779b97f4a7c15u);
  for (char const character : text) {
    hash = (hash ^ static_cast<unsigned char>(character)) * 1099511628211u;
  }
  hash ^= hash >> 31;
  hash *= 0xbf58476d1ce4e5b9u;
  return hash ^ (hash >> 29);
}

std::string bodyOf(std::string const& id, std::size_t size) { return id + "|" + std::string(size, 'x') + "|" + id; }

std::string answerOf(int status, std::string const& headers, std::string const& body) {
  return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers +
         "content-length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The whole path of a request: server, request plane, dispatch, client.

constexpr Ms requestWaitMs{300};
constexpr std::size_t serversOfAService = 4;

gateway::ParsedAnswer readAnswer(net::Answer const& answer, gateway::SubrequestContext const& context) {
  gateway::ParsedAnswer out;
  if (findHeader(answer.headers, "x-id") != context.request) {
    out.reason = "another request's";
    return out;
  }
  out.finished.staleIncarnation = answer.status == 421;
  bool const notRun = out.finished.staleIncarnation || findHeader(answer.headers, "x-unrun").has_value();
  bool const success = answer.status == 200;
  out.finished.verdict = notRun ? Verdict::notRun : Verdict::ran;
  out.finished.overCapacity = notRun && !out.finished.staleIncarnation;
  out.finished.good = !notRun && (success || !context.expectsShardResult);
  out.finished.healthy = !notRun && success;
  if (context.expectsShardResult && out.finished.good) {
    out.shardResult =
        dispatch::ShardResult{{context.service, context.partition, context.request}, {answer.body}, context.service};
  }
  return out;
}

gateway::ProtocolAdapter adapter() {
  gateway::ProtocolAdapter out;
  out.readCaller = [](net::Request const& request) {
    gateway::Caller caller;
    caller.host = "h";
    caller.id = findHeader(request.headers, "x-id").value_or("");
    caller.remainingMs = requestWaitMs;
    return std::variant<gateway::Caller, gateway::Refusal>(caller);
  };
  out.writeMerged = [](gateway::MergedResult const& merged) {
    net::Answer answer;
    for (std::string const& record : merged.records) {
      answer.body += record + "\n";
    }
    answer.headers = {{"x-parts", std::to_string(merged.shardResults.size())}};
    return answer;
  };
  out.writeForwarded = [](net::Answer&, std::string const&, std::string const&) {};
  out.writeRefusal = [](gateway::Refusal const& refusal) {
    return net::Answer{500, {{"x-verdict", std::string(retry::nameOf(refusal.verdict))}}, refusal.reason};
  };
  out.writeAsk = [](net::Request& request, gateway::SubrequestContext const& context) {
    request.headers.emplace_back("x-life", context.incarnation);
    request.headers.emplace_back("x-service", context.service);
    request.identity = {"x-id", "x-id", true};
  };
  out.readAnswer = readAnswer;
  return out;
}

config::Configuration configuration() {
  config::Configuration out;
  config::Search search;
  search.name = "find";
  search.host = "h";
  search.prefix = "/find/";
  search.shards = {{"s0", ""}, {"s1", ""}};
  search.minimumShards = 1;
  search.maxAttempts = 3;
  search.deadlineMs = requestWaitMs;
  out.searches.push_back(search);
  for (bool const idempotent : {false, true}) {
    config::Route route;
    route.name = idempotent ? "read" : "write";
    route.host = "h";
    route.prefix = "/" + route.name + "/";
    route.choices = {{"w0", 1}};
    route.maxAttempts = 3;
    route.idempotent = idempotent;
    route.deadlineMs = requestWaitMs;
    out.routes.push_back(route);
  }
  for (std::string const service : {"s0", "s1", "w0"}) {
    out.services[service] = {};
  }
  return out;
}

/// A server of one service whose answers break in a drawn way, and whose address goes to another service's server
/// once it has read so many requests.
class FaultyServer {
 public:
  FaultyServer(std::string const& service, std::size_t number, std::uint64_t seed)
      : service_(service),
        life_("life-" + service + std::to_string(number)),
        seed_(mix(life_, seed)),
        goesAfter_(number == 0 ? 150 : SIZE_MAX),
        server_("x-id", [this](SeenRequest const& seen) { return react(seen); }) {}

  dispatch::ServerEndpoint row() const {
    dispatch::ServerEndpoint out;
    out.address = server_.address().text();
    out.zone = "z1";
    out.capacity = 1e6;
    out.incarnation = life_;
    return out;
  }

  StandInServer& stub() { return server_; }

 private:
  Reaction react(SeenRequest const& seen) {
    std::string const id = seen.header("x-id");
    std::string const named = "x-id: " + id + "\r\n";
    std::string const stray = answerOf(200, "x-id: stray\r\n", "stray");
    bool const otherService = ++requests_ > goesAfter_;
    Reaction out;
    if (otherService && seen.header("x-life") != "life-of-another-service") {
      out.bytes = answerOf(421, named, "");
      out.runs = seen.header("x-life").empty();
      return out;
    }
    std::uint64_t const draw = mix(id, seed_);
    out.bytes = answerOf(200, named, bodyOf(id, draw / 100 % 3000));
    std::size_t const at = draw / 100 % out.bytes.size();
    switch (draw % 40) {
      case 0:
        out.bytes.resize(at);
        out.ending = Ending::closes;
        break;
      case 1:
        out.bytes.resize(at);
        out.ending = Ending::resets;
        break;
      case 2:
        out.bytes = stray;
        out.spoils = true;
        break;
      case 3:
        out.bytes += stray;
        out.spoils = true;
        break;
      case 4:
        out.beforeNext = stray;
        break;
      case 5:
        out.ending = Ending::closes;
        break;
      case 6:
        out.resetsAt = seen.head.size() + at % 8;
        out.runs = false;
        break;
      case 7:
      case 8:
        out.bytes = answerOf(503, named + "x-unrun: 1\r\n", "");
        out.runs = false;
        break;
      case 9:
        out.bytes = answerOf(500, named, "");
        break;
      case 10:
        out.bytes = "HTTP/1.1 200 OK\r\n" + named + "\r\n" + bodyOf(id, 50).substr(0, at % 50);
        out.ending = Ending::closes;
        break;
      case 11:
        out.bytes = answerOf(503, "x-unrun: 1\r\n", "");
        out.spoils = true;
        break;
      case 12:
        if (draw / 100 % 20 == 0) {
          out.bytes.clear();
          out.spoils = true;
        }
        break;
      default:
        break;
    }
    return out;
  }

  std::string service_;
  std::string life_;
  std::uint64_t seed_;
  std::size_t goesAfter_;
  std::size_t requests_ = 0;
  StandInServer server_;
};

/// A gateway without its control side: callers' HttpServer, request plane, HttpClient, on one network.
class Path {
 public:
  explicit Path(std::vector<std::pair<std::string, dispatch::ServersUpdated>> const& tables)
      : requestManager_(gateway::NodeIdentity{"m01", "127.0.0.1:1", "z1", 5}, dispatch::DispatchOptions{}, adapter()),
        client_(network_, {}) {
    std::string error;
    server_ = net::HttpServer::listen(
        network_, {"127.0.0.1", 0}, {},
        [this](net::Request request, net::Responder respond) {
          std::uint64_t const number = ++last_;
          responders_.emplace(number, std::move(respond));
          stepDispatcher(gateway::RequestReceived{number, std::move(request), false, std::nullopt});
        },
        error);
    std::promise<void> ready;
    network_.post([&] {
      config::Snapshot snapshot;
      snapshot.version = {1, 2};
      snapshot.configuration = configuration();
      stepDispatcher(gateway::ConfigurationInForce{std::make_shared<config::Snapshot const>(snapshot)});
      stepDispatcher(gateway::PositionChanged{dispatch::FleetPosition{1, 0, 30, 0.2, "z1"}});
      for (std::pair<std::string, dispatch::ServersUpdated> const& table : tables) {
        stepDispatcher(gateway::EndpointsChanged{table.second});
      }
      ready.set_value();
    });
    ready.get_future().wait();
  }
  ~Path() { network_.stop(); }

  net::Address address() const { return server_->address(); }

 private:
  void stepDispatcher(gateway::RequestEvent const& event) {
    for (gateway::RequestEffect const& effect : requestManager_.step(Clock::now(), event)) {
      std::visit([this](auto const& concrete) { carry(concrete); }, effect);
    }
    arm();
  }

  void arm() {
    std::optional<TimePoint> const wake = requestManager_.nextWake(Clock::now());
    if (wake && *wake < armedFor_) {
      network_.cancel(alarm_);
      armedFor_ = *wake;
      alarm_ = network_.at(*wake, [this] {
        armedFor_ = TimePoint::max();
        stepDispatcher(gateway::Tick{});
      });
    }
  }

  void carry(gateway::Reply const& reply) {
    responders_.at(reply.request)(reply.answer);
    responders_.erase(reply.request);
  }
  void carry(gateway::SendRequest const& send) {
    std::uint64_t const attempt = send.attempt;
    client_.begin(attempt, *net::Address::parse(send.server), send.content, send.deadline,
                  [this, attempt](net::Exchange exchange) {
                    stepDispatcher(gateway::ExchangeFinished{attempt, std::move(exchange)});
                  });
  }
  void carry(gateway::CancelRequest const& cancel) { client_.cancel(cancel.attempt); }
  void carry(gateway::ParseShardResult const&) {}
  void carry(gateway::MergeShardResults const& merge) {
    stepDispatcher(
        gateway::MergeFinished{merge.request, dispatch::mergeShardResults(merge.shardResults, merge.resultSize)});
  }
  void carry(dispatch::LogEntry const&) {}

  net::Network network_;
  gateway::RequestManager requestManager_;
  net::HttpClient client_;
  std::unordered_map<std::uint64_t, net::Responder> responders_;
  std::uint64_t last_ = 0;
  TimePoint armedFor_ = TimePoint::max();
  net::Network::TimerId alarm_ = 0;
  std::unique_ptr<net::HttpServer> server_;
};

enum class Kind { write, read, search };

struct Told {
  Kind kind = Kind::write;
  int answers = 0;
  bool notRun = false;
  bool success = false;
};

/// Callers of a path, several at once, and what each was told.
class PathCallers {
 public:
  PathCallers(net::Address const& path, unsigned seed, std::size_t most)
      : path_(path), seed_(seed), most_(most), random_(seed), client_(network_, {}) {}
  ~PathCallers() { network_.stop(); }

  void run() {
    for (std::size_t flow = 0; flow < flows; ++flow) {
      network_.post([this] { next(); });
    }
    left_.wait();
  }

  std::map<std::string, Told> const& told() const { return told_; }
  std::vector<std::string> const& wrong() const { return wrong_; }

 private:
  static constexpr std::size_t flows = 8;

  void next() {
    if (begun_ == most_) {
      left_.count_down();
      return;
    }
    std::uint64_t const number = ++begun_;
    Kind const kind = static_cast<Kind>(random_() % 3);
    std::string const id = "s" + std::to_string(seed_) + "n" + std::to_string(number);
    std::string const prefix = kind == Kind::write ? "/write/" : kind == Kind::read ? "/read/" : "/find/";
    told_[id].kind = kind;
    client_.begin(number, path_, {"POST", prefix + id, {{"host", "h"}, {"x-id", id}}, bodyOf(id, random_() % 300), ""},
                  Clock::now() + Ms(30'000), [this, id](net::Exchange const& exchange) {
                    onFinished(id, exchange);
                    next();
                  });
  }

  void onFinished(std::string const& id, net::Exchange const& exchange) {
    Told& told = told_.at(id);
    ++told.answers;
    if (!exchange.answer) {
      wrong_.push_back(id + " was left without an answer: " + exchange.reason);
      return;
    }
    net::Answer const& answer = *exchange.answer;
    told.notRun = findHeader(answer.headers, "x-verdict") == "not_run";
    told.success = answer.status == 200;
    if (told.success && !isOwn(id, told.kind, answer)) {
      wrong_.push_back(id + " got " + answer.body.substr(0, 100));
    }
  }

  static bool isOwn(std::string const& id, Kind kind, net::Answer const& answer) {
    if (kind != Kind::search) {
      return answer.body.starts_with(id + "|") && answer.body.ends_with("|" + id) && answer.body.size() > 2 * id.size();
    }
    std::string rest = answer.body;
    int shardResults = 0;
    for (std::size_t end = rest.find('\n'); end != std::string::npos; end = rest.find('\n')) {
      std::string const shardResult = rest.substr(0, end);
      if (!shardResult.starts_with(id + "|") || !shardResult.ends_with("|" + id)) {
        return false;
      }
      ++shardResults;
      rest.erase(0, end + 1);
    }
    return rest.empty() && std::to_string(shardResults) == findHeader(answer.headers, "x-parts").value_or("");
  }

  net::Address path_;
  unsigned seed_;
  std::size_t most_;
  std::mt19937 random_;
  std::latch left_{flows};
  std::size_t begun_ = 0;
  std::map<std::string, Told> told_;
  std::vector<std::string> wrong_;
  net::Network network_;
  net::HttpClient client_;
};

void addTo(std::map<std::string, int>& sums, std::map<std::string, int> const& counts) {
  for (std::pair<std::string const, int> const& entry : counts) {
    sums[entry.first] += entry.second;
  }
}

TEST(ResendAdversary, ARequestThatMayNotBeRepeatedRunsOnceAndNoneThatRanIsSaidNotToHave) {
  constexpr std::size_t requests = 2000;
  for (unsigned seed = 1; seed <= 3; ++seed) {
    std::vector<std::unique_ptr<FaultyServer>> servers;
    std::vector<std::pair<std::string, dispatch::ServersUpdated>> tables;
    for (std::string const service : {"s0", "s1", "w0"}) {
      dispatch::ServersUpdated table{service, {}};
      for (std::size_t number = 0; number < serversOfAService; ++number) {
        servers.push_back(std::make_unique<FaultyServer>(service, number, seed));
        table.rows.push_back(servers.back()->row());
      }
      tables.emplace_back(service, table);
    }
    std::unique_ptr<Path> path = std::make_unique<Path>(tables);
    PathCallers callers(path->address(), seed, requests);
    callers.run();
    path.reset();
    std::map<std::string, int> ran;
    std::map<std::string, int> read;
    for (std::unique_ptr<FaultyServer> const& server : servers) {
      server->stub().stop();
      addTo(ran, server->stub().ran());
      addTo(read, server->stub().read());
      EXPECT_EQ(server->stub().onSpoiltConnections(), 0u) << "seed " << seed;
    }
    std::size_t successes = 0;
    std::size_t promises = 0;
    std::size_t again = 0;
    for (std::string const& wrong : callers.wrong()) {
      ADD_FAILURE() << "seed " << seed << ": " << wrong;
    }
    for (std::pair<std::string const, Told> const& entry : callers.told()) {
      Told const& told = entry.second;
      EXPECT_EQ(told.answers, 1) << entry.first;
      int const most = told.kind == Kind::write ? 1 : told.kind == Kind::read ? 3 : 6;
      EXPECT_LE(ran[entry.first], most) << "seed " << seed << " " << entry.first;
      EXPECT_TRUE(!told.notRun || ran[entry.first] == 0) << "seed " << seed << " " << entry.first;
      EXPECT_TRUE(!told.success || ran[entry.first] > 0) << "seed " << seed << " " << entry.first;
      successes += told.success ? 1 : 0;
      promises += told.notRun ? 1 : 0;
      again += told.kind == Kind::write && read[entry.first] > 1 ? 1 : 0;
    }
    std::printf("seed %u: %zu requests, %zu successes, %zu said not to have run, %zu unrepeatable ones sent again\n",
                seed, requests, successes, promises, again);
    EXPECT_GT(successes, requests / 3);
    EXPECT_GT(again, 5u);
  }
}

// Orders of an operator that are handed to the primary.

/// The state that all stand-in primaries share: which orders were taken, as the receipts of a real group.
class Receipts {
 public:
  bool taken(std::string const& order) const {
    std::unique_lock<std::mutex> const lock(mutex_);
    std::map<std::string, bool>::const_iterator const found = decisions_.find(order);
    return found != decisions_.end() && found->second;
  }
  /// The first decision about an order holds.
  bool decide(std::string const& order, bool taken) {
    std::unique_lock<std::mutex> const lock(mutex_);
    return decisions_.emplace(order, taken).first->second;
  }
  std::uint64_t nextTry(std::string const& order, std::string const& change) {
    std::unique_lock<std::mutex> const lock(mutex_);
    changes_[order].insert(change);
    return ++tries_[order];
  }
  /// Orders that came under more than one id.
  std::size_t renamed() const {
    std::unique_lock<std::mutex> const lock(mutex_);
    return static_cast<std::size_t>(std::count_if(
        changes_.begin(), changes_.end(),
        [](std::pair<std::string const, std::set<std::string>> const& entry) { return entry.second.size() != 1; }));
  }

 private:
  mutable std::mutex mutex_;
  std::map<std::string, bool> decisions_;
  std::map<std::string, std::uint64_t> tries_;
  std::map<std::string, std::set<std::string>> changes_;
};

/// A node whose orders are handed on to stand-in primaries, with a clock that the test moves.
class Orders {
 public:
  explicit Orders(std::uint64_t seed) : seed_(seed), client_(network_, {}) {
    for (std::unique_ptr<StandInServer>& primary : primaries_) {
      primary = std::make_unique<StandInServer>("x-order", [this](SeenRequest const& seen) { return react(seen); });
    }
    runner_ =
        std::make_unique<control::OrderForwarder>(client_, "127.0.0.1:1", 100, [this](control::ForwardFinished back) {
          runner_->onFinished(now(), back);
          moveOn(Ms(250));
        });
    network_.post([this] { moveOn(Ms(1)); });
  }
  ~Orders() {
    network_.stop();
    for (std::unique_ptr<StandInServer> const& primary : primaries_) {
      primary->stop();
    }
  }

  /// Every other order has time for few attempts, so that doubt about one of them is all there is to tell.
  net::Answer send(std::string const& order) {
    std::promise<net::Answer> answer;
    network_.post([&] {
      net::Request const request{"PUT",
                                 "/limeramp/configuration",
                                 {{"limeramp-base-revision", "7"},
                                  {"limeramp-deadline-ms", std::stoi(order) % 2 == 0 ? "3000" : "400"},
                                  {"x-order", order}},
                                 "{\"order\":" + order + "}",
                                 ""};
      runner_->take(now(), now(), request, [&answer](net::Answer const& told) { answer.set_value(told); });
    });
    return answer.get_future().get();
  }

  Receipts const& receipts() const { return receipts_; }
  void stopPrimaries() {
    for (std::unique_ptr<StandInServer> const& primary : primaries_) {
      primary->stop();
    }
  }

 private:
  TimePoint now() const { return Clock::now() + passed_; }

  void moveOn(Ms time) {
    passed_ += time;
    network_.post([this] { runner_->tick(now(), primaries_[++turns_ / 3 % 2]->address().text()); });
  }

  /// The answer of a primary that knows the order: taken or refused for good.
  std::string decide(std::string const& order, std::string const& named, bool takes) {
    bool const taken = receipts_.decide(order, takes);
    return answerOf(taken ? 200 : 409, named, taken ? R"({"outcome":"taken"})" : R"({"outcome":"conflict"})");
  }

  Reaction react(SeenRequest const& seen) {
    std::string const order = seen.header("x-order");
    std::string const change = seen.header("limeramp-change");
    std::string const named = "limeramp-change: " + change + "\r\n";
    std::uint64_t const draw = mix(order, seed_ + receipts_.nextTry(order, change) * 1000);
    std::uint64_t const other = draw / 100;
    Reaction out;
    switch (draw % 12) {
      case 0:
      case 1:
        out.bytes = decide(order, named, true);
        out.bytes.resize(other % out.bytes.size());
        out.ending = draw % 2 == 0 ? Ending::closes : Ending::resets;
        break;
      case 2:
        decide(order, named, true);
        out.spoils = true;
        out.whenRead = [this] { network_.post([this] { moveOn(Ms(3000)); }); };
        break;
      case 3:
        out.resetsAt = seen.head.size() + other % 4;
        break;
      case 4:
        out.bytes = answerOf(503, named, R"({"outcome":"not_run"})");
        break;
      case 5:
        out.bytes = decide(order, named, false);
        break;
      case 6:
        out.bytes = answerOf(404, "", "another program");
        break;
      case 7:
        out.bytes = answerOf(200, "", "another program");
        break;
      case 8:
        decide(order, named, true);
        out.bytes = answerOf(other % 2 == 0 ? 200 : 409, "limeramp-change: another\r\n", "");
        out.spoils = true;
        break;
      case 9:
        decide(order, named, true);
        out.bytes = answerOf(other % 2 == 0 ? 503 : 400, "", R"({"change":"another"})");
        break;
      default:
        out.bytes = decide(order, named, true);
        break;
    }
    return out;
  }

  std::uint64_t seed_;
  Receipts receipts_;
  Ms passed_{0};
  std::size_t turns_ = 0;
  net::Network network_;
  net::HttpClient client_;
  std::unique_ptr<control::OrderForwarder> runner_;
  std::array<std::unique_ptr<StandInServer>, 2> primaries_;
};

/// An answer that leaves open whether the order is taken. A 503 speaks of its own call alone: after an earlier call
/// that was left in doubt it decides nothing.
bool isUnclear(net::Answer const& answer, bool inDoubt) {
  return answer.status == 504 || (inDoubt && answer.status == 503);
}

TEST(ResendAdversary, AnOrderThatMayHaveReachedThePrimaryIsNeverSaidToBeRefused) {
  constexpr int orders = 800;
  constexpr int maxRepetitions = 6;
  for (std::uint64_t seed = 1; seed <= 2; ++seed) {
    Orders path(seed);
    std::set<std::string> refused;
    std::set<std::string> taken;
    std::size_t unknown = 0;
    for (int number = 0; number < orders; ++number) {
      std::string const order = std::to_string(number);
      net::Answer answer = path.send(order);
      bool inDoubt = false;
      for (int turn = 1; turn < maxRepetitions && isUnclear(answer, inDoubt); ++turn) {
        inDoubt = true;
        ++unknown;
        answer = path.send(order);
      }
      if (answer.status == 200) {
        taken.insert(order);
      } else if (!isUnclear(answer, inDoubt)) {
        refused.insert(order);
      }
    }
    path.stopPrimaries();
    for (std::string const& order : refused) {
      EXPECT_FALSE(path.receipts().taken(order)) << "seed " << seed << ": refused and taken " << order;
    }
    for (std::string const& order : taken) {
      EXPECT_TRUE(path.receipts().taken(order)) << "seed " << seed << ": acknowledged and not taken " << order;
    }
    EXPECT_EQ(path.receipts().renamed(), 0u) << "a repetition has another id";
    std::printf("seed %llu: %zu orders taken, %zu refused, %zu left in doubt and sent again\n",
                static_cast<unsigned long long>(seed), taken.size(), refused.size(), unknown);
    EXPECT_GT(taken.size(), 400u);
    EXPECT_GT(refused.size(), 20u);
    EXPECT_GT(unknown, 20u);
  }
}

}  // namespace
