#include "full_disk.h"
#include "limeramp/storage/record_store.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <map>

namespace {

using namespace limeramp::storage;
using limeramp::test_support::FullDisk;

RingLayout const small{3, 8192};

struct Folder {
  Folder() {
    char pattern[] = "/tmp/limeramp-hold-XXXXXX";
    path = ::mkdtemp(pattern);
  }
  ~Folder() { std::filesystem::remove_all(path); }
  void flip(std::string const& file, std::streamoff at) const {
    std::fstream stream(path + "/" + file, std::ios::in | std::ios::out | std::ios::binary);
    stream.seekg(at);
    char byte = 0;
    stream.get(byte);
    stream.seekp(at);
    stream.put(static_cast<char>(byte ^ 0x5a));
  }
  std::string path;
};

std::unique_ptr<RecordStore> open(Folder const& folder, RingLayout const& layout = small) {
  absl::StatusOr<std::unique_ptr<RecordStore>> store = RecordStore::open(folder.path, layout);
  EXPECT_TRUE(store.ok()) << store.status();
  return *std::move(store);
}

TEST(RecordStore, KeepsTheLastValueOverManyTurnsOfTheRing) {
  Folder const folder;
  EXPECT_TRUE(open(folder)->findings().empty);
  for (int round = 0; round < 60; ++round) {
    std::unique_ptr<RecordStore> const store = open(folder);
    EXPECT_FALSE(store->findings().damaged);
    EXPECT_FALSE(store->findings().tailTruncated);
    if (round > 0) {
      EXPECT_EQ(store->values().at("turn"), std::to_string(round - 1));
      EXPECT_EQ(store->values().at("once"), "kept");
    } else {
      ASSERT_TRUE(store->put({{"once", "kept"}}).ok());
    }
    ASSERT_TRUE(store->put({{"turn", std::to_string(round)}, {"bulk", std::string(900, 'x')}}).ok());
  }
}

TEST(RecordStore, OnlyOneProcessHoldsAFolder) {
  Folder const folder;
  std::unique_ptr<RecordStore> const store = open(folder);
  EXPECT_FALSE(RecordStore::open(folder.path, small).ok());
}

TEST(RecordStore, EveryCutOfTheLastRecordLeavesTheOnesBefore) {
  for (std::streamoff cut = 0; cut < 40; cut += 3) {
    Folder const folder;
    std::uintmax_t const at = [&] {
      std::unique_ptr<RecordStore> const store = open(folder);
      EXPECT_TRUE(store->put({{"a", "1"}}).ok());
      EXPECT_TRUE(store->put({{"a", "2"}}).ok());
      return std::uintmax_t(0);
    }();
    EXPECT_EQ(at, 0u);
    std::string bytes;
    {
      std::ifstream file(folder.path + "/ring-1", std::ios::binary);
      bytes.assign(std::istreambuf_iterator<char>(file), {});
    }
    std::size_t last = bytes.size();
    while (last > 0 && bytes[last - 1] == '\0') {
      --last;
    }
    std::fstream file(folder.path + "/ring-1", std::ios::in | std::ios::out | std::ios::binary);
    file.seekp(static_cast<std::streamoff>(last) - 1 - cut);
    for (std::streamoff index = 0; index <= cut; ++index) {
      file.put('\0');
    }
    file.close();
    std::unique_ptr<RecordStore> const store = open(folder);
    EXPECT_FALSE(store->findings().damaged) << cut;
    EXPECT_EQ(store->values().at("a"), "1") << cut;
    ASSERT_TRUE(store->put({{"a", "3"}}).ok());
  }
}

TEST(RecordStore, DamageBeforeTheLastRecordIsReportedAndNotServed) {
  for (std::streamoff const at : {4, 30, 60, 150}) {
    Folder const folder;
    {
      std::unique_ptr<RecordStore> const store = open(folder);
      for (int round = 0; round < 5; ++round) {
        ASSERT_TRUE(store->put({{"a", std::to_string(round)}, {"pad", std::string(60, 'p')}}).ok());
      }
    }
    folder.flip("ring-1", at);
    std::unique_ptr<RecordStore> const store = open(folder);
    EXPECT_TRUE(store->findings().damaged) << at;
    EXPECT_TRUE(store->values().empty());
    EXPECT_FALSE(store->put({{"a", "9"}}).ok());
    ASSERT_TRUE(store->setAside().ok());
    EXPECT_TRUE(store->put({{"a", "9"}}).ok());
  }
}

TEST(RecordStore, APowerLossWhileTheRingTurnsFallsBackToTheWholeFileBefore) {
  Folder const folder;
  {
    std::unique_ptr<RecordStore> const store = open(folder);
    for (int round = 0; round < 8; ++round) {
      ASSERT_TRUE(store->put({{"turn", std::to_string(round)}, {"bulk", std::string(900, 'x')}}).ok());
    }
  }
  std::fstream file(folder.path + "/ring-2", std::ios::in | std::ios::out | std::ios::binary);
  file.seekp(100);
  file << std::string(8092, '\0');
  file.close();
  std::unique_ptr<RecordStore> const store = open(folder);
  EXPECT_FALSE(store->findings().damaged);
  EXPECT_TRUE(store->values().contains("turn"));
}

TEST(RecordStore, ARecordLargerThanAFileFailsForGood) {
  Folder const folder;
  std::unique_ptr<RecordStore> const store = open(folder);
  ASSERT_TRUE(store->put({{"a", "1"}}).ok());
  EXPECT_FALSE(store->put({{"a", std::string(10'000, 'x')}}).ok());
  EXPECT_FALSE(store->put({{"a", "2"}}).ok());
}

// Guards against the end of all changes at half a file: the old and the new value were written into one file.
TEST(RecordStore, AValueOfMoreThanHalfAFileIsReplacedAgainAndAgain) {
  Folder const folder;
  for (std::size_t round = 0; round < 20; ++round) {
    std::unique_ptr<RecordStore> const store = open(folder);
    for (char const fill : {'a', 'b', 'c'}) {
      std::string const state(small.fileBytes / 2 + 150 * round, fill);
      ASSERT_TRUE(store->put({{"state", state}}).ok()) << round << fill;
      ASSERT_TRUE(store->put({{"vote", std::string(40, fill)}}).ok()) << round << fill;
      EXPECT_EQ(store->values().at("state"), state);
    }
  }
  std::unique_ptr<RecordStore> const again = open(folder);
  EXPECT_EQ(again->values().at("state"), std::string(small.fileBytes / 2 + 150 * 19, 'c'));
  EXPECT_EQ(again->values().at("vote"), std::string(40, 'c'));
}

// Guards against the same end on disks that earlier processes left with shorter files, and against a loss if a later
// process is told of shorter ones.
TEST(RecordStore, FilesAreLengthenedAndWhatLongerOnesHoldIsKept) {
  RingLayout const large{3, 32'768};
  Folder const folder;
  ASSERT_TRUE(open(folder)->rewrite({{"state", std::string(6'000, 'a')}}).ok());
  {
    std::unique_ptr<RecordStore> const store = open(folder, large);
    EXPECT_EQ(store->values().at("state"), std::string(6'000, 'a'));
    ASSERT_TRUE(store->put({{"state", std::string(20'000, 'b')}}).ok());
    ASSERT_TRUE(store->put({{"vote", "1"}}).ok());
  }
  std::unique_ptr<RecordStore> const store = open(folder);
  EXPECT_FALSE(store->findings().damaged);
  EXPECT_FALSE(store->findings().tailTruncated);
  EXPECT_EQ(store->values().at("state"), std::string(20'000, 'b'));
  EXPECT_EQ(store->values().at("vote"), "1");
  EXPECT_TRUE(store->put({{"state", std::string(21'000, 'c')}}).ok());
}

TEST(RecordStore, TakesPutsAgainOnceAllValuesAreRewrittenAfterAFullDisk) {
  Folder const folder;
  {
    std::unique_ptr<RecordStore> const store = open(folder);
    ASSERT_TRUE(store->put({{"kept", "1"}, {"changed", "1"}}).ok());
    {
      FullDisk const full;
      EXPECT_FALSE(store->put({{"changed", "2"}}).ok());
    }
    EXPECT_FALSE(store->put({{"later", "3"}}).ok()) << "a later record without the one before";
    ASSERT_TRUE(store->rewrite({{"changed", "2"}}).ok());
    EXPECT_EQ(store->values().at("kept"), "1");
    EXPECT_EQ(store->values().at("changed"), "2");
    ASSERT_TRUE(store->put({{"later", "4"}}).ok());
  }
  std::unique_ptr<RecordStore> const again = open(folder);
  EXPECT_FALSE(again->findings().damaged);
  EXPECT_EQ(again->values().at("kept"), "1");
  EXPECT_EQ(again->values().at("changed"), "2");
  EXPECT_EQ(again->values().at("later"), "4");
}

// Each attempt spoils the file that it writes to.
TEST(RecordStore, NoNumberOfFailedRewritesReachesTheSyncedValues) {
  for (std::size_t puts = 1; puts <= 40; ++puts) {
    Folder const folder;
    {
      std::unique_ptr<RecordStore> const store = open(folder);
      for (std::size_t put = 0; put < puts; ++put) {
        ASSERT_TRUE(store->put({{"turn", std::to_string(put)}, {"bulk", std::string(900, 'x')}}).ok());
      }
      FullDisk const fullButForTheHeadOfAFile(64);
      EXPECT_FALSE(store->put({{"turn", "lost"}}).ok());
      for (std::size_t attempt = 0; attempt < 2 * small.files; ++attempt) {
        EXPECT_FALSE(store->rewrite({{"turn", "lost"}}).ok());
        EXPECT_EQ(store->values().at("turn"), std::to_string(puts - 1));
      }
    }
    std::unique_ptr<RecordStore> const again = open(folder);
    EXPECT_FALSE(again->findings().damaged) << puts;
    EXPECT_EQ(again->values().at("turn"), std::to_string(puts - 1));
    ASSERT_TRUE(again->put({{"turn", "next"}}).ok());
  }
}

std::map<std::string, std::string> contentsOf(Folder const& folder) {
  std::map<std::string, std::string> out;
  for (std::filesystem::directory_entry const& entry : std::filesystem::directory_iterator(folder.path)) {
    std::ifstream file(entry.path(), std::ios::binary);
    out[entry.path()].assign(std::istreambuf_iterator<char>(file), {});
  }
  return out;
}

/// Of each file that was written since `before`, only the first `kept` bytes reached the disk.
void tear(std::map<std::string, std::string> const& before, Folder const& folder, std::size_t kept) {
  std::map<std::string, std::string> const after = contentsOf(folder);
  for (std::pair<std::string const, std::string> const& file : before) {
    std::string const& bytes = after.at(file.first);
    if (bytes != file.second) {
      std::fstream torn(file.first, std::ios::in | std::ios::out | std::ios::binary);
      torn << bytes.substr(0, kept) << file.second.substr(std::min(file.second.size(), kept));
    }
  }
}

// Power is lost while a rewrite is on its way to the disk: of its file any part may be there.
TEST(RecordStore, ATornRewriteLeavesTheValuesBeforeIt) {
  for (std::size_t kept = 0; kept < 1200; kept += 37) {
    Folder const folder;
    {
      std::unique_ptr<RecordStore> const store = open(folder);
      for (int round = 0; round < 30; ++round) {
        ASSERT_TRUE(store->put({{"turn", std::to_string(round)}, {"bulk", std::string(900, 'x')}}).ok());
      }
      {
        FullDisk const full;
        EXPECT_FALSE(store->put({{"turn", "lost"}}).ok());
      }
    }
    std::map<std::string, std::string> const before = contentsOf(folder);
    {
      std::unique_ptr<RecordStore> const store = open(folder);
      ASSERT_TRUE(store->rewrite({{"turn", "rewritten"}}).ok());
    }
    tear(before, folder, kept);
    std::unique_ptr<RecordStore> const again = open(folder);
    EXPECT_FALSE(again->findings().damaged) << kept;
    std::string const turn = again->values().at("turn");
    EXPECT_TRUE(turn == "29" || turn == "rewritten") << kept << " " << turn;
    EXPECT_EQ(again->values().at("bulk"), std::string(900, 'x'));
  }
}

// The same for a put that turns the ring: its checkpoint holds the new value, no other file does.
TEST(RecordStore, ATornTurnOfTheRingLeavesTheValuesBeforeIt) {
  std::size_t const bytes = small.fileBytes * 3 / 4;
  std::size_t whole = 0;
  for (std::size_t kept = 0; kept <= small.fileBytes; kept += 256) {
    Folder const folder;
    std::unique_ptr<RecordStore> store = open(folder);
    for (char const fill : {'a', 'b', 'c', 'd', 'e'}) {
      ASSERT_TRUE(store->put({{"state", std::string(bytes, fill)}}).ok());
    }
    std::map<std::string, std::string> const before = contentsOf(folder);
    ASSERT_TRUE(store->put({{"state", std::string(bytes, 'f')}}).ok());
    store.reset();
    tear(before, folder, kept);
    std::unique_ptr<RecordStore> const again = open(folder);
    EXPECT_FALSE(again->findings().damaged) << kept;
    std::string const state = again->values().at("state");
    EXPECT_TRUE(state == std::string(bytes, 'e') || state == std::string(bytes, 'f')) << kept;
    whole += state.front() == 'f' ? 1 : 0;
    EXPECT_TRUE(again->put({{"state", std::string(bytes, 'g')}}).ok()) << kept;
  }
  EXPECT_GT(whole, 0u);
}

// A sync that failed may leave a record in memory that is not on the disk; a process that starts then reads it.
TEST(RecordStore, WhatWasReadAtTheStartIsSyncedAgainWithTheFirstPut) {
  Folder const folder;
  {
    std::unique_ptr<RecordStore> const store = open(folder);
    ASSERT_TRUE(store->put({{"vote", "1"}}).ok());
    ASSERT_TRUE(store->put({{"vote", "2"}}).ok());
  }
  ASSERT_TRUE(open(folder)->put({{"state", "3"}}).ok());
  std::size_t const secondRecord = 56;
  folder.flip("ring-1", secondRecord);
  std::unique_ptr<RecordStore> const again = open(folder);
  EXPECT_FALSE(again->findings().damaged) << "the power went before the second record was on the disk";
  EXPECT_EQ(again->values().at("vote"), "2");
  EXPECT_EQ(again->values().at("state"), "3");
}

}  // namespace
