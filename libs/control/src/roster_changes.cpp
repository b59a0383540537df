// Changes of the roster. Nodes join by their reports; they leave by draining, by prolonged lack of reports, by proof
// that their process ended, or by an operator's order.
#include "config_service_impl.h"

#include "roster_planner.h"

#include <algorithm>
#include <utility>

namespace limeramp::control {

void ConfigService::Impl::probe() {
  if (!active) {
    return;
  }
  std::vector<messages::RosterEntry> rosterEntries = published.roster;
  if (!rosterStable) {
    rosterEntries.insert(rosterEntries.end(), published.priorRoster.begin(), published.priorRoster.end());
  }
  for (Probe& due : tracker.probesDue(now, rosterEntries)) {
    effects.emplace_back(std::move(due));
  }
}

void ConfigService::Impl::updateRosterStability() {
  if (rosterStable && rosterNotAwaited == 0) {
    return;
  }
  StateVersion const rosterVersion{published.rosterEpoch, published.rosterSequence};
  bool const becomesStable = !rosterStable && confirmedByRosters(rosterVersion);
  std::size_t const notAwaited = nodesNotAwaited(rosterVersion);
  if (becomesStable && notAwaited > 0) {
    effects.emplace_back(
        replication::LogEntry{logging::Event::rosterNotAwaited, "nodes " + std::to_string(notAwaited)});
  }
  rosterStable = rosterStable || becomesStable;
  rosterNotAwaited = rosterStable ? notAwaited : 0;
}

void ConfigService::Impl::on(replication::ReplicationGroup const& group, ProbeFinished const& event) {
  tracker.recordProbe(event);
  completeAcknowledged();
  startNext(group);
}

void ConfigService::Impl::on(replication::ReplicationGroup const& group, RemoveNodes const& event) {
  if (std::optional<OrderObstacle> const obstacle = orderObstacle()) {
    emitOutcome(event.ticket, OrderStatus::notRun, textOf(*obstacle));
    return;
  }
  if (removals.size() >= options.maxChanges || waitingAnswers() >= options.maxWaitingAnswers) {
    emitOutcome(event.ticket, OrderStatus::notRun, "too many changes wait");
    return;
  }
  std::vector<config::Problem> problems = removalProblems(now, event.nodes, published, tracker);
  if (!problems.empty()) {
    deferRefusal(event.ticket, now, event.deadline, {event.ticket, OrderStatus::refused, {}, std::move(problems), ""});
    return;
  }
  for (std::string const& node : event.nodes) {
    tracker.markRemoved(node);
  }
  removals.add({event.ticket, {event.nodes.begin(), event.nodes.end()}, now, event.deadline});
  nextRosterChangeAt = now;
  completeAcknowledged();
  startNext(group);
}

void ConfigService::Impl::completeRemovals() {
  config::Version const version{published.configurationEpoch, published.configurationSequence};
  NodeRemovals::CompletedPredicate const completed = [&](NodeRemoval const& entry) {
    bool const listed = std::any_of(entry.nodes.begin(), entry.nodes.end(), [&](std::string const& node) {
      return messages::isListed(published.roster, node);
    });
    return rosterStable && !listed && confirmedSince(confirmedAt, entry.arrivedAt);
  };
  for (NodeRemoval const& entry : removals.takeCompleted(completed)) {
    emitOutcome(entry.ticket, OrderStatus::taken, "", version);
  }
  for (NodeRemoval const& entry : removals.takeExpired(now)) {
    emitOutcome(entry.ticket, OrderStatus::unknown, "the roster without these nodes is not known to a majority yet");
  }
}

bool ConfigService::Impl::proposeRoster(replication::ReplicationGroup const& group) {
  if (now < nextRosterChangeAt || !rosterStable || shuttingDown) {
    return false;
  }
  nextRosterChangeAt =
      now + options.rosterBatchMs * static_cast<long>(1 + published.roster.size() / options.rosterBatchNodes);
  RosterPlan plan = planRoster(now, options, published.roster, tracker);
  if (plan.changes.empty()) {
    return false;
  }
  messages::State next = published;
  next.priorRoster = published.roster;
  next.roster = std::move(plan.roster);
  next.rosterEpoch = group.decided().epoch;
  next.rosterSequence = published.sequence + 1;
  rosterStable = false;
  proposalTicket = ++lastProposalTicket;
  effects.emplace_back(replication::LogEntry{logging::Event::rosterChanged, plan.changes});
  effects.emplace_back(replication::Proposal{proposalTicket, std::move(next)});
  return true;
}

}  // namespace limeramp::control
