#pragma once

#include "limeramp/control/config_service.h"
#include "limeramp/messages/state_digest.h"
#include "node_tracker.h"

#include <cstddef>
#include <functional>
#include <set>
#include <string>
#include <vector>

/// Operators' orders to remove nodes that are permanently gone from the roster at once.
namespace limeramp::control {

/// An accepted order that is answered once the roster without these nodes is known to a majority.
struct NodeRemoval {
  std::uint64_t ticket = 0;
  std::set<std::string> nodes;
  TimePoint arrivedAt{};
  TimePoint deadline{};
};

/// The reasons why nodes cannot be removed: a node is on neither the current nor the prior roster, or it is alive.
/// Empty if all can be removed.
std::vector<config::Problem> removalProblems(TimePoint now, std::vector<std::string> const& nodes,
                                             messages::State const& published, NodeTracker const& tracker);

/// Holds the accepted removal orders that are not answered yet.
class NodeRemovals {
 public:
  using CompletedPredicate = std::function<bool(NodeRemoval const&)>;

  std::size_t size() const { return pending_.size(); }
  void add(NodeRemoval removal) { pending_.push_back(std::move(removal)); }

  /// Removes and returns the orders for which `completed` is true.
  std::vector<NodeRemoval> takeCompleted(CompletedPredicate const& completed);
  /// Removes and returns the orders whose deadline has passed.
  std::vector<NodeRemoval> takeExpired(TimePoint now);
  /// Removes and returns all orders, when the leadership ends.
  std::vector<NodeRemoval> takeAll();

  void digest(messages::StateDigest& digest) const;

 private:
  std::vector<NodeRemoval> pending_;
};

}  // namespace limeramp::control
