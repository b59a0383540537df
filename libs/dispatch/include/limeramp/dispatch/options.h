#pragma once

#include <chrono>
#include <cstddef>

/// Options of the dispatcher, grouped by mechanism. The defaults suit deadlines from a quarter of a second to several
/// seconds and no particular deployment. Durations are in milliseconds of the steady clock.
namespace limeramp::dispatch {

/// Concurrency limit of this gateway towards each server. The limit adapts between 1 and `maxPerServer`: it rises by
/// `growth` with each healthy answer and is multiplied by `shrink` when the server appears to queue.
struct ConcurrencyLimitOptions {
  /// Upper bound of the limit, and the limit of a new server. Raise it where servers process many requests in parallel
  /// and few gateways share them.
  std::size_t maxPerServer = 4;
  /// Added to a server's limit with each healthy answer. Raise it to recover faster after a burst.
  double growth = 0.05;
  /// A server's limit is multiplied by this when it reports that it is over capacity, or when an attempt is cancelled
  /// without another attempt's answer.
  double shrink = 0.7;
};

/// Window of attempts that one tenant may have in flight at one service. Windows share a service fairly between
/// tenants; the only active tenant keeps a window of at least one attempt per server.
struct TenantWindowOptions {
  /// Added to a window that has shrunk before, with each healthy answer while subrequests of the tenant wait.
  double growth = 0.1;
  /// A window is multiplied by this when latencies show that requests queue at the servers.
  double shrink = 0.7;
  /// An answer whose latency exceeds the baseline by this share of the request's deadline counts as queueing.
  double queueShareOfDeadline = 0.15;
  /// The baseline is the lowest latency seen. It is multiplied by this with each answer, so that it follows servers
  /// that become slower.
  double baselineDrift = 1.001;
  /// A tenant counts as active for this long after a subrequest of its own was last queued.
  std::chrono::milliseconds activeMs{3000};
};

/// Bounds of the queues. A request beyond them is refused at once, unless a waiting subrequest of lower priority can be
/// preempted.
struct QueueOptions {
  /// Subrequests that may wait for one service.
  std::size_t maxWaitingPerService = 512;
  /// Subrequests of one tenant that may wait for one service.
  std::size_t maxWaitingPerTenant = 128;
  /// Requests that may be open at once. Set by the setting `max_requests`.
  std::size_t maxRequests = 4000;
  /// A service with waiting subrequests is dispatched again after this time at the latest.
  std::chrono::milliseconds recheckMs{50};
};

/// When an open attempt counts as a straggler and is hedged at another server. Only idempotent requests are hedged,
/// within the retry budget, and only while no subrequest waits for the service (Osprey, section 4).
struct HedgingOptions {
  /// Off: no attempt is hedged; failed attempts are still retried. Set by the setting `rerun`.
  bool enabled = true;
  /// A straggler has run longer than `factor` times the `quantile` of recent latencies of its kind. Lower values
  /// shorten the slowest answers and spend more of the retry budget.
  double factor = 1.5;
  double quantile = 0.95;
  /// No attempt counts as a straggler before this time.
  std::chrono::milliseconds minMs{15};
  /// The threshold is at most this share of the time until the deadline, and while no latency is known also of the time
  /// until the latency target.
  double maxShareOfDeadline = 0.4;
  /// When no server is free for a hedged attempt, one is looked for again after this time.
  std::chrono::milliseconds noServerRetryMs{5};
};

/// How long before its deadline a request is answered: a share of the time from arrival to deadline, between two bounds
/// and never more than half of that time. Raise `minMs` where the network latency to callers is high.
struct DeadlineMarginOptions {
  double shareOfDeadline = 0.06;
  std::chrono::milliseconds minMs{8};
  std::chrono::milliseconds maxMs{30};
};

/// What happens as a request approaches its latency target.
struct LatencyTargetOptions {
  /// The decision whether to answer partially is made this long before the target.
  std::chrono::milliseconds marginMs{8};
  /// At the target a partial answer is sent if the squared number of shards that have answered is at least this share
  /// of the squared number that can still be reached. At 1 the answer waits for all shards.
  double partialShare = 0.4;
  /// A subrequest that was assigned to no server within this share of the time until the target, and that is expected
  /// to miss the target, is given up, so that the caller can still try elsewhere in time.
  double assignShare = 0.25;
};

/// Outlier detection: when a server is ejected, and how it is readmitted.
struct OutlierEjectionOptions {
  /// Length of the first ejection; each further one without a healthy answer in between doubles it, up to `maxMs`.
  /// Lower it where servers recover within a second; raise it where failing servers make callers miss their deadlines.
  std::chrono::milliseconds baseMs{500};
  std::chrono::milliseconds maxMs{4000};
  /// Three unanswered attempts in a row eject a server once the first of them began this long ago.
  std::chrono::milliseconds stallMs{1000};
  /// Half-open probe: while no server of a shard is serving, an ejected server gets one attempt at this interval.
  std::chrono::milliseconds halfOpenProbeMs{350};
  /// A server that leaves an attempt unanswered for longer than the straggler threshold of its service gets no attempts
  /// for `unresponsiveBaseMs`, doubling up to `unresponsiveMaxMs`. Before any latency is known, the threshold is
  /// `unresponsiveInitialMs`.
  std::chrono::milliseconds unresponsiveInitialMs{100};
  std::chrono::milliseconds unresponsiveBaseMs{100};
  std::chrono::milliseconds unresponsiveMaxMs{1000};
  /// A cancelled attempt counts as still running at its server for as long as it had already run, at most this long.
  std::chrono::milliseconds abandonedMaxMs{1000};
};

/// How strongly servers of the gateway's own zone are preferred. The preference decreases as their load rises.
struct ZonePreferenceOptions {
  /// Share by which the score of a server in the own zone is reduced (the lowest score wins): 0 prefers no zone; near 1
  /// nothing else counts.
  double bias = 0.9;
  /// The preference is full up to the first load, falls linearly and is zero from the second load on. Servers report
  /// their load; 1 is full use.
  double fullUpToLoad = 1;
  double noneFromLoad = 1.7;
  /// A server in the own zone is not preferred if its latency is this many times the median of its service.
  double maxLatencyFactor = 3;
  /// A server in the own zone is not preferred if one more attempt would give it more open attempts than this.
  std::size_t maxOpenAttempts = 3;
};

/// Rate limits of servers that have recently started.
struct SlowStartOptions {
  /// A server in slow start begins with this share of its capacity; the share grows linearly over the slow start time.
  double initialShare = 0.2;
  /// A server that reports that it is warming up gets from the whole fleet, in any `warmupWindowMs`, at most
  /// `warmupOverrun` times the rate that it can serve, plus `warmupSlack` attempts. Gateways share these equally.
  double warmupOverrun = 1.25;
  double warmupSlack = 4;
  std::chrono::milliseconds warmupWindowMs{1100};
  /// For this long after a change of the number of gateways, a gateway takes the smallest share that any of the numbers
  /// gives it: gateways learn of the change at different times, and their shares must not add up to more than the
  /// whole.
  std::chrono::milliseconds positionStableMs{3200};
};

/// Bounds of the retry-after time that refused and failed requests carry.
struct BackoffOptions {
  std::chrono::milliseconds minMs{20};
  std::chrono::milliseconds maxMs{300};
};

/// All options of a Dispatcher, which copies them on construction; they do not change afterwards.
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
