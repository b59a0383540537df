#pragma once

#include "limeramp/config/settings.h"

#include <string>
#include <vector>

namespace limeramp::config {

/// The effect of settings that were read while the process runs.
struct SettingsUpdate {
  /// The settings in force from now on: the former ones with the new values of all settings that can change in place.
  Settings settings;
  /// Names of the settings that changed in place.
  std::vector<std::string> applied;
  /// Names of the settings that differ but take effect only at the next start; `settings` keeps their former values.
  std::vector<std::string> waitingForRestart;
};

/// Compares newly read settings with those in force. Both must have passed checkSettings.
SettingsUpdate updateSettings(Settings const& inForce, Settings const& newSettings);

}  // namespace limeramp::config
