#include "limeramp/config/settings_update.h"

namespace limeramp::config {
namespace {

template <typename Value>
void apply(SettingsUpdate& update, Settings const& readAnew, Value Settings::*field, char const* name) {
  if (update.settings.*field != readAnew.*field) {
    update.settings.*field = readAnew.*field;
    update.applied.emplace_back(name);
  }
}

template <typename Value>
void keep(SettingsUpdate& update, Settings const& readAnew, Value Settings::*field, char const* name) {
  if (update.settings.*field != readAnew.*field) {
    update.waitingForRestart.emplace_back(name);
  }
}

}  // namespace

SettingsUpdate updateSettings(Settings const& inForce, Settings const& readAnew) {
  SettingsUpdate update{inForce, {}, {}};
  apply(update, readAnew, &Settings::seeds, "seeds");
  apply(update, readAnew, &Settings::platform, "platform");
  apply(update, readAnew, &Settings::listMs, "list_ms");
  apply(update, readAnew, &Settings::listPageMs, "list_page_ms");
  apply(update, readAnew, &Settings::maxConnections, "max_connections");
  apply(update, readAnew, &Settings::extraSlack, "extra_slack");
  apply(update, readAnew, &Settings::extraRatio, "extra_ratio");
  apply(update, readAnew, &Settings::graceMs, "grace_ms");
  apply(update, readAnew, &Settings::noticeMs, "notice_ms");
  keep(update, readAnew, &Settings::node, "node");
  keep(update, readAnew, &Settings::listen, "listen");
  keep(update, readAnew, &Settings::advertise, "advertise");
  keep(update, readAnew, &Settings::zone, "zone");
  keep(update, readAnew, &Settings::data, "data");
  keep(update, readAnew, &Settings::logLevel, "log_level");
  keep(update, readAnew, &Settings::workerThreads, "hands");
  keep(update, readAnew, &Settings::maxRequests, "max_requests");
  keep(update, readAnew, &Settings::rerun, "rerun");
  keep(update, readAnew, &Settings::storeFileBytes, "store_file_bytes");
  keep(update, readAnew, &Settings::machineLosses, "losses_to_bear");
  keep(update, readAnew, &Settings::operatorListens, "operator_listens");
  keep(update, readAnew, &Settings::readinessListens, "readiness_listens");
  keep(update, readAnew, &Settings::callerListens, "caller_listens");
  // mayFound and startHoldMs matter at the start alone: a running process has no use for another value.
  return update;
}

}  // namespace limeramp::config
