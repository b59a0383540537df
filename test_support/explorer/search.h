#pragma once

#include "explorer/world.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace limeramp::explorer {

struct Finding {
  std::string violation;
  Trace trace;
};

struct SearchBounds {
  std::size_t maxStates = 100'000;
  std::size_t maxDepth = 100;
  /// One in this many visited states runs the recovery schedule; 0 disables it.
  std::size_t recoverEvery = 0;
};

struct SearchReport {
  std::size_t states = 0;
  std::size_t transitions = 0;
  std::size_t depth = 0;
  std::size_t recoveries = 0;
  /// Every reachable state within the budget was visited; no bound cut the search short.
  bool complete = false;
  std::optional<Finding> finding;
};

/// Searches breadth-first over all steps, so that the trace of a finding is a shortest one.
SearchReport searchAll(World const& start, SearchBounds const& bounds);

struct WalkBounds {
  std::uint64_t firstSeed = 1;
  std::size_t walks = 100;
  std::size_t steps = 300;
};

struct WalkReport {
  std::size_t walks = 0;
  std::size_t steps = 0;
  std::size_t acknowledged = 0;
  std::size_t epochs = 0;
  std::uint64_t seed = 0;
  std::optional<Finding> finding;
};

/// Runs random walks, each with its own seed, and the recovery schedule at the end of each.
WalkReport walkRandomly(World const& start, WalkBounds const& bounds);

/// Replays the trace and skips steps that are not enabled. Returns the violation or, with thenRecover, why recovery
/// failed; empty if neither.
std::string replay(World world, Trace const& trace, bool thenRecover, std::string* stepLog = nullptr);

/// Minimizes a trace: removes steps as long as the rest still violates an invariant.
Finding shorten(World const& start, Finding const& finding);

}  // namespace limeramp::explorer
