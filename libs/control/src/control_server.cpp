// Startup and shutdown of a controller.
#include "control_server_impl.h"

#include "limeramp/control/operator_api.h"
#include "limeramp/control/state_bounds.h"
#include "limeramp/logging/logging.h"
#include "limeramp/net/random.h"

#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <cstdio>

namespace limeramp::control {
namespace {

constexpr std::size_t maxInboundMessages = 8'192;
/// Slots of the inbound ring that requests must leave free for the controller's internal messages (disk results,
/// finished attempts, shutdown).
constexpr std::size_t slotsReservedForInternal = 4'096;
constexpr std::size_t maxRequestBytes = 4 << 20;
/// Part of the grace time that is reserved for closing the listeners and the store.
constexpr Ms closingReserveMs{600};

absl::Status openRecordStore(config::Settings const& settings, std::unique_ptr<storage::RecordStore>& store) {
  storage::RingLayout layout;
  layout.fileBytes = std::max(settings.storeFileBytes, minStoreFileBytes(ConfigServiceOptions{}));
  absl::StatusOr<std::unique_ptr<storage::RecordStore>> opened = storage::RecordStore::open(settings.data, layout);
  if (!opened.ok()) {
    return opened.status();
  }
  store = *std::move(opened);
  if (store->findings().tailTruncated) {
    logging::raise(logging::Event::diskTailTruncated, {{"folder", settings.data}});
  }
  if (store->findings().damaged) {
    logging::raise(logging::Event::diskDamaged, {{"folder", settings.data}, {"detail", store->findings().detail}});
    return store->setAside();
  }
  return absl::OkStatus();
}

std::string newMemberId(std::string const& node) {
  char suffix[20];
  std::snprintf(suffix, sizeof suffix, "%08llx", static_cast<unsigned long long>(net::randomUint64() & 0xffffffff));
  return node + "/" + suffix;
}

absl::Status readIdentity(storage::RecordStore& store, Identity& identity) {
  std::map<std::string, std::string> const& values = store.values();
  std::map<std::string, std::string>::const_iterator const id = values.find("id");
  if (id == values.end() || id->second.empty()) {
    return store.put({{"id", identity.id},
                      {"mayFound", identity.mayFound ? "yes" : "no"},
                      {"founders", absl::StrJoin(identity.founders, ",")}});
  }
  identity.id = id->second;
  if (std::map<std::string, std::string>::const_iterator const found = values.find("mayFound"); found != values.end()) {
    identity.mayFound = found->second == "yes";
  }
  if (std::map<std::string, std::string>::const_iterator const found = values.find("founders"); found != values.end()) {
    identity.founders = absl::StrSplit(found->second, ',');
  }
  return absl::OkStatus();
}

}  // namespace

ControlServer::Impl::Impl(config::Settings const& settingsIn, OperatorProtocolAdapter const& adapterIn,
                          config::ConfigSchema const& schemaIn, std::unique_ptr<storage::RecordStore> storeIn,
                          Identity const& identity)
    : settings(settingsIn),
      settingsFollower(settingsIn),
      adapter(adapterIn),
      id(identity.id),
      mayFound(identity.mayFound),
      founders(identity.founders),
      client(network, {}),
      peerLink(network, identity.id, settingsIn.advertise),
      inboundMessages(maxInboundMessages),
      diskWriter(std::move(storeIn), [this](DiskWriteFinished done) { inboundMessages.push(std::move(done)); }),
      group(replication::optionsFor(settingsIn.machineLosses)),
      service(ConfigServiceOptions{}, identity.id, schemaIn),
      evaluationThread(service.evaluator(),
                       [this](OrderEvaluated evaluated) { inboundMessages.push(std::move(evaluated)); }),
      views({},
            messages::Peer{identity.id, settingsIn.advertise, settingsIn.zone, messages::controllerRole,
                           net::randomUint64() >> 1, 0},
            settingsIn.seeds, net::randomUint64()),
      listeners(network),
      forwarder(client, settingsIn.advertise, 0,
                [this](ForwardFinished finished) { inboundMessages.push(std::move(finished)); }),
      graceMs(settingsIn.graceMs) {}

net::ServerOptions ControlServer::Impl::listenerOptions() {
  net::ServerOptions options;
  options.bounds.maxConnections = settings.maxConnections;
  options.bounds.maxBodyBytes = maxRequestBytes;
  options.gone = [this](std::uint64_t token) { inboundMessages.push(RequestAbandoned{token}); };
  return options;
}

bool ControlServer::Impl::listen(std::string& error) {
  using Audience = node::Listeners::Audience;
  net::ServerOptions peers = listenerOptions();
  peers.watchesCaller = needsCaller;
  net::ServerOptions operators = listenerOptions();
  operators.watchesCaller = mayBeOrder;
  OperatorHandler const handleNative = [this](net::Request request, net::Responder respond) {
    enqueue(std::move(request), std::move(respond));
  };
  net::HttpServer::Handler const handleOperator = [this, handleNative](net::Request request, net::Responder respond) {
    serveOperator(adapter, std::move(request), std::move(respond), handleNative);
  };
  return listeners.listen(Audience::peers, {settings.listen}, peers, handleNative, error) &&
         listeners.listen(Audience::operators, settings.operatorListens, operators, handleOperator, error);
}

void ControlServer::Impl::enqueue(net::Request request, net::Responder respond) {
  if (!inboundMessages.tryPush(Incoming{std::move(request), respond}, slotsReservedForInternal)) {
    respond(plain(503, "{\"outcome\":\"not_run\",\"reason\":\"overloaded\"}"));
  }
}

void ControlServer::Impl::drainAndWait() {
  inboundMessages.push(DrainRequested{});
  std::unique_lock<std::mutex> lock(shutdownMutex);
  shutdownChanged.wait_for(lock, std::max(graceMs - closingReserveMs, graceMs / 2),
                           [this] { return shutdownComplete; });
  listeners.stopAccepting();
}

ControlServer::ControlServer() = default;

std::unique_ptr<ControlServer> ControlServer::start(config::Settings const& settings, std::string& error,
                                                    OperatorProtocolAdapter const& adapter,
                                                    config::ConfigSchema const& schema) {
  std::unique_ptr<storage::RecordStore> store;
  absl::Status opened = settings.data.empty() ? absl::OkStatus() : openRecordStore(settings, store);
  Identity identity{newMemberId(settings.node), settings.mayFound, settings.seeds};
  if (opened.ok() && store != nullptr) {
    opened = readIdentity(*store, identity);
  }
  if (!opened.ok()) {
    error = std::string(opened.message());
    return nullptr;
  }
  std::unique_ptr<ControlServer> controller(new ControlServer());
  controller->impl_ = std::make_unique<Impl>(settings, adapter, schema, std::move(store), identity);
  Impl& impl = *controller->impl_;
  if (!impl.listen(error)) {
    return nullptr;
  }
  impl.eventLoopThread = std::thread([&impl] { impl.runEventLoop(); });
  return controller;
}

ControlServer::~ControlServer() {
  if (impl_ != nullptr) {
    impl_->inboundMessages.close();
    if (impl_->eventLoopThread.joinable()) {
      impl_->eventLoopThread.join();
    }
    impl_->network.stop();
  }
}

void ControlServer::follow(config::SettingsFile file) { impl_->inboundMessages.push(FollowSettings{std::move(file)}); }

void ControlServer::reload() { impl_->inboundMessages.push(ReloadRequested{}); }

void ControlServer::drain() { impl_->drainAndWait(); }

}  // namespace limeramp::control
