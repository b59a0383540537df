#include "explorer/scenarios.h"
#include "explorer/search.h"
#include "limeramp/replication/replication_group.h"

#include <gtest/gtest.h>

#include <cstdio>

#include <algorithm>
#include <string>
#include <vector>

namespace {

using namespace limeramp;
using replication::ReplicationGroup;
using namespace limeramp::explorer;
using Ms = std::chrono::milliseconds;
using TimePoint = std::chrono::steady_clock::time_point;

std::vector<replication::Member> threeMembers() {
  return {{"a", "10.0.0.1:1", "z1"}, {"b", "10.0.0.2:1", "z2"}, {"c", "10.0.0.3:1", "z3"}};
}

ReplicationGroup startedMember(TimePoint now, std::uint64_t seed) {
  ReplicationGroup group(replication::optionsFor(1));
  group.step(now, replication::Start{threeMembers()[0], {}, seed, false, {"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}});
  group.step(now, replication::KnownMembers{threeMembers(), true});
  group.step(now, replication::MessageReceived{"b", "10.0.0.2:1", messages::Heartbeat{{}, 7, 0, false, 0}});
  return group;
}

TEST(ReplicationGroupDigest, CopyIsEqualAndDivergesIndependently) {
  TimePoint const now{std::chrono::hours(1)};
  ReplicationGroup original = startedMember(now, 1);
  ReplicationGroup copy = original;
  EXPECT_EQ(copy.digest(now), original.digest(now));
  std::vector<replication::GroupEffect> const effects = copy.step(now + Ms(400), replication::Tick{});
  EXPECT_FALSE(effects.empty());
  EXPECT_NE(copy.digest(now + Ms(400)), original.digest(now + Ms(400)));
  EXPECT_EQ(original.step(now + Ms(400), replication::Tick{}).size(), effects.size());
  EXPECT_EQ(copy.digest(now + Ms(400)), original.digest(now + Ms(400)));
}

TEST(ReplicationGroupDigest, IsRelativeToTheGivenTime) {
  TimePoint const early{std::chrono::hours(1)};
  TimePoint const late{std::chrono::hours(50)};
  EXPECT_EQ(startedMember(early, 1).digest(early), startedMember(late, 1).digest(late));
  EXPECT_NE(startedMember(early, 1).digest(early), startedMember(early, 1).digest(early + Ms(100)));
}

/// Returns the violation, the steps of its trace by name, and the command that replays it.
std::string describeFinding(Scenario const& scenario, Finding const& finding) {
  std::string stepLog;
  replay(scenario.start, finding.trace, true, &stepLog);
  return finding.violation + "\n" + stepLog + "state_explorer --scenario " + scenario.name + " --replay " +
         traceText(finding.trace);
}

constexpr std::size_t stepsPerWalkTest = 600'000;

class Search : public testing::TestWithParam<std::string> {};
class Walk : public testing::TestWithParam<std::string> {};

Scenario scenarioNamed(std::vector<Scenario> const& scenarios, std::string const& name) {
  return *std::find_if(scenarios.begin(), scenarios.end(),
                       [&](Scenario const& scenario) { return scenario.name == name; });
}

std::vector<std::string> namesOf(std::vector<Scenario> const& scenarios) {
  std::vector<std::string> out;
  out.reserve(scenarios.size());
  for (Scenario const& scenario : scenarios) {
    out.push_back(scenario.name);
  }
  return out;
}

std::string testName(testing::TestParamInfo<std::string> const& info) {
  std::string out = info.param;
  std::replace(out.begin(), out.end(), '-', '_');
  return out;
}

TEST_P(Search, NoReachableStateBreaksAnInvariant) {
  Scenario const scenario = scenarioNamed(searchScenarios(), GetParam());
  SearchReport const report = searchAll(scenario.start, {.maxStates = 60'000, .recoverEvery = 500});
  std::printf("%zu states, %zu transitions, depth %zu, %zu recoveries\n", report.states, report.transitions,
              report.depth, report.recoveries);
  EXPECT_GT(report.states, 10'000u);
  EXPECT_FALSE(report.finding.has_value()) << describeFinding(scenario, *report.finding);
}

TEST_P(Walk, NoSeededWalkBreaksAnInvariant) {
  Scenario const scenario = scenarioNamed(walkScenarios(), GetParam());
  WalkReport const report = walkRandomly(
      scenario.start, {.firstSeed = 1, .walks = stepsPerWalkTest / scenario.steps, .steps = scenario.steps});
  std::printf("%zu walks, %zu steps, %zu epochs, %zu acknowledged, seeds 1 to %llu\n", report.walks, report.steps,
              report.epochs, report.acknowledged, static_cast<unsigned long long>(report.seed));
  EXPECT_GT(report.epochs, report.walks * 3 / 2);
  EXPECT_GT(report.acknowledged, report.walks);
  EXPECT_FALSE(report.finding.has_value()) << describeFinding(scenario, shorten(scenario.start, *report.finding));
}

INSTANTIATE_TEST_SUITE_P(Explorer, Search, testing::ValuesIn(namesOf(searchScenarios())), testName);
INSTANTIATE_TEST_SUITE_P(Explorer, Walk, testing::ValuesIn(namesOf(walkScenarios())), testName);

TEST(Trace, TextRoundTripsAndRejectsMalformedSteps) {
  Trace const trace{{ActionKind::tick, 2, 0}, {ActionKind::crash, 1, 3}, {ActionKind::deliver, 0, 0}};
  EXPECT_EQ(traceText(trace), "tick:2,crash:1:3,deliver:0");
  EXPECT_EQ(parseTrace(traceText(trace)), trace);
  EXPECT_FALSE(parseTrace("tick:2,sleep:1").has_value());
  EXPECT_FALSE(parseTrace("tick:x").has_value());
}

}  // namespace
