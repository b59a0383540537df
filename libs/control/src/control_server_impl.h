#pragma once

#include "disk_writer.h"
#include "evaluation_thread.h"

#include "limeramp/control/config_service.h"
#include "limeramp/control/control_server.h"
#include "limeramp/control/order_forwarder.h"
#include "limeramp/distribution/peer_views.h"
#include "limeramp/net/ring.h"
#include "limeramp/node/listeners.h"
#include "limeramp/node/peer_link.h"
#include "limeramp/node/settings_follower.h"
#include "limeramp/replication/replication_group.h"
#include "limeramp/storage/record_store.h"

#include <condition_variable>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace limeramp::control {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

/// A request that arrived at one of this controller's listeners.
struct Incoming {
  net::Request content;
  net::Responder respond;
  /// When the network thread had read the request: a process that is held up afterwards does not prolong its deadline.
  Clock::time_point arrivedAt = Clock::now();
};

/// Asks the controller to hand its duties over.
struct DrainRequested {};

/// Names the settings file to follow from now on.
struct FollowSettings {
  config::SettingsFile file;
};

/// Asks for the settings file to be read at once.
struct ReloadRequested {};

using InboundMessage = std::variant<Incoming, RequestAbandoned, DiskDone, OrderEvaluated, ForwardFinished,
                                    ProbeFinished, DrainRequested, FollowSettings, ReloadRequested>;

/// An operator's order to force a new group, while the configuration for it is being fetched.
struct PendingForcedGroup {
  /// The node that holds the configuration.
  std::string from;
  net::Responder respond;
  std::uint64_t callerToken = 0;
  Clock::time_point deadline;
  Clock::time_point nextAt;
};

/// An operator's call whose outcome the configuration service has yet to decide.
struct WaitingCall {
  net::Responder respond;
  /// The id of its change; empty for a read.
  std::string change;
  /// Of a request that needs its caller; 0 for others.
  std::uint64_t callerToken = 0;
};

/// Who this controller is in the group: what its disk says, or what a new disk begins with.
struct Identity {
  std::string id;
  bool mayFound = false;
  std::vector<std::string> founders;
};

/// All of a controller. Its members belong to the thread of the event loop, but for the ring of inbound messages and
/// what `shutdownMutex` guards.
///
/// The functions stand by job in event_loop.cpp, state_machines.cpp, operator_calls.cpp, force_new_group.cpp and
/// status_pages.cpp.
struct ControlServer::Impl {
  Impl(config::Settings const& settingsIn, OperatorProtocolAdapter const& adapterIn,
       config::ConfigSchema const& schemaIn, std::unique_ptr<storage::RecordStore> storeIn, Identity const& identity);

  // Start and end: control_server.cpp.
  bool listen(std::string& error);
  net::ServerOptions listenerOptions();
  void take(net::Request request, net::Responder respond);
  void drainAndWait();

  // The loops: event_loop.cpp.
  void runEventLoop();
  void tick();
  void restoreMembers();
  void storeMembers(std::vector<replication::Member> const& members);
  void on(Incoming& inbound);
  void on(RequestAbandoned const& inbound);
  void on(DiskDone& inbound);
  void on(OrderEvaluated const& inbound) { stepService(inbound); }
  void on(ForwardFinished& inbound) { forwarder.onFinished(Clock::now(), inbound); }
  void on(ProbeFinished& inbound) { stepService(inbound); }
  void on(DrainRequested& inbound);
  void on(FollowSettings& inbound) { settingsFollower.follow(std::move(inbound.file)); }
  void on(ReloadRequested&) { apply(settingsFollower.reload(Clock::now())); }
  void apply(std::optional<config::SettingsUpdate> const& update);

  // The state machines and their effects: state_machines.cpp.
  void stepGroup(replication::GroupEvent const& event);
  void stepService(ConfigServiceEvent const& event);
  void apply(OrderOutcome const& decided);
  void persist(replication::Persist const& effect);
  void probe(Probe const& effect);
  void reply(std::uint64_t ticket, net::Answer answer);
  void receivePeerMessage(std::string const& body);

  // Calls under /limeramp: operator_calls.cpp.
  void readConfiguration(Incoming& inbound);
  void changeConfiguration(Incoming& inbound);
  void removeNodes(Incoming& inbound);
  void relayCall(Incoming& inbound) {
    forwarder.take(Clock::now(), inbound.arrivedAt, std::move(inbound.content), std::move(inbound.respond));
  }

  // A new group by an operator's word: force_new_group.cpp.
  void forceNewGroup(Incoming& inbound);
  void continueForcingNewGroup(Clock::time_point now);
  void finishForcingNewGroup(std::string const& refusal);

  // Pages: status_pages.cpp.
  net::Answer statusPage() const;
  net::Answer readinessPage() const;

  config::Settings settings;
  node::SettingsFollower settingsFollower;
  OperatorProtocolAdapter adapter;
  std::string id;
  bool mayFound = false;
  std::vector<std::string> founders;
  net::Network network;
  net::HttpClient client;
  node::PeerLink peerLink;
  net::Ring<InboundMessage> inboundMessages;
  DiskWriter diskWriter;
  replication::ReplicationGroup group;
  ConfigService service;
  EvaluationThread evaluations;
  distribution::PeerViews views;
  node::Listeners listeners;
  std::thread core;
  OrderForwarder forwarder;
  std::unordered_map<std::uint64_t, WaitingCall> waitingCalls;
  std::uint64_t lastTicket = 0;
  /// Whether a message came from a fleet that was founded while this controller knows none.
  bool fleetElsewhere = false;
  /// The members as they were last handed to the disk; empty if that write failed, so that they are written again.
  std::string keptMembers;
  Clock::time_point startedAt = Clock::now();
  bool draining = false;
  std::optional<PendingForcedGroup> forcingNewGroup;

  /// Guards what the thread that ends the process reads.
  std::mutex shutdownMutex;
  std::condition_variable shutdownChanged;
  bool shutdownComplete = false;
  Ms graceMs;
};

}  // namespace limeramp::control
