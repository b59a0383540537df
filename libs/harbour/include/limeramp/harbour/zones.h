#pragma once

#include "limeramp/cargo/messages.h"
#include "limeramp/manifest/configuration.h"

#include <set>
#include <string>

namespace limeramp::harbour {

std::set<std::string> emptiedZones(cargo::State const& state, manifest::Configuration const& configuration);

}
