#include "dispatcher_impl.h"

#include <algorithm>
#include <cmath>

namespace limeramp::dispatch {
namespace {

constexpr std::size_t latencyWindow = 128;

std::size_t stableHashOf(std::string const& text) {
  std::uint64_t hash = 14695981039346656037u;
  for (char const inbound : text) {
    hash = (hash ^ static_cast<unsigned char>(inbound)) * 1099511628211u;
  }
  return hash % 1'000'003;
}

double fadeOver(TimePoint::duration passed, double halfSeconds) {
  return std::exp2(-std::chrono::duration<double>(passed).count() / halfSeconds);
}

}  // namespace

void LatencyWindow::add(double latencyMs, double quantile) {
  float const newest = static_cast<float>(latencyMs);
  if (window_.size() < latencyWindow) {
    window_.push_back(newest);
    sorted_.reserve(latencyWindow);
  } else {
    sorted_.erase(std::lower_bound(sorted_.begin(), sorted_.end(), window_[next_]));
    window_[next_] = newest;
  }
  next_ = (next_ + 1) % latencyWindow;
  sorted_.insert(std::upper_bound(sorted_.begin(), sorted_.end(), newest), newest);
  tailMs_ = sorted_[static_cast<std::size_t>(quantile * static_cast<double>(sorted_.size() - 1))];
  typicalMs_ = sorted_[sorted_.size() / 2];
}

LatencyWindow const& Dispatcher::Impl::latenciesOf(ServiceState const& service, std::size_t kind) const {
  for (std::pair<std::size_t, LatencyWindow> const& entry : service.kinds) {
    if (entry.first == kind && entry.second.known()) {
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
  if (server.row.slowStartMs.count() <= 0) {
    return 1;
  }
  double const share = FineMs(now - std::max(server.startedAt, server.backAt)) / FineMs(server.row.slowStartMs);
  return std::clamp(options.slowStart.initialShare + (1 - options.slowStart.initialShare) * share,
                    options.slowStart.initialShare, 1.0);
}

double Dispatcher::Impl::tokensPerSecond(ServerState const& server) const {
  return server.row.capacity * slowStartFactor(server) /
         static_cast<double>(std::max<std::size_t>(1, position.gatewayCount));
}

void Dispatcher::Impl::refill(ServerState& server) const {
  double const passed = std::chrono::duration<double>(now - server.tokensAt).count();
  server.tokens = std::min(1.0, server.tokens + tokensPerSecond(server) * std::max(0.0, passed));
  server.tokensAt = now;
}

std::size_t Dispatcher::Impl::warmupAllowance(ServerState const& server) const {
  double const total = std::floor(std::max(0.0, server.row.warmupPerSecond) * options.slowStart.warmupOverrun +
                                  options.slowStart.warmupSlack);
  std::size_t const slots = static_cast<std::size_t>(std::clamp(total, 1.0, 1e6));
  std::size_t const shift = stableHashOf(server.row.address);
  std::size_t share = now - firstPositionAt < options.slowStart.positionStableMs ? 0 : slots;
  for (std::pair<TimePoint, FleetPosition> const& kept : recentPositions) {
    std::size_t const gatewayCount = std::max<std::size_t>(1, kept.second.gatewayCount);
    std::size_t const ownSlot = (kept.second.gatewayIndex + shift % gatewayCount) % gatewayCount;
    share = std::min(share, slots / gatewayCount + (ownSlot < slots % gatewayCount ? 1 : 0));
  }
  return share;
}

Ms Dispatcher::Impl::warmupInterval(ServerState const& server) const {
  Ms::rep const share = static_cast<Ms::rep>(std::max<std::size_t>(1, warmupAllowance(server)));
  return Ms((options.slowStart.warmupWindowMs.count() + share - 1) / share);
}

ShardAvailability Dispatcher::Impl::availabilityOf(ServiceState const& service) const {
  ShardAvailability view;
  for (ServerState const& server : service.servers) {
    if (server.row.draining || server.staleIncarnation || isLastResort(server)) {
      continue;
    }
    view.hasWarmServer = view.hasWarmServer || !isEjected(server);
    view.hasServingServer = view.hasServingServer || !isHalfOpen(server);
  }
  return view;
}

bool Dispatcher::Impl::mayTake(ServerState const& server, ShardAvailability const& view) const {
  if (server.row.draining || server.staleIncarnation || (view.hasWarmServer && isLastResort(server)) ||
      (isWarmingUp(server) && warmupAllowance(server) == 0)) {
    return false;
  }
  return !isEjected(server) ||
         (!view.hasServingServer && now >= server.halfOpenProbeAt + options.ejection.halfOpenProbeMs);
}

double Dispatcher::Impl::unresponsiveAfterMs(ServiceState const& service) const {
  return service.latencies.known()
             ? std::max(millis(options.hedging.minMs), service.latencies.tailMs() * options.hedging.factor)
             : millis(options.ejection.unresponsiveInitialMs);
}

bool Dispatcher::Impl::isUnresponsive(ServiceState const& service, ServerState const& server) const {
  return !server.open.empty() &&
         millis(now - std::max(server.answeredAt, server.open.front())) > unresponsiveAfterMs(service);
}

bool Dispatcher::Impl::isIdle(ServiceState const& service, ServerState& server, std::size_t spare,
                              ShardAvailability const& view) const {
  while (!server.abandonedUntil.empty() && server.abandonedUntil.front() <= now) {
    server.abandonedUntil.pop_front();
  }
  if (isWarmingUp(server) && now - server.warmupSentAt < warmupInterval(server)) {
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
    return (!isEjected(server) && now >= unresponsiveUntil && server.open.empty()) ||
           (!view.hasServingServer && now >= server.halfOpenProbeAt + options.ejection.halfOpenProbeMs);
  }
  if (now < server.overCapacityUntil || isUnresponsive(service, server)) {
    return false;
  }
  std::size_t const busy = server.open.size() + (spare > 0 ? 0 : server.abandonedUntil.size());
  return static_cast<double>(busy) < std::max(1.0, std::floor(server.limit)) + static_cast<double>(spare);
}

TimePoint Dispatcher::Impl::nextIdleAt(ServerState const& server) const {
  TimePoint soonest = TimePoint::max();
  std::optional<TimePoint> const halfOpenProbeAt =
      isHalfOpen(server) ? std::optional<TimePoint>(server.halfOpenProbeAt + options.ejection.halfOpenProbeMs)
                         : std::nullopt;
  std::optional<TimePoint> const warmup = isWarmingUp(server) && warmupAllowance(server) > 0
                                              ? std::optional<TimePoint>(server.warmupSentAt + warmupInterval(server))
                                              : std::nullopt;
  std::optional<TimePoint> const abandoned =
      server.abandonedUntil.empty() ? std::nullopt : std::optional<TimePoint>(server.abandonedUntil.front());
  std::optional<TimePoint> newest;
  if (slowStartFactor(server) < 1 && server.tokens < 1) {
    newest = server.tokensAt + fine(1000 * (1 - server.tokens) / std::max(1e-3, tokensPerSecond(server))) + Ms(1);
  }
  for (std::optional<TimePoint> const& at : {server.ejectedUntil, server.unresponsiveUntil, halfOpenProbeAt, warmup,
                                             abandoned, newest, std::optional<TimePoint>(server.overCapacityUntil)}) {
    if (at && *at > now) {
      soonest = std::min(soonest, *at);
    }
  }
  return soonest;
}

bool Dispatcher::Impl::hasCandidate(ServiceState const& service, retry::AttemptLog const& attemptLog) const {
  ShardAvailability const view = availabilityOf(service);
  return std::any_of(service.servers.begin(), service.servers.end(), [&](ServerState const& server) {
    return mayTake(server, view) && !attemptLog.hasTried(server.id);
  });
}

bool Dispatcher::Impl::hasReady(ServiceState const& service) const {
  ShardAvailability const view = availabilityOf(service);
  return std::any_of(service.servers.begin(), service.servers.end(), [&](ServerState const& server) {
    return mayTake(server, view) && !isHalfOpen(server) && !isUnresponsive(service, server);
  });
}

double Dispatcher::Impl::scoreOf(ServiceState const& service, ServerState const& server, bool idempotent) const {
  double const typicalMs = std::max(0.1, service.latencies.typicalMs());
  double const fade = fadeOver(now - server.latencyAt, 3);
  double latencyMs = server.latencyMs <= 0 ? typicalMs : typicalMs + (server.latencyMs - typicalMs) * fade;
  if (!server.open.empty()) {
    latencyMs = std::max(latencyMs, millis(now - std::max(server.answeredAt, server.open.front())));
  }
  double const busy = static_cast<double>(server.open.size() + server.abandonedUntil.size()) + 1;
  double const load = server.load > 0 ? server.load * fadeOver(now - server.loadAt, 0.5) : 0;
  double const errorScore = server.errorScore > 0 ? server.errorScore * fadeOver(now - server.errorScoreAt, 2) : 0;
  bool const near = !position.zone.empty() && server.row.zone == position.zone &&
                    latencyMs < options.zonePreference.maxLatencyFactor * typicalMs && !isWarmingUp(server) &&
                    server.unanswered == 0 && server.failures == 0 && errorScore < 0.05 &&
                    busy <= static_cast<double>(options.zonePreference.maxOpenAttempts);
  double const nearness =
      near ? std::clamp((options.zonePreference.noneFromLoad - load) /
                            (options.zonePreference.noneFromLoad - options.zonePreference.fullUpToLoad),
                        0.0, 1.0)
           : 0;
  double const pressure = 1 + std::max(0.0, load - 0.7) * 4 * (1 - nearness);
  double score = std::max(0.1, latencyMs) * busy * pressure * (1 + errorScore * (idempotent ? 10 : 30));
  if (isWarmingUp(server)) {
    score *= 1.5;
  }
  return score * (1 - options.zonePreference.bias * nearness);
}

ServerState* Dispatcher::Impl::chooseIdle(ServiceState& service, retry::AttemptLog const& attemptLog, bool idempotent,
                                          std::size_t spare) {
  ServerState* best = nullptr;
  double bestScore = 0;
  std::size_t const count = service.servers.size();
  if (count == 0) {
    return best;
  }
  ShardAvailability const view = availabilityOf(service);
  std::size_t at = (lastAttempt + position.gatewayIndex) % count;
  for (std::size_t seen = 0; seen < count; ++seen, at = at + 1 == count ? 0 : at + 1) {
    ServerState& server = service.servers[at];
    if (!mayTake(server, view) || attemptLog.hasTried(server.id) || !isIdle(service, server, spare, view)) {
      continue;
    }
    bool const halfOpen = isHalfOpen(server);
    if (halfOpen && !idempotent && !server.lastAttemptUnreached &&
        now < server.halfOpenProbeAt + options.ejection.halfOpenProbeMs * (view.hasServingServer ? 4 : 2)) {
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
    effects.emplace_back(LogEntry{logging::Event::serverEjected, service.name, server.row.address});
  }
  server.ejectionMs = server.ejectionMs.count() == 0 ? std::max(options.ejection.baseMs, server.unresponsiveMs * 2)
                                                     : std::min(options.ejection.maxMs, server.ejectionMs * 2);
  server.ejectedUntil = now + server.ejectionMs;
  server.halfOpenProbeAt = now;
}

bool Dispatcher::Impl::mayEject(ServiceState const& service, ServerState const& server) const {
  std::size_t listed = 0;
  std::size_t others = 0;
  for (ServerState const& entry : service.servers) {
    if (!entry.row.draining && !entry.staleIncarnation) {
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
    server.loadAt = now;
  }
  if (event.warmupMs) {
    server.warmupUntil = now + *event.warmupMs;
  }
  if (event.staleIncarnation) {
    server.staleIncarnation = true;
    return;
  }
  if (reached) {
    server.answeredAt = now;
    server.lastAttemptUnreached = false;
  }
  bool const overCapacity = !event.healthy && notRun && event.overCapacity;
  if (event.healthy || overCapacity) {
    bool const noneServing = !availabilityOf(service).hasServingServer;
    server.failures = 0;
    server.unanswered = 0;
    server.unresponsiveUntil.reset();
    server.unresponsiveMs = Ms(0);
    if (event.healthy && (server.ejectedUntil || server.unreachedSinceHealthy)) {
      server.backAt = now;
    }
    server.unreachedSinceHealthy = server.unreachedSinceHealthy && overCapacity;
    if (server.ejectedUntil) {
      if (noneServing) {
        for (ServerState& other : service.servers) {
          other.ejectedUntil = other.ejectedUntil ? std::optional<TimePoint>(now) : std::nullopt;
        }
      }
      server.ejectedUntil.reset();
      server.ejectionMs = Ms(0);
      server.limit = std::max(server.limit, static_cast<double>(options.concurrency.maxPerServer) / 2);
      effects.emplace_back(LogEntry{logging::Event::serverReadmitted, service.name, server.row.address});
    }
  }
  if (overCapacity) {
    server.limit = std::max(1.0, server.limit * options.concurrency.shrink);
    server.overCapacityUntil = now + fine(std::clamp(service.latencies.typicalMs() / 2, 2.0, 20.0));
    return;
  }
  if (event.healthy) {
    server.errorScore *= 0.85 * fadeOver(now - server.errorScoreAt, 2);
    server.errorScoreAt = now;
    server.limit =
        std::min(static_cast<double>(options.concurrency.maxPerServer), server.limit + options.concurrency.growth);
    server.latencyMs = server.latencyMs <= 0 ? latencyMs : server.latencyMs * 0.8 + latencyMs * 0.2;
    server.latencyAt = now;
    service.latencies.add(latencyMs, options.hedging.quantile);
    std::vector<std::pair<std::size_t, LatencyWindow>>::iterator const mine =
        std::find_if(service.kinds.begin(), service.kinds.end(),
                     [&](std::pair<std::size_t, LatencyWindow> const& entry) { return entry.first == kind; });
    if (mine != service.kinds.end()) {
      mine->second.add(latencyMs, options.hedging.quantile);
    } else if (service.kinds.size() < maxKinds) {
      service.kinds.emplace_back(kind, LatencyWindow{});
      service.kinds.back().second.add(latencyMs, options.hedging.quantile);
    }
    return;
  }
  if (server.failures++ == 0) {
    server.firstFailureAt = now;
  }
  if (reached) {
    server.errorScore = server.errorScore * fadeOver(now - server.errorScoreAt, 2) * 0.75 + 0.25;
    server.errorScoreAt = now;
    if (server.ejectedUntil ||
        (server.failures >= 3 && now - server.firstFailureAt >= Ms(100) && mayEject(service, server))) {
      eject(service, server);
    }
    return;
  }
  server.unreachedSinceHealthy = true;
  server.lastAttemptUnreached = true;
  if (server.ejectedUntil || server.failures >= 2) {
    eject(service, server);
  }
}

void Dispatcher::Impl::recordUnanswered(ServiceState& service, ServerState& server, TimePoint began, bool lost) {
  double const seenMs = millis(now - began);
  server.abandonedUntil.push_back(now + std::min<TimePoint::duration>(options.ejection.abandonedMaxMs, now - began));
  if (!lost) {
    server.limit = std::max(1.0, server.limit * options.concurrency.shrink);
  }
  if (server.unanswered++ == 0) {
    server.firstUnansweredAt = began;
  }
  server.latencyMs = std::max(server.latencyMs, server.latencyMs * 0.8 + seenMs * 0.2);
  server.latencyAt = now;
  if (server.ejectedUntil || (server.unanswered >= 3 && now - server.firstUnansweredAt >= options.ejection.stallMs)) {
    eject(service, server);
  } else if (server.answeredAt <= began && seenMs > unresponsiveAfterMs(service)) {
    server.unresponsiveMs = server.unresponsiveMs.count() == 0
                                ? options.ejection.unresponsiveBaseMs
                                : std::min(options.ejection.unresponsiveMaxMs, server.unresponsiveMs * 2);
    server.unresponsiveUntil = now + server.unresponsiveMs;
    server.halfOpenProbeAt = now;
  }
}

}  // namespace limeramp::dispatch
