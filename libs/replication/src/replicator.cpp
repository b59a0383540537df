#include "replicator.h"

namespace limeramp::replication {

void Replicator::localWriteBegan(std::uint64_t persistToken) {
  persistToken_ = persistToken;
  localWriteDone_ = false;
}

void Replicator::transferBegan(std::uint64_t token, std::vector<std::string> const& backups) {
  token_ = token;
  pendingBackups_ = {backups.begin(), backups.end()};
}

bool Replicator::localWriteEnded(std::uint64_t persistToken) {
  localWriteDone_ = localWriteDone_ || persistToken == persistToken_;
  return persistToken == persistToken_;
}

bool Replicator::backupSynced(std::string const& backup, std::uint64_t token) {
  return token == token_ && pendingBackups_.erase(backup) > 0;
}

void Replicator::digest(messages::StateDigest& digest) const {
  digest.add(token_);
  digest.add(localWriteDone_);
  digest.add(pendingBackups_);
  digest.add(sentAt_);
}

}  // namespace limeramp::replication
