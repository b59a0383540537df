#include "limeramp/config/settings_update.h"
#include "limeramp/config/settings_file.h"
#include "limeramp/node/settings_follower.h"
#include "program.h"

#include <gtest/gtest.h>

#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <future>
#include <thread>

namespace {

using namespace limeramp;
using Ms = std::chrono::milliseconds;

config::Settings settingsWithSeeds(std::vector<std::string> const& seeds) {
  config::Settings settings;
  settings.node = "m01";
  settings.seeds = seeds;
  return settings;
}

/// A settings file whose text is one seed; any other text is not usable.
class SeedFile {
 public:
  explicit SeedFile(std::string const& seed) { write(seed); }
  ~SeedFile() { std::remove(path.c_str()); }
  SeedFile(SeedFile const&) = delete;
  SeedFile& operator=(SeedFile const&) = delete;

  /// Replaces the file by another one, as a rename does, so that it differs whatever the clock says.
  void write(std::string const& seed) const {
    std::ofstream(path + ".next") << seed;
    std::filesystem::rename(path + ".next", path);
  }

  config::SettingsFile follow() {
    return {path, [this] {
              ++reads;
              std::ifstream file(path);
              std::string seed;
              std::getline(file, seed);
              config::CheckedSettings out;
              if (seed.starts_with("10.")) {
                out.settings = settingsWithSeeds({seed});
              } else {
                out.problems.push_back({"/seeds", "must name an address"});
              }
              return out;
            }};
  }

  std::string path = testing::TempDir() + "seed-" + std::to_string(getpid());
  int reads = 0;
};

TEST(SettingsUpdate, WhatCanChangeInPlaceIsAppliedAndTheRestIsNamed) {
  config::Settings const inForce = settingsWithSeeds({"10.0.0.1:1"});
  config::Settings readAnew = inForce;
  readAnew.seeds = {"10.0.0.2:1", "10.0.0.3:1"};
  readAnew.platform = "10.0.0.9:1";
  readAnew.listMs = Ms(900);
  readAnew.listPageMs = Ms(90);
  readAnew.maxConnections = 77;
  readAnew.extraSlack = 5;
  readAnew.extraRatio = 0.5;
  readAnew.graceMs = Ms(1000);
  readAnew.noticeMs = Ms(500);
  config::Settings const expected = readAnew;
  readAnew.node = "m02";
  readAnew.zone = "z2";
  readAnew.data = "/elsewhere";
  readAnew.callerListens = {"10.0.0.1:9"};
  config::SettingsUpdate const update = config::updateSettings(inForce, readAnew);
  EXPECT_EQ(update.applied, (std::vector<std::string>{"seeds", "platform", "list_ms", "list_page_ms", "max_connections",
                                                      "extra_slack", "extra_ratio", "grace_ms", "notice_ms"}));
  EXPECT_EQ(update.waitingForRestart, (std::vector<std::string>{"node", "zone", "data", "caller_listens"}));
  EXPECT_EQ(update.settings.node, "m01");
  EXPECT_TRUE(update.settings.data.empty());
  EXPECT_TRUE(config::updateSettings(expected, update.settings).applied.empty());
  EXPECT_TRUE(config::updateSettings(expected, update.settings).waitingForRestart.empty());
}

TEST(SettingsFile, IsReadOnceForEachChangeAndNotWhileThereIsNone) {
  SeedFile seedFile("10.0.0.1:1");
  config::SettingsFile file = seedFile.follow();
  EXPECT_TRUE(file.readIfChanged().has_value());
  EXPECT_FALSE(file.readIfChanged().has_value());
  seedFile.write("10.0.0.2:1");
  EXPECT_EQ(file.readIfChanged()->settings->seeds.front(), "10.0.0.2:1");
  EXPECT_FALSE(file.readIfChanged().has_value());
  EXPECT_EQ(seedFile.reads, 2);
  EXPECT_TRUE(file.read().settings.has_value());
  std::filesystem::remove(seedFile.path);
  EXPECT_FALSE(file.readIfChanged().has_value());
  EXPECT_EQ(seedFile.reads, 3);
}

TEST(SettingsFile, OneThatIsNotUsableIsReadAgainUntilItIs) {
  SeedFile seedFile("half of a");
  config::SettingsFile file = seedFile.follow();
  EXPECT_FALSE(file.readIfChanged()->settings.has_value());
  EXPECT_FALSE(file.readIfChanged()->settings.has_value());
  seedFile.write("10.0.0.2:1");
  EXPECT_TRUE(file.readIfChanged()->settings.has_value());
  EXPECT_FALSE(file.readIfChanged().has_value());
}

TEST(SettingsFollower, LooksAtItsRateAndAtOnceWhenTold) {
  SeedFile seedFile("10.0.0.1:1");
  node::SettingsFollower follower(settingsWithSeeds({"10.0.0.1:1"}));
  node::TimePoint const start{std::chrono::hours(1)};
  EXPECT_FALSE(follower.tick(start).has_value());
  EXPECT_FALSE(follower.reload(start).has_value());
  follower.follow(seedFile.follow());
  EXPECT_FALSE(follower.tick(start).has_value());
  seedFile.write("10.0.0.2:1");
  for (Ms passed{0}; passed < node::settingsLookMs; passed += Ms(50)) {
    EXPECT_FALSE(follower.tick(start + passed).has_value());
  }
  EXPECT_EQ(seedFile.reads, 1);
  std::optional<config::SettingsUpdate> const seen = follower.tick(start + node::settingsLookMs);
  ASSERT_TRUE(seen.has_value());
  EXPECT_EQ(seen->settings.seeds.front(), "10.0.0.2:1");
  seedFile.write("10.0.0.3:1");
  std::optional<config::SettingsUpdate> const told = follower.reload(start + node::settingsLookMs);
  ASSERT_TRUE(told.has_value());
  EXPECT_EQ(told->settings.seeds.front(), "10.0.0.3:1");
  EXPECT_EQ(follower.inForce().seeds.front(), "10.0.0.3:1");
}

TEST(SettingsFollower, AFileThatIsNotUsableLeavesTheFormerSettings) {
  SeedFile seedFile("10.0.0.1:1");
  node::SettingsFollower follower(settingsWithSeeds({"10.0.0.1:1"}));
  follower.follow(seedFile.follow());
  node::TimePoint const start{std::chrono::hours(1)};
  seedFile.write("{");
  EXPECT_FALSE(follower.reload(start).has_value());
  EXPECT_FALSE(follower.tick(start + node::settingsLookMs).has_value());
  EXPECT_EQ(follower.inForce().seeds.front(), "10.0.0.1:1");
  seedFile.write("10.0.0.2:1");
  EXPECT_TRUE(follower.tick(start + 2 * node::settingsLookMs).has_value());
}

/// What a service was told, one value for each call.
struct Told {
  std::promise<void> followed;
  std::promise<void> reloaded;
  std::promise<void> drained;
};

/// Stands in for a server: keeps no request and tells what was asked of it.
class RecordingService {
 public:
  explicit RecordingService(Told& told) : told_(told) {}
  void follow(config::SettingsFile const&) { told_.followed.set_value(); }
  void reload() { told_.reloaded.set_value(); }
  void drain() { told_.drained.set_value(); }

 private:
  Told& told_;
};

TEST(Program, ReadsItsSettingsAgainOnSighupAndDrainsOnSigterm) {
  sigset_t both;
  sigemptyset(&both);
  sigaddset(&both, SIGHUP);
  sigaddset(&both, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &both, nullptr);
  Told told;
  SeedFile seedFile("10.0.0.1:1");
  std::future<int> ended = std::async(std::launch::async, [&] {
    programs::Start<RecordingService> const start = [&](config::Settings const&, std::string&) {
      return std::make_unique<RecordingService>(told);
    };
    return programs::serve<RecordingService>("program-test", settingsWithSeeds({}), seedFile.follow(), start);
  });
  told.followed.get_future().wait();
  kill(getpid(), SIGHUP);
  told.reloaded.get_future().wait();
  kill(getpid(), SIGTERM);
  told.drained.get_future().wait();
  EXPECT_EQ(ended.get(), 0);
}

}  // namespace
