#pragma once

#include "limeramp/config/configuration.h"
#include "limeramp/config/settings.h"
#include "limeramp/config/settings_file.h"
#include "limeramp/control/operator_protocol_adapter.h"

#include <memory>
#include <string>

namespace limeramp::control {

/// A running controller: a member of the control group that accepts operators' changes, replicates them durably and
/// distributes them.
///
/// Runs threads of its own for the network, the event loop, disk writes and the evaluation of orders, from `start`
/// until destruction. Its functions may be called from any thread.
class ControlServer {
 public:
  /// Opens the data folder, listens on the addresses of the settings, and starts the threads. Without a data folder
  /// nothing is stored.
  /// @return null, with the reason in `error`, if the folder or an address cannot be used
  static std::unique_ptr<ControlServer> start(config::Settings const& settings, std::string& error,
                                              OperatorProtocolAdapter const& adapter = {},
                                              config::ConfigSchema const& schema = config::nativeConfigSchema());
  ~ControlServer();
  ControlServer(ControlServer const&) = delete;
  ControlServer& operator=(ControlServer const&) = delete;

  /// Polls this settings file, and applies the settings that can change while the process runs.
  void follow(config::SettingsFile file);

  /// Reads the settings file immediately. Calls in progress are not affected.
  void reload();

  /// Hands over the controller's role in the group, then stops accepting connections. Blocks, for at most the grace
  /// time of the settings.
  void drain();

 private:
  ControlServer();
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeramp::control
