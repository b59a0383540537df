#pragma once

#include "limeramp/manifest/settings.h"

#include <memory>
#include <string>

namespace limeramp::quayside {

class Front {
 public:
  static std::unique_ptr<Front> start(manifest::Settings const& settings, std::string& error);
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
