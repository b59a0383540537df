#pragma once

#include "limeramp/config/configuration.h"
#include "limeramp/config/settings.h"
#include "limeramp/control/dialect.h"

#include <memory>
#include <string>

namespace limeramp::control {

class ControlServer {
 public:
  static std::unique_ptr<ControlServer> start(config::Settings const& settings, std::string& error,
                                              OperatorDialect const& dialect = {},
                                              config::Language const& language = config::ownLanguage());
  ~ControlServer();
  ControlServer(ControlServer const&) = delete;
  ControlServer& operator=(ControlServer const&) = delete;

  void drain();

 private:
  ControlServer();
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeramp::control
