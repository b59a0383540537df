#pragma once

#include <absl/status/statusor.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace limeramp::dispatch {

struct ShardStamp {
  std::string shard;
  std::string partition;
  std::string request;
  bool operator==(ShardStamp const&) const = default;
};

struct ShardResult {
  ShardStamp stamp;
  std::vector<std::string> records;
  std::string seal{};
};

using ShardResultPtr = std::shared_ptr<ShardResult const>;

absl::StatusOr<ShardResult> parseShardResult(std::string_view body, ShardStamp const& expected, std::size_t resultSize);
std::vector<std::string> mergeShardResults(std::vector<ShardResultPtr> const& parts, std::size_t resultSize);

using PartReader = std::function<absl::StatusOr<ShardResult>(std::string_view body, ShardStamp const& expected,
                                                             std::size_t resultSize)>;

class MergeWorkers {
 public:
  explicit MergeWorkers(std::size_t threads);
  ~MergeWorkers();
  MergeWorkers(MergeWorkers const&) = delete;
  MergeWorkers& operator=(MergeWorkers const&) = delete;

  void read(std::string body, ShardStamp expected, std::size_t resultSize,
            std::function<void(absl::StatusOr<ShardResult>)> done);
  void merge(std::vector<ShardResultPtr> parts, std::size_t resultSize,
             std::function<void(std::vector<std::string>)> done);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeramp::dispatch
