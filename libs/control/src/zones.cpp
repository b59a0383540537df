#include "limeramp/control/zones.h"

namespace limeramp::control {

std::set<std::string> evacuatedZones(messages::State const& state, config::Configuration const& configuration) {
  std::set<std::string> out = configuration.evacuatedZones;
  out.insert(state.evacuatedZones.begin(), state.evacuatedZones.end());
  return out;
}

}  // namespace limeramp::control
