#include "dispatcher_impl.h"

#include <algorithm>
#include <cmath>

namespace limeramp::dispatch {
namespace {

constexpr std::size_t latencyWindowSize = 128;

/// FNV-1a, so that all gateways compute the same value.
std::size_t stableHashOf(std::string const& text) {
  std::uint64_t hash = 14695981039346656037u;
  for (char const byte : text) {
    hash = (hash ^ static_cast<unsigned char>(byte)) * 1099511628211u;
  }
  return hash % 1'000'003;
}

/// Factor that halves with every `halvingSeconds`.
double exponentialDecay(TimePoint::duration passed, double halvingSeconds) {
  return std::exp2(-std::chrono::duration<double>(passed).count() / halvingSeconds);
}

}  // namespace

void LatencyWindow::add(double latencyMs, double quantile) {
  float const newest = static_cast<float>(latencyMs);
  if (window_.size() < latencyWindowSize) {
    window_.push_back(newest);
    sorted_.reserve(latencyWindowSize);
  } else {
    sorted_.erase(std::lower_bound(sorted_.begin(), sorted_.end(), window_[next_]));
    window_[next_] = newest;
  }
  next_ = (next_ + 1) % latencyWindowSize;
  sorted_.insert(std::upper_bound(sorted_.begin(), sorted_.end(), newest), newest);
  tailMs_ = sorted_[static_cast<std::size_t>(quantile * static_cast<double>(sorted_.size() - 1))];
  medianMs_ = sorted_[sorted_.size() / 2];
}

LatencyWindow const& Dispatcher::Impl::latenciesOf(ServiceState const& service, std::size_t kind) const {
  for (std::pair<std::size_t, LatencyWindow> const& entry : service.latenciesByKind) {
    if (entry.first == kind && entry.second.hasSamples()) {
      return entry.second;
    }
  }
  return service.latencies;
}

ServerState* Dispatcher::Impl::findServer(ServiceState& service, std::uint64_t id) {
  std::vector<ServerState>::iterator const found = std::find_if(
      service.servers.begin(), service.servers.end(), [&](ServerState const& server) { return server.id == id; });
  return found == service.servers.end() ? nullptr : &*found;
}

double Dispatcher::Impl::slowStartFactor(ServerState const& server) const {
  if (server.endpoint.slowStartMs.count() <= 0) {
    return 1;
  }
  double const progress =
      FractionalMs(now - std::max(server.startedAt, server.recoveredAt)) / FractionalMs(server.endpoint.slowStartMs);
  return std::clamp(options.slowStart.initialShare + (1 - options.slowStart.initialShare) * progress,
                    options.slowStart.initialShare, 1.0);
}

double Dispatcher::Impl::tokensPerSecond(ServerState const& server) const {
  return server.endpoint.capacity * slowStartFactor(server) /
         static_cast<double>(std::max<std::size_t>(1, position.gatewayCount));
}

void Dispatcher::Impl::refill(ServerState& server) const {
  double const passed = std::chrono::duration<double>(now - server.tokensRefilledAt).count();
  server.tokens = std::min(1.0, server.tokens + tokensPerSecond(server) * std::max(0.0, passed));
  server.tokensRefilledAt = now;
}

std::size_t Dispatcher::Impl::warmupAllowance(ServerState const& server) const {
  double const total = std::floor(std::max(0.0, server.endpoint.warmupPerSecond) * options.slowStart.warmupOverrun +
                                  options.slowStart.warmupSlack);
  std::size_t const slots = static_cast<std::size_t>(std::clamp(total, 1.0, 1e6));
  // The gateways with one attempt more than the others differ from server to server.
  std::size_t const offset = stableHashOf(server.endpoint.address);
  std::size_t share = now - firstPositionAt < options.slowStart.positionStableMs ? 0 : slots;
  for (std::pair<TimePoint, FleetPosition> const& recent : recentPositions) {
    std::size_t const gatewayCount = std::max<std::size_t>(1, recent.second.gatewayCount);
    std::size_t const ownSlot = (recent.second.gatewayIndex + offset % gatewayCount) % gatewayCount;
    share = std::min(share, slots / gatewayCount + (ownSlot < slots % gatewayCount ? 1 : 0));
  }
  return share;
}

Ms Dispatcher::Impl::warmupInterval(ServerState const& server) const {
  Ms::rep const share = static_cast<Ms::rep>(std::max<std::size_t>(1, warmupAllowance(server)));
  return Ms((options.slowStart.warmupWindowMs.count() + share - 1) / share);
}

ShardAvailability Dispatcher::Impl::availabilityOf(ServiceState const& service) const {
  ShardAvailability availability;
  for (ServerState const& server : service.servers) {
    if (server.endpoint.draining || server.staleIncarnation || isLastResort(server)) {
      continue;
    }
    availability.hasWarmServer = availability.hasWarmServer || !isEjected(server);
    availability.hasServingServer = availability.hasServingServer || !isHalfOpen(server);
  }
  return availability;
}

bool Dispatcher::Impl::isEligible(ServerState const& server, ShardAvailability const& availability) const {
  if (server.endpoint.draining || server.staleIncarnation || (availability.hasWarmServer && isLastResort(server)) ||
      (isWarmingUp(server) && warmupAllowance(server) == 0)) {
    return false;
  }
  return !isEjected(server) ||
         (!availability.hasServingServer && now >= server.lastHalfOpenProbeAt + options.ejection.halfOpenProbeMs);
}

double Dispatcher::Impl::unresponsiveAfterMs(ServiceState const& service) const {
  return service.latencies.hasSamples()
             ? std::max(millis(options.hedging.minMs), service.latencies.tailMs() * options.hedging.factor)
             : millis(options.ejection.unresponsiveInitialMs);
}

bool Dispatcher::Impl::isUnresponsive(ServiceState const& service, ServerState const& server) const {
  return !server.openAttempts.empty() &&
         millis(now - std::max(server.lastAnswerAt, server.openAttempts.front())) > unresponsiveAfterMs(service);
}

bool Dispatcher::Impl::isIdle(ServiceState const& service, ServerState& server, std::size_t extraSlots,
                              ShardAvailability const& availability) const {
  while (!server.abandonedUntil.empty() && server.abandonedUntil.front() <= now) {
    server.abandonedUntil.pop_front();
  }
  if (isWarmingUp(server) && now - server.lastWarmupAttemptAt < warmupInterval(server)) {
    return false;
  }
  if (slowStartFactor(server) < 1) {
    refill(server);
    if (server.tokens < 1) {
      return false;
    }
  }
  if (isHalfOpen(server)) {
    TimePoint const unresponsiveUntil = server.unresponsiveUntil.value_or(now);
    return (!isEjected(server) && now >= unresponsiveUntil && server.openAttempts.empty()) ||
           (!availability.hasServingServer && now >= server.lastHalfOpenProbeAt + options.ejection.halfOpenProbeMs);
  }
  if (now < server.overCapacityUntil || isUnresponsive(service, server)) {
    return false;
  }
  std::size_t const inFlight = server.openAttempts.size() + (extraSlots > 0 ? 0 : server.abandonedUntil.size());
  return static_cast<double>(inFlight) <
         std::max(1.0, std::floor(server.concurrencyLimit)) + static_cast<double>(extraSlots);
}

TimePoint Dispatcher::Impl::nextIdleAt(ServerState const& server) const {
  TimePoint soonest = TimePoint::max();
  std::optional<TimePoint> const nextHalfOpenProbeAt =
      isHalfOpen(server) ? std::optional<TimePoint>(server.lastHalfOpenProbeAt + options.ejection.halfOpenProbeMs)
                         : std::nullopt;
  std::optional<TimePoint> const nextWarmupAt =
      isWarmingUp(server) && warmupAllowance(server) > 0
          ? std::optional<TimePoint>(server.lastWarmupAttemptAt + warmupInterval(server))
          : std::nullopt;
  std::optional<TimePoint> const abandonedEndsAt =
      server.abandonedUntil.empty() ? std::nullopt : std::optional<TimePoint>(server.abandonedUntil.front());
  std::optional<TimePoint> nextTokenAt;
  if (slowStartFactor(server) < 1 && server.tokens < 1) {
    nextTokenAt = server.tokensRefilledAt +
                  toDuration(1000 * (1 - server.tokens) / std::max(1e-3, tokensPerSecond(server))) + Ms(1);
  }
  for (std::optional<TimePoint> const& at :
       {server.ejectedUntil, server.unresponsiveUntil, nextHalfOpenProbeAt, nextWarmupAt, abandonedEndsAt, nextTokenAt,
        std::optional<TimePoint>(server.overCapacityUntil)}) {
    if (at && *at > now) {
      soonest = std::min(soonest, *at);
    }
  }
  return soonest;
}

bool Dispatcher::Impl::hasCandidate(ServiceState const& service, retry::AttemptLog const& attemptLog) const {
  ShardAvailability const availability = availabilityOf(service);
  return std::any_of(service.servers.begin(), service.servers.end(), [&](ServerState const& server) {
    return isEligible(server, availability) && !attemptLog.hasTried(server.id);
  });
}

bool Dispatcher::Impl::hasReadyServer(ServiceState const& service) const {
  ShardAvailability const availability = availabilityOf(service);
  return std::any_of(service.servers.begin(), service.servers.end(), [&](ServerState const& server) {
    return isEligible(server, availability) && !isHalfOpen(server) && !isUnresponsive(service, server);
  });
}

double Dispatcher::Impl::scoreOf(ServiceState const& service, ServerState const& server, bool idempotent) const {
  // Expected latency times attempts in flight, raised by load, recent errors and warm-up, reduced in the own zone.
  double const medianMs = std::max(0.1, service.latencies.medianMs());
  double const decay = exponentialDecay(now - server.latencyUpdatedAt, 3);
  double latencyMs = server.latencyMs <= 0 ? medianMs : medianMs + (server.latencyMs - medianMs) * decay;
  if (!server.openAttempts.empty()) {
    latencyMs = std::max(latencyMs, millis(now - std::max(server.lastAnswerAt, server.openAttempts.front())));
  }
  double const inFlight = static_cast<double>(server.openAttempts.size() + server.abandonedUntil.size()) + 1;
  double const load = server.load > 0 ? server.load * exponentialDecay(now - server.loadReportedAt, 0.5) : 0;
  double const errorScore =
      server.errorScore > 0 ? server.errorScore * exponentialDecay(now - server.errorScoreAt, 2) : 0;
  bool const preferred = !position.zone.empty() && server.endpoint.zone == position.zone &&
                         latencyMs < options.zonePreference.maxLatencyFactor * medianMs && !isWarmingUp(server) &&
                         server.consecutiveUnanswered == 0 && server.consecutiveFailures == 0 && errorScore < 0.05 &&
                         inFlight <= static_cast<double>(options.zonePreference.maxOpenAttempts);
  double const preference =
      preferred ? std::clamp((options.zonePreference.noneFromLoad - load) /
                                 (options.zonePreference.noneFromLoad - options.zonePreference.fullUpToLoad),
                             0.0, 1.0)
                : 0;
  double const loadPenalty = 1 + std::max(0.0, load - 0.7) * 4 * (1 - preference);
  double score = std::max(0.1, latencyMs) * inFlight * loadPenalty * (1 + errorScore * (idempotent ? 10 : 30));
  if (isWarmingUp(server)) {
    score *= 1.5;
  }
  return score * (1 - options.zonePreference.bias * preference);
}

ServerState* Dispatcher::Impl::chooseIdle(ServiceState& service, retry::AttemptLog const& attemptLog, bool idempotent,
                                          std::size_t extraSlots) {
  ServerState* best = nullptr;
  double bestScore = 0;
  std::size_t const count = service.servers.size();
  if (count == 0) {
    return best;
  }
  ShardAvailability const availability = availabilityOf(service);
  std::size_t at = (lastAttemptId + position.gatewayIndex) % count;
  for (std::size_t visited = 0; visited < count; ++visited, at = at + 1 == count ? 0 : at + 1) {
    ServerState& server = service.servers[at];
    if (!isEligible(server, availability) || attemptLog.hasTried(server.id) ||
        !isIdle(service, server, extraSlots, availability)) {
      continue;
    }
    bool const halfOpen = isHalfOpen(server);
    // A request that is not idempotent goes to a half-open server only if the last attempt did not reach that server or
    // its last probe is several intervals ago.
    if (halfOpen && !idempotent && !server.lastAttemptUnreached &&
        now < server.lastHalfOpenProbeAt + options.ejection.halfOpenProbeMs * (availability.hasServingServer ? 4 : 2)) {
      continue;
    }
    double const score = halfOpen ? (idempotent ? 0 : 1e9) : scoreOf(service, server, idempotent);
    if (best == nullptr || score < bestScore * 0.8) {
      best = &server;
      bestScore = score;
    }
  }
  return best;
}

void Dispatcher::Impl::eject(ServiceState const& service, ServerState& server) {
  if (!server.ejectedUntil) {
    effects.emplace_back(LogEntry{logging::Event::serverEjected, service.name, server.endpoint.address});
  }
  server.ejectionMs = server.ejectionMs.count() == 0 ? std::max(options.ejection.baseMs, server.unresponsiveMs * 2)
                                                     : std::min(options.ejection.maxMs, server.ejectionMs * 2);
  server.ejectedUntil = now + server.ejectionMs;
  server.lastHalfOpenProbeAt = now;
}

bool Dispatcher::Impl::mayEject(ServiceState const& service, ServerState const& server) const {
  std::size_t listed = 0;
  std::size_t others = 0;
  for (ServerState const& entry : service.servers) {
    if (!entry.endpoint.draining && !entry.staleIncarnation) {
      ++listed;
      others += &entry != &server && !isHalfOpen(entry) ? 1 : 0;
    }
  }
  return others >= std::max<std::size_t>(1, listed / 2);
}

void Dispatcher::Impl::recordAnswer(ServiceState& service, ServerState& server, AttemptFinished const& event,
                                    double latencyMs, std::size_t kind) {
  bool const notRun = event.verdict == retry::Verdict::notRun;
  bool const reached = event.healthy || !notRun || event.overCapacity || event.staleIncarnation;
  if (event.load) {
    server.load = std::clamp(*event.load, 0.0, 10.0);
    server.loadReportedAt = now;
  }
  if (event.warmupMs) {
    server.warmupUntil = now + *event.warmupMs;
  }
  if (event.staleIncarnation) {
    server.staleIncarnation = true;
    return;
  }
  if (reached) {
    server.lastAnswerAt = now;
    server.lastAttemptUnreached = false;
  }
  bool const overCapacity = !event.healthy && notRun && event.overCapacity;
  if (event.healthy || overCapacity) {
    bool const noneServing = !availabilityOf(service).hasServingServer;
    server.consecutiveFailures = 0;
    server.consecutiveUnanswered = 0;
    server.unresponsiveUntil.reset();
    server.unresponsiveMs = Ms(0);
    if (event.healthy && (server.ejectedUntil || server.unreachedSinceHealthy)) {
      server.recoveredAt = now;
    }
    server.unreachedSinceHealthy = server.unreachedSinceHealthy && overCapacity;
    if (server.ejectedUntil) {
      // The outage has ended: the shard's other servers may be probed at once.
      if (noneServing) {
        for (ServerState& other : service.servers) {
          other.ejectedUntil = other.ejectedUntil ? std::optional<TimePoint>(now) : std::nullopt;
        }
      }
      server.ejectedUntil.reset();
      server.ejectionMs = Ms(0);
      server.concurrencyLimit =
          std::max(server.concurrencyLimit, static_cast<double>(options.concurrency.maxPerServer) / 2);
      effects.emplace_back(LogEntry{logging::Event::serverReadmitted, service.name, server.endpoint.address});
    }
  }
  if (overCapacity) {
    server.concurrencyLimit = std::max(1.0, server.concurrencyLimit * options.concurrency.shrink);
    server.overCapacityUntil = now + toDuration(std::clamp(service.latencies.medianMs() / 2, 2.0, 20.0));
    return;
  }
  if (event.healthy) {
    server.errorScore *= 0.85 * exponentialDecay(now - server.errorScoreAt, 2);
    server.errorScoreAt = now;
    server.concurrencyLimit = std::min(static_cast<double>(options.concurrency.maxPerServer),
                                       server.concurrencyLimit + options.concurrency.growth);
    server.latencyMs = server.latencyMs <= 0 ? latencyMs : server.latencyMs * 0.8 + latencyMs * 0.2;
    server.latencyUpdatedAt = now;
    service.latencies.add(latencyMs, options.hedging.quantile);
    std::vector<std::pair<std::size_t, LatencyWindow>>::iterator const ofKind =
        std::find_if(service.latenciesByKind.begin(), service.latenciesByKind.end(),
                     [&](std::pair<std::size_t, LatencyWindow> const& entry) { return entry.first == kind; });
    if (ofKind != service.latenciesByKind.end()) {
      ofKind->second.add(latencyMs, options.hedging.quantile);
    } else if (service.latenciesByKind.size() < maxKinds) {
      service.latenciesByKind.emplace_back(kind, LatencyWindow{});
      service.latenciesByKind.back().second.add(latencyMs, options.hedging.quantile);
    }
    return;
  }
  if (server.consecutiveFailures++ == 0) {
    server.firstFailureAt = now;
  }
  if (reached) {
    server.errorScore = server.errorScore * exponentialDecay(now - server.errorScoreAt, 2) * 0.75 + 0.25;
    server.errorScoreAt = now;
    if (server.ejectedUntil ||
        (server.consecutiveFailures >= 3 && now - server.firstFailureAt >= Ms(100) && mayEject(service, server))) {
      eject(service, server);
    }
    return;
  }
  server.unreachedSinceHealthy = true;
  server.lastAttemptUnreached = true;
  if (server.ejectedUntil || server.consecutiveFailures >= 2) {
    eject(service, server);
  }
}

void Dispatcher::Impl::recordUnanswered(ServiceState& service, ServerState& server, TimePoint began, bool superseded) {
  double const elapsedMs = millis(now - began);
  server.abandonedUntil.push_back(now + std::min<TimePoint::duration>(options.ejection.abandonedMaxMs, now - began));
  if (!superseded) {
    server.concurrencyLimit = std::max(1.0, server.concurrencyLimit * options.concurrency.shrink);
  }
  if (server.consecutiveUnanswered++ == 0) {
    server.firstUnansweredAt = began;
  }
  server.latencyMs = std::max(server.latencyMs, server.latencyMs * 0.8 + elapsedMs * 0.2);
  server.latencyUpdatedAt = now;
  if (server.ejectedUntil ||
      (server.consecutiveUnanswered >= 3 && now - server.firstUnansweredAt >= options.ejection.stallMs)) {
    eject(service, server);
  } else if (server.lastAnswerAt <= began && elapsedMs > unresponsiveAfterMs(service)) {
    server.unresponsiveMs = server.unresponsiveMs.count() == 0
                                ? options.ejection.unresponsiveBaseMs
                                : std::min(options.ejection.unresponsiveMaxMs, server.unresponsiveMs * 2);
    server.unresponsiveUntil = now + server.unresponsiveMs;
    server.lastHalfOpenProbeAt = now;
  }
}

}  // namespace limeramp::dispatch
