#pragma once

#include "limeramp/messages/state.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace limeramp::distribution {

/// Tracks up to which time this node's state is known to have been the newest, as confirmed by the primary or by peers.
///
/// Every time kept here is the moment at which this node sent a request, on its own steady clock, or an earlier one: a
/// delayed answer proves nothing about the time after the request.
class FreshnessTracker {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;
  static constexpr std::size_t maxPeers = 2000;

  /// Records that the primary had no newer state at `at`.
  void confirmedByPrimary(TimePoint at);
  /// Records that `node`, which had caught up, knew no newer state in answer to a request sent at `askedAt`.
  void confirmedByPeer(std::string const& node, TimePoint askedAt);

  std::optional<TimePoint> primaryConfirmedAt() const { return primaryConfirmedAt_; }
  bool peerConfirmedWithin(TimePoint now, std::string const& node, std::chrono::milliseconds maxAge) const;

  /// The latest time at which `self` and the peers that have confirmed since form a majority of the roster: no other
  /// majority accepted a newer state before it (docs/control.md, "When nodes hear nothing"). Returns nullopt if they
  /// form no majority, and TimePoint::max() if `self` alone is one.
  std::optional<TimePoint> majorityConfirmedAt(std::vector<messages::RosterEntry> const& roster,
                                               std::string const& self) const;

 private:
  std::optional<TimePoint> primaryConfirmedAt_;
  /// By node. At most `maxPeers`; further nodes are not counted.
  std::map<std::string, TimePoint> peerConfirmedAt_;
};

}  // namespace limeramp::distribution
