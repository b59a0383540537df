#include "replication_group_impl.h"

#include <algorithm>

namespace limeramp::replication {

void ReplicationGroup::Impl::endLeadership() {
  if (leadership == Leadership::active) {
    effects.emplace_back(SteppedDown{});
    effects.emplace_back(LogEntry{logging::Event::primaryStopped, std::to_string(acceptor.decided.epoch)});
  }
  leadership = Leadership::none;
  confirmation.withdraw();
  if (ticket) {
    effects.emplace_back(OutcomeUnknown{*ticket});
    ticket.reset();
  }
}

void ReplicationGroup::Impl::beginLeadership() {
  if (!isPrimary() || acceptor.isFenced()) {
    return;
  }
  leadership = Leadership::joining;
  membershipChangeDue = false;
  confirmation.restart();
  replicator.localWriteBegan(persist(false, true, {}));
  beginLeadershipSync();
}

// A state is sent to the backups while it is written, so of the states that an earlier process of this primary sent,
// one may be newer than the stored state: its version is the next one. A backup may still receive it, at any time, so
// the version is never given to another state. The stored state is joined under the version after it, and the first
// proposal has a later one.
void ReplicationGroup::Impl::skipVersionsInFlight() {
  constexpr std::uint64_t versionsInFlight = 1;
  if (isPrimary() && !acceptor.isFenced()) {
    state.epoch = acceptor.decided.epoch;
    state.sequence += versionsInFlight + 1;
  }
}

void ReplicationGroup::Impl::beginLeadershipSync() {
  replicator.transferBegan(++lastToken, acceptor.decided.backups);
  sendLeadershipSyncs();
}

void ReplicationGroup::Impl::sendLeadershipSyncs() {
  replicator.sent(now);
  for (std::string const& backup : replicator.pendingBackups()) {
    send(backup, messages::Sync{acceptor.decided, replicator.token(), false, state});
  }
}

void ReplicationGroup::Impl::checkCommit() {
  if (!replicator.committed() || acceptor.isFenced() || !canCommit()) {
    return;
  }
  if (leadership == Leadership::joining) {
    leadership = Leadership::active;
    effects.emplace_back(BecamePrimary{acceptor.decided.epoch, state});
    effects.emplace_back(LogEntry{logging::Event::primaryBegan, std::to_string(acceptor.decided.epoch)});
  }
  if (ticket) {
    effects.emplace_back(Committed{*ticket, state});
    ticket.reset();
    if (membershipChangeDue) {
      beginMembershipChange();
    }
  }
}

void ReplicationGroup::Impl::on(Proposal const& event) {
  if (leadership != Leadership::active || ticket || shuttingDown() || acceptor.isFenced() || !replicator.committed()) {
    effects.emplace_back(OutcomeUnknown{event.ticket});
    return;
  }
  ticket = event.ticket;
  std::uint64_t const next = state.sequence + 1;
  state = event.state;
  state.epoch = acceptor.decided.epoch;
  state.sequence = next;
  replicator.localWriteBegan(persist(false, true, {}));
  beginLeadershipSync();
}

// A fenced Sync comes from a replica that has fenced its epoch and sends its state to the replicas of the next one; a
// receiver that is a replica fences its epoch too. Other Syncs come from the primary; one that is older than the stored
// state of the epoch has been overtaken and is ignored.
void ReplicationGroup::Impl::onMessage(std::string const& from, messages::Sync const& message) {
  adoptEpoch(message.decided);
  if (message.decided.epoch != acceptor.decided.epoch || message.decided.epoch == 0) {
    return;
  }
  bool withVote = false;
  if (message.fenced) {
    if (!isReplica(from)) {
      return;
    }
    if ((isPrimary() || isBackup()) && !acceptor.isFenced()) {
      fenceSelf();
      withVote = true;
    }
    yieldUntil = now + options.lostMs;
  } else {
    bool const isLate = state.epoch == acceptor.decided.epoch && message.state.version() < state.version();
    if (from != acceptor.decided.primary || !isBackup() || acceptor.isFenced() || isLate) {
      return;
    }
  }
  bool const changed = !(state == message.state);
  std::vector<GroupEffect> effectsOnceStored{Send{from, "", messages::Synced{acceptor.decided.epoch, message.token}}};
  if (changed && state.epoch < message.state.epoch) {
    effects.emplace_back(LogEntry{logging::Event::replicaRebuilt,
                                  std::to_string(message.state.epoch) + "." + std::to_string(message.state.sequence)});
  }
  if (changed && ticket) {
    effects.emplace_back(OutcomeUnknown{*ticket});
    ticket.reset();
  }
  state = message.state;
  persist(withVote, true, std::move(effectsOnceStored));
}

void ReplicationGroup::Impl::onMessage(std::string const& from, messages::Synced const& message) {
  if (message.epoch != acceptor.decided.epoch) {
    return;
  }
  if (leadership != Leadership::none && replicator.backupSynced(from, message.token)) {
    checkCommit();
  }
  if (proposal.stage == ProposalStage::syncing && message.token == proposal.syncToken &&
      proposal.toSync.erase(from) > 0 && proposal.toSync.empty()) {
    beginBallot();
  }
}

void ReplicationGroup::Impl::confirmLeadership() {
  if (leadership == Leadership::active) {
    confirmation.confirm(acceptor.decided.backups, now);
  }
}

}  // namespace limeramp::replication
