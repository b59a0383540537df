#pragma once

#include "limeramp/config/configuration.h"
#include "limeramp/messages/messages.h"

#include <set>
#include <string>

namespace limeramp::control {

std::set<std::string> evacuatedZones(messages::State const& state, config::Configuration const& configuration);

}
