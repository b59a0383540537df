#include "node_removals.h"

#include "take_if.h"

#include <utility>

namespace limeramp::control {

std::vector<config::Problem> removalProblems(TimePoint now, std::vector<std::string> const& nodes,
                                             messages::State const& published, NodeTracker const& tracker) {
  std::vector<config::Problem> problems;
  for (std::string const& node : nodes) {
    if (!messages::isListed(published.roster, node) && !messages::isListed(published.priorRoster, node)) {
      problems.push_back({"/nodes/" + node, "is not on the roster"});
    } else if (tracker.isAlive(now, node)) {
      problems.push_back({"/nodes/" + node, "is alive"});
    }
  }
  return problems;
}

std::vector<NodeRemoval> NodeRemovals::takeCompleted(CompletedPredicate const& completed) {
  return takeIf(pending_, completed);
}

std::vector<NodeRemoval> NodeRemovals::takeExpired(TimePoint now) {
  return takeIf(pending_, [now](NodeRemoval const& entry) { return now >= entry.deadline; });
}

std::vector<NodeRemoval> NodeRemovals::takeAll() { return std::exchange(pending_, {}); }

void NodeRemovals::digest(messages::StateDigest& digest) const {
  digest.add(pending_.size());
  for (NodeRemoval const& entry : pending_) {
    digest.add(entry.ticket);
    digest.add(entry.nodes);
    digest.add(entry.deadline);
  }
}

}  // namespace limeramp::control
