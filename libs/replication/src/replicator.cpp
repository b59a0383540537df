#include "replicator.h"

namespace limeramp::replication {

void Replicator::localWriteBegan(std::uint64_t persistToken) {
  persistToken_ = persistToken;
  localDone_ = false;
}

void Replicator::transferBegan(std::uint64_t token, std::vector<std::string> const& backups) {
  token_ = token;
  waitingFor_ = {backups.begin(), backups.end()};
}

bool Replicator::localWriteEnded(std::uint64_t persistToken) {
  localDone_ = localDone_ || persistToken == persistToken_;
  return persistToken == persistToken_;
}

bool Replicator::backupSynced(std::string const& backup, std::uint64_t token) {
  return token == token_ && waitingFor_.erase(backup) > 0;
}

void Replicator::digest(messages::StateDigest& digest) const {
  digest.add(token_);
  digest.add(localDone_);
  digest.add(waitingFor_);
  digest.add(sentAt_);
}

}  // namespace limeramp::replication
