#pragma once

#include "limeramp/messages/messages.h"

#include <deque>
#include <optional>
#include <vector>

/// Differences between states: what a follower at one version needs to reach another. A state has two parts with
/// versions of their own, the configuration and the roster; the rest is a few bytes and always sent. Receipts of
/// changes are for replicas alone and are never part of it.
namespace limeramp::distribution {

/// The versions of the parts of a state; all 0 for none.
messages::PartVersions partVersionsOf(std::optional<messages::State> const& state);

/// What turns `from` into `to`, and the roster that a difference makes of another.
messages::RosterDifference differenceOf(std::vector<messages::RosterEntry> const& from,
                                        std::vector<messages::RosterEntry> const& to);
std::vector<messages::RosterEntry> applyDifference(std::vector<messages::RosterEntry> roster,
                                                   messages::RosterDifference const& difference);

/// The last rosters that were published, so that a follower which names one of them is sent the difference.
class RosterHistory {
 public:
  /// The state's roster was published; the oldest one is dropped beyond a fixed number.
  void remember(messages::State const& state);
  /// Null if the version is not among the last ones. Version 0, 0 is the empty roster and always known.
  std::vector<messages::RosterEntry> const* find(messages::StateVersion const& version) const;

 private:
  struct Entry {
    messages::StateVersion version;
    std::vector<messages::RosterEntry> roster;
  };
  std::deque<Entry> entries_;
};

/// What brings a follower that has `parts` to `state`: the configuration only if its version differs, the roster as a
/// difference to the one it has, or to the empty one if that is not in `history`.
messages::StateUpdate updateFor(messages::State const& state, messages::PartVersions const& parts,
                                RosterHistory const& history, messages::StateResponse response);

/// The state that `update` leads to from `current`; nothing if `current` is not what the update builds on.
std::optional<messages::State> applyUpdate(std::optional<messages::State> const& current,
                                           messages::StateUpdate const& update);

}  // namespace limeramp::distribution
