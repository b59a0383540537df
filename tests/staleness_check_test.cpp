#include "limeramp/distribution/staleness_check.h"

#include <gtest/gtest.h>

#include <set>

namespace {

using namespace limeramp;
using distribution::StalenessCheck;
using distribution::TimePoint;
using Ms = std::chrono::milliseconds;

constexpr std::size_t nodes = 88;
constexpr std::size_t needed = nodes / 2;

std::vector<messages::RosterEntry> rosterOf(std::size_t count) {
  std::vector<messages::RosterEntry> roster;
  for (std::size_t number = 0; number < count; ++number) {
    roster.push_back({"n" + std::to_string(number), "10.0.0.1:" + std::to_string(number), "zone", number});
  }
  return roster;
}

struct CheckResult {
  std::size_t requests = 0;
  std::set<std::string> answered;
};

/// Calls due() every 20 ms for `time`. The first `silent` nodes of the roster never answer; the others answer within
/// 20 ms, and an answer is valid for `validFor`.
CheckResult runChecks(StalenessCheck& check, TimePoint from, Ms time, std::size_t silent, Ms validFor) {
  std::vector<messages::RosterEntry> const roster = rosterOf(nodes);
  std::map<std::string, TimePoint> answeredAt;
  CheckResult out;
  for (TimePoint now = from; now < from + time; now += Ms(20)) {
    std::vector<messages::RosterEntry> const due = check.due(now, roster, needed, [&](std::string const& node) {
      return answeredAt.contains(node) && now - answeredAt.at(node) < validFor;
    });
    for (messages::RosterEntry const& entry : due) {
      EXPECT_NE(entry.node, "n0");
      ++out.requests;
      if (entry.slot >= silent) {
        answeredAt[entry.node] = now;
        out.answered.insert(entry.node);
      }
    }
  }
  return out;
}

TEST(StalenessCheck, AsksOnlyAMajorityAndAReserve) {
  StalenessCheck check({}, "n0", 3);
  CheckResult const result = runChecks(check, TimePoint(std::chrono::hours(1)), Ms(600), 0, Ms(60'000));
  EXPECT_GE(result.answered.size(), needed);
  EXPECT_LE(result.requests, needed * 5 / 4);
}

TEST(StalenessCheck, AsksOtherNodesInPlaceOfSilentOnes) {
  StalenessCheck check({}, "n0", 3);
  CheckResult const result = runChecks(check, TimePoint(std::chrono::hours(1)), Ms(1500), nodes / 2 - 1, Ms(60'000));
  EXPECT_GE(result.answered.size(), needed);
}

TEST(StalenessCheck, KeepsAMajorityOfAnswersValidAtABoundedRate) {
  StalenessCheck check({}, "n0", 3);
  CheckResult const result = runChecks(check, TimePoint(std::chrono::hours(1)), Ms(10'000), 0, Ms(1000));
  EXPECT_LE(result.requests, 10 * needed * 5 / 4 + needed);
}

TEST(StalenessCheck, AsksNoNodeTwiceWithinTheRepeatInterval) {
  StalenessCheck check({}, "n0", 3);
  CheckResult const result = runChecks(check, TimePoint(std::chrono::hours(1)), Ms(900), nodes, Ms(1000));
  EXPECT_LE(result.requests, nodes - 1);
}

}  // namespace
