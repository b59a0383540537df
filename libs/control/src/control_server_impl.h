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
  /// When the network thread had read the request. Deadlines count from here, so a stall of the event loop does not
  /// extend them.
  Clock::time_point arrivedAt = Clock::now();
};

/// Asks the controller to begin its shutdown and hand over its role in the group.
struct DrainRequested {};

/// Makes the controller watch this settings file from now on.
struct FollowSettings {
  config::SettingsFile file;
};

/// Asks the controller to read the settings file immediately.
struct ReloadRequested {};

using InboundMessage = std::variant<Incoming, RequestAbandoned, DiskWriteFinished, OrderEvaluated, ForwardFinished,
                                    ProbeFinished, DrainRequested, FollowSettings, ReloadRequested>;

/// An operator's order to force a new group, while the configuration is fetched from a gateway.
struct PendingForcedGroup {
  /// Address of the node that holds the configuration.
  std::string sourceAddress;
  net::Responder respond;
  std::uint64_t callerToken = 0;
  Clock::time_point deadline;
  /// When the configuration is requested again.
  Clock::time_point nextRequestAt;
};

/// An operator's call that awaits its outcome from the configuration service.
struct WaitingCall {
  net::Responder respond;
  /// The change's id; empty for a read.
  std::string changeId;
  /// Token of a request that must not outlive its caller (`needsCaller`); 0 for all others.
  std::uint64_t callerToken = 0;
};

/// This controller's identity in the group: read from the store, or generated and written to an empty one.
struct Identity {
  std::string id;
  bool mayFound = false;
  std::vector<std::string> founders;
};

/// The whole state of a controller. All members are confined to the event loop's thread, except the ring of inbound
/// messages, which is thread-safe, and the members that `shutdownMutex` guards.
///
/// The member functions are defined in control_server.cpp, event_loop.cpp, state_machines.cpp, operator_calls.cpp,
/// force_new_group.cpp and status_pages.cpp.
struct ControlServer::Impl {
  Impl(config::Settings const& settingsIn, OperatorProtocolAdapter const& adapterIn,
       config::ConfigSchema const& schemaIn, std::unique_ptr<storage::RecordStore> storeIn, Identity const& identity);

  // Startup and shutdown: control_server.cpp.
  bool listen(std::string& error);
  net::ServerOptions listenerOptions();
  void enqueue(net::Request request, net::Responder respond);
  void drainAndWait();

  // The event loop and its handlers: event_loop.cpp.
  void runEventLoop();
  void tick();
  void restoreMembers();
  void storeMembers(std::vector<replication::Member> const& members);
  void on(Incoming& inbound);
  void on(RequestAbandoned const& inbound);
  void on(DiskWriteFinished& inbound);
  void on(OrderEvaluated const& inbound) { stepService(inbound); }
  void on(ForwardFinished& inbound) { forwarder.onFinished(Clock::now(), inbound); }
  void on(ProbeFinished& inbound) { stepService(inbound); }
  void on(DrainRequested& inbound);
  void on(FollowSettings& inbound) { settingsFollower.follow(std::move(inbound.file)); }
  void on(ReloadRequested&) { applySettings(settingsFollower.reload(Clock::now())); }
  void applySettings(std::optional<config::SettingsUpdate> const& update);

  // Stepping the state machines and executing their effects: state_machines.cpp.
  void stepGroup(replication::GroupEvent const& event);
  void stepService(ConfigServiceEvent const& event);
  void answerOrder(OrderOutcome const& outcome);
  void persist(replication::Persist const& effect);
  void probe(Probe const& effect);
  void reply(std::uint64_t ticket, net::Answer answer);
  void receivePeerMessage(std::string const& body);

  // HTTP calls under /limeramp: operator_calls.cpp.
  void readConfiguration(Incoming& inbound);
  void changeConfiguration(Incoming& inbound);
  void removeNodes(Incoming& inbound);
  void relayCall(Incoming& inbound) {
    forwarder.take(Clock::now(), inbound.arrivedAt, std::move(inbound.content), std::move(inbound.respond));
  }

  // Forcing a new group on an operator's order: force_new_group.cpp.
  void forceNewGroup(Incoming& inbound);
  void continueForcingNewGroup(Clock::time_point now);
  void finishForcingNewGroup(std::string const& refusal);

  // Status and readiness pages: status_pages.cpp.
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
  EvaluationThread evaluationThread;
  distribution::PeerViews views;
  node::Listeners listeners;
  std::thread eventLoopThread;
  OrderForwarder forwarder;
  std::unordered_map<std::uint64_t, WaitingCall> waitingCalls;
  std::uint64_t lastTicket = 0;
  /// Whether a message of an already founded fleet arrived while this controller belonged to none. It then no longer
  /// takes part in founding a group.
  bool foreignFleetSeen = false;
  /// The packed members that were last handed to the disk writer. Cleared when a write fails, so that they are written
  /// again.
  std::string lastStoredMembers;
  Clock::time_point startedAt = Clock::now();
  bool draining = false;
  std::optional<PendingForcedGroup> forcingNewGroup;

  /// Guards the members below, which the thread that shuts the process down reads.
  std::mutex shutdownMutex;
  std::condition_variable shutdownChanged;
  bool shutdownComplete = false;
  Ms graceMs;
};

}  // namespace limeramp::control
