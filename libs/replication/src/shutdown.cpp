#include "replication_group_impl.h"

#include <algorithm>
#include <functional>

namespace limeramp::replication {

// Whether the primary and a majority of the witnesses have stored the decided record, so that it survives the loss of
// this member.
bool ReplicationGroup::Impl::epochStoredByMajority() const {
  std::function<bool(std::string const&)> const hasStoredEpoch = [this](std::string const& id) {
    MemberStatus const* const found = detector.find(id);
    return found != nullptr && found->heartbeat.storedEpoch >= acceptor.decided.epoch;
  };
  std::size_t const storingWitnesses = static_cast<std::size_t>(
      std::count_if(acceptor.decided.witnesses.begin(), acceptor.decided.witnesses.end(), hasStoredEpoch));
  return hasStoredEpoch(acceptor.decided.primary) && storingWitnesses >= quorum();
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
  bool const primaryHoldsState = isBackup() && isAlive(acceptor.decided.primary, options.lostMs);
  bool const replacementExists =
      planner().replacementAvailable(replicasOf(acceptor.decided.primary, acceptor.decided.backups));
  if (isReplica(self.id) && (replacementExists || !primaryHoldsState)) {
    return ShutdownProgress::replicaNotReplaced;
  }
  if (contains(acceptor.decided.witnesses, self.id) && planner().replacementAvailable(acceptor.decided.witnesses)) {
    return ShutdownProgress::voteNotReplaced;
  }
  return epochStoredByMajority() ? ShutdownProgress::done : ShutdownProgress::epochNotSpread;
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
