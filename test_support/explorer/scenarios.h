#pragma once

#include "explorer/world.h"

#include <string>
#include <vector>

namespace limeramp::explorer {

/// A named start of a search or a walk: the state of the world and the budget of steps from there on.
struct Scenario {
  std::string name;
  std::string about;
  World start;
  /// The length of a random walk from here.
  std::size_t steps = 400;
};

std::vector<Scenario> searchScenarios();
std::vector<Scenario> walkScenarios();

}  // namespace limeramp::explorer
