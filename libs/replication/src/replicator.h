#pragma once

#include "limeramp/messages/state_digest.h"
#include "limeramp/replication/replication_group.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace limeramp::replication {

/// Tracks the one state that a primary is replicating. Invariant: the state is committed once the primary's own disk
/// and every backup of the epoch have synced it. Answers to earlier states carry other tokens and are not counted.
class Replicator {
 public:
  /// Records that the primary began to write the state to its own disk, in the Persist with this token.
  void localWriteBegan(std::uint64_t persistToken);
  /// Records that the same state is sent to these backups, in Sync messages with this token.
  void transferBegan(std::uint64_t token, std::vector<std::string> const& backups);
  /// Records when the Sync messages were last sent.
  void sent(TimePoint now) { sentAt_ = now; }

  /// Marks the local write as done if the token is that of the current state.
  /// @return whether it is
  bool localWriteEnded(std::uint64_t persistToken);
  /// Removes a backup from the pending ones if its answer belongs to the current state.
  /// @return false for an answer to an earlier state or a repeated one
  bool backupSynced(std::string const& backup, std::uint64_t token);

  bool committed() const { return localWriteDone_ && pendingBackups_.empty(); }
  /// Backups that have not yet synced the current state.
  std::set<std::string> const& pendingBackups() const { return pendingBackups_; }
  std::uint64_t token() const { return token_; }
  std::uint64_t persistToken() const { return persistToken_; }
  TimePoint sentAt() const { return sentAt_; }

  void digest(messages::StateDigest& digest) const;

 private:
  std::uint64_t token_ = 0;
  std::uint64_t persistToken_ = 0;
  bool localWriteDone_ = false;
  std::set<std::string> pendingBackups_;
  TimePoint sentAt_{};
};

}  // namespace limeramp::replication
