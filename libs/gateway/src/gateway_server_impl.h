#pragma once

#include "limeramp/control/order_forwarder.h"
#include "limeramp/discovery/server_directory.h"
#include "limeramp/distribution/config_delivery.h"
#include "limeramp/gateway/gateway_server.h"
#include "limeramp/gateway/request_manager.h"
#include "limeramp/node/listeners.h"
#include "limeramp/node/peer_link.h"
#include "limeramp/node/settings_follower.h"
#include "limeramp/query/query_engine.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <unordered_map>

namespace limeramp::gateway {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

/// A request that was read from one of this node's listeners.
struct IncomingRequest {
  net::Request content;
  net::Responder respond;
  /// Whether it came to a listener for callers, which does not serve the paths under /limeramp.
  bool caller = false;
  /// When the network thread had read the request. The deadline of an operator's call counts from here, so that a
  /// process that stalls afterwards does not extend it.
  Clock::time_point arrivedAt = Clock::now();
};

/// The result of reading one page of the platform's list of servers.
struct ListRead {
  net::Exchange exchange;
};

/// Starts draining: the node reports that it is not ready and finishes its open requests.
struct DrainRequested {};

/// Refuses all open requests and all later ones, because the process is about to exit.
struct TerminationRequested {};

/// Sets the settings file that is checked for changes from now on.
struct FollowSettings {
  config::SettingsFile file;
};

/// Reloads the settings file at once.
struct ReloadRequested {};

using InboundMessage =
    std::variant<IncomingRequest, control::RequestAbandoned, ListRead, control::ForwardFinished, DrainRequested,
                 TerminationRequested, FollowSettings, ReloadRequested, RequestEvent>;

std::string nameOf(distribution::ConfigFreshness freshness);

/// The implementation of a gateway. Its members belong to the network's thread, except those that `unansweredMutex`
/// guards.
///
/// The functions are grouped by task in event_loop.cpp, forwarding.cpp, operator_calls.cpp, peer_messages.cpp,
/// configuration_in_force.cpp, list_reader.cpp and status_pages.cpp.
struct GatewayServer::Impl {
  Impl(config::Settings const& settingsIn, ProtocolAdapter adapterIn, control::OperatorProtocolAdapter operatorsIn);

  // Startup and shutdown: gateway_server.cpp.
  bool listen(std::string& error);
  net::ServerOptions listenerOptions(std::size_t maxBodyBytes);
  void drainAndWait();
  /// Whether a request is being read or has no answer yet. Called with `unansweredMutex` held.
  bool holdsRequests() const;

  // Event loop: event_loop.cpp.
  void post(InboundMessage inbound);
  void handleInbound();
  void armTimer();
  void onTimer();
  void tick();
  discovery::ZoneView currentZoneView() const;
  void refreshReadiness(Clock::time_point now);
  void on(IncomingRequest& inbound);
  void on(control::RequestAbandoned const& inbound) { forwarder.onCallerLeft(Clock::now(), inbound.requestToken); }
  void on(ListRead& inbound);
  void on(control::ForwardFinished& inbound) { forwarder.onFinished(Clock::now(), inbound); }
  void on(DrainRequested& inbound);
  void on(TerminationRequested& inbound);
  void on(FollowSettings& inbound) { settingsFollower.follow(std::move(inbound.file)); }
  void on(ReloadRequested&) { apply(settingsFollower.reload(Clock::now())); }
  void on(RequestEvent& event) { step(event); }
  void apply(std::optional<config::SettingsUpdate> const& update);

  // Callers' requests: forwarding.cpp.
  void admit(net::Request content, net::Responder respond, bool forwarded, std::optional<Ms> remainingMs);
  void serveForwarded(IncomingRequest& inbound);
  void step(RequestEvent const& event);
  void apply(Reply const& effect);
  void apply(SendRequest const& effect);
  void apply(CancelRequest const& effect) { client.cancel(effect.attempt); }
  void apply(ParseShardResult const& effect);
  void apply(MergeShardResults const& effect);
  void apply(dispatch::LogEntry const& entry);
  void countUnanswered(int change);

  // Calls under /limeramp: operator_calls.cpp.
  void serveOperator(IncomingRequest& inbound);
  void forwardOperatorCall(IncomingRequest& inbound);
  void runQuery(IncomingRequest& inbound);

  // Messages between processes: peer_messages.cpp.
  void receivePeerMessage(std::string const& body);
  void apply(distribution::ConfigDeliveryStep const& step);

  // Applying the delivered state: configuration_in_force.cpp.
  void putInForce();
  void replaceServices(config::Configuration const& configuration);
  void updateFleetPosition();
  void updateServers(std::string const& service);
  void limitConnections(std::string const& address, std::size_t allowed);
  void applyCallerLimits();

  // The platform's list of servers: list_reader.cpp.
  void apply(discovery::DirectoryStep const& step);
  void readList(std::string const& page);
  void applyList(discovery::List const& list);

  // Status pages: status_pages.cpp.
  std::string notReadyReason(Clock::time_point now) const;
  net::Answer readinessPage() const;
  net::Answer currentConfiguration() const;
  net::Answer statusPage() const;
  net::Answer metricsPage() const;
  std::vector<query::Table> tables() const;

  config::Settings settings;
  node::SettingsFollower settingsFollower;
  ProtocolAdapter adapter;
  control::OperatorProtocolAdapter operators;
  net::Network network;
  net::HttpClient client;
  node::PeerLink peerLink;
  dispatch::MergeWorkers workers;
  std::deque<InboundMessage> inboundMessages;
  bool handlingInbound = false;
  Clock::time_point nextTick = Clock::now();
  Clock::time_point armedFor = Clock::time_point::max();
  /// Random number that identifies this start of the process.
  std::uint64_t boot;
  RequestManager requestManager;
  distribution::PeerViews peerViews;
  distribution::ConfigDelivery delivery;
  discovery::ServerDirectory directory;
  control::OrderForwarder forwarder;
  query::QueryWorker queries;
  node::Listeners listeners;
  net::Network::TimerId timer = 0;
  std::unordered_map<std::uint64_t, net::Responder> responders;
  std::uint64_t lastRequest = 0;
  std::string fleet;
  std::set<std::string> services;
  std::map<std::string, net::ConnectionLimit> connectionLimits;
  std::vector<std::string> droppedRows;
  std::string listProblem;
  Clock::time_point startedAt = Clock::now();
  bool draining = false;
  /// The process is about to exit. Requests that arrive now are refused, because it would not wait for their answers.
  bool terminating = false;
  std::string lastNotReadyReason = "starting";
  bool callerListenersOpen = false;
  bool documentUnreadable = false;
  std::uint64_t refusedStale = 0;

  /// Guards `unanswered` and `drainTimes`, which the thread that calls `drain` reads.
  std::mutex unansweredMutex;
  std::condition_variable unansweredChanged;
  /// Number of admitted requests that have no answer yet.
  std::size_t unanswered = 0;
  struct DrainTimes {
    Ms graceMs;
    Ms noticeMs;
  };
  DrainTimes drainTimes;
};

}  // namespace limeramp::gateway
