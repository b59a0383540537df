#pragma once

#include "limeramp/config/configuration.h"
#include "limeramp/config/settings.h"
#include "limeramp/config/settings_file.h"
#include "limeramp/control/operator_protocol_adapter.h"

#include <memory>
#include <string>

namespace limeramp::control {

/// A running controller: a member of the control group that takes operators' changes, makes them safe and hands them
/// out.
///
/// It runs on three threads of its own from `start` until it is destroyed: network, event loop and disk. Its functions
/// may be called from any thread.
class ControlServer {
 public:
  /// Opens the disk folder, takes the addresses that the settings name, and begins. Without a folder it keeps nothing.
  /// @return nothing, with the reason in `error`, if the folder or an address cannot be used
  static std::unique_ptr<ControlServer> start(config::Settings const& settings, std::string& error,
                                              OperatorProtocolAdapter const& adapter = {},
                                              config::ConfigSchema const& schema = config::nativeConfigSchema());
  ~ControlServer();
  ControlServer(ControlServer const&) = delete;
  ControlServer& operator=(ControlServer const&) = delete;

  /// Looks at this settings file now and then, and takes what can change while the process runs.
  void follow(config::SettingsFile file);

  /// Reads the settings file at once. No call notices.
  void reload();

  /// Hands the duties over and takes no new connections; returns within the grace time of the settings.
  void drain();

 private:
  ControlServer();
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeramp::control
