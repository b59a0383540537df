#pragma once

#include "limeramp/config/settings.h"

#include <string>
#include <variant>

namespace limeramp::config {

struct FlagText {
  std::string text;
};
struct FlagProblem {
  std::string text;
};

using FlagOutcome = std::variant<Settings, FlagText, FlagProblem>;

FlagOutcome settingsFromFlags(std::string const& program, std::string const& purpose, SettingsNeeds const& needs,
                              int argc, char const* const* argv);

}  // namespace limeramp::config
