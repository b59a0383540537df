#pragma once

#include <absl/status/statusor.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// What one shard answers, and the merge of such answers. First-part-wins and the merge at the front follow Osprey,
/// sections 3 and 4; limeramp adds stamps, so that an answer for another request, shard or partition is never merged.
namespace limeramp::dispatch {

/// Says what an answer belongs to.
struct ShardStamp {
  std::string shard;
  std::string partition;
  std::string request;
  bool operator==(ShardStamp const&) const = default;
};

/// The records of one shard, greatest first.
struct ShardResult {
  ShardStamp stamp;
  std::vector<std::string> records;
  /// A server's own mark on its answer, where its protocol has one.
  std::string seal{};
};

/// Results are read once and never changed.
using ShardResultPtr = std::shared_ptr<ShardResult const>;

/// Reads an answer and keeps its `resultSize` greatest records. InvalidArgument if it is malformed or not the expected
/// one.
absl::StatusOr<ShardResult> parseShardResult(std::string_view body, ShardStamp const& expected, std::size_t resultSize);
/// The `resultSize` greatest records of all, compared byte by byte, falling. Equal records are all counted.
std::vector<std::string> mergeShardResults(std::vector<ShardResultPtr> const& parts, std::size_t resultSize);

/// Reads an answer of another format.
using PartReader = std::function<absl::StatusOr<ShardResult>(std::string_view body, ShardStamp const& expected,
                                                             std::size_t resultSize)>;

/// Reads and merges shard results on a oneTBB flow graph. `done` is called on a worker's thread, or at once on the
/// caller's if there are no workers. The destructor waits for all work to end. Safe to call from any thread.
class MergeWorkers {
 public:
  /// `threads` 0: no workers, everything is done by the caller.
  explicit MergeWorkers(std::size_t threads);
  ~MergeWorkers();
  MergeWorkers(MergeWorkers const&) = delete;
  MergeWorkers& operator=(MergeWorkers const&) = delete;

  /// Reads a result, see parseShardResult.
  void read(std::string body, ShardStamp expected, std::size_t resultSize,
            std::function<void(absl::StatusOr<ShardResult>)> done);
  /// Merges results, see mergeShardResults.
  void merge(std::vector<ShardResultPtr> parts, std::size_t resultSize,
             std::function<void(std::vector<std::string>)> done);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeramp::dispatch
