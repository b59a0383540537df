#include "node_tracker.h"

#include <gtest/gtest.h>

namespace {

using namespace limeramp;
using control::NodeTracker;
using control::StateVersion;
using control::TimePoint;

constexpr std::uint64_t epoch = 3;
StateVersion const publishedVersion{epoch, 7};

messages::Follower followerAt(std::string const& address, StateVersion const& version) {
  return {"node", address, "zone", version.epoch, version.sequence};
}

messages::PeerStatus startedAs(std::uint64_t boot) { return {"node", boot, false, {}}; }

TEST(NodeTracker, RestartDiscardsConfirmationsOfTheEarlierStart) {
  NodeTracker tracker{control::ConfigServiceOptions{}};
  TimePoint const now{std::chrono::hours(1)};
  tracker.report(now, followerAt("10.0.0.1:7080", publishedVersion), startedAs(11), true);
  ASSERT_TRUE(tracker.confirmed("node", publishedVersion, epoch));
  tracker.report(now, followerAt("10.0.0.1:7080", {0, 0}), startedAs(12), true);
  EXPECT_FALSE(tracker.confirmed("node", publishedVersion, epoch));
}

TEST(NodeTracker, AddressChangeDiscardsEarlierConfirmations) {
  NodeTracker tracker{control::ConfigServiceOptions{}};
  TimePoint const now{std::chrono::hours(1)};
  tracker.report(now, followerAt("10.0.0.1:7080", publishedVersion), startedAs(11), true);
  tracker.report(now + std::chrono::seconds(5), followerAt("10.0.0.2:7080", {0, 0}), startedAs(11), true);
  EXPECT_FALSE(tracker.confirmed("node", publishedVersion, epoch));
}

TEST(NodeTracker, SecondAddressOfOneNameIsRejectedWhileTheFirstIsAlive) {
  NodeTracker tracker{control::ConfigServiceOptions{}};
  TimePoint const now{std::chrono::hours(1)};
  ASSERT_TRUE(tracker.report(now, followerAt("10.0.0.1:7080", {0, 0}), startedAs(11), true));
  EXPECT_FALSE(tracker.report(now, followerAt("10.0.0.2:7080", publishedVersion), startedAs(12), true));
  EXPECT_FALSE(tracker.confirmed("node", publishedVersion, epoch));
  EXPECT_EQ(tracker.find("node")->follower.address, "10.0.0.1:7080");
}

}  // namespace
