#pragma once

#include "limeramp/config/settings.h"

#include <string>
#include <variant>
#include <vector>

/// The command line of a program, and the settings file that it names.
namespace limeramp::config {

/// The settings that flags and the settings file give together; a flag goes before the file.
struct FlagSettings {
  Settings settings;
  /// The settings file; empty if no flag names one.
  std::string path;
};
/// What a flag asked to be printed.
struct FlagText {
  std::string text;
};
/// Why the flags or the file give no settings.
struct FlagProblem {
  std::string text;
};

/// What a command line asks for.
using FlagOutcome = std::variant<FlagSettings, FlagText, FlagProblem>;

/// Reads a command line.
FlagOutcome settingsFromFlags(std::string const& program, std::string const& purpose, SettingsNeeds const& needs,
                              int argc, char const* const* argv);

/// Reads the file again that the same command line named, while the process runs.
CheckedSettings readAgain(std::string const& program, std::string const& purpose, SettingsNeeds const& needs,
                          std::vector<std::string> const& words);

}  // namespace limeramp::config
