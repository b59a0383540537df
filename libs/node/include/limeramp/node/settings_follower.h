#pragma once

#include "limeramp/config/settings_file.h"
#include "limeramp/config/settings_update.h"

#include <chrono>
#include <memory>
#include <optional>

/// Reloading of settings while the process runs.
namespace limeramp::node {

/// The steady clock of this machine.
using TimePoint = std::chrono::steady_clock::time_point;

/// Interval at which a process checks its settings file for changes.
constexpr std::chrono::milliseconds settingsLookMs{5'000};

/// Keeps a running process on the latest valid settings of its settings file.
///
/// If the file cannot be read or is invalid, the previous settings stay in force. Logged events: E104 lists the
/// settings that changed, E105 those that take effect at a restart, E102 the reason why the file is rejected.
class SettingsFollower {
 public:
  /// @param inForce the settings that the process started with
  explicit SettingsFollower(config::Settings const& inForce);
  ~SettingsFollower();
  SettingsFollower(SettingsFollower const&) = delete;
  SettingsFollower& operator=(SettingsFollower const&) = delete;

  /// Sets the file to follow. Until then the settings do not change.
  void follow(config::SettingsFile file);

  /// Checks the file if the last check is `settingsLookMs` ago. Called from an existing timer of the process.
  /// @return the update to apply, if any setting changed in place
  std::optional<config::SettingsUpdate> tick(TimePoint now);

  /// Reads the file immediately, even if it appears unchanged.
  /// @return the update to apply, if any setting changed in place
  std::optional<config::SettingsUpdate> reload(TimePoint now);

  /// The settings in force now.
  config::Settings const& inForce() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeramp::node
