// Tests of single safety checks of the replication group, on one member with scripted peers or in short simulations.
#include "simulator/replication_simulation.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace {

using namespace limeramp;
using namespace limeramp::simulator;

constexpr char const* fleet = "f";

// A member whose peers are scripted by the test. Its writes finish at once; they fail while `diskFull` is set.
class DrivenMember {
 public:
  explicit DrivenMember(std::string const& id) : id_(id) {
    step(replication::Start{{id, "address-" + id, "zone-" + id}, {}, 7, false, {}});
    replication::KnownMembers known;
    for (std::string const peer : {"a", "b", "c"}) {
      known.members.push_back({peer, "address-" + peer, "zone-" + peer});
    }
    step(known);
  }

  void step(replication::GroupEvent const& event) {
    for (replication::GroupEffect const& effect : group.step(now, event)) {
      if (replication::Send const* const send = std::get_if<replication::Send>(&effect)) {
        sent.push_back(*send);
      } else if (replication::Persist const* const persist = std::get_if<replication::Persist>(&effect)) {
        step(replication::PersistFinished{persist->token, !diskFull});
      } else {
        otherEffects.push_back(effect);
      }
    }
  }

  void receive(std::string const& from, messages::Message const& message) {
    step(replication::MessageReceived{from, "address-" + from, message});
  }

  // Advances the time by `duration` while the peers in `heard` send heartbeats and the others are silent.
  void advance(Ms duration, std::vector<std::string> const& heard) {
    for (Ms passed{0}; passed < duration; passed += Ms(20)) {
      now += Ms(20);
      for (std::string const& peer : heard) {
        messages::Heartbeat heartbeat;
        heartbeat.epoch = group.decided().epoch;
        receive(peer, heartbeat);
      }
      step(replication::Tick{});
    }
  }

  template <typename T>
  T const* lastSent(std::string const& to) const {
    for (std::vector<replication::Send>::const_reverse_iterator entry = sent.rbegin(); entry != sent.rend(); ++entry) {
      if (entry->to == to && std::holds_alternative<T>(entry->message)) {
        return &std::get<T>(entry->message);
      }
    }
    return nullptr;
  }

  void learn(messages::EpochRecord const& record, std::string const& from) {
    messages::Heartbeat heartbeat;
    heartbeat.decided = record;
    heartbeat.epoch = record.epoch;
    receive(from, heartbeat);
  }

  replication::ReplicationGroup group{replication::optionsFor(1)};
  replication::TimePoint now{std::chrono::hours(1)};
  std::vector<replication::Send> sent;
  std::vector<replication::GroupEffect> otherEffects;
  bool diskFull = false;

 private:
  std::string id_;
};

messages::EpochRecord firstEpoch() { return {1, fleet, "a", {"b"}, {"a", "b", "c"}}; }

// The backup in the record that a proposer sends in its Accept, after it has accepted `own` itself and a peer has
// reported that it accepted `peer`.
std::string proposedBackup(std::uint64_t ownRound, std::uint64_t peerRound) {
  DrivenMember member("a");
  member.learn(firstEpoch(), "b");
  messages::EpochRecord const own{2, fleet, "b", {"a"}, {"a", "b", "c"}};
  messages::EpochRecord const peer{2, fleet, "b", {"c"}, {"a", "b", "c"}};
  member.receive("b", messages::Accept{firstEpoch(), {ownRound, "b"}, own});
  member.advance(Ms(2000), {"c"});
  messages::Sync const* const sync = member.lastSent<messages::Sync>("c");
  EXPECT_NE(sync, nullptr);
  member.receive("c", messages::Synced{1, sync == nullptr ? 0 : sync->token});
  messages::Prepare const* const prepare = member.lastSent<messages::Prepare>("c");
  EXPECT_NE(prepare, nullptr);
  if (prepare == nullptr) {
    return "";
  }
  messages::Ballot const ballot = prepare->ballot;
  EXPECT_GT(ballot.round, ownRound);
  member.receive("c", messages::PrepareResponse{2, ballot, true, ballot, {peerRound, "b"}, peer});
  messages::Accept const* const accept = member.lastSent<messages::Accept>("c");
  EXPECT_NE(accept, nullptr);
  return accept == nullptr ? "" : accept->record.backups.front();
}

TEST(ReplicationGuards, AProposerAdoptsTheAcceptedRecordOfTheHighestBallot) {
  EXPECT_EQ(proposedBackup(5, 6), "c");
  EXPECT_EQ(proposedBackup(6, 5), "a");
  EXPECT_EQ(proposedBackup(1, 2), "c");
}

TEST(ReplicationGuards, AFencingStateTransferIsAcceptedOnlyFromAReplicaOfTheEpoch) {
  messages::State foreignState;
  foreignState.epoch = 1;
  foreignState.sequence = 50;
  foreignState.document = "foreign";
  messages::EpochRecord const otherFleet{1, "other", "x", {"y"}, {"x", "y", "z"}};
  for (std::string const from : {"x", "c"}) {
    DrivenMember member("b");
    member.learn(firstEpoch(), "a");
    std::size_t const sentBefore = member.sent.size();
    member.receive(from, messages::Sync{from == "x" ? otherFleet : firstEpoch(), 9, true, foreignState});
    EXPECT_EQ(member.group.state().document, "") << from;
    EXPECT_EQ(member.group.fenced(), 0u) << from;
    EXPECT_EQ(member.sent.size(), sentBefore) << from;
  }
  DrivenMember member("b");
  member.learn(firstEpoch(), "a");
  member.receive("a", messages::Sync{firstEpoch(), 9, true, foreignState});
  EXPECT_EQ(member.group.fenced(), 1u);
  EXPECT_NE(member.lastSent<messages::Synced>("a"), nullptr);
}

TEST(ReplicationGuards, APrimaryToldToShutDownAcceptsNoFurtherChange) {
  DrivenMember member("a");
  member.learn(firstEpoch(), "b");
  messages::Sync const* const initialTransfer = member.lastSent<messages::Sync>("b");
  ASSERT_NE(initialTransfer, nullptr);
  member.receive("b", messages::Synced{1, initialTransfer->token});
  ASSERT_TRUE(member.group.active());
  member.step(replication::BeginShutdown{});
  member.otherEffects.clear();
  messages::State change = member.group.state();
  change.document = "late";
  member.step(replication::Proposal{11, change});
  ASSERT_EQ(member.otherEffects.size(), 1u);
  EXPECT_TRUE(std::holds_alternative<replication::OutcomeUnknown>(member.otherEffects.front()));
  EXPECT_EQ(member.group.state().document, "");
}

TEST(ReplicationGuards, ALeavingMemberWaitsForThePrimaryAndAMajorityToStoreItsRemoval) {
  DrivenMember member("c");
  member.learn(firstEpoch(), "a");
  member.step(replication::BeginShutdown{});
  messages::EpochRecord const withoutMember{2, fleet, "a", {"b"}, {"a", "b", "d"}};
  member.learn(withoutMember, "a");
  EXPECT_EQ(member.group.shutdownProgress(), replication::ShutdownProgress::epochNotSpread);
  messages::Heartbeat storedHeartbeat;
  storedHeartbeat.epoch = 2;
  storedHeartbeat.storedEpoch = 2;
  member.receive("a", storedHeartbeat);
  EXPECT_EQ(member.group.shutdownProgress(), replication::ShutdownProgress::epochNotSpread);
  member.receive("b", storedHeartbeat);
  EXPECT_EQ(member.group.shutdownProgress(), replication::ShutdownProgress::done);
  EXPECT_TRUE(member.group.mayShutDown());
}

TEST(ReplicationGuards, ALeavingMemberEndsWhenItsGraceTimeIsOver) {
  DrivenMember member("b");
  member.learn(firstEpoch(), "a");
  EXPECT_EQ(member.group.shutdownProgress(), replication::ShutdownProgress::notRequested);
  member.step(replication::BeginShutdown{});
  member.advance(replication::ReplicationOptions{}.shutdownGraceMs - Ms(40), {"a", "c"});
  EXPECT_EQ(member.group.shutdownProgress(), replication::ShutdownProgress::replicaNotReplaced);
  member.advance(Ms(60), {"a", "c"});
  EXPECT_EQ(member.group.shutdownProgress(), replication::ShutdownProgress::graceTimeOver);
  EXPECT_TRUE(member.group.mayShutDown());
}

void startAll(ReplicationSimulation& group) {
  for (std::size_t index = 0; index < group.nodes.size(); ++index) {
    group.start(index);
  }
}

std::size_t indexOf(ReplicationSimulation const& group, std::string const& id) {
  for (std::size_t index = 0; index < group.nodes.size(); ++index) {
    if (group.nodes[index].id == id) {
      return index;
    }
  }
  return group.nodes.size();
}

void runUntilCommit(ReplicationSimulation& group, Ms within) {
  std::size_t const before = group.commits;
  for (Ms passed{0}; passed < within && group.commits == before; passed += Ms(10)) {
    group.run(Ms(10));
    group.proposeChange();
  }
  EXPECT_GT(group.commits, before);
}

TEST(ReplicationGuards, APrimaryCutOffWithOneOfTwoBackupsIsNotConfirmed) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    for (std::size_t keptBackup : {0u, 1u}) {
      ReplicationSimulation group(seed, 8, 0, 2);
      startAll(group);
      runUntilCommit(group, Ms(10'000));
      group.run(Ms(8000));
      std::size_t const primary = group.active().value_or(0);
      messages::EpochRecord const record = group.nodes[primary].group.decided();
      ASSERT_EQ(record.backups.size(), 2u);
      std::set<std::size_t> const cutOff{primary, indexOf(group, record.backups[keptBackup])};
      std::size_t const rival = indexOf(group, record.backups[1 - keptBackup]);
      // The rival hears neither of the two, but they still hear the rival: it takes over before they notice the cut.
      for (std::size_t const isolated : cutOff) {
        group.cut(isolated, rival);
      }
      for (int round = 0; round < 5000 && group.nodes[rival].group.fenced() < record.epoch; ++round) {
        group.run(Ms(1));
      }
      ASSERT_EQ(group.nodes[rival].group.fenced(), record.epoch);
      for (std::size_t left = 0; left < group.nodes.size(); ++left) {
        for (std::size_t right = 0; right < group.nodes.size(); ++right) {
          if (cutOff.contains(left) != cutOff.contains(right)) {
            group.cut(left, right);
          }
        }
      }
      for (int round = 0; round < 500; ++round) {
        group.run(Ms(10));
        group.proposeChange();
      }
      EXPECT_GT(group.nodes[*group.active()].group.decided().epoch, record.epoch)
          << "the other side continues in a later epoch";
      group.healLinks();
      group.run(Ms(3000));
      EXPECT_EQ(group.violations, std::vector<std::string>{}) << seed;
    }
  }
}

TEST(ReplicationGuards, AWitnessWhoseAddressHasANewIdentityIsReplacedWithoutATimeout) {
  Ms slowest{0};
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    ReplicationSimulation group(seed, 3, 0.01);
    startAll(group);
    runUntilCommit(group, Ms(10'000));
    group.run(Ms(3000));
    messages::EpochRecord const record = group.nodes[group.active().value_or(0)].group.decided();
    std::size_t witness = 0;
    for (std::size_t index = 0; index < 3; ++index) {
      std::string const& id = group.nodes[index].id;
      witness = id != record.primary && id != record.backups.front() ? index : witness;
    }
    group.wipeInPlace(witness);
    group.start(witness);
    TimePoint const restartedAt = group.network.now();
    std::string const newId = group.nodes[witness].id;
    std::function<bool()> const votesAgain = [&] {
      std::optional<std::size_t> const primary = group.active();
      std::vector<std::string> const& witnesses = group.nodes[primary.value_or(0)].group.decided().witnesses;
      return primary && std::find(witnesses.begin(), witnesses.end(), newId) != witnesses.end();
    };
    while (!votesAgain() && group.network.now() - restartedAt < Ms(5000)) {
      group.run(Ms(10));
    }
    slowest = std::max(slowest, std::chrono::duration_cast<Ms>(group.network.now() - restartedAt));
    EXPECT_EQ(group.violations, std::vector<std::string>{}) << seed;
  }
  std::printf("seeds 1 to 60: a witness wiped in place votes again after %ld ms at most\n",
              static_cast<long>(slowest.count()));
  EXPECT_LT(slowest, Ms(1500));
}

TEST(ReplicationGuards, APrimaryWhoseDiskIsFullStepsDownAndAcknowledgesNothing) {
  DrivenMember member("a");
  member.learn(firstEpoch(), "b");
  messages::Sync const* const initialTransfer = member.lastSent<messages::Sync>("b");
  ASSERT_NE(initialTransfer, nullptr);
  member.receive("b", messages::Synced{1, initialTransfer->token});
  ASSERT_TRUE(member.group.active());
  member.otherEffects.clear();
  member.diskFull = true;
  messages::State change = member.group.state();
  change.document = "does not fit";
  member.step(replication::Proposal{11, change});
  messages::Sync const* const changeTransfer = member.lastSent<messages::Sync>("b");
  ASSERT_NE(changeTransfer, nullptr);
  member.receive("b", messages::Synced{1, changeTransfer->token});
  EXPECT_FALSE(member.group.active());
  EXPECT_TRUE(member.group.unhealthy());
  for (replication::GroupEffect const& effect : member.otherEffects) {
    EXPECT_FALSE(std::holds_alternative<replication::Committed>(effect));
  }
  member.sent.clear();
  member.advance(Ms(1000), {"b", "c"});
  messages::Heartbeat const* const heartbeat = member.lastSent<messages::Heartbeat>("b");
  ASSERT_NE(heartbeat, nullptr);
  EXPECT_TRUE(heartbeat->unhealthy);
}

// A freeze delays the timeouts of a primary or of its backups by its length, so that either side may time out late.
TEST(Freezes, PrimariesFrozenInTurnNeverContradictOneAnother) {
  std::size_t takeovers = 0;
  for (std::uint64_t seed = 1; seed <= 120; ++seed) {
    std::size_t const losses = 1 + seed % 2;
    ReplicationSimulation group(seed, losses == 1 ? 4 : 7, 0.01, losses);
    startAll(group);
    runUntilCommit(group, Ms(10'000));
    for (int round = 0; round < 25; ++round) {
      std::optional<std::size_t> const primary = group.active();
      if (primary) {
        group.proposeChange();
        group.network.runUntil(group.network.now() + std::chrono::microseconds(group.network.roll(8000)));
        group.freeze(*primary);
      }
      group.run(Ms(static_cast<long>(group.network.roll(2600))));
      group.proposeChange();
      group.thaw(group.network.roll(group.nodes.size()));
      group.proposeChange();
    }
    for (std::size_t index = 0; index < group.nodes.size(); ++index) {
      group.thaw(index);
    }
    runUntilCommit(group, Ms(10'000));
    takeovers += group.takeovers;
    EXPECT_EQ(group.violations, std::vector<std::string>{}) << seed;
  }
  std::printf("seeds 1 to 120: %zu leaderships begun\n", takeovers);
  EXPECT_GT(takeovers, 400u);
}

TEST(OutdatedDisk, AMemberWithAnOldDiskDoesNotLeadBeforeItHasTheState) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    ReplicationSimulation group(seed, 3, 0.01);
    startAll(group);
    runUntilCommit(group, Ms(10'000));
    group.run(Ms(2000));
    messages::EpochRecord const record = group.nodes[group.active().value_or(0)].group.decided();
    std::size_t const absent = indexOf(group, record.backups.front());
    std::size_t const primary = indexOf(group, record.primary);
    std::size_t const witness = 3 - absent - primary;
    group.kill(absent, true);
    for (int change = 0; change < 20; ++change) {
      runUntilCommit(group, Ms(10'000));
    }
    group.kill(primary, true);
    group.kill(witness, true);
    group.start(absent);
    group.run(Ms(5000));
    EXPECT_FALSE(group.active().has_value()) << "alone, seed " << seed;
    group.start(witness);
    runUntilCommit(group, Ms(10'000));
    EXPECT_EQ(group.active().value_or(absent), witness) << seed;
    EXPECT_EQ(group.violations, std::vector<std::string>{}) << seed;
  }
}

// After a failed write a member does not vote or answer; it does again once its disk has room.
TEST(ReplicationGuards, AWitnessWhoseDiskWasFullVotesAgain) {
  DrivenMember member("c");
  member.learn(firstEpoch(), "a");
  member.diskFull = true;
  member.receive("b", messages::Prepare{firstEpoch(), {5, "b"}});
  EXPECT_EQ(member.lastSent<messages::PrepareResponse>("b"), nullptr);
  EXPECT_EQ(member.group.diskCondition(), replication::DiskCondition::failed);
  member.advance(Ms(4500), {"a", "b"});
  EXPECT_TRUE(member.group.unhealthy()) << "the disk is still full";
  member.receive("b", messages::Prepare{firstEpoch(), {6, "b"}});
  EXPECT_EQ(member.lastSent<messages::PrepareResponse>("b"), nullptr);
  member.diskFull = false;
  member.advance(replication::ReplicationOptions{}.diskRetryMs + Ms(100), {"a", "b"});
  EXPECT_FALSE(member.group.unhealthy());
  EXPECT_FALSE(member.lastSent<messages::Heartbeat>("a")->unhealthy);
  member.receive("b", messages::Prepare{firstEpoch(), {7, "b"}});
  messages::PrepareResponse const* const answer = member.lastSent<messages::PrepareResponse>("b");
  ASSERT_NE(answer, nullptr);
  EXPECT_TRUE(answer->granted);
}

// The promise of a failed write may be on the disk, so a lower ballot must still be refused.
TEST(ReplicationGuards, AMemberWhoseDiskWasFullKeepsThePromiseOfItsFailedWrite) {
  DrivenMember member("c");
  member.learn(firstEpoch(), "a");
  member.diskFull = true;
  member.receive("b", messages::Prepare{firstEpoch(), {5, "b"}});
  member.diskFull = false;
  member.advance(Ms(1200), {"a", "b"});
  member.receive("a", messages::Prepare{firstEpoch(), {4, "a"}});
  messages::PrepareResponse const* const answer = member.lastSent<messages::PrepareResponse>("a");
  ASSERT_NE(answer, nullptr);
  EXPECT_FALSE(answer->granted);
}

// The vote on epoch 2 ends when that epoch is learnt, even while the disk is full.
TEST(ReplicationGuards, AnEpochLearntWhileTheDiskIsFullClearsTheVoteOnIt) {
  DrivenMember member("c");
  member.learn(firstEpoch(), "a");
  messages::EpochRecord const rejected{2, fleet, "a", {"c"}, {"a", "b", "c"}};
  messages::Ballot const ballot{9, "a"};
  member.receive("a", messages::Accept{firstEpoch(), ballot, rejected});
  member.diskFull = true;
  member.receive("b", messages::Prepare{firstEpoch(), {10, "b"}});
  messages::EpochRecord const second{2, fleet, "b", {"a"}, {"a", "b", "c"}};
  member.learn(second, "b");
  EXPECT_EQ(member.group.decided().epoch, 2u);
  member.diskFull = false;
  member.advance(Ms(1200), {"a", "b"});
  member.receive("a", messages::Prepare{second, {1, "a"}});
  messages::PrepareResponse const* const answer = member.lastSent<messages::PrepareResponse>("a");
  ASSERT_NE(answer, nullptr);
  EXPECT_EQ(answer->nextEpoch, 3u);
  EXPECT_TRUE(answer->granted) << "no promise for epoch 3 was given";
  EXPECT_FALSE(answer->accepted.has_value()) << "the record accepted for epoch 2 must not count as a vote on epoch 3";
}

// The list of members is on the same disk: after its write has failed, the store refuses votes as well.
TEST(ReplicationGuards, AMemberRecoversFromAFailedWriteOfAnotherRecord) {
  DrivenMember member("c");
  member.learn(firstEpoch(), "a");
  member.step(replication::PersistFinished{0, false});
  EXPECT_TRUE(member.group.unhealthy());
  member.advance(Ms(1200), {"a", "b"});
  EXPECT_FALSE(member.group.unhealthy());
}

// A member that cannot read its records does not know what it has promised. It must not overwrite them.
TEST(ReplicationGuards, AMemberWithUnreadableRecordsStaysUnhealthy) {
  replication::ReplicationGroup group(replication::optionsFor(1));
  replication::TimePoint now{std::chrono::hours(1)};
  group.step(now, replication::Start{{"c", "address-c", "zone-c"}, {{"vote", "unreadable"}}, 7, false, {}});
  for (int tick = 0; tick < 500; ++tick) {
    now += Ms(20);
    for (replication::GroupEffect const& effect : group.step(now, replication::Tick{})) {
      EXPECT_FALSE(std::holds_alternative<replication::Persist>(effect));
    }
  }
  EXPECT_TRUE(group.unhealthy());
}

}  // namespace
