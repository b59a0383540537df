#pragma once

#include "limeramp/harbour/dialect.h"
#include "limeramp/manifest/settings.h"
#include "limeramp/quayside/dialect.h"

#include <memory>
#include <string>

namespace limeramp::quayside {

class Front {
 public:
  static std::unique_ptr<Front> start(manifest::Settings const& settings, std::string& error, Dialect dialect = ownDialect(),
                                      harbour::OperatorDialect operators = {});
  ~Front();
  Front(Front const&) = delete;
  Front& operator=(Front const&) = delete;

  void drain();

 private:
  Front();
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}
