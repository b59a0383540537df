#pragma once

#include "limeramp/messages/state_digest.h"
#include "limeramp/replication/replication_group.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace limeramp::replication {

/// Tells a primary up to which moment it certainly was the only one who could acknowledge changes.
///
/// A backup echoes a heartbeat under the primary's epoch only while it knows of no later one and is not fenced. A later
/// epoch can begin only through a replica that fenced itself first. So nothing was acknowledged under a later epoch
/// before the sending of the OLDEST heartbeat among the last ones that each backup echoed. Both moments are read on the
/// primary's own clock: no two clocks are compared, and a freeze on the way only makes the answer older.
class LeadershipConfirmation {
 public:
  /// Forgets all echoes and the confirmation: a new epoch's leadership begins.
  void restart();
  /// Withdraws the confirmation: this member leads no longer.
  void withdraw() { confirmedAt_.reset(); }
  void heartbeatSent(std::uint64_t token, TimePoint now);
  /// A backup echoed the heartbeat of that token, under the primary's epoch.
  void echoed(std::string const& backup, std::uint64_t token);
  /// Moves the confirmation on. With no backups the primary confirms itself.
  void confirm(std::vector<std::string> const& backups, TimePoint now);
  std::optional<TimePoint> confirmedAt() const { return confirmedAt_; }

  void digest(messages::StateDigest& digest) const;

 private:
  struct SentHeartbeat {
    std::uint64_t token = 0;
    TimePoint at{};
  };
  std::deque<SentHeartbeat> sent_;
  std::map<std::string, TimePoint> echoedAt_;
  std::optional<TimePoint> confirmedAt_;
};

}  // namespace limeramp::replication
