#include "limeramp/messages/state.h"

#include <algorithm>

namespace limeramp::messages {

bool isListed(std::vector<RosterEntry> const& roster, std::string const& node) {
  return std::any_of(roster.begin(), roster.end(), [&](RosterEntry const& entry) { return entry.node == node; });
}

}  // namespace limeramp::messages
