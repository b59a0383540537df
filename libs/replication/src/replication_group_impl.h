#pragma once

#include "acceptor.h"
#include "epoch_proposal.h"
#include "failure_detector.h"
#include "leadership_confirmation.h"
#include "membership_planner.h"
#include "replicator.h"

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

/// Binds the parts of a member together: acceptor, failure detector, membership planner, replicator, leadership
/// confirmation and the proposal of the next epoch. replication_group.cpp has the events and the disk,
/// state_transfer.cpp the replication of states, epoch_change.cpp proposals and ballots, heartbeats.cpp the heartbeats,
/// leaving.cpp what a member waits for that was told to end.
struct ReplicationGroup::Impl {
  explicit Impl(Policy const& policyIn) : policy(policyIn) {}

  Policy policy;
  TimePoint now{};
  std::vector<Effect> effects;
  bool started = false;
  bool broken = false;
  bool diskless = false;
  std::optional<TimePoint> retireAskedAt;
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
  TimePoint quietSince{};
  TimePoint startedAt{};
  std::uint64_t lastPersist = 0;
  std::map<std::uint64_t, std::vector<Effect>> afterPersist;
  std::map<std::uint64_t, TimePoint> persisting;
  std::map<std::uint64_t, std::uint64_t> persistedEpochs;
  std::set<std::string> schemasStored;
  Leadership leadership = Leadership::none;
  Replicator replicator;
  bool membershipChangeDue = false;
  std::optional<std::uint64_t> ticket;
  std::uint64_t highestRound = 0;
  std::uint64_t fencePersist = 0;
  TimePoint yieldUntil{};
  EpochProposal proposal;

  void on(Start const& event);
  void on(KnownMembers const& event);
  void on(Received const& event);
  void on(Persisted const& event);
  void on(Offer const& event);
  void on(Tick const& event);
  void on(Retire const&) {
    retireAskedAt = retireAskedAt.value_or(now);
    heartbeatAll();
  }
  void on(ForceNewGroup const& event);

  void hear(std::string const& from, messages::Heartbeat const& message);
  void hear(std::string const& from, messages::Prepare const& message);
  void hear(std::string const& from, messages::Promise const& message);
  void hear(std::string const& from, messages::Accept const& message);
  void hear(std::string const& from, messages::Accepted const& message);
  void hear(std::string const& from, messages::Sync const& message);
  void hear(std::string const& from, messages::Synced const& message);
  template <typename Other>
  void hear(std::string const&, Other const&) {}

  bool ailing() const {
    return broken || (!persisting.empty() && now - persisting.begin()->second >= policy.diskSlowMs);
  }
  bool retiring() const { return retireAskedAt.has_value(); }
  bool isPrimary() const { return acceptor.decided.epoch > 0 && acceptor.decided.primary == self.id; }
  bool isBackup() const { return acceptor.decided.epoch > 0 && isOf(acceptor.decided.backups, self.id); }
  bool isReplica(std::string const& id) const {
    return acceptor.decided.epoch > 0 && (id == acceptor.decided.primary || isOf(acceptor.decided.backups, id));
  }
  bool fresh(std::string const& id, Ms within) const { return detector.fresh(now, id, within); }
  MembershipPlanner planner() const { return {policy, detector, acceptor.decided, self, now}; }
  std::size_t quorum() const;
  bool mayVote() const;
  bool epochSpread() const;
  LeaveProgress leaveProgress() const;

  void send(std::string const& to, messages::Message message);
  template <typename T>
  void store(std::string const& key, T const& value, Puts& puts);
  template <typename T>
  void restore(std::string const& key, std::map<std::string, std::string> const& stored, T& value);
  std::uint64_t persist(bool withVote, bool withState, std::vector<Effect> then);
  void learn(messages::EpochRecord const& record, bool withState = false);
  void beginLeadership();
  void endLeadership();
  void beginLeadershipSync();
  void checkCommit();
  void confirmLeadership();
  void fenceSelf();
  void beginMembershipChange();
  void sendLeadershipSyncs();
  bool witnessesNeedChange() const;
  bool partnersFresh() const;
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
