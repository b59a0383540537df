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
using FractionalMs = std::chrono::duration<double, std::milli>;

inline double millis(TimePoint::duration length) { return FractionalMs(length).count(); }
inline TimePoint::duration toDuration(double lengthMs) {
  return std::chrono::duration_cast<TimePoint::duration>(FractionalMs(lengthMs));
}

constexpr std::size_t priorityCount = 16;
/// Kinds of a service with latencies of their own; further kinds use the latencies of the service.
constexpr std::size_t maxKinds = 8;

/// A subrequest by its request and shard index.
struct SubrequestKey {
  std::uint64_t request = 0;
  std::uint32_t shard = 0;
  std::strong_ordering operator<=>(SubrequestKey const&) const = default;
};

/// A waiting subrequest. Entries sort by priority and then by the order in which subrequests were first queued.
struct QueueEntry {
  std::size_t priority = 0;
  std::uint64_t order = 0;
  SubrequestKey key;
  std::strong_ordering operator<=>(QueueEntry const&) const = default;
};

/// Median and tail quantile of the most recent latencies.
class LatencyWindow {
 public:
  void add(double latencyMs, double quantile);
  bool hasSamples() const { return !window_.empty(); }
  double medianMs() const { return medianMs_; }
  double tailMs() const { return tailMs_; }

 private:
  std::vector<float> window_;
  std::vector<float> sorted_;
  std::size_t next_ = 0;
  double medianMs_ = 0;
  double tailMs_ = 0;
};

/// What the dispatcher knows about one incarnation of a server.
struct ServerState {
  /// Unique among all servers of the dispatcher; 0 once the state was moved to a new list.
  std::uint64_t id = 0;
  ServerEndpoint endpoint;
  /// Begin of the slow start; after an outage it begins again at `recoveredAt`.
  TimePoint startedAt;
  TimePoint recoveredAt{};
  /// Begin of each open attempt, oldest first.
  std::vector<TimePoint> openAttempts;
  std::deque<TimePoint> abandonedUntil;
  TimePoint lastAnswerAt{};
  /// Moving average; `scoreOf` lets it decay towards the median of the service.
  double latencyMs = 0;
  TimePoint latencyUpdatedAt;
  /// Failed attempts since the last healthy or over-capacity answer.
  std::size_t consecutiveFailures = 0;
  TimePoint firstFailureAt;
  /// Moving average of bad answers, 0 to 1, which decays over time.
  double errorScore = 0;
  TimePoint errorScoreAt{};
  /// Cancelled attempts since the last healthy or over-capacity answer.
  std::size_t consecutiveUnanswered = 0;
  TimePoint firstUnansweredAt;
  /// No attempts before this time. Stays set until a healthy or over-capacity answer, see isHalfOpen.
  std::optional<TimePoint> unresponsiveUntil;
  Ms unresponsiveMs{0};
  /// No attempts but half-open probes before this time. Stays set until the server is readmitted.
  std::optional<TimePoint> ejectedUntil;
  bool lastAttemptUnreached = false;
  Ms ejectionMs{0};
  TimePoint lastHalfOpenProbeAt{};
  bool unreachedSinceHealthy = false;
  /// Token bucket of the slow start; holds at most one token.
  double tokens = 0;
  TimePoint tokensRefilledAt;
  double load = 0;
  TimePoint loadReportedAt{};
  TimePoint overCapacityUntil{};
  double concurrencyLimit = 0;
  /// Another incarnation answered at the address: no attempts until the list shows it.
  bool staleIncarnation = false;
  TimePoint warmupUntil{};
  TimePoint lastWarmupAttemptAt{};
};

/// A tenant's queue and window of attempts in flight at one service.
struct TenantState {
  std::string name;
  double window = 0;
  std::size_t inFlight = 0;
  std::size_t subrequestCount = 0;
  std::deque<TimePoint> abandonedUntil;
  TimePoint lastShrunkAt{};
  TimePoint lastEnqueuedAt{};
  /// The window has shrunk and grows slowly until it is back at its default.
  bool shrunk = false;
  std::set<QueueEntry> waiting;
};

/// The servers of one shard, and the tenants that use them.
struct ServiceState {
  std::string name;
  std::vector<ServerState> servers;
  std::unordered_map<std::string, TenantState> tenants;
  /// Tenants with waiting subrequests, the next one first.
  std::deque<TenantState*> tenantRoundRobin;
  std::size_t waitingCount = 0;
  std::array<std::size_t, priorityCount> waitingByPriority{};
  /// Lowest latency seen, see TenantWindowOptions::baselineDrift.
  double baselineLatencyMs = 0;
  LatencyWindow latencies;
  std::vector<std::pair<std::size_t, LatencyWindow>> latenciesByKind;
  retry::RetryBudget budget;
  std::vector<SubrequestKey> stragglers;
  std::size_t subrequestCount = 0;
  /// When the service is dispatched again without another event.
  TimePoint wakeAt = TimePoint::max();
  /// Listed in Impl::dirtyServices.
  bool dirty = false;
};

/// One shard's part of a request.
struct Subrequest {
  std::uint32_t service = 0;
  retry::AttemptLog attemptLog;
  TenantState* tenant = nullptr;
  /// Place in the tenant's queue, kept by retries; 0 before the subrequest is first queued.
  std::uint64_t order = 0;
  bool waiting = false;
  /// No further attempt will be made.
  bool givenUp = false;
  /// Listed in ServiceState::stragglers and waiting to be hedged.
  bool straggling = false;
  bool budgetExhaustionLogged = false;
};

/// An open request.
struct RequestState {
  std::uint64_t id = 0;
  std::size_t minimum = 1;
  std::size_t maxAttempts = 1;
  bool idempotent = false;
  std::size_t priority = 0;
  std::size_t kind = 0;
  TimePoint arrivedAt;
  TimePoint deadline;
  /// The deadline less the margin.
  TimePoint answerBy;
  std::optional<TimePoint> latencyTargetAt;
  /// See LatencyTargetOptions::assignShare; TimePoint::max() without a target or once the time has passed.
  TimePoint assignBy{};
  bool latencyTargetPassed = false;
  std::vector<Subrequest> subrequests;
  /// Index in the heap of RequestTimers plus one; 0 while no timer is set.
  std::size_t heapPosition = 0;
};

/// Which servers a shard has, leaving out draining ones, stale incarnations and servers of last resort.
struct ShardAvailability {
  /// A server is not ejected.
  bool hasWarmServer = false;
  /// A server is neither ejected, unresponsive nor half-open.
  bool hasServingServer = false;
};

/// Binary min-heap with the next review time of each request.
class RequestTimers {
 public:
  void set(RequestState& request, TimePoint at);
  void remove(RequestState& request);
  std::optional<TimePoint> first() const;
  RequestState* firstDue(TimePoint now) const;

 private:
  struct Entry {
    TimePoint at;
    RequestState* request = nullptr;
  };
  void place(std::size_t position, Entry const& entry);
  void siftUp(std::size_t position);
  void siftDown(std::size_t position);

  std::vector<Entry> heap_;
};

/// State of the dispatcher. `now` and `effects` belong to the current step.
struct Dispatcher::Impl {
  explicit Impl(DispatchOptions const& optionsIn) : options(optionsIn) {}

  DispatchOptions options;
  FleetPosition position;
  /// Positions of the last `positionStableMs` and the one before them, oldest first.
  std::deque<std::pair<TimePoint, FleetPosition>> recentPositions;
  /// Servers that are warming up get nothing until `positionStableMs` after this time.
  TimePoint firstPositionAt{};
  std::deque<ServiceState> services;
  std::unordered_map<std::string, std::uint32_t> serviceIndex;
  /// Indexes of `services` that are free for reuse.
  std::vector<std::uint32_t> freeServices;
  std::unordered_map<std::uint64_t, RequestState> requests;
  /// Open attempts by id.
  std::unordered_map<std::uint64_t, SubrequestKey> attempts;
  RequestTimers requestTimers;
  /// Services to dispatch and requests to review before the current step ends; see processPending.
  std::vector<std::uint32_t> dirtyServices;
  std::vector<std::uint64_t> requestsToReview;
  std::uint64_t lastAttemptId = 0;
  std::uint64_t lastServerId = 0;
  std::uint64_t lastQueueOrder = 0;
  Counters counters;
  std::vector<DispatchEffect> effects;
  TimePoint now;

  void on(ServersUpdated const& event);
  void on(FleetPosition const& event);
  void on(RequestArrived const& event);
  void on(AttemptFinished const& event);
  void on(Tick const&) {}
  void processPending();

  /// Entries of `services` stay in place and are reused, so that their indexes stay valid.
  std::uint32_t findOrAddService(std::string const& name);
  void releaseIfUnused(std::uint32_t index);
  void markDirty(std::uint32_t index);
  RequestState* findRequest(std::uint64_t request);
  ServerState* findServer(ServiceState& service, std::uint64_t id);
  LatencyWindow const& latenciesOf(ServiceState const& service, std::size_t kind) const;

  double slowStartFactor(ServerState const& server) const;
  double tokensPerSecond(ServerState const& server) const;
  void refill(ServerState& server) const;
  bool isEjected(ServerState const& server) const { return server.ejectedUntil && now < *server.ejectedUntil; }
  bool isWarmingUp(ServerState const& server) const { return now < server.warmupUntil; }
  /// Warming up and unable to serve yet: used only if no other server is available.
  bool isLastResort(ServerState const& server) const {
    return isWarmingUp(server) && server.endpoint.warmupPerSecond <= 0;
  }
  /// Attempts that this gateway may send to a server that is warming up, within one `warmupWindowMs`.
  std::size_t warmupAllowance(ServerState const& server) const;
  Ms warmupInterval(ServerState const& server) const;
  ShardAvailability availabilityOf(ServiceState const& service) const;
  /// May get an attempt at all; isIdle tells whether it may get one now.
  bool isEligible(ServerState const& server, ShardAvailability const& availability) const;
  /// Was ejected or unresponsive, and has given no healthy or over-capacity answer since.
  bool isHalfOpen(ServerState const& server) const { return server.ejectedUntil || server.unresponsiveUntil; }
  double unresponsiveAfterMs(ServiceState const& service) const;
  bool isUnresponsive(ServiceState const& service, ServerState const& server) const;
  /// Has room for an attempt now. `extraSlots` are added to the limit, and abandoned attempts are then not counted.
  bool isIdle(ServiceState const& service, ServerState& server, std::size_t extraSlots,
              ShardAvailability const& availability) const;
  bool hasCandidate(ServiceState const& service, retry::AttemptLog const& attemptLog) const;
  bool hasReadyServer(ServiceState const& service) const;
  ServerState* chooseIdle(ServiceState& service, retry::AttemptLog const& attemptLog, bool idempotent,
                          std::size_t extraSlots);
  /// Lower is better.
  double scoreOf(ServiceState const& service, ServerState const& server, bool idempotent) const;
  /// The earliest future time at which a timer of the server may make it idle.
  TimePoint nextIdleAt(ServerState const& server) const;
  void recordAnswer(ServiceState& service, ServerState& server, AttemptFinished const& event, double latencyMs,
                    std::size_t kind);
  /// Records a cancelled attempt. `superseded`: another attempt answered first.
  void recordUnanswered(ServiceState& service, ServerState& server, TimePoint began, bool superseded);
  void eject(ServiceState const& service, ServerState& server);
  /// Whether enough other servers serve the shard: at least one and half of those that are not leaving.
  bool mayEject(ServiceState const& service, ServerState const& server) const;

  void enqueue(RequestState& request, std::uint32_t shard);
  void dequeue(RequestState& request, std::uint32_t shard);
  bool isOverloaded(ServiceState& service, RequestArrived const& event, RequestState const& request);
  /// Gives up the last waiting subrequest of lower priority, of `onlyTenant` if set. False if there is none.
  bool preempt(ServiceState& service, TenantState const* onlyTenant, std::size_t priority);
  /// Time until `queuedAhead` subrequests are served, at the median latency and the servers' limits.
  double expectedWaitMs(ServiceState const& service, std::size_t queuedAhead) const;
  bool wouldMissLatencyTarget(RequestState const& request, std::uint32_t shard) const;
  /// Hands waiting subrequests to idle servers, tenant by tenant; hedges stragglers once none waits.
  void dispatch(std::uint32_t index);
  void hedge(ServiceState& service);
  /// When the subrequest's latest attempt becomes a straggler.
  TimePoint hedgeAt(RequestState const& request, Subrequest const& subrequest) const;
  void assign(ServiceState& service, RequestState& request, std::uint32_t shard, ServerState& server, bool hedged);
  TenantState& findOrAddTenant(ServiceState& service, std::string const& tenant);
  void growWindow(ServiceState& service, TenantState& tenant, RequestState const& request, double latencyMs);
  void shrinkWindow(ServiceState& service, TenantState& tenant, double latencyMs);

  /// Cancels the open attempts of a subrequest that is complete or whose request is finished.
  void cancelOpenAttempts(RequestState& request, std::uint32_t shard);
  void cancelAttempt(RequestState& request, std::uint32_t shard, retry::Attempt const& attempt, bool superseded);
  /// Finishes the request if its outcome is decided; otherwise finds stragglers and sets the next timer.
  void reviewRequest(RequestState& request);
  void finish(RequestState& request, RequestOutcome outcome, FinishReason reason);
  void refuse(RequestArrived const& event, FinishReason reason);
  Ms retryAfter(ServiceState const& service) const;
};

}  // namespace limeramp::dispatch
