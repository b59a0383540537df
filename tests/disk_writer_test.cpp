// The thread that writes a controller's records.
#include "disk_writer.h"
#include "full_disk.h"

#include <gtest/gtest.h>

#include <filesystem>

namespace {

using namespace limeramp;
using namespace limeramp::control;
using test_support::FullDisk;

class Records : public testing::Test {
 protected:
  Records() {
    char pattern[] = "/tmp/limeramp-disk-writer-XXXXXX";
    folder_ = ::mkdtemp(pattern);
  }
  ~Records() override { std::filesystem::remove_all(folder_); }

  std::unique_ptr<DiskWriter> open() {
    absl::StatusOr<std::unique_ptr<storage::RecordStore>> store = storage::RecordStore::open(folder_, {3, 65'536});
    EXPECT_TRUE(store.ok()) << store.status();
    return std::make_unique<DiskWriter>(*std::move(store), [this](DiskDone const& done) { finished_.push(done); });
  }

  bool good(DiskWriter& writer, DiskJob job) {
    std::uint64_t const token = job.token;
    writer.write(std::move(job));
    return outcomeOf(token);
  }

  // The outcomes up to that of this token; outcomes of the disk's thread come in the order of the writes.
  bool outcomeOf(std::uint64_t token) {
    while (std::optional<DiskDone> done = finished_.pop()) {
      if (done->token == token) {
        return done->good;
      }
    }
    return false;
  }

  std::string folder_;
  net::Ring<DiskDone> finished_{4'096};
};

TEST_F(Records, AfterAFullDiskOnlyARewriteOpensTheStoreAgain) {
  {
    std::unique_ptr<DiskWriter> const writer = open();
    writer->start();
    EXPECT_TRUE(good(*writer, {1, {{"vote", "1"}, {"state", "1"}}, false}));
    {
      FullDisk const full;
      EXPECT_FALSE(good(*writer, {2, {{"vote", "2"}}, false}));
      EXPECT_FALSE(good(*writer, {3, {{"vote", "2"}, {"state", "1"}}, true}));
    }
    EXPECT_FALSE(good(*writer, {4, {{"state", "3"}}, false}));
    EXPECT_TRUE(good(*writer, {5, {{"vote", "2"}, {"state", "3"}}, true}));
    EXPECT_TRUE(good(*writer, {6, {{"state", "4"}}, false}));
  }
  std::unique_ptr<DiskWriter> const again = open();
  EXPECT_EQ(again->storedAtStart().at("vote"), "2");
  EXPECT_EQ(again->storedAtStart().at("state"), "4");
}

TEST_F(Records, ARecordWithoutAPlaceInTheQueueClosesItForLaterOnes) {
  std::unique_ptr<DiskWriter> writer = open();
  std::uint64_t token = 0;
  while (finished_.popUntil(std::chrono::steady_clock::time_point::min()) == std::nullopt) {
    ++token;
    writer->write({token, {{"turn", std::to_string(token)}}, false});
    ASSERT_LT(token, 100'000u) << "the queue has a bound";
  }
  writer->start();
  EXPECT_FALSE(outcomeOf(token - 1)) << "it must not be on the disk without the record that found no place";
  EXPECT_TRUE(good(*writer, {token + 1, {{"turn", "rewritten"}}, true}));
  EXPECT_TRUE(good(*writer, {token + 2, {{"turn", "last"}}, false}));
  writer.reset();
  EXPECT_EQ(open()->storedAtStart().at("turn"), "last");
}

}  // namespace
