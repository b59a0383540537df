// The life cycle of orders and reads. An order is queued, evaluated, replicated, and acknowledged once it is in force.
// Reads and refusals are answered once the leadership is confirmed.
#include "config_service_impl.h"

#include "limeramp/messages/state_digest.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace limeramp::control {
namespace {

constexpr char const* deadlinePassedReason = "the deadline passed before the change was begun";

}  // namespace

void ConfigService::Impl::on(replication::ReplicationGroup const&, replication::Committed const& event) {
  publish(event.state);
  if (event.ticket == proposalTicket && proposedOrder) {
    config::Version const version{published.configurationEpoch, published.configurationSequence};
    if (!proposedOrderAnswered) {
      acknowledgements.add(
          {proposedOrder->ticket, stateVersion(), version, now, proposedOrder->deadline, std::nullopt});
    }
    effects.emplace_back(
        replication::LogEntry{logging::Event::configurationTaken, version.text() + " change " + proposedOrder->id});
  }
  if (event.ticket == proposalTicket) {
    proposedOrder.reset();
    proposalTicket = 0;
  }
  completeAcknowledged();
}

void ConfigService::Impl::on(replication::ReplicationGroup const&, replication::OutcomeUnknown const& event) {
  if (event.ticket != proposalTicket) {
    return;
  }
  if (proposedOrder && !proposedOrderAnswered) {
    emitOutcome(proposedOrder->ticket, OrderStatus::unknown, "the primary changed while the change was carried out");
  }
  if (proposedOrder) {
    effects.emplace_back(replication::LogEntry{logging::Event::configurationUnknown, proposedOrder->id});
  }
  proposedOrder.reset();
  proposalTicket = 0;
}

void ConfigService::Impl::on(replication::ReplicationGroup const& group, Change const& event) {
  if (std::optional<OrderObstacle> const obstacle = orderObstacle()) {
    emitOutcome(event.ticket, OrderStatus::notRun, textOf(*obstacle));
    return;
  }
  if (queue.size() >= options.maxChanges || waitingAnswers() >= options.maxWaitingAnswers) {
    emitOutcome(event.ticket, OrderStatus::notRun, "too many changes wait");
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
    emitOutcome(event.ticket, OrderStatus::notRun, callerLeftReason);
  }
}

void ConfigService::Impl::on(replication::ReplicationGroup const&, Read const& event) {
  if (std::optional<OrderObstacle> const obstacle = readObstacle()) {
    emitOutcome(event.ticket, OrderStatus::notRun, textOf(*obstacle));
  } else if (reads.size() >= options.maxChanges) {
    emitOutcome(event.ticket, OrderStatus::notRun, "too many reads wait");
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
    handleAnsweredEvaluation(finished.queued, event.evaluation);
  } else if (!finished.cancelled) {
    handleEvaluation(finished.queued, event.evaluation);
  }
  startNext(group);
}

void ConfigService::Impl::rejectQueued(std::string const& reason) {
  cancelEvaluation(reason);
  for (QueuedOrder const& queued : queue.takeAll()) {
    emitOutcome(queued.order.ticket, OrderStatus::notRun, reason);
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
    effects.emplace_back(*std::move(refusal.outcome));
  }
}

void ConfigService::Impl::answerExpired() {
  for (AnswerGate* const gate : {&reads, &refusals}) {
    for (PendingAnswer const& pending : gate->takeExpired(now)) {
      emitOutcome(pending.ticket, OrderStatus::notRun, "the backup has not confirmed that this node is the primary");
    }
  }
  if (proposedOrder && !proposedOrderAnswered && now >= proposedOrder->deadline) {
    proposedOrderAnswered = true;
    emitOutcome(proposedOrder->ticket, OrderStatus::unknown, "the backup has not confirmed the change yet");
  }
  for (QueuedOrder const& queued : queue.takeExpired(now)) {
    emitOutcome(queued.order.ticket, OrderStatus::notRun, deadlinePassedReason);
  }
  expireEvaluation();
}

void ConfigService::Impl::completeAcknowledged() {
  if (!active) {
    return;
  }
  updateRosterStability();
  completeRemovals();
  for (PendingAcknowledgement const& entry :
       acknowledgements.takeInForce([this](PendingAcknowledgement const& pending) { return inForce(pending); })) {
    acknowledge(entry);
  }
  for (PendingAcknowledgement const& entry : acknowledgements.takeExpired(now)) {
    emitOutcome(entry.ticket, OrderStatus::unknown, "the change is kept, but not known to be everywhere yet",
                entry.version);
  }
}

// An order is in force once the roster has confirmed its state and, while a change of the roster is not yet known to
// enough nodes, also the prior roster. For up to `unresponsiveGraceMs` every node in contact must have confirmed it
// too.
bool ConfigService::Impl::inForce(PendingAcknowledgement const& entry) const {
  bool const everywhere = countConfirmations(published.roster, entry.stateVersion).byAllInContact();
  bool const graceElapsed = now - entry.since >= options.unresponsiveGraceMs;
  bool const leadershipConfirmed = !entry.arrivedAt || confirmedSince(confirmedAt, *entry.arrivedAt);
  return leadershipConfirmed && confirmedByRosters(entry.stateVersion) && (everywhere || graceElapsed);
}

std::size_t ConfigService::Impl::nodesNotAwaited(StateVersion const& version) const {
  bool const priorRosterCounts = !rosterStable || rosterNotAwaited > 0;
  std::size_t const inPrior = priorRosterCounts ? countConfirmations(published.priorRoster, version).notAwaited() : 0;
  return std::max(inPrior, countConfirmations(published.roster, version).notAwaited());
}

void ConfigService::Impl::acknowledge(PendingAcknowledgement const& entry) {
  OrderOutcome outcome{entry.ticket, OrderStatus::taken, entry.version, {}, ""};
  outcome.nodesNotAwaited = nodesNotAwaited(entry.stateVersion);
  if (outcome.nodesNotAwaited > 0) {
    effects.emplace_back(replication::LogEntry{
        logging::Event::nodesNotAwaited, entry.version.text() + ", nodes " + std::to_string(outcome.nodesNotAwaited)});
  }
  effects.emplace_back(std::move(outcome));
}

std::optional<std::string> ConfigService::Impl::reasonToDecline(QueuedOrder const& queued) const {
  if (now >= queued.order.deadline) {
    return deadlinePassedReason;
  }
  return isLeadershipUnconfirmed() ? std::optional(textOf(OrderObstacle::backupUnresponsive)) : std::nullopt;
}

void ConfigService::Impl::cancelEvaluation(std::string const& reason) {
  if (!evaluation || evaluation->cancelled) {
    return;
  }
  evaluation->cancelled = true;
  if (!evaluation->answered) {
    emitOutcome(evaluation->queued.order.ticket, OrderStatus::notRun, reason);
  }
}

void ConfigService::Impl::expireEvaluation() {
  bool const callerWaits = evaluation && !evaluation->answered && !evaluation->cancelled;
  if (callerWaits && now >= evaluation->queued.order.deadline) {
    evaluation->answered = true;
    emitOutcome(evaluation->queued.order.ticket, OrderStatus::unknown, "the change is still being checked");
  }
}

void ConfigService::Impl::evaluate(replication::ReplicationGroup const& group, QueuedOrder queued) {
  if (queued.order.zone) {
    handleEvaluation(queued, evaluator.evaluateZone(*queued.order.zone, published));
    return;
  }
  effects.emplace_back(EvaluateOrder{++lastEvaluationToken, queued.order, published, group.decided().epoch});
  evaluation = PendingEvaluation{lastEvaluationToken, std::move(queued)};
}

void ConfigService::Impl::handleEvaluation(QueuedOrder const& queued, Evaluation evaluated) {
  std::visit([&](auto& concrete) { handleEvaluation(queued, std::move(concrete)); }, evaluated);
}

// The caller was answered already, so only a new state has a further effect; other results are dropped.
void ConfigService::Impl::handleAnsweredEvaluation(QueuedOrder const& queued, Evaluation evaluated) {
  if (NewState* const proposal = std::get_if<NewState>(&evaluated)) {
    handleEvaluation(queued, std::move(*proposal));
    proposedOrderAnswered = true;
  }
}

void ConfigService::Impl::handleEvaluation(QueuedOrder const& queued, NewState proposal) {
  proposedOrder = queued.order;
  proposedOrderAnswered = false;
  proposalTicket = ++lastProposalTicket;
  effects.emplace_back(replication::Proposal{proposalTicket, std::move(proposal.next)});
}

void ConfigService::Impl::handleEvaluation(QueuedOrder const& queued, AlreadyTaken const& taken) {
  acknowledgements.add(
      {queued.order.ticket, stateVersion(), taken.version, publishedAt, queued.order.deadline, queued.arrivedAt});
  completeAcknowledged();
}

void ConfigService::Impl::handleEvaluation(QueuedOrder const& queued, Rejection rejection) {
  std::uint64_t const ticket = queued.order.ticket;
  config::Version const current{published.configurationEpoch, published.configurationSequence};
  OrderOutcome outcome{ticket, rejection.verdict, current, std::move(rejection.problems), std::move(rejection.reason)};
  if (outcome.verdict == OrderStatus::unknown) {
    effects.emplace_back(std::move(outcome));
    return;
  }
  deferRefusal(ticket, queued.arrivedAt, queued.order.deadline, std::move(outcome));
}

void ConfigService::Impl::startNext(replication::ReplicationGroup const& group) {
  while (active && proposalTicket == 0 && !evaluation) {
    if (proposeRoster(group)) {
      return;
    }
    std::optional<QueuedOrder> queued = queue.takeFirst([this](QueuedOrder const& each) { return isDue(each); });
    if (!queued) {
      return;
    }
    if (std::optional<std::string> const reason = reasonToDecline(*queued)) {
      emitOutcome(queued->order.ticket, OrderStatus::notRun, *reason);
    } else {
      evaluate(group, *std::move(queued));
    }
  }
}

}  // namespace limeramp::control
