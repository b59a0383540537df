#include "dispatcher_impl.h"

#include <algorithm>
#include <cmath>

namespace limeramp::dispatch {
namespace {

constexpr std::size_t maxHeadsTried = 8;

}

TenantState& Dispatcher::Impl::tenantOf(ServiceState& service, std::string const& tenant) {
  std::unordered_map<std::string, TenantState>::iterator const found = service.tenants.find(tenant);
  if (found != service.tenants.end()) {
    return found->second;
  }
  if (service.tenants.size() >= options.queue.maxWaitingPerService) {
    std::erase_if(service.tenants, [&](std::pair<std::string const, TenantState> const& entry) {
      TenantState const& state = entry.second;
      return state.subrequests == 0 && (state.abandonedUntil.empty() || state.abandonedUntil.back() <= now);
    });
  }
  TenantState& made = service.tenants[tenant];
  made.name = tenant;
  made.window = static_cast<double>(std::max<std::size_t>(1, service.servers.size()));
  return made;
}

void Dispatcher::Impl::enqueue(RequestState& request, std::uint32_t index) {
  Subrequest& subrequest = request.subrequests[index];
  subrequest.waiting = true;
  subrequest.order = subrequest.order == 0 ? ++lastOrder : subrequest.order;
  ServiceState& service = services[subrequest.service];
  TenantState& tenant = *subrequest.tenant;
  if (tenant.waiting.empty()) {
    service.tenantRoundRobin.push_back(&tenant);
  }
  tenant.waiting.insert({request.priority, subrequest.order, {request.id, index}});
  tenant.seenAt = now;
  ++service.waitingCount;
  ++service.waitingBy[request.priority];
  markDirty(subrequest.service);
}

void Dispatcher::Impl::dropWaiting(RequestState& request, std::uint32_t index) {
  Subrequest& subrequest = request.subrequests[index];
  if (!subrequest.waiting) {
    return;
  }
  subrequest.waiting = false;
  ServiceState& service = services[subrequest.service];
  TenantState& tenant = *subrequest.tenant;
  tenant.waiting.erase({request.priority, subrequest.order, {request.id, index}});
  --service.waitingCount;
  --service.waitingBy[request.priority];
  if (tenant.waiting.empty()) {
    std::erase(service.tenantRoundRobin, &tenant);
  }
}

double Dispatcher::Impl::expectedWaitMs(ServiceState const& service, std::size_t before) const {
  double slots = 0;
  for (ServerState const& server : service.servers) {
    slots += server.row.draining || server.staleIncarnation || isHalfOpen(server)
                 ? 0
                 : std::max(1.0, std::floor(server.limit));
  }
  return static_cast<double>(before) * service.latencies.typicalMs() / std::max(1.0, slots);
}

bool Dispatcher::Impl::preempt(ServiceState& service, TenantState const* only, std::size_t priority) {
  Waiting const* worst = nullptr;
  for (TenantState const* const tenant : service.tenantRoundRobin) {
    Waiting const& last = *tenant->waiting.rbegin();
    if ((only == nullptr || tenant == only) && (worst == nullptr || *worst < last)) {
      worst = &last;
    }
  }
  if (worst == nullptr || worst->priority <= priority) {
    return false;
  }
  SubrequestKey const key = worst->key;
  RequestState& victim = requests.at(key.request);
  dropWaiting(victim, key.shard);
  victim.subrequests[key.shard].givenUp = true;
  review.push_back(key.request);
  return true;
}

bool Dispatcher::Impl::isOverloaded(ServiceState& service, RequestArrived const& event, RequestState const& request) {
  std::unordered_map<std::string, TenantState>::const_iterator const found = service.tenants.find(event.tenant);
  TenantState const* const mine = found == service.tenants.end() ? nullptr : &found->second;
  std::size_t const waitingMine = mine == nullptr ? 0 : mine->waiting.size();
  std::size_t ahead = 0;
  for (std::size_t rank = 0; rank <= request.priority; ++rank) {
    ahead += service.waitingBy[rank];
  }
  std::size_t const competingTenants = service.tenantRoundRobin.size() + (waitingMine == 0 ? 1 : 0);
  std::size_t const before = std::min(ahead, waitingMine * competingTenants);
  double const totalMs = expectedWaitMs(service, before) + service.latencies.typicalMs();
  if (before > 0 && (totalMs > millis(request.answerBy - now) ||
                     (request.latencyTargetAt && totalMs > 2 * millis(*request.latencyTargetAt - now)))) {
    return true;
  }
  if (waitingMine >= options.queue.maxWaitingPerTenant) {
    return !preempt(service, mine, request.priority);
  }
  return service.waitingCount >= options.queue.maxWaitingPerService && !preempt(service, nullptr, request.priority);
}

bool Dispatcher::Impl::wouldMissLatencyTarget(RequestState const& request, std::uint32_t index) const {
  Subrequest const& subrequest = request.subrequests[index];
  ServiceState const& service = services[subrequest.service];
  if (!hasReady(service)) {
    return true;
  }
  std::set<Waiting> const& queue = subrequest.tenant->waiting;
  std::set<Waiting>::const_iterator const at = queue.find({request.priority, subrequest.order, {request.id, index}});
  std::size_t const before =
      static_cast<std::size_t>(std::distance(queue.begin(), at)) * service.tenantRoundRobin.size() + 1;
  return now + fine(expectedWaitMs(service, before) + service.latencies.typicalMs()) > *request.latencyTargetAt;
}

void Dispatcher::Impl::dispatch(std::uint32_t index) {
  ServiceState& service = services[index];
  service.wakeAt = TimePoint::max();
  bool moved = true;
  while (moved && service.waitingCount > 0) {
    moved = false;
    for (std::size_t left = service.tenantRoundRobin.size(); left > 0 && !moved; --left) {
      TenantState& tenant = *service.tenantRoundRobin.front();
      while (!tenant.abandonedUntil.empty() && tenant.abandonedUntil.front() <= now) {
        tenant.abandonedUntil.pop_front();
      }
      std::size_t const kept = tenant.inFlight + tenant.abandonedUntil.size();
      bool const mayGo = static_cast<double>(kept) < std::max(1.0, std::floor(tenant.window));
      std::size_t heads = 0;
      for (std::set<Waiting>::iterator at = tenant.waiting.begin(); at != tenant.waiting.end() && heads < maxHeadsTried;
           ++at, ++heads) {
        SubrequestKey const key = at->key;
        RequestState& request = requests.at(key.request);
        Subrequest& subrequest = request.subrequests[key.shard];
        bool const late =
            request.arrivedAt < now && millis(request.answerBy - now) < latenciesOf(service, request.kind).tailMs();
        ServerState* const server =
            mayGo && !late ? chooseIdle(service, subrequest.attemptLog, request.idempotent, kept == 0 ? 1 : 0)
                           : nullptr;
        if (!late && server == nullptr) {
          if (!mayGo || subrequest.attemptLog.attempts().empty()) {
            break;
          }
          continue;
        }
        moved = true;
        dropWaiting(request, key.shard);
        if (late || (subrequest.attemptLog.hasReached() && !service.budget.withdraw())) {
          subrequest.givenUp = true;
          review.push_back(key.request);
        } else {
          assign(service, request, key.shard, *server, false);
        }
        break;
      }
      if (!service.tenantRoundRobin.empty() && service.tenantRoundRobin.front() == &tenant) {
        service.tenantRoundRobin.pop_front();
        service.tenantRoundRobin.push_back(&tenant);
      }
    }
  }
  if (service.waitingCount == 0) {
    hedge(service);
    return;
  }
  service.wakeAt = now + options.queue.recheckMs;
  for (ServerState const& server : service.servers) {
    service.wakeAt = std::min(service.wakeAt, nextIdleAt(server));
  }
  for (TenantState const* const tenant : service.tenantRoundRobin) {
    if (!tenant->abandonedUntil.empty()) {
      service.wakeAt = std::min(service.wakeAt, std::max(tenant->abandonedUntil.front(), now + Ms(1)));
    }
  }
}

TimePoint Dispatcher::Impl::hedgeAt(RequestState const& request, Subrequest const& subrequest) const {
  LatencyWindow const& seen = latenciesOf(services[subrequest.service], request.kind);
  double const maxMs = millis(request.deadline - request.arrivedAt) * options.hedging.maxShareOfDeadline;
  double const learntMs = seen.known() ? seen.tailMs() * options.hedging.factor : maxMs;
  double thresholdMs = std::clamp(learntMs, std::min(maxMs, millis(options.hedging.minMs)), maxMs);
  TimePoint const began = subrequest.attemptLog.lastBegan();
  if (!request.latencyTargetAt) {
    return began + fine(thresholdMs);
  }
  double const targetMs = millis(*request.latencyTargetAt - request.arrivedAt) * options.hedging.maxShareOfDeadline;
  return began + fine(seen.known() ? thresholdMs : std::min(thresholdMs, std::max(0.0, targetMs)));
}

void Dispatcher::Impl::hedge(ServiceState& service) {
  std::erase_if(service.stragglers, [&](SubrequestKey const& key) {
    RequestState* const request = find(key.request);
    return request == nullptr || !request->subrequests[key.shard].straggling;
  });
  if (service.stragglers.empty() || service.budget.balance() < 1) {
    return;
  }
  struct Candidate {
    bool late = false;
    TimePoint began;
    SubrequestKey key;
  };
  std::vector<Candidate> candidates;
  for (SubrequestKey const& key : service.stragglers) {
    RequestState const& request = requests.at(key.request);
    bool const late = request.latencyTargetAt &&
                      now + fine(latenciesOf(service, request.kind).typicalMs()) > *request.latencyTargetAt;
    candidates.push_back({late, request.subrequests[key.shard].attemptLog.lastBegan(), key});
  }
  std::sort(candidates.begin(), candidates.end(), [](Candidate const& left, Candidate const& right) {
    return left.late != right.late ? right.late : left.began < right.began;
  });
  double const reserve = position.budgetDepth >= 2 ? 1 : 0;
  for (Candidate const& candidate : candidates) {
    if (service.budget.balance() < 1 + (candidate.late ? reserve : 0)) {
      return;
    }
    RequestState& request = requests.at(candidate.key.request);
    Subrequest& subrequest = request.subrequests[candidate.key.shard];
    ServerState* const server = chooseIdle(service, subrequest.attemptLog, false, 0);
    if (server == nullptr) {
      service.wakeAt = std::min(service.wakeAt, now + options.hedging.blockedMs);
      continue;
    }
    service.budget.withdraw();
    ++counters.hedgedAttempts;
    subrequest.straggling = false;
    assign(service, request, candidate.key.shard, *server, true);
  }
}

void Dispatcher::Impl::assign(ServiceState& service, RequestState& request, std::uint32_t index, ServerState& server,
                              bool hedged) {
  Subrequest& subrequest = request.subrequests[index];
  std::uint64_t const attempt = ++lastAttempt;
  if (subrequest.attemptLog.attempts().empty()) {
    service.budget.deposit();
  }
  subrequest.attemptLog.assign(attempt, server.id, now);
  attempts.emplace(attempt, SubrequestKey{request.id, index});
  ++subrequest.tenant->inFlight;
  server.open.push_back(now);
  if (slowStartFactor(server) < 1) {
    server.tokens -= 1;
  }
  if (isWarmingUp(server)) {
    server.warmupSentAt = now;
  }
  if (isHalfOpen(server)) {
    server.halfOpenProbeAt = now;
  }
  ++counters.attempts;
  effects.emplace_back(
      SendAttempt{attempt, request.id, index, server.row.address, server.row.incarnation, request.deadline, hedged});
  review.push_back(request.id);
}

void Dispatcher::Impl::growWindow(ServiceState& service, TenantState& tenant, RequestState const& request,
                                  double latencyMs) {
  service.baselineLatencyMs = service.baselineLatencyMs <= 0
                                  ? latencyMs
                                  : std::min(service.baselineLatencyMs * options.tenantWindow.baselineDrift, latencyMs);
  double const totalMs = millis(request.deadline - request.arrivedAt);
  if (latencyMs - service.baselineLatencyMs > totalMs * options.tenantWindow.queueShareOfDeadline) {
    shrinkWindow(service, tenant, latencyMs);
    return;
  }
  double const defaultWindow = static_cast<double>(std::max<std::size_t>(1, service.servers.size()));
  if (!tenant.waiting.empty()) {
    double const growth = tenant.shrunk ? options.tenantWindow.growth : 1;
    tenant.window =
        std::min(defaultWindow * static_cast<double>(options.concurrency.maxPerServer), tenant.window + growth);
  } else if (static_cast<double>(tenant.inFlight) < tenant.window / 2) {
    tenant.window +=
        std::clamp(defaultWindow - tenant.window, -options.tenantWindow.growth, options.tenantWindow.growth);
    tenant.shrunk = tenant.shrunk && tenant.window < defaultWindow;
  }
}

void Dispatcher::Impl::shrinkWindow(ServiceState& service, TenantState& tenant, double latencyMs) {
  bool const onlyActiveTenant = std::none_of(
      service.tenants.begin(), service.tenants.end(), [&](std::pair<std::string const, TenantState> const& entry) {
        return &entry.second != &tenant && now - entry.second.seenAt < options.tenantWindow.activeMs;
      });
  double const narrowest = onlyActiveTenant ? static_cast<double>(std::max<std::size_t>(1, service.servers.size())) : 1;
  if (!tenant.waiting.empty() && millis(now - tenant.shrunkAt) >= latencyMs) {
    tenant.shrunkAt = now;
    tenant.shrunk = true;
    tenant.window = std::max(narrowest, tenant.window * options.tenantWindow.shrink);
  }
}

}  // namespace limeramp::dispatch
