#include "limeramp/shoal/machine.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <set>
#include <unordered_map>

namespace limeramp::shoal {
namespace {

using Ms = std::chrono::milliseconds;
using FineMs = std::chrono::duration<double, std::milli>;

struct LegKey {
  std::uint64_t request = 0;
  std::size_t leg = 0;
};

struct ServerState {
  ServerRow row;
  TimePoint startedAt;
  TimePoint backAt{};
  std::size_t inFlight = 0;
  std::deque<TimePoint> ghosts;
  double latencyMs = 0;
  TimePoint latencyAt;
  std::size_t failures = 0;
  TimePoint firstFailureAt;
  std::size_t unanswered = 0;
  TimePoint firstUnansweredAt;
  std::optional<TimePoint> downUntil;
  bool wasAway = false;
  Ms downMs{0};
  double tokens = 0;
  TimePoint tokensAt;
  double load = 0;
  double limit = 0;
  bool otherLife = false;
  TimePoint coldUntil{};
  TimePoint coldSentAt{};
};

std::size_t turnOf(std::string const& text) {
  std::uint64_t hash = 14695981039346656037u;
  for (char const letter : text) {
    hash = (hash ^ static_cast<unsigned char>(letter)) * 1099511628211u;
  }
  return hash % 1'000'003;
}

std::string keyOf(ServerRow const& row) { return row.life.empty() ? row.address : row.address + " " + row.life; }

struct TenantState {
  double window = 0;
  std::size_t inFlight = 0;
  std::deque<TimePoint> ghosts;
  TimePoint shrunkAt{};
  TimePoint seenAt{};
  bool narrowed = false;
};

struct ServiceState {
  std::map<std::string, ServerState> servers;
  std::map<std::string, std::deque<LegKey>> waiting;
  std::size_t waitingCount = 0;
  std::map<std::string, TenantState> tenants;
  double baseMs = 0;
  std::string lastTenant;
  std::vector<double> latenciesMs;
  std::size_t latencyAt = 0;
  double thresholdMs = 0;
  double typicalMs = 0;
  tally::Budget budget;
  std::vector<LegKey> open;
};

struct Leg {
  std::string service;
  tally::Ledger ledger;
  bool waiting = false;
  bool givenUp = false;
};

struct RequestState {
  Arrive asked;
  TimePoint arrivedAt;
  TimePoint answerBy;
  std::vector<Leg> legs;
};

constexpr std::size_t latencyWindow = 128;

}

struct Machine::Impl {
  explicit Impl(Policy const& policyIn) : policy(policyIn) {}

  Policy policy;
  Place place;
  std::deque<std::pair<TimePoint, Place>> places;
  TimePoint firstPlacedAt{};
  std::map<std::string, ServiceState> services;
  std::unordered_map<std::uint64_t, RequestState> requests;
  std::unordered_map<std::uint64_t, LegKey> attempts;
  std::uint64_t lastAttempt = 0;
  Counters counters;
  std::vector<Effect> effects;
  TimePoint now;

  void on(Servers const& event);
  void on(Place const& event);
  void on(Arrive const& event);
  void on(Returned const& event);
  void on(Abandon const& event);
  void on(Tick const& event);

  Leg* findLeg(LegKey const& key);
  double freshness(ServerState const& server) const;
  void refill(ServerState& server) const;
  bool isDown(ServerState const& server) const { return server.downUntil && now < *server.downUntil; }
  bool isCold(ServerState const& server) const { return now < server.coldUntil; }
  bool isLastResort(ServerState const& server) const { return isCold(server) && server.row.coldPerSecond <= 0; }
  bool hasWarm(ServiceState const& service) const;
  std::size_t coldShare(ServerState const& server) const;
  bool mayTake(ServerState const& server, bool warm) const;
  bool isIdle(ServerState& server, std::size_t spare) const;
  bool hasCandidate(ServiceState const& service, tally::Ledger const& ledger) const;
  std::map<std::string, ServerState>::iterator chooseIdle(ServiceState& service, tally::Ledger const& ledger, bool repeatable,
                                                          std::size_t spare);
  double scoreOf(ServiceState const& service, ServerState const& server) const;
  void enqueue(LegKey const& key, bool first);
  void dropWaiting(LegKey const& key);
  void dispatch(std::string const& name);
  void rerun(std::string const& name);
  void assign(ServiceState& service, LegKey const& key, std::map<std::string, ServerState>::iterator server,
              bool extra);
  void closeOthers(RequestState& request, std::size_t leg);
  void closeAttempt(Leg& leg, tally::Attempt const& attempt, bool lost);
  TenantState& tenantOf(ServiceState& service, std::string const& tenant);
  void release(ServiceState& service, std::string const& tenant);
  void widen(ServiceState& service, RequestState const& request, double latencyMs);
  void narrow(ServiceState& service, std::string const& tenant, double latencyMs);
  void noteLatency(ServiceState& service, double latencyMs);
  void noteAnswer(ServiceState& service, std::string const& serviceName, ServerState& server, Returned const& event,
                  double latencyMs);
  void markDown(std::string const& serviceName, ServerState& server);
  void settle(std::uint64_t request);
  void finish(std::uint64_t request, Ending ending, std::string const& reason);
  Ms retryAfter(ServiceState const& service) const;
  Ms stragglerMs(ServiceState const& service, RequestState const& request) const;
};

Leg* Machine::Impl::findLeg(LegKey const& key) {
  std::unordered_map<std::uint64_t, RequestState>::iterator const found = requests.find(key.request);
  return found == requests.end() ? nullptr : &found->second.legs[key.leg];
}

double Machine::Impl::freshness(ServerState const& server) const {
  if (server.row.slowStartMs.count() <= 0) {
    return 1;
  }
  double const share = FineMs(now - std::max(server.startedAt, server.backAt)) / FineMs(server.row.slowStartMs);
  return std::clamp(policy.freshShare + (1 - policy.freshShare) * share, policy.freshShare, 1.0);
}

void Machine::Impl::refill(ServerState& server) const {
  double const perSecond =
      server.row.capacity * freshness(server) / static_cast<double>(std::max<std::size_t>(1, place.fronts));
  double const passed = std::chrono::duration<double>(now - server.tokensAt).count();
  server.tokens = std::min(1.0, server.tokens + perSecond * std::max(0.0, passed));
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

bool Machine::Impl::hasWarm(ServiceState const& service) const {
  return std::any_of(service.servers.begin(), service.servers.end(),
                     [&](std::pair<std::string const, ServerState> const& entry) {
                       ServerState const& server = entry.second;
                       return !server.row.leaving && !server.otherLife && !isDown(server) && !isLastResort(server);
                     });
}

bool Machine::Impl::mayTake(ServerState const& server, bool warm) const {
  return !server.row.leaving && !server.otherLife && !isDown(server) && !(warm && isLastResort(server)) &&
         (!isCold(server) || coldShare(server) > 0);
}

bool Machine::Impl::isIdle(ServerState& server, std::size_t spare) const {
  while (!server.ghosts.empty() && server.ghosts.front() <= now) {
    server.ghosts.pop_front();
  }
  if (isCold(server) && now - server.coldSentAt < policy.coldWindowMs / std::max<std::size_t>(1, coldShare(server))) {
    return false;
  }
  std::size_t const busy = server.inFlight + (spare > 0 ? 0 : server.ghosts.size());
  if (server.downUntil) {
    return busy == 0;
  }
  if (static_cast<double>(busy) >= std::max(1.0, std::floor(server.limit)) + static_cast<double>(spare)) {
    return false;
  }
  if (freshness(server) < 1) {
    refill(server);
    return server.tokens >= 1;
  }
  return true;
}

bool Machine::Impl::hasCandidate(ServiceState const& service, tally::Ledger const& ledger) const {
  bool const warm = hasWarm(service);
  return std::any_of(service.servers.begin(), service.servers.end(),
                     [&](std::pair<std::string const, ServerState> const& entry) {
                       return mayTake(entry.second, warm) && !ledger.hasTried(entry.first);
                     });
}

double Machine::Impl::scoreOf(ServiceState const& service, ServerState const& server) const {
  double const typicalMs = std::max(0.1, service.typicalMs);
  double const fade = std::exp2(-std::chrono::duration<double>(now - server.latencyAt).count() / 3.0);
  double const latencyMs = server.latencyMs <= 0 ? typicalMs : typicalMs + (server.latencyMs - typicalMs) * fade;
  double const busy = static_cast<double>(server.inFlight + server.ghosts.size()) + 1;
  double const pressure = 1 + std::max(0.0, server.load - 0.7) * 4;
  return std::max(0.1, latencyMs) * busy * pressure;
}

std::map<std::string, ServerState>::iterator Machine::Impl::chooseIdle(ServiceState& service,
                                                                       tally::Ledger const& ledger, bool repeatable,
                                                                       std::size_t spare) {
  std::map<std::string, ServerState>::iterator best = service.servers.end();
  double bestScore = 0;
  std::size_t const count = service.servers.size();
  if (count == 0) {
    return best;
  }
  bool const warm = hasWarm(service);
  std::size_t const turn = (lastAttempt + place.rank) % count;
  std::map<std::string, ServerState>::iterator at = std::next(service.servers.begin(), static_cast<long>(turn));
  for (std::size_t seen = 0; seen < count; ++seen, ++at) {
    if (at == service.servers.end()) {
      at = service.servers.begin();
    }
    if (!mayTake(at->second, warm) || ledger.hasTried(at->first) || !isIdle(at->second, spare)) {
      continue;
    }
    bool const onTrial = at->second.downUntil.has_value();
    double const score = onTrial ? (repeatable ? 0 : 1e9) : scoreOf(service, at->second);
    if (best == service.servers.end() || score < bestScore * 0.8) {
      best = at;
      bestScore = score;
    }
  }
  return best;
}

void Machine::Impl::on(Servers const& event) {
  ServiceState& service = services[event.service];
  service.budget.set(place.budgetDepth, place.budgetRatio);
  std::map<std::string, ServerState> next;
  for (ServerRow const& row : event.rows) {
    std::string const key = keyOf(row);
    std::map<std::string, ServerState>::iterator const old = service.servers.find(key);
    ServerState state;
    if (old == service.servers.end()) {
      state.startedAt = now - row.ageMs;
      state.tokens = static_cast<double>(place.rank) / static_cast<double>(std::max<std::size_t>(1, place.fronts));
      state.tokensAt = now;
      state.latencyAt = now;
      state.limit = static_cast<double>(policy.concurrentPerServer);
    } else {
      state = std::move(old->second);
      state.startedAt = std::min(state.startedAt, now - row.ageMs);
    }
    state.row = row;
    if (row.coldMs.count() > 0) {
      state.coldUntil = std::max(state.coldUntil, now + row.coldMs);
    }
    next.emplace(key, std::move(state));
  }
  service.servers = std::move(next);
  dispatch(event.service);
  std::set<std::uint64_t> touched;
  for (std::pair<std::string const, std::deque<LegKey>> const& queue : service.waiting) {
    for (LegKey const& key : queue.second) {
      touched.insert(key.request);
    }
  }
  for (std::uint64_t const request : touched) {
    settle(request);
  }
}

void Machine::Impl::on(Place const& event) {
  place = event;
  if (firstPlacedAt == TimePoint{}) {
    firstPlacedAt = now;
  }
  places.emplace_back(now, place);
  while (places.size() > 1 && now - places[1].first >= policy.placeSettleMs) {
    places.pop_front();
  }
  for (std::pair<std::string const, ServiceState>& entry : services) {
    entry.second.budget.set(place.budgetDepth, place.budgetRatio);
  }
}

void Machine::Impl::on(Arrive const& event) {
  RequestState state;
  state.asked = event;
  state.arrivedAt = now;
  FineMs const wholeMs = event.deadline - now;
  Ms const marginMs = std::max(policy.marginLeastMs, Ms(static_cast<long>(wholeMs.count() * policy.marginShareOfDeadline)));
  state.answerBy = event.deadline - std::min(marginMs, Ms(static_cast<long>(wholeMs.count() / 2)));
  ++counters.arrivals;
  std::size_t crowded = 0;
  for (std::string const& name : event.services) {
    ServiceState& service = services[name];
    service.budget.set(place.budgetDepth, place.budgetRatio);
    Leg leg;
    leg.service = name;
    std::map<std::string, std::deque<LegKey>>::const_iterator const mine = service.waiting.find(event.tenant);
    std::size_t const waitingMine = mine == service.waiting.end() ? 0 : mine->second.size();
    double const slots = static_cast<double>(std::max<std::size_t>(1, service.servers.size()) * policy.concurrentPerServer);
    std::size_t const rivals = service.waiting.size() + (waitingMine == 0 ? 1 : 0);
    std::size_t const before = std::min(service.waitingCount, waitingMine * rivals);
    double const waitMs = static_cast<double>(before) * service.typicalMs / slots;
    if (service.waitingCount >= policy.maxWaitingPerService || waitingMine >= policy.maxWaitingPerTenant ||
        (before > 0 && waitMs + service.typicalMs > FineMs(state.answerBy - now).count())) {
      leg.givenUp = true;
      ++crowded;
    }
    state.legs.push_back(std::move(leg));
  }
  bool const full = requests.size() >= policy.maxRequests;
  if (full || event.services.size() - crowded < event.minimum) {
    ++counters.refused;
    Finish refusal;
    refusal.request = event.request;
    refusal.ending = Ending::refused;
    refusal.verdict = tally::Verdict::notRun;
    refusal.reason = "overloaded";
    refusal.retryAfter = retryAfter(services[event.services.front()]);
    effects.emplace_back(refusal);
    effects.emplace_back(Note{signal::Event::overloadRefused, event.services.front(), event.tenant});
    return;
  }
  requests.emplace(event.request, std::move(state));
  for (std::size_t leg = 0; leg < event.services.size(); ++leg) {
    if (!findLeg({event.request, leg})->givenUp) {
      enqueue({event.request, leg}, false);
    }
  }
  for (std::string const& name : event.services) {
    dispatch(name);
  }
  settle(event.request);
}

void Machine::Impl::enqueue(LegKey const& key, bool first) {
  RequestState& request = requests.at(key.request);
  Leg& leg = request.legs[key.leg];
  leg.waiting = true;
  ServiceState& service = services[leg.service];
  std::deque<LegKey>& queue = service.waiting[request.asked.tenant];
  if (first) {
    queue.push_front(key);
  } else {
    queue.push_back(key);
  }
  ++service.waitingCount;
  tenantOf(service, request.asked.tenant).seenAt = now;
}

void Machine::Impl::dropWaiting(LegKey const& key) {
  RequestState& request = requests.at(key.request);
  Leg& leg = request.legs[key.leg];
  if (!leg.waiting) {
    return;
  }
  leg.waiting = false;
  ServiceState& service = services[leg.service];
  std::map<std::string, std::deque<LegKey>>::iterator const queue = service.waiting.find(request.asked.tenant);
  std::size_t const gone = std::erase_if(queue->second, [&](LegKey const& entry) {
    return entry.request == key.request && entry.leg == key.leg;
  });
  service.waitingCount -= gone;
  if (queue->second.empty()) {
    service.waiting.erase(queue);
  }
}

void Machine::Impl::dispatch(std::string const& name) {
  ServiceState& service = services[name];
  std::vector<std::uint64_t> late;
  bool moved = true;
  while (moved && service.waitingCount > 0) {
    moved = false;
    std::map<std::string, std::deque<LegKey>>::iterator queue = service.waiting.upper_bound(service.lastTenant);
    for (std::size_t left = service.waiting.size(); left > 0 && !moved; --left) {
      if (queue == service.waiting.end()) {
        queue = service.waiting.begin();
      }
      LegKey const key = queue->second.front();
      RequestState const& request = requests.at(key.request);
      if (request.arrivedAt < now && FineMs(request.answerBy - now).count() < service.thresholdMs) {
        dropWaiting(key);
        findLeg(key)->givenUp = true;
        late.push_back(key.request);
        moved = true;
        break;
      }
      TenantState& tenant = tenantOf(service, queue->first);
      while (!tenant.ghosts.empty() && tenant.ghosts.front() <= now) {
        tenant.ghosts.pop_front();
      }
      std::size_t const held = tenant.inFlight + tenant.ghosts.size();
      bool const mayGo = static_cast<double>(held) < std::max(1.0, std::floor(tenant.window));
      std::map<std::string, ServerState>::iterator const server =
          mayGo ? chooseIdle(service, findLeg(key)->ledger, request.asked.repeatable, held == 0 ? 1 : 0) : service.servers.end();
      if (server != service.servers.end()) {
        service.lastTenant = queue->first;
        dropWaiting(key);
        moved = true;
        if (findLeg(key)->ledger.hasReached() && !service.budget.spend()) {
          findLeg(key)->givenUp = true;
          late.push_back(key.request);
          break;
        }
        assign(service, key, server, false);
      } else {
        ++queue;
      }
    }
  }
  if (service.waitingCount == 0) {
    rerun(name);
  }
  for (std::uint64_t const request : late) {
    settle(request);
  }
}

Ms Machine::Impl::retryAfter(ServiceState const& service) const {
  double const slots = static_cast<double>(std::max<std::size_t>(1, service.servers.size()));
  double const drainMs = service.typicalMs * (1 + static_cast<double>(service.waitingCount) / slots);
  return std::clamp(Ms(static_cast<long>(drainMs)), policy.retryLeastMs, policy.retryMostMs);
}

Ms Machine::Impl::stragglerMs(ServiceState const& service, RequestState const& request) const {
  FineMs const wholeMs = request.asked.deadline - request.arrivedAt;
  double const mostMs = wholeMs.count() * policy.stragglerShareOfDeadline;
  double const learntMs = service.thresholdMs <= 0 ? mostMs : service.thresholdMs * policy.stragglerFactor;
  return Ms(static_cast<long>(std::clamp(learntMs, std::min(mostMs, FineMs(policy.stragglerLeastMs).count()), mostMs)));
}

void Machine::Impl::rerun(std::string const& name) {
  if (!policy.rerun) {
    return;
  }
  ServiceState& service = services[name];
  std::vector<LegKey> const open = service.open;
  for (LegKey const& key : open) {
    std::unordered_map<std::uint64_t, RequestState>::iterator const found = requests.find(key.request);
    if (found == requests.end()) {
      continue;
    }
    RequestState& request = found->second;
    Leg& leg = request.legs[key.leg];
    if (!request.asked.repeatable || !leg.ledger.hasOpen() ||
        !leg.ledger.mayAttemptAgain(request.asked.max_attempts, true) ||
        now - leg.ledger.lastBegan() < stragglerMs(service, request)) {
      continue;
    }
    std::map<std::string, ServerState>::iterator const server = chooseIdle(service, leg.ledger, true, 0);
    if (server == service.servers.end()) {
      continue;
    }
    if (!service.budget.spend()) {
      ++counters.budgetSpent;
      effects.emplace_back(Note{signal::Event::budgetSpent, name, server->second.row.address});
      return;
    }
    ++counters.extras;
    assign(service, key, server, true);
  }
}

void Machine::Impl::assign(ServiceState& service, LegKey const& key, std::map<std::string, ServerState>::iterator server,
                           bool extra) {
  RequestState& request = requests.at(key.request);
  Leg& leg = request.legs[key.leg];
  std::uint64_t const attempt = ++lastAttempt;
  if (leg.ledger.attempts().empty()) {
    service.budget.earn();
  }
  leg.ledger.assign(attempt, server->first, now);
  attempts.emplace(attempt, key);
  if (!extra) {
    service.open.push_back(key);
  }
  ++tenantOf(service, request.asked.tenant).inFlight;
  ServerState& state = server->second;
  ++state.inFlight;
  if (freshness(state) < 1) {
    state.tokens -= 1;
  }
  ++counters.attempts;
  if (isCold(state)) {
    state.coldSentAt = now;
  }
  effects.emplace_back(Send{attempt, key.request, key.leg, state.row.address, state.row.life, request.asked.deadline, extra});
}

TenantState& Machine::Impl::tenantOf(ServiceState& service, std::string const& tenant) {
  std::map<std::string, TenantState>::iterator const found = service.tenants.find(tenant);
  if (found != service.tenants.end()) {
    return found->second;
  }
  double const usual = static_cast<double>(std::max<std::size_t>(1, service.servers.size()));
  return service.tenants.emplace(tenant, TenantState{usual, 0, {}, {}, {}, false}).first->second;
}

void Machine::Impl::release(ServiceState& service, std::string const& tenant) {
  TenantState& state = tenantOf(service, tenant);
  state.inFlight -= state.inFlight > 0 ? 1 : 0;
  if (state.inFlight == 0 && state.ghosts.empty() && service.tenants.size() > policy.maxWaitingPerService && !service.waiting.contains(tenant)) {
    service.tenants.erase(tenant);
  }
}

void Machine::Impl::widen(ServiceState& service, RequestState const& request, double latencyMs) {
  service.baseMs = service.baseMs <= 0 ? latencyMs : std::min(service.baseMs * policy.baseDrift, latencyMs);
  double const wholeMs = FineMs(request.asked.deadline - request.arrivedAt).count();
  if (latencyMs - service.baseMs > wholeMs * policy.queueShareOfDeadline) {
    narrow(service, request.asked.tenant, latencyMs);
    return;
  }
  double const usual = static_cast<double>(std::max<std::size_t>(1, service.servers.size()));
  TenantState& state = tenantOf(service, request.asked.tenant);
  if (service.waiting.contains(request.asked.tenant)) {
    double const growth = state.narrowed ? policy.windowGrowth : 1;
    state.window = std::min(usual * static_cast<double>(policy.concurrentPerServer), state.window + growth);
  } else if (static_cast<double>(state.inFlight) < state.window / 2) {
    state.window += std::clamp(usual - state.window, -policy.windowGrowth, policy.windowGrowth);
    state.narrowed = state.narrowed && state.window < usual;
  }
}

void Machine::Impl::narrow(ServiceState& service, std::string const& tenant, double latencyMs) {
  TenantState& state = tenantOf(service, tenant);
  bool const alone = std::none_of(service.tenants.begin(), service.tenants.end(), [&](std::pair<std::string const, TenantState> const& entry) {
    return entry.first != tenant && now - entry.second.seenAt < policy.rivalMs;
  });
  double const least = alone ? static_cast<double>(std::max<std::size_t>(1, service.servers.size())) : 1;
  if (service.waiting.contains(tenant) && FineMs(now - state.shrunkAt).count() >= latencyMs) {
    state.shrunkAt = now;
    state.narrowed = true;
    state.window = std::max(least, state.window * policy.windowShrink);
  }
}

void Machine::Impl::noteLatency(ServiceState& service, double latencyMs) {
  if (service.latenciesMs.size() < latencyWindow) {
    service.latenciesMs.push_back(latencyMs);
  } else {
    service.latenciesMs[service.latencyAt] = latencyMs;
  }
  service.latencyAt = (service.latencyAt + 1) % latencyWindow;
  if (service.latencyAt % 8 == 0 || service.latenciesMs.size() < 16) {
    std::vector<double> sorted = service.latenciesMs;
    std::sort(sorted.begin(), sorted.end());
    std::size_t const rank = static_cast<std::size_t>(policy.stragglerQuantile * static_cast<double>(sorted.size() - 1));
    service.thresholdMs = sorted[rank];
    service.typicalMs = sorted[sorted.size() / 2];
  }
}

void Machine::Impl::markDown(std::string const& serviceName, ServerState& server) {
  if (!server.downUntil) {
    effects.emplace_back(Note{signal::Event::serverDown, serviceName, server.row.address});
  }
  server.downMs = server.downMs.count() == 0 ? policy.downFirstMs : std::min(policy.downMostMs, server.downMs * 2);
  server.downUntil = now + server.downMs;
}

void Machine::Impl::noteAnswer(ServiceState& service, std::string const& serviceName, ServerState& server,
                               Returned const& event, double latencyMs) {
  if (event.load) {
    server.load = std::clamp(*event.load, 0.0, 10.0);
  }
  if (event.coldMs) {
    server.coldUntil = now + *event.coldMs;
  }
  if (event.otherLife) {
    server.otherLife = true;
    return;
  }
  if (event.full && event.verdict == tally::Verdict::notRun) {
    server.unanswered = 0;
    server.limit = std::max(1.0, server.limit * policy.limitShrink);
    return;
  }
  if (event.healthy) {
    server.failures = 0;
    server.unanswered = 0;
    server.limit = std::min(static_cast<double>(policy.concurrentPerServer), server.limit + policy.limitGrowth);
    if (server.downUntil || server.wasAway) {
      server.backAt = now;
    }
    server.wasAway = false;
    if (server.downUntil) {
      server.downUntil.reset();
      server.downMs = Ms(0);
      effects.emplace_back(Note{signal::Event::serverBack, serviceName, server.row.address});
    }
    server.latencyMs = server.latencyMs <= 0 ? latencyMs : server.latencyMs * 0.8 + latencyMs * 0.2;
    server.latencyAt = now;
    noteLatency(service, latencyMs);
    return;
  }
  if (server.failures++ == 0) {
    server.firstFailureAt = now;
  }
  bool const refused = event.verdict == tally::Verdict::notRun;
  server.wasAway = server.wasAway || refused;
  if (server.downUntil || (refused && server.failures >= 2) ||
      (server.failures >= 3 && now - server.firstFailureAt >= Ms(100))) {
    markDown(serviceName, server);
  }
}

void Machine::Impl::closeAttempt(Leg& leg, tally::Attempt const& attempt, bool lost) {
  std::uint64_t const id = attempt.id;
  std::string const& tenant = requests.at(attempts.at(id).request).asked.tenant;
  ServiceState& service = services[leg.service];
  std::map<std::string, ServerState>::iterator const found = service.servers.find(attempt.server);
  if (found != service.servers.end()) {
    ServerState& server = found->second;
    if (server.inFlight > 0) {
      --server.inFlight;
    }
    Ms const heldMs = std::min(policy.ghostMostMs, std::chrono::duration_cast<Ms>(now - attempt.began));
    server.ghosts.push_back(now + heldMs);
    tenantOf(service, tenant).ghosts.push_back(now + heldMs);
    if (!lost) {
      server.limit = std::max(1.0, server.limit * policy.limitShrink);
    }
    if (server.unanswered++ == 0) {
      server.firstUnansweredAt = attempt.began;
    }
    double const seenMs = FineMs(now - attempt.began).count();
    if (!lost) {
      narrow(service, tenant, seenMs);
    }
    server.latencyMs = std::max(server.latencyMs, server.latencyMs * 0.8 + seenMs * 0.2);
    server.latencyAt = now;
    if (server.downUntil || (server.unanswered >= 3 && now - server.firstUnansweredAt >= policy.stallMs)) {
      markDown(leg.service, server);
    }
  }
  if (lost) {
    ++counters.lostRaces;
  }
  release(service, tenant);
  attempts.erase(id);
  leg.ledger.cancel(id);
  effects.emplace_back(Cancel{id});
}

void Machine::Impl::closeOthers(RequestState& request, std::size_t index) {
  Leg& leg = request.legs[index];
  std::vector<tally::Attempt> const copy = leg.ledger.attempts();
  bool const lost = leg.ledger.isComplete();
  for (tally::Attempt const& attempt : copy) {
    if (attempt.phase == tally::Phase::assigned) {
      closeAttempt(leg, attempt, lost);
    }
  }
  std::erase_if(services[leg.service].open, [&](LegKey const& key) {
    return key.request == request.asked.request && key.leg == index;
  });
}

void Machine::Impl::on(Returned const& event) {
  std::unordered_map<std::uint64_t, LegKey>::iterator const known = attempts.find(event.attempt);
  if (known == attempts.end()) {
    return;
  }
  LegKey const key = known->second;
  attempts.erase(known);
  RequestState& request = requests.at(key.request);
  Leg& leg = request.legs[key.leg];
  std::string const name = leg.service;
  ServiceState& service = services[name];
  std::vector<tally::Attempt> const& entries = leg.ledger.attempts();
  tally::Attempt const attempt = *std::find_if(
      entries.begin(), entries.end(), [&](tally::Attempt const& entry) { return entry.id == event.attempt; });
  std::map<std::string, ServerState>::iterator const server = service.servers.find(attempt.server);
  release(service, request.asked.tenant);
  if (event.healthy) {
    widen(service, request, FineMs(now - attempt.began).count());
  }
  if (server != service.servers.end()) {
    if (server->second.inFlight > 0) {
      --server->second.inFlight;
    }
    noteAnswer(service, name, server->second, event, FineMs(now - attempt.began).count());
  }
  if (event.good) {
    leg.ledger.complete(event.attempt);
    effects.emplace_back(Keep{event.attempt, key.request, key.leg});
    closeOthers(request, key.leg);
  } else {
    leg.ledger.fail(event.attempt, event.verdict,
                    event.verdict != tally::Verdict::notRun || event.full || event.otherLife);
    if (!leg.ledger.hasOpen()) {
      std::erase_if(service.open,
                    [&](LegKey const& entry) { return entry.request == key.request && entry.leg == key.leg; });
      bool const again = leg.ledger.mayAttemptAgain(request.asked.max_attempts, request.asked.repeatable) &&
                         hasCandidate(service, leg.ledger) &&
                         (!leg.ledger.hasReached() || service.budget.left() >= 1);
      if (again) {
        ++counters.retries;
        enqueue(key, true);
      } else {
        leg.givenUp = true;
      }
    }
  }
  dispatch(name);
  settle(key.request);
}

void Machine::Impl::on(Abandon const& event) {
  std::unordered_map<std::uint64_t, RequestState>::iterator const found = requests.find(event.request);
  if (found == requests.end()) {
    return;
  }
  for (std::size_t index = 0; index < found->second.legs.size(); ++index) {
    dropWaiting({event.request, index});
    closeOthers(found->second, index);
  }
  requests.erase(found);
}

void Machine::Impl::on(Tick const&) {
  std::vector<std::uint64_t> due;
  for (std::pair<std::uint64_t const, RequestState> const& entry : requests) {
    due.push_back(entry.first);
  }
  for (std::pair<std::string const, ServiceState>& entry : services) {
    if (entry.second.waitingCount > 0 || !entry.second.open.empty()) {
      dispatch(entry.first);
    }
  }
  for (std::uint64_t const request : due) {
    settle(request);
  }
}

void Machine::Impl::settle(std::uint64_t id) {
  std::unordered_map<std::uint64_t, RequestState>::iterator const found = requests.find(id);
  if (found == requests.end()) {
    return;
  }
  RequestState& request = found->second;
  std::size_t done = 0;
  std::size_t pending = 0;
  for (std::size_t index = 0; index < request.legs.size(); ++index) {
    Leg& leg = request.legs[index];
    if (leg.waiting && !hasCandidate(services[leg.service], leg.ledger)) {
      dropWaiting({id, index});
      leg.givenUp = true;
    }
    if (leg.ledger.isComplete()) {
      ++done;
    } else if (!leg.givenUp) {
      ++pending;
    }
  }
  bool const enough = done >= request.asked.minimum;
  if (pending == 0) {
    finish(id, enough ? (done == request.legs.size() ? Ending::complete : Ending::partial) : Ending::failed,
           "no server left to try");
  } else if (done + pending < request.asked.minimum) {
    finish(id, Ending::failed, "too few shards can still answer");
  } else if (now >= request.answerBy) {
    finish(id, enough ? Ending::partial : Ending::failed, "deadline");
  }
}

void Machine::Impl::finish(std::uint64_t id, Ending ending, std::string const& reason) {
  RequestState& request = requests.at(id);
  Finish out;
  out.request = id;
  out.ending = ending;
  bool touched = false;
  std::set<std::string> names;
  for (std::size_t index = 0; index < request.legs.size(); ++index) {
    Leg& leg = request.legs[index];
    dropWaiting({id, index});
    touched = touched || leg.ledger.mayHaveRun();
    if (!leg.ledger.isComplete()) {
      out.missing.push_back(index);
    }
    closeOthers(request, index);
    names.insert(leg.service);
  }
  counters.missing += out.missing.size();
  bool const answered = ending == Ending::complete || ending == Ending::partial;
  out.verdict = answered ? tally::Verdict::ran : touched ? tally::Verdict::mayHaveRun : tally::Verdict::notRun;
  if (!answered) {
    out.reason = reason;
    out.retryAfter = retryAfter(services[request.legs.front().service]);
    out.ending = touched ? Ending::failed : Ending::refused;
  }
  effects.emplace_back(std::move(out));
  requests.erase(id);
}

Machine::Machine(Policy const& policy) : impl_(std::make_unique<Impl>(policy)) {}
Machine::~Machine() = default;
Machine::Machine(Machine&&) noexcept = default;
Machine& Machine::operator=(Machine&&) noexcept = default;

std::vector<Effect> Machine::step(TimePoint now, Event const& event) {
  impl_->now = now;
  impl_->effects.clear();
  if (impl_->places.empty()) {
    impl_->on(Place{});
  }
  std::visit([this](auto const& concrete) { impl_->on(concrete); }, event);
  return std::move(impl_->effects);
}

std::optional<TimePoint> Machine::nextWake(TimePoint now) const {
  return impl_->requests.empty() ? std::nullopt : std::optional<TimePoint>(now + Ms(4));
}

std::vector<ServerView> Machine::servers(TimePoint now) const {
  impl_->now = now;
  std::vector<ServerView> out;
  for (std::pair<std::string const, ServiceState> const& service : impl_->services) {
    for (std::pair<std::string const, ServerState> const& entry : service.second.servers) {
      ServerState const& server = entry.second;
      out.push_back({service.first, server.row.address, server.row.zone, server.inFlight, server.latencyMs,
                     server.downUntil.has_value(), server.row.leaving, impl_->freshness(server) < 1, server.load});
    }
  }
  return out;
}

Counters Machine::counters() const { return impl_->counters; }
std::size_t Machine::requests() const { return impl_->requests.size(); }

}
