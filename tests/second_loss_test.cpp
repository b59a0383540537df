// Second losses at every step of a repair, a replacement and a leave, and the time to full redundancy again.
#include "simulator/replication_simulation.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace {

using namespace limeramp;
using namespace limeramp::simulator;

constexpr Ms serveAgainWithin{12'000};
// A machine counts as lost for this long after its return or its start: after that the next loss must be borne.
constexpr Ms lossCountsFor{4000};

enum class Loss { killed, wiped };

std::size_t indexOf(ReplicationSimulation const& group, std::string const& id) {
  for (std::size_t index = 0; index < group.nodes.size(); ++index) {
    if (group.nodes[index].id == id) {
      return index;
    }
  }
  return group.nodes.size();
}

messages::EpochRecord recordOf(ReplicationSimulation const& group) {
  std::optional<std::size_t> const primary = group.active();
  return primary ? group.nodes[*primary].group.decided() : messages::EpochRecord{};
}

bool holds(ReplicationSimulation const& group, std::string const& id, std::uint64_t epoch) {
  std::size_t const index = indexOf(group, id);
  return index < group.nodes.size() && group.nodes[index].up && group.nodes[index].group.decided().epoch == epoch;
}

// A primary leads with as many living backups and voters as the losses to bear ask for, and all of them know the epoch.
bool fullyRedundant(ReplicationSimulation const& group, std::size_t losses) {
  messages::EpochRecord const record = recordOf(group);
  std::function<bool(std::string const&)> const known = [&](std::string const& id) {
    return holds(group, id, record.epoch);
  };
  return record.epoch > 0 && record.backups.size() == losses && record.witnesses.size() == 2 * losses + 1 &&
         std::all_of(record.backups.begin(), record.backups.end(), known) &&
         std::all_of(record.witnesses.begin(), record.witnesses.end(), known);
}

bool commits(ReplicationSimulation& group, Ms within) {
  std::size_t const before = group.commits;
  for (Ms passed{0}; passed < within && group.commits == before; passed += Ms(10)) {
    group.run(Ms(10));
    group.offer();
  }
  return group.commits > before;
}

// Changes come all the while, as on a busy day.
void commitFor(ReplicationSimulation& group, Ms time) {
  for (Ms passed{0}; passed < time; passed += Ms(100)) {
    group.run(Ms(100));
    group.offer();
  }
}

std::optional<Ms> untilRedundant(ReplicationSimulation& group, std::size_t losses, Ms within) {
  TimePoint const from = group.network.now();
  while (!fullyRedundant(group, losses)) {
    if (group.network.now() - from >= within) {
      return std::nullopt;
    }
    group.run(Ms(10));
    group.offer();
  }
  return std::chrono::duration_cast<Ms>(group.network.now() - from);
}

ReplicationSimulation groupAtFullStrength(std::uint64_t seed, std::size_t count, std::size_t losses) {
  ReplicationSimulation group(seed, count, 0.01, losses);
  for (std::size_t index = 0; index < count; ++index) {
    group.start(index);
  }
  EXPECT_TRUE(commits(group, serveAgainWithin));
  EXPECT_TRUE(untilRedundant(group, losses, Ms(20'000)).has_value()) << seed;
  group.run(Ms(2000 + static_cast<long>(group.network.roll(1000))));
  return group;
}

// The machines in the order of their duties: primary, backups, the other witnesses, spares.
std::vector<std::size_t> byDuty(ReplicationSimulation const& group) {
  messages::EpochRecord const record = recordOf(group);
  std::vector<std::string> ids{record.primary};
  ids.insert(ids.end(), record.backups.begin(), record.backups.end());
  ids.insert(ids.end(), record.witnesses.begin(), record.witnesses.end());
  std::vector<std::size_t> out;
  for (std::string const& id : ids) {
    std::size_t const index = indexOf(group, id);
    if (index < group.nodes.size() && std::find(out.begin(), out.end(), index) == out.end()) {
      out.push_back(index);
    }
  }
  for (std::size_t index = 0; index < group.nodes.size(); ++index) {
    if (std::find(out.begin(), out.end(), index) == out.end()) {
      out.push_back(index);
    }
  }
  return out;
}

void lose(ReplicationSimulation& group, std::size_t index, Loss kind) {
  kind == Loss::wiped ? group.wipe(index) : group.kill(index, true);
}

void printDistribution(std::string const& what, std::vector<Ms> times) {
  std::sort(times.begin(), times.end());
  std::function<long(double)> const at = [&](double share) {
    return static_cast<long>(times[static_cast<std::size_t>(share * static_cast<double>(times.size() - 1))].count());
  };
  std::printf("%s: %zu runs, ms until redundant: median %ld, 90%% %ld, 99%% %ld, most %ld\n", what.c_str(),
              times.size(), at(0.5), at(0.9), at(0.99), at(1));
}

TEST(Redundancy, ALostMachineIsReplacedBySpareInATimeMeasuredOverAThousandSeeds) {
  for (std::size_t const losses : {1u, 2u}) {
    std::size_t const duties = 2 * losses + 1;
    std::vector<Ms> times;
    for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
      ReplicationSimulation group = groupAtFullStrength(seed, duties + 1 + seed % 2, losses);
      group.offer();
      lose(group, byDuty(group)[seed % duties], seed % 3 == 0 ? Loss::killed : Loss::wiped);
      std::optional<Ms> const time = untilRedundant(group, losses, Ms(20'000));
      ASSERT_TRUE(time.has_value()) << losses << " seed " << seed;
      times.push_back(*time);
      EXPECT_EQ(group.complaints, std::vector<std::string>{}) << seed;
    }
    printDistribution("machineLosses " + std::to_string(losses) + ", with a spare, from the loss", times);
    EXPECT_LT(*std::max_element(times.begin(), times.end()), lossCountsFor);
  }
}

TEST(Redundancy, AMachineWipedInPlaceCountsAgainInATimeMeasuredOverAThousandSeeds) {
  for (std::size_t const losses : {1u, 2u}) {
    std::size_t const duties = 2 * losses + 1;
    std::vector<Ms> times;
    for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
      ReplicationSimulation group = groupAtFullStrength(seed, duties, losses);
      group.offer();
      std::size_t const lost = byDuty(group)[seed % duties];
      group.wipeInPlace(lost);
      group.run(Ms(static_cast<long>(group.network.roll(3000))));
      group.start(lost);
      std::optional<Ms> const time = untilRedundant(group, losses, Ms(20'000));
      ASSERT_TRUE(time.has_value()) << losses << " seed " << seed;
      times.push_back(*time);
      EXPECT_EQ(group.complaints, std::vector<std::string>{}) << seed;
    }
    printDistribution("machineLosses " + std::to_string(losses) + ", no spare, from its empty return", times);
    EXPECT_LT(*std::max_element(times.begin(), times.end()), lossCountsFor);
  }
}

TEST(SecondLoss, OfAMachineThatKeepsItsDiskIsBorneAtEveryStepOfARepair) {
  for (std::size_t first = 0; first < 4; ++first) {
    for (std::size_t second = 0; second < 4; ++second) {
      for (long waitMs = 0; waitMs <= 4000; waitMs += 125) {
        if (first == second) {
          continue;
        }
        ReplicationSimulation group = groupAtFullStrength(1 + static_cast<std::uint64_t>(waitMs), 4, 1);
        std::vector<std::size_t> const duties = byDuty(group);
        group.offer();
        group.wipe(duties[first]);
        group.run(Ms(waitMs));
        group.offer();
        group.kill(duties[second], true);
        group.run(Ms(1000));
        group.start(duties[second]);
        EXPECT_TRUE(commits(group, serveAgainWithin)) << first << " then " << second << " after " << waitMs;
        EXPECT_EQ(group.complaints, std::vector<std::string>{}) << first << " then " << second << " after " << waitMs;
      }
    }
  }
}

TEST(SecondLoss, WithItsDiskIsBorneAtEveryStepOfARepairWhereTwoMayBeLost) {
  for (std::size_t const count : {6u, 7u, 8u}) {
    for (std::size_t first = 0; first < 5; ++first) {
      for (std::size_t second = 0; second < 6; ++second) {
        for (long waitMs = 0; waitMs <= 4000; waitMs += 500) {
          if (first == second) {
            continue;
          }
          ReplicationSimulation group = groupAtFullStrength(count + static_cast<std::uint64_t>(waitMs), count, 2);
          std::vector<std::size_t> const duties = byDuty(group);
          group.offer();
          group.wipe(duties[first]);
          group.run(Ms(waitMs + static_cast<long>(group.network.roll(500))));
          group.offer();
          group.wipe(duties[second]);
          EXPECT_TRUE(commits(group, serveAgainWithin)) << count << ": " << first << ", " << second << " at " << waitMs;
          EXPECT_EQ(group.complaints, std::vector<std::string>{}) << count << ": " << first << ", " << second;
        }
      }
    }
  }
}

// With one loss to bear, a second disk lost before the repair is complete may stop the group, and it must do no more
// than that: nothing that was acknowledged is contradicted. Once the group is redundant again it goes on.
TEST(SecondLoss, WithItsDiskStopsAGroupOfOneLossAtWorstAndOnlyUntilItIsRedundantAgain) {
  std::size_t early = 0;
  std::size_t wentOn = 0;
  for (std::size_t const count : {4u, 5u}) {
    for (std::size_t first = 0; first < 3; ++first) {
      for (std::size_t second = 0; second < 3; ++second) {
        for (long waitMs = 0; waitMs <= 6000; waitMs += 250) {
          ReplicationSimulation group = groupAtFullStrength(count + static_cast<std::uint64_t>(waitMs), count, 1);
          std::vector<std::size_t> const before = byDuty(group);
          group.offer();
          group.wipe(before[first]);
          group.run(Ms(waitMs));
          bool const redundant = fullyRedundant(group, 1);
          std::vector<std::size_t> duties = redundant ? byDuty(group) : before;
          duties.erase(std::remove(duties.begin(), duties.end(), before[first]), duties.end());
          group.offer();
          group.wipe(duties[second % duties.size()]);
          bool const goesOn = commits(group, serveAgainWithin);
          early += redundant ? 0 : 1;
          wentOn += !redundant && goesOn ? 1 : 0;
          EXPECT_TRUE(goesOn || !redundant) << count << ": " << first << ", " << second << " after " << waitMs;
          EXPECT_EQ(group.complaints, std::vector<std::string>{}) << count << ": " << first << ", " << second;
        }
      }
    }
  }
  std::printf("second disks lost before the repair was complete: %zu of %zu groups went on\n", wentOn, early);
}

TEST(SecondLoss, OfTheNewcomerItselfAtEveryStepOfAReplacementIsBorne) {
  for (std::size_t duty = 0; duty < 3; ++duty) {
    for (long waitMs = 0; waitMs <= 3000; waitMs += 50) {
      for (Loss const kind : {Loss::killed, Loss::wiped}) {
        ReplicationSimulation group = groupAtFullStrength(1 + static_cast<std::uint64_t>(waitMs), 3, 1);
        std::size_t const lost = byDuty(group)[duty];
        group.wipe(lost);
        group.run(Ms(static_cast<long>(group.network.roll(2500))));
        group.start(lost);
        group.run(Ms(waitMs));
        group.offer();
        lose(group, lost, kind);
        EXPECT_TRUE(commits(group, serveAgainWithin)) << duty << " after " << waitMs;
        EXPECT_EQ(group.complaints, std::vector<std::string>{}) << duty << " after " << waitMs;
      }
    }
  }
}

TEST(SecondLoss, AtEveryStepOfALeaveIsBorne) {
  for (std::size_t const losses : {1u, 2u}) {
    std::size_t const count = 2 * losses + 2;
    for (std::size_t leaver = 0; leaver < 2 * losses + 1; ++leaver) {
      for (std::size_t other = 0; other < count; ++other) {
        for (long waitMs = 0; waitMs <= 400; waitMs += losses == 1 ? 20 : 80) {
          if (leaver == other) {
            continue;
          }
          ReplicationSimulation group = groupAtFullStrength(1 + static_cast<std::uint64_t>(waitMs), count, losses);
          std::vector<std::size_t> const duties = byDuty(group);
          group.offer();
          group.beginShutdown(duties[leaver]);
          TimePoint const asked = group.network.now();
          group.run(Ms(waitMs));
          group.offer();
          group.wipe(duties[other]);
          while (!group.nodes[duties[leaver]].group.mayShutDown() && group.network.now() - asked < Ms(6000)) {
            group.run(Ms(10));
            group.offer();
          }
          group.wipe(duties[leaver]);
          EXPECT_TRUE(commits(group, serveAgainWithin)) << leaver << " left, " << other << " lost after " << waitMs;
          EXPECT_EQ(group.complaints, std::vector<std::string>{}) << leaver << " left, " << other << " lost";
        }
      }
    }
  }
}

TEST(SecondLoss, OfOneWholeZoneRightAfterARepairIsBorne) {
  for (std::size_t const losses : {1u, 2u}) {
    for (std::size_t zone = 0; zone < 4; ++zone) {
      for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        ReplicationSimulation group = groupAtFullStrength(seed, 8, losses);
        std::size_t const lost = byDuty(group)[seed % (2 * losses + 1)];
        group.wipe(lost);
        ASSERT_TRUE(untilRedundant(group, losses, Ms(20'000)).has_value());
        group.start(lost);
        group.run(Ms(8000));
        group.offer();
        group.wipe(zone);
        group.wipe(zone + 4);
        EXPECT_TRUE(commits(group, serveAgainWithin)) << losses << " zone " << zone << " seed " << seed;
        EXPECT_EQ(group.complaints, std::vector<std::string>{}) << losses << " zone " << zone << " seed " << seed;
      }
    }
  }
}

// The full disk is one loss that is over when the other comes: it counts for `lossCountsFor` after it has room again.
TEST(SecondLoss, AfterADiskThatWasFullForAWhileLeavesTheConfigurationReadable) {
  constexpr Ms fullFor{4500};
  constexpr Ms downFor{1400};
  for (std::size_t const losses : {1u, 2u}) {
    std::size_t const machines = 2 * losses + 1;
    for (std::size_t full = 0; full < machines; ++full) {
      for (std::size_t wiped = 0; wiped < machines; ++wiped) {
        for (std::uint64_t seed = 1; seed <= 6 && full != wiped; ++seed) {
          SCOPED_TRACE(testing::Message()
                       << losses << " losses, full " << full << ", wiped " << wiped << ", seed " << seed);
          ReplicationSimulation group = groupAtFullStrength(seed, machines, losses);
          std::vector<std::size_t> const duties = byDuty(group);
          group.nodes[duties[full]].diskFull = true;
          commitFor(group, fullFor);
          group.nodes[duties[full]].diskFull = false;
          commitFor(group, lossCountsFor);
          group.wipeInPlace(duties[wiped]);
          for (std::size_t more = 1; more < losses; ++more) {
            std::size_t const other =
                (wiped + more) % machines == full ? (full + 1) % machines : (wiped + more) % machines;
            group.wipeInPlace(duties[other]);
          }
          group.run(downFor);
          for (std::size_t index = 0; index < machines; ++index) {
            if (!group.nodes[index].up) {
              group.start(index);
            }
          }
          EXPECT_TRUE(commits(group, serveAgainWithin));
          EXPECT_EQ(group.complaints, std::vector<std::string>{});
        }
      }
    }
  }
}

}  // namespace
