#include "replication_group_impl.h"

#include <algorithm>
#include <functional>

namespace limeramp::replication {

// The primary and a majority of the witnesses have the decided record on their disks, so it outlives this member.
bool ReplicationGroup::Impl::epochSpread() const {
  std::function<bool(std::string const&)> const stored = [this](std::string const& id) {
    MemberStatus const* const found = detector.find(id);
    return found != nullptr && found->heartbeat.storedEpoch >= acceptor.decided.epoch;
  };
  std::size_t const votes = static_cast<std::size_t>(
      std::count_if(acceptor.decided.witnesses.begin(), acceptor.decided.witnesses.end(), stored));
  return stored(acceptor.decided.primary) && votes >= quorum();
}

ShutdownProgress ReplicationGroup::Impl::shutdownProgress() const {
  if (!shuttingDown()) {
    return ShutdownProgress::notRequested;
  }
  if (storageUnusable() || acceptor.decided.epoch == 0) {
    return ShutdownProgress::done;
  }
  if (now - *shutdownRequestedAt >= options.shutdownGraceMs) {
    return ShutdownProgress::graceTimeOver;
  }
  bool const othersHoldTheState = isBackup() && isAlive(acceptor.decided.primary, options.lostMs);
  bool const successor = planner().successorKnown(replicasOf(acceptor.decided.primary, acceptor.decided.backups));
  if (isReplica(self.id) && (successor || !othersHoldTheState)) {
    return ShutdownProgress::replicaNotReplaced;
  }
  if (isOf(acceptor.decided.witnesses, self.id) && planner().successorKnown(acceptor.decided.witnesses)) {
    return ShutdownProgress::voteNotReplaced;
  }
  return epochSpread() ? ShutdownProgress::done : ShutdownProgress::epochNotSpread;
}

std::string_view nameOf(ShutdownProgress progress) {
  switch (progress) {
    case ShutdownProgress::notRequested:
      return "staying";
    case ShutdownProgress::replicaNotReplaced:
      return "replica not replaced";
    case ShutdownProgress::voteNotReplaced:
      return "vote not replaced";
    case ShutdownProgress::epochNotSpread:
      return "epoch not spread";
    case ShutdownProgress::done:
      return "done";
    case ShutdownProgress::graceTimeOver:
      return "grace time over";
  }
  return "";
}

}  // namespace limeramp::replication
