#pragma once

#include "limeramp/logging/logging.h"
#include "limeramp/retry/attempt_log.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace limeramp::dispatch {

using retry::TimePoint;

struct DispatchOptions {
  std::size_t maxConcurrentPerServer = 4;
  double limitGrowth = 0.05;
  double limitShrink = 0.7;
  double windowGrowth = 0.1;
  double windowShrink = 0.7;
  double queueShareOfDeadline = 0.15;
  double baselineDrift = 1.001;
  std::chrono::milliseconds tenantActiveMs{3000};
  std::size_t maxWaitingPerService = 512;
  std::size_t maxWaitingPerTenant = 128;
  std::size_t maxRequests = 4000;
  double stragglerFactor = 1.5;
  double stragglerQuantile = 0.95;
  std::chrono::milliseconds stragglerMinMs{15};
  double stragglerShareOfDeadline = 0.4;
  double marginShareOfDeadline = 0.06;
  std::chrono::milliseconds marginMinMs{8};
  std::chrono::milliseconds marginMaxMs{30};
  std::chrono::milliseconds latencyTargetMarginMs{8};
  double lateShare = 0.4;
  double offerShareOfLatencyTarget = 0.25;
  std::chrono::milliseconds blockedMs{5};
  std::chrono::milliseconds waitWakeMs{50};
  std::chrono::milliseconds abandonedMaxMs{1000};
  std::chrono::milliseconds ejectionBaseMs{500};
  std::chrono::milliseconds ejectionMaxMs{4000};
  std::chrono::milliseconds stallMs{1000};
  std::chrono::milliseconds unresponsiveInitialMs{100};
  std::chrono::milliseconds unresponsiveBaseMs{100};
  std::chrono::milliseconds unresponsiveMaxMs{1000};
  std::chrono::milliseconds halfOpenProbeMs{350};
  double zoneBias = 0.9;
  double zoneLoadCalm = 1;
  double zoneLoadMax = 1.7;
  double zoneLatencyFactor = 3;
  std::size_t zoneMaxOpen = 3;
  double slowStartInitialShare = 0.2;
  double warmupOverrun = 1.25;
  double warmupSlack = 4;
  std::chrono::milliseconds warmupWindowMs{1100};
  std::chrono::milliseconds positionStableMs{3200};
  std::chrono::milliseconds retryMinMs{20};
  std::chrono::milliseconds retryMaxMs{300};
  bool hedge = true;
};

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

struct FinishRequest {
  std::uint64_t request = 0;
  RequestOutcome outcome = RequestOutcome::failed;
  retry::Verdict verdict = retry::Verdict::mayHaveRun;
  std::vector<std::size_t> missing;
  std::string reason;
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
