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

// The request path of a gateway: HTTP server, RequestManager with its Dispatcher, HTTP client.

constexpr Ms requestTimeoutMs{300};
constexpr std::size_t serversPerService = 4;

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
    caller.remainingMs = requestTimeoutMs;
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
  search.deadlineMs = requestTimeoutMs;
  out.searches.push_back(search);
  for (bool const idempotent : {false, true}) {
    config::Route route;
    route.name = idempotent ? "read" : "write";
    route.host = "h";
    route.prefix = "/" + route.name + "/";
    route.choices = {{"w0", 1}};
    route.maxAttempts = 3;
    route.idempotent = idempotent;
    route.deadlineMs = requestTimeoutMs;
    out.routes.push_back(route);
  }
  for (std::string const service : {"s0", "s1", "w0"}) {
    out.services[service] = {};
  }
  return out;
}

/// A server of one service whose answers fail in a pseudo-random way. After a number of requests its address belongs to
/// a server of another service.
class FaultyServer {
 public:
  FaultyServer(std::string const& service, std::size_t number, std::uint64_t seed)
      : service_(service),
        incarnation_("life-" + service + std::to_string(number)),
        seed_(mix(incarnation_, seed)),
        reassignedAfter_(number == 0 ? 150 : SIZE_MAX),
        server_("x-id", [this](SeenRequest const& seen) { return reactionTo(seen); }) {}

  dispatch::ServerEndpoint endpoint() const {
    dispatch::ServerEndpoint out;
    out.address = server_.address().text();
    out.zone = "z1";
    out.capacity = 1e6;
    out.incarnation = incarnation_;
    return out;
  }

  StandInServer& standIn() { return server_; }

 private:
  Reaction reactionTo(SeenRequest const& seen) {
    std::string const id = seen.header("x-id");
    std::string const idHeaderLine = "x-id: " + id + "\r\n";
    std::string const stray = answerOf(200, "x-id: stray\r\n", "stray");
    bool const otherService = ++requests_ > reassignedAfter_;
    Reaction out;
    if (otherService && seen.header("x-life") != "life-of-another-service") {
      out.bytes = answerOf(421, idHeaderLine, "");
      out.runs = seen.header("x-life").empty();
      return out;
    }
    std::uint64_t const draw = mix(id, seed_);
    out.bytes = answerOf(200, idHeaderLine, bodyOf(id, draw / 100 % 3000));
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
        out.bytes = answerOf(503, idHeaderLine + "x-unrun: 1\r\n", "");
        out.runs = false;
        break;
      case 9:
        out.bytes = answerOf(500, idHeaderLine, "");
        break;
      case 10:
        out.bytes = "HTTP/1.1 200 OK\r\n" + idHeaderLine + "\r\n" + bodyOf(id, 50).substr(0, at % 50);
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
  std::string incarnation_;
  std::uint64_t seed_;
  std::size_t reassignedAfter_;
  std::size_t requests_ = 0;
  StandInServer server_;
};

/// A gateway without control plane: HttpServer for callers, RequestManager and HttpClient on one network thread.
class GatewayUnderTest {
 public:
  explicit GatewayUnderTest(std::vector<std::pair<std::string, dispatch::ServersUpdated>> const& tables)
      : requestManager_(gateway::NodeIdentity{"m01", "127.0.0.1:1", "z1", 5}, dispatch::DispatchOptions{}, adapter()),
        client_(network_, {}) {
    std::string error;
    server_ = net::HttpServer::listen(
        network_, {"127.0.0.1", 0}, {},
        [this](net::Request request, net::Responder respond) {
          std::uint64_t const number = ++lastRequest_;
          responders_.emplace(number, std::move(respond));
          step(gateway::RequestReceived{number, std::move(request), false, std::nullopt});
        },
        error);
    std::promise<void> ready;
    network_.post([&] {
      config::Snapshot snapshot;
      snapshot.version = {1, 2};
      snapshot.configuration = configuration();
      step(gateway::ConfigurationInForce{std::make_shared<config::Snapshot const>(snapshot)});
      step(gateway::PositionChanged{dispatch::FleetPosition{1, 0, 30, 0.2, "z1"}});
      for (std::pair<std::string, dispatch::ServersUpdated> const& table : tables) {
        step(gateway::EndpointsChanged{table.second});
      }
      ready.set_value();
    });
    ready.get_future().wait();
  }
  ~GatewayUnderTest() { network_.stop(); }

  net::Address address() const { return server_->address(); }

 private:
  void step(gateway::RequestEvent const& event) {
    for (gateway::RequestEffect const& effect : requestManager_.step(Clock::now(), event)) {
      std::visit([this](auto const& concrete) { apply(concrete); }, effect);
    }
    armTimer();
  }

  void armTimer() {
    std::optional<TimePoint> const wake = requestManager_.nextWake(Clock::now());
    if (wake && *wake < armedFor_) {
      network_.cancel(timer_);
      armedFor_ = *wake;
      timer_ = network_.at(*wake, [this] {
        armedFor_ = TimePoint::max();
        step(gateway::Tick{});
      });
    }
  }

  void apply(gateway::Reply const& reply) {
    responders_.at(reply.request)(reply.answer);
    responders_.erase(reply.request);
  }
  void apply(gateway::SendRequest const& send) {
    std::uint64_t const attempt = send.attempt;
    client_.begin(attempt, *net::Address::parse(send.server), send.content, send.deadline,
                  [this, attempt](net::Exchange exchange) {
                    step(gateway::ExchangeFinished{attempt, std::move(exchange)});
                  });
  }
  void apply(gateway::CancelRequest const& cancel) { client_.cancel(cancel.attempt); }
  void apply(gateway::ParseShardResult const&) {}
  void apply(gateway::MergeShardResults const& merge) {
    step(gateway::MergeFinished{merge.request, dispatch::mergeShardResults(merge.shardResults, merge.resultSize)});
  }
  void apply(dispatch::LogEntry const&) {}

  net::Network network_;
  gateway::RequestManager requestManager_;
  net::HttpClient client_;
  std::unordered_map<std::uint64_t, net::Responder> responders_;
  std::uint64_t lastRequest_ = 0;
  TimePoint armedFor_ = TimePoint::max();
  net::Network::TimerId timer_ = 0;
  std::unique_ptr<net::HttpServer> server_;
};

enum class RequestKind { write, read, search };

struct CallerOutcome {
  RequestKind kind = RequestKind::write;
  int answers = 0;
  bool notRun = false;
  bool success = false;
};

/// Concurrent callers of a gateway, and the outcome that each was told.
class Callers {
 public:
  Callers(net::Address const& gatewayAddress, unsigned seed, std::size_t maxRequests)
      : gatewayAddress_(gatewayAddress), seed_(seed), maxRequests_(maxRequests), random_(seed), client_(network_, {}) {}
  ~Callers() { network_.stop(); }

  void run() {
    for (std::size_t flow = 0; flow < concurrency; ++flow) {
      network_.post([this] { next(); });
    }
    runningFlows_.wait();
  }

  std::map<std::string, CallerOutcome> const& outcomes() const { return outcomes_; }
  std::vector<std::string> const& violations() const { return violations_; }

 private:
  static constexpr std::size_t concurrency = 8;

  void next() {
    if (begun_ == maxRequests_) {
      runningFlows_.count_down();
      return;
    }
    std::uint64_t const number = ++begun_;
    RequestKind const kind = static_cast<RequestKind>(random_() % 3);
    std::string const id = "s" + std::to_string(seed_) + "n" + std::to_string(number);
    std::string const prefix = kind == RequestKind::write ? "/write/" : kind == RequestKind::read ? "/read/" : "/find/";
    outcomes_[id].kind = kind;
    client_.begin(number, gatewayAddress_,
                  {"POST", prefix + id, {{"host", "h"}, {"x-id", id}}, bodyOf(id, random_() % 300), ""},
                  Clock::now() + Ms(30'000), [this, id](net::Exchange const& exchange) {
                    onFinished(id, exchange);
                    next();
                  });
  }

  void onFinished(std::string const& id, net::Exchange const& exchange) {
    CallerOutcome& told = outcomes_.at(id);
    ++told.answers;
    if (!exchange.answer) {
      violations_.push_back(id + " got no answer: " + exchange.reason);
      return;
    }
    net::Answer const& answer = *exchange.answer;
    told.notRun = findHeader(answer.headers, "x-verdict") == "not_run";
    told.success = answer.status == 200;
    if (told.success && !belongsToRequest(id, told.kind, answer)) {
      violations_.push_back(id + " got " + answer.body.substr(0, 100));
    }
  }

  static bool belongsToRequest(std::string const& id, RequestKind kind, net::Answer const& answer) {
    if (kind != RequestKind::search) {
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

  net::Address gatewayAddress_;
  unsigned seed_;
  std::size_t maxRequests_;
  std::mt19937 random_;
  std::latch runningFlows_{concurrency};
  std::size_t begun_ = 0;
  std::map<std::string, CallerOutcome> outcomes_;
  std::vector<std::string> violations_;
  net::Network network_;
  net::HttpClient client_;
};

void addTo(std::map<std::string, int>& sums, std::map<std::string, int> const& counts) {
  for (std::pair<std::string const, int> const& entry : counts) {
    sums[entry.first] += entry.second;
  }
}

TEST(ResendAdversary, RequestRunsAtMostOnceAndIsNotReportedNotRunIfItRan) {
  constexpr std::size_t requests = 2000;
  for (unsigned seed = 1; seed <= 3; ++seed) {
    std::vector<std::unique_ptr<FaultyServer>> servers;
    std::vector<std::pair<std::string, dispatch::ServersUpdated>> tables;
    for (std::string const service : {"s0", "s1", "w0"}) {
      dispatch::ServersUpdated table{service, {}};
      for (std::size_t number = 0; number < serversPerService; ++number) {
        servers.push_back(std::make_unique<FaultyServer>(service, number, seed));
        table.rows.push_back(servers.back()->endpoint());
      }
      tables.emplace_back(service, table);
    }
    std::unique_ptr<GatewayUnderTest> gateway = std::make_unique<GatewayUnderTest>(tables);
    Callers callers(gateway->address(), seed, requests);
    callers.run();
    gateway.reset();
    std::map<std::string, int> ran;
    std::map<std::string, int> read;
    for (std::unique_ptr<FaultyServer> const& server : servers) {
      server->standIn().stop();
      addTo(ran, server->standIn().ran());
      addTo(read, server->standIn().read());
      EXPECT_EQ(server->standIn().onSpoiltConnections(), 0u) << "seed " << seed;
    }
    std::size_t successes = 0;
    std::size_t saidNotRun = 0;
    std::size_t resent = 0;
    for (std::string const& violation : callers.violations()) {
      ADD_FAILURE() << "seed " << seed << ": " << violation;
    }
    for (std::pair<std::string const, CallerOutcome> const& entry : callers.outcomes()) {
      CallerOutcome const& told = entry.second;
      EXPECT_EQ(told.answers, 1) << entry.first;
      int const most = told.kind == RequestKind::write ? 1 : told.kind == RequestKind::read ? 3 : 6;
      EXPECT_LE(ran[entry.first], most) << "seed " << seed << " " << entry.first;
      EXPECT_TRUE(!told.notRun || ran[entry.first] == 0) << "seed " << seed << " " << entry.first;
      EXPECT_TRUE(!told.success || ran[entry.first] > 0) << "seed " << seed << " " << entry.first;
      successes += told.success ? 1 : 0;
      saidNotRun += told.notRun ? 1 : 0;
      resent += told.kind == RequestKind::write && read[entry.first] > 1 ? 1 : 0;
    }
    std::printf("seed %u: %zu requests, %zu successes, %zu reported as not run, %zu non-idempotent ones resent\n", seed,
                requests, successes, saidNotRun, resent);
    EXPECT_GT(successes, requests / 3);
    EXPECT_GT(resent, 5u);
  }
}

// Operators' orders that a node forwards to the primary.

/// The decisions about orders that all stand-in primaries share, as a replication group keeps its receipts.
class OrderReceipts {
 public:
  bool taken(std::string const& order) const {
    std::unique_lock<std::mutex> const lock(mutex_);
    std::map<std::string, bool>::const_iterator const found = decisions_.find(order);
    return found != decisions_.end() && found->second;
  }
  /// Records a decision and returns the one in force: the first decision about an order stands.
  bool decide(std::string const& order, bool taken) {
    std::unique_lock<std::mutex> const lock(mutex_);
    return decisions_.emplace(order, taken).first->second;
  }
  std::uint64_t countAttempt(std::string const& order, std::string const& change) {
    std::unique_lock<std::mutex> const lock(mutex_);
    changeIds_[order].insert(change);
    return ++attempts_[order];
  }
  /// Number of orders that were sent with more than one change id.
  std::size_t ordersWithSeveralIds() const {
    std::unique_lock<std::mutex> const lock(mutex_);
    return static_cast<std::size_t>(std::count_if(
        changeIds_.begin(), changeIds_.end(),
        [](std::pair<std::string const, std::set<std::string>> const& entry) { return entry.second.size() != 1; }));
  }

 private:
  mutable std::mutex mutex_;
  std::map<std::string, bool> decisions_;
  std::map<std::string, std::uint64_t> attempts_;
  std::map<std::string, std::set<std::string>> changeIds_;
};

/// Forwards orders to stand-in primaries through an OrderForwarder, with a clock that the test advances.
class OrderSender {
 public:
  explicit OrderSender(std::uint64_t seed) : seed_(seed), client_(network_, {}) {
    for (std::unique_ptr<StandInServer>& primary : primaries_) {
      primary =
          std::make_unique<StandInServer>("x-order", [this](SeenRequest const& seen) { return reactionTo(seen); });
    }
    forwarder_ =
        std::make_unique<control::OrderForwarder>(client_, "127.0.0.1:1", 100, [this](control::ForwardFinished back) {
          forwarder_->onFinished(now(), back);
          advance(Ms(250));
        });
    network_.post([this] { advance(Ms(1)); });
  }
  ~OrderSender() {
    network_.stop();
    for (std::unique_ptr<StandInServer> const& primary : primaries_) {
      primary->stop();
    }
  }

  /// Every other order has a deadline of 400 ms, which allows few attempts, so that its answer depends on an attempt
  /// with unknown outcome.
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
      forwarder_->take(now(), now(), request, [&answer](net::Answer const& told) { answer.set_value(told); });
    });
    return answer.get_future().get();
  }

  OrderReceipts const& receipts() const { return receipts_; }
  void stopPrimaries() {
    for (std::unique_ptr<StandInServer> const& primary : primaries_) {
      primary->stop();
    }
  }

 private:
  TimePoint now() const { return Clock::now() + elapsed_; }

  void advance(Ms time) {
    elapsed_ += time;
    network_.post([this] { forwarder_->tick(now(), primaries_[++ticks_ / 3 % 2]->address().text()); });
  }

  /// The answer of a primary that has decided the order: taken, or refused permanently.
  std::string decide(std::string const& order, std::string const& idHeaderLine, bool takes) {
    bool const taken = receipts_.decide(order, takes);
    return answerOf(taken ? 200 : 409, idHeaderLine, taken ? R"({"outcome":"taken"})" : R"({"outcome":"conflict"})");
  }

  Reaction reactionTo(SeenRequest const& seen) {
    std::string const order = seen.header("x-order");
    std::string const change = seen.header("limeramp-change");
    std::string const idHeaderLine = "limeramp-change: " + change + "\r\n";
    std::uint64_t const draw = mix(order, seed_ + receipts_.countAttempt(order, change) * 1000);
    std::uint64_t const other = draw / 100;
    Reaction out;
    switch (draw % 12) {
      case 0:
      case 1:
        out.bytes = decide(order, idHeaderLine, true);
        out.bytes.resize(other % out.bytes.size());
        out.ending = draw % 2 == 0 ? Ending::closes : Ending::resets;
        break;
      case 2:
        decide(order, idHeaderLine, true);
        out.spoils = true;
        out.whenRead = [this] { network_.post([this] { advance(Ms(3000)); }); };
        break;
      case 3:
        out.resetsAt = seen.head.size() + other % 4;
        break;
      case 4:
        out.bytes = answerOf(503, idHeaderLine, R"({"outcome":"not_run"})");
        break;
      case 5:
        out.bytes = decide(order, idHeaderLine, false);
        break;
      case 6:
        out.bytes = answerOf(404, "", "another program");
        break;
      case 7:
        out.bytes = answerOf(200, "", "another program");
        break;
      case 8:
        decide(order, idHeaderLine, true);
        out.bytes = answerOf(other % 2 == 0 ? 200 : 409, "limeramp-change: another\r\n", "");
        out.spoils = true;
        break;
      case 9:
        decide(order, idHeaderLine, true);
        out.bytes = answerOf(other % 2 == 0 ? 503 : 400, "", R"({"change":"another"})");
        break;
      default:
        out.bytes = decide(order, idHeaderLine, true);
        break;
    }
    return out;
  }

  std::uint64_t seed_;
  OrderReceipts receipts_;
  Ms elapsed_{0};
  std::size_t ticks_ = 0;
  net::Network network_;
  net::HttpClient client_;
  std::unique_ptr<control::OrderForwarder> forwarder_;
  std::array<std::unique_ptr<StandInServer>, 2> primaries_;
};

/// Whether an answer leaves open if the order is taken. A 503 concerns only its own call: after an earlier call with
/// unknown outcome it decides nothing.
bool isOutcomeUnknown(net::Answer const& answer, bool inDoubt) {
  return answer.status == 504 || (inDoubt && answer.status == 503);
}

TEST(ResendAdversary, OrderThatMayHaveReachedThePrimaryIsNotReportedRefused) {
  constexpr int orders = 800;
  constexpr int maxSends = 6;
  for (std::uint64_t seed = 1; seed <= 2; ++seed) {
    OrderSender sender(seed);
    std::set<std::string> refused;
    std::set<std::string> taken;
    std::size_t unknown = 0;
    for (int number = 0; number < orders; ++number) {
      std::string const order = std::to_string(number);
      net::Answer answer = sender.send(order);
      bool inDoubt = false;
      for (int sends = 1; sends < maxSends && isOutcomeUnknown(answer, inDoubt); ++sends) {
        inDoubt = true;
        ++unknown;
        answer = sender.send(order);
      }
      if (answer.status == 200) {
        taken.insert(order);
      } else if (!isOutcomeUnknown(answer, inDoubt)) {
        refused.insert(order);
      }
    }
    sender.stopPrimaries();
    for (std::string const& order : refused) {
      EXPECT_FALSE(sender.receipts().taken(order)) << "seed " << seed << ": reported as refused but taken: " << order;
    }
    for (std::string const& order : taken) {
      EXPECT_TRUE(sender.receipts().taken(order)) << "seed " << seed << ": acknowledged but not taken: " << order;
    }
    EXPECT_EQ(sender.receipts().ordersWithSeveralIds(), 0u) << "an order was resent with another change id";
    std::printf("seed %llu: %zu orders taken, %zu refused, %zu resent after an unknown outcome\n",
                static_cast<unsigned long long>(seed), taken.size(), refused.size(), unknown);
    EXPECT_GT(taken.size(), 400u);
    EXPECT_GT(refused.size(), 20u);
    EXPECT_GT(unknown, 20u);
  }
}

}  // namespace
