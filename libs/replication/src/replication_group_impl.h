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

/// Whether this member is the primary of its epoch. `joining`: it is the primary but may not commit yet, since not
/// every backup has synced its state under the epoch. `active`: it may commit.
enum class Leadership { none, joining, active };

/// State of the member's disk. Only a member with a usable disk votes, replicates or confirms anything.
enum class StorageState {
  usable,
  /// A write failed. The member's memory is complete, so all records can be written again.
  failed,
  /// The stored records cannot be parsed: the member does not know what it promised and never takes part again.
  unreadable,
  /// The member runs without a disk.
  none,
};

/// State of one member: acceptor, failure detector, membership planner, replicator, leadership confirmation and the
/// proposal of the next epoch. Its functions are in replication_group.cpp (events), disk.cpp (persistence),
/// state_transfer.cpp (replication of states), epoch_change.cpp (proposals and ballots), founding.cpp (the first epoch
/// and a forced group), heartbeats.cpp and shutdown.cpp.
struct ReplicationGroup::Impl {
  explicit Impl(ReplicationOptions const& optionsIn) : options(optionsIn) {}

  ReplicationOptions options;
  TimePoint now{};
  std::vector<GroupEffect> effects;
  bool started = false;
  StorageState storage = StorageState::usable;
  std::optional<TimePoint> shutdownRequestedAt;
  /// The highest decided epoch that this member's disk holds; sent with each heartbeat.
  std::uint64_t storedEpoch = 0;
  Member self;
  std::mt19937_64 random;
  Acceptor acceptor;
  messages::State state;
  FailureDetector detector;
  bool mayFound = false;
  std::vector<std::string> founders;
  /// The last token given to a heartbeat or a Sync.
  std::uint64_t lastToken = 0;
  LeadershipConfirmation confirmation;
  /// When this member started or adopted the decided epoch, whichever is later.
  TimePoint epochStableSince{};
  TimePoint startedAt{};
  std::uint64_t lastPersistToken = 0;
  /// Each pending write by its token: the effects that wait for it, when it began, and the decided epoch that it stores
  /// (0 if it does not hold the vote).
  std::map<std::uint64_t, std::vector<GroupEffect>> deferredEffects;
  std::map<std::uint64_t, TimePoint> pendingWrites;
  std::map<std::uint64_t, std::uint64_t> pendingWriteEpochs;
  std::set<std::string> schemasStored;
  /// After a failed write: when all records are written again, and the token of that write while it is pending.
  TimePoint rewriteDueAt{};
  std::optional<std::uint64_t> rewriteToken;
  Leadership leadership = Leadership::none;
  Replicator replicator;
  /// A membership change is wanted and begins when the change in progress, if any, is committed.
  bool membershipChangeDue = false;
  /// The proposal that is being replicated.
  std::optional<std::uint64_t> ticket;
  /// The highest ballot round seen; the next ballot uses a higher one.
  std::uint64_t highestRound = 0;
  /// The write that stores the fence. No members are chosen while it is pending.
  std::uint64_t fencePersistToken = 0;
  /// Until then a fenced backup leaves the epoch change to the replica that sent it a fenced Sync.
  TimePoint yieldUntil{};
  EpochProposal proposal;
  /// Not in the digest, since no decision depends on it.
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

  bool writeOverdue() const {
    return !pendingWrites.empty() && now - pendingWrites.begin()->second >= options.diskSlowMs;
  }
  bool storageUnusable() const { return storage != StorageState::usable; }
  bool unhealthy() const { return storageUnusable() || writeOverdue(); }
  bool shuttingDown() const { return shutdownRequestedAt.has_value(); }
  bool isPrimary() const { return acceptor.decided.epoch > 0 && acceptor.decided.primary == self.id; }
  bool isBackup() const { return acceptor.decided.epoch > 0 && contains(acceptor.decided.backups, self.id); }
  bool isReplica(std::string const& id) const {
    return acceptor.decided.epoch > 0 && (id == acceptor.decided.primary || contains(acceptor.decided.backups, id));
  }
  /// Whether changes may be committed under the decided epoch: it has enough replicas to survive the tolerated losses.
  /// False for an epoch that an earlier version or lower settings left on the disks.
  bool canCommit() const { return 1 + acceptor.decided.backups.size() >= options.minReplicas; }
  bool isAlive(std::string const& id, Ms within) const { return detector.isAlive(now, id, within); }
  MembershipPlanner planner() const { return {options, detector, acceptor.decided, self, now}; }
  /// A majority of the decided epoch's witnesses, or of the founders before the first epoch.
  std::size_t quorum() const;
  /// Whether this member is one of those voters. Founders vote only while discovery allows it (KnownMembers::mayFound).
  bool mayVote() const;
  bool epochStoredByMajority() const;
  ShutdownProgress shutdownProgress() const;

  void send(std::string const& to, messages::Message message);
  template <typename T>
  void store(std::string const& key, T const& value, Puts& puts);
  template <typename T>
  void restore(std::string const& key, std::map<std::string, std::string> const& stored, T& value);
  void restoreRecords(std::map<std::string, std::string> const& stored);
  /// Writes the chosen records; `effectsOnceStored` are carried out when the write has succeeded.
  /// @return the token of the write
  std::uint64_t persist(bool withVote, bool withState, std::vector<GroupEffect> effectsOnceStored,
                        bool rewrite = false);
  void onWriteFailed(std::uint64_t token);
  void rewriteWhenDue();
  void onRewritten(std::uint64_t epochOnDisk);
  /// Handles a message while the disk is unusable.
  void recordHeartbeatOnly(std::string const& from, messages::Message const& message);
  /// Adopts a decided record of a later epoch. Leadership under the old epoch ends; if the record names this member as
  /// the primary, leadership under the new one begins.
  void adoptEpoch(messages::EpochRecord const& record, bool withState = false);
  void beginLeadership();
  /// Called when a primary restarts: gives the stored state a version that no state of its earlier processes has.
  void skipVersionsInFlight();
  void endLeadership();
  void beginLeadershipSync();
  /// Completes joining and the pending proposal once all replicas have synced the state.
  void checkCommit();
  void confirmLeadership();
  /// Fences the decided epoch and steps down. The caller must persist the vote.
  void fenceSelf();
  void beginMembershipChange();
  void sendLeadershipSyncs();
  void appendLogEntry(std::optional<LogEntry> const& entry);
  void reportMissingVotes();
  void reportRedundancy();
  bool membershipNeedsChange() const;
  bool proposedReplicasAlive() const;
  void sendFencedSyncs();
  void advanceProposal();
  void chooseMembers();
  void advanceBallot();
  void tickPrimary();
  void tickBackup();
  void beginBallot();
  void sendBallot();
  void beginAcceptPhase();
  /// How many members must be alive before this one founds a group.
  std::size_t membersToFound() const;
  void tryFounding();
  void heartbeat();
  void heartbeatAll();
  void heartbeatLeavingMembers();

  void digestPendingWrites(messages::StateDigest& digest) const;
};

}  // namespace limeramp::replication
