// Applies a delivered state: the configuration, this node's share of the fleet's limits, and the servers of each
// service.
#include "gateway_server_impl.h"

#include "limeramp/control/zones.h"
#include "limeramp/logging/logging.h"

#include <algorithm>

namespace limeramp::gateway {
namespace {

/// The retry slack is divided among at least this many roster slots.
constexpr std::uint64_t minBudgetSlots = 20;
/// A draining gateway counts as one of so many that its share of each server is negligible.
constexpr std::size_t gatewayCountWhileDraining = 1'000'000;
/// Part of `extraSlack` that is given out as retry budgets.
constexpr double retrySlackShare = 0.9;
/// Part of a server's connection limit that the gateways use together.
constexpr double connectionLimitShare = 0.85;
constexpr std::size_t minConnections = 2;
constexpr std::size_t maxConnectionLimits = 20'000;
/// Idle timeout of connections to a server whose limit leaves this gateway fewer than `minConnections`.
constexpr Ms scarceConnectionIdleMs{200};

}  // namespace

void GatewayServer::Impl::putInForce() {
  messages::State const& state = *delivery.state();
  updateFleetPosition();
  config::Version const version{state.configurationEpoch, state.configurationSequence};
  if (version == config::Version{} ||
      (requestManager.snapshot() != nullptr && requestManager.snapshot()->version >= version)) {
    for (std::string const& service : services) {
      updateServers(service);
    }
    return;
  }
  config::CheckedConfiguration checked = adapter.schema.check(state.document);
  documentUnreadable = !checked.configuration;
  if (documentUnreadable) {
    logging::raise(logging::Event::configurationUnreadable,
                   {{"version", version.text()}, {"path", checked.problems.front().path}});
    return;
  }
  std::shared_ptr<config::Snapshot> const snapshot = std::make_shared<config::Snapshot>();
  snapshot->version = version;
  snapshot->text = state.document;
  snapshot->configuration = *std::move(checked.configuration);
  step(ConfigurationInForce{snapshot});
  applyCallerLimits();
  replaceServices(snapshot->configuration);
  updateFleetPosition();
  logging::raise(logging::Event::configurationInForce, {{"version", version.text()}});
}

void GatewayServer::Impl::replaceServices(config::Configuration const& configuration) {
  std::set<std::string> newServices;
  for (std::pair<std::string const, config::Service> const& entry : configuration.services) {
    newServices.insert(entry.first);
  }
  for (std::string const& service : services) {
    if (!newServices.contains(service)) {
      step(EndpointsChanged{dispatch::ServersUpdated{service, {}}});
    }
  }
  services = std::move(newServices);
  for (std::string const& service : services) {
    updateServers(service);
  }
}

void GatewayServer::Impl::updateFleetPosition() {
  messages::State const& state = *delivery.state();
  dispatch::FleetPosition position;
  position.zone = settings.zone;
  position.budgetRatio = settings.extraRatio;
  position.gatewayCount = std::max<std::size_t>(1, state.roster.size());
  std::uint64_t const slots = std::max<std::uint64_t>(minBudgetSlots, (state.roster.size() * 5 / 4 + 9) / 10 * 10);
  std::size_t index = 0;
  for (messages::RosterEntry const& entry : state.roster) {
    if (entry.node == settings.node && entry.address == settings.advertise) {
      position.gatewayIndex = index;
      position.budgetDepth =
          entry.slot < slots ? settings.extraSlack * retrySlackShare / static_cast<double>(slots) : 0;
    }
    ++index;
  }
  if (draining) {
    position.gatewayCount = gatewayCountWhileDraining;
    position.budgetDepth = 0;
  }
  step(PositionChanged{position});
  if (requestManager.snapshot() == nullptr) {
    return;
  }
  for (config::Cell const& cell : requestManager.snapshot()->configuration.cells) {
    CellOwners owners{cell.name, {}};
    for (messages::RosterEntry const& entry : state.roster) {
      if (cell.nodes.contains(entry.node) && entry.node != settings.node) {
        owners.addresses.push_back(entry.address);
      }
    }
    step(owners);
  }
}

void GatewayServer::Impl::limitConnections(std::string const& address, std::size_t allowed) {
  std::optional<net::Address> const server = net::Address::parse(address);
  if (allowed == 0 || !server) {
    return;
  }
  double const share = static_cast<double>(allowed) * connectionLimitShare /
                       static_cast<double>(std::max<std::size_t>(1, delivery.state()->roster.size()));
  net::ConnectionLimit const limit{std::max<std::size_t>(minConnections, static_cast<std::size_t>(share)),
                                   share < minConnections ? scarceConnectionIdleMs : net::ConnectionLimit{}.idleMs};
  net::ConnectionLimit& currentLimit = connectionLimits[address];
  if (currentLimit.maximum != limit.maximum || currentLimit.idleMs != limit.idleMs) {
    if (connectionLimits.size() > maxConnectionLimits) {
      connectionLimits.clear();
    }
    connectionLimits[address] = limit;
    client.allow(*server, limit);
  }
}

void GatewayServer::Impl::updateServers(std::string const& service) {
  if (requestManager.snapshot() == nullptr || !services.contains(service)) {
    return;
  }
  config::Configuration const& configuration = requestManager.snapshot()->configuration;
  std::set<std::string> const evacuated = control::evacuatedZones(*delivery.state(), configuration);
  Clock::time_point const now = Clock::now();
  dispatch::ServersUpdated servers{service, directory.rows(now, service)};
  for (dispatch::ServerEndpoint& row : servers.rows) {
    row.draining = row.draining || evacuated.contains(row.zone);
    row.warmupPerSecond = configuration.services.at(service).warmupPerSecond;
    limitConnections(row.address, configuration.services.at(service).maxConnections);
    if (row.slowStartMs.count() == 0) {
      row.slowStartMs = configuration.services.at(service).slowStartMs;
    }
  }
  step(EndpointsChanged{std::move(servers)});
}

void GatewayServer::Impl::applyCallerLimits() {
  config::CallerLimits const& limits = requestManager.snapshot()->configuration.limits;
  net::ServerBounds bounds;
  bounds.maxConnections = settings.maxConnections;
  bounds.maxHeaderBytes = limits.maxHeaderBytes;
  bounds.maxBodyBytes = limits.maxBodyBytes;
  bounds.headerMs = limits.headerMs;
  bounds.idleMs = limits.idleMs;
  listeners.setBounds(node::Listeners::Audience::callers, bounds);
}

}  // namespace limeramp::gateway
