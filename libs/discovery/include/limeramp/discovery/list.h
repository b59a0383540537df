#pragma once

#include "limeramp/dispatch/dispatcher.h"

#include <absl/status/statusor.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

/// Parses the platform's list of servers, in limeramp's own format.
namespace limeramp::discovery {

/// One page of the list, or the rows of all its pages.
struct List {
  std::map<std::string, std::vector<dispatch::ServerEndpoint>> services;
  /// Number of well-formed rows; malformed ones are not counted.
  std::size_t rows = 0;
  /// The first problem of each malformed row. Malformed rows leave the others usable.
  std::vector<std::string> dropped;
  /// Token of the next page; empty on the last page.
  std::string nextPage{};
};

/// Parses one page. InvalidArgument if `body` is not a list.
absl::StatusOr<List> readList(std::string_view body);

}  // namespace limeramp::discovery
