#pragma once

#include "limeramp/messages/messages.h"

#include <deque>
#include <optional>
#include <vector>

/// Differences between states: what a follower at one version needs to reach another. A state has two separately
/// versioned parts, the configuration and the roster; the rest is a few bytes and always sent. Change receipts are only
/// for replicas and never part of an update.
namespace limeramp::distribution {

/// The versions of the parts of `state`; all 0 if there is no state.
messages::PartVersions partVersionsOf(std::optional<messages::State> const& state);

/// The difference that turns `from` into `to`.
messages::RosterDifference differenceOf(std::vector<messages::RosterEntry> const& from,
                                        std::vector<messages::RosterEntry> const& to);
/// Returns `roster` with `difference` applied. The result has the entries of the target roster, in any order.
std::vector<messages::RosterEntry> applyDifference(std::vector<messages::RosterEntry> roster,
                                                   messages::RosterDifference const& difference);

/// The last published rosters. A follower that has one of them is sent only the difference.
class RosterHistory {
 public:
  /// Adds the roster of a published state. The oldest rosters are dropped beyond a fixed number of rosters or entries.
  void remember(messages::State const& state);
  /// The roster of that version; null if it is not kept. Version {0, 0} is the empty roster and always known.
  std::vector<messages::RosterEntry> const* find(messages::StateVersion const& version) const;

 private:
  struct Entry {
    messages::StateVersion version;
    std::vector<messages::RosterEntry> roster;
  };
  std::deque<Entry> entries_;
};

/// The update that brings a follower with `parts` to `state`. It contains the configuration only if its version
/// differs, and the roster as a difference to the follower's, or to the empty roster if that is not in `history`.
messages::StateUpdate updateFor(messages::State const& state, messages::PartVersions const& parts,
                                RosterHistory const& history, messages::StateResponse response);

/// The state that results from applying `update` to `current`; nullopt if `current` is not the base of the update.
std::optional<messages::State> applyUpdate(std::optional<messages::State> const& current,
                                           messages::StateUpdate const& update);

}  // namespace limeramp::distribution
