#pragma once

#include "limeramp/config/settings.h"
#include "limeramp/config/settings_file.h"
#include "limeramp/control/operator_protocol_adapter.h"
#include "limeramp/gateway/protocol_adapter.h"

#include <memory>
#include <string>

namespace limeramp::gateway {

/// A running gateway: takes callers' requests, asks servers, forwards to other nodes, and relays operators' calls.
///
/// It runs on threads of its own from `start` until it is destroyed; its functions may be called from any thread.
class GatewayServer {
 public:
  /// Takes the addresses that the settings name and begins.
  /// @return nothing, with the reason in `error`, if an address cannot be taken
  static std::unique_ptr<GatewayServer> start(config::Settings const& settings, std::string& error,
                                              ProtocolAdapter adapter = nativeProtocolAdapter(),
                                              control::OperatorProtocolAdapter operators = {});
  ~GatewayServer();
  GatewayServer(GatewayServer const&) = delete;
  GatewayServer& operator=(GatewayServer const&) = delete;

  /// Looks at this settings file now and then, and takes what can change while the process runs.
  void follow(config::SettingsFile file);

  /// Reads the settings file at once. No request notices.
  void reload();

  /// Takes nothing new, answers what is held, and returns within the grace time of the settings.
  void drain();

 private:
  GatewayServer();
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeramp::gateway
