#pragma once

#include "limeramp/messages/state.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace limeramp::distribution {

/// Until when this node's state is known to have been the newest one, by the primary's word or by that of other nodes.
///
/// Every time kept here is the moment at which this node sent a question, read on its own steady clock, or an earlier
/// one: an answer that was long on its way proves nothing about the time after the question.
class FreshnessTracker {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;
  static constexpr std::size_t maxPeers = 2000;

  /// The primary had no newer state at `at`.
  void confirmedByPrimary(TimePoint at);
  /// `node`, which itself had caught up, knew no newer state when it was asked at `askedAt`.
  void confirmedByPeer(std::string const& node, TimePoint askedAt);

  std::optional<TimePoint> primaryConfirmedAt() const { return primaryConfirmedAt_; }
  bool peerConfirmedWithin(TimePoint now, std::string const& node, std::chrono::milliseconds time) const;

  /// Since when `self` and the nodes that confirmed are together a majority of the roster: no other majority has
  /// accepted a newer state before that time (docs/control.md, "When nodes hear nothing"). Nothing if they are none;
  /// TimePoint::max() if `self` alone is one.
  std::optional<TimePoint> majorityConfirmedAt(std::vector<messages::RosterEntry> const& roster,
                                               std::string const& self) const;

 private:
  std::optional<TimePoint> primaryConfirmedAt_;
  /// By node. At most `maxPeers`; further nodes are not counted.
  std::map<std::string, TimePoint> peerConfirmedAt_;
};

}  // namespace limeramp::distribution
