#include "replication_group_impl.h"

#include <algorithm>
#include <utility>

namespace limeramp::replication {

void ReplicationGroup::Impl::onMessage(std::string const& from, messages::Heartbeat const& message) {
  MemberStatus& entry = detector.recordHeartbeat(now, from, message);
  adoptEpoch(message.decided);
  bool const reached = std::exchange(entry.reached, true);
  if (leadership == Leadership::joining && !reached && isOf(acceptor.decided.backups, from)) {
    sendLeadershipSyncs();
  }
  if (leadership == Leadership::active && isOf(acceptor.decided.backups, from) &&
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

// Whoever leaves waits until the epoch without it is stored; it need not wait for the next heartbeat besides.
void ReplicationGroup::Impl::tellLeavingMembers() {
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
    bool const quick = acceptor.decided.epoch == 0 || (isPrimary() && isOf(acceptor.decided.backups, entry.first));
    entry.second.nextHeartbeatAt = now + (quick ? options.heartbeatMs : options.idleHeartbeatMs);
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
