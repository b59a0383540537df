#pragma once

#include "limeramp/manifest/configuration.h"

#include <string>
#include <vector>

namespace limeramp::manifest {

struct Settings {
  std::string node;
  std::string listen;
  std::string advertise;
  std::string zone;
  std::vector<std::string> seeds;
  std::string platform;
  std::string data;
  std::string logLevel = "info";
  std::size_t hands = 2;
  std::size_t maxConnections = 2000;
  std::size_t maxRequests = 4000;
  bool rerun = true;
};

struct SettingsNeeds {
  bool platform = false;
  bool data = false;
};

struct CheckedSettings {
  std::optional<Settings> settings;
  std::vector<Problem> problems;
};

CheckedSettings checkSettings(picojson::value const& document, SettingsNeeds const& needs);

}
