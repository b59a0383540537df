#include "limeramp/distribution/incarnations.h"

#include "limeramp/distribution/config_delivery.h"

#include <gtest/gtest.h>

/// Incarnation records are sent only to nodes that lack them, and a node that may lack one counts no confirmation.
namespace {

using namespace limeramp;
using distribution::IncarnationRecords;

IncarnationRecords recordsOf(std::vector<messages::IncarnationRecord> const& list) {
  IncarnationRecords records;
  records.merge(list);
  return records;
}

TEST(Incarnations, DigestDoesNotDependOnTheOrderOfRecords) {
  IncarnationRecords const one = recordsOf({{"a", 1, 1}, {"b", 2, 1}, {"a", 3, 2}});
  IncarnationRecords const other = recordsOf({{"a", 3, 2}, {"a", 1, 1}, {"b", 2, 1}});
  EXPECT_EQ(one.digest(), other.digest());
  EXPECT_NE(one.digest(), recordsOf({{"a", 1, 1}, {"b", 2, 1}}).digest());
  EXPECT_EQ(IncarnationRecords().digest(), IncarnationRecords::emptyDigest);
}

TEST(Incarnations, TwoIncarnationsOfOneRankAreBothRejected) {
  IncarnationRecords const records = recordsOf({{"a", 1, 1}, {"a", 2, 1}});
  EXPECT_FALSE(records.trusts("a", 1));
  EXPECT_FALSE(records.trusts("a", 2));
  EXPECT_TRUE(records.trusts("b", 1));
}

TEST(Incarnations, SendersSetIsKnownOnlyIfItsRecordsWereReceived) {
  IncarnationRecords const sender = recordsOf({{"a", 1, 1}});
  IncarnationRecords receiver;
  EXPECT_FALSE(receiver.learn(sender.digest(), {}));
  EXPECT_TRUE(receiver.learn(sender.digest(), sender.list()));
  EXPECT_TRUE(receiver.learn(sender.digest(), {}));
  EXPECT_TRUE(receiver.learn(IncarnationRecords::emptyDigest, {}));
  EXPECT_TRUE(receiver.learn(0, {}));
}

using distribution::ConfigDelivery;
using distribution::ConfigDeliveryStep;
using distribution::TimePoint;

constexpr char const* zoneOwnerAddress = "10.0.0.1:7080";
constexpr char const* primaryAddress = "10.0.0.9:7080";

messages::StateRequest pollOfFollower(std::uint64_t digest, std::vector<messages::IncarnationRecord> const& records) {
  messages::StateRequest poll;
  poll.token = 1;
  poll.self = {"follower", "10.0.0.2:7080", "zone", 4, 9};
  poll.peerStatuses.push_back({"follower", 22, false, records});
  poll.incarnationsDigest = digest;
  return poll;
}

messages::StateRequest const* reportTo(ConfigDeliveryStep const& step, std::string const& address) {
  for (distribution::Outgoing const& outgoing : step.sends) {
    if (outgoing.address == address) {
      return std::get_if<messages::StateRequest>(&outgoing.message);
    }
  }
  return nullptr;
}

TEST(Incarnations, ZoneOwnerReportsNoConfirmationIfItLacksAFollowersRecords) {
  ConfigDelivery zoneOwner({}, {"home", zoneOwnerAddress, "zone", 0, 0}, 11, 5);
  TimePoint now{std::chrono::hours(1)};
  std::vector<messages::Peer> const peers{{"primary", primaryAddress, "zone", messages::controllerRole, 9, 0}};
  IncarnationRecords const sender = recordsOf({{"other", 1, 1}});
  zoneOwner.tick(now, peers);
  zoneOwner.onMessage(now, "10.0.0.2:7080", pollOfFollower(sender.digest(), {}));
  now += std::chrono::seconds(1);
  messages::StateRequest const* report = nullptr;
  ConfigDeliveryStep const first = zoneOwner.tick(now, peers);
  report = reportTo(first, primaryAddress);
  ASSERT_NE(report, nullptr);
  ASSERT_EQ(report->followers.size(), 1u);
  EXPECT_EQ(report->followers.front().sequence, 0u);
  zoneOwner.onMessage(now, "10.0.0.2:7080", pollOfFollower(sender.digest(), sender.list()));
  now += std::chrono::seconds(1);
  ConfigDeliveryStep const second = zoneOwner.tick(now, peers);
  report = reportTo(second, primaryAddress);
  ASSERT_NE(report, nullptr);
  ASSERT_EQ(report->followers.size(), 1u);
  EXPECT_EQ(report->followers.front().sequence, 9u);
}

}  // namespace
