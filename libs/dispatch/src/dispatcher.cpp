#include "dispatcher_impl.h"

#include <algorithm>

namespace limeramp::dispatch {

std::string_view textOf(FinishReason reason) {
  switch (reason) {
    case FinishReason::none:
      return "";
    case FinishReason::overloaded:
      return "overloaded";
    case FinishReason::noServerLeft:
      return "no server left to try";
    case FinishReason::tooFewShardsLeft:
      return "too few shards can still answer";
    case FinishReason::deadlineReached:
      return "deadline";
    case FinishReason::latencyTargetReached:
      return "aim";
  }
  return "";
}

std::uint32_t Dispatcher::Impl::findOrAddService(std::string const& name) {
  std::unordered_map<std::string, std::uint32_t>::const_iterator const found = serviceIndex.find(name);
  if (found != serviceIndex.end()) {
    return found->second;
  }
  std::uint32_t index = static_cast<std::uint32_t>(services.size());
  if (freeServices.empty()) {
    services.emplace_back();
  } else {
    index = freeServices.back();
    freeServices.pop_back();
  }
  services[index].name = name;
  services[index].budget.set(position.budgetDepth, position.budgetRatio);
  serviceIndex.emplace(name, index);
  return index;
}

void Dispatcher::Impl::releaseIfUnused(std::uint32_t index) {
  ServiceState& service = services[index];
  if (service.subrequestCount == 0 && service.servers.empty() && !service.name.empty()) {
    serviceIndex.erase(service.name);
    service = ServiceState{};
    freeServices.push_back(index);
  }
}

void Dispatcher::Impl::markDirty(std::uint32_t index) {
  if (!services[index].dirty) {
    services[index].dirty = true;
    dirtyServices.push_back(index);
  }
}

RequestState* Dispatcher::Impl::findRequest(std::uint64_t request) {
  std::unordered_map<std::uint64_t, RequestState>::iterator const found = requests.find(request);
  return found == requests.end() ? nullptr : &found->second;
}

void Dispatcher::Impl::on(ServersUpdated const& event) {
  std::uint32_t const index = findOrAddService(event.service);
  ServiceState& service = services[index];
  std::vector<ServerState> next;
  next.reserve(event.rows.size());
  for (ServerEndpoint const& endpoint : event.rows) {
    std::vector<ServerState>::iterator const old =
        std::find_if(service.servers.begin(), service.servers.end(), [&](ServerState const& server) {
          return server.id != 0 && server.endpoint.address == endpoint.address &&
                 server.endpoint.incarnation == endpoint.incarnation;
        });
    ServerState state;
    if (old == service.servers.end()) {
      state.id = ++lastServerId;
      state.startedAt = now - endpoint.ageMs;
      // Gateways begin with different fills, so that their first attempts at a new server are spread over time.
      state.tokens = static_cast<double>(position.gatewayIndex) /
                     static_cast<double>(std::max<std::size_t>(1, position.gatewayCount));
      state.tokensRefilledAt = now;
      state.latencyUpdatedAt = now;
      state.concurrencyLimit = static_cast<double>(options.concurrency.maxPerServer);
    } else {
      state = std::move(*old);
      old->id = 0;
      state.startedAt = std::min(state.startedAt, now - endpoint.ageMs);
    }
    state.endpoint = endpoint;
    if (endpoint.warmupMs.count() > 0) {
      state.warmupUntil = std::max(state.warmupUntil, now + endpoint.warmupMs);
    }
    next.push_back(std::move(state));
  }
  service.servers = std::move(next);
  for (TenantState const* const tenant : service.tenantRoundRobin) {
    for (QueueEntry const& waiting : tenant->waiting) {
      requestsToReview.push_back(waiting.key.request);
    }
  }
  markDirty(index);
  releaseIfUnused(index);
}

void Dispatcher::Impl::on(FleetPosition const& event) {
  position = event;
  if (firstPositionAt == TimePoint{}) {
    firstPositionAt = now;
  }
  recentPositions.emplace_back(now, position);
  while (recentPositions.size() > 1 && now - recentPositions[1].first >= options.slowStart.positionStableMs) {
    recentPositions.pop_front();
  }
  for (std::uint32_t index = 0; index < services.size(); ++index) {
    services[index].budget.set(position.budgetDepth, position.budgetRatio);
    if (services[index].waitingCount > 0) {
      markDirty(index);
    }
  }
}

void Dispatcher::Impl::refuse(RequestArrived const& event, FinishReason reason) {
  ++counters.rejected;
  FinishRequest refusal;
  refusal.request = event.request;
  refusal.outcome = RequestOutcome::refused;
  refusal.verdict = retry::Verdict::notRun;
  refusal.reason = reason;
  refusal.retryAfter = options.backoff.minMs;
  std::string const service = event.services.empty() ? "" : event.services.front();
  std::unordered_map<std::string, std::uint32_t>::const_iterator const known = serviceIndex.find(service);
  if (known != serviceIndex.end()) {
    refusal.retryAfter = retryAfter(services[known->second]);
  }
  effects.emplace_back(std::move(refusal));
  effects.emplace_back(LogEntry{logging::Event::overloadRejected, service, event.tenant});
}

void Dispatcher::Impl::on(RequestArrived const& event) {
  if (requests.contains(event.request)) {
    return;
  }
  ++counters.arrivals;
  if (event.services.empty() || requests.size() >= options.queue.maxRequests) {
    refuse(event, FinishReason::overloaded);
    return;
  }
  RequestState state;
  state.id = event.request;
  state.minimum = event.minimum;
  state.maxAttempts = event.maxAttempts;
  state.idempotent = event.idempotent;
  state.priority = std::min(event.priority, priorityCount - 1);
  state.kind = event.kind;
  state.arrivedAt = now;
  state.deadline = event.deadline;
  double const timeAllowedMs = millis(event.deadline - now);
  double const marginMs = std::min(
      timeAllowedMs / 2, std::clamp(timeAllowedMs * options.deadlineMargin.shareOfDeadline,
                                    millis(options.deadlineMargin.minMs), millis(options.deadlineMargin.maxMs)));
  state.answerBy = event.deadline - toDuration(marginMs);
  state.assignBy = TimePoint::max();
  if (event.latencyTarget > now && event.latencyTarget < event.deadline) {
    double const targetMs = millis(event.latencyTarget - now);
    state.latencyTargetAt =
        event.latencyTarget - toDuration(std::min(millis(options.latencyTarget.marginMs), targetMs / 2));
    state.assignBy = now + toDuration(targetMs * options.latencyTarget.assignShare);
  }
  std::size_t overloadedCount = 0;
  state.subrequests.resize(event.services.size());
  for (std::size_t index = 0; index < state.subrequests.size(); ++index) {
    Subrequest& subrequest = state.subrequests[index];
    subrequest.service = findOrAddService(event.services[index]);
    subrequest.givenUp = isOverloaded(services[subrequest.service], event, state);
    overloadedCount += subrequest.givenUp ? 1 : 0;
  }
  if (state.subrequests.size() - overloadedCount < event.minimum) {
    refuse(event, FinishReason::overloaded);
    for (Subrequest const& subrequest : state.subrequests) {
      releaseIfUnused(subrequest.service);
    }
    return;
  }
  RequestState& request = requests.emplace(event.request, std::move(state)).first->second;
  for (std::uint32_t index = 0; index < request.subrequests.size(); ++index) {
    Subrequest& subrequest = request.subrequests[index];
    ServiceState& service = services[subrequest.service];
    ++service.subrequestCount;
    subrequest.tenant = &findOrAddTenant(service, event.tenant);
    ++subrequest.tenant->subrequestCount;
    if (!subrequest.givenUp) {
      enqueue(request, index);
    }
  }
  requestsToReview.push_back(event.request);
}

Ms Dispatcher::Impl::retryAfter(ServiceState const& service) const {
  double const expectedMs = service.latencies.medianMs() + expectedWaitMs(service, service.waitingCount);
  return std::clamp(Ms(static_cast<long>(std::min(expectedMs, 1e6))), options.backoff.minMs, options.backoff.maxMs);
}

void Dispatcher::Impl::cancelAttempt(RequestState& request, std::uint32_t index, retry::Attempt const& attempt,
                                     bool superseded) {
  Subrequest& subrequest = request.subrequests[index];
  ServiceState& service = services[subrequest.service];
  if (ServerState* const server = findServer(service, attempt.server)) {
    std::vector<TimePoint>::iterator const openAt =
        std::find(server->openAttempts.begin(), server->openAttempts.end(), attempt.began);
    if (openAt != server->openAttempts.end()) {
      server->openAttempts.erase(openAt);
    }
    subrequest.tenant->abandonedUntil.push_back(
        now + std::min<TimePoint::duration>(options.ejection.abandonedMaxMs, now - attempt.began));
    if (!superseded) {
      shrinkWindow(service, *subrequest.tenant, millis(now - attempt.began));
    }
    recordUnanswered(service, *server, attempt.began, superseded);
  }
  counters.supersededAttempts += superseded ? 1 : 0;
  subrequest.tenant->inFlight -= subrequest.tenant->inFlight > 0 ? 1 : 0;
  attempts.erase(attempt.id);
  subrequest.attemptLog.cancel(attempt.id);
  effects.emplace_back(CancelAttempt{attempt.id});
}

void Dispatcher::Impl::cancelOpenAttempts(RequestState& request, std::uint32_t index) {
  Subrequest& subrequest = request.subrequests[index];
  subrequest.straggling = false;
  if (!subrequest.attemptLog.hasOpen()) {
    return;
  }
  bool const superseded = subrequest.attemptLog.isComplete();
  for (std::size_t at = 0; at < subrequest.attemptLog.attempts().size(); ++at) {
    retry::Attempt const attempt = subrequest.attemptLog.attempts()[at];
    if (attempt.state == retry::AttemptState::assigned) {
      cancelAttempt(request, index, attempt, superseded);
    }
  }
  markDirty(subrequest.service);
}

void Dispatcher::Impl::on(AttemptFinished const& event) {
  std::unordered_map<std::uint64_t, SubrequestKey>::iterator const known = attempts.find(event.attempt);
  if (known == attempts.end()) {
    return;
  }
  SubrequestKey const key = known->second;
  attempts.erase(known);
  RequestState& request = requests.at(key.request);
  Subrequest& subrequest = request.subrequests[key.shard];
  ServiceState& service = services[subrequest.service];
  std::vector<retry::Attempt> const& entries = subrequest.attemptLog.attempts();
  retry::Attempt const attempt = *std::find_if(entries.begin(), entries.end(),
                                               [&](retry::Attempt const& entry) { return entry.id == event.attempt; });
  subrequest.tenant->inFlight -= subrequest.tenant->inFlight > 0 ? 1 : 0;
  double const latencyMs = millis(now - attempt.began);
  if (event.healthy) {
    growWindow(service, *subrequest.tenant, request, latencyMs);
  }
  if (ServerState* const server = findServer(service, attempt.server)) {
    std::vector<TimePoint>::iterator const openAt =
        std::find(server->openAttempts.begin(), server->openAttempts.end(), attempt.began);
    if (openAt != server->openAttempts.end()) {
      server->openAttempts.erase(openAt);
    }
    recordAnswer(service, *server, event, latencyMs, request.kind);
  }
  if (event.good) {
    subrequest.attemptLog.complete(event.attempt);
    effects.emplace_back(AcceptShardResult{event.attempt, key.request, key.shard});
    cancelOpenAttempts(request, key.shard);
  } else {
    subrequest.attemptLog.fail(event.attempt, event.verdict,
                               event.verdict != retry::Verdict::notRun || event.overCapacity || event.staleIncarnation);
    if (!subrequest.attemptLog.hasOpen()) {
      subrequest.straggling = false;
      if (subrequest.attemptLog.mayAttemptAgain(request.maxAttempts, request.idempotent) &&
          hasCandidate(service, subrequest.attemptLog) &&
          (!subrequest.attemptLog.hasReached() || service.budget.balance() >= 1)) {
        ++counters.retries;
        enqueue(request, key.shard);
      } else {
        subrequest.givenUp = true;
      }
    }
  }
  markDirty(subrequest.service);
  requestsToReview.push_back(key.request);
}

void Dispatcher::Impl::reviewRequest(RequestState& request) {
  std::size_t done = 0;
  std::size_t pending = 0;
  bool const assignDue = now >= request.assignBy;
  bool anyNeverAssigned = false;
  for (std::uint32_t index = 0; index < request.subrequests.size(); ++index) {
    Subrequest& subrequest = request.subrequests[index];
    bool const neverAssigned = subrequest.waiting && subrequest.attemptLog.attempts().empty();
    if (subrequest.waiting &&
        (!hasCandidate(services[subrequest.service], subrequest.attemptLog) ||
         (neverAssigned && assignDue && !request.latencyTargetPassed && wouldMissLatencyTarget(request, index)))) {
      dequeue(request, index);
      subrequest.givenUp = true;
    }
    anyNeverAssigned = anyNeverAssigned || (neverAssigned && subrequest.waiting);
    if (subrequest.attemptLog.isComplete()) {
      ++done;
    } else if (!subrequest.givenUp) {
      ++pending;
    }
  }
  bool const minimumReached = done >= request.minimum;
  if (pending == 0) {
    finish(request,
           minimumReached ? (done == request.subrequests.size() ? RequestOutcome::complete : RequestOutcome::partial)
                          : RequestOutcome::failed,
           FinishReason::noServerLeft);
    return;
  }
  if (done + pending < request.minimum) {
    finish(request, RequestOutcome::failed, FinishReason::tooFewShardsLeft);
    return;
  }
  if (now >= request.answerBy) {
    finish(request, minimumReached ? RequestOutcome::partial : RequestOutcome::failed, FinishReason::deadlineReached);
    return;
  }
  if (request.latencyTargetAt && !request.latencyTargetPassed && now >= *request.latencyTargetAt) {
    request.latencyTargetPassed = true;
    double const answeredShards = static_cast<double>(done);
    double const reachableShards = static_cast<double>(done + pending);
    if (minimumReached &&
        answeredShards * answeredShards >= options.latencyTarget.partialShare * reachableShards * reachableShards) {
      finish(request, RequestOutcome::partial, FinishReason::latencyTargetReached);
      return;
    }
  }
  if (assignDue) {
    request.assignBy = TimePoint::max();
  }
  TimePoint due = request.answerBy;
  if (request.latencyTargetAt && !request.latencyTargetPassed) {
    due = std::min(due, *request.latencyTargetAt);
  }
  if (anyNeverAssigned) {
    due = std::min(due, request.assignBy);
  }
  for (std::uint32_t index = 0; options.hedging.enabled && request.idempotent && index < request.subrequests.size();
       ++index) {
    Subrequest& subrequest = request.subrequests[index];
    if (subrequest.straggling || !subrequest.attemptLog.hasOpen() ||
        !subrequest.attemptLog.mayAttemptAgain(request.maxAttempts, true)) {
      continue;
    }
    TimePoint const at = hedgeAt(request, subrequest);
    if (at > now) {
      due = std::min(due, at);
      continue;
    }
    subrequest.straggling = true;
    ServiceState& service = services[subrequest.service];
    service.stragglers.push_back({request.id, index});
    markDirty(subrequest.service);
    if (service.budget.balance() < 1 && !subrequest.budgetExhaustionLogged) {
      subrequest.budgetExhaustionLogged = true;
      ++counters.retryBudgetExhausted;
      effects.emplace_back(LogEntry{logging::Event::retryBudgetExhausted, service.name, ""});
    }
  }
  requestTimers.set(request, due);
}

void Dispatcher::Impl::finish(RequestState& request, RequestOutcome outcome, FinishReason reason) {
  FinishRequest out;
  out.request = request.id;
  bool mayHaveRun = false;
  for (std::uint32_t index = 0; index < request.subrequests.size(); ++index) {
    Subrequest& subrequest = request.subrequests[index];
    dequeue(request, index);
    mayHaveRun = mayHaveRun || subrequest.attemptLog.mayHaveRun();
    if (!subrequest.attemptLog.isComplete()) {
      out.missing.push_back(index);
    }
    cancelOpenAttempts(request, index);
  }
  counters.missingShards += out.missing.size();
  bool const answered = outcome == RequestOutcome::complete || outcome == RequestOutcome::partial;
  out.outcome = answered ? outcome : mayHaveRun ? RequestOutcome::failed : RequestOutcome::refused;
  out.verdict = answered ? retry::Verdict::ran : mayHaveRun ? retry::Verdict::mayHaveRun : retry::Verdict::notRun;
  if (!answered) {
    out.reason = reason;
    out.retryAfter = retryAfter(services[request.subrequests.front().service]);
  }
  effects.emplace_back(std::move(out));
  for (Subrequest const& subrequest : request.subrequests) {
    --subrequest.tenant->subrequestCount;
    --services[subrequest.service].subrequestCount;
    releaseIfUnused(subrequest.service);
  }
  requestTimers.remove(request);
  requests.erase(request.id);
}

void Dispatcher::Impl::processPending() {
  for (std::uint32_t index = 0; index < services.size(); ++index) {
    if (services[index].wakeAt <= now) {
      markDirty(index);
    }
  }
  std::size_t reviewed = 0;
  std::size_t dispatched = 0;
  while (true) {
    if (reviewed < requestsToReview.size()) {
      if (RequestState* const request = findRequest(requestsToReview[reviewed++])) {
        reviewRequest(*request);
      }
    } else if (RequestState* const due = requestTimers.firstDue(now)) {
      reviewRequest(*due);
    } else if (dispatched < dirtyServices.size()) {
      std::uint32_t const index = dirtyServices[dispatched++];
      if (services[index].dirty) {
        services[index].dirty = false;
        dispatch(index);
      }
    } else {
      break;
    }
  }
  requestsToReview.clear();
  dirtyServices.clear();
}

Dispatcher::Dispatcher(DispatchOptions const& options) : impl_(std::make_unique<Impl>(options)) {}
Dispatcher::~Dispatcher() = default;
Dispatcher::Dispatcher(Dispatcher&&) noexcept = default;
Dispatcher& Dispatcher::operator=(Dispatcher&&) noexcept = default;

std::vector<DispatchEffect> Dispatcher::step(TimePoint now, DispatchEvent const& event) {
  impl_->now = now;
  impl_->effects.clear();
  impl_->effects.reserve(8);
  if (impl_->recentPositions.empty()) {
    impl_->on(FleetPosition{});
  }
  std::visit([this](auto const& concrete) { impl_->on(concrete); }, event);
  impl_->processPending();
  return std::move(impl_->effects);
}

std::optional<TimePoint> Dispatcher::nextWake(TimePoint now) const {
  TimePoint soonest = impl_->requestTimers.first().value_or(TimePoint::max());
  for (ServiceState const& service : impl_->services) {
    soonest = std::min(soonest, service.wakeAt);
  }
  return soonest == TimePoint::max() ? std::nullopt : std::optional<TimePoint>(std::max(soonest, now));
}

std::vector<ServerStatus> Dispatcher::servers(TimePoint now) const {
  impl_->now = now;
  std::vector<ServerStatus> out;
  for (ServiceState const& service : impl_->services) {
    for (ServerState const& server : service.servers) {
      out.push_back({service.name, server.endpoint.address, server.endpoint.zone, server.openAttempts.size(),
                     server.latencyMs, server.ejectedUntil.has_value(), server.endpoint.draining,
                     impl_->slowStartFactor(server) < 1, server.load});
    }
  }
  std::sort(out.begin(), out.end(), [](ServerStatus const& left, ServerStatus const& right) {
    return left.service != right.service ? left.service < right.service : left.address < right.address;
  });
  return out;
}

Counters Dispatcher::counters() const { return impl_->counters; }
std::size_t Dispatcher::requests() const { return impl_->requests.size(); }

}  // namespace limeramp::dispatch
