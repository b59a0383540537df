// Start and end of a gateway.
#include "gateway_server_impl.h"

#include "limeramp/control/operator_api.h"
#include "limeramp/net/random.h"

#include <algorithm>

namespace limeramp::gateway {
namespace {

constexpr std::size_t maxInboundMessages = 16'384;
constexpr std::size_t maxRequestBytes = 4 << 20;
constexpr std::size_t maxReadinessBytes = 64 << 10;
constexpr std::uint64_t relayAttempts = 1ULL << 61;
constexpr Ms connectMs{300};
constexpr Ms overloadPauseMs{1'000};
/// What is left of the grace time for the last answers to be written.
constexpr Ms lastAnswersMs{300};
/// How often a process that ends looks for requests that are still being read.
constexpr Ms drainPollMs{20};

dispatch::DispatchOptions dispatchOptionsOf(config::Settings const& settings) {
  dispatch::DispatchOptions options;
  options.queue.maxRequests = settings.maxRequests;
  options.hedging.enabled = settings.rerun;
  return options;
}

discovery::ServerDirectoryOptions directoryPolicyOf(config::Settings const& settings) {
  discovery::ServerDirectoryOptions options;
  options.listMs = settings.listMs;
  options.pageMs = settings.listPageMs;
  return options;
}

net::ClientBounds clientBounds() {
  net::ClientBounds bounds;
  bounds.connectMs = connectMs;
  return bounds;
}

RefusalReason refusalReasonOf(int status) {
  switch (status) {
    case 413:
      return RefusalReason::tooLong;
    case 431:
      return RefusalReason::headTooLong;
    case 408:
      return RefusalReason::tooSlow;
    default:
      return RefusalReason::malformed;
  }
}

}  // namespace

GatewayServer::Impl::Impl(config::Settings const& settingsIn, ProtocolAdapter adapterIn,
                          control::OperatorProtocolAdapter operatorsIn)
    : settings(settingsIn),
      settingsFollower(settingsIn),
      adapter(std::move(adapterIn)),
      operators(std::move(operatorsIn)),
      client(network, clientBounds()),
      peerLink(network, settingsIn.node, settingsIn.advertise),
      workers(settingsIn.workerThreads),
      boot(net::randomUint64() >> 1),
      requestManager(NodeIdentity{settingsIn.node, settingsIn.advertise, settingsIn.zone, boot},
                     dispatchOptionsOf(settingsIn), adapter),
      views({}, messages::Peer{settingsIn.node, settingsIn.advertise, settingsIn.zone, messages::gatewayRole, boot, 0},
            settingsIn.seeds, net::randomUint64()),
      delivery({}, messages::Follower{settingsIn.node, settingsIn.advertise, settingsIn.zone, 0, 0}, boot,
               net::randomUint64()),
      directory(directoryPolicyOf(settingsIn), settingsIn.node, settingsIn.advertise, settingsIn.zone),
      forwarder(client, settingsIn.advertise, relayAttempts,
                [this](control::ForwardFinished back) { post(std::move(back)); }),
      listeners(network),
      drainTimes{settingsIn.graceMs, settingsIn.noticeMs} {}

net::ServerOptions GatewayServer::Impl::listenerOptions(std::size_t maxBodyBytes) {
  net::ServerOptions options;
  options.bounds.maxConnections = settings.maxConnections;
  options.bounds.maxBodyBytes = maxBodyBytes;
  options.refuse = [this](int status, std::string const& reason) {
    return adapter.writeRefusal({refusalReasonOf(status), reason, retry::Verdict::notRun, {}, "", ""});
  };
  return options;
}

bool GatewayServer::Impl::listen(std::string& error) {
  using Audience = node::Listeners::Audience;
  net::HttpServer::Handler const takePeer = [this](net::Request request, net::Responder respond) {
    if (inboundMessages.size() >= maxInboundMessages) {
      respond(adapter.writeRefusal(
          {RefusalReason::overloaded, "overloaded", retry::Verdict::notRun, overloadPauseMs, "", ""}));
      return;
    }
    post(Incoming{std::move(request), std::move(respond), false});
  };
  net::HttpServer::Handler const takeCaller = [this](net::Request request, net::Responder respond) {
    post(Incoming{std::move(request), std::move(respond), true});
  };
  net::HttpServer::Handler const takeOperator = [this, takePeer](net::Request request, net::Responder respond) {
    control::serveOperator(operators, std::move(request), std::move(respond), takePeer);
  };
  net::ServerOptions const general = listenerOptions(maxRequestBytes);
  net::ServerOptions callers = general;
  callers.opensLater = true;
  net::ServerOptions peers = general;
  peers.watchesCaller = control::needsCaller;
  peers.gone = [this](std::uint64_t token) { post(control::RequestAbandoned{token}); };
  net::ServerOptions operatorsOptions = peers;
  operatorsOptions.watchesCaller = control::mayBeOrder;
  return listeners.listen(Audience::callers, settings.callerListens, callers, takeCaller, error) &&
         listeners.listen(Audience::peers, {settings.listen}, peers, takePeer, error) &&
         listeners.listen(Audience::readiness, settings.readinessListens, listenerOptions(maxReadinessBytes),
                          takeOperator, error) &&
         listeners.listen(Audience::operators, settings.operatorListens, operatorsOptions, takeOperator, error);
}

// A request that is being read counts: once it is whole it is served as any other. Connections stay busy until their
// answers are written, so none is missed between the two counts.
bool GatewayServer::Impl::holdsRequests() const {
  using Audience = node::Listeners::Audience;
  return unanswered > 0 || listeners.busyConnections(Audience::callers) > 0 ||
         listeners.busyConnections(Audience::peers) > 0;
}

void GatewayServer::Impl::drainAndWait() {
  Clock::time_point const begunAt = Clock::now();
  post(DrainRequested{});
  std::unique_lock<std::mutex> lock(unansweredMutex);
  Ms const graceMs = std::max(drainTimes.graceMs, lastAnswersMs * 4);
  unansweredChanged.wait_until(lock, begunAt + std::min(graceMs / 2, drainTimes.noticeMs), [] { return false; });
  listeners.stopAccepting();
  Clock::time_point const endBy = begunAt + graceMs - lastAnswersMs * 2;
  while (holdsRequests() && Clock::now() < endBy) {
    unansweredChanged.wait_for(lock, drainPollMs);
  }
  post(EndRequested{});
  unansweredChanged.wait_for(lock, lastAnswersMs, [] { return false; });
}

GatewayServer::GatewayServer() = default;

std::unique_ptr<GatewayServer> GatewayServer::start(config::Settings const& settings, std::string& error,
                                                    ProtocolAdapter adapter,
                                                    control::OperatorProtocolAdapter operators) {
  std::unique_ptr<GatewayServer> gateway(new GatewayServer());
  gateway->impl_ = std::make_unique<Impl>(settings, std::move(adapter), std::move(operators));
  Impl& impl = *gateway->impl_;
  if (!impl.listen(error)) {
    return nullptr;
  }
  impl.network.post([&impl] { impl.armTimer(); });
  return gateway;
}

GatewayServer::~GatewayServer() {
  if (impl_ != nullptr) {
    impl_->network.stop();
  }
}

void GatewayServer::follow(config::SettingsFile file) { impl_->post(FollowSettings{std::move(file)}); }

void GatewayServer::reload() { impl_->post(ReloadRequested{}); }

void GatewayServer::drain() { impl_->drainAndWait(); }

}  // namespace limeramp::gateway
