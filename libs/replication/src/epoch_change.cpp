#include "identities.h"
#include "replication_group_impl.h"

#include <algorithm>

namespace limeramp::replication {

std::size_t ReplicationGroup::Impl::quorum() const {
  return (acceptor.decided.epoch == 0 ? founders.size() : acceptor.decided.witnesses.size()) / 2 + 1;
}

bool ReplicationGroup::Impl::mayVote() const {
  if (acceptor.decided.epoch == 0) {
    return mayFound && std::binary_search(founders.begin(), founders.end(), self.address);
  }
  return std::count(acceptor.decided.witnesses.begin(), acceptor.decided.witnesses.end(), self.id) > 0;
}

void ReplicationGroup::Impl::adoptEpoch(messages::EpochRecord const& record, bool withState) {
  if (record.epoch <= acceptor.decided.epoch) {
    return;
  }
  if (acceptor.decided.epoch > 0 && record.fleet != acceptor.decided.fleet) {
    effects.emplace_back(LogEntry{logging::Event::peerUnexpected, "epoch record of another fleet: " + record.fleet});
    return;
  }
  effects.emplace_back(
      LogEntry{record.epoch == 1 ? logging::Event::founded : logging::Event::epochGranted,
               std::to_string(record.epoch) + " primary " + record.primary + " backups " + joined(record.backups)});
  // A primary that stays primary keeps its proposal, which beginLeadership() replicates again under the new epoch.
  bool const leadsNextEpoch = record.primary == self.id;
  std::optional<std::uint64_t> const keptTicket = ticket;
  if (leadsNextEpoch) {
    ticket.reset();
  }
  endLeadership();
  ticket = leadsNextEpoch ? keptTicket : std::nullopt;
  proposal = {};
  acceptor.adopt(record);
  voteMonitor.epochDecided();
  epochStableSince = now;
  persist(true, withState, {});
  beginLeadership();
}

void ReplicationGroup::Impl::fenceSelf() {
  membershipChangeDue = false;
  acceptor.fence();
  if (leadership == Leadership::active) {
    effects.emplace_back(SteppedDown{});
    effects.emplace_back(LogEntry{logging::Event::primaryStopped, std::to_string(acceptor.decided.epoch)});
  }
  leadership = Leadership::none;
  confirmation.withdraw();
}

// Fences the primary's own epoch, so that the next one may name other members. Usually this happens between two
// changes. checkCommit() also calls it after a commit, or a stream of changes would delay it for as long as it lasts.
void ReplicationGroup::Impl::beginMembershipChange() {
  fenceSelf();
  persist(true, false, {});
  proposal.stage = ProposalStage::choosing;
}

void ReplicationGroup::Impl::tickPrimary() {
  if (leadership != Leadership::none && !replicator.pendingBackups().empty() &&
      now - replicator.sentAt() >= options.resendMs) {
    sendLeadershipSyncs();
  }
  confirmLeadership();
  reportMissingVotes();
  bool const epochStable = now - epochStableSince >= options.lostMs;
  bool const backupUnavailable = epochStable && !detector.allAlive(now, acceptor.decided.backups, options.lostMs);
  bool const transfersLeadership = shuttingDown() && !planner().backupsFor(self.id).empty();
  membershipChangeDue = !acceptor.isFenced() && !unhealthy() &&
                        (backupUnavailable || transfersLeadership || membershipNeedsChange()) &&
                        planner().canFormGroup();
  if (membershipChangeDue && (backupUnavailable || !ticket || !canCommit())) {
    if (backupUnavailable) {
      effects.emplace_back(LogEntry{logging::Event::backupLost, joined(acceptor.decided.backups)});
    }
    beginMembershipChange();
  } else if (acceptor.isFenced() && !unhealthy()) {
    proposal.stage = ProposalStage::choosing;
  }
}

// Takes over from a primary that the failure detector no longer counts as alive. The backups try in the order of the
// record, each `successorStaggerMs` after the one before.
void ReplicationGroup::Impl::tickBackup() {
  std::vector<std::string> const& successors = acceptor.decided.backups;
  Ms const takeoverTimeout =
      options.takeoverMs +
      options.successorStaggerMs * (std::find(successors.begin(), successors.end(), self.id) - successors.begin());
  bool const primaryUnavailable =
      now - epochStableSince >= takeoverTimeout && !isAlive(acceptor.decided.primary, takeoverTimeout);
  if (!acceptor.isFenced() && !unhealthy() && primaryUnavailable && planner().canFormGroup()) {
    fenceSelf();
    persist(true, false, {});
    proposal.stage = ProposalStage::choosing;
  } else if (acceptor.isFenced() && !unhealthy() && now >= yieldUntil) {
    proposal.stage = ProposalStage::choosing;
  }
}

void ReplicationGroup::Impl::appendLogEntry(std::optional<LogEntry> const& entry) {
  if (entry) {
    effects.emplace_back(*entry);
  }
}

void ReplicationGroup::Impl::reportMissingVotes() {
  if (now - epochStableSince < options.witnessGoneMs || now - startedAt < options.witnessGoneMs) {
    return;
  }
  std::vector<std::string> unavailable;
  for (std::string const& witness : acceptor.decided.witnesses) {
    if (!isAlive(witness, options.witnessGoneMs)) {
      unavailable.push_back(witness);
    }
  }
  appendLogEntry(voteMonitor.witnessesChecked(unavailable));
  reportRedundancy();
}

void ReplicationGroup::Impl::reportRedundancy() {
  std::size_t const replicas = 1 + acceptor.decided.backups.size();
  std::size_t const witnesses = acceptor.decided.witnesses.size();
  bool const toleratesLosses = options.minReplicas <= 1 || (canCommit() && witnesses >= options.maxWitnesses);
  appendLogEntry(voteMonitor.redundancyChecked(
      toleratesLosses ? ""
                      : std::to_string(replicas) + " of " + std::to_string(options.minReplicas) + " replicas, " +
                            std::to_string(witnesses) + " of " + std::to_string(options.maxWitnesses) + " witnesses"));
}

bool ReplicationGroup::Impl::membershipNeedsChange() const {
  if (now - startedAt < options.lostMs || now - epochStableSince < options.repairMs) {
    return false;
  }
  MembershipChoice const choice = planner().preferred();
  return planner().repairWanted(choice) ||
         (now - epochStableSince >= options.spreadMs && planner().spreadWanted(choice));
}

bool ReplicationGroup::Impl::proposedReplicasAlive() const {
  return isAlive(proposal.primary, options.lostMs) && detector.allAlive(now, proposal.backups, options.lostMs);
}

void ReplicationGroup::Impl::sendFencedSyncs() {
  proposal.sentAt = now;
  for (std::string const& id : proposal.toSync) {
    send(id, messages::Sync{acceptor.decided, proposal.syncToken, true, state});
  }
}

void ReplicationGroup::Impl::advanceProposal() {
  if (pendingWrites.contains(fencePersistToken) && proposal.stage == ProposalStage::choosing) {
    return;
  }
  switch (proposal.stage) {
    case ProposalStage::none:
      return;
    case ProposalStage::choosing:
      chooseMembers();
      return;
    case ProposalStage::syncing:
      if (!proposedReplicasAlive()) {
        proposal.stage = ProposalStage::choosing;
        advanceProposal();
      } else if (now - proposal.sentAt >= options.resendMs) {
        sendFencedSyncs();
      }
      return;
    case ProposalStage::preparing:
    case ProposalStage::accepting:
      advanceBallot();
      return;
  }
}

// Chooses the members of the next epoch and sends them the state. A replica that is shutting down names another
// primary, and itself as a backup only if the next primary would otherwise have too few.
void ReplicationGroup::Impl::chooseMembers() {
  bool const transfersLeadership = shuttingDown();
  std::vector<std::string> backups = planner().backupsFor(self.id);
  if (1 + backups.size() < options.minReplicas) {
    return;
  }
  proposal.primary = self.id;
  if (transfersLeadership && !backups.empty()) {
    std::vector<std::string>::const_iterator const successor =
        std::find_if(acceptor.decided.backups.begin(), acceptor.decided.backups.end(),
                     [&](std::string const& id) { return isAlive(id, options.lostMs); });
    proposal.primary = successor == acceptor.decided.backups.end() ? backups.front() : *successor;
    backups = planner().backupsFor(proposal.primary);
    if (1 + backups.size() < options.minReplicas) {
      backups.push_back(self.id);
    }
  }
  proposal.backups = std::move(backups);
  proposal.toSync = {proposal.backups.begin(), proposal.backups.end()};
  proposal.toSync.insert(proposal.primary);
  proposal.toSync.erase(self.id);
  proposal.stage = ProposalStage::syncing;
  proposal.syncToken = ++lastToken;
  if (proposal.toSync.empty()) {
    beginBallot();
  } else {
    sendFencedSyncs();
  }
}

void ReplicationGroup::Impl::advanceBallot() {
  if (now < proposal.retryAt && now - proposal.sentAt >= options.resendMs) {
    sendBallot();
  } else if (now >= proposal.retryAt) {
    effects.emplace_back(LogEntry{logging::Event::ballotLost, std::to_string(proposal.ballot.round)});
    appendLogEntry(voteMonitor.ballotLost(proposal, acceptor.nextEpoch(), quorum()));
    if (acceptor.decided.epoch > 0 && !proposedReplicasAlive()) {
      proposal.stage = ProposalStage::choosing;
      advanceProposal();
    } else {
      beginBallot();
    }
  }
}

void ReplicationGroup::Impl::beginBallot() {
  TimePoint const retryAt =
      now + options.ballotMs + Ms(static_cast<long>(random() % static_cast<std::uint64_t>(options.ballotMs.count())));
  proposal.prepare({++highestRound, self.id}, retryAt);
  if (acceptor.decided.epoch > 0) {
    proposal.voters = acceptor.decided.witnesses;
    proposal.record = {acceptor.decided.epoch + 1, acceptor.decided.fleet, proposal.primary, proposal.backups,
                       planner().witnessesFor(proposal.primary, proposal.backups)};
  }
  sendBallot();
}

void ReplicationGroup::Impl::sendBallot() {
  std::uint64_t const epoch = acceptor.decided.epoch;
  ProposalStage const stage = proposal.stage;
  messages::Message const message =
      stage == ProposalStage::preparing
          ? messages::Message(messages::Prepare{acceptor.decided, proposal.ballot})
          : messages::Message(messages::Accept{acceptor.decided, proposal.ballot, proposal.record});
  std::vector<std::string> const voters = proposal.voters;
  proposal.sentAt = now;
  for (std::string const& voter : voters) {
    if (proposal.grantedBy.contains(voter)) {
      continue;
    }
    send(voter, message);
    if (acceptor.decided.epoch != epoch || proposal.stage != stage) {
      return;
    }
  }
}

void ReplicationGroup::Impl::beginAcceptPhase() {
  proposal.accept();
  sendBallot();
}

void ReplicationGroup::Impl::onMessage(std::string const& from, messages::Prepare const& message) {
  adoptEpoch(message.decided);
  if (message.decided.epoch < acceptor.decided.epoch) {
    messages::Heartbeat hint;
    hint.decided = acceptor.decided;
    hint.epoch = acceptor.decided.epoch;
    hint.unhealthy = unhealthy() || shuttingDown();
    send(from, hint);
    return;
  }
  if (!mayVote()) {
    return;
  }
  highestRound = std::max(highestRound, message.ballot.round);
  messages::PrepareResponse const answer = acceptor.prepare(message.ballot);
  if (!answer.granted) {
    send(from, answer);
    return;
  }
  persist(true, false, {Send{from, "", answer}});
}

void ReplicationGroup::Impl::onMessage(std::string const& from, messages::PrepareResponse const& message) {
  if (message.nextEpoch != acceptor.nextEpoch() || proposal.stage != ProposalStage::preparing ||
      message.ballot != proposal.ballot) {
    return;
  }
  highestRound = std::max(highestRound, message.promisedBallot.round);
  if (!message.granted) {
    return;
  }
  proposal.countPrepareResponse(from, message);
  if (proposal.grantedBy.size() >= quorum()) {
    beginAcceptPhase();
  }
}

void ReplicationGroup::Impl::onMessage(std::string const& from, messages::Accept const& message) {
  adoptEpoch(message.decided);
  if (message.decided.epoch != acceptor.decided.epoch || !mayVote()) {
    return;
  }
  highestRound = std::max(highestRound, message.ballot.round);
  messages::AcceptResponse const answer = acceptor.accept(message.ballot, message.record);
  if (!answer.granted) {
    send(from, answer);
    return;
  }
  persist(true, false, {Send{from, "", answer}});
}

void ReplicationGroup::Impl::onMessage(std::string const& from, messages::AcceptResponse const& message) {
  if (message.nextEpoch != acceptor.nextEpoch() || proposal.stage != ProposalStage::accepting ||
      message.ballot != proposal.ballot) {
    return;
  }
  highestRound = std::max(highestRound, message.promisedBallot.round);
  if (!message.granted) {
    return;
  }
  proposal.grantedBy.insert(from);
  if (proposal.grantedBy.size() >= quorum()) {
    messages::EpochRecord const record = proposal.record;
    adoptEpoch(record);
    heartbeatAll();
  }
}

}  // namespace limeramp::replication
