#include "roster_planner.h"

#include <algorithm>
#include <set>

namespace limeramp::control {
namespace {

bool hasDeparted(TimePoint now, ConfigServiceOptions const& options, NodeTracker const& tracker,
                 std::string const& node) {
  TrackedNode const* const found = tracker.find(node);
  bool const isDraining = found != nullptr && found->draining;
  return isDraining || now - tracker.lastReceivedAt(node) > options.rosterForgetMs ||
         tracker.persistentlyGone(now, node);
}

void removeDepartedNodes(TimePoint now, ConfigServiceOptions const& options, NodeTracker const& tracker,
                         RosterPlan& plan) {
  std::erase_if(plan.roster, [&](messages::RosterEntry const& entry) {
    bool const departed = hasDeparted(now, options, tracker, entry.node);
    plan.changes += departed ? " -" + entry.node : "";
    return departed;
  });
}

std::uint64_t lowestFreeSlot(std::set<std::uint64_t> const& taken) {
  std::uint64_t slot = 0;
  while (taken.contains(slot)) {
    ++slot;
  }
  return slot;
}

/// Adds a node to the roster if the roster is not full, or updates its address and zone.
void addOrUpdate(messages::Follower const& follower, std::size_t maxNodes, std::set<std::uint64_t>& takenSlots,
                 RosterPlan& plan) {
  std::vector<messages::RosterEntry>::iterator const found =
      std::find_if(plan.roster.begin(), plan.roster.end(),
                   [&](messages::RosterEntry const& listed) { return listed.node == follower.node; });
  if (found == plan.roster.end() && plan.roster.size() >= maxNodes) {
    return;
  }
  if (found == plan.roster.end()) {
    std::uint64_t const slot = lowestFreeSlot(takenSlots);
    takenSlots.insert(slot);
    plan.roster.push_back({follower.node, follower.address, follower.zone, slot});
    plan.changes += " +" + follower.node;
  } else if (found->address != follower.address || found->zone != follower.zone) {
    found->address = follower.address;
    found->zone = follower.zone;
    plan.changes += " ~" + follower.node;
  }
}

}  // namespace

RosterPlan planRoster(TimePoint now, ConfigServiceOptions const& options,
                      std::vector<messages::RosterEntry> const& current, NodeTracker const& tracker) {
  RosterPlan plan{current, ""};
  removeDepartedNodes(now, options, tracker, plan);
  std::set<std::uint64_t> takenSlots;
  for (messages::RosterEntry const& entry : plan.roster) {
    takenSlots.insert(entry.slot);
  }
  for (std::pair<std::string const, TrackedNode> const& entry : tracker.nodes()) {
    bool const present = tracker.isAlive(now, entry.first) && !entry.second.draining;
    if (present && !tracker.persistentlyGone(now, entry.first)) {
      addOrUpdate(entry.second.follower, options.maxNodes, takenSlots, plan);
    }
  }
  return plan;
}

}  // namespace limeramp::control
