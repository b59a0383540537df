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

/// Whom a node polls for the state: the owner of the configuration in its zone if that is another node, otherwise the
/// primary. Peers that have left a poll unanswered are passed over for a while.
class PollTargets {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  void suspect(std::string const& address, TimePoint until) { suspectedUntil_[address] = until; }
  void answered(std::string const& address) { suspectedUntil_.erase(address); }
  void expire(TimePoint now);

  /// The address of the zone's owner; empty if this node is the owner, or if no owner before it answers.
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
