#pragma once

#include "limeramp/config/settings.h"
#include "limeramp/control/dialect.h"
#include "limeramp/gateway/dialect.h"

#include <memory>
#include <string>

namespace limeramp::gateway {

class GatewayServer {
 public:
  static std::unique_ptr<GatewayServer> start(config::Settings const& settings, std::string& error,
                                              Dialect dialect = ownDialect(), control::OperatorDialect operators = {});
  ~GatewayServer();
  GatewayServer(GatewayServer const&) = delete;
  GatewayServer& operator=(GatewayServer const&) = delete;

  void drain();

 private:
  GatewayServer();
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeramp::gateway
