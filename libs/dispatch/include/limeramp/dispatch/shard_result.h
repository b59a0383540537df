#pragma once

#include <absl/status/statusor.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// Results of single shards, and their merge. That the first result of a shard wins and that the gateway merges follows
/// Osprey, sections 3 and 4; limeramp adds stamps, so that a result of another request, shard or partition is never
/// merged.
namespace limeramp::dispatch {

/// Identifies the shard, partition and request that a result belongs to.
struct ShardStamp {
  std::string shard;
  std::string partition;
  std::string request;
  bool operator==(ShardStamp const&) const = default;
};

/// The records of one shard, in descending order.
struct ShardResult {
  ShardStamp stamp;
  std::vector<std::string> records;
  /// The seal that the server sent with its answer, where its protocol has one.
  std::string seal{};
};

/// Shared results are immutable.
using ShardResultPtr = std::shared_ptr<ShardResult const>;

/// Parses an answer and keeps its `resultSize` greatest records. InvalidArgument if it is malformed or its stamp
/// differs from `expected`.
absl::StatusOr<ShardResult> parseShardResult(std::string_view body, ShardStamp const& expected, std::size_t resultSize);
/// Returns the `resultSize` greatest records of all results in descending byte order. Equal records are all kept.
std::vector<std::string> mergeShardResults(std::vector<ShardResultPtr> const& results, std::size_t resultSize);

/// Parses an answer in another format; see parseShardResult.
using ShardResultParser = std::function<absl::StatusOr<ShardResult>(std::string_view body, ShardStamp const& expected,
                                                                    std::size_t resultSize)>;

/// Parses and merges shard results on a oneTBB flow graph. `done` is called on a worker thread, or synchronously on the
/// caller's thread if there are no workers. The destructor waits for all work to finish. Safe to call from any thread.
class MergeWorkers {
 public:
  /// `threads` 0: no workers; all work runs on the caller's thread.
  explicit MergeWorkers(std::size_t threads);
  ~MergeWorkers();
  MergeWorkers(MergeWorkers const&) = delete;
  MergeWorkers& operator=(MergeWorkers const&) = delete;

  /// Parses a result; see parseShardResult.
  void read(std::string body, ShardStamp expected, std::size_t resultSize,
            std::function<void(absl::StatusOr<ShardResult>)> done);
  /// Merges results; see mergeShardResults.
  void merge(std::vector<ShardResultPtr> results, std::size_t resultSize,
             std::function<void(std::vector<std::string>)> done);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeramp::dispatch
