// The event loop of a gateway: handles inbound messages one at a time, and runs the timer.
#include "gateway_server_impl.h"

#include "limeramp/logging/logging.h"

#include <algorithm>

namespace limeramp::gateway {
namespace {

constexpr Ms tickMs{50};
/// How long after its start a node without a delivered state asks all seeds for peers.
constexpr Ms eagerDiscoveryMs{3000};

}  // namespace

void GatewayServer::Impl::post(InboundMessage inbound) {
  if (!network.onThread()) {
    std::shared_ptr<InboundMessage> const content = std::make_shared<InboundMessage>(std::move(inbound));
    network.post([this, content] { post(std::move(*content)); });
    return;
  }
  inboundMessages.push_back(std::move(inbound));
  if (!handlingInbound) {
    handleInbound();
  }
}

void GatewayServer::Impl::handleInbound() {
  handlingInbound = true;
  while (!inboundMessages.empty()) {
    InboundMessage inbound = std::move(inboundMessages.front());
    inboundMessages.pop_front();
    std::visit([this](auto& concrete) { on(concrete); }, inbound);
  }
  handlingInbound = false;
  armTimer();
}

void GatewayServer::Impl::armTimer() {
  Clock::time_point const now = Clock::now();
  Clock::time_point const wake = std::max(now, std::min(nextTick, requestManager.nextWake(now).value_or(nextTick)));
  if (armedFor <= wake) {
    return;
  }
  network.cancel(timer);
  armedFor = wake;
  timer = network.at(wake, [this] { onTimer(); });
}

void GatewayServer::Impl::onTimer() {
  armedFor = Clock::time_point::max();
  Clock::time_point const now = Clock::now();
  if (requestManager.nextWake(now).value_or(Clock::time_point::max()) <= now) {
    inboundMessages.emplace_back(RequestEvent(Tick{}));
  }
  if (now >= nextTick) {
    nextTick = now + tickMs;
    tick();
  }
  handleInbound();
}

void GatewayServer::Impl::tick() {
  Clock::time_point const now = Clock::now();
  std::vector<messages::Peer> const peers = peerViews.peers(now);
  peerLink.sendAll(fleet, peerViews.tick(now, !delivery.state() && now - startedAt < eagerDiscoveryMs));
  apply(delivery.tick(now, peers));
  apply(directory.tick(now, currentZoneView()));
  forwarder.tick(now, delivery.primaryAddress());
  refreshReadiness(now);
  apply(settingsFollower.tick(now));
}

discovery::ZoneView GatewayServer::Impl::currentZoneView() const {
  discovery::ZoneView zoneView;
  zoneView.services = services;
  zoneView.zoneAddresses.push_back(settings.advertise);
  if (delivery.state()) {
    for (messages::RosterEntry const& entry : delivery.state()->roster) {
      if (entry.zone == settings.zone && entry.address != settings.advertise) {
        zoneView.zoneAddresses.push_back(entry.address);
      }
    }
    return zoneView;
  }
  for (messages::Peer const& peer : peerViews.peers(Clock::now())) {
    if (peer.role == messages::gatewayRole && peer.zone == settings.zone && peer.address != settings.advertise) {
      zoneView.zoneAddresses.push_back(peer.address);
    }
  }
  return zoneView;
}

void GatewayServer::Impl::refreshReadiness(Clock::time_point now) {
  std::string const reason = notReadyReason(now);
  if (!callerListenersOpen && (reason.empty() || now - startedAt >= settings.startHoldMs)) {
    callerListenersOpen = true;
    listeners.open(node::Listeners::Audience::callers);
  }
  if (reason != lastNotReadyReason) {
    lastNotReadyReason = reason;
    logging::raise(logging::Event::readinessChanged, {{"ready", reason.empty() ? "yes" : "no"}, {"reason", reason}});
  }
}

void GatewayServer::Impl::on(IncomingRequest& inbound) {
  std::string const& target = inbound.content.target;
  if (!inbound.caller && (target == "/limeramp" || target.starts_with("/limeramp/"))) {
    serveOperator(inbound);
  } else {
    admit(std::move(inbound.content), std::move(inbound.respond), false, std::nullopt);
  }
}

void GatewayServer::Impl::on(DrainRequested&) {
  draining = true;
  listeners.drain();
  delivery.beginShutdown();
  if (delivery.state()) {
    updateFleetPosition();
  }
  logging::raise(logging::Event::drainBegan, {});
}

void GatewayServer::Impl::apply(std::optional<config::SettingsUpdate> const& update) {
  if (!update) {
    return;
  }
  settings = update->settings;
  peerViews.setSeeds(settings.seeds);
  directory.setListRate(settings.listMs, settings.listPageMs);
  listeners.setMaxConnections(settings.maxConnections);
  if (delivery.state()) {
    updateFleetPosition();
  }
  std::unique_lock<std::mutex> const lock(unansweredMutex);
  drainTimes = {settings.graceMs, settings.noticeMs};
}

void GatewayServer::Impl::on(TerminationRequested&) {
  terminating = true;
  std::unordered_map<std::uint64_t, net::Responder> const waiting = std::move(responders);
  responders.clear();
  for (std::pair<std::uint64_t const, net::Responder> const& entry : waiting) {
    entry.second(
        adapter.writeRefusal({RefusalReason::failed, "this node ends", retry::Verdict::mayHaveRun, {}, "", ""}));
    countUnanswered(-1);
  }
}

}  // namespace limeramp::gateway
