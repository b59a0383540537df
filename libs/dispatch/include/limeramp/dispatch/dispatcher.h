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

namespace limeramp::dispatch {

using retry::TimePoint;

struct ServerEndpoint {
  std::string address;
  std::string zone;
  double capacity = 50;
  bool draining = false;
  std::chrono::milliseconds slowStartMs{0};
  std::chrono::milliseconds ageMs{0};
  std::string incarnation{};
  std::chrono::milliseconds warmupMs{0};
  double warmupPerSecond = 0;
};

struct ServersUpdated {
  std::string service;
  std::vector<ServerEndpoint> rows;
};

struct FleetPosition {
  std::size_t gatewayCount = 1;
  std::size_t gatewayIndex = 0;
  double budgetDepth = 0;
  double budgetRatio = 0.2;
  std::string zone{};
};

struct RequestArrived {
  std::uint64_t request = 0;
  std::string tenant;
  std::vector<std::string> services;
  std::size_t minimum = 1;
  std::size_t maxAttempts = 1;
  bool idempotent = false;
  TimePoint deadline;
  TimePoint latencyTarget{};
  std::size_t priority = 0;
  std::size_t kind = 0;
};

struct AttemptFinished {
  std::uint64_t attempt = 0;
  bool good = false;
  bool healthy = false;
  retry::Verdict verdict = retry::Verdict::mayHaveRun;
  std::optional<double> load;
  bool staleIncarnation = false;
  bool overCapacity = false;
  std::optional<std::chrono::milliseconds> warmupMs{};
};

struct Tick {};

using DispatchEvent = std::variant<ServersUpdated, FleetPosition, RequestArrived, AttemptFinished, Tick>;

struct SendAttempt {
  std::uint64_t attempt = 0;
  std::uint64_t request = 0;
  std::size_t shard = 0;
  std::string server;
  std::string incarnation;
  TimePoint deadline;
  bool hedged = false;
};

struct CancelAttempt {
  std::uint64_t attempt = 0;
};

struct AcceptShardResult {
  std::uint64_t attempt = 0;
  std::uint64_t request = 0;
  std::size_t shard = 0;
};

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

struct FinishRequest {
  std::uint64_t request = 0;
  RequestOutcome outcome = RequestOutcome::failed;
  retry::Verdict verdict = retry::Verdict::mayHaveRun;
  std::vector<std::size_t> missing;
  FinishReason reason = FinishReason::none;
  std::optional<std::chrono::milliseconds> retryAfter;
};

struct LogEntry {
  logging::Event event;
  std::string service;
  std::string server;
};

using DispatchEffect = std::variant<SendAttempt, CancelAttempt, AcceptShardResult, FinishRequest, LogEntry>;

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

class Dispatcher {
 public:
  explicit Dispatcher(DispatchOptions const& options);
  ~Dispatcher();
  Dispatcher(Dispatcher&&) noexcept;
  Dispatcher& operator=(Dispatcher&&) noexcept;

  std::vector<DispatchEffect> step(TimePoint now, DispatchEvent const& event);
  std::optional<TimePoint> nextWake(TimePoint now) const;
  std::vector<ServerStatus> servers(TimePoint now) const;
  Counters counters() const;
  std::size_t requests() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeramp::dispatch
