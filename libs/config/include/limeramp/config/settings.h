#pragma once

#include "limeramp/config/configuration.h"

#include <string>
#include <vector>

/// What one process is told at its start, by flags or a settings file (docs/operating.md names each with its default).
namespace limeramp::config {

/// Checked settings. Which of them can change while the process runs is said by updateSettings.
struct Settings {
  /// Unique in the fleet.
  std::string node;
  /// Where peers reach this process: the address that it takes, and the one that it tells others.
  std::string listen;
  std::string advertise;
  /// The failure domain that this machine stands in.
  std::string zone;
  /// Addresses of other processes to begin with. At the very first start, the ones that may found the control group.
  std::vector<std::string> seeds;
  /// Address of the platform's list of servers. Needed by gateways.
  std::string platform;
  /// Folder on the disk; a controller without one keeps nothing and cannot vote.
  std::string data;
  std::string logLevel = "info";
  /// Threads that read and merge shard results; 0: the network's thread does it.
  std::size_t workerThreads = 2;
  /// Connections that each listener takes.
  std::size_t maxConnections = 2000;
  /// Callers' requests that are open at once; more are refused.
  std::size_t maxRequests = 4000;
  /// Whether stragglers are hedged.
  bool rerun = true;
  /// Whether this process may take part in founding the control group.
  bool mayFound = true;
  /// Bytes of each of the four preallocated files of a controller. They are longer where the longest replicated state
  /// needs it (control::minStoreFileBytes).
  std::size_t storeFileBytes = 16 << 20;
  /// Controllers that may be lost at once: sets the number of replicas and witnesses.
  std::size_t machineLosses = 1;
  /// The fleet's retry budget for one service: `extraRatio` of its requests and `extraSlack` more in any ten seconds.
  double extraSlack = 60;
  double extraRatio = 0.2;
  /// After SIGTERM: how long the process may take, and how long it still takes new requests.
  std::chrono::milliseconds graceMs{5600};
  std::chrono::milliseconds noticeMs{1500};
  /// How long listeners for callers stay closed at the start while the node is not ready.
  std::chrono::milliseconds startHoldMs{1500};
  /// Between two readings of the platform's list, and between two of its pages.
  std::chrono::milliseconds listMs{400};
  std::chrono::milliseconds listPageMs{100};
  /// Addresses that serve only operators, only readiness checks, only callers.
  std::vector<std::string> operatorListens;
  std::vector<std::string> readinessListens;
  std::vector<std::string> callerListens;
};

/// Which settings a program cannot do without.
struct SettingsNeeds {
  bool platform = false;
  bool data = false;
};

/// Exactly one of the two: settings, or problems by path.
struct CheckedSettings {
  std::optional<Settings> settings;
  std::vector<Problem> problems;
};

/// Checks a settings document; unknown fields are problems.
CheckedSettings checkSettings(picojson::value const& document, SettingsNeeds const& needs);

}  // namespace limeramp::config
