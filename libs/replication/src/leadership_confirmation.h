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

/// Computes the time up to which a primary was certainly the only member that could acknowledge changes.
///
/// Invariant: a backup echoes a heartbeat under the primary's epoch only while it knows of no later epoch and is not
/// fenced, and a later epoch can begin only through a replica that fenced itself first. So nothing was acknowledged
/// under a later epoch before the primary sent the OLDEST of the heartbeats that the backups echoed last, one per
/// backup. All times are read on the primary's own clock: no two clocks are compared, and a freeze of a process or of
/// the network only makes the confirmation older.
class LeadershipConfirmation {
 public:
  /// Forgets all echoes and the confirmation. Called when leadership of a new epoch begins.
  void restart();
  /// Withdraws the confirmation. Called when this member stops being the primary.
  void withdraw() { confirmedAt_.reset(); }
  /// Remembers when the heartbeat with this token was sent.
  void heartbeatSent(std::uint64_t token, TimePoint now);
  /// Records that a backup echoed the heartbeat with this token under the primary's epoch.
  void echoed(std::string const& backup, std::uint64_t token);
  /// Advances the confirmation once every backup has echoed a heartbeat. Without backups it advances to `now`.
  void confirm(std::vector<std::string> const& backups, TimePoint now);
  /// The confirmed time; nothing if no leadership is confirmed.
  std::optional<TimePoint> confirmedAt() const { return confirmedAt_; }

  void digest(messages::StateDigest& digest) const;

 private:
  struct SentHeartbeat {
    std::uint64_t token = 0;
    TimePoint at{};
  };
  std::deque<SentHeartbeat> sentHeartbeats_;
  /// For each backup, when the newest heartbeat that it echoed was sent.
  std::map<std::string, TimePoint> newestEchoSentAt_;
  std::optional<TimePoint> confirmedAt_;
};

}  // namespace limeramp::replication
