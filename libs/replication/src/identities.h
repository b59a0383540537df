#pragma once

#include <string>
#include <vector>

namespace limeramp::replication {

/// The ids separated by spaces, for the log.
std::string joined(std::vector<std::string> const& ids);

}  // namespace limeramp::replication
