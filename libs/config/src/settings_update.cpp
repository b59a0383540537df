#include "limeramp/config/settings_update.h"

namespace limeramp::config {
namespace {

template <typename Value>
void apply(SettingsUpdate& update, Settings const& newSettings, Value Settings::*field, char const* name) {
  if (update.settings.*field != newSettings.*field) {
    update.settings.*field = newSettings.*field;
    update.applied.emplace_back(name);
  }
}

template <typename Value>
void keepUntilRestart(SettingsUpdate& update, Settings const& newSettings, Value Settings::*field, char const* name) {
  if (update.settings.*field != newSettings.*field) {
    update.waitingForRestart.emplace_back(name);
  }
}

}  // namespace

SettingsUpdate updateSettings(Settings const& inForce, Settings const& newSettings) {
  SettingsUpdate update{inForce, {}, {}};
  apply(update, newSettings, &Settings::seeds, "seeds");
  apply(update, newSettings, &Settings::platform, "platform");
  apply(update, newSettings, &Settings::listMs, "list_ms");
  apply(update, newSettings, &Settings::listPageMs, "list_page_ms");
  apply(update, newSettings, &Settings::maxConnections, "max_connections");
  apply(update, newSettings, &Settings::extraSlack, "extra_slack");
  apply(update, newSettings, &Settings::extraRatio, "extra_ratio");
  apply(update, newSettings, &Settings::graceMs, "grace_ms");
  apply(update, newSettings, &Settings::noticeMs, "notice_ms");
  keepUntilRestart(update, newSettings, &Settings::node, "node");
  keepUntilRestart(update, newSettings, &Settings::listen, "listen");
  keepUntilRestart(update, newSettings, &Settings::advertise, "advertise");
  keepUntilRestart(update, newSettings, &Settings::zone, "zone");
  keepUntilRestart(update, newSettings, &Settings::data, "data");
  keepUntilRestart(update, newSettings, &Settings::logLevel, "log_level");
  keepUntilRestart(update, newSettings, &Settings::workerThreads, "hands");
  keepUntilRestart(update, newSettings, &Settings::maxRequests, "max_requests");
  keepUntilRestart(update, newSettings, &Settings::rerun, "rerun");
  keepUntilRestart(update, newSettings, &Settings::storeFileBytes, "store_file_bytes");
  keepUntilRestart(update, newSettings, &Settings::machineLosses, "losses_to_bear");
  keepUntilRestart(update, newSettings, &Settings::operatorListens, "operator_listens");
  keepUntilRestart(update, newSettings, &Settings::readinessListens, "readiness_listens");
  keepUntilRestart(update, newSettings, &Settings::callerListens, "caller_listens");
  // mayFound and startHoldMs are left out: they have an effect only at the start of the process.
  return update;
}

}  // namespace limeramp::config
