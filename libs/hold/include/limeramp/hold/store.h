#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace limeramp::hold {

using Puts = std::vector<std::pair<std::string, std::string>>;

struct Shape {
  std::size_t files = 4;
  std::size_t fileBytes = 16 << 20;
};

struct Findings {
  bool empty = false;
  bool tailCut = false;
  bool damaged = false;
  std::string detail;
};

class Store {
 public:
  static absl::StatusOr<std::unique_ptr<Store>> open(std::string const& folder, Shape const& shape = {});
  ~Store();
  Store(Store const&) = delete;
  Store& operator=(Store const&) = delete;

  Findings const& findings() const;
  std::map<std::string, std::string> const& values() const;
  absl::Status put(Puts const& puts);
  absl::Status setAside();

 private:
  Store();
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}
