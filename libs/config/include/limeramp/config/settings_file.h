#pragma once

#include "limeramp/config/settings.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace limeramp::config {

/// Reads and checks settings from wherever the process got them at its start.
using SettingsReader = std::function<CheckedSettings()>;

/// Tells when a settings file has changed since it was last read.
///
/// A change is seen by the file's number, size and time of writing, so that looking costs one system call and no read.
/// A file that is replaced by one with all of these alike is not noticed; whoever knows better calls `read`.
/// Not safe for use by several threads at once.
class SettingsFile {
 public:
  /// @param path the file to look at; empty if the settings came from no file, and then nothing ever changes
  SettingsFile(std::string const& path, SettingsReader reader);
  ~SettingsFile();
  SettingsFile(SettingsFile&&) noexcept;
  SettingsFile& operator=(SettingsFile&&) noexcept;

  /// Reads the file whether or not it seems changed.
  CheckedSettings read();

  /// Reads the file if it differs from the one last read, if that one was not usable, and the first time; nothing
  /// otherwise, also while there is no file.
  std::optional<CheckedSettings> readIfChanged();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeramp::config
