#pragma once

#include "limeramp/config/settings.h"

#include <string>
#include <variant>
#include <vector>

/// Reads the command line of a program and the settings file that it names.
namespace limeramp::config {

/// The settings from the flags and the settings file; a flag overrides the file.
struct FlagSettings {
  Settings settings;
  /// Path of the settings file; empty if no flag names one.
  std::string path;
};
/// The text that --help or --version prints.
struct FlagText {
  std::string text;
};
/// The reason for which the flags or the settings file are refused.
struct FlagProblem {
  std::string text;
};

/// The result of reading a command line.
using FlagOutcome = std::variant<FlagSettings, FlagText, FlagProblem>;

/// Reads a command line and the settings file that it names.
FlagOutcome settingsFromFlags(std::string const& program, std::string const& purpose, SettingsNeeds const& needs,
                              int argc, char const* const* argv);

/// Reads the settings again from the same command line, and so from the same file, while the process runs.
CheckedSettings readAgain(std::string const& program, std::string const& purpose, SettingsNeeds const& needs,
                          std::vector<std::string> const& commandLine);

}  // namespace limeramp::config
