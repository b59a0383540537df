#include "limeramp/config/configuration.h"
#include "limeramp/config/settings.h"
#include "limeramp/discovery/list.h"
#include "limeramp/dispatch/shard_result.h"
#include "limeramp/net/http.h"
#include "limeramp/replication/replication_group.h"
#include "limeramp/storage/record_store.h"

#include <gtest/gtest.h>

#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <random>

namespace {

using namespace limeramp;
using Random = std::mt19937_64;

std::string const document = R"({"services":{"p0":{"capacity":20,"slow_start_ms":3000},"p1":{},"logs":{}},
  "searches":{"packages":{"tenant":"k","prefix":"/packages","result_size":5,"minimum_shards":1,"max_attempts":2,"deadline_ms":400,
    "shards":[{"service":"p0","cut":"c1"},{"service":"p1","cut":"c1"}]}},
  "routes":{"logs":{"tenant":"k","prefix":"/packages/logs","service":"logs","repeatable":true}},
  "cells":{"north":{"tenants":["k"],"nodes":["m01"]}},"emptied_zones":["z2"]})";

picojson::value anything(Random& random, int depth) {
  switch (random() % (depth > 0 ? 9 : 7)) {
    case 0:
      return picojson::value();
    case 1:
      return picojson::value(random() % 2 == 0);
    case 2:
      return picojson::value(static_cast<double>(random() % 10) - 3);
    case 3:
      return picojson::value(1e17);
    case 4:
      return picojson::value(std::string(random() % 300, 'x'));
    case 5:
      return picojson::value(std::string("p0"));
    case 6:
      return picojson::value(std::string("/packages"));
    case 7: {
      picojson::array out(random() % 3);
      for (picojson::value& entry : out) {
        entry = anything(random, depth - 1);
      }
      return picojson::value(out);
    }
    default: {
      picojson::object out;
      for (std::uint64_t left = random() % 3; left > 0; --left) {
        out[random() % 2 == 0 ? "services" : "odd"] = anything(random, depth - 1);
      }
      return picojson::value(out);
    }
  }
}

void spoil(Random& random, picojson::value& value) {
  if (random() % 4 == 0) {
    value = anything(random, 3);
  } else if (value.is<picojson::object>() && !value.get<picojson::object>().empty()) {
    picojson::object& object = value.get<picojson::object>();
    picojson::object::iterator const chosen = std::next(object.begin(), static_cast<long>(random() % object.size()));
    switch (random() % 6) {
      case 0:
        object.erase(chosen);
        break;
      case 1:
        object["odd"] = anything(random, 2);
        break;
      default:
        spoil(random, chosen->second);
    }
  } else if (value.is<picojson::array>() && !value.get<picojson::array>().empty()) {
    picojson::array& array = value.get<picojson::array>();
    spoil(random, array[random() % array.size()]);
  } else {
    value = anything(random, 2);
  }
}

std::string bytesSpoilt(Random& random, std::string text) {
  for (std::uint64_t left = 1 + random() % 3; left > 0 && !text.empty(); --left) {
    std::size_t const at = random() % text.size();
    switch (random() % 3) {
      case 0:
        text[at] = static_cast<char>(random() % 256);
        break;
      case 1:
        text.erase(at, 1 + random() % 5);
        break;
      default:
        text.insert(at, text.substr(random() % text.size(), random() % 8));
    }
  }
  return text;
}

TEST(Fuzz, AConfigurationIsTakenWholeOrEveryProblemHasAPath) {
  Random random(1);
  std::size_t taken = 0;
  std::size_t refused = 0;
  for (int round = 0; round < 20'000; ++round) {
    picojson::value value = *config::parseJson(document);
    for (std::uint64_t left = random() % 3; left > 0; --left) {
      spoil(random, value);
    }
    config::CheckedConfiguration const checked = config::checkConfiguration(value);
    ASSERT_EQ(checked.configuration.has_value(), checked.problems.empty());
    for (config::Problem const& problem : checked.problems) {
      EXPECT_TRUE(problem.path.starts_with("/") || problem.path.empty()) << problem.path;
      EXPECT_FALSE(problem.reason.empty());
    }
    if (!checked.configuration) {
      ++refused;
      continue;
    }
    ++taken;
    for (config::Search const& search : checked.configuration->searches) {
      EXPECT_GE(search.minimumShards, 1u);
      EXPECT_LE(search.minimumShards, search.shards.size());
      EXPECT_GE(search.maxAttempts, 1u);
      for (config::Shard const& shard : search.shards) {
        EXPECT_TRUE(checked.configuration->services.contains(shard.service));
      }
    }
    for (config::Route const& route : checked.configuration->routes) {
      ASSERT_FALSE(route.choices.empty());
      for (config::WeightedService const& choice : route.choices) {
        EXPECT_TRUE(checked.configuration->services.contains(choice.service));
      }
    }
    absl::StatusOr<picojson::value> const again = config::parseJson(value.serialize());
    ASSERT_TRUE(again.ok());
    EXPECT_TRUE(config::checkConfiguration(*again).problems.empty());
  }
  EXPECT_GT(taken, 1000u);
  EXPECT_GT(refused, 1000u);
}

TEST(Fuzz, AMergePatchTwiceIsTheSameAsOnceAndLeavesTheRestAlone) {
  Random random(2);
  for (int round = 0; round < 20'000; ++round) {
    picojson::value target = *config::parseJson(document);
    spoil(random, target);
    picojson::value const patch = anything(random, 4);
    picojson::value const once = config::mergePatch(target, patch);
    EXPECT_EQ(config::mergePatch(once, patch), once);
    EXPECT_EQ(config::mergePatch(target, picojson::value(picojson::object())),
              target.is<picojson::object>() ? target : picojson::value(picojson::object()));
    if (patch.is<picojson::object>() && target.is<picojson::object>()) {
      for (std::pair<std::string const, picojson::value> const& entry : target.get<picojson::object>()) {
        if (!patch.contains(entry.first)) {
          EXPECT_EQ(once.get(entry.first), entry.second);
        }
      }
    }
  }
}

TEST(Fuzz, TextThatIsNotStrictJsonNeverCrashesTheReader) {
  Random random(3);
  std::size_t read = 0;
  for (int round = 0; round < 30'000; ++round) {
    absl::StatusOr<picojson::value> const value = config::parseJson(bytesSpoilt(random, document));
    if (value.ok()) {
      ++read;
      absl::StatusOr<picojson::value> const again = config::parseJson(value->serialize());
      ASSERT_TRUE(again.ok());
      EXPECT_EQ(*again, *value);
    }
  }
  EXPECT_GT(read, 1000u);
}

TEST(Fuzz, APartIsTakenOnlyWithItsStampSortedAndBounded) {
  Random random(4);
  dispatch::ShardStamp const stamp{"a", "c1", "r1"};
  std::string const right = R"({"stamp":{"shard":"a","cut":"c1","request":"r1"},"records":["b","c","a","c","zz"]})";
  std::size_t taken = 0;
  for (int round = 0; round < 30'000; ++round) {
    std::string const body = bytesSpoilt(random, right);
    absl::StatusOr<dispatch::ShardResult> const part = dispatch::parseShardResult(body, stamp, 3);
    if (part.ok()) {
      ++taken;
      EXPECT_EQ(part->stamp, stamp);
      EXPECT_LE(part->records.size(), 3u);
      EXPECT_TRUE(std::is_sorted(part->records.rbegin(), part->records.rend()));
      EXPECT_TRUE(config::parseJson(body).ok());
    }
  }
  EXPECT_GT(taken, 500u);
  EXPECT_LT(taken, 29'000u);
}

TEST(Fuzz, OfAListOnlyWholeRowsAreKept) {
  Random random(5);
  std::string const right = R"({"servers":[
    {"address":"127.0.0.1:7100","service":"p0","zone":"z1","capacity":50,"leaving":false,"slow_start_ms":3000},
    {"address":"127.0.0.2:7100","service":"p0","zone":"z2","capacity":50},
    {"address":"127.0.0.3:7100","service":"logs","zone":"z1","capacity":20}]})";
  ASSERT_EQ(discovery::readList(right)->rows, 3u);
  std::size_t kept = 0;
  std::size_t dropped = 0;
  for (int round = 0; round < 20'000; ++round) {
    picojson::value value = *config::parseJson(right);
    spoil(random, value);
    absl::StatusOr<discovery::List> const list =
        discovery::readList(round % 2 == 0 ? value.serialize() : bytesSpoilt(random, right));
    if (!list.ok()) {
      continue;
    }
    std::size_t rows = 0;
    for (std::pair<std::string const, std::vector<dispatch::ServerEndpoint>> const& service : list->services) {
      EXPECT_FALSE(service.first.empty());
      for (dispatch::ServerEndpoint const& row : service.second) {
        ++rows;
        EXPECT_TRUE(net::Address::parse(row.address).has_value()) << row.address;
        EXPECT_GT(row.capacity, 0);
        EXPECT_GE(row.slowStartMs.count(), 0);
      }
    }
    kept += rows;
    dropped += list->dropped.size();
  }
  EXPECT_GT(kept, 10'000u);
  EXPECT_GT(dropped, 1000u);
}

TEST(Fuzz, SettingsAreUsableOrRefusedByPath) {
  Random random(6);
  std::string const right =
      R"({"node":"m01","listen":"127.0.0.1:7000","zone":"z1","seeds":["127.0.0.1:7000","127.0.0.2:7000"],
    "platform":"127.0.0.9:7900","hands":2,"max_connections":100,"max_requests":50,"rerun":true,"log_level":"info"})";
  ASSERT_TRUE(config::checkSettings(*config::parseJson(right), {true, false}).settings.has_value());
  std::size_t taken = 0;
  for (int round = 0; round < 20'000; ++round) {
    picojson::value value = *config::parseJson(right);
    spoil(random, value);
    config::CheckedSettings const checked = config::checkSettings(value, {true, false});
    ASSERT_EQ(checked.settings.has_value(), checked.problems.empty());
    if (checked.settings) {
      ++taken;
      EXPECT_FALSE(checked.settings->node.empty());
      EXPECT_TRUE(net::Address::parse(checked.settings->listen).has_value());
      EXPECT_GE(checked.settings->seeds.size(), 1u);
      EXPECT_LE(checked.settings->seeds.size(), 3u);
      EXPECT_GE(checked.settings->workerThreads, 1u);
    }
  }
  EXPECT_GT(taken, 100u);
}

TEST(Fuzz, StoredRecordsThatDoNotReadAreDamageAndNeverAVote) {
  Random random(7);
  replication::TimePoint const now{std::chrono::hours(1)};
  std::map<std::string, std::string> disk;
  replication::ReplicationGroup first{replication::ReplicationOptions{}};
  first.step(now, replication::Start{{"h0", "127.0.0.1:1", "z1"}, {}, 1});
  messages::State state;
  state.epoch = 3;
  state.document = document;
  for (replication::GroupEffect const& effect : first.step(
           now,
           replication::MessageReceived{"h1", "127.0.0.2:1",
                                        messages::Sync{{3, "f", "h1", {"h0"}, {"h0", "h1", "h2"}}, 5, false, state}})) {
    if (replication::Persist const* const persist = std::get_if<replication::Persist>(&effect)) {
      for (std::pair<std::string, std::string> const& put : persist->puts) {
        disk[put.first] = put.second;
      }
    }
  }
  ASSERT_EQ(disk.size(), 4u);
  std::size_t broken = 0;
  for (int round = 0; round < 10'000; ++round) {
    std::map<std::string, std::string> spoilt = disk;
    std::map<std::string, std::string>::iterator const victim =
        std::next(spoilt.begin(), static_cast<long>(random() % spoilt.size()));
    victim->second = random() % 2 == 0 ? bytesSpoilt(random, victim->second)
                                       : victim->second.substr(0, random() % (victim->second.size() + 1));
    replication::ReplicationGroup group{replication::ReplicationOptions{}};
    std::vector<replication::GroupEffect> const effects =
        group.step(now, replication::Start{{"h0", "127.0.0.1:1", "z1"}, spoilt, 2});
    if (!group.unhealthy()) {
      continue;
    }
    ++broken;
    EXPECT_TRUE(std::any_of(effects.begin(), effects.end(), [](replication::GroupEffect const& effect) {
      replication::LogEntry const* const note = std::get_if<replication::LogEntry>(&effect);
      return note != nullptr && note->event == logging::Event::diskDamaged;
    }));
    for (replication::GroupEffect const& effect : group.step(
             now, replication::MessageReceived{
                      "h1", "127.0.0.2:1", messages::Prepare{{3, "f", "h1", {"h0"}, {"h0", "h1", "h2"}}, {9, "h1"}}})) {
      EXPECT_FALSE(std::holds_alternative<replication::Send>(effect));
      EXPECT_FALSE(std::holds_alternative<replication::Persist>(effect));
    }
  }
  EXPECT_GT(broken, 1000u);
}

TEST(Fuzz, AStoreOfSpoiltFilesServesWhatWasWrittenOrSaysDamaged) {
  std::string const folder = std::filesystem::temp_directory_path() / ("limeramp-fuzz-" + std::to_string(getpid()));
  Random random(8);
  std::size_t damaged = 0;
  std::size_t whole = 0;
  for (int round = 0; round < 150; ++round) {
    std::filesystem::remove_all(folder);
    std::vector<std::map<std::string, std::string>> history;
    {
      std::unique_ptr<storage::RecordStore> const store = *storage::RecordStore::open(folder, {4, 4096});
      std::map<std::string, std::string> values;
      history.push_back(values);
      for (int put = 0; put < 20; ++put) {
        std::string const key(1, static_cast<char>('a' + random() % 4));
        values[key] = std::string(random() % 200, static_cast<char>('A' + put));
        ASSERT_TRUE(store->put({{key, values[key]}}).ok());
        history.push_back(values);
      }
    }
    for (std::uint64_t left = 1 + random() % 2; left > 0; --left) {
      std::fstream file(folder + "/ring-" + std::to_string(random() % 4),
                        std::ios::in | std::ios::out | std::ios::binary);
      file.seekp(static_cast<long>(random() % 4096));
      file.put(static_cast<char>(random() % 256));
    }
    absl::StatusOr<std::unique_ptr<storage::RecordStore>> const store = storage::RecordStore::open(folder, {4, 4096});
    if (!store.ok() || (*store)->findings().damaged) {
      ++damaged;
      continue;
    }
    ++whole;
    EXPECT_NE(std::find(history.begin(), history.end(), (*store)->values()), history.end()) << round;
  }
  std::filesystem::remove_all(folder);
  EXPECT_GT(damaged, 5u);
  EXPECT_GT(whole, 20u);
}

}  // namespace
