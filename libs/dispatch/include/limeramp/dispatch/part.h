#pragma once

#include <absl/status/statusor.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace limeramp::dispatch {

struct Stamp {
  std::string shard;
  std::string cut;
  std::string request;
  bool operator==(Stamp const&) const = default;
};

struct Part {
  Stamp stamp;
  std::vector<std::string> records;
  std::string seal{};
};

using PartPtr = std::shared_ptr<Part const>;

absl::StatusOr<Part> readPart(std::string_view body, Stamp const& expected, std::size_t result_size);
std::vector<std::string> mergeParts(std::vector<PartPtr> const& parts, std::size_t result_size);

using PartReader =
    std::function<absl::StatusOr<Part>(std::string_view body, Stamp const& expected, std::size_t result_size)>;

class Mill {
 public:
  explicit Mill(std::size_t hands);
  ~Mill();
  Mill(Mill const&) = delete;
  Mill& operator=(Mill const&) = delete;

  void read(std::string body, Stamp expected, std::size_t result_size, std::function<void(absl::StatusOr<Part>)> done);
  void merge(std::vector<PartPtr> parts, std::size_t result_size, std::function<void(std::vector<std::string>)> done);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeramp::dispatch
