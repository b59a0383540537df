#include "limeramp/replication/replication_group.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace {

using namespace limeramp;
using replication::ReplicationGroup;
using replication::TimePoint;
using Ms = std::chrono::milliseconds;

std::vector<replication::Member> threeMembers() {
  return {{"a", "10.0.0.1:1", "z1"}, {"b", "10.0.0.2:1", "z2"}, {"c", "10.0.0.3:1", "z3"}};
}

ReplicationGroup startedMember(TimePoint now, std::uint64_t seed) {
  ReplicationGroup group(replication::policyFor(1));
  group.step(now, replication::Start{threeMembers()[0], {}, seed, false, {"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}});
  group.step(now, replication::Known{threeMembers(), true});
  group.step(now, replication::Received{"b", "10.0.0.2:1", messages::Heartbeat{{}, 7, 0, false, 0}});
  return group;
}

TEST(ReplicationGroupDigest, ACopyIsEqualAndGoesItsOwnWay) {
  TimePoint const now{std::chrono::hours(1)};
  ReplicationGroup original = startedMember(now, 1);
  ReplicationGroup copy = original;
  EXPECT_EQ(copy.digest(now), original.digest(now));
  std::vector<replication::Effect> const effects = copy.step(now + Ms(400), replication::Tick{});
  EXPECT_FALSE(effects.empty());
  EXPECT_NE(copy.digest(now + Ms(400)), original.digest(now + Ms(400)));
  EXPECT_EQ(original.step(now + Ms(400), replication::Tick{}).size(), effects.size());
  EXPECT_EQ(copy.digest(now + Ms(400)), original.digest(now + Ms(400)));
}

TEST(ReplicationGroupDigest, CountsTimesFromNow) {
  TimePoint const early{std::chrono::hours(1)};
  TimePoint const late{std::chrono::hours(50)};
  EXPECT_EQ(startedMember(early, 1).digest(early), startedMember(late, 1).digest(late));
  EXPECT_NE(startedMember(early, 1).digest(early), startedMember(early, 1).digest(early + Ms(100)));
}

}  // namespace
