#pragma once

#include "limeramp/control/config_service.h"
#include "limeramp/messages/state_digest.h"
#include "node_tracker.h"

#include <cstddef>
#include <functional>
#include <set>
#include <string>
#include <vector>

/// Operators' orders that nodes which are gone for good leave the roster at once.
namespace limeramp::control {

struct NodeRemoval {
  std::uint64_t ticket = 0;
  std::set<std::string> nodes;
  TimePoint arrivedAt{};
  TimePoint deadline{};
};

/// Why these nodes cannot be removed: one is on neither roster, or it reports. Empty if they can.
std::vector<config::Problem> removalProblems(TimePoint now, std::vector<std::string> const& nodes,
                                             messages::State const& published, NodeTracker const& tracker);

/// Holds the orders that were taken and are answered once the roster without the nodes is known to a majority.
class NodeRemovals {
 public:
  using Completed = std::function<bool(NodeRemoval const&)>;

  std::size_t size() const { return pending_.size(); }
  void add(NodeRemoval removal) { pending_.push_back(std::move(removal)); }

  std::vector<NodeRemoval> takeCompleted(Completed const& completed);
  std::vector<NodeRemoval> takeExpired(TimePoint now);
  /// Takes out all: the leadership ended.
  std::vector<NodeRemoval> takeAll();

  void digest(messages::StateDigest& digest) const;

 private:
  std::vector<NodeRemoval> pending_;
};

}  // namespace limeramp::control
