#pragma once

#include "limeramp/messages/state_digest.h"
#include "limeramp/replication/replication_group.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace limeramp::replication {

/// Follows the one state that a primary is replicating: it counts as committed once the primary's own disk and every
/// backup of the epoch have synced it. Answers to earlier states carry other tokens and are not counted.
class Replicator {
 public:
  /// A state was handed to the own disk, under this token of the disk.
  void localWriteBegan(std::uint64_t persistToken);
  /// The same state goes to these backups, under this token of the messages.
  void transferBegan(std::uint64_t token, std::vector<std::string> const& backups);
  void sent(TimePoint now) { sentAt_ = now; }

  /// Whether the token is that of the state in hand; then its local write is done.
  bool localWriteEnded(std::uint64_t persistToken);
  /// Whether the answer is new and belongs to the state in hand.
  bool backupSynced(std::string const& backup, std::uint64_t token);

  bool committed() const { return localDone_ && waitingFor_.empty(); }
  std::set<std::string> const& waitingFor() const { return waitingFor_; }
  std::uint64_t token() const { return token_; }
  std::uint64_t persistToken() const { return persistToken_; }
  TimePoint sentAt() const { return sentAt_; }

  void digest(messages::StateDigest& digest) const;

 private:
  std::uint64_t token_ = 0;
  std::uint64_t persistToken_ = 0;
  bool localDone_ = false;
  std::set<std::string> waitingFor_;
  TimePoint sentAt_{};
};

}  // namespace limeramp::replication
