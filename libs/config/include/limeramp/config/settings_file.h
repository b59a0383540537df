#pragma once

#include "limeramp/config/settings.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace limeramp::config {

/// Reads and checks the settings from the source that the process used at its start.
using SettingsReader = std::function<CheckedSettings()>;

/// Detects changes of a settings file since it was last read.
///
/// Compares the file's device, inode, size and modification time, so that a check costs one system call and no read. A
/// file replaced by one for which all of these are equal goes unnoticed; a caller that knows of a change calls `read`.
/// Not thread-safe.
class SettingsFile {
 public:
  /// @param path the file to check; empty if the settings came from no file, so that no change is ever found
  SettingsFile(std::string const& path, SettingsReader reader);
  ~SettingsFile();
  SettingsFile(SettingsFile&&) noexcept;
  SettingsFile& operator=(SettingsFile&&) noexcept;

  /// Reads the file whether or not a change is detected.
  CheckedSettings read();

  /// Reads the file on the first call, if it changed since the last read, or if that read gave no valid settings.
  /// Returns nothing otherwise, and while the file does not exist.
  std::optional<CheckedSettings> readIfChanged();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeramp::config
