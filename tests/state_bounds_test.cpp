// Everything that the configuration service accepts fits on a controller's disk.
#include "limeramp/control/state_bounds.h"

#include "limeramp/control/change_receipts.h"
#include "limeramp/control/order_evaluator.h"
#include "limeramp/storage/record_store.h"
#include "node_tracker.h"
#include "roster_planner.h"

#include <gtest/gtest.h>

#include <filesystem>

namespace {

using namespace limeramp;
using namespace limeramp::control;

ConfigServiceOptions const options;

/// A text of the maximum length on a roster, different for each number.
std::string longText(std::size_t number) {
  std::string out = std::to_string(number);
  return out.append(maxRosterTextBytes - out.size(), 'n');
}

std::vector<messages::RosterEntry> longestRoster() {
  std::vector<messages::RosterEntry> out;
  for (std::size_t number = 0; number < options.maxNodes; ++number) {
    out.push_back({longText(number), longText(number), longText(number), ~std::uint64_t{0} >> 1});
  }
  return out;
}

messages::State longestState(char fill) {
  std::uint64_t const largest = ~std::uint64_t{0} >> 1;
  messages::State state;
  state.epoch = state.sequence = state.configurationEpoch = state.configurationSequence = largest;
  state.rosterEpoch = state.rosterSequence = state.revision = largest;
  state.forgottenEpoch = state.forgottenSequence = state.forgottenRevision = largest;
  state.document = std::string(options.maxDocumentBytes, fill);
  state.roster = state.priorRoster = longestRoster();
  Change change;
  for (std::size_t number = 0; number < options.maxReceipts; ++number) {
    change.id = "change " + std::to_string(number);
    addReceipt(state, change, largest, options.maxReceipts);
  }
  for (std::size_t number = 0; number < options.maxEvacuatedZones; ++number) {
    state.evacuatedZones.push_back(longText(number).substr(0, 64));
  }
  return state;
}

class StateBounds : public testing::Test {
 protected:
  StateBounds() {
    char pattern[] = "/tmp/limeramp-state-bounds-XXXXXX";
    folder_ = ::mkdtemp(pattern);
  }
  ~StateBounds() override { std::filesystem::remove_all(folder_); }

  std::string folder_;
};

// Guards against an accepted configuration that fits on no controller's disk: no change could be made after it.
TEST_F(StateBounds, LongestStateCanBeReplacedOnTheDiskBesideAllOtherRecords) {
  storage::RingLayout layout;
  layout.fileBytes = minStoreFileBytes(options);
  absl::StatusOr<std::unique_ptr<storage::RecordStore>> store = storage::RecordStore::open(folder_, layout);
  ASSERT_TRUE(store.ok()) << store.status();
  std::string const otherRecords(64 << 10, 'v');
  ASSERT_TRUE((*store)->put({{"vote", otherRecords}}).ok());
  for (char const fill : {'a', 'b', 'c', 'd', 'e', 'f'}) {
    std::string const packed = messages::pack(longestState(fill));
    EXPECT_LE(packed.size(), maxStateBytes(options));
    EXPECT_GT(packed.size(), maxStateBytes(options) * 9 / 10) << "the bound is far above the longest state";
    absl::Status const written =
        (*store)->put({{"state", packed}, {"state-schema", messages::schemaOf<messages::State>()}});
    ASSERT_TRUE(written.ok()) << fill << " " << written;
  }
}

TEST_F(StateBounds, DocumentAboveTheBoundIsRefusedAndOneAtTheBoundIsTaken) {
  OrderEvaluator const evaluator(options, config::nativeConfigSchema());
  std::string const frame = R"({"revision":1,"services":{}})";
  for (std::size_t const surplus : {std::size_t{0}, std::size_t{1}}) {
    Change change;
    change.id = "long";
    change.body = frame + std::string(options.maxDocumentBytes - frame.size() + surplus, ' ');
    Evaluation const evaluation = evaluator.evaluate({1, change, messages::State{}, 1});
    EXPECT_EQ(std::holds_alternative<Rejection>(evaluation), surplus > 0) << surplus;
  }
}

TEST_F(StateBounds, NodeWithTooLongNameAddressOrZoneStaysOffTheRoster) {
  NodeTracker tracker(options);
  TimePoint const now{std::chrono::hours(1)};
  std::string const tooLong(maxRosterTextBytes + 1, 'x');
  messages::PeerStatus const status{"", 1, false, {}};
  tracker.report(now, {tooLong, "10.0.0.1:1", "zone", 0, 0}, status, true);
  tracker.report(now, {"b", tooLong, "zone", 0, 0}, status, true);
  tracker.report(now, {"c", "10.0.0.3:1", tooLong, 0, 0}, status, true);
  tracker.report(now, {longText(4), longText(4), longText(4), 0, 0}, status, true);
  RosterPlan const plan = planRoster(now, options, {}, tracker);
  ASSERT_EQ(plan.roster.size(), 1u);
  EXPECT_EQ(plan.roster.front().node, longText(4));
}

TEST_F(StateBounds, FullRosterTakesNoMoreNodes) {
  ConfigServiceOptions smallRoster = options;
  smallRoster.maxNodes = 3;
  NodeTracker tracker(smallRoster);
  TimePoint const now{std::chrono::hours(1)};
  for (std::string const node : {"a", "b", "c"}) {
    tracker.report(now, {node, node + ":1", "zone", 0, 0}, {node, 1, false, {}}, true);
  }
  std::vector<messages::RosterEntry> const current{{"x", "x:1", "zone", 0}, {"y", "y:1", "zone", 1}};
  tracker.leadershipBegan(now);
  EXPECT_EQ(planRoster(now, smallRoster, current, tracker).roster.size(), smallRoster.maxNodes);
}

}  // namespace
