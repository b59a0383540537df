// Tests of the thread that writes a controller's records.
#include "disk_writer.h"
#include "full_disk.h"

#include <gtest/gtest.h>

#include <filesystem>

namespace {

using namespace limeramp;
using namespace limeramp::control;
using test_support::FullDisk;

class DiskWriterTest : public testing::Test {
 protected:
  DiskWriterTest() {
    char pattern[] = "/tmp/limeramp-disk-writer-XXXXXX";
    folder_ = ::mkdtemp(pattern);
  }
  ~DiskWriterTest() override { std::filesystem::remove_all(folder_); }

  std::unique_ptr<DiskWriter> open() {
    absl::StatusOr<std::unique_ptr<storage::RecordStore>> store = storage::RecordStore::open(folder_, {3, 65'536});
    EXPECT_TRUE(store.ok()) << store.status();
    return std::make_unique<DiskWriter>(*std::move(store),
                                        [this](DiskWriteFinished const& result) { finished_.push(result); });
  }

  bool writeSucceeds(DiskWriter& writer, DiskWrite records) {
    std::uint64_t const token = records.token;
    writer.write(std::move(records));
    return succeeded(token);
  }

  // Waits for the outcome of the write with this token, and discards earlier ones. The writer's thread reports outcomes
  // in the order of the writes.
  bool succeeded(std::uint64_t token) {
    while (std::optional<DiskWriteFinished> result = finished_.pop()) {
      if (result->token == token) {
        return result->succeeded;
      }
    }
    return false;
  }

  std::string folder_;
  net::Ring<DiskWriteFinished> finished_{4'096};
};

TEST_F(DiskWriterTest, WritesFailAfterAFullDiskUntilARewriteSucceeds) {
  {
    std::unique_ptr<DiskWriter> const writer = open();
    writer->start();
    EXPECT_TRUE(writeSucceeds(*writer, {1, {{"vote", "1"}, {"state", "1"}}, false}));
    {
      FullDisk const fullDisk;
      EXPECT_FALSE(writeSucceeds(*writer, {2, {{"vote", "2"}}, false}));
      EXPECT_FALSE(writeSucceeds(*writer, {3, {{"vote", "2"}, {"state", "1"}}, true}));
    }
    EXPECT_FALSE(writeSucceeds(*writer, {4, {{"state", "3"}}, false}));
    EXPECT_TRUE(writeSucceeds(*writer, {5, {{"vote", "2"}, {"state", "3"}}, true}));
    EXPECT_TRUE(writeSucceeds(*writer, {6, {{"state", "4"}}, false}));
  }
  std::unique_ptr<DiskWriter> const reopened = open();
  EXPECT_EQ(reopened->storedAtStart().at("vote"), "2");
  EXPECT_EQ(reopened->storedAtStart().at("state"), "4");
}

TEST_F(DiskWriterTest, WritesFailAfterADroppedRecordUntilARewriteSucceeds) {
  std::unique_ptr<DiskWriter> writer = open();
  std::uint64_t token = 0;
  while (finished_.popUntil(std::chrono::steady_clock::time_point::min()) == std::nullopt) {
    ++token;
    writer->write({token, {{"turn", std::to_string(token)}}, false});
    ASSERT_LT(token, 100'000u) << "the queue accepted 100000 writes without reaching its bound";
  }
  writer->start();
  EXPECT_FALSE(succeeded(token - 1)) << "a record was written after one before it had been dropped";
  EXPECT_TRUE(writeSucceeds(*writer, {token + 1, {{"turn", "rewritten"}}, true}));
  EXPECT_TRUE(writeSucceeds(*writer, {token + 2, {{"turn", "last"}}, false}));
  writer.reset();
  EXPECT_EQ(open()->storedAtStart().at("turn"), "last");
}

}  // namespace
