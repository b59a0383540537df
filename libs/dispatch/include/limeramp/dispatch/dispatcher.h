#pragma once

#include "limeramp/dispatch/options.h"
#include "limeramp/logging/logging.h"
#include "limeramp/retry/attempt_log.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// The scatter-gather dispatcher: decides which server of each shard gets a subrequest, when a subrequest is retried or
/// hedged, and when a request is answered without all of its shards. It follows Osprey ("Implementing MapReduce-Style
/// Fault Tolerance in a Shared-Nothing Distributed Database", sections 3 and 4); docs/osprey.md lists what was kept and
/// what was changed.
namespace limeramp::dispatch {

using retry::TimePoint;

/// A server of a service as the platform's instance list describes it.
struct ServerEndpoint {
  std::string address;
  std::string zone;
  /// Requests per second that the server can serve.
  double capacity = 50;
  /// The server is about to leave or its zone is being evacuated: it gets no new attempts.
  bool draining = false;
  /// Length of the slow start, and the time since the server was first seen.
  std::chrono::milliseconds slowStartMs{0};
  std::chrono::milliseconds ageMs{0};
  /// Identifies one start of the server process; empty if the list names none. The same address with another
  /// incarnation is another server.
  std::string incarnation{};
  /// Remaining warm-up time, and the requests per second that the server can serve until then.
  std::chrono::milliseconds warmupMs{0};
  double warmupPerSecond = 0;
};

/// The full server list of a service. Servers that are not in it are removed.
struct ServersUpdated {
  std::string service;
  std::vector<ServerEndpoint> rows;
};

/// This gateway's place in the fleet, from which its share of the fleet-wide limits follows.
struct FleetPosition {
  /// Number of gateways in the fleet, and this gateway's index among them.
  std::size_t gatewayCount = 1;
  std::size_t gatewayIndex = 0;
  /// Size of this gateway's retry budget for each service, and the deposit for each first attempt.
  double budgetDepth = 0;
  double budgetRatio = 0.2;
  /// The gateway's own zone, whose servers are preferred; empty: no zone is preferred.
  std::string zone{};
};

/// A request that needs one server of each of `services`; the position in `services` is the shard index.
struct RequestArrived {
  std::uint64_t request = 0;
  /// Tenants share each service by round robin.
  std::string tenant;
  std::vector<std::string> services;
  /// Number of shards that must have answered for a partial answer.
  std::size_t minimum = 1;
  /// Number of attempts of one subrequest that may reach a server.
  std::size_t maxAttempts = 1;
  bool idempotent = false;
  TimePoint deadline;
  /// When the answer should be ready. A value in the past or not before the deadline means no target.
  TimePoint latencyTarget{};
  /// Lower numbers are served first.
  std::size_t priority = 0;
  /// Requests of one kind take about equally long; latencies are recorded per kind.
  std::size_t kind = 0;
};

/// The outcome of an attempt.
struct AttemptFinished {
  std::uint64_t attempt = 0;
  /// The attempt returned a usable shard result.
  bool good = false;
  /// The server works properly: a failure, if there was one, was caused by the request.
  bool healthy = false;
  retry::Verdict verdict = retry::Verdict::mayHaveRun;
  /// The load that the server reports; 1 is full use.
  std::optional<double> load;
  /// Another incarnation answered at the address and has not run the request.
  bool staleIncarnation = false;
  /// The server refused the attempt because it is overloaded.
  bool overCapacity = false;
  /// Remaining warm-up time that the server reports.
  std::optional<std::chrono::milliseconds> warmupMs{};
};

/// Time has passed; due no later than Dispatcher::nextWake.
struct Tick {};

/// All inputs of the dispatcher.
using DispatchEvent = std::variant<ServersUpdated, FleetPosition, RequestArrived, AttemptFinished, Tick>;

/// Send the subrequest to this server. The attempt is open until AttemptFinished or CancelAttempt.
struct SendAttempt {
  std::uint64_t attempt = 0;
  std::uint64_t request = 0;
  std::size_t shard = 0;
  std::string server;
  std::string incarnation;
  TimePoint deadline;
  /// Sent while an earlier attempt of the same subrequest is still open at another server.
  bool hedged = false;
};

/// The attempt is no longer needed; its AttemptFinished is ignored.
struct CancelAttempt {
  std::uint64_t attempt = 0;
};

/// Use this attempt's answer as the result of its shard. Emitted at most once per shard of a request.
struct AcceptShardResult {
  std::uint64_t attempt = 0;
  std::uint64_t request = 0;
  std::size_t shard = 0;
};

/// `refused`: it is certain that no attempt has run. `failed`: an attempt may have run.
enum class RequestOutcome { complete, partial, refused, failed };

/// Why a request ended without the answer of all its shards.
enum class FinishReason {
  /// All shards have answered.
  none,
  /// Refused on arrival: its subrequests could not be served in time, or a queue is full.
  overloaded,
  /// Every server of a needed shard was tried or is not eligible.
  noServerLeft,
  /// Fewer shards than the request needs can still answer.
  tooFewShardsLeft,
  deadlineReached,
  latencyTargetReached,
};

/// The text that callers see.
std::string_view textOf(FinishReason reason);

/// The request is finished: answer the caller now. Emitted once per request.
struct FinishRequest {
  std::uint64_t request = 0;
  RequestOutcome outcome = RequestOutcome::failed;
  retry::Verdict verdict = retry::Verdict::mayHaveRun;
  /// Indexes of the shards that have not answered.
  std::vector<std::size_t> missing;
  FinishReason reason = FinishReason::none;
  /// When the caller should retry.
  std::optional<std::chrono::milliseconds> retryAfter;
};

/// An event to be logged.
struct LogEntry {
  logging::Event event;
  std::string service;
  std::string server;
};

/// All outputs of the dispatcher.
using DispatchEffect = std::variant<SendAttempt, CancelAttempt, AcceptShardResult, FinishRequest, LogEntry>;

/// This gateway's view of a server, for status pages.
struct ServerStatus {
  std::string service;
  std::string address;
  std::string zone;
  std::size_t inFlight = 0;
  double latencyMs = 0;
  bool ejected = false;
  bool draining = false;
  bool warmingUp = false;
  double load = 0;
};

/// Counts since the dispatcher was created.
struct Counters {
  std::uint64_t arrivals = 0;
  std::uint64_t attempts = 0;
  std::uint64_t hedgedAttempts = 0;
  std::uint64_t retries = 0;
  std::uint64_t supersededAttempts = 0;
  std::uint64_t missingShards = 0;
  std::uint64_t rejected = 0;
  std::uint64_t retryBudgetExhausted = 0;
};

/// A pure state machine: it reads no clock, does no I/O and starts no thread; each step returns the effects for the
/// caller to carry out.
///
/// Guarantees: a subrequest gets servers of its own service only; one that is not idempotent has at most one attempt
/// that may have run; a further attempt after one that may have reached a server is paid from the retry budget; each
/// request is finished once, by its deadline less a margin. Not thread-safe.
class Dispatcher {
 public:
  explicit Dispatcher(DispatchOptions const& options);
  ~Dispatcher();
  Dispatcher(Dispatcher&&) noexcept;
  Dispatcher& operator=(Dispatcher&&) noexcept;

  /// Processes one event. The caller carries out the returned effects in order.
  std::vector<DispatchEffect> step(TimePoint now, DispatchEvent const& event);
  /// When the next Tick is due; nullopt if nothing is pending.
  std::optional<TimePoint> nextWake(TimePoint now) const;
  /// All servers, sorted by service and address.
  std::vector<ServerStatus> servers(TimePoint now) const;
  Counters counters() const;
  /// Number of open requests.
  std::size_t requests() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeramp::dispatch
