#pragma once

#include "limeramp/control/config_service.h"
#include "node_tracker.h"

#include <string>
#include <vector>

/// Computes which nodes belong on the roster: those that report, without those that drain, are proved gone or have not
/// reported for `rosterForgetMs`. A pure function of the roster and the tracker. The caller decides when a change of
/// the roster may be replicated.
namespace limeramp::control {

/// The roster that should be in force.
struct RosterPlan {
  std::vector<messages::RosterEntry> roster;
  /// The differences from the current roster, for the log: "-" removed, "+" added, "~" changed its address or zone.
  /// Empty if there are none.
  std::string changes;
};

/// Plans the roster that should replace `current`.
RosterPlan planRoster(TimePoint now, ConfigServiceOptions const& options,
                      std::vector<messages::RosterEntry> const& current, NodeTracker const& tracker);

}  // namespace limeramp::control
