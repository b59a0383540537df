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
  /// Of every so many visited states one runs the recovery schedule to its end; none with 0.
  std::size_t recoverEvery = 0;
};

struct SearchReport {
  std::size_t states = 0;
  std::size_t transitions = 0;
  std::size_t depth = 0;
  std::size_t recoveries = 0;
  /// Every state within the budget was visited, none was left out for a bound.
  bool complete = false;
  std::optional<Finding> finding;
};

/// Breadth-first over all steps: the trace of a finding is a shortest one.
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

/// Random steps, each walk by its own seed, the recovery schedule at the end of each.
WalkReport walkRandomly(World const& start, WalkBounds const& bounds);

/// Runs the trace, leaving out steps that are not possible. Says the violation, or what recovery misses if asked.
std::string replay(World world, Trace const& trace, bool thenRecover, std::string* account = nullptr);

/// Leaves out steps as long as the rest still breaks an invariant.
Finding shorten(World const& start, Finding const& finding);

}  // namespace limeramp::explorer
