#pragma once

#include "acceptor.h"
#include "epoch_proposal.h"
#include "failure_detector.h"
#include "leadership_confirmation.h"
#include "membership_planner.h"
#include "replicator.h"
#include "vote_monitor.h"

#include "limeramp/messages/state_digest.h"
#include "limeramp/replication/replication_group.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace limeramp::replication {

using Ms = std::chrono::milliseconds;

/// Whether this member leads its epoch: joining until all backups have synced its state under the epoch.
enum class Leadership { none, joining, active };

/// Whether the member may use its disk. Only a member with a usable one votes, replicates or confirms anything.
enum class StorageState {
  usable,
  /// A write failed. What the member holds in memory is complete, so it can be written anew.
  failed,
  /// The stored records do not read: the member does not know what it promised, and stays out for good.
  unreadable,
  /// There is no disk.
  none,
};

/// Binds the parts of a member together: acceptor, failure detector, membership planner, replicator, leadership
/// confirmation and the proposal of the next epoch. replication_group.cpp has the events, disk.cpp the disk,
/// state_transfer.cpp the replication of states, epoch_change.cpp proposals and ballots, heartbeats.cpp the heartbeats,
/// leaving.cpp what a member waits for that was told to end.
struct ReplicationGroup::Impl {
  explicit Impl(ReplicationOptions const& optionsIn) : options(optionsIn) {}

  ReplicationOptions options;
  TimePoint now{};
  std::vector<GroupEffect> effects;
  bool started = false;
  StorageState storage = StorageState::usable;
  std::optional<TimePoint> shutdownRequestedAt;
  std::uint64_t storedEpoch = 0;
  Member self;
  std::mt19937_64 random;
  Acceptor acceptor;
  messages::State state;
  FailureDetector detector;
  bool mayFound = false;
  std::vector<std::string> founders;
  std::uint64_t lastToken = 0;
  LeadershipConfirmation confirmation;
  TimePoint epochStableSince{};
  TimePoint startedAt{};
  std::uint64_t lastPersist = 0;
  std::map<std::uint64_t, std::vector<GroupEffect>> afterPersist;
  std::map<std::uint64_t, TimePoint> persisting;
  std::map<std::uint64_t, std::uint64_t> persistedEpochs;
  std::set<std::string> schemasStored;
  /// After a failed write: when all is written anew, and the token of that write while it is under way.
  TimePoint rewriteAt{};
  std::optional<std::uint64_t> rewriteToken;
  Leadership leadership = Leadership::none;
  Replicator replicator;
  bool membershipChangeDue = false;
  std::optional<std::uint64_t> ticket;
  std::uint64_t highestRound = 0;
  std::uint64_t fencePersist = 0;
  TimePoint yieldUntil{};
  EpochProposal proposal;
  /// What was reported of missing votes; it takes no part in any decision, so the digest leaves it out.
  VoteMonitor voteMonitor;

  void on(Start const& event);
  void on(KnownMembers const& event);
  void on(MessageReceived const& event);
  void on(PersistFinished const& event);
  void on(Proposal const& event);
  void on(Tick const& event);
  void on(BeginShutdown const&) {
    shutdownRequestedAt = shutdownRequestedAt.value_or(now);
    heartbeatAll();
  }
  void on(ForceNewGroup const& event);

  void onMessage(std::string const& from, messages::Heartbeat const& message);
  void onMessage(std::string const& from, messages::Prepare const& message);
  void onMessage(std::string const& from, messages::PrepareResponse const& message);
  void onMessage(std::string const& from, messages::Accept const& message);
  void onMessage(std::string const& from, messages::AcceptResponse const& message);
  void onMessage(std::string const& from, messages::Sync const& message);
  void onMessage(std::string const& from, messages::Synced const& message);
  template <typename Other>
  void onMessage(std::string const&, Other const&) {}

  bool writeOverdue() const { return !persisting.empty() && now - persisting.begin()->second >= options.diskSlowMs; }
  bool storageUnusable() const { return storage != StorageState::usable; }
  bool unhealthy() const { return storageUnusable() || writeOverdue(); }
  bool shuttingDown() const { return shutdownRequestedAt.has_value(); }
  bool isPrimary() const { return acceptor.decided.epoch > 0 && acceptor.decided.primary == self.id; }
  bool isBackup() const { return acceptor.decided.epoch > 0 && isOf(acceptor.decided.backups, self.id); }
  bool isReplica(std::string const& id) const {
    return acceptor.decided.epoch > 0 && (id == acceptor.decided.primary || isOf(acceptor.decided.backups, id));
  }
  bool isAlive(std::string const& id, Ms within) const { return detector.isAlive(now, id, within); }
  MembershipPlanner planner() const { return {options, detector, acceptor.decided, self, now}; }
  std::size_t quorum() const;
  bool mayVote() const;
  bool epochSpread() const;
  ShutdownProgress shutdownProgress() const;

  void send(std::string const& to, messages::Message message);
  template <typename T>
  void store(std::string const& key, T const& value, Puts& puts);
  template <typename T>
  void restore(std::string const& key, std::map<std::string, std::string> const& stored, T& value);
  void restoreRecords(std::map<std::string, std::string> const& stored);
  std::uint64_t persist(bool withVote, bool withState, std::vector<GroupEffect> then, bool rewrite = false);
  void onWriteFailed(std::uint64_t token);
  void rewriteWhenDue();
  void onRewritten(std::uint64_t epochOnDisk);
  void recordHeartbeatOnly(std::string const& from, messages::Message const& message);
  void adoptEpoch(messages::EpochRecord const& record, bool withState = false);
  void beginLeadership();
  void endLeadership();
  void beginLeadershipSync();
  void checkCommit();
  void confirmLeadership();
  void fenceSelf();
  void beginMembershipChange();
  void sendLeadershipSyncs();
  void report(std::optional<LogEntry> const& entry);
  void reportMissingVotes();
  bool witnessesNeedChange() const;
  bool partnersAlive() const;
  void sendFencedSyncs();
  void pushProposal();
  void chooseMembers();
  void pushBallot();
  void tickPrimary();
  void tickBackup();
  void beginBallot();
  void sendBallot();
  void beginAccept();
  void tryFounding();
  void heartbeat();
  void heartbeatAll();
  void tellLeavingMembers();

  void digestPersisting(messages::StateDigest& digest) const;
};

}  // namespace limeramp::replication
