#pragma once

#include "limeramp/config/settings_file.h"
#include "limeramp/config/settings_update.h"

#include <chrono>
#include <memory>
#include <optional>

/// Settings that change while the process runs.
namespace limeramp::node {

/// The steady clock of this machine.
using TimePoint = std::chrono::steady_clock::time_point;

/// How long a process goes without looking at its settings file.
constexpr std::chrono::milliseconds settingsLookMs{5'000};

/// Keeps a running process on its newest usable settings.
///
/// A file that cannot be read or contradicts itself leaves the former settings in force. Every outcome is logged:
/// E104 what changed, E105 what waits for a restart, E102 what makes the file unusable.
class SettingsFollower {
 public:
  /// @param inForce the settings that the process started with
  explicit SettingsFollower(config::Settings const& inForce);
  ~SettingsFollower();
  SettingsFollower(SettingsFollower const&) = delete;
  SettingsFollower& operator=(SettingsFollower const&) = delete;

  /// From now on looks at this file. Without one nothing changes.
  void follow(config::SettingsFile file);

  /// Looks at the file if the last look is `settingsLookMs` ago. Call it from an existing timer.
  /// @return what to apply, if any setting changed in place
  std::optional<config::SettingsUpdate> tick(TimePoint now);

  /// Reads the file at once, however it looks.
  /// @return what to apply, if any setting changed in place
  std::optional<config::SettingsUpdate> reload(TimePoint now);

  /// The settings in force now.
  config::Settings const& inForce() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeramp::node
