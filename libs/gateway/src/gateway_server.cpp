#include "limeramp/gateway/gateway_server.h"

#include "limeramp/control/operator_api.h"
#include "limeramp/control/runner.h"
#include "limeramp/control/zones.h"
#include "limeramp/discovery/server_directory.h"
#include "limeramp/distribution/config_delivery.h"
#include "limeramp/gateway/request_plane.h"
#include "limeramp/logging/logging.h"
#include "limeramp/net/peer_sender.h"
#include "limeramp/net/random.h"
#include "limeramp/query/query_engine.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <thread>
#include <unordered_map>

namespace limeramp::gateway {
namespace {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

constexpr std::size_t mostInboundMessages = 16'384;
constexpr std::size_t mostCallerBytes = 1 << 20;
constexpr std::uint64_t listAttempt = 1ULL << 62;
constexpr std::uint64_t relayAttempts = 1ULL << 61;
constexpr std::uint64_t leastBudgetSlots = 20;
constexpr std::size_t leavingFronts = 1'000'000;
constexpr double slackShare = 0.9;
constexpr Ms connectMs{300};
constexpr double connectionShare = 0.85;
constexpr std::size_t leastConnections = 2;
constexpr std::size_t mostAllowances = 20'000;
constexpr Ms scarceIdleMs{200};
constexpr Ms eagerMs{3000};
constexpr Ms tickMs{50};
constexpr Ms lastWordMs{300};

struct Incoming {
  net::Request content;
  net::Responder respond;
  bool caller = false;
  Clock::time_point arrivedAt = Clock::now();
};
struct ListRead {
  net::Exchange exchange;
};
struct DrainAsked {};
struct LastWord {};

using InboundMessage = std::variant<Incoming, ListRead, control::RunBack, DrainAsked, LastWord, gateway::Event>;

std::string json(std::string const& text) { return picojson::value(text).serialize(); }

Unserved unservedOf(int status) {
  return status == 413   ? Unserved::tooLong
         : status == 431 ? Unserved::headTooLong
         : status == 408 ? Unserved::tooSlow
                         : Unserved::malformed;
}

std::string nameOf(distribution::Standing standing) {
  switch (standing) {
    case distribution::Standing::unknown:
      return "unknown";
    case distribution::Standing::unlisted:
      return "unlisted";
    case distribution::Standing::stale:
      return "stale";
    case distribution::Standing::current:
      return "current";
    case distribution::Standing::upheld:
      return "upheld";
  }
  return "unknown";
}

std::vector<messages::HeaderLine> toLines(net::Headers const& headers) {
  std::vector<messages::HeaderLine> out;
  for (std::pair<std::string, std::string> const& header : headers) {
    out.push_back({header.first, header.second});
  }
  return out;
}

net::Headers fromLines(std::vector<messages::HeaderLine> const& lines) {
  net::Headers out;
  for (messages::HeaderLine const& line : lines) {
    out.emplace_back(line.key, line.value);
  }
  return out;
}

}  // namespace

struct GatewayServer::Impl {
  Impl(config::Settings const& settingsIn, Dialect dialectIn, control::OperatorDialect operatorsIn)
      : settings(settingsIn),
        dialect(std::move(dialectIn)),
        operators(std::move(operatorsIn)),
        client(network, clientBounds()),
        mail(network, settingsIn.advertise),
        mill(settingsIn.hands),
        boot(net::randomWord() >> 1),
        plane(Self{settingsIn.node, settingsIn.advertise, settingsIn.zone, boot}, policyOf(settingsIn), dialect),
        views({},
              messages::Peer{settingsIn.node, settingsIn.advertise, settingsIn.zone, messages::gatewayRole, boot, 0},
              settingsIn.seeds, net::randomWord()),
        delivery({}, messages::Follower{settingsIn.node, settingsIn.advertise, settingsIn.zone, 0, 0}, boot,
                 net::randomWord()),
        desk(deskPolicyOf(settingsIn), settingsIn.node, settingsIn.advertise, settingsIn.zone),
        runner(client, settingsIn.advertise, relayAttempts,
               [this](control::RunBack back) { deliver(std::move(back)); }) {}

  static dispatch::Policy policyOf(config::Settings const& settings) {
    dispatch::Policy policy;
    policy.maxRequests = settings.maxRequests;
    policy.rerun = settings.rerun;
    return policy;
  }

  static net::ClientBounds clientBounds() {
    net::ClientBounds bounds;
    bounds.connectMs = connectMs;
    return bounds;
  }

  static discovery::DeskPolicy deskPolicyOf(config::Settings const& settings) {
    discovery::DeskPolicy policy;
    policy.listMs = settings.listMs;
    policy.pageMs = settings.listPageMs;
    return policy;
  }

  config::Settings settings;
  Dialect dialect;
  control::OperatorDialect operators;
  net::Network network;
  net::HttpClient client;
  net::Mail mail;
  dispatch::Mill mill;
  std::deque<InboundMessage> inboundMessages;
  bool working = false;
  Clock::time_point nextTick = Clock::now();
  Clock::time_point armedFor = Clock::time_point::max();
  std::uint64_t boot;
  Plane plane;
  distribution::PeerViews views;
  distribution::ConfigDelivery delivery;
  discovery::Desk desk;
  control::Runner runner;
  query::Clerk clerk;
  std::vector<std::unique_ptr<net::HttpServer>> listeners;
  std::vector<net::HttpServer*> callers;
  net::Network::TimerId alarm = 0;
  std::unordered_map<std::uint64_t, net::Responder> responders;
  std::uint64_t lastRequest = 0;
  std::string fleet;
  std::set<std::string> services;
  std::map<std::string, net::Allowance> allowances;
  std::vector<std::string> droppedRows;
  std::string listTrouble;
  Clock::time_point startedAt = Clock::now();
  bool draining = false;
  bool wasReady = false;
  std::string lastWhy = "starting";
  bool callersLetIn = false;
  bool unreadable = false;
  std::uint64_t refusedStale = 0;
  std::mutex heldMutex;
  std::condition_variable heldChanged;
  std::size_t held = 0;

  void deliver(InboundMessage inbound);
  void work();
  void arm();
  void wakeUp();
  bool listen(std::vector<std::string> const& addresses, std::size_t maxBodyBytes, bool later,
              net::HttpServer::Handler handler, std::string& error);
  void boundCallers();
  void on(LastWord&);
  void on(Incoming& inbound);
  void on(ListRead& inbound);
  void on(control::RunBack& inbound) { runner.hear(Clock::now(), inbound); }
  void on(DrainAsked&) {
    draining = true;
    for (std::unique_ptr<net::HttpServer> const& server : listeners) {
      server->drain();
    }
    delivery.leave();
    if (delivery.state()) {
      place();
    }
    logging::raise(logging::Event::drainBegan, {});
  }
  void on(gateway::Event& event) { drive(event); }
  void drive(gateway::Event const& event);
  void carry(Reply const& effect);
  void carry(SendOut const& effect);
  void carry(CancelOut const& effect) { client.cancel(effect.attempt); }
  void carry(Grind const& effect);
  void carry(Merge const& effect);
  void carry(dispatch::Note const& note) {
    logging::raise(note.event, {{"service", note.service}, {"about", note.server}});
  }
  void hold(int change);
  void admit(net::Request content, net::Responder respond, bool passed, std::optional<Ms> remainingMs);
  void takeForwarded(Incoming& inbound);
  void operate(Incoming& inbound);
  void relayChange(Incoming& inbound);
  void hearPeer(std::string const& body);
  void send(std::string const& address, messages::Message message);
  void sendAll(std::vector<distribution::Outgoing> const& sends);
  void follow(distribution::ConfigDeliveryStep const& step);
  void enforce();
  void place();
  void spread(std::string const& service);
  void share(std::string const& address, std::size_t allowed);
  void follow(discovery::DeskStep const& step);
  void readList(std::string const& page);
  void tick();
  void refreshReadiness(Clock::time_point now);
  std::string whyNotReady(Clock::time_point now) const;
  net::Answer ready() const;
  net::Answer status() const;
  net::Answer metrics() const;
  std::vector<query::Sheet> sheets() const;
  void query(Incoming& inbound);
  net::Answer current() const;
};

void GatewayServer::Impl::hold(int change) {
  std::unique_lock<std::mutex> const lock(heldMutex);
  held += static_cast<std::size_t>(change);
  heldChanged.notify_all();
}

void GatewayServer::Impl::drive(gateway::Event const& event) {
  for (Effect const& effect : plane.step(Clock::now(), event)) {
    std::visit([this](auto const& concrete) { carry(concrete); }, effect);
  }
}

void GatewayServer::Impl::carry(Reply const& effect) {
  std::unordered_map<std::uint64_t, net::Responder>::iterator const found = responders.find(effect.request);
  if (found != responders.end()) {
    found->second(effect.answer);
    responders.erase(found);
    hold(-1);
  }
}

void GatewayServer::Impl::carry(SendOut const& effect) {
  std::optional<net::Address> const address = net::Address::parse(effect.server);
  std::uint64_t const attempt = effect.attempt;
  bool const carried = effect.carried;
  net::Request content = effect.content;
  if (carried) {
    messages::ForwardRequest received;
    received.remainingMs = static_cast<std::uint64_t>(std::max<long>(1, effect.remainingMs.count()));
    received.method = content.method;
    received.target = content.target;
    received.headers = toLines(content.headers);
    received.body = std::move(content.body);
    content = {"POST",
               "/limeramp/carry",
               {{"content-type", "avro/binary"}, {"limeramp-from", settings.advertise}},
               messages::enclose(messages::pack(received)),
               ""};
  }
  client.begin(
      attempt, address.value_or(net::Address{}), std::move(content), effect.deadline,
      [this, attempt, carried](net::Exchange exchange) {
        if (carried && exchange.answer) {
          absl::StatusOr<messages::ForwardReply> const back =
              messages::unpack<messages::ForwardReply>(messages::disclose(exchange.answer->body).value_or(""));
          if (exchange.answer->status == 200 && back.ok() && back->status >= 200 && back->status <= 599) {
            exchange.answer = net::Answer{static_cast<int>(back->status), fromLines(back->headers), back->body};
          } else {
            exchange.answer.reset();
            exchange.verdict = retry::Verdict::mayHaveRun;
          }
        }
        deliver(gateway::Event(Exchanged{attempt, std::move(exchange)}));
      });
}

void GatewayServer::Impl::carry(Grind const& effect) {
  std::uint64_t const attempt = effect.attempt;
  std::optional<double> const load = effect.load;
  mill.read(effect.body, effect.expected, effect.result_size,
            [this, attempt, load](absl::StatusOr<dispatch::Part> part) {
              deliver(gateway::Event(Ground{attempt, std::move(part), load}));
            });
}

void GatewayServer::Impl::carry(Merge const& effect) {
  std::uint64_t const request = effect.request;
  mill.merge(effect.parts, effect.result_size, [this, request](std::vector<std::string> records) {
    deliver(gateway::Event(Merged{request, std::move(records)}));
  });
}

void GatewayServer::Impl::send(std::string const& address, messages::Message message) {
  mail.send(address, messages::seal({fleet, settings.node, settings.advertise, std::move(message)}));
}

void GatewayServer::Impl::sendAll(std::vector<distribution::Outgoing> const& sends) {
  for (distribution::Outgoing const& outgoing : sends) {
    send(outgoing.address, outgoing.message);
  }
}

void GatewayServer::Impl::hearPeer(std::string const& body) {
  absl::StatusOr<messages::PeerMessage> const received = messages::unseal(body);
  if (!received.ok()) {
    logging::raise(logging::Event::peerStrange, {{"reason", std::string(received.status().message())}});
    return;
  }
  if (!fleet.empty() && !received->fleet.empty() && received->fleet != fleet) {
    logging::raise(logging::Event::peerStrange, {{"fleet", received->fleet}, {"from", received->from}});
    return;
  }
  Clock::time_point const now = Clock::now();
  if (messages::Shuffle const* const shuffle = std::get_if<messages::Shuffle>(&received->message)) {
    sendAll(views.hear(now, received->from, received->address, *shuffle));
  } else if (messages::Poll const* const poll = std::get_if<messages::Poll>(&received->message)) {
    follow(delivery.hear(now, received->address, *poll));
  } else if (messages::News const* const news = std::get_if<messages::News>(&received->message)) {
    if (fleet.empty() && news->state) {
      fleet = received->fleet;
    }
    follow(delivery.hear(now, received->address, *news));
  } else if (messages::StateUpdate const* const update = std::get_if<messages::StateUpdate>(&received->message)) {
    if (fleet.empty()) {
      fleet = received->fleet;
    }
    follow(delivery.hear(now, received->address, *update));
  } else if (messages::TablePoll const* const tablePoll = std::get_if<messages::TablePoll>(&received->message)) {
    follow(desk.hear(now, received->address, *tablePoll));
  } else if (messages::TableNews const* const tableNews = std::get_if<messages::TableNews>(&received->message)) {
    follow(desk.hear(now, received->address, *tableNews));
  }
}

void GatewayServer::Impl::follow(distribution::ConfigDeliveryStep const& step) {
  sendAll(step.sends);
  if (step.changed) {
    enforce();
  }
}

void GatewayServer::Impl::enforce() {
  messages::State const& state = *delivery.state();
  place();
  config::Version const version{state.configurationEpoch, state.configurationSequence};
  if (version == config::Version{} || (plane.snapshot() != nullptr && plane.snapshot()->version >= version)) {
    for (std::string const& service : services) {
      spread(service);
    }
    return;
  }
  config::Checked checked = dialect.language.check(state.document);
  unreadable = !checked.configuration;
  if (unreadable) {
    logging::raise(logging::Event::configurationUnreadable,
                   {{"version", version.text()}, {"path", checked.problems.front().path}});
    return;
  }
  std::shared_ptr<config::Snapshot> const snapshot = std::make_shared<config::Snapshot>();
  snapshot->version = version;
  snapshot->text = state.document;
  snapshot->configuration = *std::move(checked.configuration);
  std::set<std::string> next;
  for (std::pair<std::string const, config::Service> const& entry : snapshot->configuration.services) {
    next.insert(entry.first);
  }
  drive(InForce{snapshot});
  boundCallers();
  for (std::string const& service : services) {
    if (!next.contains(service)) {
      drive(Tables{dispatch::Servers{service, {}}});
    }
  }
  services = std::move(next);
  for (std::string const& service : services) {
    spread(service);
  }
  place();
  logging::raise(logging::Event::configurationInForce, {{"version", version.text()}});
}

void GatewayServer::Impl::place() {
  messages::State const& state = *delivery.state();
  dispatch::Place own;
  own.zone = settings.zone;
  own.budgetRatio = settings.extraRatio;
  own.fronts = std::max<std::size_t>(1, state.roster.size());
  std::uint64_t const slots = std::max<std::uint64_t>(leastBudgetSlots, (state.roster.size() * 5 / 4 + 9) / 10 * 10);
  std::size_t index = 0;
  for (messages::RosterEntry const& entry : state.roster) {
    if (entry.node == settings.node && entry.address == settings.advertise) {
      own.rank = index;
      own.budgetDepth = entry.slot < slots ? settings.extraSlack * slackShare / static_cast<double>(slots) : 0;
    }
    ++index;
  }
  if (draining) {
    own.fronts = leavingFronts;
    own.budgetDepth = 0;
  }
  drive(Placed{own});
  if (plane.snapshot() == nullptr) {
    return;
  }
  for (config::Cell const& cell : plane.snapshot()->configuration.cells) {
    Owners owners{cell.name, {}};
    for (messages::RosterEntry const& entry : state.roster) {
      if (cell.nodes.contains(entry.node) && entry.node != settings.node) {
        owners.addresses.push_back(entry.address);
      }
    }
    drive(owners);
  }
}

void GatewayServer::Impl::share(std::string const& address, std::size_t allowed) {
  std::optional<net::Address> const server = net::Address::parse(address);
  if (allowed == 0 || !server) {
    return;
  }
  double const share = static_cast<double>(allowed) * connectionShare /
                       static_cast<double>(std::max<std::size_t>(1, delivery.state()->roster.size()));
  net::Allowance const allowance{std::max<std::size_t>(leastConnections, static_cast<std::size_t>(share)),
                                 share < leastConnections ? scarceIdleMs : net::Allowance{}.idleMs};
  net::Allowance& known = allowances[address];
  if (known.most != allowance.most || known.idleMs != allowance.idleMs) {
    if (allowances.size() > mostAllowances) {
      allowances.clear();
    }
    allowances[address] = allowance;
    client.allow(*server, allowance);
  }
}

void GatewayServer::Impl::spread(std::string const& service) {
  if (plane.snapshot() == nullptr || !services.contains(service)) {
    return;
  }
  config::Configuration const& configuration = plane.snapshot()->configuration;
  std::set<std::string> const evacuated = control::evacuatedZones(*delivery.state(), configuration);
  Clock::time_point const now = Clock::now();
  dispatch::Servers servers{service, desk.rows(now, service)};
  for (dispatch::ServerRow& row : servers.rows) {
    row.leaving = row.leaving || evacuated.contains(row.zone);
    row.coldPerSecond = configuration.services.at(service).coldPerSecond;
    share(row.address, configuration.services.at(service).maxConnections);
    if (row.slowStartMs.count() == 0) {
      row.slowStartMs = configuration.services.at(service).slowStartMs;
    }
  }
  drive(Tables{std::move(servers)});
}

void GatewayServer::Impl::follow(discovery::DeskStep const& step) {
  sendAll(step.sends);
  for (std::string const& service : step.changed) {
    spread(service);
  }
  if (step.emptyHeld && listTrouble != "empty") {
    listTrouble = "empty";
    logging::raise(logging::Event::listEmptyHeld, {{"platform", settings.platform}});
  }
  if (step.readList) {
    readList(step.page);
  }
}

void GatewayServer::Impl::readList(std::string const& page) {
  client.begin(listAttempt, net::Address::parse(settings.platform).value_or(net::Address{}), dialect.listRequest(page),
               Clock::now() + Ms(1000), [this](net::Exchange exchange) { deliver(ListRead{std::move(exchange)}); });
}

void GatewayServer::Impl::on(ListRead& inbound) {
  std::string reason = inbound.exchange.reason;
  bool overRate = false;
  if (inbound.exchange.answer) {
    reason = "status " + std::to_string(inbound.exchange.answer->status);
    overRate = inbound.exchange.answer->status == 429;
  }
  if (inbound.exchange.answer && inbound.exchange.answer->status == 200) {
    absl::StatusOr<discovery::List> const list = dialect.readList(inbound.exchange.answer->body);
    if (list.ok()) {
      if (list->dropped != droppedRows) {
        for (std::string const& dropped : list->dropped) {
          logging::raise(logging::Event::listRowDropped, {{"row", dropped}});
        }
        droppedRows = list->dropped;
      }
      if (list->rows > 0) {
        listTrouble.clear();
      }
      follow(desk.listed(Clock::now(), *list));
      refreshReadiness(Clock::now());
      return;
    }
    reason = std::string(list.status().message());
  }
  desk.listFailed(Clock::now(), overRate);
  if (reason != listTrouble) {
    listTrouble = reason;
    logging::raise(logging::Event::listUnreachable, {{"platform", settings.platform}, {"reason", reason}});
  }
}

std::string GatewayServer::Impl::whyNotReady(Clock::time_point now) const {
  distribution::DeliveryStatus const status = delivery.status(now);
  if (draining) {
    return "draining";
  }
  if (status.standing != distribution::Standing::current && status.standing != distribution::Standing::upheld) {
    return "configuration " + nameOf(status.standing);
  }
  if (unreadable) {
    return "configuration unreadable";
  }
  if (plane.snapshot() == nullptr) {
    return "no configuration yet";
  }
  if (plane.snapshot()->configuration.evacuatedZones.contains(settings.zone)) {
    return "zone emptied";
  }
  for (std::string const& service : services) {
    if (!desk.ageMs(now, service) && now - startedAt < Ms(5000)) {
      return "servers of " + service + " unknown";
    }
  }
  return "";
}

net::Answer GatewayServer::Impl::ready() const {
  std::string const why = whyNotReady(Clock::now());
  return control::plain(why.empty() ? 200 : 503, std::string("{\"ready\":") + (why.empty() ? "true" : "false") +
                                                     ",\"reason\":" + json(why) + ",\"node\":" + json(settings.node) +
                                                     "}");
}

net::Answer GatewayServer::Impl::current() const {
  distribution::Standing const standing = delivery.status(Clock::now()).standing;
  if (standing != distribution::Standing::current && standing != distribution::Standing::upheld) {
    return control::plain(503, "{\"reason\":\"configuration " + nameOf(standing) + "\"}");
  }
  config::SnapshotPtr const snapshot = plane.snapshot();
  net::Answer answer = control::plain(200, snapshot == nullptr ? "{}" : snapshot->text);
  answer.headers.emplace_back("limeramp-version", (snapshot == nullptr ? config::Version{} : snapshot->version).text());
  return answer;
}

net::Answer GatewayServer::Impl::status() const {
  Clock::time_point const now = Clock::now();
  distribution::DeliveryStatus const status = delivery.status(now);
  std::string const why = whyNotReady(now);
  messages::State const state = delivery.state().value_or(messages::State{});
  std::string body =
      "{\"node\":" + json(settings.node) + ",\"role\":\"gateway\",\"zone\":" + json(settings.zone) +
      ",\"fleet\":" + json(fleet) + ",\"ready\":" + (why.empty() ? "true" : "false") + ",\"reason\":" + json(why) +
      ",\"standing\":" + json(nameOf(status.standing)) +
      ",\"age_ms\":" + (status.ageMs == Ms::max() ? "null" : std::to_string(status.ageMs.count())) +
      ",\"state\":" + json(config::Version{state.epoch, state.sequence}.text()) +
      ",\"versions_behind\":" + std::to_string(status.versionsBehind) +
      ",\"version\":" + json((plane.snapshot() == nullptr ? config::Version{} : plane.snapshot()->version).text()) +
      ",\"primary_address\":" + json(delivery.primaryAddress()) + ",\"roster\":" + std::to_string(state.roster.size()) +
      ",\"requests\":" + std::to_string(plane.requests()) + ",\"peers\":[";
  bool first = true;
  for (messages::Peer const& peer : views.peers(now)) {
    body += std::string(first ? "" : ",") + "{\"node\":" + json(peer.node) + ",\"address\":" + json(peer.address) +
            ",\"zone\":" + json(peer.zone) + ",\"role\":" + json(peer.role) +
            ",\"age_ms\":" + std::to_string(peer.ageMs) + "}";
    first = false;
  }
  body += "],\"servers\":[";
  first = true;
  for (dispatch::ServerView const& entry : plane.servers(now)) {
    char numbers[96];
    std::snprintf(numbers, sizeof numbers, ",\"latency_ms\":%.2f,\"load\":%.3f,\"in_flight\":%zu", entry.latencyMs,
                  entry.load, entry.inFlight);
    body += std::string(first ? "" : ",") + "{\"service\":" + json(entry.service) +
            ",\"address\":" + json(entry.address) + ",\"zone\":" + json(entry.zone) +
            ",\"down\":" + (entry.down ? "true" : "false") + ",\"leaving\":" + (entry.leaving ? "true" : "false") +
            ",\"fresh\":" + (entry.fresh ? "true" : "false") + numbers + "}";
    first = false;
  }
  return control::plain(200, body + "]}");
}

net::Answer GatewayServer::Impl::metrics() const {
  dispatch::Counters const counters = plane.counters();
  std::string body;
  for (std::pair<char const*, std::uint64_t> const& entry :
       {std::pair<char const*, std::uint64_t>("arrivals_total", counters.arrivals),
        std::pair<char const*, std::uint64_t>("attempts_total", counters.attempts),
        std::pair<char const*, std::uint64_t>("extra_attempts_total", counters.extras),
        std::pair<char const*, std::uint64_t>("retries_total", counters.retries),
        std::pair<char const*, std::uint64_t>("lost_races_total", counters.lostRaces),
        std::pair<char const*, std::uint64_t>("missing_shards_total", counters.missing),
        std::pair<char const*, std::uint64_t>("refused_total", counters.refused + refusedStale),
        std::pair<char const*, std::uint64_t>("budget_spent_total", counters.budgetSpent)}) {
    body += std::string("# TYPE limeramp_") + entry.first + " counter\nlimeramp_" + entry.first + " " +
            std::to_string(entry.second) + "\n";
  }
  body += "# TYPE limeramp_requests gauge\nlimeramp_requests " + std::to_string(plane.requests()) + "\n";
  body += std::string("# TYPE limeramp_ready gauge\nlimeramp_ready ") +
          (whyNotReady(Clock::now()).empty() ? "1" : "0") + "\n";
  return {200, {{"content-type", "text/plain; version=0.0.4"}}, body};
}

std::vector<query::Sheet> GatewayServer::Impl::sheets() const {
  Clock::time_point const now = Clock::now();
  messages::State const state = delivery.state().value_or(messages::State{});
  query::Sheet nodes{"nodes", {"node", "address", "zone", "slot", "heard_ms"}, {}};
  std::vector<messages::Peer> const peers = views.peers(now);
  for (messages::RosterEntry const& entry : state.roster) {
    std::int64_t heardMs = entry.node == settings.node ? 0 : -1;
    for (messages::Peer const& peer : peers) {
      heardMs = peer.node == entry.node ? static_cast<std::int64_t>(peer.ageMs) : heardMs;
    }
    nodes.rows.push_back({entry.node, entry.address, entry.zone, static_cast<std::int64_t>(entry.slot), heardMs});
  }
  query::Sheet control{"controllers", {"id", "address", "zone", "heard_ms"}, {}};
  for (messages::Peer const& peer : peers) {
    if (peer.role == messages::controllerRole) {
      control.rows.push_back({peer.node, peer.address, peer.zone, static_cast<std::int64_t>(peer.ageMs)});
    }
  }
  query::Sheet servers{
      "servers", {"service", "address", "zone", "in_flight", "latency_ms", "down", "leaving", "fresh", "load"}, {}};
  for (dispatch::ServerView const& view : plane.servers(now)) {
    servers.rows.push_back({view.service, view.address, view.zone, static_cast<std::int64_t>(view.inFlight),
                            view.latencyMs, static_cast<std::int64_t>(view.down),
                            static_cast<std::int64_t>(view.leaving), static_cast<std::int64_t>(view.fresh), view.load});
  }
  query::Sheet entries{"entries", {"name", "kind", "tenant", "prefix", "deadline_ms", "max_attempts"}, {}};
  query::Sheet shards{"shards", {"search", "service", "cut"}, {}};
  if (config::SnapshotPtr const snapshot = plane.snapshot()) {
    for (config::Search const& search : snapshot->configuration.searches) {
      entries.rows.push_back({search.name, std::string("search"), search.tenant, search.prefix,
                              search.deadlineMs.count(), static_cast<std::int64_t>(search.max_attempts)});
      for (config::Shard const& shard : search.shards) {
        shards.rows.push_back({search.name, shard.service, shard.cut});
      }
    }
    for (config::Route const& route : snapshot->configuration.routes) {
      entries.rows.push_back({route.name, std::string("route"), route.tenant, route.prefix, route.deadlineMs.count(),
                              static_cast<std::int64_t>(route.max_attempts)});
    }
  }
  return {std::move(nodes), std::move(control), std::move(servers), std::move(entries), std::move(shards)};
}

void GatewayServer::Impl::query(Incoming& inbound) {
  net::Responder const respond = inbound.respond;
  bool const taken = clerk.ask(sheets(), inbound.content.body, [respond](absl::StatusOr<std::string> const& answer) {
    respond(answer.ok() ? control::plain(200, *answer)
                        : control::plain(400, "{\"reason\":" + json(std::string(answer.status().message())) + "}"));
  });
  if (!taken) {
    respond(control::plain(503, "{\"reason\":\"too many queries wait\"}"));
  }
}

void GatewayServer::Impl::relayChange(Incoming& inbound) {
  runner.take(Clock::now(), inbound.arrivedAt, std::move(inbound.content), std::move(inbound.respond));
}

void GatewayServer::Impl::operate(Incoming& inbound) {
  std::string const& target = inbound.content.target;
  std::string const& method = inbound.content.method;
  if (target == "/limeramp/inner" && method == "POST") {
    hearPeer(inbound.content.body);
    inbound.respond({204, {}, ""});
  } else if (target == "/limeramp/carry" && method == "POST") {
    takeForwarded(inbound);
  } else if (control::operatorCallOf(inbound.content) == control::OperatorCall::read) {
    inbound.respond(current());
  } else if (control::operatorCallOf(inbound.content) != control::OperatorCall::none) {
    relayChange(inbound);
  } else if (target == "/limeramp/ready" && method == "GET") {
    inbound.respond(ready());
  } else if (target == "/limeramp/status" && method == "GET") {
    inbound.respond(status());
  } else if (target == "/limeramp/metrics" && method == "GET") {
    inbound.respond(metrics());
  } else if (target == "/limeramp/query" && method == "POST") {
    query(inbound);
  } else if (target == "/limeramp/drain" && method == "POST") {
    DrainAsked asked;
    on(asked);
    inbound.respond(control::plain(200, "{\"draining\":true}"));
  } else {
    inbound.respond(control::plain(404, "{\"reason\":\"no such page\"}"));
  }
}

void GatewayServer::Impl::takeForwarded(Incoming& inbound) {
  absl::StatusOr<messages::ForwardRequest> const received =
      messages::unpack<messages::ForwardRequest>(messages::disclose(inbound.content.body).value_or(""));
  if (!received.ok()) {
    inbound.respond(control::plain(400, "{\"reason\":\"not a carried request\"}"));
    return;
  }
  net::Request content{received->method, received->target, fromLines(received->headers), received->body,
                       inbound.content.peer};
  admit(
      std::move(content),
      [respond = std::move(inbound.respond)](net::Answer const& answer) {
        messages::ForwardReply const back{static_cast<std::uint64_t>(answer.status), toLines(answer.headers),
                                          answer.body};
        respond({200, {{"content-type", "avro/binary"}}, messages::enclose(messages::pack(back))});
      },
      true, Ms(static_cast<long>(std::min<std::uint64_t>(received->remainingMs, 60'000))));
}

void GatewayServer::Impl::admit(net::Request content, net::Responder respond, bool passed,
                                std::optional<Ms> remainingMs) {
  distribution::Standing const standing = delivery.status(Clock::now()).standing;
  if (standing != distribution::Standing::current && standing != distribution::Standing::upheld) {
    ++refusedStale;
    respond(dialect.writeRefusal({Unserved::stale, "this node's configuration is " + nameOf(standing),
                                  retry::Verdict::notRun, Ms(1000), "", ""}));
    return;
  }
  if (content.body.size() >
      (plane.snapshot() == nullptr ? mostCallerBytes : plane.snapshot()->configuration.limits.maxBodyBytes)) {
    respond(dialect.writeRefusal(
        {Unserved::tooLong, "the body is longer than the limit", retry::Verdict::notRun, {}, "", ""}));
    return;
  }
  std::uint64_t const request = ++lastRequest;
  responders.emplace(request, std::move(respond));
  hold(1);
  drive(Arrived{request, std::move(content), passed, remainingMs});
}

void GatewayServer::Impl::on(Incoming& inbound) {
  std::string const& target = inbound.content.target;
  if (!inbound.caller && (target == "/limeramp" || target.starts_with("/limeramp/"))) {
    operate(inbound);
  } else {
    admit(std::move(inbound.content), std::move(inbound.respond), false, std::nullopt);
  }
}

void GatewayServer::Impl::tick() {
  Clock::time_point const now = Clock::now();
  std::vector<messages::Peer> const peers = views.peers(now);
  sendAll(views.tick(now, !delivery.state() && now - startedAt < eagerMs));
  follow(delivery.tick(now, peers));
  discovery::Around around;
  around.services = services;
  around.zoneAddresses.push_back(settings.advertise);
  if (delivery.state()) {
    for (messages::RosterEntry const& entry : delivery.state()->roster) {
      if (entry.zone == settings.zone && entry.address != settings.advertise) {
        around.zoneAddresses.push_back(entry.address);
      }
    }
  }
  follow(desk.tick(now, around));
  runner.tick(now, delivery.primaryAddress());
  refreshReadiness(now);
}

void GatewayServer::Impl::refreshReadiness(Clock::time_point now) {
  std::string const why = whyNotReady(now);
  if (!callersLetIn && (why.empty() || now - startedAt >= settings.startHoldMs)) {
    callersLetIn = true;
    for (net::HttpServer* const server : callers) {
      server->open();
    }
  }
  if (why != lastWhy) {
    lastWhy = why;
    wasReady = why.empty();
    logging::raise(logging::Event::readinessChanged, {{"ready", wasReady ? "yes" : "no"}, {"reason", why}});
  }
}

void GatewayServer::Impl::deliver(InboundMessage inbound) {
  if (!network.onThread()) {
    std::shared_ptr<InboundMessage> const held_ = std::make_shared<InboundMessage>(std::move(inbound));
    network.post([this, held_] { deliver(std::move(*held_)); });
    return;
  }
  inboundMessages.push_back(std::move(inbound));
  if (!working) {
    work();
  }
}

void GatewayServer::Impl::work() {
  working = true;
  while (!inboundMessages.empty()) {
    InboundMessage inbound = std::move(inboundMessages.front());
    inboundMessages.pop_front();
    std::visit([this](auto& concrete) { on(concrete); }, inbound);
  }
  working = false;
  arm();
}

void GatewayServer::Impl::arm() {
  Clock::time_point const now = Clock::now();
  Clock::time_point const wake = std::max(now, std::min(nextTick, plane.nextWake(now).value_or(nextTick)));
  if (armedFor <= wake) {
    return;
  }
  network.cancel(alarm);
  armedFor = wake;
  alarm = network.at(wake, [this] { wakeUp(); });
}

void GatewayServer::Impl::wakeUp() {
  armedFor = Clock::time_point::max();
  Clock::time_point const now = Clock::now();
  if (plane.nextWake(now).value_or(Clock::time_point::max()) <= now) {
    inboundMessages.emplace_back(gateway::Event(Tick{}));
  }
  if (now >= nextTick) {
    nextTick = now + tickMs;
    tick();
  }
  work();
}

void GatewayServer::Impl::on(LastWord&) {
  std::unordered_map<std::uint64_t, net::Responder> const waiting = std::move(responders);
  responders.clear();
  for (std::pair<std::uint64_t const, net::Responder> const& entry : waiting) {
    entry.second(dialect.writeRefusal({Unserved::failed, "this node ends", retry::Verdict::mayHaveRun, {}, "", ""}));
    hold(-1);
  }
}

bool GatewayServer::Impl::listen(std::vector<std::string> const& addresses, std::size_t maxBodyBytes, bool later,
                                 net::HttpServer::Handler handler, std::string& error) {
  for (std::string const& address : addresses) {
    net::ServerOptions options;
    options.bounds.maxConnections = settings.maxConnections;
    options.bounds.maxBodyBytes = maxBodyBytes;
    options.opensLater = later;
    options.refuse = [this](int status, std::string const& reason) {
      return dialect.writeRefusal({unservedOf(status), reason, retry::Verdict::notRun, {}, "", ""});
    };
    std::unique_ptr<net::HttpServer> server = net::HttpServer::listen(
        network, net::Address::parse(address).value_or(net::Address{}), options, handler, error);
    if (server == nullptr) {
      return false;
    }
    logging::raise(logging::Event::listening, {{"address", server->address().text()}});
    listeners.push_back(std::move(server));
  }
  return true;
}

void GatewayServer::Impl::boundCallers() {
  config::CallerLimits const& limits = plane.snapshot()->configuration.limits;
  net::ServerBounds bounds;
  bounds.maxConnections = settings.maxConnections;
  bounds.maxHeaderBytes = limits.maxHeaderBytes;
  bounds.maxBodyBytes = limits.maxBodyBytes;
  bounds.headerMs = limits.headerMs;
  bounds.idleMs = limits.idleMs;
  for (net::HttpServer* const server : callers) {
    server->setBounds(bounds);
  }
}

GatewayServer::GatewayServer() = default;

std::unique_ptr<GatewayServer> GatewayServer::start(config::Settings const& settings, std::string& error,
                                                    Dialect dialect, control::OperatorDialect operators) {
  std::unique_ptr<GatewayServer> front(new GatewayServer());
  front->impl_ = std::make_unique<Impl>(settings, std::move(dialect), std::move(operators));
  Impl& impl = *front->impl_;
  net::HttpServer::Handler const take = [&impl](net::Request request, net::Responder respond) {
    if (impl.inboundMessages.size() >= mostInboundMessages) {
      respond(
          impl.dialect.writeRefusal({Unserved::overloaded, "overloaded", retry::Verdict::notRun, Ms(1000), "", ""}));
      return;
    }
    impl.deliver(Incoming{std::move(request), std::move(respond), false});
  };
  net::HttpServer::Handler const takeCaller = [&impl](net::Request request, net::Responder respond) {
    impl.deliver(Incoming{std::move(request), std::move(respond), true});
  };
  net::HttpServer::Handler const takeOperator = [&impl, take](net::Request request, net::Responder respond) {
    control::serveOperator(impl.operators, std::move(request), std::move(respond), take);
  };
  if (!impl.listen(settings.callerListens, 4 << 20, true, takeCaller, error)) {
    return nullptr;
  }
  for (std::unique_ptr<net::HttpServer> const& server : impl.listeners) {
    impl.callers.push_back(server.get());
  }
  if (!impl.listen({settings.listen}, 4 << 20, false, take, error) ||
      !impl.listen(settings.readinessListens, 64 << 10, false, takeOperator, error) ||
      !impl.listen(settings.operatorListens, 4 << 20, false, takeOperator, error)) {
    return nullptr;
  }
  impl.network.post([&impl] { impl.arm(); });
  return front;
}

GatewayServer::~GatewayServer() {
  if (impl_ != nullptr) {
    impl_->network.stop();
  }
}

void GatewayServer::drain() {
  Ms const graceMs = std::max(impl_->settings.graceMs, lastWordMs * 4);
  Clock::time_point const begunAt = Clock::now();
  impl_->deliver(DrainAsked{});
  std::unique_lock<std::mutex> lock(impl_->heldMutex);
  impl_->heldChanged.wait_until(lock, begunAt + std::min(graceMs / 2, impl_->settings.noticeMs), [] { return false; });
  for (std::unique_ptr<net::HttpServer> const& server : impl_->listeners) {
    server->stopAccepting();
  }
  impl_->heldChanged.wait_until(lock, begunAt + graceMs - lastWordMs * 2, [this] { return impl_->held == 0; });
  impl_->deliver(LastWord{});
  impl_->heldChanged.wait_for(lock, lastWordMs, [] { return false; });
}

}  // namespace limeramp::gateway
