#pragma once

#include <string>
#include <vector>

namespace limeramp::replication {

/// The identities with a space between them, for the log.
std::string joined(std::vector<std::string> const& ids);

}  // namespace limeramp::replication
