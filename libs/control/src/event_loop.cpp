// The event loop of a controller: one thread handles the inbound messages and the timer. Disk writes run on another
// thread.
#include "control_server_impl.h"

#include "limeramp/logging/logging.h"
#include "limeramp/net/random.h"

namespace limeramp::control {
namespace {

constexpr Ms tickMs{20};
/// For this long after the start, each tick contacts all seeds.
constexpr Ms contactAllSeedsMs{1000};
/// For this long after the start, the members learned from peers are not written to the disk.
constexpr Ms memberDiscoveryMs{2000};
constexpr char const* membersKey = "members";
constexpr std::size_t maxStoredMembers = 16;

}  // namespace

void ControlServer::Impl::runEventLoop() {
  stepGroup(replication::Start{{id, settings.advertise, settings.zone},
                               diskWriter.storedAtStart(),
                               net::randomUint64(),
                               !diskWriter.keepsRecords(),
                               founders});
  restoreMembers();
  diskWriter.start();
  Clock::time_point nextTick = Clock::now();
  while (!inboundMessages.closed()) {
    std::optional<InboundMessage> inbound = inboundMessages.popUntil(nextTick);
    if (inbound) {
      std::visit([this](auto& concrete) { on(concrete); }, *inbound);
    }
    Clock::time_point const now = Clock::now();
    if (now >= nextTick) {
      tick();
      nextTick = now + tickMs;
    }
  }
}

void ControlServer::Impl::tick() {
  Clock::time_point const now = Clock::now();
  peerLink.sendAll(group.decided().fleet,
                   views.tick(now, group.decided().epoch == 0 || now - startedAt < contactAllSeedsMs));
  replication::KnownMembers known;
  for (messages::Peer const& peer : views.peers(now)) {
    if (peer.role == messages::controllerRole) {
      known.members.push_back({peer.node, peer.address, peer.zone});
    }
  }
  known.mayFound = mayFound && !foreignFleetSeen && views.mayFound(now);
  if (now - startedAt > memberDiscoveryMs) {
    storeMembers(known.members);
  }
  stepGroup(known);
  stepGroup(replication::Tick{});
  stepService(Tick{});
  continueForcingNewGroup(now);
  if (draining && group.mayShutDown()) {
    std::unique_lock<std::mutex> const lock(shutdownMutex);
    shutdownComplete = true;
    shutdownChanged.notify_all();
  }
  forwarder.tick(now, group.decided().epoch == 0 ? "" : group.primaryAddress());
  applySettings(settingsFollower.tick(now));
}

void ControlServer::Impl::on(DrainRequested&) {
  draining = true;
  logging::raise(logging::Event::drainBegan, {});
  stepService(BeginShutdown{});
  stepGroup(replication::BeginShutdown{});
}

void ControlServer::Impl::applySettings(std::optional<config::SettingsUpdate> const& update) {
  if (!update) {
    return;
  }
  settings = update->settings;
  views.setSeeds(settings.seeds);
  listeners.setMaxConnections(settings.maxConnections);
  std::unique_lock<std::mutex> const lock(shutdownMutex);
  graceMs = settings.graceMs;
}

void ControlServer::Impl::on(DiskWriteFinished& inbound) {
  if (!inbound.succeeded) {
    logging::raise(logging::Event::diskFailed, {{"reason", inbound.reason}});
    lastStoredMembers.clear();
  }
  stepGroup(replication::PersistFinished{inbound.token, inbound.succeeded});
}

void ControlServer::Impl::restoreMembers() {
  std::map<std::string, std::string> const& records = diskWriter.storedAtStart();
  if (!records.contains(membersKey)) {
    return;
  }
  absl::StatusOr<messages::Shuffle> const stored = messages::unpack<messages::Shuffle>(records.at(membersKey));
  replication::KnownMembers known;
  if (stored.ok() && group.decided().epoch > 0) {
    for (messages::Peer const& peer : stored->peers) {
      known.members.push_back({peer.node, peer.address, peer.zone});
    }
    stepGroup(known);
  }
}

void ControlServer::Impl::storeMembers(std::vector<replication::Member> const& members) {
  messages::Shuffle stored;
  for (replication::Member const& member : members) {
    if (stored.peers.size() < maxStoredMembers) {
      stored.peers.push_back({member.id, member.address, member.zone, "", 0, 0});
    }
  }
  std::string const packed = messages::pack(stored);
  if (!group.unhealthy() && diskWriter.keepsRecords() && !members.empty() && packed != lastStoredMembers) {
    lastStoredMembers = packed;
    diskWriter.write({0, {{membersKey, packed}}});
  }
}

}  // namespace limeramp::control
