// The roster: who joins and leaves, by reports, by proof of an end, and by an operator's word.
#include "config_service_impl.h"

#include "roster_planner.h"

#include <algorithm>
#include <utility>

namespace limeramp::control {

void ConfigService::Impl::probe() {
  if (!active) {
    return;
  }
  std::vector<messages::RosterEntry> wanted = published.roster;
  if (!rosterStable) {
    wanted.insert(wanted.end(), published.priorRoster.begin(), published.priorRoster.end());
  }
  for (Probe& due : tracker.probesDue(now, wanted)) {
    effects.emplace_back(std::move(due));
  }
}

void ConfigService::Impl::on(replication::ReplicationGroup const& group, ProbeFinished const& event) {
  tracker.probed(event);
  completeAcknowledged();
  startNext(group);
}

void ConfigService::Impl::on(replication::ReplicationGroup const& group, RemoveNodes const& event) {
  if (std::optional<OrderObstacle> const obstacle = orderObstacle()) {
    decide(event.ticket, OrderStatus::notRun, textOf(*obstacle));
    return;
  }
  if (removals.size() >= options.maxChanges || waitingAnswers() >= options.maxWaitingAnswers) {
    decide(event.ticket, OrderStatus::notRun, "too many changes wait");
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
  nextRosterAt = now;
  completeAcknowledged();
  startNext(group);
}

void ConfigService::Impl::completeRemovals() {
  config::Version const version{published.configurationEpoch, published.configurationSequence};
  NodeRemovals::Completed const completed = [&](NodeRemoval const& entry) {
    bool const listed = std::any_of(entry.nodes.begin(), entry.nodes.end(), [&](std::string const& node) {
      return messages::isListed(published.roster, node);
    });
    return rosterStable && !listed && confirmedSince(confirmedAt, entry.arrivedAt);
  };
  for (NodeRemoval const& entry : removals.takeCompleted(completed)) {
    decide(entry.ticket, OrderStatus::taken, "", version);
  }
  for (NodeRemoval const& entry : removals.takeExpired(now)) {
    decide(entry.ticket, OrderStatus::unknown, "the roster without these nodes is not known to a majority yet");
  }
}

bool ConfigService::Impl::proposeRoster(replication::ReplicationGroup const& group) {
  if (now < nextRosterAt || !rosterStable || shuttingDown) {
    return false;
  }
  nextRosterAt =
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
  inProgressTicket = ++lastOwnTicket;
  effects.emplace_back(replication::LogEntry{logging::Event::rosterChanged, plan.changes});
  effects.emplace_back(replication::Proposal{inProgressTicket, std::move(next)});
  return true;
}

}  // namespace limeramp::control
