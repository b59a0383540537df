#pragma once

#include "limeramp/dispatch/dispatcher.h"

#include <absl/status/statusor.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

/// The platform's list of servers in limeramp's own format.
namespace limeramp::discovery {

/// One page of the list, or all pages together.
struct List {
  std::map<std::string, std::vector<dispatch::ServerEndpoint>> services;
  /// Rows that were read, the malformed ones among them left out.
  std::size_t rows = 0;
  /// What was wrong with each malformed row. They never make the others unusable.
  std::vector<std::string> dropped;
  /// Names the next page; empty after the last.
  std::string nextPage{};
};

/// InvalidArgument if it is no list at all.
absl::StatusOr<List> readList(std::string_view body);

}  // namespace limeramp::discovery
