#include "leadership_confirmation.h"

#include <algorithm>

namespace limeramp::replication {
namespace {

// A heartbeat that is echoed later than this many others were sent confirms nothing.
constexpr std::size_t maxHeartbeatsKept = 64;

}  // namespace

void LeadershipConfirmation::restart() {
  echoedAt_.clear();
  confirmedAt_.reset();
}

void LeadershipConfirmation::heartbeatSent(std::uint64_t token, TimePoint now) {
  sent_.push_back({token, now});
  while (sent_.size() > maxHeartbeatsKept) {
    sent_.pop_front();
  }
}

void LeadershipConfirmation::echoed(std::string const& backup, std::uint64_t token) {
  for (SentHeartbeat const& sent : sent_) {
    if (sent.token == token) {
      echoedAt_[backup] = std::max(echoedAt_[backup], sent.at);
    }
  }
}

void LeadershipConfirmation::confirm(std::vector<std::string> const& backups, TimePoint now) {
  TimePoint oldest = now;
  for (std::string const& backup : backups) {
    std::map<std::string, TimePoint>::const_iterator const echo = echoedAt_.find(backup);
    if (echo == echoedAt_.end()) {
      return;
    }
    oldest = std::min(oldest, echo->second);
  }
  confirmedAt_ = std::max(confirmedAt_.value_or(TimePoint{}), oldest);
}

void LeadershipConfirmation::digest(messages::StateDigest& digest) const {
  digest.add(confirmedAt_.value_or(TimePoint{}));
  for (std::pair<std::string const, TimePoint> const& entry : echoedAt_) {
    digest.add(entry.first);
    digest.add(entry.second);
  }
  for (SentHeartbeat const& sent : sent_) {
    digest.add(sent.token);
    digest.add(sent.at);
  }
}

}  // namespace limeramp::replication
