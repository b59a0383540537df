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

LeaveProgress ReplicationGroup::Impl::leaveProgress() const {
  if (!retiring()) {
    return LeaveProgress::staying;
  }
  if (broken || acceptor.decided.epoch == 0) {
    return LeaveProgress::done;
  }
  if (now - *retireAskedAt >= policy.leaveMs) {
    return LeaveProgress::graceTimeOver;
  }
  bool const othersHoldTheState = isBackup() && fresh(acceptor.decided.primary, policy.lostMs);
  bool const successor = planner().successorHeard(replicasOf(acceptor.decided.primary, acceptor.decided.backups));
  if (isReplica(self.id) && (successor || !othersHoldTheState)) {
    return LeaveProgress::replicaNotReplaced;
  }
  if (isOf(acceptor.decided.witnesses, self.id) && planner().successorHeard(acceptor.decided.witnesses)) {
    return LeaveProgress::voteNotReplaced;
  }
  return epochSpread() ? LeaveProgress::done : LeaveProgress::epochNotSpread;
}

std::string_view nameOf(LeaveProgress progress) {
  switch (progress) {
    case LeaveProgress::staying:
      return "staying";
    case LeaveProgress::replicaNotReplaced:
      return "replica not replaced";
    case LeaveProgress::voteNotReplaced:
      return "vote not replaced";
    case LeaveProgress::epochNotSpread:
      return "epoch not spread";
    case LeaveProgress::done:
      return "done";
    case LeaveProgress::graceTimeOver:
      return "grace time over";
  }
  return "";
}

}  // namespace limeramp::replication
