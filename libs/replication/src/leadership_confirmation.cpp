#include "leadership_confirmation.h"

#include <algorithm>

namespace limeramp::replication {
namespace {

// Number of sent heartbeats that are remembered; the echo of an older one confirms nothing.
constexpr std::size_t maxHeartbeatsKept = 64;

}  // namespace

void LeadershipConfirmation::restart() {
  newestEchoSentAt_.clear();
  confirmedAt_.reset();
}

void LeadershipConfirmation::heartbeatSent(std::uint64_t token, TimePoint now) {
  sentHeartbeats_.push_back({token, now});
  while (sentHeartbeats_.size() > maxHeartbeatsKept) {
    sentHeartbeats_.pop_front();
  }
}

void LeadershipConfirmation::echoed(std::string const& backup, std::uint64_t token) {
  for (SentHeartbeat const& sent : sentHeartbeats_) {
    if (sent.token == token) {
      newestEchoSentAt_[backup] = std::max(newestEchoSentAt_[backup], sent.at);
    }
  }
}

void LeadershipConfirmation::confirm(std::vector<std::string> const& backups, TimePoint now) {
  TimePoint oldest = now;
  for (std::string const& backup : backups) {
    std::map<std::string, TimePoint>::const_iterator const echo = newestEchoSentAt_.find(backup);
    if (echo == newestEchoSentAt_.end()) {
      return;
    }
    oldest = std::min(oldest, echo->second);
  }
  confirmedAt_ = std::max(confirmedAt_.value_or(TimePoint{}), oldest);
}

void LeadershipConfirmation::digest(messages::StateDigest& digest) const {
  digest.add(confirmedAt_.value_or(TimePoint{}));
  for (std::pair<std::string const, TimePoint> const& entry : newestEchoSentAt_) {
    digest.add(entry.first);
    digest.add(entry.second);
  }
  for (SentHeartbeat const& sent : sentHeartbeats_) {
    digest.add(sent.token);
    digest.add(sent.at);
  }
}

}  // namespace limeramp::replication
