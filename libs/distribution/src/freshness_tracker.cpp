#include "freshness_tracker.h"

#include <algorithm>

namespace limeramp::distribution {

void FreshnessTracker::confirmedByPrimary(TimePoint at) {
  primaryConfirmedAt_ = primaryConfirmedAt_ ? std::max(*primaryConfirmedAt_, at) : at;
}

void FreshnessTracker::confirmedByPeer(std::string const& node, TimePoint askedAt) {
  if (peerConfirmedAt_.size() >= maxPeers && !peerConfirmedAt_.contains(node)) {
    return;
  }
  TimePoint& confirmedAt = peerConfirmedAt_[node];
  confirmedAt = std::max(confirmedAt, askedAt);
}

bool FreshnessTracker::peerConfirmedWithin(TimePoint now, std::string const& node,
                                           std::chrono::milliseconds maxAge) const {
  std::map<std::string, TimePoint>::const_iterator const found = peerConfirmedAt_.find(node);
  return found != peerConfirmedAt_.end() && now - found->second < maxAge;
}

std::optional<FreshnessTracker::TimePoint> FreshnessTracker::majorityConfirmedAt(
    std::vector<messages::RosterEntry> const& roster, std::string const& self) const {
  std::vector<TimePoint> times;
  for (messages::RosterEntry const& entry : roster) {
    std::map<std::string, TimePoint>::const_iterator const found = peerConfirmedAt_.find(entry.node);
    if (entry.node != self && found != peerConfirmedAt_.end()) {
      times.push_back(found->second);
    }
  }
  std::size_t const needed = roster.size() / 2;
  if (times.size() < needed) {
    return std::nullopt;
  }
  if (needed == 0) {
    return TimePoint::max();
  }
  std::sort(times.rbegin(), times.rend());
  return times[needed - 1];
}

}  // namespace limeramp::distribution
