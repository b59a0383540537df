// Orders whose evaluation lasts longer than their deadline, a take-over, a shutdown or a leadership.
#include "simulator/operator_simulation.h"

#include <gtest/gtest.h>

namespace {

using namespace limeramp;
using namespace limeramp::simulator;

constexpr std::size_t controllers = 3;
constexpr std::size_t gateways = 2;
constexpr std::size_t zones = 3;
constexpr std::uint64_t seeds = 10;
constexpr Ms callMs{900};
/// Longer than the rest of any of these tests.
constexpr Ms longEvaluation{60'000};

control::Change orderOn(std::uint64_t base, std::uint64_t revision, std::string const& service) {
  std::string const body = R"({"revision":)" + std::to_string(revision) + R"(,"services":{")" + service + R"(":{}}})";
  return {0, "on" + std::to_string(base) + body, {}, false, body, {}, base, {}};
}

/// A fleet without faults, with revision 4 in force.
class OrderEvaluation : public testing::TestWithParam<std::uint64_t> {
 protected:
  void SetUp() override {
    fleet.startAll();
    ASSERT_EQ(operators.retryUntilDecided(orderOn(0, 4, "first"), Ms(15'000)), Reply::taken);
    fleet.run(Ms(1500));
    ASSERT_TRUE(fleet.primary());
    primary = *fleet.primary();
  }

  std::uint64_t submit(control::Change order, Ms wait) {
    order.ticket = fleet.nextTicket();
    order.deadline = fleet.network.now() + wait;
    fleet.submit(primary, order);
    return order.ticket;
  }

  std::optional<control::OrderStatus> answerTo(std::uint64_t ticket) const {
    std::map<std::uint64_t, Answered>::const_iterator const found = fleet.answers.find(ticket);
    return found == fleet.answers.end() ? std::nullopt : std::optional(found->second.decided.verdict);
  }

  messages::State const& published() const { return fleet.machines[primary].controller->configService->published(); }
  bool leads() const { return fleet.primary() == std::optional(primary); }

  FleetSimulation fleet{GetParam(), controllers, gateways, zones};
  OperatorSimulation operators{fleet};
  std::size_t primary = 0;
};

// Guards against a long evaluation that delays the primary's heartbeats until a backup takes over.
TEST_P(OrderEvaluation, LongerThanATakeoverKeepsTheLeadershipAndServesReads) {
  std::uint64_t const epoch = published().epoch;
  fleet.evaluationTime = Ms(4000);
  std::uint64_t const ticket = submit(orderOn(4, 6, "second"), Ms(8000));
  fleet.run(Ms(2500));
  EXPECT_EQ(answerTo(ticket), std::nullopt);
  std::uint64_t const read = fleet.read(primary, callMs);
  fleet.run(callMs);
  ASSERT_TRUE(fleet.readBacks.contains(read));
  EXPECT_EQ(fleet.readBacks.at(read).revision, 4U);
  fleet.run(Ms(3000));
  EXPECT_EQ(answerTo(ticket), control::OrderStatus::taken);
  EXPECT_EQ(published().revision, 6U);
  EXPECT_EQ(published().epoch, epoch);
}

// Guards against an evaluation that is discarded at the deadline: each repetition would start it anew, and the change
// would never be taken.
TEST_P(OrderEvaluation, LongerThanTheDeadlineIsAnsweredInTimeAndTheChangeIsTaken) {
  constexpr Ms evaluationTime{2000};
  fleet.evaluationTime = evaluationTime;
  control::Change const order = orderOn(4, 6, "second");
  std::uint64_t const ticket = submit(order, callMs);
  fleet.run(callMs + Ms(60));
  EXPECT_EQ(answerTo(ticket), control::OrderStatus::unknown);
  std::uint64_t const repetition = submit(order, Ms(8000));
  fleet.run(evaluationTime);
  EXPECT_EQ(published().revision, 6U) << "taken by the first order: the repetition is still being evaluated";
  fleet.run(2 * evaluationTime);
  EXPECT_EQ(answerTo(repetition), control::OrderStatus::taken);
  EXPECT_EQ(fleet.violations, std::vector<std::string>{});
}

TEST_P(OrderEvaluation, LongerThanTheDeadlineOfAnInvalidChangeChangesNothing) {
  fleet.evaluationTime = Ms(2000);
  std::uint64_t const ticket = submit(orderOn(4, 3, "stale"), callMs);
  fleet.run(callMs + Ms(60));
  EXPECT_EQ(answerTo(ticket), control::OrderStatus::unknown);
  fleet.run(Ms(2000));
  EXPECT_EQ(published().revision, 4U);
  fleet.evaluationTime = Ms(0);
  EXPECT_EQ(operators.retryUntilDecided(orderOn(4, 7, "third"), Ms(5000)), Reply::taken);
}

TEST_P(OrderEvaluation, QueuedOrdersWaitForItAndAreTakenInOrder) {
  fleet.evaluationTime = Ms(300);
  std::uint64_t const second = submit(orderOn(4, 6, "second"), Ms(5000));
  std::uint64_t const third = submit(orderOn(6, 8, "third"), Ms(5000));
  fleet.run(Ms(250));
  EXPECT_EQ(fleet.machines[primary].controller->configService->pending(), 2U);
  fleet.run(Ms(3000));
  EXPECT_EQ(answerTo(second), control::OrderStatus::taken);
  EXPECT_EQ(answerTo(third), control::OrderStatus::taken);
  EXPECT_EQ(published().revision, 8U);
}

TEST_P(OrderEvaluation, IsCancelledByAShutdownOfItsPrimary) {
  fleet.evaluationTime = longEvaluation;
  std::uint64_t const ticket = submit(orderOn(4, 6, "second"), callMs);
  fleet.run(Ms(10));
  fleet.beginShutdown(primary);
  EXPECT_EQ(answerTo(ticket), control::OrderStatus::notRun);
}

// The evaluating primary loses the leadership, another primary takes a change, and the first one leads again before its
// evaluation has ended. The result must not overwrite the later change.
TEST_P(OrderEvaluation, ResultOfAnEarlierLeadershipIsDropped) {
  constexpr Ms evaluationTime{30'000};
  fleet.evaluationTime = evaluationTime;
  TimePoint const begun = fleet.network.now();
  std::uint64_t const ticket = submit(orderOn(4, 6, "second"), evaluationTime + Ms(5000));
  fleet.run(Ms(10));
  fleet.split({primary});
  fleet.run(Ms(4000));
  fleet.healLinks();
  fleet.evaluationTime = Ms(0);
  EXPECT_EQ(operators.retryUntilDecided(orderOn(4, 7, "third"), Ms(8000)), Reply::taken);
  fleet.run(Ms(1500));
  EXPECT_EQ(answerTo(ticket), control::OrderStatus::notRun);
  while (!leads() && fleet.network.now() < begun + evaluationTime - Ms(6000)) {
    if (std::optional<std::size_t> const other = fleet.primary()) {
      fleet.split({*other});
      fleet.run(Ms(3000));
      fleet.healLinks();
    }
    fleet.run(Ms(500));
  }
  ASSERT_TRUE(leads());
  fleet.network.runUntil(begun + evaluationTime + Ms(2000));
  EXPECT_EQ(published().revision, 7U);
  EXPECT_EQ(operators.retryUntilDecided(orderOn(7, 9, "fourth"), Ms(5000)), Reply::taken);
  EXPECT_EQ(operators.checkInvariants(), std::vector<std::string>{});
  EXPECT_EQ(fleet.violations, std::vector<std::string>{});
}

INSTANTIATE_TEST_SUITE_P(Seeds, OrderEvaluation, testing::Range<std::uint64_t>(1, seeds + 1));

}  // namespace
