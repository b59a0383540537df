#pragma once

#include <chrono>
#include <cstddef>

/// Options of the dispatcher, by the mechanism that they belong to. The defaults serve deadlines from a quarter of a
/// second to several seconds; none is tuned to one deployment. Times are in milliseconds of the steady clock.
namespace limeramp::dispatch {

/// How many attempts one server gets from this gateway at once. The limit of each server adapts between 1 and
/// `maxPerServer`: it rises by a little with each healthy answer and falls when the server seems to queue.
struct ConcurrencyLimitOptions {
  /// Attempts at one server at once, and the limit that a new server begins with. Raise it where servers work on many
  /// requests at once and few gateways share them.
  std::size_t maxPerServer = 4;
  /// Added to a server's limit with each healthy answer. Raise it to recover faster after a burst.
  double growth = 0.05;
  /// A server's limit is multiplied by this when it says that it is over capacity or an attempt is cancelled.
  double shrink = 0.7;
};

/// How many attempts one tenant may have under way at one service. Windows share a service fairly between tenants; a
/// tenant that is alone keeps at least one attempt a server.
struct TenantWindowOptions {
  /// Added to a window that has shrunk before, with each answer while the tenant's requests wait.
  double growth = 0.1;
  /// A window is multiplied by this when answers show that requests queue at the servers.
  double shrink = 0.7;
  /// An answer that took longer than the best ones by this share of its deadline counts as queueing.
  double queueShareOfDeadline = 0.15;
  /// The best latency seen is multiplied by this with each answer, so that it follows servers that become slower.
  double baselineDrift = 1.001;
  /// A tenant counts as competing for this long after its last request.
  std::chrono::milliseconds activeMs{3000};
};

/// Bounds on what waits here. A request beyond them is refused at once, unless one of lower priority makes room.
struct QueueOptions {
  /// Subrequests that wait for one service.
  std::size_t maxWaitingPerService = 512;
  /// Subrequests of one tenant that wait for one service.
  std::size_t maxWaitingPerTenant = 128;
  /// Requests that are open at once. Settings give it as `max_requests`.
  std::size_t maxRequests = 4000;
  /// A service with waiting subrequests is looked at again at the latest after this time.
  std::chrono::milliseconds recheckMs{50};
};

/// When an unfinished attempt counts as a straggler and is asked again at another server. Only idempotent requests are
/// hedged, within the retry budget, and only while nothing waits for the service (Osprey, section 4).
struct HedgingOptions {
  /// Off: no straggler is asked twice; failed attempts are still retried. Settings give it as `rerun`.
  bool enabled = true;
  /// A straggler has run longer than `factor` times the `quantile` of recent latencies of its kind. Lower values help
  /// the slowest answers and cost more of the retry budget.
  double factor = 1.5;
  double quantile = 0.95;
  /// No attempt counts as a straggler before this time.
  std::chrono::milliseconds minMs{15};
  /// The threshold is at most this share of the deadline, and of the latency target while no latency is known.
  double maxShareOfDeadline = 0.4;
  /// When no server is free for a hedged attempt, it is tried again after this time.
  std::chrono::milliseconds blockedMs{5};
};

/// How long before its deadline a request is answered: a share of its time, between two bounds. Raise `minMs` where the
/// way back to callers is long.
struct DeadlineMarginOptions {
  double shareOfDeadline = 0.06;
  std::chrono::milliseconds minMs{8};
  std::chrono::milliseconds maxMs{30};
};

/// What happens as a request's latency target nears.
struct LatencyTargetOptions {
  /// The target is decided on this long before it is reached.
  std::chrono::milliseconds marginMs{8};
  /// At the target a merged answer goes out if the square of the share of shards that are in reaches this part of the
  /// square that could still be reached. At 1 the answer waits for all.
  double partialShare = 0.4;
  /// A subrequest that no server has got after this share of the target, and that would miss the target, is given up:
  /// its caller can still try elsewhere in time.
  double offerShare = 0.25;
};

/// When a server is taken out of use, and how it comes back (outlier detection).
struct OutlierEjectionOptions {
  /// How long the first ejection lasts; each further one without a healthy answer between doubles it up to `maxMs`.
  /// Lower it where servers recover within a second; raise it where a failing server costs callers their deadline.
  std::chrono::milliseconds baseMs{500};
  std::chrono::milliseconds maxMs{4000};
  /// Three attempts without an answer eject a server once the first of them is this old.
  std::chrono::milliseconds stallMs{1000};
  /// While no server of a shard serves, one request goes to an ejected server at this interval (half-open probe).
  std::chrono::milliseconds halfOpenProbeMs{350};
  /// A server that lets an attempt wait longer than its shard's stragglers is passed over for `unresponsiveBaseMs`,
  /// doubling up to `unresponsiveMaxMs`. Before any latency is known, `unresponsiveInitialMs` is the threshold.
  std::chrono::milliseconds unresponsiveInitialMs{100};
  std::chrono::milliseconds unresponsiveBaseMs{100};
  std::chrono::milliseconds unresponsiveMaxMs{1000};
  /// An attempt that was cancelled counts as still running at its server for as long again as it ran, at most this.
  std::chrono::milliseconds abandonedMaxMs{1000};
};

/// How strongly servers of the gateway's own zone are preferred. The preference fades as their load rises.
struct ZonePreferenceOptions {
  /// Part of a server's score that its being near takes off: 0 prefers no zone, towards 1 nothing else counts.
  double bias = 0.9;
  /// The preference is full up to the first load and gone from the second on. Servers report loads; 1 is full use.
  double fullUpToLoad = 1;
  double noneFromLoad = 1.7;
  /// A near server that is slower than the typical one by this factor is not preferred.
  double maxLatencyFactor = 3;
  /// A near server with more attempts under way than this is not preferred.
  std::size_t maxOpenAttempts = 3;
};

/// How servers that have just started get their work.
struct SlowStartOptions {
  /// A server in slow start begins with this share of its capacity; the share grows evenly over its slow start time.
  double initialShare = 0.2;
  /// A server that says it is warming up gets, from the whole fleet in any `warmupWindowMs`, at most `warmupOverrun`
  /// times the rate that it bears, and `warmupSlack` more. Each gateway takes an equal share of these.
  double warmupOverrun = 1.25;
  double warmupSlack = 4;
  std::chrono::milliseconds warmupWindowMs{1100};
  /// For this long after the number of gateways changed, a gateway takes the smallest share that any of the numbers
  /// gives it: gateways learn of the change at different times, and their shares must not add up to more than all.
  std::chrono::milliseconds positionStableMs{3200};
};

/// Bounds of the time after which a refused caller is told to come back.
struct BackoffOptions {
  std::chrono::milliseconds minMs{20};
  std::chrono::milliseconds maxMs{300};
};

/// All options of a Dispatcher. Copied when it is made; they do not change afterwards.
struct DispatchOptions {
  ConcurrencyLimitOptions concurrency;
  TenantWindowOptions tenantWindow;
  QueueOptions queue;
  HedgingOptions hedging;
  DeadlineMarginOptions deadlineMargin;
  LatencyTargetOptions latencyTarget;
  OutlierEjectionOptions ejection;
  ZonePreferenceOptions zonePreference;
  SlowStartOptions slowStart;
  BackoffOptions backoff;
};

}  // namespace limeramp::dispatch
