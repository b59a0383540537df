#pragma once

#include "limeramp/config/configuration.h"
#include "limeramp/messages/messages.h"

#include <set>
#include <string>

/// Operators' orders that a zone be evacuated or used again.
namespace limeramp::control {

/// The zones that get no work: those that operators ordered to be evacuated and those that the configuration names.
std::set<std::string> evacuatedZones(messages::State const& state, config::Configuration const& configuration);

}  // namespace limeramp::control
