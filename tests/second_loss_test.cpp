// Second losses at every step of a repair, a replacement and a shutdown, and the time until redundancy is restored.
#include "simulator/replication_simulation.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace {

using namespace limeramp;
using namespace limeramp::simulator;

constexpr Ms commitTimeout{12'000};
// A machine counts as lost until this long after its return or start; after that the next loss must be tolerated.
constexpr Ms lossWindow{4000};

enum class LossKind { killed, wiped };

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

bool hasDecidedEpoch(ReplicationSimulation const& group, std::string const& id, std::uint64_t epoch) {
  std::size_t const index = indexOf(group, id);
  return index < group.nodes.size() && group.nodes[index].up && group.nodes[index].group.decided().epoch == epoch;
}

// Whether a primary leads with as many living backups and witnesses as `losses` tolerated losses require, all of which
// know the epoch.
bool fullyRedundant(ReplicationSimulation const& group, std::size_t losses) {
  messages::EpochRecord const record = recordOf(group);
  std::function<bool(std::string const&)> const knowsEpoch = [&](std::string const& id) {
    return hasDecidedEpoch(group, id, record.epoch);
  };
  return record.epoch > 0 && record.backups.size() == losses && record.witnesses.size() == 2 * losses + 1 &&
         std::all_of(record.backups.begin(), record.backups.end(), knowsEpoch) &&
         std::all_of(record.witnesses.begin(), record.witnesses.end(), knowsEpoch);
}

bool commitsWithin(ReplicationSimulation& group, Ms within) {
  std::size_t const before = group.commits;
  for (Ms passed{0}; passed < within && group.commits == before; passed += Ms(10)) {
    group.run(Ms(10));
    group.proposeChange();
  }
  return group.commits > before;
}

// Runs the group for `time` and proposes a change every 100 ms.
void proposeFor(ReplicationSimulation& group, Ms time) {
  for (Ms passed{0}; passed < time; passed += Ms(100)) {
    group.run(Ms(100));
    group.proposeChange();
  }
}

std::optional<Ms> waitForRedundancy(ReplicationSimulation& group, std::size_t losses, Ms within) {
  TimePoint const startedAt = group.network.now();
  while (!fullyRedundant(group, losses)) {
    if (group.network.now() - startedAt >= within) {
      return std::nullopt;
    }
    group.run(Ms(10));
    group.proposeChange();
  }
  return std::chrono::duration_cast<Ms>(group.network.now() - startedAt);
}

ReplicationSimulation redundantGroup(std::uint64_t seed, std::size_t count, std::size_t losses) {
  ReplicationSimulation group(seed, count, 0.01, losses);
  for (std::size_t index = 0; index < count; ++index) {
    group.start(index);
  }
  EXPECT_TRUE(commitsWithin(group, commitTimeout));
  EXPECT_TRUE(waitForRedundancy(group, losses, Ms(20'000)).has_value()) << seed;
  group.run(Ms(2000 + static_cast<long>(group.network.roll(1000))));
  return group;
}

// All machines in the order of their roles: primary, backups, other witnesses, spares.
std::vector<std::size_t> membersByRole(ReplicationSimulation const& group) {
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

void injectLoss(ReplicationSimulation& group, std::size_t index, LossKind kind) {
  kind == LossKind::wiped ? group.wipe(index) : group.kill(index, true);
}

void printDistribution(std::string const& label, std::vector<Ms> times) {
  std::sort(times.begin(), times.end());
  std::function<long(double)> const valueAt = [&](double quantile) {
    return static_cast<long>(times[static_cast<std::size_t>(quantile * static_cast<double>(times.size() - 1))].count());
  };
  std::printf("%s: %zu runs, ms until redundant: median %ld, 90%% %ld, 99%% %ld, most %ld\n", label.c_str(),
              times.size(), valueAt(0.5), valueAt(0.9), valueAt(0.99), valueAt(1));
}

TEST(Redundancy, ASpareReplacesALostMachineWithinTheLossWindow) {
  for (std::size_t const losses : {1u, 2u}) {
    std::size_t const roles = 2 * losses + 1;
    std::vector<Ms> times;
    for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
      ReplicationSimulation group = redundantGroup(seed, roles + 1 + seed % 2, losses);
      group.proposeChange();
      injectLoss(group, membersByRole(group)[seed % roles], seed % 3 == 0 ? LossKind::killed : LossKind::wiped);
      std::optional<Ms> const time = waitForRedundancy(group, losses, Ms(20'000));
      ASSERT_TRUE(time.has_value()) << losses << " seed " << seed;
      times.push_back(*time);
      EXPECT_EQ(group.violations, std::vector<std::string>{}) << seed;
    }
    printDistribution("machineLosses " + std::to_string(losses) + ", with a spare, from the loss", times);
    EXPECT_LT(*std::max_element(times.begin(), times.end()), lossWindow);
  }
}

TEST(Redundancy, AMachineWipedInPlaceRestoresRedundancyWithinTheLossWindow) {
  for (std::size_t const losses : {1u, 2u}) {
    std::size_t const roles = 2 * losses + 1;
    std::vector<Ms> times;
    for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
      ReplicationSimulation group = redundantGroup(seed, roles, losses);
      group.proposeChange();
      std::size_t const lost = membersByRole(group)[seed % roles];
      group.wipeInPlace(lost);
      group.run(Ms(static_cast<long>(group.network.roll(3000))));
      group.start(lost);
      std::optional<Ms> const time = waitForRedundancy(group, losses, Ms(20'000));
      ASSERT_TRUE(time.has_value()) << losses << " seed " << seed;
      times.push_back(*time);
      EXPECT_EQ(group.violations, std::vector<std::string>{}) << seed;
    }
    printDistribution("machineLosses " + std::to_string(losses) + ", no spare, from its empty return", times);
    EXPECT_LT(*std::max_element(times.begin(), times.end()), lossWindow);
  }
}

TEST(SecondLoss, APowerLossOfAnotherMachineDuringARepairIsTolerated) {
  for (std::size_t first = 0; first < 4; ++first) {
    for (std::size_t second = 0; second < 4; ++second) {
      for (long waitMs = 0; waitMs <= 4000; waitMs += 125) {
        if (first == second) {
          continue;
        }
        ReplicationSimulation group = redundantGroup(1 + static_cast<std::uint64_t>(waitMs), 4, 1);
        std::vector<std::size_t> const roles = membersByRole(group);
        group.proposeChange();
        group.wipe(roles[first]);
        group.run(Ms(waitMs));
        group.proposeChange();
        group.kill(roles[second], true);
        group.run(Ms(1000));
        group.start(roles[second]);
        EXPECT_TRUE(commitsWithin(group, commitTimeout)) << first << " then " << second << " after " << waitMs;
        EXPECT_EQ(group.violations, std::vector<std::string>{}) << first << " then " << second << " after " << waitMs;
      }
    }
  }
}

TEST(SecondLoss, AnotherDiskLostDuringARepairIsToleratedWhereTwoMayBeLost) {
  for (std::size_t const count : {6u, 7u, 8u}) {
    for (std::size_t first = 0; first < 5; ++first) {
      for (std::size_t second = 0; second < 6; ++second) {
        for (long waitMs = 0; waitMs <= 4000; waitMs += 500) {
          if (first == second) {
            continue;
          }
          ReplicationSimulation group = redundantGroup(count + static_cast<std::uint64_t>(waitMs), count, 2);
          std::vector<std::size_t> const roles = membersByRole(group);
          group.proposeChange();
          group.wipe(roles[first]);
          group.run(Ms(waitMs + static_cast<long>(group.network.roll(500))));
          group.proposeChange();
          group.wipe(roles[second]);
          EXPECT_TRUE(commitsWithin(group, commitTimeout))
              << count << ": " << first << ", " << second << " at " << waitMs;
          EXPECT_EQ(group.violations, std::vector<std::string>{}) << count << ": " << first << ", " << second;
        }
      }
    }
  }
}

// If a group that tolerates one loss loses a second disk before the repair is complete, it may stop, but it must not
// contradict anything that was acknowledged. A loss after the group is redundant again must not stop it.
TEST(SecondLoss, AnotherDiskLostDuringARepairAtWorstStopsAGroupOfOneLoss) {
  std::size_t lossesDuringRepair = 0;
  std::size_t continuedCount = 0;
  for (std::size_t const count : {4u, 5u}) {
    for (std::size_t first = 0; first < 3; ++first) {
      for (std::size_t second = 0; second < 3; ++second) {
        for (long waitMs = 0; waitMs <= 6000; waitMs += 250) {
          ReplicationSimulation group = redundantGroup(count + static_cast<std::uint64_t>(waitMs), count, 1);
          std::vector<std::size_t> const before = membersByRole(group);
          group.proposeChange();
          group.wipe(before[first]);
          group.run(Ms(waitMs));
          bool const redundant = fullyRedundant(group, 1);
          std::vector<std::size_t> roles = redundant ? membersByRole(group) : before;
          roles.erase(std::remove(roles.begin(), roles.end(), before[first]), roles.end());
          group.proposeChange();
          group.wipe(roles[second % roles.size()]);
          bool const continued = commitsWithin(group, commitTimeout);
          lossesDuringRepair += redundant ? 0 : 1;
          continuedCount += !redundant && continued ? 1 : 0;
          EXPECT_TRUE(continued || !redundant) << count << ": " << first << ", " << second << " after " << waitMs;
          EXPECT_EQ(group.violations, std::vector<std::string>{}) << count << ": " << first << ", " << second;
        }
      }
    }
  }
  std::printf("second disks lost before the repair was complete: %zu of %zu groups went on\n", continuedCount,
              lossesDuringRepair);
}

TEST(SecondLoss, TheLossOfANewMemberDuringItsAdmissionIsTolerated) {
  for (std::size_t role = 0; role < 3; ++role) {
    for (long waitMs = 0; waitMs <= 3000; waitMs += 50) {
      for (LossKind const kind : {LossKind::killed, LossKind::wiped}) {
        ReplicationSimulation group = redundantGroup(1 + static_cast<std::uint64_t>(waitMs), 3, 1);
        std::size_t const lost = membersByRole(group)[role];
        group.wipe(lost);
        group.run(Ms(static_cast<long>(group.network.roll(2500))));
        group.start(lost);
        group.run(Ms(waitMs));
        group.proposeChange();
        injectLoss(group, lost, kind);
        EXPECT_TRUE(commitsWithin(group, commitTimeout)) << role << " after " << waitMs;
        EXPECT_EQ(group.violations, std::vector<std::string>{}) << role << " after " << waitMs;
      }
    }
  }
}

TEST(SecondLoss, ALossAtAnyStepOfAShutdownIsTolerated) {
  for (std::size_t const losses : {1u, 2u}) {
    std::size_t const count = 2 * losses + 2;
    for (std::size_t leaver = 0; leaver < 2 * losses + 1; ++leaver) {
      for (std::size_t other = 0; other < count; ++other) {
        for (long waitMs = 0; waitMs <= 400; waitMs += losses == 1 ? 20 : 80) {
          if (leaver == other) {
            continue;
          }
          ReplicationSimulation group = redundantGroup(1 + static_cast<std::uint64_t>(waitMs), count, losses);
          std::vector<std::size_t> const roles = membersByRole(group);
          group.proposeChange();
          group.beginShutdown(roles[leaver]);
          TimePoint const requestedAt = group.network.now();
          group.run(Ms(waitMs));
          group.proposeChange();
          group.wipe(roles[other]);
          while (!group.nodes[roles[leaver]].group.mayShutDown() && group.network.now() - requestedAt < Ms(6000)) {
            group.run(Ms(10));
            group.proposeChange();
          }
          group.wipe(roles[leaver]);
          EXPECT_TRUE(commitsWithin(group, commitTimeout)) << leaver << " left, " << other << " lost after " << waitMs;
          EXPECT_EQ(group.violations, std::vector<std::string>{}) << leaver << " left, " << other << " lost";
        }
      }
    }
  }
}

TEST(SecondLoss, TheLossOfAZoneRightAfterARepairIsTolerated) {
  for (std::size_t const losses : {1u, 2u}) {
    for (std::size_t zone = 0; zone < 4; ++zone) {
      for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        ReplicationSimulation group = redundantGroup(seed, 8, losses);
        std::size_t const lost = membersByRole(group)[seed % (2 * losses + 1)];
        group.wipe(lost);
        ASSERT_TRUE(waitForRedundancy(group, losses, Ms(20'000)).has_value());
        group.start(lost);
        group.run(Ms(8000));
        group.proposeChange();
        group.wipe(zone);
        group.wipe(zone + 4);
        EXPECT_TRUE(commitsWithin(group, commitTimeout)) << losses << " zone " << zone << " seed " << seed;
        EXPECT_EQ(group.violations, std::vector<std::string>{}) << losses << " zone " << zone << " seed " << seed;
      }
    }
  }
}

// A full disk counts as a loss until `lossWindow` after it has room again, which is when the next loss comes.
TEST(SecondLoss, ALossAfterADiskWasFullLeavesTheConfigurationReadable) {
  constexpr Ms fullFor{4500};
  constexpr Ms downFor{1400};
  for (std::size_t const losses : {1u, 2u}) {
    std::size_t const machines = 2 * losses + 1;
    for (std::size_t full = 0; full < machines; ++full) {
      for (std::size_t wiped = 0; wiped < machines; ++wiped) {
        for (std::uint64_t seed = 1; seed <= 6 && full != wiped; ++seed) {
          SCOPED_TRACE(testing::Message()
                       << losses << " losses, full " << full << ", wiped " << wiped << ", seed " << seed);
          ReplicationSimulation group = redundantGroup(seed, machines, losses);
          std::vector<std::size_t> const roles = membersByRole(group);
          group.nodes[roles[full]].diskFull = true;
          proposeFor(group, fullFor);
          group.nodes[roles[full]].diskFull = false;
          proposeFor(group, lossWindow);
          group.wipeInPlace(roles[wiped]);
          for (std::size_t more = 1; more < losses; ++more) {
            std::size_t const other =
                (wiped + more) % machines == full ? (full + 1) % machines : (wiped + more) % machines;
            group.wipeInPlace(roles[other]);
          }
          group.run(downFor);
          for (std::size_t index = 0; index < machines; ++index) {
            if (!group.nodes[index].up) {
              group.start(index);
            }
          }
          EXPECT_TRUE(commitsWithin(group, commitTimeout));
          EXPECT_EQ(group.violations, std::vector<std::string>{});
        }
      }
    }
  }
}

}  // namespace
