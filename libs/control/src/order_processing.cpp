// Orders and reads, from their arrival to their answer: queued, evaluated, replicated, in force, confirmed.
#include "config_service_impl.h"

#include "limeramp/messages/state_digest.h"

#include <utility>
#include <variant>

namespace limeramp::control {
namespace {

constexpr char const* deadlinePassedReason = "the deadline passed before the change was begun";

}  // namespace

void ConfigService::Impl::on(replication::ReplicationGroup const&, replication::Committed const& event) {
  publish(event.state);
  if (event.ticket == inProgressTicket && inProgress) {
    config::Version const version{published.configurationEpoch, published.configurationSequence};
    if (!inProgressAnswered) {
      acknowledgements.add({inProgress->ticket, stateVersion(), version, now, inProgress->deadline, std::nullopt});
    }
    effects.emplace_back(
        replication::LogEntry{logging::Event::configurationTaken, version.text() + " change " + inProgress->id});
  }
  if (event.ticket == inProgressTicket) {
    inProgress.reset();
    inProgressTicket = 0;
  }
  completeAcknowledged();
}

void ConfigService::Impl::on(replication::ReplicationGroup const&, replication::OutcomeUnknown const& event) {
  if (event.ticket != inProgressTicket) {
    return;
  }
  if (inProgress && !inProgressAnswered) {
    decide(inProgress->ticket, OrderStatus::unknown, "the primary changed while the change was carried out");
  }
  if (inProgress) {
    effects.emplace_back(replication::LogEntry{logging::Event::configurationUnknown, inProgress->id});
  }
  inProgress.reset();
  inProgressTicket = 0;
}

void ConfigService::Impl::on(replication::ReplicationGroup const& group, Change const& event) {
  if (std::optional<OrderObstacle> const obstacle = orderObstacle()) {
    decide(event.ticket, OrderStatus::notRun, textOf(*obstacle));
    return;
  }
  if (queue.size() >= options.maxChanges || waitingAnswers() >= options.maxWaitingAnswers) {
    decide(event.ticket, OrderStatus::notRun, "too many changes wait");
    return;
  }
  queue.push({event, now});
  startNext(group);
}

void ConfigService::Impl::on(replication::ReplicationGroup const&, CallerLeft const& event) {
  std::optional<QueuedOrder> const queued =
      queue.takeFirst([&](QueuedOrder const& each) { return each.order.ticket == event.ticket; });
  if (queued) {
    effects.emplace_back(replication::LogEntry{logging::Event::orderAbandoned, queued->order.id});
    decide(event.ticket, OrderStatus::notRun, callerLeftReason);
  }
}

void ConfigService::Impl::on(replication::ReplicationGroup const&, Read const& event) {
  if (std::optional<OrderObstacle> const obstacle = readObstacle()) {
    decide(event.ticket, OrderStatus::notRun, textOf(*obstacle));
  } else if (reads.size() >= options.maxChanges) {
    decide(event.ticket, OrderStatus::notRun, "too many reads wait");
  } else {
    reads.add({event.ticket, now, event.deadline, std::nullopt});
  }
}

void ConfigService::Impl::on(replication::ReplicationGroup const& group, OrderEvaluated const& event) {
  if (!evaluation || evaluation->token != event.token) {
    return;
  }
  PendingEvaluation const finished = *std::move(evaluation);
  evaluation.reset();
  if (finished.answered && !finished.cancelled) {
    beginAnswered(finished.queued, event.evaluation);
  } else if (!finished.cancelled) {
    begin(finished.queued, event.evaluation);
  }
  startNext(group);
}

void ConfigService::Impl::rejectQueued(std::string const& reason) {
  cancelEvaluation(reason);
  for (QueuedOrder const& queued : queue.takeAll()) {
    decide(queued.order.ticket, OrderStatus::notRun, reason);
  }
}

void ConfigService::Impl::deferRefusal(std::uint64_t ticket, TimePoint arrivedAt, TimePoint deadline,
                                       OrderOutcome refusal) {
  refusals.add({ticket, arrivedAt, deadline, std::move(refusal)});
  releaseConfirmed();
}

void ConfigService::Impl::releaseConfirmed() {
  for (PendingAnswer const& read : reads.takeConfirmed(confirmedAt)) {
    effects.emplace_back(ConfigurationRead{read.ticket,
                                           {published.configurationEpoch, published.configurationSequence},
                                           published.revision,
                                           published.document});
  }
  for (PendingAnswer& refusal : refusals.takeConfirmed(confirmedAt)) {
    effects.emplace_back(*std::move(refusal.decision));
  }
}

void ConfigService::Impl::expire() {
  for (AnswerGate* const gate : {&reads, &refusals}) {
    for (PendingAnswer const& pending : gate->takeExpired(now)) {
      decide(pending.ticket, OrderStatus::notRun, "the backup has not confirmed that this node is the primary");
    }
  }
  if (inProgress && !inProgressAnswered && now >= inProgress->deadline) {
    inProgressAnswered = true;
    decide(inProgress->ticket, OrderStatus::unknown, "the backup has not confirmed the change yet");
  }
  for (QueuedOrder const& queued : queue.takeExpired(now)) {
    decide(queued.order.ticket, OrderStatus::notRun, deadlinePassedReason);
  }
  expireEvaluation();
}

void ConfigService::Impl::completeAcknowledged() {
  if (!active) {
    return;
  }
  StateVersion const rosterVersion{published.rosterEpoch, published.rosterSequence};
  if (!rosterStable && majorityConfirmed(published.roster, rosterVersion) &&
      majorityConfirmed(published.priorRoster, rosterVersion)) {
    rosterStable = true;
  }
  completeRemovals();
  for (PendingAcknowledgement const& entry :
       acknowledgements.takeInForce([this](PendingAcknowledgement const& pending) { return inForce(pending); })) {
    decide(entry.ticket, OrderStatus::taken, "", entry.version);
  }
  for (PendingAcknowledgement const& entry : acknowledgements.takeExpired(now)) {
    decide(entry.ticket, OrderStatus::unknown, "the change is kept, but not known to be everywhere yet", entry.version);
  }
}

// A majority of the roster has the order in force, of the roster before too while a change of it is on its way, and
// every node that is not proved gone; for a node that says nothing no longer than the grace time is waited.
bool ConfigService::Impl::inForce(PendingAcknowledgement const& entry) const {
  bool const majorities = majorityConfirmed(published.roster, entry.stateVersion) &&
                          (rosterStable || majorityConfirmed(published.priorRoster, entry.stateVersion));
  bool const lapsed = now - entry.since >= options.unresponsiveGraceMs;
  bool const leads = !entry.arrivedAt || confirmedSince(confirmedAt, *entry.arrivedAt);
  return leads && majorities && (allConfirmed(entry.stateVersion) || lapsed);
}

std::optional<std::string> ConfigService::Impl::reasonToDecline(QueuedOrder const& queued) const {
  if (now >= queued.order.deadline) {
    return deadlinePassedReason;
  }
  return isUnconfirmed() ? std::optional(textOf(OrderObstacle::backupUnresponsive)) : std::nullopt;
}

void ConfigService::Impl::cancelEvaluation(std::string const& reason) {
  if (!evaluation || evaluation->cancelled) {
    return;
  }
  evaluation->cancelled = true;
  if (!evaluation->answered) {
    decide(evaluation->queued.order.ticket, OrderStatus::notRun, reason);
  }
}

void ConfigService::Impl::expireEvaluation() {
  bool const waits = evaluation && !evaluation->answered && !evaluation->cancelled;
  if (waits && now >= evaluation->queued.order.deadline) {
    evaluation->answered = true;
    decide(evaluation->queued.order.ticket, OrderStatus::unknown, "the change is still being checked");
  }
}

void ConfigService::Impl::evaluate(replication::ReplicationGroup const& group, QueuedOrder queued) {
  if (queued.order.zone) {
    begin(queued, evaluator.evaluateZone(*queued.order.zone, published));
    return;
  }
  effects.emplace_back(EvaluateOrder{++lastEvaluation, queued.order, published, group.decided().epoch});
  evaluation = PendingEvaluation{lastEvaluation, std::move(queued)};
}

void ConfigService::Impl::begin(QueuedOrder const& queued, Evaluation evaluated) {
  std::visit([&](auto& concrete) { begin(queued, std::move(concrete)); }, evaluated);
}

// Nobody waits for an answer: what needs no new state has no further effect.
void ConfigService::Impl::beginAnswered(QueuedOrder const& queued, Evaluation evaluated) {
  if (NewState* const proposal = std::get_if<NewState>(&evaluated)) {
    begin(queued, std::move(*proposal));
    inProgressAnswered = true;
  }
}

void ConfigService::Impl::begin(QueuedOrder const& queued, NewState proposal) {
  inProgress = queued.order;
  inProgressAnswered = false;
  inProgressTicket = ++lastOwnTicket;
  effects.emplace_back(replication::Proposal{inProgressTicket, std::move(proposal.next)});
}

void ConfigService::Impl::begin(QueuedOrder const& queued, AlreadyTaken const& taken) {
  acknowledgements.add(
      {queued.order.ticket, stateVersion(), taken.version, publishedAt, queued.order.deadline, queued.arrivedAt});
  completeAcknowledged();
}

void ConfigService::Impl::begin(QueuedOrder const& queued, Rejection rejection) {
  std::uint64_t const ticket = queued.order.ticket;
  config::Version const current{published.configurationEpoch, published.configurationSequence};
  OrderOutcome decision{ticket, rejection.verdict, current, std::move(rejection.problems), std::move(rejection.reason)};
  if (decision.verdict == OrderStatus::unknown) {
    effects.emplace_back(std::move(decision));
    return;
  }
  deferRefusal(ticket, queued.arrivedAt, queued.order.deadline, std::move(decision));
}

void ConfigService::Impl::startNext(replication::ReplicationGroup const& group) {
  while (active && inProgressTicket == 0 && !evaluation) {
    if (proposeRoster(group)) {
      return;
    }
    std::optional<QueuedOrder> queued = queue.takeFirst([this](QueuedOrder const& each) { return isDue(each); });
    if (!queued) {
      return;
    }
    if (std::optional<std::string> const reason = reasonToDecline(*queued)) {
      decide(queued->order.ticket, OrderStatus::notRun, *reason);
    } else {
      evaluate(group, *std::move(queued));
    }
  }
}

}  // namespace limeramp::control
