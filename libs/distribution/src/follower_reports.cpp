#include "follower_reports.h"

#include <utility>

namespace limeramp::distribution {

using messages::StateVersion;

bool FollowerReports::record(TimePoint now, messages::Follower const& follower, messages::PeerStatus const& status,
                             StateVersion const& newest) {
  Report& report = reports_[follower.node];
  StateVersion const previousVersion{report.follower.epoch, report.follower.sequence};
  StateVersion const version{follower.epoch, follower.sequence};
  report = {follower, status, now};
  if (reports_.size() > maxFollowers) {
    reports_.erase(reports_.begin());
  }
  return previousVersion != version && version == newest;
}

void FollowerReports::expire(TimePoint now, std::chrono::milliseconds maxAge) {
  std::erase_if(reports_, [&](std::pair<std::string const, Report> const& entry) {
    return now - entry.second.receivedAt > maxAge;
  });
}

void FollowerReports::addTo(messages::StateRequest& request) const {
  for (std::pair<std::string const, Report> const& entry : reports_) {
    messages::PeerStatus const& status = entry.second.status;
    request.followers.push_back(entry.second.follower);
    request.peerStatuses.push_back({status.node, status.boot, status.draining, {}});
  }
}

}  // namespace limeramp::distribution
