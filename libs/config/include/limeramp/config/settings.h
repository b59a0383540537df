#pragma once

#include "limeramp/config/configuration.h"

#include <string>
#include <vector>

namespace limeramp::config {

struct Settings {
  std::string node;
  std::string listen;
  std::string advertise;
  std::string zone;
  std::vector<std::string> seeds;
  std::string platform;
  std::string data;
  std::string logLevel = "info";
  std::size_t workerThreads = 2;
  std::size_t maxConnections = 2000;
  std::size_t maxRequests = 4000;
  bool rerun = true;
  bool mayFound = true;
  std::size_t storeFileBytes = 16 << 20;
  std::size_t machineLosses = 1;
  double extraSlack = 60;
  double extraRatio = 0.2;
  std::chrono::milliseconds graceMs{5600};
  std::chrono::milliseconds noticeMs{1500};
  std::chrono::milliseconds startHoldMs{1500};
  std::chrono::milliseconds listMs{400};
  std::chrono::milliseconds listPageMs{100};
  std::vector<std::string> operatorListens;
  std::vector<std::string> readinessListens;
  std::vector<std::string> callerListens;
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

}  // namespace limeramp::config
