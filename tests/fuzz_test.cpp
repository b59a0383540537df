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

picojson::value randomValue(Random& random, int depth) {
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
        entry = randomValue(random, depth - 1);
      }
      return picojson::value(out);
    }
    default: {
      picojson::object out;
      for (std::uint64_t remaining = random() % 3; remaining > 0; --remaining) {
        out[random() % 2 == 0 ? "services" : "odd"] = randomValue(random, depth - 1);
      }
      return picojson::value(out);
    }
  }
}

void mutateValue(Random& random, picojson::value& value) {
  if (random() % 4 == 0) {
    value = randomValue(random, 3);
  } else if (value.is<picojson::object>() && !value.get<picojson::object>().empty()) {
    picojson::object& object = value.get<picojson::object>();
    picojson::object::iterator const chosen = std::next(object.begin(), static_cast<long>(random() % object.size()));
    switch (random() % 6) {
      case 0:
        object.erase(chosen);
        break;
      case 1:
        object["odd"] = randomValue(random, 2);
        break;
      default:
        mutateValue(random, chosen->second);
    }
  } else if (value.is<picojson::array>() && !value.get<picojson::array>().empty()) {
    picojson::array& array = value.get<picojson::array>();
    mutateValue(random, array[random() % array.size()]);
  } else {
    value = randomValue(random, 2);
  }
}

std::string mutateBytes(Random& random, std::string text) {
  for (std::uint64_t remaining = 1 + random() % 3; remaining > 0 && !text.empty(); --remaining) {
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

TEST(Fuzz, ConfigurationIsAcceptedWholeOrEveryProblemHasAPath) {
  Random random(1);
  std::size_t accepted = 0;
  std::size_t rejected = 0;
  for (int round = 0; round < 20'000; ++round) {
    picojson::value value = *config::parseJson(document);
    for (std::uint64_t remaining = random() % 3; remaining > 0; --remaining) {
      mutateValue(random, value);
    }
    config::CheckedConfiguration const checked = config::checkConfiguration(value);
    ASSERT_EQ(checked.configuration.has_value(), checked.problems.empty());
    for (config::Problem const& problem : checked.problems) {
      EXPECT_TRUE(problem.path.starts_with("/") || problem.path.empty()) << problem.path;
      EXPECT_FALSE(problem.reason.empty());
    }
    if (!checked.configuration) {
      ++rejected;
      continue;
    }
    ++accepted;
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
    absl::StatusOr<picojson::value> const reparsed = config::parseJson(value.serialize());
    ASSERT_TRUE(reparsed.ok());
    EXPECT_TRUE(config::checkConfiguration(*reparsed).problems.empty());
  }
  EXPECT_GT(accepted, 1000u);
  EXPECT_GT(rejected, 1000u);
}

TEST(Fuzz, MergePatchIsIdempotentAndKeepsOtherFields) {
  Random random(2);
  for (int round = 0; round < 20'000; ++round) {
    picojson::value target = *config::parseJson(document);
    mutateValue(random, target);
    picojson::value const patch = randomValue(random, 4);
    picojson::value const patched = config::mergePatch(target, patch);
    EXPECT_EQ(config::mergePatch(patched, patch), patched);
    EXPECT_EQ(config::mergePatch(target, picojson::value(picojson::object())),
              target.is<picojson::object>() ? target : picojson::value(picojson::object()));
    if (patch.is<picojson::object>() && target.is<picojson::object>()) {
      for (std::pair<std::string const, picojson::value> const& entry : target.get<picojson::object>()) {
        if (!patch.contains(entry.first)) {
          EXPECT_EQ(patched.get(entry.first), entry.second);
        }
      }
    }
  }
}

TEST(Fuzz, JsonParserSurvivesMutatedTextAndRoundTripsWhatItAccepts) {
  Random random(3);
  std::size_t parsed = 0;
  for (int round = 0; round < 30'000; ++round) {
    absl::StatusOr<picojson::value> const value = config::parseJson(mutateBytes(random, document));
    if (value.ok()) {
      ++parsed;
      absl::StatusOr<picojson::value> const reparsed = config::parseJson(value->serialize());
      ASSERT_TRUE(reparsed.ok());
      EXPECT_EQ(*reparsed, *value);
    }
  }
  EXPECT_GT(parsed, 1000u);
}

TEST(Fuzz, ShardResultIsAcceptedOnlyWithItsStampSortedAndBounded) {
  Random random(4);
  dispatch::ShardStamp const stamp{"a", "c1", "r1"};
  std::string const validText = R"({"stamp":{"shard":"a","cut":"c1","request":"r1"},"records":["b","c","a","c","zz"]})";
  std::size_t accepted = 0;
  for (int round = 0; round < 30'000; ++round) {
    std::string const body = mutateBytes(random, validText);
    absl::StatusOr<dispatch::ShardResult> const result = dispatch::parseShardResult(body, stamp, 3);
    if (result.ok()) {
      ++accepted;
      EXPECT_EQ(result->stamp, stamp);
      EXPECT_LE(result->records.size(), 3u);
      EXPECT_TRUE(std::is_sorted(result->records.rbegin(), result->records.rend()));
      EXPECT_TRUE(config::parseJson(body).ok());
    }
  }
  EXPECT_GT(accepted, 500u);
  EXPECT_LT(accepted, 29'000u);
}

TEST(Fuzz, ServerListKeepsOnlyCompleteRows) {
  Random random(5);
  std::string const validText = R"({"servers":[
    {"address":"127.0.0.1:7100","service":"p0","zone":"z1","capacity":50,"leaving":false,"slow_start_ms":3000},
    {"address":"127.0.0.2:7100","service":"p0","zone":"z2","capacity":50},
    {"address":"127.0.0.3:7100","service":"logs","zone":"z1","capacity":20}]})";
  ASSERT_EQ(discovery::readList(validText)->rows, 3u);
  std::size_t kept = 0;
  std::size_t dropped = 0;
  for (int round = 0; round < 20'000; ++round) {
    picojson::value value = *config::parseJson(validText);
    mutateValue(random, value);
    absl::StatusOr<discovery::List> const list =
        discovery::readList(round % 2 == 0 ? value.serialize() : mutateBytes(random, validText));
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

TEST(Fuzz, SettingsAreUsableOrRejectedWithAPath) {
  Random random(6);
  std::string const validText =
      R"({"node":"m01","listen":"127.0.0.1:7000","zone":"z1","seeds":["127.0.0.1:7000","127.0.0.2:7000"],
    "platform":"127.0.0.9:7900","hands":2,"max_connections":100,"max_requests":50,"rerun":true,"log_level":"info"})";
  ASSERT_TRUE(config::checkSettings(*config::parseJson(validText), {true, false}).settings.has_value());
  std::size_t accepted = 0;
  for (int round = 0; round < 20'000; ++round) {
    picojson::value value = *config::parseJson(validText);
    mutateValue(random, value);
    config::CheckedSettings const checked = config::checkSettings(value, {true, false});
    ASSERT_EQ(checked.settings.has_value(), checked.problems.empty());
    if (checked.settings) {
      ++accepted;
      EXPECT_FALSE(checked.settings->node.empty());
      EXPECT_TRUE(net::Address::parse(checked.settings->listen).has_value());
      EXPECT_GE(checked.settings->seeds.size(), 1u);
      EXPECT_LE(checked.settings->seeds.size(), 3u);
      EXPECT_GE(checked.settings->workerThreads, 1u);
    }
  }
  EXPECT_GT(accepted, 100u);
}

TEST(Fuzz, DamagedStoredRecordsAreReportedAndNeverCastAVote) {
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
  std::size_t unhealthyRounds = 0;
  for (int round = 0; round < 10'000; ++round) {
    std::map<std::string, std::string> mutated = disk;
    std::map<std::string, std::string>::iterator const damagedRecord =
        std::next(mutated.begin(), static_cast<long>(random() % mutated.size()));
    damagedRecord->second = random() % 2 == 0
                                ? mutateBytes(random, damagedRecord->second)
                                : damagedRecord->second.substr(0, random() % (damagedRecord->second.size() + 1));
    replication::ReplicationGroup group{replication::ReplicationOptions{}};
    std::vector<replication::GroupEffect> const effects =
        group.step(now, replication::Start{{"h0", "127.0.0.1:1", "z1"}, mutated, 2});
    if (!group.unhealthy()) {
      continue;
    }
    ++unhealthyRounds;
    EXPECT_TRUE(std::any_of(effects.begin(), effects.end(), [](replication::GroupEffect const& effect) {
      replication::LogEntry const* const logEntry = std::get_if<replication::LogEntry>(&effect);
      return logEntry != nullptr && logEntry->event == logging::Event::diskDamaged;
    }));
    for (replication::GroupEffect const& effect : group.step(
             now, replication::MessageReceived{
                      "h1", "127.0.0.2:1", messages::Prepare{{3, "f", "h1", {"h0"}, {"h0", "h1", "h2"}}, {9, "h1"}}})) {
      EXPECT_FALSE(std::holds_alternative<replication::Send>(effect));
      EXPECT_FALSE(std::holds_alternative<replication::Persist>(effect));
    }
  }
  EXPECT_GT(unhealthyRounds, 1000u);
}

TEST(Fuzz, RecordStoreWithDamagedFilesReturnsWrittenValuesOrReportsDamage) {
  std::string const folder = std::filesystem::temp_directory_path() / ("limeramp-fuzz-" + std::to_string(getpid()));
  Random random(8);
  std::size_t damaged = 0;
  std::size_t intact = 0;
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
    for (std::uint64_t remaining = 1 + random() % 2; remaining > 0; --remaining) {
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
    ++intact;
    EXPECT_NE(std::find(history.begin(), history.end(), (*store)->values()), history.end()) << round;
  }
  std::filesystem::remove_all(folder);
  EXPECT_GT(damaged, 5u);
  EXPECT_GT(intact, 20u);
}

}  // namespace
