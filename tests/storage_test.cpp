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

RingLayout const smallLayout{3, 8192};

struct TempFolder {
  TempFolder() {
    char pattern[] = "/tmp/limeramp-hold-XXXXXX";
    path = ::mkdtemp(pattern);
  }
  ~TempFolder() { std::filesystem::remove_all(path); }
  void corruptByte(std::string const& file, std::streamoff offset) const {
    std::fstream stream(path + "/" + file, std::ios::in | std::ios::out | std::ios::binary);
    stream.seekg(offset);
    char byte = 0;
    stream.get(byte);
    stream.seekp(offset);
    stream.put(static_cast<char>(byte ^ 0x5a));
  }
  std::string path;
};

std::unique_ptr<RecordStore> openStore(TempFolder const& folder, RingLayout const& layout = smallLayout) {
  absl::StatusOr<std::unique_ptr<RecordStore>> store = RecordStore::open(folder.path, layout);
  EXPECT_TRUE(store.ok()) << store.status();
  return *std::move(store);
}

TEST(RecordStore, KeepsTheLastValueOverManyTurnsOfTheRing) {
  TempFolder const folder;
  EXPECT_TRUE(openStore(folder)->findings().empty);
  for (int round = 0; round < 60; ++round) {
    std::unique_ptr<RecordStore> const store = openStore(folder);
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

TEST(RecordStore, OpenFailsWhileAnotherStoreHoldsTheFolder) {
  TempFolder const folder;
  std::unique_ptr<RecordStore> const store = openStore(folder);
  EXPECT_FALSE(RecordStore::open(folder.path, smallLayout).ok());
}

TEST(RecordStore, TruncatingTheLastRecordKeepsTheEarlierOnes) {
  for (std::streamoff cut = 0; cut < 40; cut += 3) {
    TempFolder const folder;
    std::uintmax_t const offset = [&] {
      std::unique_ptr<RecordStore> const store = openStore(folder);
      EXPECT_TRUE(store->put({{"a", "1"}}).ok());
      EXPECT_TRUE(store->put({{"a", "2"}}).ok());
      return std::uintmax_t(0);
    }();
    EXPECT_EQ(offset, 0u);
    std::string bytes;
    {
      std::ifstream file(folder.path + "/ring-1", std::ios::binary);
      bytes.assign(std::istreambuf_iterator<char>(file), {});
    }
    std::size_t recordEnd = bytes.size();
    while (recordEnd > 0 && bytes[recordEnd - 1] == '\0') {
      --recordEnd;
    }
    std::fstream file(folder.path + "/ring-1", std::ios::in | std::ios::out | std::ios::binary);
    file.seekp(static_cast<std::streamoff>(recordEnd) - 1 - cut);
    for (std::streamoff index = 0; index <= cut; ++index) {
      file.put('\0');
    }
    file.close();
    std::unique_ptr<RecordStore> const store = openStore(folder);
    EXPECT_FALSE(store->findings().damaged) << cut;
    EXPECT_EQ(store->values().at("a"), "1") << cut;
    ASSERT_TRUE(store->put({{"a", "3"}}).ok());
  }
}

TEST(RecordStore, DamageBeforeTheLastRecordIsReportedAndNotServed) {
  for (std::streamoff const offset : {4, 30, 60, 150}) {
    TempFolder const folder;
    {
      std::unique_ptr<RecordStore> const store = openStore(folder);
      for (int round = 0; round < 5; ++round) {
        ASSERT_TRUE(store->put({{"a", std::to_string(round)}, {"pad", std::string(60, 'p')}}).ok());
      }
    }
    folder.corruptByte("ring-1", offset);
    std::unique_ptr<RecordStore> const store = openStore(folder);
    EXPECT_TRUE(store->findings().damaged) << offset;
    EXPECT_TRUE(store->values().empty());
    EXPECT_FALSE(store->put({{"a", "9"}}).ok());
    ASSERT_TRUE(store->setAside().ok());
    EXPECT_TRUE(store->put({{"a", "9"}}).ok());
  }
}

TEST(RecordStore, PowerLossDuringACheckpointFallsBackToThePreviousFile) {
  TempFolder const folder;
  {
    std::unique_ptr<RecordStore> const store = openStore(folder);
    for (int round = 0; round < 8; ++round) {
      ASSERT_TRUE(store->put({{"turn", std::to_string(round)}, {"bulk", std::string(900, 'x')}}).ok());
    }
  }
  std::fstream file(folder.path + "/ring-2", std::ios::in | std::ios::out | std::ios::binary);
  file.seekp(100);
  file << std::string(8092, '\0');
  file.close();
  std::unique_ptr<RecordStore> const store = openStore(folder);
  EXPECT_FALSE(store->findings().damaged);
  EXPECT_TRUE(store->values().contains("turn"));
}

TEST(RecordStore, PutsFailAfterARecordLargerThanAFile) {
  TempFolder const folder;
  std::unique_ptr<RecordStore> const store = openStore(folder);
  ASSERT_TRUE(store->put({{"a", "1"}}).ok());
  EXPECT_FALSE(store->put({{"a", std::string(10'000, 'x')}}).ok());
  EXPECT_FALSE(store->put({{"a", "2"}}).ok());
}

// Guards against a fault in which no change was accepted once a value had half the size of a file: a checkpoint with
// the old value and a record with the new one were written into the same file.
TEST(RecordStore, AValueLargerThanHalfAFileCanBeReplacedRepeatedly) {
  TempFolder const folder;
  for (std::size_t round = 0; round < 20; ++round) {
    std::unique_ptr<RecordStore> const store = openStore(folder);
    for (char const fill : {'a', 'b', 'c'}) {
      std::string const state(smallLayout.fileBytes / 2 + 150 * round, fill);
      ASSERT_TRUE(store->put({{"state", state}}).ok()) << round << fill;
      ASSERT_TRUE(store->put({{"vote", std::string(40, fill)}}).ok()) << round << fill;
      EXPECT_EQ(store->values().at("state"), state);
    }
  }
  std::unique_ptr<RecordStore> const reopened = openStore(folder);
  EXPECT_EQ(reopened->values().at("state"), std::string(smallLayout.fileBytes / 2 + 150 * 19, 'c'));
  EXPECT_EQ(reopened->values().at("vote"), std::string(40, 'c'));
}

// Guards against refused changes on a disk with shorter files of an earlier process, and against a loss of records when
// a later process is configured with shorter files.
TEST(RecordStore, ShorterFilesAreLengthenedAndLongerOnesKeepTheirRecords) {
  RingLayout const largeLayout{3, 32'768};
  TempFolder const folder;
  ASSERT_TRUE(openStore(folder)->rewrite({{"state", std::string(6'000, 'a')}}).ok());
  {
    std::unique_ptr<RecordStore> const store = openStore(folder, largeLayout);
    EXPECT_EQ(store->values().at("state"), std::string(6'000, 'a'));
    ASSERT_TRUE(store->put({{"state", std::string(20'000, 'b')}}).ok());
    ASSERT_TRUE(store->put({{"vote", "1"}}).ok());
  }
  std::unique_ptr<RecordStore> const store = openStore(folder);
  EXPECT_FALSE(store->findings().damaged);
  EXPECT_FALSE(store->findings().tailTruncated);
  EXPECT_EQ(store->values().at("state"), std::string(20'000, 'b'));
  EXPECT_EQ(store->values().at("vote"), "1");
  EXPECT_TRUE(store->put({{"state", std::string(21'000, 'c')}}).ok());
}

TEST(RecordStore, AcceptsPutsAgainAfterARewriteThatFollowsAFullDisk) {
  TempFolder const folder;
  {
    std::unique_ptr<RecordStore> const store = openStore(folder);
    ASSERT_TRUE(store->put({{"kept", "1"}, {"changed", "1"}}).ok());
    {
      FullDisk const full;
      EXPECT_FALSE(store->put({{"changed", "2"}}).ok());
    }
    EXPECT_FALSE(store->put({{"later", "3"}}).ok()) << "a later record must not be written without the failed one";
    ASSERT_TRUE(store->rewrite({{"changed", "2"}}).ok());
    EXPECT_EQ(store->values().at("kept"), "1");
    EXPECT_EQ(store->values().at("changed"), "2");
    ASSERT_TRUE(store->put({{"later", "4"}}).ok());
  }
  std::unique_ptr<RecordStore> const reopened = openStore(folder);
  EXPECT_FALSE(reopened->findings().damaged);
  EXPECT_EQ(reopened->values().at("kept"), "1");
  EXPECT_EQ(reopened->values().at("changed"), "2");
  EXPECT_EQ(reopened->values().at("later"), "4");
}

// Each failed attempt destroys the content of the file that it writes to.
TEST(RecordStore, RepeatedFailedRewritesKeepTheSyncedValues) {
  for (std::size_t puts = 1; puts <= 40; ++puts) {
    TempFolder const folder;
    {
      std::unique_ptr<RecordStore> const store = openStore(folder);
      for (std::size_t put = 0; put < puts; ++put) {
        ASSERT_TRUE(store->put({{"turn", std::to_string(put)}, {"bulk", std::string(900, 'x')}}).ok());
      }
      FullDisk const fullAfter64Bytes(64);
      EXPECT_FALSE(store->put({{"turn", "lost"}}).ok());
      for (std::size_t attempt = 0; attempt < 2 * smallLayout.files; ++attempt) {
        EXPECT_FALSE(store->rewrite({{"turn", "lost"}}).ok());
        EXPECT_EQ(store->values().at("turn"), std::to_string(puts - 1));
      }
    }
    std::unique_ptr<RecordStore> const reopened = openStore(folder);
    EXPECT_FALSE(reopened->findings().damaged) << puts;
    EXPECT_EQ(reopened->values().at("turn"), std::to_string(puts - 1));
    ASSERT_TRUE(reopened->put({{"turn", "next"}}).ok());
  }
}

std::map<std::string, std::string> readFiles(TempFolder const& folder) {
  std::map<std::string, std::string> out;
  for (std::filesystem::directory_entry const& entry : std::filesystem::directory_iterator(folder.path)) {
    std::ifstream file(entry.path(), std::ios::binary);
    out[entry.path()].assign(std::istreambuf_iterator<char>(file), {});
  }
  return out;
}

/// Simulates a power loss: of each file that was written since `before`, only the first `keptBytes` reached the disk.
void truncateWrites(std::map<std::string, std::string> const& before, TempFolder const& folder, std::size_t keptBytes) {
  std::map<std::string, std::string> const after = readFiles(folder);
  for (std::pair<std::string const, std::string> const& file : before) {
    std::string const& bytes = after.at(file.first);
    if (bytes != file.second) {
      std::fstream torn(file.first, std::ios::in | std::ios::out | std::ios::binary);
      torn << bytes.substr(0, keptBytes) << file.second.substr(std::min(file.second.size(), keptBytes));
    }
  }
}

// Power is lost during a rewrite: any prefix of its file may be on the disk.
TEST(RecordStore, ATornRewriteLeavesThePreviousOrTheNewValues) {
  for (std::size_t keptBytes = 0; keptBytes < 1200; keptBytes += 37) {
    TempFolder const folder;
    {
      std::unique_ptr<RecordStore> const store = openStore(folder);
      for (int round = 0; round < 30; ++round) {
        ASSERT_TRUE(store->put({{"turn", std::to_string(round)}, {"bulk", std::string(900, 'x')}}).ok());
      }
      {
        FullDisk const full;
        EXPECT_FALSE(store->put({{"turn", "lost"}}).ok());
      }
    }
    std::map<std::string, std::string> const before = readFiles(folder);
    {
      std::unique_ptr<RecordStore> const store = openStore(folder);
      ASSERT_TRUE(store->rewrite({{"turn", "rewritten"}}).ok());
    }
    truncateWrites(before, folder, keptBytes);
    std::unique_ptr<RecordStore> const reopened = openStore(folder);
    EXPECT_FALSE(reopened->findings().damaged) << keptBytes;
    std::string const turn = reopened->values().at("turn");
    EXPECT_TRUE(turn == "29" || turn == "rewritten") << keptBytes << " " << turn;
    EXPECT_EQ(reopened->values().at("bulk"), std::string(900, 'x'));
  }
}

// Power is lost during a put that begins the next file of the ring: only its checkpoint holds the new value.
TEST(RecordStore, ATornCheckpointLeavesThePreviousOrTheNewValues) {
  std::size_t const bytes = smallLayout.fileBytes * 3 / 4;
  std::size_t newStateCount = 0;
  for (std::size_t keptBytes = 0; keptBytes <= smallLayout.fileBytes; keptBytes += 256) {
    TempFolder const folder;
    std::unique_ptr<RecordStore> store = openStore(folder);
    for (char const fill : {'a', 'b', 'c', 'd', 'e'}) {
      ASSERT_TRUE(store->put({{"state", std::string(bytes, fill)}}).ok());
    }
    std::map<std::string, std::string> const before = readFiles(folder);
    ASSERT_TRUE(store->put({{"state", std::string(bytes, 'f')}}).ok());
    store.reset();
    truncateWrites(before, folder, keptBytes);
    std::unique_ptr<RecordStore> const reopened = openStore(folder);
    EXPECT_FALSE(reopened->findings().damaged) << keptBytes;
    std::string const state = reopened->values().at("state");
    EXPECT_TRUE(state == std::string(bytes, 'e') || state == std::string(bytes, 'f')) << keptBytes;
    newStateCount += state.front() == 'f' ? 1 : 0;
    EXPECT_TRUE(reopened->put({{"state", std::string(bytes, 'g')}}).ok()) << keptBytes;
  }
  EXPECT_GT(newStateCount, 0u);
}

// After a failed sync a record may be in the page cache but not on the disk, and the next process reads it from there.
TEST(RecordStore, TheFirstPutSyncsAgainAllValuesReadAtOpen) {
  TempFolder const folder;
  {
    std::unique_ptr<RecordStore> const store = openStore(folder);
    ASSERT_TRUE(store->put({{"vote", "1"}}).ok());
    ASSERT_TRUE(store->put({{"vote", "2"}}).ok());
  }
  ASSERT_TRUE(openStore(folder)->put({{"state", "3"}}).ok());
  std::size_t const secondRecord = 56;
  folder.corruptByte("ring-1", secondRecord);
  std::unique_ptr<RecordStore> const reopened = openStore(folder);
  EXPECT_FALSE(reopened->findings().damaged) << "power was lost before the second record was on the disk";
  EXPECT_EQ(reopened->values().at("vote"), "2");
  EXPECT_EQ(reopened->values().at("state"), "3");
}

}  // namespace
