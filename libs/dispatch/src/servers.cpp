#include "impl.h"

#include <algorithm>
#include <cmath>

namespace limeramp::dispatch {
namespace {

constexpr std::size_t latencyWindow = 128;

std::size_t turnOf(std::string const& text) {
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

void Latencies::add(double latencyMs, double quantile) {
  float const fresh = static_cast<float>(latencyMs);
  if (window_.size() < latencyWindow) {
    window_.push_back(fresh);
    sorted_.reserve(latencyWindow);
  } else {
    sorted_.erase(std::lower_bound(sorted_.begin(), sorted_.end(), window_[next_]));
    window_[next_] = fresh;
  }
  next_ = (next_ + 1) % latencyWindow;
  sorted_.insert(std::upper_bound(sorted_.begin(), sorted_.end(), fresh), fresh);
  tailMs_ = sorted_[static_cast<std::size_t>(quantile * static_cast<double>(sorted_.size() - 1))];
  typicalMs_ = sorted_[sorted_.size() / 2];
}

Latencies const& Machine::Impl::latenciesOf(ServiceState const& service, std::size_t kind) const {
  for (std::pair<std::size_t, Latencies> const& entry : service.kinds) {
    if (entry.first == kind && entry.second.known()) {
      return entry.second;
    }
  }
  return service.latencies;
}

ServerState* Machine::Impl::findServer(ServiceState& service, std::uint64_t id) {
  std::vector<ServerState>::iterator const found = std::find_if(
      service.servers.begin(), service.servers.end(), [&](ServerState const& server) { return server.id == id; });
  return found == service.servers.end() ? nullptr : &*found;
}

double Machine::Impl::freshness(ServerState const& server) const {
  if (server.row.slowStartMs.count() <= 0) {
    return 1;
  }
  double const share = FineMs(now - std::max(server.startedAt, server.backAt)) / FineMs(server.row.slowStartMs);
  return std::clamp(policy.freshShare + (1 - policy.freshShare) * share, policy.freshShare, 1.0);
}

double Machine::Impl::tokensPerSecond(ServerState const& server) const {
  return server.row.capacity * freshness(server) / static_cast<double>(std::max<std::size_t>(1, place.fronts));
}

void Machine::Impl::refill(ServerState& server) const {
  double const passed = std::chrono::duration<double>(now - server.tokensAt).count();
  server.tokens = std::min(1.0, server.tokens + tokensPerSecond(server) * std::max(0.0, passed));
  server.tokensAt = now;
}

std::size_t Machine::Impl::coldShare(ServerState const& server) const {
  double const whole = std::floor(std::max(0.0, server.row.coldPerSecond) * policy.coldOverrun + policy.coldSlack);
  std::size_t const slots = static_cast<std::size_t>(std::clamp(whole, 1.0, 1e6));
  std::size_t const shift = turnOf(server.row.address);
  std::size_t share = now - firstPlacedAt < policy.placeSettleMs ? 0 : slots;
  for (std::pair<TimePoint, Place> const& held : places) {
    std::size_t const fronts = std::max<std::size_t>(1, held.second.fronts);
    std::size_t const turn = (held.second.rank + shift % fronts) % fronts;
    share = std::min(share, slots / fronts + (turn < slots % fronts ? 1 : 0));
  }
  return share;
}

Ms Machine::Impl::coldGap(ServerState const& server) const {
  Ms::rep const share = static_cast<Ms::rep>(std::max<std::size_t>(1, coldShare(server)));
  return Ms((policy.coldWindowMs.count() + share - 1) / share);
}

ShardView Machine::Impl::viewOf(ServiceState const& service) const {
  ShardView view;
  for (ServerState const& server : service.servers) {
    if (server.row.leaving || server.otherLife || isLastResort(server)) {
      continue;
    }
    view.warm = view.warm || !isDown(server);
    view.served = view.served || !isOnTrial(server);
  }
  return view;
}

bool Machine::Impl::mayTake(ServerState const& server, ShardView const& view) const {
  if (server.row.leaving || server.otherLife || (view.warm && isLastResort(server)) ||
      (isCold(server) && coldShare(server) == 0)) {
    return false;
  }
  return !isDown(server) || (!view.served && now >= server.trialAt + policy.trialMs);
}

double Machine::Impl::silentMs(ServiceState const& service) const {
  return service.latencies.known()
             ? std::max(millis(policy.stragglerMinMs), service.latencies.tailMs() * policy.stragglerFactor)
             : millis(policy.silentFirstMs);
}

bool Machine::Impl::isSilent(ServiceState const& service, ServerState const& server) const {
  return !server.open.empty() && millis(now - std::max(server.answeredAt, server.open.front())) > silentMs(service);
}

bool Machine::Impl::isIdle(ServiceState const& service, ServerState& server, std::size_t spare,
                           ShardView const& view) const {
  while (!server.ghosts.empty() && server.ghosts.front() <= now) {
    server.ghosts.pop_front();
  }
  if (isCold(server) && now - server.coldSentAt < coldGap(server)) {
    return false;
  }
  if (freshness(server) < 1) {
    refill(server);
    if (server.tokens < 1) {
      return false;
    }
  }
  if (isOnTrial(server)) {
    TimePoint const quietUntil = server.quietUntil.value_or(now);
    return (!isDown(server) && now >= quietUntil && server.open.empty()) ||
           (!view.served && now >= server.trialAt + policy.trialMs);
  }
  if (now < server.fullUntil || isSilent(service, server)) {
    return false;
  }
  std::size_t const busy = server.open.size() + (spare > 0 ? 0 : server.ghosts.size());
  return static_cast<double>(busy) < std::max(1.0, std::floor(server.limit)) + static_cast<double>(spare);
}

TimePoint Machine::Impl::nextIdleAt(ServerState const& server) const {
  TimePoint soonest = TimePoint::max();
  std::optional<TimePoint> const trialAt =
      isOnTrial(server) ? std::optional<TimePoint>(server.trialAt + policy.trialMs) : std::nullopt;
  std::optional<TimePoint> const cold = isCold(server) && coldShare(server) > 0
                                            ? std::optional<TimePoint>(server.coldSentAt + coldGap(server))
                                            : std::nullopt;
  std::optional<TimePoint> const ghost =
      server.ghosts.empty() ? std::nullopt : std::optional<TimePoint>(server.ghosts.front());
  std::optional<TimePoint> fresh;
  if (freshness(server) < 1 && server.tokens < 1) {
    fresh = server.tokensAt + fine(1000 * (1 - server.tokens) / std::max(1e-3, tokensPerSecond(server))) + Ms(1);
  }
  for (std::optional<TimePoint> const& at :
       {server.downUntil, server.quietUntil, trialAt, cold, ghost, fresh, std::optional<TimePoint>(server.fullUntil)}) {
    if (at && *at > now) {
      soonest = std::min(soonest, *at);
    }
  }
  return soonest;
}

bool Machine::Impl::hasCandidate(ServiceState const& service, retry::Ledger const& ledger) const {
  ShardView const view = viewOf(service);
  return std::any_of(service.servers.begin(), service.servers.end(),
                     [&](ServerState const& server) { return mayTake(server, view) && !ledger.hasTried(server.id); });
}

bool Machine::Impl::hasReady(ServiceState const& service) const {
  ShardView const view = viewOf(service);
  return std::any_of(service.servers.begin(), service.servers.end(), [&](ServerState const& server) {
    return mayTake(server, view) && !isOnTrial(server) && !isSilent(service, server);
  });
}

double Machine::Impl::scoreOf(ServiceState const& service, ServerState const& server, bool repeatable) const {
  double const typicalMs = std::max(0.1, service.latencies.typicalMs());
  double const fade = fadeOver(now - server.latencyAt, 3);
  double latencyMs = server.latencyMs <= 0 ? typicalMs : typicalMs + (server.latencyMs - typicalMs) * fade;
  if (!server.open.empty()) {
    latencyMs = std::max(latencyMs, millis(now - std::max(server.answeredAt, server.open.front())));
  }
  double const busy = static_cast<double>(server.open.size() + server.ghosts.size()) + 1;
  double const load = server.load > 0 ? server.load * fadeOver(now - server.loadAt, 0.5) : 0;
  double const badness = server.badness > 0 ? server.badness * fadeOver(now - server.badAt, 2) : 0;
  bool const near = !place.zone.empty() && server.row.zone == place.zone &&
                    latencyMs < policy.zoneLatencyFactor * typicalMs && !isCold(server) && server.unanswered == 0 &&
                    server.failures == 0 && badness < 0.05 && busy <= static_cast<double>(policy.zoneMostOpen);
  double const nearness =
      near ? std::clamp((policy.zoneLoadMost - load) / (policy.zoneLoadMost - policy.zoneLoadCalm), 0.0, 1.0) : 0;
  double const pressure = 1 + std::max(0.0, load - 0.7) * 4 * (1 - nearness);
  double score = std::max(0.1, latencyMs) * busy * pressure * (1 + badness * (repeatable ? 10 : 30));
  if (isCold(server)) {
    score *= 1.5;
  }
  return score * (1 - policy.zoneBias * nearness);
}

ServerState* Machine::Impl::chooseIdle(ServiceState& service, retry::Ledger const& ledger, bool repeatable,
                                       std::size_t spare) {
  ServerState* best = nullptr;
  double bestScore = 0;
  std::size_t const count = service.servers.size();
  if (count == 0) {
    return best;
  }
  ShardView const view = viewOf(service);
  std::size_t at = (lastAttempt + place.rank) % count;
  for (std::size_t seen = 0; seen < count; ++seen, at = at + 1 == count ? 0 : at + 1) {
    ServerState& server = service.servers[at];
    if (!mayTake(server, view) || ledger.hasTried(server.id) || !isIdle(service, server, spare, view)) {
      continue;
    }
    bool const onTrial = isOnTrial(server);
    if (onTrial && !repeatable && !server.refused && now < server.trialAt + policy.trialMs * (view.served ? 4 : 2)) {
      continue;
    }
    double const score = onTrial ? (repeatable ? 0 : 1e9) : scoreOf(service, server, repeatable);
    if (best == nullptr || score < bestScore * 0.8) {
      best = &server;
      bestScore = score;
    }
  }
  return best;
}

void Machine::Impl::markDown(ServiceState const& service, ServerState& server) {
  if (!server.downUntil) {
    effects.emplace_back(Note{logging::Event::serverDown, service.name, server.row.address});
  }
  server.downMs = server.downMs.count() == 0 ? std::max(policy.downFirstMs, server.quietMs * 2)
                                             : std::min(policy.downMaxMs, server.downMs * 2);
  server.downUntil = now + server.downMs;
  server.trialAt = now;
}

bool Machine::Impl::mayMarkBad(ServiceState const& service, ServerState const& server) const {
  std::size_t listed = 0;
  std::size_t others = 0;
  for (ServerState const& entry : service.servers) {
    if (!entry.row.leaving && !entry.otherLife) {
      ++listed;
      others += &entry != &server && !isOnTrial(entry) ? 1 : 0;
    }
  }
  return others >= std::max<std::size_t>(1, listed / 2);
}

void Machine::Impl::noteAnswer(ServiceState& service, ServerState& server, Returned const& event, double latencyMs,
                               std::size_t kind) {
  bool const unrun = event.verdict == retry::Verdict::notRun;
  bool const reached = event.healthy || !unrun || event.full || event.otherLife;
  if (event.load) {
    server.load = std::clamp(*event.load, 0.0, 10.0);
    server.loadAt = now;
  }
  if (event.coldMs) {
    server.coldUntil = now + *event.coldMs;
  }
  if (event.otherLife) {
    server.otherLife = true;
    return;
  }
  if (reached) {
    server.answeredAt = now;
    server.refused = false;
  }
  bool const full = !event.healthy && unrun && event.full;
  if (event.healthy || full) {
    bool const unserved = !viewOf(service).served;
    server.failures = 0;
    server.unanswered = 0;
    server.quietUntil.reset();
    server.quietMs = Ms(0);
    if (event.healthy && (server.downUntil || server.wasAway)) {
      server.backAt = now;
    }
    server.wasAway = server.wasAway && full;
    if (server.downUntil) {
      if (unserved) {
        for (ServerState& other : service.servers) {
          other.downUntil = other.downUntil ? std::optional<TimePoint>(now) : std::nullopt;
        }
      }
      server.downUntil.reset();
      server.downMs = Ms(0);
      server.limit = std::max(server.limit, static_cast<double>(policy.concurrentPerServer) / 2);
      effects.emplace_back(Note{logging::Event::serverBack, service.name, server.row.address});
    }
  }
  if (full) {
    server.limit = std::max(1.0, server.limit * policy.limitShrink);
    server.fullUntil = now + fine(std::clamp(service.latencies.typicalMs() / 2, 2.0, 20.0));
    return;
  }
  if (event.healthy) {
    server.badness *= 0.85 * fadeOver(now - server.badAt, 2);
    server.badAt = now;
    server.limit = std::min(static_cast<double>(policy.concurrentPerServer), server.limit + policy.limitGrowth);
    server.latencyMs = server.latencyMs <= 0 ? latencyMs : server.latencyMs * 0.8 + latencyMs * 0.2;
    server.latencyAt = now;
    service.latencies.add(latencyMs, policy.stragglerQuantile);
    std::vector<std::pair<std::size_t, Latencies>>::iterator const mine =
        std::find_if(service.kinds.begin(), service.kinds.end(),
                     [&](std::pair<std::size_t, Latencies> const& entry) { return entry.first == kind; });
    if (mine != service.kinds.end()) {
      mine->second.add(latencyMs, policy.stragglerQuantile);
    } else if (service.kinds.size() < maxKinds) {
      service.kinds.emplace_back(kind, Latencies{});
      service.kinds.back().second.add(latencyMs, policy.stragglerQuantile);
    }
    return;
  }
  if (server.failures++ == 0) {
    server.firstFailureAt = now;
  }
  if (reached) {
    server.badness = server.badness * fadeOver(now - server.badAt, 2) * 0.75 + 0.25;
    server.badAt = now;
    if (server.downUntil ||
        (server.failures >= 3 && now - server.firstFailureAt >= Ms(100) && mayMarkBad(service, server))) {
      markDown(service, server);
    }
    return;
  }
  server.wasAway = true;
  server.refused = true;
  if (server.downUntil || server.failures >= 2) {
    markDown(service, server);
  }
}

void Machine::Impl::noteUnanswered(ServiceState& service, ServerState& server, TimePoint began, bool lost) {
  double const seenMs = millis(now - began);
  server.ghosts.push_back(now + std::min<TimePoint::duration>(policy.ghostMaxMs, now - began));
  if (!lost) {
    server.limit = std::max(1.0, server.limit * policy.limitShrink);
  }
  if (server.unanswered++ == 0) {
    server.firstUnansweredAt = began;
  }
  server.latencyMs = std::max(server.latencyMs, server.latencyMs * 0.8 + seenMs * 0.2);
  server.latencyAt = now;
  if (server.downUntil || (server.unanswered >= 3 && now - server.firstUnansweredAt >= policy.stallMs)) {
    markDown(service, server);
  } else if (server.answeredAt <= began && seenMs > silentMs(service)) {
    server.quietMs =
        server.quietMs.count() == 0 ? policy.quietFirstMs : std::min(policy.quietMaxMs, server.quietMs * 2);
    server.quietUntil = now + server.quietMs;
    server.trialAt = now;
  }
}

}  // namespace limeramp::dispatch
