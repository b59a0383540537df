#pragma once

#include "limeramp/dispatch/dispatcher.h"

#include <absl/status/statusor.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace limeramp::discovery {

struct List {
  std::map<std::string, std::vector<dispatch::ServerEndpoint>> services;
  std::size_t rows = 0;
  std::vector<std::string> dropped;
  std::string nextPage{};
};

absl::StatusOr<List> readList(std::string_view body);

}  // namespace limeramp::discovery
