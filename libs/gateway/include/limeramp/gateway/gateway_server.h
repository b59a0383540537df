#pragma once

#include "limeramp/config/settings.h"
#include "limeramp/config/settings_file.h"
#include "limeramp/control/operator_protocol_adapter.h"
#include "limeramp/gateway/protocol_adapter.h"

#include <memory>
#include <string>

namespace limeramp::gateway {

/// A running gateway: serves callers' requests from servers or through other nodes, and forwards operators' calls to
/// the primary.
///
/// It runs on threads of its own from `start` until it is destroyed; its functions may be called from any thread.
class GatewayServer {
 public:
  /// Binds the addresses that the settings name and starts to serve.
  /// @return null, with the reason in `error`, if an address cannot be bound
  static std::unique_ptr<GatewayServer> start(config::Settings const& settings, std::string& error,
                                              ProtocolAdapter adapter = nativeProtocolAdapter(),
                                              control::OperatorProtocolAdapter operators = {});
  ~GatewayServer();
  GatewayServer(GatewayServer const&) = delete;
  GatewayServer& operator=(GatewayServer const&) = delete;

  /// Checks this settings file periodically and applies those settings that can change while the process runs.
  void follow(config::SettingsFile file);

  /// Reads the settings file at once. Requests are not interrupted.
  void reload();

  /// Drains: stops accepting connections after the notice time, answers the open requests, and returns within the grace
  /// time of the settings.
  void drain();

 private:
  GatewayServer();
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeramp::gateway
