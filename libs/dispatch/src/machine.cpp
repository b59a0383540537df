#include "impl.h"

#include <algorithm>

namespace limeramp::dispatch {

std::uint32_t Machine::Impl::serviceOf(std::string const& name) {
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
  services[index].budget.set(place.budgetDepth, place.budgetRatio);
  serviceIndex.emplace(name, index);
  return index;
}

void Machine::Impl::recycle(std::uint32_t index) {
  ServiceState& service = services[index];
  if (service.legs == 0 && service.servers.empty() && !service.name.empty()) {
    serviceIndex.erase(service.name);
    service = ServiceState{};
    freeServices.push_back(index);
  }
}

void Machine::Impl::touch(std::uint32_t index) {
  if (!services[index].dirty) {
    services[index].dirty = true;
    dirty.push_back(index);
  }
}

RequestState* Machine::Impl::find(std::uint64_t request) {
  std::unordered_map<std::uint64_t, RequestState>::iterator const found = requests.find(request);
  return found == requests.end() ? nullptr : &found->second;
}

void Machine::Impl::on(Servers const& event) {
  std::uint32_t const index = serviceOf(event.service);
  ServiceState& service = services[index];
  std::vector<ServerState> next;
  next.reserve(event.rows.size());
  for (ServerRow const& row : event.rows) {
    std::vector<ServerState>::iterator const old =
        std::find_if(service.servers.begin(), service.servers.end(), [&](ServerState const& server) {
          return server.id != 0 && server.row.address == row.address && server.row.life == row.life;
        });
    ServerState state;
    if (old == service.servers.end()) {
      state.id = ++lastServer;
      state.startedAt = now - row.ageMs;
      state.tokens = static_cast<double>(place.rank) / static_cast<double>(std::max<std::size_t>(1, place.fronts));
      state.tokensAt = now;
      state.latencyAt = now;
      state.limit = static_cast<double>(policy.concurrentPerServer);
    } else {
      state = std::move(*old);
      old->id = 0;
      state.startedAt = std::min(state.startedAt, now - row.ageMs);
    }
    state.row = row;
    if (row.coldMs.count() > 0) {
      state.coldUntil = std::max(state.coldUntil, now + row.coldMs);
    }
    next.push_back(std::move(state));
  }
  service.servers = std::move(next);
  for (TenantState const* const tenant : service.rota) {
    for (Waiting const& waiting : tenant->waiting) {
      review.push_back(waiting.key.request);
    }
  }
  touch(index);
  recycle(index);
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
  for (std::uint32_t index = 0; index < services.size(); ++index) {
    services[index].budget.set(place.budgetDepth, place.budgetRatio);
    if (services[index].waitingCount > 0) {
      touch(index);
    }
  }
}

void Machine::Impl::refuse(Arrive const& event, std::string const& reason) {
  ++counters.refused;
  Finish refusal;
  refusal.request = event.request;
  refusal.ending = Ending::refused;
  refusal.verdict = retry::Verdict::notRun;
  refusal.reason = reason;
  refusal.retryAfter = policy.retryMinMs;
  std::string const service = event.services.empty() ? "" : event.services.front();
  std::unordered_map<std::string, std::uint32_t>::const_iterator const known = serviceIndex.find(service);
  if (known != serviceIndex.end()) {
    refusal.retryAfter = retryAfter(services[known->second]);
  }
  effects.emplace_back(std::move(refusal));
  effects.emplace_back(Note{logging::Event::overloadRefused, service, event.tenant});
}

void Machine::Impl::on(Arrive const& event) {
  if (requests.contains(event.request)) {
    return;
  }
  ++counters.arrivals;
  if (event.services.empty() || requests.size() >= policy.maxRequests) {
    refuse(event, "overloaded");
    return;
  }
  RequestState state;
  state.id = event.request;
  state.minimum = event.minimum;
  state.max_attempts = event.max_attempts;
  state.repeatable = event.repeatable;
  state.priority = std::min(event.priority, priorities - 1);
  state.kind = event.kind;
  state.arrivedAt = now;
  state.deadline = event.deadline;
  double const wholeMs = millis(event.deadline - now);
  double const marginMs = std::min(wholeMs / 2, std::clamp(wholeMs * policy.marginShareOfDeadline,
                                                           millis(policy.marginMinMs), millis(policy.marginMaxMs)));
  state.answerBy = event.deadline - fine(marginMs);
  state.offerBy = TimePoint::max();
  if (event.aim > now && event.aim < event.deadline) {
    double const aimMs = millis(event.aim - now);
    state.aimBy = event.aim - fine(std::min(millis(policy.aimMarginMs), aimMs / 2));
    state.offerBy = now + fine(aimMs * policy.offerShareOfAim);
  }
  std::size_t crowded = 0;
  state.legs.resize(event.services.size());
  for (std::size_t index = 0; index < state.legs.size(); ++index) {
    Leg& leg = state.legs[index];
    leg.service = serviceOf(event.services[index]);
    leg.givenUp = isCrowded(services[leg.service], event, state);
    crowded += leg.givenUp ? 1 : 0;
  }
  if (state.legs.size() - crowded < event.minimum) {
    refuse(event, "overloaded");
    for (Leg const& leg : state.legs) {
      recycle(leg.service);
    }
    return;
  }
  RequestState& request = requests.emplace(event.request, std::move(state)).first->second;
  for (std::uint32_t index = 0; index < request.legs.size(); ++index) {
    Leg& leg = request.legs[index];
    ServiceState& service = services[leg.service];
    ++service.legs;
    leg.tenant = &tenantOf(service, event.tenant);
    ++leg.tenant->legs;
    if (!leg.givenUp) {
      enqueue(request, index);
    }
  }
  review.push_back(event.request);
}

Ms Machine::Impl::retryAfter(ServiceState const& service) const {
  double const roomMs = service.latencies.typicalMs() + waitMs(service, service.waitingCount);
  return std::clamp(Ms(static_cast<long>(std::min(roomMs, 1e6))), policy.retryMinMs, policy.retryMaxMs);
}

void Machine::Impl::closeAttempt(RequestState& request, std::uint32_t index, retry::Attempt const& attempt, bool lost) {
  Leg& leg = request.legs[index];
  ServiceState& service = services[leg.service];
  if (ServerState* const server = findServer(service, attempt.server)) {
    std::vector<TimePoint>::iterator const held = std::find(server->open.begin(), server->open.end(), attempt.began);
    if (held != server->open.end()) {
      server->open.erase(held);
    }
    leg.tenant->ghosts.push_back(now + std::min<TimePoint::duration>(policy.ghostMaxMs, now - attempt.began));
    if (!lost) {
      narrow(service, *leg.tenant, millis(now - attempt.began));
    }
    noteUnanswered(service, *server, attempt.began, lost);
  }
  counters.lostRaces += lost ? 1 : 0;
  leg.tenant->inFlight -= leg.tenant->inFlight > 0 ? 1 : 0;
  attempts.erase(attempt.id);
  leg.ledger.cancel(attempt.id);
  effects.emplace_back(Cancel{attempt.id});
}

void Machine::Impl::closeOthers(RequestState& request, std::uint32_t index) {
  Leg& leg = request.legs[index];
  leg.overdue = false;
  if (!leg.ledger.hasOpen()) {
    return;
  }
  bool const lost = leg.ledger.isComplete();
  for (std::size_t at = 0; at < leg.ledger.attempts().size(); ++at) {
    retry::Attempt const attempt = leg.ledger.attempts()[at];
    if (attempt.phase == retry::Phase::assigned) {
      closeAttempt(request, index, attempt, lost);
    }
  }
  touch(leg.service);
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
  ServiceState& service = services[leg.service];
  std::vector<retry::Attempt> const& entries = leg.ledger.attempts();
  retry::Attempt const attempt = *std::find_if(entries.begin(), entries.end(),
                                               [&](retry::Attempt const& entry) { return entry.id == event.attempt; });
  leg.tenant->inFlight -= leg.tenant->inFlight > 0 ? 1 : 0;
  double const latencyMs = millis(now - attempt.began);
  if (event.healthy) {
    widen(service, *leg.tenant, request, latencyMs);
  }
  if (ServerState* const server = findServer(service, attempt.server)) {
    std::vector<TimePoint>::iterator const held = std::find(server->open.begin(), server->open.end(), attempt.began);
    if (held != server->open.end()) {
      server->open.erase(held);
    }
    noteAnswer(service, *server, event, latencyMs, request.kind);
  }
  if (event.good) {
    leg.ledger.complete(event.attempt);
    effects.emplace_back(Keep{event.attempt, key.request, key.leg});
    closeOthers(request, key.leg);
  } else {
    leg.ledger.fail(event.attempt, event.verdict,
                    event.verdict != retry::Verdict::notRun || event.full || event.otherLife);
    if (!leg.ledger.hasOpen()) {
      leg.overdue = false;
      if (leg.ledger.mayAttemptAgain(request.max_attempts, request.repeatable) && hasCandidate(service, leg.ledger) &&
          (!leg.ledger.hasReached() || service.budget.left() >= 1)) {
        ++counters.retries;
        enqueue(request, key.leg);
      } else {
        leg.givenUp = true;
      }
    }
  }
  touch(leg.service);
  review.push_back(key.request);
}

void Machine::Impl::settle(RequestState& request) {
  std::size_t done = 0;
  std::size_t pending = 0;
  bool const offerDue = now >= request.offerBy;
  bool unoffered = false;
  for (std::uint32_t index = 0; index < request.legs.size(); ++index) {
    Leg& leg = request.legs[index];
    bool const never = leg.waiting && leg.ledger.attempts().empty();
    if (leg.waiting && (!hasCandidate(services[leg.service], leg.ledger) ||
                        (never && offerDue && !request.aimPassed && wouldMissAim(request, index)))) {
      dropWaiting(request, index);
      leg.givenUp = true;
    }
    unoffered = unoffered || (never && leg.waiting);
    if (leg.ledger.isComplete()) {
      ++done;
    } else if (!leg.givenUp) {
      ++pending;
    }
  }
  bool const enough = done >= request.minimum;
  if (pending == 0) {
    finish(request, enough ? (done == request.legs.size() ? Ending::complete : Ending::partial) : Ending::failed,
           "no server left to try");
    return;
  }
  if (done + pending < request.minimum) {
    finish(request, Ending::failed, "too few shards can still answer");
    return;
  }
  if (now >= request.answerBy) {
    finish(request, enough ? Ending::partial : Ending::failed, "deadline");
    return;
  }
  if (request.aimBy && !request.aimPassed && now >= *request.aimBy) {
    request.aimPassed = true;
    double const ready = static_cast<double>(done);
    double const most = static_cast<double>(done + pending);
    if (enough && ready * ready >= policy.lateShare * most * most) {
      finish(request, Ending::partial, "aim");
      return;
    }
  }
  if (offerDue) {
    request.offerBy = TimePoint::max();
  }
  TimePoint due = request.answerBy;
  if (request.aimBy && !request.aimPassed) {
    due = std::min(due, *request.aimBy);
  }
  if (unoffered) {
    due = std::min(due, request.offerBy);
  }
  for (std::uint32_t index = 0; policy.rerun && request.repeatable && index < request.legs.size(); ++index) {
    Leg& leg = request.legs[index];
    if (leg.overdue || !leg.ledger.hasOpen() || !leg.ledger.mayAttemptAgain(request.max_attempts, true)) {
      continue;
    }
    TimePoint const at = rerunAt(request, leg);
    if (at > now) {
      due = std::min(due, at);
      continue;
    }
    leg.overdue = true;
    ServiceState& service = services[leg.service];
    service.overdue.push_back({request.id, index});
    touch(leg.service);
    if (service.budget.left() < 1 && !leg.noted) {
      leg.noted = true;
      ++counters.budgetSpent;
      effects.emplace_back(Note{logging::Event::budgetSpent, service.name, ""});
    }
  }
  alarms.set(request, due);
}

void Machine::Impl::finish(RequestState& request, Ending ending, std::string const& reason) {
  Finish out;
  out.request = request.id;
  bool touched = false;
  for (std::uint32_t index = 0; index < request.legs.size(); ++index) {
    Leg& leg = request.legs[index];
    dropWaiting(request, index);
    touched = touched || leg.ledger.mayHaveRun();
    if (!leg.ledger.isComplete()) {
      out.missing.push_back(index);
    }
    closeOthers(request, index);
  }
  counters.missing += out.missing.size();
  bool const answered = ending == Ending::complete || ending == Ending::partial;
  out.ending = answered ? ending : touched ? Ending::failed : Ending::refused;
  out.verdict = answered ? retry::Verdict::ran : touched ? retry::Verdict::mayHaveRun : retry::Verdict::notRun;
  if (!answered) {
    out.reason = reason;
    out.retryAfter = retryAfter(services[request.legs.front().service]);
  }
  effects.emplace_back(std::move(out));
  for (Leg const& leg : request.legs) {
    --leg.tenant->legs;
    --services[leg.service].legs;
    recycle(leg.service);
  }
  alarms.drop(request);
  requests.erase(request.id);
}

void Machine::Impl::work() {
  for (std::uint32_t index = 0; index < services.size(); ++index) {
    if (services[index].wakeAt <= now) {
      touch(index);
    }
  }
  std::size_t reviewed = 0;
  std::size_t dispatched = 0;
  while (true) {
    if (reviewed < review.size()) {
      if (RequestState* const request = find(review[reviewed++])) {
        settle(*request);
      }
    } else if (RequestState* const due = alarms.firstDue(now)) {
      settle(*due);
    } else if (dispatched < dirty.size()) {
      std::uint32_t const index = dirty[dispatched++];
      if (services[index].dirty) {
        services[index].dirty = false;
        dispatch(index);
      }
    } else {
      break;
    }
  }
  review.clear();
  dirty.clear();
}

Machine::Machine(Policy const& policy) : impl_(std::make_unique<Impl>(policy)) {}
Machine::~Machine() = default;
Machine::Machine(Machine&&) noexcept = default;
Machine& Machine::operator=(Machine&&) noexcept = default;

std::vector<Effect> Machine::step(TimePoint now, Event const& event) {
  impl_->now = now;
  impl_->effects.clear();
  impl_->effects.reserve(8);
  if (impl_->places.empty()) {
    impl_->on(Place{});
  }
  std::visit([this](auto const& concrete) { impl_->on(concrete); }, event);
  impl_->work();
  return std::move(impl_->effects);
}

std::optional<TimePoint> Machine::nextWake(TimePoint now) const {
  TimePoint soonest = impl_->alarms.first().value_or(TimePoint::max());
  for (ServiceState const& service : impl_->services) {
    soonest = std::min(soonest, service.wakeAt);
  }
  return soonest == TimePoint::max() ? std::nullopt : std::optional<TimePoint>(std::max(soonest, now));
}

std::vector<ServerView> Machine::servers(TimePoint now) const {
  impl_->now = now;
  std::vector<ServerView> out;
  for (ServiceState const& service : impl_->services) {
    for (ServerState const& server : service.servers) {
      out.push_back({service.name, server.row.address, server.row.zone, server.open.size(), server.latencyMs,
                     server.downUntil.has_value(), server.row.leaving, impl_->freshness(server) < 1, server.load});
    }
  }
  std::sort(out.begin(), out.end(), [](ServerView const& left, ServerView const& right) {
    return left.service != right.service ? left.service < right.service : left.address < right.address;
  });
  return out;
}

Counters Machine::counters() const { return impl_->counters; }
std::size_t Machine::requests() const { return impl_->requests.size(); }

}  // namespace limeramp::dispatch
