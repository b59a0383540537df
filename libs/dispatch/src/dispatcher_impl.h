#pragma once

#include "limeramp/dispatch/dispatcher.h"
#include "limeramp/retry/retry_budget.h"

#include <array>
#include <compare>
#include <deque>
#include <set>
#include <unordered_map>

namespace limeramp::dispatch {

using Ms = std::chrono::milliseconds;
using FineMs = std::chrono::duration<double, std::milli>;

inline double millis(TimePoint::duration length) { return FineMs(length).count(); }
inline TimePoint::duration fine(double lengthMs) {
  return std::chrono::duration_cast<TimePoint::duration>(FineMs(lengthMs));
}

constexpr std::size_t priorityCount = 16;
constexpr std::size_t maxKinds = 8;

struct SubrequestKey {
  std::uint64_t request = 0;
  std::uint32_t shard = 0;
  std::strong_ordering operator<=>(SubrequestKey const&) const = default;
};

struct Waiting {
  std::size_t priority = 0;
  std::uint64_t order = 0;
  SubrequestKey key;
  std::strong_ordering operator<=>(Waiting const&) const = default;
};

class LatencyWindow {
 public:
  void add(double latencyMs, double quantile);
  bool known() const { return !window_.empty(); }
  double typicalMs() const { return typicalMs_; }
  double tailMs() const { return tailMs_; }

 private:
  std::vector<float> window_;
  std::vector<float> sorted_;
  std::size_t next_ = 0;
  double typicalMs_ = 0;
  double tailMs_ = 0;
};

struct ServerState {
  std::uint64_t id = 0;
  ServerEndpoint row;
  TimePoint startedAt;
  TimePoint backAt{};
  std::vector<TimePoint> open;
  std::deque<TimePoint> abandonedUntil;
  TimePoint answeredAt{};
  double latencyMs = 0;
  TimePoint latencyAt;
  std::size_t failures = 0;
  TimePoint firstFailureAt;
  double errorScore = 0;
  TimePoint errorScoreAt{};
  std::size_t unanswered = 0;
  TimePoint firstUnansweredAt;
  std::optional<TimePoint> unresponsiveUntil;
  Ms unresponsiveMs{0};
  std::optional<TimePoint> ejectedUntil;
  bool lastAttemptUnreached = false;
  Ms ejectionMs{0};
  TimePoint halfOpenProbeAt{};
  bool unreachedSinceHealthy = false;
  double tokens = 0;
  TimePoint tokensAt;
  double load = 0;
  TimePoint loadAt{};
  TimePoint overCapacityUntil{};
  double limit = 0;
  bool staleIncarnation = false;
  TimePoint warmupUntil{};
  TimePoint warmupSentAt{};
};

struct TenantState {
  std::string name;
  double window = 0;
  std::size_t inFlight = 0;
  std::size_t subrequests = 0;
  std::deque<TimePoint> abandonedUntil;
  TimePoint shrunkAt{};
  TimePoint seenAt{};
  bool shrunk = false;
  std::set<Waiting> waiting;
};

struct ServiceState {
  std::string name;
  std::vector<ServerState> servers;
  std::unordered_map<std::string, TenantState> tenants;
  std::deque<TenantState*> tenantRoundRobin;
  std::size_t waitingCount = 0;
  std::array<std::size_t, priorityCount> waitingBy{};
  double baselineLatencyMs = 0;
  LatencyWindow latencies;
  std::vector<std::pair<std::size_t, LatencyWindow>> kinds;
  retry::RetryBudget budget;
  std::vector<SubrequestKey> stragglers;
  std::size_t subrequests = 0;
  TimePoint wakeAt = TimePoint::max();
  bool dirty = false;
};

struct Subrequest {
  std::uint32_t service = 0;
  retry::AttemptLog attemptLog;
  TenantState* tenant = nullptr;
  std::uint64_t order = 0;
  bool waiting = false;
  bool givenUp = false;
  bool straggling = false;
  bool budgetExhaustionLogged = false;
};

struct RequestState {
  std::uint64_t id = 0;
  std::size_t minimum = 1;
  std::size_t maxAttempts = 1;
  bool idempotent = false;
  std::size_t priority = 0;
  std::size_t kind = 0;
  TimePoint arrivedAt;
  TimePoint deadline;
  TimePoint answerBy;
  std::optional<TimePoint> latencyTargetAt;
  TimePoint offerBy{};
  bool latencyTargetPassed = false;
  std::vector<Subrequest> subrequests;
  std::size_t heapAt = 0;
};

struct ShardAvailability {
  bool hasWarmServer = false;
  bool hasServingServer = false;
};

class RequestTimers {
 public:
  void set(RequestState& request, TimePoint at);
  void drop(RequestState& request);
  std::optional<TimePoint> first() const;
  RequestState* firstDue(TimePoint now) const;

 private:
  struct Entry {
    TimePoint at;
    RequestState* request = nullptr;
  };
  void put(std::size_t position, Entry const& entry);
  void rise(std::size_t position);
  void sink(std::size_t position);

  std::vector<Entry> heap_;
};

struct Dispatcher::Impl {
  explicit Impl(DispatchOptions const& optionsIn) : options(optionsIn) {}

  DispatchOptions options;
  FleetPosition position;
  std::deque<std::pair<TimePoint, FleetPosition>> recentPositions;
  TimePoint firstPositionAt{};
  std::deque<ServiceState> services;
  std::unordered_map<std::string, std::uint32_t> serviceIndex;
  std::vector<std::uint32_t> freeServices;
  std::unordered_map<std::uint64_t, RequestState> requests;
  std::unordered_map<std::uint64_t, SubrequestKey> attempts;
  RequestTimers requestTimers;
  std::vector<std::uint32_t> dirty;
  std::vector<std::uint64_t> review;
  std::uint64_t lastAttempt = 0;
  std::uint64_t lastServer = 0;
  std::uint64_t lastOrder = 0;
  Counters counters;
  std::vector<DispatchEffect> effects;
  TimePoint now;

  void on(ServersUpdated const& event);
  void on(FleetPosition const& event);
  void on(RequestArrived const& event);
  void on(AttemptFinished const& event);
  void on(Tick const&) {}
  void processPending();

  std::uint32_t serviceOf(std::string const& name);
  void releaseIfUnused(std::uint32_t index);
  void markDirty(std::uint32_t index);
  Subrequest& subrequestOf(SubrequestKey const& key) { return requests.at(key.request).subrequests[key.shard]; }
  RequestState* find(std::uint64_t request);
  ServerState* findServer(ServiceState& service, std::uint64_t id);
  LatencyWindow const& latenciesOf(ServiceState const& service, std::size_t kind) const;

  double slowStartFactor(ServerState const& server) const;
  double tokensPerSecond(ServerState const& server) const;
  void refill(ServerState& server) const;
  bool isEjected(ServerState const& server) const { return server.ejectedUntil && now < *server.ejectedUntil; }
  bool isWarmingUp(ServerState const& server) const { return now < server.warmupUntil; }
  bool isLastResort(ServerState const& server) const { return isWarmingUp(server) && server.row.warmupPerSecond <= 0; }
  std::size_t warmupAllowance(ServerState const& server) const;
  Ms warmupInterval(ServerState const& server) const;
  ShardAvailability availabilityOf(ServiceState const& service) const;
  bool mayTake(ServerState const& server, ShardAvailability const& view) const;
  bool isHalfOpen(ServerState const& server) const { return server.ejectedUntil || server.unresponsiveUntil; }
  double unresponsiveAfterMs(ServiceState const& service) const;
  bool isUnresponsive(ServiceState const& service, ServerState const& server) const;
  bool isIdle(ServiceState const& service, ServerState& server, std::size_t spare, ShardAvailability const& view) const;
  bool hasCandidate(ServiceState const& service, retry::AttemptLog const& attemptLog) const;
  bool hasReady(ServiceState const& service) const;
  ServerState* chooseIdle(ServiceState& service, retry::AttemptLog const& attemptLog, bool idempotent,
                          std::size_t spare);
  double scoreOf(ServiceState const& service, ServerState const& server, bool idempotent) const;
  TimePoint nextIdleAt(ServerState const& server) const;
  void recordAnswer(ServiceState& service, ServerState& server, AttemptFinished const& event, double latencyMs,
                    std::size_t kind);
  void recordUnanswered(ServiceState& service, ServerState& server, TimePoint began, bool lost);
  void eject(ServiceState const& service, ServerState& server);
  bool mayEject(ServiceState const& service, ServerState const& server) const;

  void enqueue(RequestState& request, std::uint32_t shard);
  void dropWaiting(RequestState& request, std::uint32_t shard);
  bool isOverloaded(ServiceState& service, RequestArrived const& event, RequestState const& request);
  bool preempt(ServiceState& service, TenantState const* only, std::size_t priority);
  double expectedWaitMs(ServiceState const& service, std::size_t before) const;
  bool wouldMissLatencyTarget(RequestState const& request, std::uint32_t shard) const;
  void dispatch(std::uint32_t index);
  void hedge(ServiceState& service);
  TimePoint hedgeAt(RequestState const& request, Subrequest const& subrequest) const;
  void assign(ServiceState& service, RequestState& request, std::uint32_t shard, ServerState& server, bool hedged);
  TenantState& tenantOf(ServiceState& service, std::string const& tenant);
  void leaveTenant(ServiceState& service, TenantState& tenant);
  void growWindow(ServiceState& service, TenantState& tenant, RequestState const& request, double latencyMs);
  void shrinkWindow(ServiceState& service, TenantState& tenant, double latencyMs);

  void closeOthers(RequestState& request, std::uint32_t shard);
  void closeAttempt(RequestState& request, std::uint32_t shard, retry::Attempt const& attempt, bool lost);
  void reviewRequest(RequestState& request);
  void finish(RequestState& request, RequestOutcome outcome, FinishReason reason);
  void refuse(RequestArrived const& event, FinishReason reason);
  Ms retryAfter(ServiceState const& service) const;
};

}  // namespace limeramp::dispatch
