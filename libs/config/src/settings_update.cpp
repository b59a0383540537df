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
void keepUntilRestart(SettingsUpdate& update, Settings const& readAnew, Value Settings::*field, char const* name) {
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
  keepUntilRestart(update, readAnew, &Settings::node, "node");
  keepUntilRestart(update, readAnew, &Settings::listen, "listen");
  keepUntilRestart(update, readAnew, &Settings::advertise, "advertise");
  keepUntilRestart(update, readAnew, &Settings::zone, "zone");
  keepUntilRestart(update, readAnew, &Settings::data, "data");
  keepUntilRestart(update, readAnew, &Settings::logLevel, "log_level");
  keepUntilRestart(update, readAnew, &Settings::workerThreads, "hands");
  keepUntilRestart(update, readAnew, &Settings::maxRequests, "max_requests");
  keepUntilRestart(update, readAnew, &Settings::rerun, "rerun");
  keepUntilRestart(update, readAnew, &Settings::storeFileBytes, "store_file_bytes");
  keepUntilRestart(update, readAnew, &Settings::machineLosses, "losses_to_bear");
  keepUntilRestart(update, readAnew, &Settings::operatorListens, "operator_listens");
  keepUntilRestart(update, readAnew, &Settings::readinessListens, "readiness_listens");
  keepUntilRestart(update, readAnew, &Settings::callerListens, "caller_listens");
  // mayFound and startHoldMs matter at the start alone: a running process has no use for another value.
  return update;
}

}  // namespace limeramp::config
