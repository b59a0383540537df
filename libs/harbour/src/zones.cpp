#include "limeramp/harbour/zones.h"

namespace limeramp::harbour {

std::set<std::string> emptiedZones(cargo::State const& state, manifest::Configuration const& configuration) {
  std::set<std::string> out = configuration.emptiedZones;
  out.insert(state.emptiedZones.begin(), state.emptiedZones.end());
  return out;
}

}
