#pragma once

#include "limeramp/config/configuration.h"

#include <string>
#include <vector>

/// The settings of one process, from flags or a settings file (docs/operating.md lists each with its default).
namespace limeramp::config {

/// Checked settings. updateSettings defines which of them can change while the process runs.
struct Settings {
  /// Name of the process, unique in the fleet.
  std::string node;
  /// IP:PORT on which this process listens, and the one that it advertises to its peers.
  std::string listen;
  std::string advertise;
  /// Failure domain of this machine.
  std::string zone;
  /// Addresses of the first processes to contact. At the first start of a fleet: those that may found the control
  /// group.
  std::vector<std::string> seeds;
  /// Address of the platform's list of servers. Needed by gateways.
  std::string platform;
  /// Data folder on the machine's disk; a controller without one stores nothing and cannot vote.
  std::string data;
  std::string logLevel = "info";
  /// Threads that parse and merge shard results; 0: the network thread does it.
  std::size_t workerThreads = 2;
  /// Upper bound of the connections that each listener accepts.
  std::size_t maxConnections = 2000;
  /// Upper bound of concurrent requests of callers; more are refused.
  std::size_t maxRequests = 4000;
  /// Whether slow requests are hedged.
  bool rerun = true;
  /// Whether this process may take part in founding the control group.
  bool mayFound = true;
  /// Bytes of each of a controller's four preallocated files. Larger if the longest replicated state needs more
  /// (control::minStoreFileBytes).
  std::size_t storeFileBytes = 16 << 20;
  /// Number of controllers that may fail at once; determines the number of replicas and witnesses.
  std::size_t machineLosses = 1;
  /// The fleet's retry budget for one service in any ten seconds: `extraRatio` of its requests plus `extraSlack`.
  double extraSlack = 60;
  double extraRatio = 0.2;
  /// After SIGTERM: time until the process ends at the latest, and time during which it still accepts new requests.
  std::chrono::milliseconds graceMs{5600};
  std::chrono::milliseconds noticeMs{1500};
  /// Upper bound of the time after the start during which caller listeners stay closed while the node is not ready.
  std::chrono::milliseconds startHoldMs{1500};
  /// Interval between two reads of the platform's list, and between two of its pages.
  std::chrono::milliseconds listMs{400};
  std::chrono::milliseconds listPageMs{100};
  /// Additional addresses to listen on: for operators only, for readiness checks only, for callers only.
  std::vector<std::string> operatorListens;
  std::vector<std::string> readinessListens;
  std::vector<std::string> callerListens;
};

/// Optional settings that a program requires.
struct SettingsNeeds {
  bool platform = false;
  bool data = false;
};

/// Holds either settings or at least one problem, never both.
struct CheckedSettings {
  std::optional<Settings> settings;
  std::vector<Problem> problems;
};

/// Checks a settings document. Unknown fields are problems.
CheckedSettings checkSettings(picojson::value const& document, SettingsNeeds const& needs);

}  // namespace limeramp::config
