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

/// Decides which server of each shard gets a request, when a shard is asked a second time, and when a request is
/// answered without a shard. It follows Osprey ("Implementing MapReduce-Style Fault Tolerance in a Shared-Nothing
/// Distributed Database", sections 3 and 4); docs/osprey.md says what was kept and what was changed.
namespace limeramp::dispatch {

using retry::TimePoint;

/// A server as the list of the platform shows it.
struct ServerEndpoint {
  std::string address;
  std::string zone;
  /// Requests a second that it bears.
  double capacity = 50;
  /// It will leave, or its zone is evacuated: it gets nothing new.
  bool draining = false;
  /// How long its slow start lasts, and how long ago it was first seen.
  std::chrono::milliseconds slowStartMs{0};
  std::chrono::milliseconds ageMs{0};
  /// Its start, if the list names one: another start at the same address is another server.
  std::string incarnation{};
  /// How long it is still warming up, and the requests a second that it bears meanwhile.
  std::chrono::milliseconds warmupMs{0};
  double warmupPerSecond = 0;
};

/// All servers of a service. Those that are not named are gone.
struct ServersUpdated {
  std::string service;
  std::vector<ServerEndpoint> rows;
};

/// This gateway's share of what the fleet may do together.
struct FleetPosition {
  /// Gateways of the fleet, and the index of this one among them.
  std::size_t gatewayCount = 1;
  std::size_t gatewayIndex = 0;
  /// Size of this gateway's retry budget for each service, and its deposit for each first attempt.
  double budgetDepth = 0;
  double budgetRatio = 0.2;
  /// The gateway's own zone, whose servers are preferred; empty for none.
  std::string zone{};
};

/// A request for one server of each of `services`, by shard index.
struct RequestArrived {
  std::uint64_t request = 0;
  /// Tenants share a service in turn.
  std::string tenant;
  std::vector<std::string> services;
  /// Shards that must be in for a partial answer.
  std::size_t minimum = 1;
  /// Servers that one subrequest may reach.
  std::size_t maxAttempts = 1;
  bool idempotent = false;
  TimePoint deadline;
  /// When the answer should be there; no target if it is not before the deadline.
  TimePoint latencyTarget{};
  /// Lower numbers go first.
  std::size_t priority = 0;
  /// Requests of one kind take about equally long; each kind has its own latencies.
  std::size_t kind = 0;
};

/// What came of an attempt.
struct AttemptFinished {
  std::uint64_t attempt = 0;
  /// Its answer is usable.
  bool good = false;
  /// The server is well: its failure, if there was one, lies in the request.
  bool healthy = false;
  retry::Verdict verdict = retry::Verdict::mayHaveRun;
  /// The server's load by its own report; 1 is full use.
  std::optional<double> load;
  /// Another start answered at that address and has not run the request.
  bool staleIncarnation = false;
  /// The server declined because it has too much to do.
  bool overCapacity = false;
  /// It says that it is warming up for so long.
  std::optional<std::chrono::milliseconds> warmupMs{};
};

/// Time has passed; see nextWake.
struct Tick {};

/// All that can happen to a dispatcher.
using DispatchEvent = std::variant<ServersUpdated, FleetPosition, RequestArrived, AttemptFinished, Tick>;

/// Send the request to this server. The attempt is open until AttemptFinished or CancelAttempt.
struct SendAttempt {
  std::uint64_t attempt = 0;
  std::uint64_t request = 0;
  std::size_t shard = 0;
  std::string server;
  std::string incarnation;
  TimePoint deadline;
  /// It goes to a second server while the first one still works on it.
  bool hedged = false;
};

/// The attempt is no longer wanted; what comes of it is ignored.
struct CancelAttempt {
  std::uint64_t attempt = 0;
};

/// The answer of this attempt is the one that counts for its shard. Given once for a shard.
struct AcceptShardResult {
  std::uint64_t attempt = 0;
  std::uint64_t request = 0;
  std::size_t shard = 0;
};

/// `refused`: no attempt may have run. `failed`: one may have.
enum class RequestOutcome { complete, partial, refused, failed };

/// Why a request ended without the answer of all its shards.
enum class FinishReason {
  /// It did not: all shards are in.
  none,
  /// Refused on arrival: its subrequests could not be served in time, or a queue is full.
  overloaded,
  /// Every server of a needed shard was tried or may not be tried.
  noServerLeft,
  /// Fewer shards can still answer than the request needs.
  tooFewShardsLeft,
  deadlineReached,
  latencyTargetReached,
};

/// The words that callers read.
std::string_view textOf(FinishReason reason);

/// The request is over: answer it now. Given once for each request.
struct FinishRequest {
  std::uint64_t request = 0;
  RequestOutcome outcome = RequestOutcome::failed;
  retry::Verdict verdict = retry::Verdict::mayHaveRun;
  /// Indexes of the shards that are not in.
  std::vector<std::size_t> missing;
  FinishReason reason = FinishReason::none;
  /// When the caller had better come back.
  std::optional<std::chrono::milliseconds> retryAfter;
};

/// An event for the log.
struct LogEntry {
  logging::Event event;
  std::string service;
  std::string server;
};

/// All that a step can ask for.
using DispatchEffect = std::variant<SendAttempt, CancelAttempt, AcceptShardResult, FinishRequest, LogEntry>;

/// How this gateway sees a server, for status pages.
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

/// Counts since the start.
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

/// A pure state machine: it reads no clock, sends nothing and starts no thread; it returns what to do.
///
/// Guarantees: a subrequest gets servers of its own service only; one that is not idempotent has at most one attempt
/// that may have run; further attempts that may reach a server are paid from the retry budget; each request is finished
/// once, by its deadline less a margin. Not safe for use by several threads.
class Dispatcher {
 public:
  explicit Dispatcher(DispatchOptions const& options);
  ~Dispatcher();
  Dispatcher(Dispatcher&&) noexcept;
  Dispatcher& operator=(Dispatcher&&) noexcept;

  /// Takes one event. The effects are to be carried out in their order.
  std::vector<DispatchEffect> step(TimePoint now, DispatchEvent const& event);
  /// When to send the next Tick; nothing while nothing waits.
  std::optional<TimePoint> nextWake(TimePoint now) const;
  /// All servers, by service and address.
  std::vector<ServerStatus> servers(TimePoint now) const;
  Counters counters() const;
  /// Requests that are open.
  std::size_t requests() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeramp::dispatch
