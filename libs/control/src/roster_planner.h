#pragma once

#include "limeramp/control/config_service.h"
#include "node_tracker.h"

#include <string>
#include <vector>

/// Which nodes the roster should name: those that report, without those that left, were proved gone or have been silent
/// for long. A pure function of the roster and of what the tracker knows; when a change of the roster may be replicated
/// is for the caller to decide.
namespace limeramp::control {

struct RosterPlan {
  std::vector<messages::RosterEntry> roster;
  /// The differences from the roster before, for the log: "-" left, "+" joined, "~" moved. Empty if there are none.
  std::string changes;
};

RosterPlan planRoster(TimePoint now, ConfigServiceOptions const& options,
                      std::vector<messages::RosterEntry> const& current, NodeTracker const& tracker);

}  // namespace limeramp::control
