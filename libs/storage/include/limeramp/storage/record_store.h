#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace limeramp::storage {

using Puts = std::vector<std::pair<std::string, std::string>>;

struct RingLayout {
  std::size_t files = 4;
  std::size_t fileBytes = 16 << 20;
};

struct Findings {
  bool empty = false;
  bool tailTruncated = false;
  bool damaged = false;
  std::string detail;
};

class RecordStore {
 public:
  static absl::StatusOr<std::unique_ptr<RecordStore>> open(std::string const& folder, RingLayout const& shape = {});
  ~RecordStore();
  RecordStore(RecordStore const&) = delete;
  RecordStore& operator=(RecordStore const&) = delete;

  Findings const& findings() const;
  std::map<std::string, std::string> const& values() const;
  absl::Status put(Puts const& puts);
  absl::Status setAside();

 private:
  RecordStore();
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeramp::storage
