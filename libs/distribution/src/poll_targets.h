#pragma once

#include "limeramp/messages/membership.h"
#include "limeramp/messages/state.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace limeramp::distribution {

/// Selects the node to poll for the state: the owner of the configuration in this node's zone or, if this node is the
/// owner, the primary. Peers that did not answer a poll are suspected for a while and not selected.
class PollTargets {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  void suspect(std::string const& address, TimePoint until) { suspectedUntil_[address] = until; }
  void answered(std::string const& address) { suspectedUntil_.erase(address); }
  void expire(TimePoint now);

  /// The address of the zone's owner; empty if this node is the owner, also because all nodes ranked before it are
  /// suspected.
  std::string zoneOwner(messages::Peer const& self, std::vector<messages::RosterEntry> const& roster,
                        std::vector<messages::Peer> const& peers) const;
  /// The address of the primary or, while it does not answer, of each known controller in turn. Empty if none is known.
  std::string controller(std::string const& primaryAddress, std::vector<messages::Peer> const& peers);

 private:
  bool isSuspected(std::string const& address) const { return suspectedUntil_.contains(address); }

  std::map<std::string, TimePoint> suspectedUntil_;
  std::size_t nextController_ = 0;
};

}  // namespace limeramp::distribution
