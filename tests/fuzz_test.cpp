#include "limeramp/berth/list.h"
#include "limeramp/hold/store.h"
#include "limeramp/manifest/configuration.h"
#include "limeramp/manifest/settings.h"
#include "limeramp/pledge/council.h"
#include "limeramp/rigging/http.h"
#include "limeramp/shoal/part.h"

#include <gtest/gtest.h>

#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <random>

namespace {

using namespace limeramp;
using Dice = std::mt19937_64;

std::string const document = R"({"services":{"p0":{"capacity":20,"slow_start_ms":3000},"p1":{},"logs":{}},
  "searches":{"packages":{"tenant":"k","prefix":"/packages","result_size":5,"minimum_shards":1,"max_attempts":2,"deadline_ms":400,
    "shards":[{"service":"p0","cut":"c1"},{"service":"p1","cut":"c1"}]}},
  "routes":{"logs":{"tenant":"k","prefix":"/packages/logs","service":"logs","repeatable":true}},
  "cells":{"north":{"tenants":["k"],"nodes":["m01"]}},"emptied_zones":["z2"]})";

picojson::value anything(Dice& dice, int depth) {
  switch (dice() % (depth > 0 ? 9 : 7)) {
    case 0:
      return picojson::value();
    case 1:
      return picojson::value(dice() % 2 == 0);
    case 2:
      return picojson::value(static_cast<double>(dice() % 10) - 3);
    case 3:
      return picojson::value(1e17);
    case 4:
      return picojson::value(std::string(dice() % 300, 'x'));
    case 5:
      return picojson::value(std::string("p0"));
    case 6:
      return picojson::value(std::string("/packages"));
    case 7: {
      picojson::array out(dice() % 3);
      for (picojson::value& entry : out) {
        entry = anything(dice, depth - 1);
      }
      return picojson::value(out);
    }
    default: {
      picojson::object out;
      for (std::uint64_t left = dice() % 3; left > 0; --left) {
        out[dice() % 2 == 0 ? "services" : "odd"] = anything(dice, depth - 1);
      }
      return picojson::value(out);
    }
  }
}

void spoil(Dice& dice, picojson::value& value) {
  if (dice() % 4 == 0) {
    value = anything(dice, 3);
  } else if (value.is<picojson::object>() && !value.get<picojson::object>().empty()) {
    picojson::object& object = value.get<picojson::object>();
    picojson::object::iterator const chosen = std::next(object.begin(), static_cast<long>(dice() % object.size()));
    switch (dice() % 6) {
      case 0:
        object.erase(chosen);
        break;
      case 1:
        object["odd"] = anything(dice, 2);
        break;
      default:
        spoil(dice, chosen->second);
    }
  } else if (value.is<picojson::array>() && !value.get<picojson::array>().empty()) {
    picojson::array& array = value.get<picojson::array>();
    spoil(dice, array[dice() % array.size()]);
  } else {
    value = anything(dice, 2);
  }
}

std::string bytesSpoilt(Dice& dice, std::string text) {
  for (std::uint64_t left = 1 + dice() % 3; left > 0 && !text.empty(); --left) {
    std::size_t const at = dice() % text.size();
    switch (dice() % 3) {
      case 0:
        text[at] = static_cast<char>(dice() % 256);
        break;
      case 1:
        text.erase(at, 1 + dice() % 5);
        break;
      default:
        text.insert(at, text.substr(dice() % text.size(), dice() % 8));
    }
  }
  return text;
}

TEST(Fuzz, AConfigurationIsTakenWholeOrEveryProblemHasAPath) {
  Dice dice(1);
  std::size_t taken = 0;
  std::size_t refused = 0;
  for (int round = 0; round < 20'000; ++round) {
    picojson::value value = *manifest::parseJson(document);
    for (std::uint64_t left = dice() % 3; left > 0; --left) {
      spoil(dice, value);
    }
    manifest::Checked const checked = manifest::checkConfiguration(value);
    ASSERT_EQ(checked.configuration.has_value(), checked.problems.empty());
    for (manifest::Problem const& problem : checked.problems) {
      EXPECT_TRUE(problem.path.starts_with("/") || problem.path.empty()) << problem.path;
      EXPECT_FALSE(problem.reason.empty());
    }
    if (!checked.configuration) {
      ++refused;
      continue;
    }
    ++taken;
    for (manifest::Search const& search : checked.configuration->searches) {
      EXPECT_GE(search.minimum_shards, 1u);
      EXPECT_LE(search.minimum_shards, search.shards.size());
      EXPECT_GE(search.max_attempts, 1u);
      for (manifest::Shard const& shard : search.shards) {
        EXPECT_TRUE(checked.configuration->services.contains(shard.service));
      }
    }
    for (manifest::Route const& route : checked.configuration->routes) {
      ASSERT_FALSE(route.choices.empty());
      for (manifest::Choice const& choice : route.choices) {
        EXPECT_TRUE(checked.configuration->services.contains(choice.service));
      }
    }
    absl::StatusOr<picojson::value> const again = manifest::parseJson(value.serialize());
    ASSERT_TRUE(again.ok());
    EXPECT_TRUE(manifest::checkConfiguration(*again).problems.empty());
  }
  EXPECT_GT(taken, 1000u);
  EXPECT_GT(refused, 1000u);
}

TEST(Fuzz, AMergePatchTwiceIsTheSameAsOnceAndLeavesTheRestAlone) {
  Dice dice(2);
  for (int round = 0; round < 20'000; ++round) {
    picojson::value target = *manifest::parseJson(document);
    spoil(dice, target);
    picojson::value const patch = anything(dice, 4);
    picojson::value const once = manifest::mergePatch(target, patch);
    EXPECT_EQ(manifest::mergePatch(once, patch), once);
    EXPECT_EQ(manifest::mergePatch(target, picojson::value(picojson::object())),
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
  Dice dice(3);
  std::size_t read = 0;
  for (int round = 0; round < 30'000; ++round) {
    absl::StatusOr<picojson::value> const value = manifest::parseJson(bytesSpoilt(dice, document));
    if (value.ok()) {
      ++read;
      absl::StatusOr<picojson::value> const again = manifest::parseJson(value->serialize());
      ASSERT_TRUE(again.ok());
      EXPECT_EQ(*again, *value);
    }
  }
  EXPECT_GT(read, 1000u);
}

TEST(Fuzz, APartIsTakenOnlyWithItsStampSortedAndBounded) {
  Dice dice(4);
  shoal::Stamp const stamp{"a", "c1", "r1"};
  std::string const right = R"({"stamp":{"shard":"a","cut":"c1","request":"r1"},"records":["b","c","a","c","zz"]})";
  std::size_t taken = 0;
  for (int round = 0; round < 30'000; ++round) {
    std::string const body = bytesSpoilt(dice, right);
    absl::StatusOr<shoal::Part> const part = shoal::readPart(body, stamp, 3);
    if (part.ok()) {
      ++taken;
      EXPECT_EQ(part->stamp, stamp);
      EXPECT_LE(part->records.size(), 3u);
      EXPECT_TRUE(std::is_sorted(part->records.rbegin(), part->records.rend()));
      EXPECT_TRUE(manifest::parseJson(body).ok());
    }
  }
  EXPECT_GT(taken, 500u);
  EXPECT_LT(taken, 29'000u);
}

TEST(Fuzz, OfAListOnlyWholeRowsAreKept) {
  Dice dice(5);
  std::string const right = R"({"servers":[
    {"address":"127.0.0.1:7100","service":"p0","zone":"z1","capacity":50,"leaving":false,"slow_start_ms":3000},
    {"address":"127.0.0.2:7100","service":"p0","zone":"z2","capacity":50},
    {"address":"127.0.0.3:7100","service":"logs","zone":"z1","capacity":20}]})";
  ASSERT_EQ(berth::readList(right)->rows, 3u);
  std::size_t kept = 0;
  std::size_t dropped = 0;
  for (int round = 0; round < 20'000; ++round) {
    picojson::value value = *manifest::parseJson(right);
    spoil(dice, value);
    absl::StatusOr<berth::List> const list = berth::readList(round % 2 == 0 ? value.serialize() : bytesSpoilt(dice, right));
    if (!list.ok()) {
      continue;
    }
    std::size_t rows = 0;
    for (std::pair<std::string const, std::vector<shoal::ServerRow>> const& service : list->services) {
      EXPECT_FALSE(service.first.empty());
      for (shoal::ServerRow const& row : service.second) {
        ++rows;
        EXPECT_TRUE(rigging::Address::parse(row.address).has_value()) << row.address;
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
  Dice dice(6);
  std::string const right = R"({"node":"m01","listen":"127.0.0.1:7000","zone":"z1","seeds":["127.0.0.1:7000","127.0.0.2:7000"],
    "platform":"127.0.0.9:7900","hands":2,"max_connections":100,"max_requests":50,"rerun":true,"log_level":"info"})";
  ASSERT_TRUE(manifest::checkSettings(*manifest::parseJson(right), {true, false}).settings.has_value());
  std::size_t taken = 0;
  for (int round = 0; round < 20'000; ++round) {
    picojson::value value = *manifest::parseJson(right);
    spoil(dice, value);
    manifest::CheckedSettings const checked = manifest::checkSettings(value, {true, false});
    ASSERT_EQ(checked.settings.has_value(), checked.problems.empty());
    if (checked.settings) {
      ++taken;
      EXPECT_FALSE(checked.settings->node.empty());
      EXPECT_TRUE(rigging::Address::parse(checked.settings->listen).has_value());
      EXPECT_GE(checked.settings->seeds.size(), 1u);
      EXPECT_LE(checked.settings->seeds.size(), 3u);
      EXPECT_GE(checked.settings->hands, 1u);
    }
  }
  EXPECT_GT(taken, 100u);
}

TEST(Fuzz, StoredRecordsThatDoNotReadAreDamageAndNeverAVote) {
  Dice dice(7);
  pledge::TimePoint const now{std::chrono::hours(1)};
  std::map<std::string, std::string> disk;
  pledge::Council first{pledge::Policy{}};
  first.step(now, pledge::Start{{"h0", "127.0.0.1:1", "z1"}, {}, 1});
  cargo::State state;
  state.epoch = 3;
  state.document = document;
  for (pledge::Effect const& effect : first.step(now, pledge::Received{"h1", "127.0.0.2:1",
         cargo::Sync{{3, "f", "h1", {"h0"}, {"h0", "h1", "h2"}}, 5, false, state}})) {
    if (pledge::Persist const* const persist = std::get_if<pledge::Persist>(&effect)) {
      for (std::pair<std::string, std::string> const& put : persist->puts) {
        disk[put.first] = put.second;
      }
    }
  }
  ASSERT_EQ(disk.size(), 4u);
  std::size_t broken = 0;
  for (int round = 0; round < 10'000; ++round) {
    std::map<std::string, std::string> spoilt = disk;
    std::map<std::string, std::string>::iterator const victim = std::next(spoilt.begin(), static_cast<long>(dice() % spoilt.size()));
    victim->second = dice() % 2 == 0 ? bytesSpoilt(dice, victim->second) : victim->second.substr(0, dice() % (victim->second.size() + 1));
    pledge::Council council{pledge::Policy{}};
    std::vector<pledge::Effect> const effects = council.step(now, pledge::Start{{"h0", "127.0.0.1:1", "z1"}, spoilt, 2});
    if (!council.ailing()) {
      continue;
    }
    ++broken;
    EXPECT_TRUE(std::any_of(effects.begin(), effects.end(), [](pledge::Effect const& effect) {
      pledge::Note const* const note = std::get_if<pledge::Note>(&effect);
      return note != nullptr && note->event == signal::Event::diskDamaged;
    }));
    for (pledge::Effect const& effect : council.step(
             now, pledge::Received{"h1", "127.0.0.2:1", cargo::Prepare{{3, "f", "h1", {"h0"}, {"h0", "h1", "h2"}}, {9, "h1"}}})) {
      EXPECT_FALSE(std::holds_alternative<pledge::Send>(effect));
      EXPECT_FALSE(std::holds_alternative<pledge::Persist>(effect));
    }
  }
  EXPECT_GT(broken, 1000u);
}

TEST(Fuzz, AStoreOfSpoiltFilesServesWhatWasWrittenOrSaysDamaged) {
  std::string const folder = std::filesystem::temp_directory_path() / ("limeramp-fuzz-" + std::to_string(getpid()));
  Dice dice(8);
  std::size_t damaged = 0;
  std::size_t whole = 0;
  for (int round = 0; round < 150; ++round) {
    std::filesystem::remove_all(folder);
    std::vector<std::map<std::string, std::string>> history;
    {
      std::unique_ptr<hold::Store> const store = *hold::Store::open(folder, {4, 4096});
      std::map<std::string, std::string> values;
      history.push_back(values);
      for (int put = 0; put < 20; ++put) {
        std::string const key(1, static_cast<char>('a' + dice() % 4));
        values[key] = std::string(dice() % 200, static_cast<char>('A' + put));
        ASSERT_TRUE(store->put({{key, values[key]}}).ok());
        history.push_back(values);
      }
    }
    for (std::uint64_t left = 1 + dice() % 2; left > 0; --left) {
      std::fstream file(folder + "/ring-" + std::to_string(dice() % 4), std::ios::in | std::ios::out | std::ios::binary);
      file.seekp(static_cast<long>(dice() % 4096));
      file.put(static_cast<char>(dice() % 256));
    }
    absl::StatusOr<std::unique_ptr<hold::Store>> const store = hold::Store::open(folder, {4, 4096});
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

}
