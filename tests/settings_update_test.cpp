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

/// A settings file that holds one seed address, which must begin with "10."; any other text is invalid.
class SeedFile {
 public:
  explicit SeedFile(std::string const& seed) { write(seed); }
  ~SeedFile() { std::remove(path.c_str()); }
  SeedFile(SeedFile const&) = delete;
  SeedFile& operator=(SeedFile const&) = delete;

  /// Replaces the file by a rename, so that the change is detected even if the modification time is the same.
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

TEST(SettingsUpdate, ChangeableSettingsAreAppliedAndTheOthersWaitForARestart) {
  config::Settings const inForce = settingsWithSeeds({"10.0.0.1:1"});
  config::Settings newSettings = inForce;
  newSettings.seeds = {"10.0.0.2:1", "10.0.0.3:1"};
  newSettings.platform = "10.0.0.9:1";
  newSettings.listMs = Ms(900);
  newSettings.listPageMs = Ms(90);
  newSettings.maxConnections = 77;
  newSettings.extraSlack = 5;
  newSettings.extraRatio = 0.5;
  newSettings.graceMs = Ms(1000);
  newSettings.noticeMs = Ms(500);
  config::Settings const expected = newSettings;
  newSettings.node = "m02";
  newSettings.zone = "z2";
  newSettings.data = "/elsewhere";
  newSettings.callerListens = {"10.0.0.1:9"};
  config::SettingsUpdate const update = config::updateSettings(inForce, newSettings);
  EXPECT_EQ(update.applied, (std::vector<std::string>{"seeds", "platform", "list_ms", "list_page_ms", "max_connections",
                                                      "extra_slack", "extra_ratio", "grace_ms", "notice_ms"}));
  EXPECT_EQ(update.waitingForRestart, (std::vector<std::string>{"node", "zone", "data", "caller_listens"}));
  EXPECT_EQ(update.settings.node, "m01");
  EXPECT_TRUE(update.settings.data.empty());
  EXPECT_TRUE(config::updateSettings(expected, update.settings).applied.empty());
  EXPECT_TRUE(config::updateSettings(expected, update.settings).waitingForRestart.empty());
}

TEST(SettingsFile, IsReadOncePerChangeAndNotWhileItIsMissing) {
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

TEST(SettingsFile, InvalidFileIsReadAgainUntilItIsValid) {
  SeedFile seedFile("half of a");
  config::SettingsFile file = seedFile.follow();
  EXPECT_FALSE(file.readIfChanged()->settings.has_value());
  EXPECT_FALSE(file.readIfChanged()->settings.has_value());
  seedFile.write("10.0.0.2:1");
  EXPECT_TRUE(file.readIfChanged()->settings.has_value());
  EXPECT_FALSE(file.readIfChanged().has_value());
}

TEST(SettingsFollower, ChecksTheFileAtItsIntervalAndAtOnceOnReload) {
  SeedFile seedFile("10.0.0.1:1");
  node::SettingsFollower follower(settingsWithSeeds({"10.0.0.1:1"}));
  node::TimePoint const start{std::chrono::hours(1)};
  EXPECT_FALSE(follower.tick(start).has_value());
  EXPECT_FALSE(follower.reload(start).has_value());
  follower.follow(seedFile.follow());
  EXPECT_FALSE(follower.tick(start).has_value());
  seedFile.write("10.0.0.2:1");
  for (Ms elapsed{0}; elapsed < node::settingsLookMs; elapsed += Ms(50)) {
    EXPECT_FALSE(follower.tick(start + elapsed).has_value());
  }
  EXPECT_EQ(seedFile.reads, 1);
  std::optional<config::SettingsUpdate> const polled = follower.tick(start + node::settingsLookMs);
  ASSERT_TRUE(polled.has_value());
  EXPECT_EQ(polled->settings.seeds.front(), "10.0.0.2:1");
  seedFile.write("10.0.0.3:1");
  std::optional<config::SettingsUpdate> const reread = follower.reload(start + node::settingsLookMs);
  ASSERT_TRUE(reread.has_value());
  EXPECT_EQ(reread->settings.seeds.front(), "10.0.0.3:1");
  EXPECT_EQ(follower.inForce().seeds.front(), "10.0.0.3:1");
}

TEST(SettingsFollower, InvalidFileLeavesTheFormerSettingsInForce) {
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

/// Becomes ready as the service receives each call.
struct ReceivedCalls {
  std::promise<void> followed;
  std::promise<void> reloaded;
  std::promise<void> drained;
};

/// A service that serves nothing and reports the calls that it receives.
class RecordingService {
 public:
  explicit RecordingService(ReceivedCalls& calls) : calls_(calls) {}
  void follow(config::SettingsFile const&) { calls_.followed.set_value(); }
  void reload() { calls_.reloaded.set_value(); }
  void drain() { calls_.drained.set_value(); }

 private:
  ReceivedCalls& calls_;
};

TEST(Program, ReloadsItsSettingsOnSighupAndDrainsOnSigterm) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGHUP);
  sigaddset(&signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  ReceivedCalls calls;
  SeedFile seedFile("10.0.0.1:1");
  std::future<int> ended = std::async(std::launch::async, [&] {
    programs::Start<RecordingService> const start = [&](config::Settings const&, std::string&) {
      return std::make_unique<RecordingService>(calls);
    };
    return programs::serve<RecordingService>("program-test", settingsWithSeeds({}), seedFile.follow(), start);
  });
  calls.followed.get_future().wait();
  kill(getpid(), SIGHUP);
  calls.reloaded.get_future().wait();
  kill(getpid(), SIGTERM);
  calls.drained.get_future().wait();
  EXPECT_EQ(ended.get(), 0);
}

}  // namespace
