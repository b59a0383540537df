// Startup and shutdown of a gateway.
#include "gateway_server_impl.h"

#include "limeramp/control/operator_api.h"
#include "limeramp/net/random.h"

#include <algorithm>

namespace limeramp::gateway {
namespace {

constexpr std::size_t maxInboundMessages = 16'384;
constexpr std::size_t maxRequestBytes = 4 << 20;
constexpr std::size_t maxReadinessBytes = 64 << 10;
constexpr std::uint64_t firstForwarderAttempt = 1ULL << 61;
constexpr Ms connectMs{300};
constexpr Ms overloadRetryAfterMs{1'000};
/// Part of the grace time that is reserved for writing the last answers.
constexpr Ms answerFlushMs{300};
/// How often `drainAndWait` checks for requests that are still being read.
constexpr Ms drainPollMs{20};

dispatch::DispatchOptions dispatchOptionsOf(config::Settings const& settings) {
  dispatch::DispatchOptions options;
  options.queue.maxRequests = settings.maxRequests;
  options.hedging.enabled = settings.rerun;
  return options;
}

discovery::ServerDirectoryOptions directoryOptionsOf(config::Settings const& settings) {
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
      peerViews({},
                messages::Peer{settingsIn.node, settingsIn.advertise, settingsIn.zone, messages::gatewayRole, boot, 0},
                settingsIn.seeds, net::randomUint64()),
      delivery({}, messages::Follower{settingsIn.node, settingsIn.advertise, settingsIn.zone, 0, 0}, boot,
               net::randomUint64()),
      directory(directoryOptionsOf(settingsIn), settingsIn.node, settingsIn.advertise, settingsIn.zone),
      forwarder(client, settingsIn.advertise, firstForwarderAttempt,
                [this](control::ForwardFinished finished) { post(std::move(finished)); }),
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
  net::HttpServer::Handler const handlePeerRequest = [this](net::Request request, net::Responder respond) {
    if (inboundMessages.size() >= maxInboundMessages) {
      respond(adapter.writeRefusal(
          {RefusalReason::overloaded, "overloaded", retry::Verdict::notRun, overloadRetryAfterMs, "", ""}));
      return;
    }
    post(IncomingRequest{std::move(request), std::move(respond), false});
  };
  net::HttpServer::Handler const handleCallerRequest = [this](net::Request request, net::Responder respond) {
    post(IncomingRequest{std::move(request), std::move(respond), true});
  };
  net::HttpServer::Handler const handleOperatorRequest = [this, handlePeerRequest](net::Request request,
                                                                                   net::Responder respond) {
    control::serveOperator(operators, std::move(request), std::move(respond), handlePeerRequest);
  };
  net::ServerOptions const commonOptions = listenerOptions(maxRequestBytes);
  net::ServerOptions callerOptions = commonOptions;
  callerOptions.opensLater = true;
  net::ServerOptions peerOptions = commonOptions;
  peerOptions.watchesCaller = control::needsCaller;
  peerOptions.gone = [this](std::uint64_t token) { post(control::RequestAbandoned{token}); };
  net::ServerOptions operatorOptions = peerOptions;
  operatorOptions.watchesCaller = control::mayBeOrder;
  return listeners.listen(Audience::callers, settings.callerListens, callerOptions, handleCallerRequest, error) &&
         listeners.listen(Audience::peers, {settings.listen}, peerOptions, handlePeerRequest, error) &&
         listeners.listen(Audience::readiness, settings.readinessListens, listenerOptions(maxReadinessBytes),
                          handleOperatorRequest, error) &&
         listeners.listen(Audience::operators, settings.operatorListens, operatorOptions, handleOperatorRequest, error);
}

// A request that is still being read counts, because it is served once it is complete. A connection stays busy until
// its answer is written, so no request falls between the two counts.
bool GatewayServer::Impl::holdsRequests() const {
  using Audience = node::Listeners::Audience;
  return unanswered > 0 || listeners.busyConnections(Audience::callers) > 0 ||
         listeners.busyConnections(Audience::peers) > 0;
}

void GatewayServer::Impl::drainAndWait() {
  Clock::time_point const drainStartedAt = Clock::now();
  post(DrainRequested{});
  std::unique_lock<std::mutex> lock(unansweredMutex);
  Ms const graceMs = std::max(drainTimes.graceMs, answerFlushMs * 4);
  unansweredChanged.wait_until(lock, drainStartedAt + std::min(graceMs / 2, drainTimes.noticeMs), [] { return false; });
  listeners.stopAccepting();
  Clock::time_point const drainDeadline = drainStartedAt + graceMs - answerFlushMs * 2;
  while (holdsRequests() && Clock::now() < drainDeadline) {
    unansweredChanged.wait_for(lock, drainPollMs);
  }
  post(TerminationRequested{});
  unansweredChanged.wait_for(lock, answerFlushMs, [] { return false; });
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
