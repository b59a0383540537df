#include "drydock/roads.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace {

using namespace limeramp;
using namespace limeramp::drydock;

std::string bodyOf(std::uint64_t number) {
  return "{\"services\":{\"a\":{\"capacity\":" + std::to_string(number + 1) + "}}}";
}

bool settle(Roads& roads, std::uint64_t ticket) {
  for (int round = 0; round < 400 && !roads.answers.contains(ticket); ++round) {
    roads.run(Ms(25));
  }
  return roads.answers.contains(ticket);
}

harbour::Verdict verdictOf(Roads& roads, std::optional<std::uint64_t> ticket) {
  if (!ticket || !settle(roads, *ticket)) {
    return harbour::Verdict::notRun;
  }
  return roads.answers.at(*ticket).decided.verdict;
}

harbour::Verdict insist(Roads& roads, std::string const& id, std::uint64_t number) {
  harbour::Verdict verdict = harbour::Verdict::notRun;
  for (int round = 0; round < 60 && verdict != harbour::Verdict::taken; ++round) {
    verdict = verdictOf(roads, roads.change(id, bodyOf(number)));
    roads.run(Ms(200));
  }
  return verdict;
}

TEST(Delivery, AChangeIsEverywhereWhenItIsAcknowledged) {
  Roads roads(3, 3, 8, 3);
  roads.startAll();
  ASSERT_EQ(insist(roads, "first", 1), harbour::Verdict::taken);
  ASSERT_TRUE(roads.awaitServing(8, Ms(10'000)));
  std::optional<std::uint64_t> const ticket = roads.change("second", bodyOf(2));
  TimePoint const asked = roads.sea.now();
  ASSERT_EQ(verdictOf(roads, ticket), harbour::Verdict::taken);
  EXPECT_LT(roads.answers.at(*ticket).at - asked, Ms(1000));
  for (Machine const& machine : roads.machines) {
    if (machine.quay) {
      EXPECT_EQ(machine.quay->version, roads.newestAcknowledged());
    }
  }
}

TEST(Delivery, OfTwoOperatorsOnOneVersionExactlyOneWinsInEveryOrder) {
  for (bool const swapped : {false, true}) {
    for (int gapMs = 0; gapMs <= 40; gapMs += 4) {
      Roads roads(70 + static_cast<std::uint64_t>(gapMs), 3, 4, 2);
      roads.startAll();
      ASSERT_EQ(insist(roads, "first", 1), harbour::Verdict::taken);
      manifest::Version const base = roads.newestAcknowledged();
      std::optional<std::uint64_t> const one = roads.change(swapped ? "b" : "a", R"({"services":{"x":{}}})", base, true);
      roads.run(Ms(gapMs));
      std::optional<std::uint64_t> const two = roads.change(swapped ? "a" : "b", R"({"services":{"never":{}}})", base, true);
      EXPECT_EQ(verdictOf(roads, one), harbour::Verdict::taken);
      EXPECT_EQ(verdictOf(roads, two), harbour::Verdict::conflict);
      roads.run(Ms(2000));
      for (Machine const& machine : roads.machines) {
        if (machine.quay) {
          EXPECT_EQ(machine.quay->courier->state()->document.find("never"), std::string::npos);
        }
      }
    }
  }
}

TEST(Delivery, ARepeatedChangeTakesEffectOnceAndIsToldAgain) {
  Roads roads(5, 3, 4, 2);
  roads.startAll();
  ASSERT_EQ(insist(roads, "first", 1), harbour::Verdict::taken);
  manifest::Version const before = roads.newestAcknowledged();
  std::optional<std::uint64_t> const again = roads.change("first", bodyOf(1));
  EXPECT_EQ(verdictOf(roads, again), harbour::Verdict::taken);
  EXPECT_EQ(roads.answers.at(*again).decided.version, before);
  EXPECT_EQ(verdictOf(roads, roads.change("first", bodyOf(9))), harbour::Verdict::refused);
}

TEST(Delivery, LossOfTheControlGroupAloneStopsNobody) {
  Roads roads(6, 3, 8, 3);
  roads.startAll();
  ASSERT_EQ(insist(roads, "first", 1), harbour::Verdict::taken);
  ASSERT_TRUE(roads.awaitServing(8, Ms(10'000)));
  for (std::size_t index = 0; index < 3; ++index) {
    roads.kill(index);
  }
  for (int round = 0; round < 600; ++round) {
    roads.run(Ms(100));
    ASSERT_EQ(roads.serving(), 8u) << round;
  }
  EXPECT_GT(roads.upheld, 0u);
  for (std::size_t index = 0; index < 3; ++index) {
    roads.start(index);
  }
  EXPECT_EQ(insist(roads, "second", 2), harbour::Verdict::taken);
  EXPECT_TRUE(roads.complaints.empty());
}

TEST(Delivery, ACutOffNodeStopsBeforeAnythingIsAcknowledgedWithoutIt) {
  for (std::size_t cutCount = 1; cutCount <= 8; ++cutCount) {
    Roads roads(80 + cutCount, 3, 8, 3);
    roads.startAll();
    ASSERT_EQ(insist(roads, "first", 1), harbour::Verdict::taken);
    ASSERT_TRUE(roads.awaitServing(8, Ms(10'000)));
    std::set<std::size_t> side;
    for (std::size_t index = 0; index < cutCount; ++index) {
      side.insert(3 + index);
    }
    roads.split(side);
    harbour::Verdict const verdict = verdictOf(roads, roads.change("second", bodyOf(2)));
    roads.run(Ms(6000));
    EXPECT_EQ(verdict, cutCount < 4 ? harbour::Verdict::taken : harbour::Verdict::unknown) << cutCount;
    std::size_t here = 0;
    for (std::size_t const index : side) {
      here += roads.serves(index) ? 1 : 0;
    }
    EXPECT_EQ(here, cutCount > 4 ? cutCount : 0u) << cutCount;
    roads.mendAll();
    EXPECT_EQ(insist(roads, "second", 2), harbour::Verdict::taken);
    EXPECT_TRUE(roads.awaitServing(8, Ms(5000)));
    EXPECT_EQ(roads.complaints, std::vector<std::string>{}) << cutCount;
  }
}

TEST(Delivery, ANodeThatForgotDoesNotUpholdOneThatWasCutOff) {
  Roads roads(9, 3, 3, 1);
  roads.startAll();
  ASSERT_EQ(insist(roads, "first", 1), harbour::Verdict::taken);
  ASSERT_TRUE(roads.awaitServing(3, Ms(10'000)));
  std::size_t const cutOff = 3;
  std::size_t const forgetful = 4;
  roads.split({cutOff});
  ASSERT_EQ(verdictOf(roads, roads.change("second", bodyOf(2))), harbour::Verdict::taken);
  roads.kill(forgetful);
  roads.run(Ms(100));
  roads.mendAll();
  roads.split({cutOff, forgetful});
  roads.start(forgetful);
  for (int round = 0; round < 200; ++round) {
    roads.run(Ms(50));
    EXPECT_FALSE(round > 40 && roads.serves(forgetful));
  }
  EXPECT_EQ(roads.machines[forgetful].quay->version, roads.machines[cutOff].quay->version);
  EXPECT_FALSE(roads.serves(cutOff));
  EXPECT_EQ(roads.complaints, std::vector<std::string>{});
}

TEST(Delivery, AHomeThatDiesOrFreezesIsReplaced) {
  for (std::size_t victim = 3; victim < 11; ++victim) {
    for (bool const frozen : {false, true}) {
      Roads roads(victim, 3, 8, 2);
      roads.startAll();
      ASSERT_EQ(insist(roads, "first", 1), harbour::Verdict::taken);
      ASSERT_TRUE(roads.awaitServing(8, Ms(10'000)));
      if (frozen) {
        roads.freeze(victim);
      } else {
        roads.kill(victim);
      }
      std::size_t worst = 8;
      for (int round = 0; round < 100; ++round) {
        roads.run(Ms(50));
        worst = std::min(worst, roads.serving());
      }
      EXPECT_EQ(worst, 7u) << victim;
      EXPECT_EQ(verdictOf(roads, roads.change("second", bodyOf(2))), harbour::Verdict::taken);
      roads.run(Ms(4000));
      if (frozen) {
        roads.thaw(victim);
      } else {
        roads.start(victim);
      }
      EXPECT_TRUE(roads.awaitServing(8, Ms(5000)));
      EXPECT_TRUE(roads.complaints.empty());
    }
  }
}

TEST(Delivery, SeededStormsNeverServeAnOldConfiguration) {
  std::size_t taken = 0;
  std::size_t unknown = 0;
  std::size_t upheld = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    std::size_t const masters = 3 + seed % 2;
    Roads roads(seed, masters, 7, 3);
    roads.startAll();
    ASSERT_EQ(insist(roads, "first", 1), harbour::Verdict::taken) << seed;
    std::vector<std::uint64_t> tickets;
    for (int round = 0; round < 250; ++round) {
      roads.run(Ms(20 + static_cast<long>(roads.sea.roll(120))));
      if (round % 3 == 0) {
        std::optional<std::uint64_t> const ticket =
            roads.change("c" + std::to_string(round), bodyOf(static_cast<std::uint64_t>(round)));
        if (ticket) {
          tickets.push_back(*ticket);
        }
      }
      std::size_t const index = roads.sea.roll(roads.machines.size());
      Machine& machine = roads.machines[index];
      switch (roads.sea.roll(16)) {
        case 0:
          if (machine.up) {
            roads.kill(index);
          }
          break;
        case 1:
        case 2:
        case 3:
          if (!machine.up) {
            roads.start(index);
          }
          break;
        case 4:
          if (machine.up) {
            roads.freeze(index);
          }
          break;
        case 5:
        case 6:
          roads.thaw(index);
          break;
        case 7:
          roads.cut(index, roads.sea.roll(roads.machines.size()));
          break;
        case 8: {
          std::set<std::size_t> side;
          for (std::size_t other = 0; other < roads.machines.size(); ++other) {
            if (roads.sea.chance(0.4)) {
              side.insert(other);
            }
          }
          roads.split(side);
          break;
        }
        case 9:
        case 10:
          roads.mendAll();
          break;
        default:
          break;
      }
    }
    roads.mendAll();
    for (std::size_t index = 0; index < roads.machines.size(); ++index) {
      if (!roads.machines[index].up) {
        roads.start(index);
      }
      roads.thaw(index);
    }
    EXPECT_EQ(insist(roads, "last", 7), harbour::Verdict::taken) << seed;
    EXPECT_TRUE(roads.awaitServing(7, Ms(10'000))) << seed;
    EXPECT_EQ(roads.complaints, std::vector<std::string>{}) << "seed " << seed;
    for (std::uint64_t const ticket : tickets) {
      if (roads.answers.contains(ticket)) {
        taken += roads.answers.at(ticket).decided.verdict == harbour::Verdict::taken ? 1 : 0;
        unknown += roads.answers.at(ticket).decided.verdict == harbour::Verdict::unknown ? 1 : 0;
      }
    }
    upheld += roads.upheld;
  }
  std::printf("seeds 1 to 60: %zu changes taken, %zu unknown, %zu looks at upheld nodes\n", taken, unknown, upheld);
  EXPECT_GT(taken, 500u);
  EXPECT_GT(unknown, 50u);
}

}
