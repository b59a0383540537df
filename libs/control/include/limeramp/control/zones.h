#pragma once

#include "limeramp/config/configuration.h"
#include "limeramp/messages/messages.h"

#include <set>
#include <string>

/// The zones that are evacuated, by operators' orders or by the configuration.
namespace limeramp::control {

/// The zones that get no work: those evacuated by operators' orders and those that the configuration names.
std::set<std::string> evacuatedZones(messages::State const& state, config::Configuration const& configuration);

}  // namespace limeramp::control
