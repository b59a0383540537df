#pragma once

#include "limeramp/config/settings.h"

#include <string>
#include <vector>

namespace limeramp::config {

/// What a process does with settings that were read while it runs.
struct SettingsUpdate {
  /// The settings in force from now on: the former ones with every setting that can change in place.
  Settings settings;
  /// Names of the settings that changed in place.
  std::vector<std::string> applied;
  /// Names of the settings that differ but hold only from the next start; `settings` keeps their former values.
  std::vector<std::string> waitingForRestart;
};

/// Compares settings that were read anew with those in force. Both must have passed their checks.
SettingsUpdate updateSettings(Settings const& inForce, Settings const& readAnew);

}  // namespace limeramp::config
