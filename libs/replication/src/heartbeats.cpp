#include "replication_group_impl.h"

#include <algorithm>
#include <utility>

namespace limeramp::replication {

void ReplicationGroup::Impl::onMessage(std::string const& from, messages::Heartbeat const& message) {
  MemberStatus& entry = detector.recordHeartbeat(now, from, message);
  adoptEpoch(message.decided);
  bool const firstHeartbeatHandled = std::exchange(entry.firstHeartbeatHandled, true);
  if (leadership == Leadership::joining && !firstHeartbeatHandled && contains(acceptor.decided.backups, from)) {
    sendLeadershipSyncs();
  }
  if (leadership == Leadership::active && contains(acceptor.decided.backups, from) &&
      epochOf(message) == acceptor.decided.epoch) {
    confirmation.echoed(from, message.echoed);
    confirmLeadership();
  }
  if (isBackup() && from == acceptor.decided.primary && message.token != 0 &&
      now + options.heartbeatMs > entry.nextHeartbeatAt) {
    entry.nextHeartbeatAt = now;
    heartbeat();
  }
}

void ReplicationGroup::Impl::heartbeatAll() {
  for (std::pair<std::string const, MemberStatus>& entry : detector.members()) {
    entry.second.nextHeartbeatAt = now;
  }
  heartbeat();
}

// A member that is shutting down waits until the epoch without it is stored elsewhere. Sending the stored epoch to it
// at once saves the wait for the next regular heartbeat.
void ReplicationGroup::Impl::heartbeatLeavingMembers() {
  for (std::pair<std::string const, MemberStatus>& entry : detector.members()) {
    if (entry.second.heartbeat.unhealthy) {
      entry.second.nextHeartbeatAt = now;
    }
  }
  heartbeat();
}

void ReplicationGroup::Impl::heartbeat() {
  std::uint64_t token = 0;
  for (std::pair<std::string const, MemberStatus>& entry : detector.members()) {
    if (now < entry.second.nextHeartbeatAt) {
      continue;
    }
    bool const usesFastInterval =
        acceptor.decided.epoch == 0 || (isPrimary() && contains(acceptor.decided.backups, entry.first));
    entry.second.nextHeartbeatAt = now + (usesFastInterval ? options.heartbeatMs : options.idleHeartbeatMs);
    if (token == 0) {
      token = ++lastToken;
      confirmation.heartbeatSent(token, now);
    }
    messages::Heartbeat const& last = entry.second.heartbeat;
    messages::Heartbeat message;
    if (last.epoch == 0 || epochOf(last) != acceptor.decided.epoch) {
      message.decided = acceptor.decided;
    }
    message.epoch = acceptor.decided.epoch;
    message.storedEpoch = storedEpoch;
    message.token = token;
    message.echoed = entry.second.lastToken;
    message.unhealthy = unhealthy() || shuttingDown();
    effects.emplace_back(Send{entry.first, entry.second.member.address, message});
  }
}

}  // namespace limeramp::replication
