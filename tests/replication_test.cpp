#include "simulator/replication_simulation.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace {

using namespace limeramp;
using namespace limeramp::simulator;

void expectNextCommit(ReplicationSimulation& group, std::string const& when) {
  std::size_t const before = group.commits;
  for (int round = 0; round < 400 && group.commits == before; ++round) {
    group.run(Ms(25));
    group.proposeChange();
  }
  std::string memberStates;
  for (SimulatedMember const& node : group.nodes) {
    messages::EpochRecord const& decided = node.group.decided();
    memberStates += "\n" + node.id + (node.up ? " up" : " down") + (node.frozen ? " frozen" : "") +
                    (node.group.unhealthy() ? " unhealthy" : "") + " epoch " + std::to_string(decided.epoch) +
                    " fenced " + std::to_string(node.group.fenced()) + " primary " + decided.primary + " backup " +
                    (decided.backups.empty() ? "" : decided.backups.front()) + " witnesses";
    for (std::string const& witness : decided.witnesses) {
      memberStates += " " + witness;
    }
  }
  EXPECT_GT(group.commits, before) << when << memberStates;
}

std::size_t waitForPrimary(ReplicationSimulation& group) {
  for (int round = 0; round < 400 && !group.active(); ++round) {
    group.run(Ms(25));
  }
  EXPECT_TRUE(group.active().has_value());
  return group.active().value_or(0);
}

void startAll(ReplicationSimulation& group) {
  for (std::size_t index = 0; index < group.nodes.size(); ++index) {
    group.start(index);
  }
}

TEST(Founding, ThreeOrMoreSeedsFoundOneGroupButTwoOfThreeDoNot) {
  ReplicationSimulation twoStarted(5, 3, 0);
  twoStarted.start(0);
  twoStarted.start(1);
  twoStarted.run(Ms(20'000));
  EXPECT_FALSE(twoStarted.active().has_value());
  for (std::size_t const count : {3u, 4u, 5u, 8u, 16u}) {
    ReplicationSimulation group(5 + count, count, 0.1);
    startAll(group);
    expectNextCommit(group, "after founding");
    EXPECT_EQ(group.fleets.size(), 1u);
    EXPECT_TRUE(group.violations.empty());
  }
}

TEST(Founding, CutsAndLostDisksNeverLeadToTwoGroups) {
  std::size_t founded = 0;
  for (std::uint64_t seed = 1; seed <= 400; ++seed) {
    ReplicationSimulation group(seed, 3 + seed % 6, 0.1);
    for (std::size_t index = 0; index < group.nodes.size(); ++index) {
      group.start(index);
      group.run(Ms(static_cast<long>(group.network.roll(300))));
    }
    for (int round = 0; round < 60; ++round) {
      std::size_t const index = group.network.roll(group.nodes.size());
      switch (group.network.roll(6)) {
        case 0:
          group.cut(index, group.network.roll(group.nodes.size()));
          break;
        case 1:
          group.healLinks();
          break;
        case 2:
          group.kill(index, true);
          group.start(index);
          break;
        case 3:
          if (seed % 2 == 0 && group.nodes[index].mayFound && group.network.chance(0.1)) {
            group.wipeInPlace(index);
            group.start(index);
          }
          break;
        case 4:
          group.freeze(index);
          break;
        default:
          group.thaw(index);
          break;
      }
      group.run(Ms(static_cast<long>(group.network.roll(200))));
    }
    for (std::size_t index = 0; index < group.nodes.size(); ++index) {
      group.thaw(index);
    }
    group.healLinks();
    group.run(Ms(20'000));
    std::set<std::string> fleets;
    for (SimulatedMember const& node : group.nodes) {
      fleets.insert(node.group.decided().fleet);
    }
    fleets.erase("");
    EXPECT_LE(fleets.size(), 1u) << "seed " << seed;
    EXPECT_LE(group.fleets.size(), 1u) << "seed " << seed;
    EXPECT_EQ(group.violations, std::vector<std::string>{}) << "seed " << seed;
    founded += group.fleets.size();
  }
  std::printf("seeds 1 to 400: %zu founded\n", founded);
  EXPECT_GT(founded, 300u);
}

TEST(Founding, OnlyTheSideOfACutWithMostSeedsFounds) {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    ReplicationSimulation group(seed, 9, 0.02);
    std::size_t const loneSeed = seed % 3;
    for (std::size_t left = 0; left < 9; ++left) {
      for (std::size_t right = 0; right < 9; ++right) {
        bool const leftSide = left == loneSeed || left >= 6;
        bool const rightSide = right == loneSeed || right >= 6;
        if (leftSide != rightSide) {
          group.cut(left, right);
        }
      }
    }
    startAll(group);
    group.run(Ms(10'000));
    EXPECT_EQ(group.fleets.size(), 1u) << seed;
    EXPECT_EQ(group.nodes[loneSeed].group.decided().epoch, 0u) << seed;
    group.healLinks();
    expectNextCommit(group, "after the cut");
    group.run(Ms(5'000));
    EXPECT_EQ(group.nodes[loneSeed].group.decided().fleet, *group.fleets.begin()) << seed;
    EXPECT_EQ(group.fleets.size(), 1u) << seed;
  }
}

TEST(Founding, MachinesThatLostTheirDisksNeverVoteForANewGroup) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    ReplicationSimulation group(seed, 4, 0);
    startAll(group);
    expectNextCommit(group, "after founding");
    std::string const fleet = *group.fleets.begin();
    for (std::size_t index = 0; index < group.nodes.size(); ++index) {
      group.wipeInPlace(index);
    }
    startAll(group);
    group.run(Ms(20'000));
    EXPECT_FALSE(group.active().has_value()) << seed;
    EXPECT_EQ(group.fleets.size(), 1u) << seed;
  }
}

TEST(Founding, ASeedThatMayNotFoundDoesNotDelayTheOthers) {
  for (std::size_t memberIndex = 0; memberIndex < 3; ++memberIndex) {
    ReplicationSimulation group(7, 4, 0);
    group.nodes[memberIndex].mayFound = false;
    startAll(group);
    expectNextCommit(group, "with one seed that may not found");
    EXPECT_LT(group.network.now() - TimePoint(std::chrono::hours(1)), Ms(5000)) << memberIndex;
  }
}

TEST(Founding, TwoSeedsFoundAGroupButASingleSeedDoesNot) {
  ReplicationSimulation twoSeeds(5, 2, 0);
  startAll(twoSeeds);
  expectNextCommit(twoSeeds, "with two seeds");
  EXPECT_EQ(twoSeeds.fleets.size(), 1u);
  ReplicationSimulation loneSeed(5, 1, 0);
  startAll(loneSeed);
  loneSeed.run(Ms(20'000));
  EXPECT_FALSE(loneSeed.active().has_value()) << "a single seed cannot tolerate the loss of its disk";
}

TEST(ReplicationGroup, APrimaryKilledAtAnyStepOfAWriteLosesNoAcknowledgedChange) {
  for (std::uint64_t stepUs = 0; stepUs < 12'000; stepUs += 250) {
    for (bool const powerLoss : {false, true}) {
      ReplicationSimulation group(100 + stepUs, 3, 0);
      startAll(group);
      expectNextCommit(group, "after founding");
      std::size_t const primary = waitForPrimary(group);
      group.proposeChange();
      group.network.runUntil(group.network.now() + std::chrono::microseconds(stepUs));
      group.kill(primary, powerLoss);
      expectNextCommit(group, "after the kill at " + std::to_string(stepUs));
      group.start(primary);
      group.run(Ms(3000));
      expectNextCommit(group, "after the return");
      EXPECT_EQ(group.violations, std::vector<std::string>{}) << stepUs;
    }
  }
}

TEST(ReplicationGroup, CommitsAfterThePrimaryRestartsAtAnyStepOfAWrite) {
  for (std::uint64_t stepUs = 0; stepUs < 12'000; stepUs += 250) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
      ReplicationSimulation group(seed, 3, 0);
      startAll(group);
      expectNextCommit(group, "after founding");
      std::size_t const primary = waitForPrimary(group);
      group.proposeChange();
      group.network.runUntil(group.network.now() + std::chrono::microseconds(stepUs));
      group.kill(primary, true);
      group.start(primary);
      expectNextCommit(group, "after the restart at " + std::to_string(stepUs));
      EXPECT_EQ(group.violations, std::vector<std::string>{}) << stepUs;
    }
  }
}

std::size_t indexOf(ReplicationSimulation& group, std::string const& id) {
  for (std::size_t index = 0; index < group.nodes.size(); ++index) {
    if (group.nodes[index].id == id) {
      return index;
    }
  }
  return group.nodes.size();
}

TEST(ShuttingDown, APrimaryToldToShutDownHandsOverWithoutATakeoverTimeout) {
  Ms longestWithWarning{0};
  Ms shortestWithoutWarning{1'000'000};
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    for (bool const warned : {true, false}) {
      ReplicationSimulation group(seed, 3 + seed % 2, 0.01);
      startAll(group);
      expectNextCommit(group, "after founding");
      std::size_t const primary = waitForPrimary(group);
      if (warned) {
        group.beginShutdown(primary);
        for (int round = 0; round < 200 && !group.nodes[primary].group.mayShutDown(); ++round) {
          group.run(Ms(10));
        }
        EXPECT_TRUE(group.nodes[primary].group.mayShutDown()) << seed;
      }
      TimePoint const endedAt = group.network.now();
      group.kill(primary, false);
      std::size_t const before = group.commits;
      while (group.commits == before && group.network.now() - endedAt < Ms(20'000)) {
        group.run(Ms(10));
        group.proposeChange();
      }
      Ms const outage = std::chrono::duration_cast<Ms>(group.network.now() - endedAt);
      (warned ? longestWithWarning : shortestWithoutWarning) =
          warned ? std::max(longestWithWarning, outage) : std::min(shortestWithoutWarning, outage);
      group.start(primary);
      group.run(Ms(2000));
      expectNextCommit(group, "after the return");
      EXPECT_EQ(group.violations, std::vector<std::string>{}) << seed;
    }
  }
  std::printf("seeds 1 to 40: first change %ld ms at most after an announced shutdown, %ld ms at least after a kill\n",
              static_cast<long>(longestWithWarning.count()), static_cast<long>(shortestWithoutWarning.count()));
  EXPECT_LT(longestWithWarning, Ms(700));
  EXPECT_GT(shortestWithoutWarning, Ms(1200));
}

TEST(ShuttingDown, APrimaryKilledAtAnyStepOfItsHandoverLosesNoAcknowledgedChange) {
  for (std::uint64_t stepUs = 0; stepUs < 60'000; stepUs += 500) {
    ReplicationSimulation group(500 + stepUs, 3, 0);
    startAll(group);
    expectNextCommit(group, "after founding");
    std::size_t const primary = waitForPrimary(group);
    group.proposeChange();
    group.beginShutdown(primary);
    group.network.runUntil(group.network.now() + std::chrono::microseconds(stepUs));
    group.kill(primary, stepUs % 1000 == 0);
    expectNextCommit(group, "after the kill during the handover at " + std::to_string(stepUs));
    group.start(primary);
    group.run(Ms(3000));
    expectNextCommit(group, "after the return");
    EXPECT_EQ(group.violations, std::vector<std::string>{}) << stepUs;
  }
}

// Shuts the member `index` down, waits up to 6 s until it may end, and removes it for good with its disk and address.
Ms shutDownAndWipe(ReplicationSimulation& group, std::size_t index) {
  TimePoint const requestedAt = group.network.now();
  group.beginShutdown(index);
  while (!group.nodes[index].group.mayShutDown() && group.network.now() - requestedAt < Ms(6000)) {
    group.run(Ms(10));
    group.proposeChange();
  }
  EXPECT_TRUE(group.nodes[index].group.mayShutDown());
  group.wipe(index);
  return std::chrono::duration_cast<Ms>(group.network.now() - requestedAt);
}

std::vector<std::size_t> membersByRole(ReplicationSimulation& group) {
  messages::EpochRecord const record = group.nodes[waitForPrimary(group)].group.decided();
  std::vector<std::string> ids{record.primary};
  ids.insert(ids.end(), record.backups.begin(), record.backups.end());
  for (std::string const& id : record.witnesses) {
    if (std::find(ids.begin(), ids.end(), id) == ids.end()) {
      ids.push_back(id);
    }
  }
  std::vector<std::size_t> out;
  for (std::string const& id : ids) {
    std::size_t const index = indexOf(group, id);
    if (index < group.nodes.size()) {
      out.push_back(index);
    }
  }
  return out;
}

TEST(Leaving, ABackupWithTheOnlyCopyHandsItOverBeforeItEnds) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    for (std::size_t const count : {3u, 4u, 5u}) {
      ReplicationSimulation group(seed, count, 0.01);
      startAll(group);
      expectNextCommit(group, "after founding");
      group.run(Ms(2000));
      std::vector<std::size_t> const roles = membersByRole(group);
      group.proposeChange();
      group.run(Ms(static_cast<long>(group.network.roll(20))));
      group.wipe(roles[0]);
      group.run(Ms(static_cast<long>(group.network.roll(500))));
      if (count == 3) {
        group.start(roles[0]);
      }
      shutDownAndWipe(group, roles[1]);
      expectNextCommit(group, "after the backup left, seed " + std::to_string(seed) + " of " + std::to_string(count));
      EXPECT_EQ(group.violations, std::vector<std::string>{}) << seed;
    }
  }
}

TEST(Leaving, AMemberIsReplacedBeforeItEndsSoThatAnyOtherMayBeLost) {
  std::vector<Ms> durations;
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    for (std::size_t const losses : {1u, 2u}) {
      std::size_t const minimumCount = losses == 1 ? 4 : 6;
      std::size_t const count = minimumCount + seed % 3;
      for (std::size_t leaver = 0; leaver < 2 * losses + 1; ++leaver) {
        for (std::size_t other = 0; other < 2 * losses + 1; ++other) {
          ReplicationSimulation group(100 * seed + 10 * leaver + other, count, 0.01, losses);
          startAll(group);
          expectNextCommit(group, "after founding");
          group.run(Ms(8000));
          std::size_t const leavingIndex = membersByRole(group)[leaver];
          group.proposeChange();
          durations.push_back(shutDownAndWipe(group, leavingIndex));
          std::vector<std::size_t> const membersAfter = membersByRole(group);
          ASSERT_LT(other, membersAfter.size());
          for (std::size_t lost = 0; lost < losses; ++lost) {
            group.wipe(membersAfter[(other + lost) % membersAfter.size()]);
          }
          expectNextCommit(group,
                           "after " + std::to_string(leaver) + " left and " + std::to_string(other) + " was lost");
          EXPECT_EQ(group.violations, std::vector<std::string>{}) << seed;
        }
      }
    }
  }
  std::sort(durations.begin(), durations.end());
  std::printf("%zu shutdowns: %ld ms at the median, %ld ms at most\n", durations.size(),
              static_cast<long>(durations[durations.size() / 2].count()), static_cast<long>(durations.back().count()));
  EXPECT_LT(durations.back(), Ms(5000));
}

TEST(Leaving, AMemberThatCannotBeReplacedEndsWithinTheGraceTime) {
  for (std::size_t const count : {1u, 2u, 3u}) {
    for (std::size_t role = 0; role < count; ++role) {
      ReplicationSimulation group(40 + count, count, 0, count == 1 ? 0 : 1);
      startAll(group);
      expectNextCommit(group, "after founding");
      group.run(Ms(2000));
      std::size_t const leaver = membersByRole(group)[role];
      TimePoint const requestedAt = group.network.now();
      group.beginShutdown(leaver);
      while (!group.nodes[leaver].group.mayShutDown() && group.network.now() - requestedAt < Ms(6000)) {
        group.run(Ms(10));
      }
      EXPECT_TRUE(group.nodes[leaver].group.mayShutDown()) << count << " " << role;
      group.kill(leaver, true);
      group.start(leaver);
      expectNextCommit(group, "after its return");
      EXPECT_EQ(group.violations, std::vector<std::string>{});
    }
  }
}

TEST(Zones, ReplicasAndWitnessesAreSpreadOverZonesAfterReplacements) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    ReplicationSimulation group(seed, 5, 0.01);
    for (std::size_t index = 0; index < 5; ++index) {
      group.nodes[index].zone = index < 3 ? "z" + std::to_string(index) : "z0";
    }
    startAll(group);
    expectNextCommit(group, "after founding");
    std::vector<std::size_t> order{0, 1, 2, 3, 4};
    std::shuffle(order.begin(), order.end(), group.network.random());
    for (std::size_t const lost : order) {
      group.wipe(lost);
      expectNextCommit(group, "with one lost");
      group.run(Ms(8000));
      group.start(lost);
      group.run(Ms(15'000));
      std::size_t const primary = waitForPrimary(group);
      messages::EpochRecord const& record = group.nodes[primary].group.decided();
      std::set<std::string> zones;
      for (std::string const& id : record.witnesses) {
        zones.insert(group.nodes[indexOf(group, id)].zone);
      }
      EXPECT_EQ(zones.size(), 3u) << seed << " " << lost;
      EXPECT_NE(group.nodes[primary].zone, group.nodes[indexOf(group, record.backups.front())].zone)
          << seed << " " << lost;
      std::uint64_t const epoch = record.epoch;
      group.run(Ms(20'000));
      EXPECT_EQ(group.nodes[waitForPrimary(group)].group.decided().epoch, epoch)
          << "the epoch changed without a reason";
    }
    EXPECT_EQ(group.violations, std::vector<std::string>{}) << seed;
  }
}

TEST(ForceNewGroup, AGroupForcedAfterTheLossOfAWitnessMajorityFencesTheOldOne) {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    ReplicationSimulation group(seed, 4, 0);
    startAll(group);
    expectNextCommit(group, "after founding");
    std::size_t const primary = waitForPrimary(group);
    messages::EpochRecord const record = group.nodes[primary].group.decided();
    messages::State const newestState = group.nodes[primary].group.state();
    EXPECT_EQ(group.forceNewGroup(indexOf(group, record.backups.front()), newestState, record.fleet),
              "primary and backup are alive");
    std::vector<std::size_t> lost;
    for (std::string const& id : record.witnesses) {
      lost.push_back(indexOf(group, id));
    }
    std::map<std::string, std::string> const oldDisk = group.nodes[primary].disk;
    std::string const oldId = group.nodes[primary].id;
    std::shuffle(lost.begin(), lost.end(), group.network.random());
    bool const keepsOneWitness = seed % 2 == 0;
    for (std::size_t position = keepsOneWitness ? 1 : 0; position < lost.size(); ++position) {
      group.wipe(lost[position]);
      group.start(lost[position]);
    }
    group.run(Ms(10'000));
    EXPECT_FALSE(group.active().has_value());
    std::size_t const chosen = lost.back();
    if (keepsOneWitness) {
      EXPECT_EQ(group.forceNewGroup(lost.front(), newestState, "another"), "this controller is of another fleet");
    }
    EXPECT_EQ(group.forceNewGroup(chosen, newestState, record.fleet), "");
    expectNextCommit(group, "after the new group was forced");
    EXPECT_GT(group.nodes[waitForPrimary(group)].group.decided().epoch, record.epoch + 1000);
    std::size_t const other = lost[lost.size() - 2];
    group.kill(other, true);
    group.nodes[other].id = oldId;
    group.nodes[other].disk = oldDisk;
    group.start(other);
    for (int round = 0; round < 200; ++round) {
      group.run(Ms(50));
      group.proposeChange();
    }
    expectNextCommit(group, "with one of the old group back");
    EXPECT_GT(group.nodes[other].group.decided().epoch, record.epoch + 1000);
    EXPECT_EQ(group.violations, std::vector<std::string>{}) << seed;
    EXPECT_EQ(group.fleets.size(), 1u);
  }
}

TEST(ReplicationGroup, APrimaryThatThawsAfterATakeoverAcknowledgesNothing) {
  for (std::uint64_t stepUs = 0; stepUs < 12'000; stepUs += 500) {
    ReplicationSimulation group(300 + stepUs, 3, 0);
    startAll(group);
    expectNextCommit(group, "after founding");
    std::size_t const primary = waitForPrimary(group);
    group.proposeChange();
    group.network.runUntil(group.network.now() + std::chrono::microseconds(stepUs));
    group.freeze(primary);
    group.run(Ms(1000));
    expectNextCommit(group, "while frozen");
    group.thaw(primary);
    group.proposeChange();
    group.run(Ms(2000));
    expectNextCommit(group, "after the thaw");
    EXPECT_EQ(group.violations, std::vector<std::string>{}) << stepUs;
  }
}

TEST(ReplicationGroup, AFencedBackupConfirmsNothingEvenIfItIsLostNext) {
  std::size_t offered = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    for (std::uint64_t stepUs = 0; stepUs < 20'000; stepUs += 1'000) {
      ReplicationSimulation group(seed, 3, 0);
      startAll(group);
      expectNextCommit(group, "after founding");
      group.run(Ms(700));
      std::size_t const primary = waitForPrimary(group);
      messages::EpochRecord const record = group.nodes[primary].group.decided();
      std::size_t const backup = indexOf(group, record.backups.front());
      group.cut(primary, backup);
      for (int round = 0; round < 40'000 && group.nodes[backup].group.fenced() < record.epoch; ++round) {
        group.network.runUntil(group.network.now() + std::chrono::microseconds(100));
      }
      group.healLinks();
      group.network.runUntil(group.network.now() + std::chrono::milliseconds(6));
      offered += group.nodes[primary].group.active() && !group.nodes[primary].group.busy() ? 1 : 0;
      group.proposeChange();
      group.setLoss(0.4);
      for (int round = 0; round < 20'000 && group.nodes[backup].group.decided().epoch == record.epoch; ++round) {
        group.network.runUntil(group.network.now() + std::chrono::microseconds(100));
      }
      group.network.runUntil(group.network.now() + std::chrono::microseconds(stepUs));
      group.wipe(backup);
      group.setLoss(0);
      expectNextCommit(group, "after the loss of the backup at " + std::to_string(stepUs));
      EXPECT_EQ(group.violations, std::vector<std::string>{}) << seed << " " << stepUs;
    }
  }
  EXPECT_GT(offered, 300u);
}

TEST(ReplicationGroup, CommitsAfterAllProcessesAreKilledAndRestartedWithinASecond) {
  Ms slowest{0};
  for (std::size_t const losses : {1u, 2u}) {
    for (std::uint64_t stepUs = 0; stepUs < 12'000; stepUs += 250) {
      ReplicationSimulation group(700 + stepUs, losses == 1 ? 3 : 8, 0.01, losses);
      startAll(group);
      expectNextCommit(group, "after founding");
      group.run(Ms(2000));
      group.proposeChange();
      group.network.runUntil(group.network.now() + std::chrono::microseconds(stepUs));
      for (std::size_t index = 0; index < group.nodes.size(); ++index) {
        group.kill(index, false);
      }
      TimePoint const lostAt = group.network.now();
      for (std::size_t index = 0; index < group.nodes.size(); ++index) {
        group.run(Ms(static_cast<long>(group.network.roll(1000 / group.nodes.size()))));
        group.start(index);
      }
      expectNextCommit(group, "after all processes restarted at " + std::to_string(stepUs));
      slowest = std::max(slowest, std::chrono::duration_cast<Ms>(group.network.now() - lostAt));
      EXPECT_EQ(group.violations, std::vector<std::string>{}) << stepUs;
    }
  }
  std::printf("all processes killed: first change %ld ms at most after the kill\n", static_cast<long>(slowest.count()));
  EXPECT_LT(slowest, Ms(8000));
}

TEST(ReplicationGroup, CommitsWithOneOfThreeMembersLostAndAdmitsItsEmptyReplacement) {
  for (std::size_t memberIndex = 0; memberIndex < 3; ++memberIndex) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      ReplicationSimulation group(seed, 3, 0.02);
      startAll(group);
      expectNextCommit(group, "after founding");
      group.wipe(memberIndex);
      expectNextCommit(group, "with one lost");
      group.start(memberIndex);
      group.run(Ms(15'000));
      expectNextCommit(group, "with the empty one back");
      std::size_t const primary = waitForPrimary(group);
      std::vector<std::string> const& witnesses = group.nodes[primary].group.decided().witnesses;
      EXPECT_EQ(std::count(witnesses.begin(), witnesses.end(), group.nodes[memberIndex].id), 1);
      std::size_t const secondLost = (memberIndex + 1) % 3;
      group.wipe(secondLost);
      expectNextCommit(group, "with a second one lost after the repair");
      EXPECT_EQ(group.violations, std::vector<std::string>{}) << memberIndex << " seed " << seed;
      EXPECT_EQ(group.fleets.size(), 1u);
    }
  }
}

TEST(ReplicationGroup, AllKilledMembersCommitAgainInTimeAfterAnyStartOrder) {
  std::vector<std::size_t> order{0, 1, 2};
  do {
    ReplicationSimulation group(17, 3, 0);
    startAll(group);
    expectNextCommit(group, "after founding");
    group.proposeChange();
    group.run(Ms(2));
    for (std::size_t index = 0; index < 3; ++index) {
      group.kill(index, true);
    }
    for (std::size_t const index : order) {
      group.start(index);
      group.run(Ms(300));
    }
    TimePoint const lastStart = group.network.now();
    expectNextCommit(group, "after the total loss");
    EXPECT_LT(group.network.now() - lastStart, Ms(5000));
    EXPECT_TRUE(group.violations.empty());
  } while (std::next_permutation(order.begin(), order.end()));
}

std::vector<std::size_t> chooseTwoMachines(ReplicationSimulation& group, std::uint64_t variant) {
  std::vector<std::size_t> shuffled;
  for (std::size_t index = 0; index < group.nodes.size(); ++index) {
    shuffled.push_back(index);
  }
  std::shuffle(shuffled.begin(), shuffled.end(), group.network.random());
  messages::EpochRecord const& record = group.nodes[waitForPrimary(group)].group.decided();
  std::vector<std::string> preferred{record.primary};
  preferred.insert(preferred.end(), record.backups.begin(), record.backups.end());
  preferred.erase(preferred.begin() + static_cast<long>(variant % preferred.size()));
  preferred.insert(preferred.begin() + static_cast<long>(variant / 3 % 2), group.nodes[shuffled.front()].id);
  std::set<std::size_t> chosen;
  for (std::size_t position = variant % 4 == 3 ? 0 : 1; chosen.size() < 2 && position < preferred.size(); ++position) {
    chosen.insert(indexOf(group, preferred[position]));
  }
  for (std::size_t position = 0; chosen.size() < 2; ++position) {
    chosen.insert(shuffled[position]);
  }
  return {chosen.begin(), chosen.end()};
}

TEST(TwoLosses, AnyTwoMachinesLostAtAnyStepOfAWriteLoseNoAcknowledgedChange) {
  std::uint64_t variant = 0;
  Ms slowest{0};
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    for (std::uint64_t stepUs = 0; stepUs < 12'000; stepUs += 250) {
      ReplicationSimulation group(1000 * seed + stepUs, 8, seed % 2 == 0 ? 0.02 : 0, 2);
      startAll(group);
      expectNextCommit(group, "after founding");
      group.run(Ms(3000));
      expectNextCommit(group, "at full strength");
      for (bool const inPlace : {false, true}) {
        std::vector<std::size_t> const lost = chooseTwoMachines(group, ++variant);
        group.proposeChange();
        group.network.runUntil(group.network.now() + std::chrono::microseconds(stepUs));
        for (std::size_t const index : lost) {
          inPlace ? group.wipeInPlace(index) : group.wipe(index);
        }
        TimePoint const lostAt = group.network.now();
        expectNextCommit(group, "with two lost at " + std::to_string(stepUs));
        slowest = std::max(slowest, std::chrono::duration_cast<Ms>(group.network.now() - lostAt));
        for (std::size_t const index : lost) {
          group.start(index);
        }
        group.run(Ms(4000));
      }
      EXPECT_EQ(group.violations, std::vector<std::string>{}) << seed << " " << stepUs;
      EXPECT_EQ(group.fleets.size(), 1u);
    }
  }
  std::printf("seeds 1 to 6: first change %ld ms at most after two machines were lost\n",
              static_cast<long>(slowest.count()));
}

TEST(TwoLosses, TotalPowerLossWithTwoDisksLostKeepsTheLastAcknowledgedChange) {
  std::uint64_t variant = 0;
  Ms slowest{0};
  for (std::uint64_t seed = 1; seed <= 120; ++seed) {
    ReplicationSimulation group(seed, 8, 0, 2);
    startAll(group);
    expectNextCommit(group, "after founding");
    group.run(Ms(3000));
    std::size_t const before = group.commits;
    group.proposeChange();
    while (group.commits == before) {
      group.network.runUntil(group.network.now() + std::chrono::microseconds(100));
    }
    std::vector<std::size_t> const lost = chooseTwoMachines(group, ++variant);
    for (std::size_t index = 0; index < 8; ++index) {
      std::count(lost.begin(), lost.end(), index) > 0 ? group.wipeInPlace(index) : group.kill(index, true);
    }
    std::vector<std::size_t> order{0, 1, 2, 3, 4, 5, 6, 7};
    std::shuffle(order.begin(), order.end(), group.network.random());
    for (std::size_t const index : order) {
      group.start(index);
      group.run(Ms(static_cast<long>(group.network.roll(150))));
    }
    TimePoint const lastStart = group.network.now();
    expectNextCommit(group, "after the total loss of seed " + std::to_string(seed));
    slowest = std::max(slowest, std::chrono::duration_cast<Ms>(group.network.now() - lastStart));
    EXPECT_EQ(group.violations, std::vector<std::string>{}) << seed;
    EXPECT_EQ(group.fleets.size(), 1u);
  }
  std::printf("seeds 1 to 120: first change %ld ms at most after the last start\n", static_cast<long>(slowest.count()));
  EXPECT_LT(slowest, Ms(6000));
}

TEST(TwoLosses, AnyZoneOfTwoMayBeLostAndReturnWithEmptyDisks) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    ReplicationSimulation group(seed, 8, 0.01, 2);
    startAll(group);
    expectNextCommit(group, "after founding");
    group.run(Ms(8000));
    for (std::size_t zone = 0; zone < 4; ++zone) {
      group.wipeInPlace(zone);
      group.wipeInPlace(zone + 4);
      expectNextCommit(group, "without zone " + std::to_string(zone));
      group.run(Ms(static_cast<long>(group.network.roll(3000))));
      group.start(zone);
      group.start(zone + 4);
      group.run(Ms(4000));
    }
    messages::EpochRecord const& record = group.nodes[waitForPrimary(group)].group.decided();
    EXPECT_EQ(record.backups.size(), 2u) << seed;
    EXPECT_EQ(record.witnesses.size(), 5u) << seed;
    EXPECT_EQ(group.violations, std::vector<std::string>{}) << seed;
  }
}

TEST(ReplicationGroup, ASingleMemberAcknowledgesWhenNoLossIsTolerated) {
  ReplicationSimulation group(31, 1, 0, 0);
  group.start(0);
  expectNextCommit(group, "alone");
  group.kill(0, true);
  group.start(0);
  expectNextCommit(group, "after a power loss");
  EXPECT_EQ(group.violations, std::vector<std::string>{});
}

TEST(ReplicationGroup, AMachineWipedInPlaceIsAWitnessAgainWithinFourSeconds) {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    ReplicationSimulation group(seed, 3, 0.01);
    startAll(group);
    expectNextCommit(group, "after founding");
    std::vector<std::size_t> order{0, 1, 2};
    std::shuffle(order.begin(), order.end(), group.network.random());
    for (std::size_t const index : order) {
      group.wipeInPlace(index);
      group.run(Ms(static_cast<long>(200 + group.network.roll(2500))));
      group.start(index);
      group.run(Ms(4000));
      expectNextCommit(group,
                       "after machine " + std::to_string(index) + " came back empty, seed " + std::to_string(seed));
    }
    EXPECT_EQ(group.violations, std::vector<std::string>{}) << seed;
    EXPECT_EQ(group.fleets.size(), 1u);
  }
}

TEST(ReplicationGroup, RecordsStoredByAnotherVersionAreReadByTheirOwnSchema) {
  ReplicationSimulation group(29, 3, 0);
  startAll(group);
  expectNextCommit(group, "after founding");
  for (std::size_t index = 0; index < 3; ++index) {
    group.kill(index, false);
    std::map<std::string, std::string>& disk = group.nodes[index].disk;
    ASSERT_EQ(disk.count("vote-schema") + disk.count("vote"), 2u);
    disk["vote"] = std::string(1, '\x02') + disk["vote"];
    disk["vote-schema"].insert(disk["vote-schema"].find('[') + 1, R"({"name":"dropped","type":"long"},)");
    group.start(index);
  }
  expectNextCommit(group, "after the schema change");
  EXPECT_EQ(group.violations, std::vector<std::string>{});
  EXPECT_EQ(group.fleets.size(), 1u);
}

TEST(ReplicationGroup, APrimaryWhoseDiskStallsIsReplaced) {
  ReplicationSimulation group(23, 3, 0);
  startAll(group);
  expectNextCommit(group, "after founding");
  std::size_t const primary = waitForPrimary(group);
  group.nodes[primary].diskStuck = true;
  group.proposeChange();
  group.run(Ms(6000));
  expectNextCommit(group, "after the stall");
  EXPECT_NE(waitForPrimary(group), primary);
  EXPECT_TRUE(group.violations.empty());
}

TEST(ReplicationGroup, OneWayCutsAndIsolationNeverLeadToTwoHistories) {
  for (std::size_t from = 0; from < 3; ++from) {
    for (std::size_t to = 0; to < 3; ++to) {
      ReplicationSimulation group(40 + from * 3 + to, 3, 0);
      startAll(group);
      expectNextCommit(group, "after founding");
      if (from != to) {
        group.cut(from, to);
      } else {
        for (std::size_t other = 0; other < 3; ++other) {
          group.cut(from, other);
          group.cut(other, from);
        }
      }
      for (int round = 0; round < 200; ++round) {
        group.run(Ms(50));
        group.proposeChange();
      }
      group.healLinks();
      group.run(Ms(3000));
      expectNextCommit(group, "after the end of the cut " + std::to_string(from) + std::to_string(to));
      EXPECT_TRUE(group.violations.empty());
    }
  }
}

TEST(ReplicationGroup, AWitnessThatLosesPowerBetweenTwoProposersKeepsItsVote) {
  std::size_t contestedElections = 0;
  for (std::uint64_t seed = 1; seed <= 2; ++seed) {
    for (int waitMs = 1200; waitMs < 1900; waitMs += 3) {
      ReplicationSimulation group(seed, 4, 0);
      startAll(group);
      expectNextCommit(group, "after founding");
      std::size_t const primary = waitForPrimary(group);
      messages::EpochRecord const record = group.nodes[primary].group.decided();
      std::size_t backup = 0;
      std::size_t witness = 0;
      for (std::size_t index = 0; index < 4; ++index) {
        std::string const& id = group.nodes[index].id;
        bool const isWitness = std::count(record.witnesses.begin(), record.witnesses.end(), id) > 0;
        backup = id == record.backups.front() ? index : backup;
        witness = isWitness && id != record.backups.front() && index != primary ? index : witness;
      }
      group.cut(primary, backup);
      group.cut(backup, primary);
      group.run(Ms(waitMs));
      group.kill(witness, true);
      group.start(witness);
      for (std::size_t other = 0; other < 4; ++other) {
        group.cut(primary, other);
        group.cut(other, primary);
      }
      group.run(Ms(4000));
      group.healLinks();
      group.run(Ms(1500));
      expectNextCommit(group, "after the power loss at " + std::to_string(waitMs));
      contestedElections += group.nodes[primary].group.fenced() > 0 && group.nodes[backup].group.fenced() > 0 ? 1 : 0;
      EXPECT_EQ(group.violations, std::vector<std::string>{}) << waitMs << " seed " << seed;
    }
  }
  EXPECT_GT(contestedElections, 100u);
}

// Injects or ends the faults that all seeded tests share: kills, freezes and cuts. Other draws do nothing here.
void injectFault(ReplicationSimulation& group, std::size_t index, std::uint64_t draw) {
  SimulatedMember const& node = group.nodes[index];
  switch (draw) {
    case 0:
      if (node.up) {
        group.kill(index, group.network.chance(0.5));
      }
      return;
    case 3:
      if (node.up) {
        group.freeze(index);
      }
      return;
    case 4:
    case 5:
      group.thaw(index);
      return;
    case 6:
      group.cut(index, group.network.roll(group.nodes.size()));
      return;
    case 7:
    case 8:
      group.healLinks();
      return;
    default:
      return;
  }
}

TEST(ReplicationGroup, SeededFaultsKeepEveryAcknowledgedChange) {
  std::size_t commits = 0;
  std::size_t takeovers = 0;
  for (std::uint64_t seed = 1; seed <= 150; ++seed) {
    std::size_t const count = 3 + seed % 3;
    ReplicationSimulation group(seed, count, 0.02 + 0.02 * static_cast<double>(seed % 4));
    startAll(group);
    std::size_t wipes = 0;
    for (int round = 0; round < 600; ++round) {
      group.run(Ms(20 + static_cast<long>(group.network.roll(80))));
      group.proposeChange();
      std::size_t const index = group.network.roll(count);
      SimulatedMember& node = group.nodes[index];
      std::uint64_t const draw = group.network.roll(24);
      injectFault(group, index, draw);
      switch (draw) {
        case 1:
        case 2:
          if (!node.up) {
            group.start(index);
          }
          break;
        case 9:
          if (round % 20 == 0) {
            node.diskStuck = true;
          }
          break;
        case 10: {
          bool const allRunning = std::all_of(group.nodes.begin(), group.nodes.end(), [](SimulatedMember const& other) {
            return other.up && !other.frozen && !other.diskStuck;
          });
          std::optional<std::size_t> const active = group.active();
          if (allRunning && active && wipes < 3 &&
              group.nodes[*active].group.fenced() < group.nodes[*active].group.decided().epoch &&
              std::all_of(group.nodes.begin(), group.nodes.end(), [&](SimulatedMember const& other) {
                return other.group.decided().epoch == group.nodes[*active].group.decided().epoch;
              })) {
            group.wipe(index);
            ++wipes;
            group.healLinks();
            for (int wait = 0; wait < 300; ++wait) {
              group.run(Ms(50));
              group.proposeChange();
            }
            group.start(index);
            group.run(Ms(12'000));
          }
          break;
        }
        case 11:
          if (node.up && !node.frozen) {
            group.beginShutdown(index);
            group.run(Ms(static_cast<long>(group.network.roll(400))));
            group.kill(index, group.network.chance(0.5));
            group.start(index);
          }
          break;
        default:
          break;
      }
    }
    group.healLinks();
    group.setLoss(0);
    for (std::size_t index = 0; index < count; ++index) {
      if (group.nodes[index].diskStuck) {
        group.kill(index, true);
      }
      if (!group.nodes[index].up) {
        group.start(index);
      }
      group.thaw(index);
    }
    expectNextCommit(group, "after the faults of seed " + std::to_string(seed));
    EXPECT_EQ(group.violations, std::vector<std::string>{}) << "seed " << seed;
    EXPECT_EQ(group.fleets.size(), 1u) << "seed " << seed;
    commits += group.commits;
    takeovers += group.takeovers;
  }
  std::printf("seeds 1 to 150: %zu commits, %zu takeovers\n", commits, takeovers);
  EXPECT_GT(takeovers, 500u);
}

// One disk at a time is full while processes are killed, frozen and cut off. No process is restarted because of its
// disk.
TEST(ReplicationGroup, SeededFaultsWithFullDisksKeepEveryAcknowledgedChange) {
  std::size_t commits = 0;
  std::size_t failedStoreCount = 0;
  for (std::uint64_t seed = 1; seed <= 150; ++seed) {
    std::size_t const count = 3 + seed % 3;
    ReplicationSimulation group(seed, count, 0.02);
    startAll(group);
    expectNextCommit(group, "before the faults of seed " + std::to_string(seed));
    for (int round = 0; round < 400; ++round) {
      group.run(Ms(20 + static_cast<long>(group.network.roll(80))));
      group.proposeChange();
      std::size_t const index = group.network.roll(count);
      SimulatedMember& node = group.nodes[index];
      std::uint64_t const draw = group.network.roll(16);
      injectFault(group, index, draw);
      switch (draw) {
        case 1:
        case 2:
          for (std::size_t other = 0; other < count; ++other) {
            if (!group.nodes[other].up) {
              group.start(other);
            }
          }
          break;
        case 9:
          for (SimulatedMember& other : group.nodes) {
            other.diskFull = false;
          }
          node.diskFull = true;
          break;
        case 10:
          for (SimulatedMember& other : group.nodes) {
            other.diskFull = false;
          }
          break;
        default:
          break;
      }
      failedStoreCount += node.storeFailed ? 1 : 0;
    }
    group.healLinks();
    group.setLoss(0);
    for (std::size_t index = 0; index < count; ++index) {
      group.nodes[index].diskFull = false;
      if (!group.nodes[index].up) {
        group.start(index);
      }
      group.thaw(index);
    }
    group.run(Ms(4000));
    for (SimulatedMember const& node : group.nodes) {
      EXPECT_FALSE(node.group.unhealthy()) << node.id << " of seed " << seed;
    }
    expectNextCommit(group, "after the faults of seed " + std::to_string(seed));
    EXPECT_EQ(group.violations, std::vector<std::string>{}) << "seed " << seed;
    EXPECT_EQ(group.fleets.size(), 1u) << "seed " << seed;
    commits += group.commits;
  }
  std::printf("seeds 1 to 150: %zu commits, %zu observations of a store that refused writes\n", commits,
              failedStoreCount);
  EXPECT_GT(failedStoreCount, 1000u);
}

}  // namespace
