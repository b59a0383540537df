#pragma once

#include "limeramp/harbour/dialect.h"
#include "limeramp/manifest/configuration.h"
#include "limeramp/manifest/settings.h"

#include <memory>
#include <string>

namespace limeramp::harbour {

class Office {
 public:
  static std::unique_ptr<Office> start(manifest::Settings const& settings, std::string& error,
                                       OperatorDialect const& dialect = {},
                                       manifest::Language const& language = manifest::ownLanguage());
  ~Office();
  Office(Office const&) = delete;
  Office& operator=(Office const&) = delete;

  void drain();

 private:
  Office();
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}
