#include "impl.h"

#include <algorithm>
#include <cmath>

namespace limeramp::dispatch {
namespace {

constexpr std::size_t headsTried = 8;

}

TenantState& Machine::Impl::tenantOf(ServiceState& service, std::string const& tenant) {
  std::unordered_map<std::string, TenantState>::iterator const found = service.tenants.find(tenant);
  if (found != service.tenants.end()) {
    return found->second;
  }
  if (service.tenants.size() >= policy.maxWaitingPerService) {
    std::erase_if(service.tenants, [&](std::pair<std::string const, TenantState> const& entry) {
      TenantState const& state = entry.second;
      return state.legs == 0 && (state.ghosts.empty() || state.ghosts.back() <= now);
    });
  }
  TenantState& made = service.tenants[tenant];
  made.name = tenant;
  made.window = static_cast<double>(std::max<std::size_t>(1, service.servers.size()));
  return made;
}

void Machine::Impl::enqueue(RequestState& request, std::uint32_t index) {
  Leg& leg = request.legs[index];
  leg.waiting = true;
  leg.order = leg.order == 0 ? ++lastOrder : leg.order;
  ServiceState& service = services[leg.service];
  TenantState& tenant = *leg.tenant;
  if (tenant.waiting.empty()) {
    service.rota.push_back(&tenant);
  }
  tenant.waiting.insert({request.priority, leg.order, {request.id, index}});
  tenant.seenAt = now;
  ++service.waitingCount;
  ++service.waitingBy[request.priority];
  touch(leg.service);
}

void Machine::Impl::dropWaiting(RequestState& request, std::uint32_t index) {
  Leg& leg = request.legs[index];
  if (!leg.waiting) {
    return;
  }
  leg.waiting = false;
  ServiceState& service = services[leg.service];
  TenantState& tenant = *leg.tenant;
  tenant.waiting.erase({request.priority, leg.order, {request.id, index}});
  --service.waitingCount;
  --service.waitingBy[request.priority];
  if (tenant.waiting.empty()) {
    std::erase(service.rota, &tenant);
  }
}

double Machine::Impl::waitMs(ServiceState const& service, std::size_t before) const {
  double slots = 0;
  for (ServerState const& server : service.servers) {
    slots += server.row.leaving || server.otherLife || isOnTrial(server) ? 0 : std::max(1.0, std::floor(server.limit));
  }
  return static_cast<double>(before) * service.latencies.typicalMs() / std::max(1.0, slots);
}

bool Machine::Impl::pushOut(ServiceState& service, TenantState const* only, std::size_t priority) {
  Waiting const* worst = nullptr;
  for (TenantState const* const tenant : service.rota) {
    Waiting const& last = *tenant->waiting.rbegin();
    if ((only == nullptr || tenant == only) && (worst == nullptr || *worst < last)) {
      worst = &last;
    }
  }
  if (worst == nullptr || worst->priority <= priority) {
    return false;
  }
  LegKey const key = worst->key;
  RequestState& victim = requests.at(key.request);
  dropWaiting(victim, key.leg);
  victim.legs[key.leg].givenUp = true;
  review.push_back(key.request);
  return true;
}

bool Machine::Impl::isCrowded(ServiceState& service, Arrive const& event, RequestState const& request) {
  std::unordered_map<std::string, TenantState>::const_iterator const found = service.tenants.find(event.tenant);
  TenantState const* const mine = found == service.tenants.end() ? nullptr : &found->second;
  std::size_t const waitingMine = mine == nullptr ? 0 : mine->waiting.size();
  std::size_t ahead = 0;
  for (std::size_t rank = 0; rank <= request.priority; ++rank) {
    ahead += service.waitingBy[rank];
  }
  std::size_t const rivals = service.rota.size() + (waitingMine == 0 ? 1 : 0);
  std::size_t const before = std::min(ahead, waitingMine * rivals);
  double const wholeMs = waitMs(service, before) + service.latencies.typicalMs();
  if (before > 0 &&
      (wholeMs > millis(request.answerBy - now) || (request.aimBy && wholeMs > 2 * millis(*request.aimBy - now)))) {
    return true;
  }
  if (waitingMine >= policy.maxWaitingPerTenant) {
    return !pushOut(service, mine, request.priority);
  }
  return service.waitingCount >= policy.maxWaitingPerService && !pushOut(service, nullptr, request.priority);
}

bool Machine::Impl::wouldMissAim(RequestState const& request, std::uint32_t index) const {
  Leg const& leg = request.legs[index];
  ServiceState const& service = services[leg.service];
  if (!hasReady(service)) {
    return true;
  }
  std::set<Waiting> const& queue = leg.tenant->waiting;
  std::set<Waiting>::const_iterator const at = queue.find({request.priority, leg.order, {request.id, index}});
  std::size_t const before = static_cast<std::size_t>(std::distance(queue.begin(), at)) * service.rota.size() + 1;
  return now + fine(waitMs(service, before) + service.latencies.typicalMs()) > *request.aimBy;
}

void Machine::Impl::dispatch(std::uint32_t index) {
  ServiceState& service = services[index];
  service.wakeAt = TimePoint::max();
  bool moved = true;
  while (moved && service.waitingCount > 0) {
    moved = false;
    for (std::size_t left = service.rota.size(); left > 0 && !moved; --left) {
      TenantState& tenant = *service.rota.front();
      while (!tenant.ghosts.empty() && tenant.ghosts.front() <= now) {
        tenant.ghosts.pop_front();
      }
      std::size_t const held = tenant.inFlight + tenant.ghosts.size();
      bool const mayGo = static_cast<double>(held) < std::max(1.0, std::floor(tenant.window));
      std::size_t heads = 0;
      for (std::set<Waiting>::iterator at = tenant.waiting.begin(); at != tenant.waiting.end() && heads < headsTried;
           ++at, ++heads) {
        LegKey const key = at->key;
        RequestState& request = requests.at(key.request);
        Leg& leg = request.legs[key.leg];
        bool const late =
            request.arrivedAt < now && millis(request.answerBy - now) < latenciesOf(service, request.kind).tailMs();
        ServerState* const server =
            mayGo && !late ? chooseIdle(service, leg.ledger, request.repeatable, held == 0 ? 1 : 0) : nullptr;
        if (!late && server == nullptr) {
          if (!mayGo || leg.ledger.attempts().empty()) {
            break;
          }
          continue;
        }
        moved = true;
        dropWaiting(request, key.leg);
        if (late || (leg.ledger.hasReached() && !service.budget.spend())) {
          leg.givenUp = true;
          review.push_back(key.request);
        } else {
          assign(service, request, key.leg, *server, false);
        }
        break;
      }
      if (!service.rota.empty() && service.rota.front() == &tenant) {
        service.rota.pop_front();
        service.rota.push_back(&tenant);
      }
    }
  }
  if (service.waitingCount == 0) {
    rerun(service);
    return;
  }
  service.wakeAt = now + policy.waitWakeMs;
  for (ServerState const& server : service.servers) {
    service.wakeAt = std::min(service.wakeAt, nextIdleAt(server));
  }
  for (TenantState const* const tenant : service.rota) {
    if (!tenant->ghosts.empty()) {
      service.wakeAt = std::min(service.wakeAt, std::max(tenant->ghosts.front(), now + Ms(1)));
    }
  }
}

TimePoint Machine::Impl::rerunAt(RequestState const& request, Leg const& leg) const {
  Latencies const& seen = latenciesOf(services[leg.service], request.kind);
  double const maxMs = millis(request.deadline - request.arrivedAt) * policy.stragglerShareOfDeadline;
  double const learntMs = seen.known() ? seen.tailMs() * policy.stragglerFactor : maxMs;
  double thresholdMs = std::clamp(learntMs, std::min(maxMs, millis(policy.stragglerMinMs)), maxMs);
  TimePoint const began = leg.ledger.lastBegan();
  if (!request.aimBy) {
    return began + fine(thresholdMs);
  }
  double const aimMs = millis(*request.aimBy - request.arrivedAt) * policy.stragglerShareOfDeadline;
  return began + fine(seen.known() ? thresholdMs : std::min(thresholdMs, std::max(0.0, aimMs)));
}

void Machine::Impl::rerun(ServiceState& service) {
  std::erase_if(service.overdue, [&](LegKey const& key) {
    RequestState* const request = find(key.request);
    return request == nullptr || !request->legs[key.leg].overdue;
  });
  if (service.overdue.empty() || service.budget.left() < 1) {
    return;
  }
  struct Candidate {
    bool late = false;
    TimePoint began;
    LegKey key;
  };
  std::vector<Candidate> candidates;
  for (LegKey const& key : service.overdue) {
    RequestState const& request = requests.at(key.request);
    bool const late = request.aimBy && now + fine(latenciesOf(service, request.kind).typicalMs()) > *request.aimBy;
    candidates.push_back({late, request.legs[key.leg].ledger.lastBegan(), key});
  }
  std::sort(candidates.begin(), candidates.end(), [](Candidate const& left, Candidate const& right) {
    return left.late != right.late ? right.late : left.began < right.began;
  });
  double const reserve = place.budgetDepth >= 2 ? 1 : 0;
  for (Candidate const& candidate : candidates) {
    if (service.budget.left() < 1 + (candidate.late ? reserve : 0)) {
      return;
    }
    RequestState& request = requests.at(candidate.key.request);
    Leg& leg = request.legs[candidate.key.leg];
    ServerState* const server = chooseIdle(service, leg.ledger, false, 0);
    if (server == nullptr) {
      service.wakeAt = std::min(service.wakeAt, now + policy.blockedMs);
      continue;
    }
    service.budget.spend();
    ++counters.extras;
    leg.overdue = false;
    assign(service, request, candidate.key.leg, *server, true);
  }
}

void Machine::Impl::assign(ServiceState& service, RequestState& request, std::uint32_t index, ServerState& server,
                           bool extra) {
  Leg& leg = request.legs[index];
  std::uint64_t const attempt = ++lastAttempt;
  if (leg.ledger.attempts().empty()) {
    service.budget.earn();
  }
  leg.ledger.assign(attempt, server.id, now);
  attempts.emplace(attempt, LegKey{request.id, index});
  ++leg.tenant->inFlight;
  server.open.push_back(now);
  if (freshness(server) < 1) {
    server.tokens -= 1;
  }
  if (isCold(server)) {
    server.coldSentAt = now;
  }
  if (isOnTrial(server)) {
    server.trialAt = now;
  }
  ++counters.attempts;
  effects.emplace_back(Send{attempt, request.id, index, server.row.address, server.row.life, request.deadline, extra});
  review.push_back(request.id);
}

void Machine::Impl::widen(ServiceState& service, TenantState& tenant, RequestState const& request, double latencyMs) {
  service.baseMs = service.baseMs <= 0 ? latencyMs : std::min(service.baseMs * policy.baseDrift, latencyMs);
  double const wholeMs = millis(request.deadline - request.arrivedAt);
  if (latencyMs - service.baseMs > wholeMs * policy.queueShareOfDeadline) {
    narrow(service, tenant, latencyMs);
    return;
  }
  double const usual = static_cast<double>(std::max<std::size_t>(1, service.servers.size()));
  if (!tenant.waiting.empty()) {
    double const growth = tenant.narrowed ? policy.windowGrowth : 1;
    tenant.window = std::min(usual * static_cast<double>(policy.concurrentPerServer), tenant.window + growth);
  } else if (static_cast<double>(tenant.inFlight) < tenant.window / 2) {
    tenant.window += std::clamp(usual - tenant.window, -policy.windowGrowth, policy.windowGrowth);
    tenant.narrowed = tenant.narrowed && tenant.window < usual;
  }
}

void Machine::Impl::narrow(ServiceState& service, TenantState& tenant, double latencyMs) {
  bool const alone = std::none_of(service.tenants.begin(), service.tenants.end(),
                                  [&](std::pair<std::string const, TenantState> const& entry) {
                                    return &entry.second != &tenant && now - entry.second.seenAt < policy.rivalMs;
                                  });
  double const least = alone ? static_cast<double>(std::max<std::size_t>(1, service.servers.size())) : 1;
  if (!tenant.waiting.empty() && millis(now - tenant.shrunkAt) >= latencyMs) {
    tenant.shrunkAt = now;
    tenant.narrowed = true;
    tenant.window = std::max(least, tenant.window * policy.windowShrink);
  }
}

}  // namespace limeramp::dispatch
