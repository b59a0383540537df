#include "dispatcher_impl.h"

#include <algorithm>
#include <cmath>

namespace limeramp::dispatch {
namespace {

/// Waiting subrequests of one tenant that are tried in one turn.
constexpr std::size_t maxHeadsTried = 8;

}  // namespace

TenantState& Dispatcher::Impl::findOrAddTenant(ServiceState& service, std::string const& tenant) {
  std::unordered_map<std::string, TenantState>::iterator const found = service.tenants.find(tenant);
  if (found != service.tenants.end()) {
    return found->second;
  }
  if (service.tenants.size() >= options.queue.maxWaitingPerService) {
    std::erase_if(service.tenants, [&](std::pair<std::string const, TenantState> const& entry) {
      TenantState const& state = entry.second;
      return state.subrequestCount == 0 && (state.abandonedUntil.empty() || state.abandonedUntil.back() <= now);
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
  subrequest.order = subrequest.order == 0 ? ++lastQueueOrder : subrequest.order;
  ServiceState& service = services[subrequest.service];
  TenantState& tenant = *subrequest.tenant;
  if (tenant.waiting.empty()) {
    service.tenantRoundRobin.push_back(&tenant);
  }
  tenant.waiting.insert({request.priority, subrequest.order, {request.id, index}});
  tenant.lastEnqueuedAt = now;
  ++service.waitingCount;
  ++service.waitingByPriority[request.priority];
  markDirty(subrequest.service);
}

void Dispatcher::Impl::dequeue(RequestState& request, std::uint32_t index) {
  Subrequest& subrequest = request.subrequests[index];
  if (!subrequest.waiting) {
    return;
  }
  subrequest.waiting = false;
  ServiceState& service = services[subrequest.service];
  TenantState& tenant = *subrequest.tenant;
  tenant.waiting.erase({request.priority, subrequest.order, {request.id, index}});
  --service.waitingCount;
  --service.waitingByPriority[request.priority];
  if (tenant.waiting.empty()) {
    std::erase(service.tenantRoundRobin, &tenant);
  }
}

double Dispatcher::Impl::expectedWaitMs(ServiceState const& service, std::size_t queuedAhead) const {
  double slots = 0;
  for (ServerState const& server : service.servers) {
    slots += server.endpoint.draining || server.staleIncarnation || isHalfOpen(server)
                 ? 0
                 : std::max(1.0, std::floor(server.concurrencyLimit));
  }
  return static_cast<double>(queuedAhead) * service.latencies.medianMs() / std::max(1.0, slots);
}

bool Dispatcher::Impl::preempt(ServiceState& service, TenantState const* onlyTenant, std::size_t priority) {
  QueueEntry const* worst = nullptr;
  for (TenantState const* const tenant : service.tenantRoundRobin) {
    QueueEntry const& last = *tenant->waiting.rbegin();
    if ((onlyTenant == nullptr || tenant == onlyTenant) && (worst == nullptr || *worst < last)) {
      worst = &last;
    }
  }
  if (worst == nullptr || worst->priority <= priority) {
    return false;
  }
  SubrequestKey const key = worst->key;
  RequestState& victim = requests.at(key.request);
  dequeue(victim, key.shard);
  victim.subrequests[key.shard].givenUp = true;
  requestsToReview.push_back(key.request);
  return true;
}

bool Dispatcher::Impl::isOverloaded(ServiceState& service, RequestArrived const& event, RequestState const& request) {
  std::unordered_map<std::string, TenantState>::const_iterator const found = service.tenants.find(event.tenant);
  TenantState const* const ownTenant = found == service.tenants.end() ? nullptr : &found->second;
  std::size_t const waitingOfTenant = ownTenant == nullptr ? 0 : ownTenant->waiting.size();
  std::size_t sameOrHigherPriority = 0;
  for (std::size_t rank = 0; rank <= request.priority; ++rank) {
    sameOrHigherPriority += service.waitingByPriority[rank];
  }
  std::size_t const competingTenants = service.tenantRoundRobin.size() + (waitingOfTenant == 0 ? 1 : 0);
  std::size_t const queuedAhead = std::min(sameOrHigherPriority, waitingOfTenant * competingTenants);
  double const expectedMs = expectedWaitMs(service, queuedAhead) + service.latencies.medianMs();
  if (queuedAhead > 0 && (expectedMs > millis(request.answerBy - now) ||
                          (request.latencyTargetAt && expectedMs > 2 * millis(*request.latencyTargetAt - now)))) {
    return true;
  }
  if (waitingOfTenant >= options.queue.maxWaitingPerTenant) {
    return !preempt(service, ownTenant, request.priority);
  }
  return service.waitingCount >= options.queue.maxWaitingPerService && !preempt(service, nullptr, request.priority);
}

bool Dispatcher::Impl::wouldMissLatencyTarget(RequestState const& request, std::uint32_t index) const {
  Subrequest const& subrequest = request.subrequests[index];
  ServiceState const& service = services[subrequest.service];
  if (!hasReadyServer(service)) {
    return true;
  }
  std::set<QueueEntry> const& queue = subrequest.tenant->waiting;
  std::set<QueueEntry>::const_iterator const at = queue.find({request.priority, subrequest.order, {request.id, index}});
  std::size_t const queuedAhead =
      static_cast<std::size_t>(std::distance(queue.begin(), at)) * service.tenantRoundRobin.size() + 1;
  return now + toDuration(expectedWaitMs(service, queuedAhead) + service.latencies.medianMs()) >
         *request.latencyTargetAt;
}

void Dispatcher::Impl::dispatch(std::uint32_t index) {
  ServiceState& service = services[index];
  service.wakeAt = TimePoint::max();
  bool progressed = true;
  while (progressed && service.waitingCount > 0) {
    progressed = false;
    for (std::size_t tenantsLeft = service.tenantRoundRobin.size(); tenantsLeft > 0 && !progressed; --tenantsLeft) {
      TenantState& tenant = *service.tenantRoundRobin.front();
      while (!tenant.abandonedUntil.empty() && tenant.abandonedUntil.front() <= now) {
        tenant.abandonedUntil.pop_front();
      }
      std::size_t const occupied = tenant.inFlight + tenant.abandonedUntil.size();
      bool const windowHasRoom = static_cast<double>(occupied) < std::max(1.0, std::floor(tenant.window));
      std::size_t headsTried = 0;
      for (std::set<QueueEntry>::iterator at = tenant.waiting.begin();
           at != tenant.waiting.end() && headsTried < maxHeadsTried; ++at, ++headsTried) {
        SubrequestKey const key = at->key;
        RequestState& request = requests.at(key.request);
        Subrequest& subrequest = request.subrequests[key.shard];
        bool const wouldMissDeadline =
            request.arrivedAt < now && millis(request.answerBy - now) < latenciesOf(service, request.kind).tailMs();
        // A tenant with nothing in flight may exceed a server's limit by one, so that other tenants cannot block it.
        ServerState* const server =
            windowHasRoom && !wouldMissDeadline
                ? chooseIdle(service, subrequest.attemptLog, request.idempotent, occupied == 0 ? 1 : 0)
                : nullptr;
        // A retry may find no server because it has tried the idle ones; subrequests behind it can still be served.
        if (!wouldMissDeadline && server == nullptr) {
          if (!windowHasRoom || subrequest.attemptLog.attempts().empty()) {
            break;
          }
          continue;
        }
        progressed = true;
        dequeue(request, key.shard);
        if (wouldMissDeadline || (subrequest.attemptLog.hasReached() && !service.budget.withdraw())) {
          subrequest.givenUp = true;
          requestsToReview.push_back(key.request);
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
  LatencyWindow const& latencies = latenciesOf(services[subrequest.service], request.kind);
  double const maxMs = millis(request.deadline - request.arrivedAt) * options.hedging.maxShareOfDeadline;
  double const observedMs = latencies.hasSamples() ? latencies.tailMs() * options.hedging.factor : maxMs;
  double thresholdMs = std::clamp(observedMs, std::min(maxMs, millis(options.hedging.minMs)), maxMs);
  TimePoint const began = subrequest.attemptLog.lastBegan();
  if (!request.latencyTargetAt) {
    return began + toDuration(thresholdMs);
  }
  double const targetMs = millis(*request.latencyTargetAt - request.arrivedAt) * options.hedging.maxShareOfDeadline;
  return began + toDuration(latencies.hasSamples() ? thresholdMs : std::min(thresholdMs, std::max(0.0, targetMs)));
}

void Dispatcher::Impl::hedge(ServiceState& service) {
  std::erase_if(service.stragglers, [&](SubrequestKey const& key) {
    RequestState* const request = findRequest(key.request);
    return request == nullptr || !request->subrequests[key.shard].straggling;
  });
  if (service.stragglers.empty() || service.budget.balance() < 1) {
    return;
  }
  struct Candidate {
    bool wouldMissTarget = false;
    TimePoint began;
    SubrequestKey key;
  };
  std::vector<Candidate> candidates;
  for (SubrequestKey const& key : service.stragglers) {
    RequestState const& request = requests.at(key.request);
    bool const wouldMissTarget =
        request.latencyTargetAt &&
        now + toDuration(latenciesOf(service, request.kind).medianMs()) > *request.latencyTargetAt;
    candidates.push_back({wouldMissTarget, request.subrequests[key.shard].attemptLog.lastBegan(), key});
  }
  std::sort(candidates.begin(), candidates.end(), [](Candidate const& left, Candidate const& right) {
    return left.wouldMissTarget != right.wouldMissTarget ? right.wouldMissTarget : left.began < right.began;
  });
  // From a depth of 2 on, the last token is kept for stragglers that can still meet their latency target.
  double const reserve = position.budgetDepth >= 2 ? 1 : 0;
  for (Candidate const& candidate : candidates) {
    if (service.budget.balance() < 1 + (candidate.wouldMissTarget ? reserve : 0)) {
      return;
    }
    RequestState& request = requests.at(candidate.key.request);
    Subrequest& subrequest = request.subrequests[candidate.key.shard];
    // Passed as not idempotent, so that hedged attempts avoid half-open servers.
    ServerState* const server = chooseIdle(service, subrequest.attemptLog, false, 0);
    if (server == nullptr) {
      service.wakeAt = std::min(service.wakeAt, now + options.hedging.noServerRetryMs);
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
  std::uint64_t const attempt = ++lastAttemptId;
  if (subrequest.attemptLog.attempts().empty()) {
    service.budget.deposit();
  }
  subrequest.attemptLog.assign(attempt, server.id, now);
  attempts.emplace(attempt, SubrequestKey{request.id, index});
  ++subrequest.tenant->inFlight;
  server.openAttempts.push_back(now);
  if (slowStartFactor(server) < 1) {
    server.tokens -= 1;
  }
  if (isWarmingUp(server)) {
    server.lastWarmupAttemptAt = now;
  }
  if (isHalfOpen(server)) {
    server.lastHalfOpenProbeAt = now;
  }
  ++counters.attempts;
  effects.emplace_back(SendAttempt{attempt, request.id, index, server.endpoint.address, server.endpoint.incarnation,
                                   request.deadline, hedged});
  requestsToReview.push_back(request.id);
}

void Dispatcher::Impl::growWindow(ServiceState& service, TenantState& tenant, RequestState const& request,
                                  double latencyMs) {
  service.baselineLatencyMs = service.baselineLatencyMs <= 0
                                  ? latencyMs
                                  : std::min(service.baselineLatencyMs * options.tenantWindow.baselineDrift, latencyMs);
  double const timeAllowedMs = millis(request.deadline - request.arrivedAt);
  if (latencyMs - service.baselineLatencyMs > timeAllowedMs * options.tenantWindow.queueShareOfDeadline) {
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
        return &entry.second != &tenant && now - entry.second.lastEnqueuedAt < options.tenantWindow.activeMs;
      });
  double const minWindow = onlyActiveTenant ? static_cast<double>(std::max<std::size_t>(1, service.servers.size())) : 1;
  // At most one shrink per latency, since answers that were in flight together report the same queue.
  if (!tenant.waiting.empty() && millis(now - tenant.lastShrunkAt) >= latencyMs) {
    tenant.lastShrunkAt = now;
    tenant.shrunk = true;
    tenant.window = std::max(minWindow, tenant.window * options.tenantWindow.shrink);
  }
}

}  // namespace limeramp::dispatch
