// Unit tests of the parts of a replication group.
#include "acceptor.h"
#include "epoch_proposal.h"
#include "failure_detector.h"
#include "leadership_confirmation.h"
#include "membership_planner.h"
#include "replicator.h"
#include "vote_monitor.h"

#include <gtest/gtest.h>

namespace {

using namespace limeramp;
using namespace limeramp::replication;
using Ms = std::chrono::milliseconds;

constexpr TimePoint start{std::chrono::hours(1)};

messages::EpochRecord recordWithPrimary(std::string const& primary) {
  return {2, "fleet", primary, {"b"}, {"a", "b", "c"}};
}

TEST(Acceptor, RefusesLowerBallotsAndReportsTheLastAcceptedRecord) {
  Acceptor acceptor;
  acceptor.adopt({1, "fleet", "a", {"b"}, {"a", "b", "c"}});
  EXPECT_TRUE(acceptor.prepare({2, "a"}).granted);
  EXPECT_FALSE(acceptor.prepare({1, "b"}).granted);
  EXPECT_FALSE(acceptor.accept({1, "b"}, recordWithPrimary("b")).granted);
  EXPECT_FALSE(acceptor.accepted.has_value());
  EXPECT_TRUE(acceptor.accept({2, "a"}, recordWithPrimary("a")).granted);
  messages::PrepareResponse const answer = acceptor.prepare({3, "b"});
  EXPECT_TRUE(answer.granted);
  EXPECT_EQ(answer.nextEpoch, 2u);
  EXPECT_EQ(answer.acceptedBallot, (messages::Ballot{2, "a"}));
  ASSERT_TRUE(answer.accepted.has_value());
  EXPECT_EQ(answer.accepted->primary, "a");
  EXPECT_FALSE(acceptor.accept({2, "a"}, recordWithPrimary("a")).granted) << "a higher ballot was promised";
}

TEST(Acceptor, AdoptingADecidedRecordClearsTheVoteAndKeepsTheFencedEpoch) {
  Acceptor acceptor;
  EXPECT_FALSE(acceptor.isFenced());
  acceptor.adopt({1, "fleet", "a", {"b"}, {"a", "b", "c"}});
  acceptor.fence();
  EXPECT_TRUE(acceptor.isFenced());
  acceptor.accept({4, "b"}, recordWithPrimary("b"));
  acceptor.adopt(recordWithPrimary("b"));
  EXPECT_FALSE(acceptor.isFenced());
  EXPECT_EQ(acceptor.fenced, 1u);
  EXPECT_FALSE(acceptor.accepted.has_value());
  EXPECT_EQ(acceptor.highestRound(), 0u);
}

TEST(EpochProposal, KeepsTheAcceptedRecordOfTheHighestBallotInAnyOrderOfAnswers) {
  for (bool const ascendingBallots : {true, false}) {
    EpochProposal proposal;
    proposal.record = recordWithPrimary("own");
    proposal.prepare({9, "a"}, start);
    for (int answer = 0; answer < 2; ++answer) {
      bool const reportsHigherBallot = (answer == 1) == ascendingBallots;
      messages::PrepareResponse promise;
      promise.acceptedBallot = {reportsHigherBallot ? 6u : 5u, "x"};
      promise.accepted = recordWithPrimary(reportsHigherBallot ? "higher" : "lower");
      proposal.countPrepareResponse(answer == 0 ? "b" : "c", promise);
    }
    proposal.accept();
    EXPECT_EQ(proposal.record.primary, "higher");
  }
  EpochProposal withoutAcceptedRecord;
  withoutAcceptedRecord.record = recordWithPrimary("own");
  withoutAcceptedRecord.prepare({9, "a"}, start);
  withoutAcceptedRecord.countPrepareResponse("b", {});
  withoutAcceptedRecord.accept();
  EXPECT_EQ(withoutAcceptedRecord.record.primary, "own");
}

TEST(LeadershipConfirmation, ConfirmsUpToTheOldestOfTheHeartbeatsThatBackupsEchoedLast) {
  LeadershipConfirmation confirmation;
  confirmation.heartbeatSent(1, start);
  confirmation.heartbeatSent(2, start + Ms(100));
  confirmation.echoed("b", 2);
  confirmation.confirm({"b", "c"}, start + Ms(150));
  EXPECT_FALSE(confirmation.confirmedAt().has_value()) << "c has echoed nothing";
  confirmation.echoed("c", 1);
  confirmation.confirm({"b", "c"}, start + Ms(150));
  EXPECT_EQ(confirmation.confirmedAt(), start);
  confirmation.echoed("c", 7);
  confirmation.confirm({"b", "c"}, start + Ms(160));
  EXPECT_EQ(confirmation.confirmedAt(), start) << "an unknown token confirms nothing";
  confirmation.withdraw();
  EXPECT_FALSE(confirmation.confirmedAt().has_value());
  confirmation.restart();
  confirmation.confirm({"b", "c"}, start + Ms(170));
  EXPECT_FALSE(confirmation.confirmedAt().has_value());
}

TEST(Replicator, CommitsOnceTheOwnDiskAndEveryBackupSyncedTheCurrentState) {
  Replicator replicator;
  replicator.localWriteBegan(7);
  replicator.transferBegan(30, {"b", "c"});
  EXPECT_FALSE(replicator.backupSynced("b", 29)) << "token of an earlier state";
  EXPECT_TRUE(replicator.backupSynced("b", 30));
  EXPECT_FALSE(replicator.backupSynced("b", 30)) << "twice";
  EXPECT_TRUE(replicator.localWriteEnded(7));
  EXPECT_FALSE(replicator.committed());
  EXPECT_TRUE(replicator.backupSynced("c", 30));
  EXPECT_TRUE(replicator.committed());
  replicator.localWriteBegan(8);
  EXPECT_FALSE(replicator.localWriteEnded(7));
  EXPECT_FALSE(replicator.committed());
}

class MembershipPlannerTest : public testing::Test {
 protected:
  MembershipPlannerTest() {
    detector.setSelf("a");
    std::vector<Member> members;
    for (std::string const id : {"b", "c", "d", "e"}) {
      members.push_back({id, "address-" + id, id == "b" ? "z0" : id == "c" ? "z1" : "z2"});
    }
    detector.updateMembers(start, members, [](std::string const&) { return true; });
    for (Member const& member : members) {
      detector.recordHeartbeat(start, member.id, {});
    }
  }

  MembershipPlanner planner(TimePoint now = start) const { return {options, detector, decided, self, now}; }

  ReplicationOptions options = optionsFor(1);
  FailureDetector detector;
  messages::EpochRecord decided{1, "fleet", "a", {"b"}, {"a", "b", "c"}};
  Member self{"a", "address-a", "z0"};
};

TEST_F(MembershipPlannerTest, SpreadsOverZonesFirstAndPrefersCurrentMembersNext) {
  EXPECT_EQ(planner().backupsFor("a"), std::vector<std::string>{"c"}) << "b is in the primary's zone";
  EXPECT_EQ(planner().witnessesFor("a", {"c"}), (std::vector<std::string>{"a", "c", "d"}));
  EXPECT_TRUE(planner().spreadWanted(planner().preferred()));
  EXPECT_FALSE(planner().repairWanted(planner().preferred()));
}

TEST_F(MembershipPlannerTest, ExcludesSilentUnhealthyAndWipedMembers) {
  messages::Heartbeat unhealthy;
  unhealthy.unhealthy = true;
  detector.recordHeartbeat(start, "c", unhealthy);
  EXPECT_EQ(planner().backupsFor("a"), std::vector<std::string>{"d"});
  EXPECT_TRUE(planner().repairWanted(planner().preferred())) << "d can replace the unhealthy witness c";
  EXPECT_FALSE(planner(start + options.lostMs + Ms(1)).canFormGroup()) << "no other member is alive";
  detector.updateMembers(start, {{"d-new", "address-d", "z2"}}, [](std::string const&) { return true; });
  detector.recordHeartbeat(start + Ms(10), "d-new", {});
  EXPECT_TRUE(detector.superseded(start + Ms(10), "d", options.lostMs));
  EXPECT_FALSE(detector.superseded(start + Ms(10), "d-new", options.lostMs));
}

TEST_F(MembershipPlannerTest, KeepsUnavailableWitnessesIfNoReplacementIsAlive) {
  messages::Heartbeat unhealthy;
  unhealthy.unhealthy = true;
  for (std::string const id : {"c", "d", "e"}) {
    detector.recordHeartbeat(start, id, unhealthy);
  }
  EXPECT_EQ(planner().witnessesFor("a", {"b"}), (std::vector<std::string>{"a", "b", "c"}));
  EXPECT_FALSE(planner().replacementAvailable({"a", "b", "c"}));
  EXPECT_FALSE(planner().repairWanted(planner().preferred()));
}

TEST(VoteMonitor, ReportsAMissingVoteAndItsReturnOnceEach) {
  VoteMonitor monitor;
  EXPECT_FALSE(monitor.witnessesChecked({}));
  std::optional<LogEntry> const missing = monitor.witnessesChecked({"h1"});
  ASSERT_TRUE(missing);
  EXPECT_EQ(missing->event, logging::Event::votesMissing);
  EXPECT_EQ(missing->about, "h1");
  EXPECT_FALSE(monitor.witnessesChecked({"h1"}));
  std::optional<LogEntry> const complete = monitor.witnessesChecked({});
  ASSERT_TRUE(complete);
  EXPECT_EQ(complete->event, logging::Event::votesComplete);
  EXPECT_FALSE(monitor.witnessesChecked({}));
}

TEST(VoteMonitor, NamesMissingVotersAtTheThirdLostBallotAndEvery20thAfterIt) {
  VoteMonitor monitor;
  EpochProposal proposal;
  proposal.voters = {"h0", "h1", "h2"};
  proposal.grantedBy = {"h0"};
  EXPECT_FALSE(monitor.ballotLost(proposal, 3, 2));
  EXPECT_FALSE(monitor.ballotLost(proposal, 3, 2));
  std::optional<LogEntry> const stalled = monitor.ballotLost(proposal, 3, 2);
  ASSERT_TRUE(stalled);
  EXPECT_EQ(stalled->event, logging::Event::epochChangeStalled);
  EXPECT_EQ(stalled->about, "3 votes 1 of 2 needed, none from h1 h2");
  std::size_t furtherReports = 0;
  for (int ballot = 0; ballot < 40; ++ballot) {
    furtherReports += monitor.ballotLost(proposal, 3, 2) ? 1 : 0;
  }
  EXPECT_EQ(furtherReports, 2u);
  monitor.epochDecided();
  EXPECT_FALSE(monitor.ballotLost(proposal, 4, 2));
}

}  // namespace
