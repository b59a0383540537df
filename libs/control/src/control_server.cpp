#include "limeramp/control/control_server.h"

#include "limeramp/control/operator_api.h"
#include "limeramp/control/runner.h"
#include "limeramp/distribution/peer_views.h"
#include "limeramp/logging/logging.h"
#include "limeramp/net/peer_sender.h"
#include "limeramp/net/random.h"
#include "limeramp/net/ring.h"
#include "limeramp/storage/record_store.h"

#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace limeramp::control {
namespace {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

struct Incoming {
  net::Request content;
  net::Responder respond;
  /// When the network thread had read the request: a process that is held up afterwards does not prolong its deadline.
  Clock::time_point arrivedAt = Clock::now();
};
struct DiskDone {
  std::uint64_t token = 0;
  bool good = false;
  std::string reason;
};

struct RetireAsked {};

using InboundMessage = std::variant<Incoming, DiskDone, RunBack, Probed, RetireAsked>;

constexpr std::uint64_t probeAttempts = 1ULL << 61;
/// Kept back from the grace time for closing the listeners and the disk.
constexpr Ms closingMs{600};
constexpr Ms eagerMs{1000};
constexpr Ms settleMs{2000};
constexpr char const* membersKey = "members";
constexpr std::size_t mostKeptMembers = 16;

struct Work {
  std::uint64_t token = 0;
  storage::Puts puts;
};

struct ForcingNewGroup {
  std::string from;
  net::Responder respond;
  Clock::time_point deadline;
  Clock::time_point nextAt;
};

struct Client {
  net::Responder respond;
  std::string change;
};

std::string json(std::string const& text) { return picojson::value(text).serialize(); }

std::string list(std::vector<std::string> const& texts) {
  picojson::array out;
  for (std::string const& text : texts) {
    out.emplace_back(text);
  }
  return picojson::value(out).serialize();
}

absl::Status openRecordStore(config::Settings const& settings, std::unique_ptr<storage::RecordStore>& store) {
  storage::Shape shape;
  shape.fileBytes = settings.storeFileBytes;
  absl::StatusOr<std::unique_ptr<storage::RecordStore>> opened = storage::RecordStore::open(settings.data, shape);
  if (!opened.ok()) {
    return opened.status();
  }
  store = *std::move(opened);
  if (store->findings().tailCut) {
    logging::raise(logging::Event::diskTailCut, {{"folder", settings.data}});
  }
  if (store->findings().damaged) {
    logging::raise(logging::Event::diskDamaged, {{"folder", settings.data}, {"detail", store->findings().detail}});
    return store->setAside();
  }
  return absl::OkStatus();
}

absl::Status readIdentity(storage::RecordStore& store, std::string& id, bool& mayFound,
                          std::vector<std::string>& founders) {
  std::map<std::string, std::string>::const_iterator const known = store.values().find("id");
  if (known == store.values().end() || known->second.empty()) {
    return store.put({{"id", id}, {"mayFound", mayFound ? "yes" : "no"}, {"founders", absl::StrJoin(founders, ",")}});
  }
  std::map<std::string, std::string>::const_iterator const founds = store.values().find("mayFound");
  std::map<std::string, std::string>::const_iterator const first = store.values().find("founders");
  id = known->second;
  mayFound = founds == store.values().end() ? mayFound : founds->second == "yes";
  founders = first == store.values().end() ? founders : absl::StrSplit(first->second, ',');
  return absl::OkStatus();
}

}  // namespace

struct ControlServer::Impl {
  Impl(config::Settings const& settingsIn, OperatorDialect const& dialectIn, config::Language const& languageIn,
       std::unique_ptr<storage::RecordStore> storeIn, std::string const& idIn, bool mayFoundIn,
       std::vector<std::string> const& foundersIn)
      : settings(settingsIn),
        dialect(dialectIn),
        id(idIn),
        mayFound(mayFoundIn),
        founders(foundersIn),
        store(std::move(storeIn)),
        client(network, {}),
        mail(network, settingsIn.advertise),
        inbox(8192),
        work(1024),
        group(replication::policyFor(settingsIn.machineLosses)),
        plane(Policy{}, idIn, languageIn),
        views({},
              messages::Peer{idIn, settingsIn.advertise, settingsIn.zone, messages::controllerRole,
                             net::randomWord() >> 1, 0},
              settingsIn.seeds, net::randomWord()),
        runner(client, settingsIn.advertise, 0, [this](RunBack back) { inbox.push(std::move(back)); }) {}

  config::Settings settings;
  OperatorDialect dialect;
  std::string id;
  bool mayFound = false;
  std::vector<std::string> founders;
  std::unique_ptr<storage::RecordStore> store;
  net::Network network;
  net::HttpClient client;
  net::Mail mail;
  net::Ring<InboundMessage> inbox;
  net::Ring<Work> work;
  replication::ReplicationGroup group;
  Plane plane;
  distribution::PeerViews views;
  std::vector<std::unique_ptr<net::HttpServer>> servers;
  std::thread core;
  std::thread disk;
  Runner runner;
  std::unordered_map<std::uint64_t, Client> clients;
  std::uint64_t lastTicket = 0;
  bool fleetElsewhere = false;
  std::string keptMembers;
  Clock::time_point startedAt = Clock::now();
  bool draining = false;
  std::optional<ForcingNewGroup> forcingNewGroup;
  std::mutex retiredMutex;
  std::condition_variable retiredChanged;
  bool retired = false;

  void runCore();
  void runDisk();
  void on(Incoming& inbound);
  void on(DiskDone& inbound);
  void on(RunBack& inbound) { runner.hear(Clock::now(), inbound); }
  void on(RetireAsked&) {
    draining = true;
    logging::raise(logging::Event::drainBegan, {});
    drivePlane(Retire{});
    driveGroup(replication::Retire{});
  }
  void on(Probed& inbound) { drivePlane(inbound); }
  void probe(Probe const& effect);
  void forget(Incoming& inbound);
  void forceNewGroup(Incoming& inbound);
  void endForceNewGroup(std::string const& refusal);
  void pushForceNewGroup(Clock::time_point now);
  void hearPeer(std::string const& body);
  void driveGroup(replication::Event const& event);
  void drivePlane(Event const& event);
  void send(std::string const& address, messages::Message message);
  void sendAll(std::vector<distribution::Outgoing> const& sends);
  void reply(std::uint64_t ticket, net::Answer answer);
  void change(Incoming& inbound);
  void read(Incoming& inbound);
  void pass(Incoming& inbound) {
    runner.take(Clock::now(), inbound.arrivedAt, std::move(inbound.content), std::move(inbound.respond));
  }
  bool listen(std::string const& address, net::HttpServer::Handler handler, std::string& error);
  void take(net::Request request, net::Responder respond);
  void tick();
  void recallMembers();
  void keepMembers(std::vector<replication::Member> const& members);
  net::Answer status() const;
  net::Answer ready() const;
};

void ControlServer::Impl::send(std::string const& address, messages::Message message) {
  mail.send(address, messages::seal({group.decided().fleet, id, settings.advertise, std::move(message)}));
}

void ControlServer::Impl::sendAll(std::vector<distribution::Outgoing> const& sends) {
  for (distribution::Outgoing const& outgoing : sends) {
    send(outgoing.address, outgoing.message);
  }
}

void ControlServer::Impl::reply(std::uint64_t ticket, net::Answer answer) {
  std::unordered_map<std::uint64_t, Client>::iterator const found = clients.find(ticket);
  if (found != clients.end()) {
    found->second.respond(std::move(answer));
    clients.erase(found);
  }
}

void ControlServer::Impl::driveGroup(replication::Event const& event) {
  for (replication::Effect const& effect : group.step(Clock::now(), event)) {
    if (replication::Send const* const outgoing = std::get_if<replication::Send>(&effect)) {
      send(outgoing->address, outgoing->message);
    } else if (replication::Persist const* const persist = std::get_if<replication::Persist>(&effect)) {
      if (!work.tryPush({persist->token, persist->puts})) {
        inbox.push(DiskDone{persist->token, false, "the disk's queue is full"});
      }
    } else if (replication::LogEntry const* const note = std::get_if<replication::LogEntry>(&effect)) {
      logging::raise(note->event, {{"about", note->about}});
    } else if (replication::Committed const* const committed = std::get_if<replication::Committed>(&effect)) {
      drivePlane(*committed);
    } else if (replication::Doubtful const* const doubtful = std::get_if<replication::Doubtful>(&effect)) {
      drivePlane(*doubtful);
    } else if (replication::Active const* const active = std::get_if<replication::Active>(&effect)) {
      drivePlane(*active);
    } else if (std::holds_alternative<replication::Inactive>(effect)) {
      drivePlane(replication::Inactive{});
    } else if (replication::NewGroupForced const* const newGroupForced =
                   std::get_if<replication::NewGroupForced>(&effect)) {
      endForceNewGroup(newGroupForced->refusal);
    }
  }
}

void ControlServer::Impl::drivePlane(Event const& event) {
  for (Effect const& effect : plane.step(Clock::now(), group, event)) {
    if (replication::Offer const* const offer = std::get_if<replication::Offer>(&effect)) {
      driveGroup(*offer);
    } else if (Decided const* const decided = std::get_if<Decided>(&effect)) {
      std::unordered_map<std::uint64_t, Client>::iterator const found = clients.find(decided->ticket);
      if (found != clients.end()) {
        if (decided->verdict == Verdict::refused || decided->verdict == Verdict::conflict) {
          logging::raise(logging::Event::configurationRefused, {{"change", found->second.change}});
        }
        reply(decided->ticket, answerOf(*decided, found->second.change));
      }
    } else if (ReadBack const* const back = std::get_if<ReadBack>(&effect)) {
      reply(back->ticket, answerOf(*back));
    } else if (Probe const* const wanted = std::get_if<Probe>(&effect)) {
      probe(*wanted);
    } else if (distribution::Outgoing const* const outgoing = std::get_if<distribution::Outgoing>(&effect)) {
      send(outgoing->address, outgoing->message);
    } else if (replication::LogEntry const* const note = std::get_if<replication::LogEntry>(&effect)) {
      logging::raise(note->event, {{"about", note->about}});
    }
  }
}

void ControlServer::Impl::hearPeer(std::string const& body) {
  absl::StatusOr<messages::PeerMessage> received = messages::unseal(body);
  if (!received.ok()) {
    logging::raise(logging::Event::peerStrange, {{"reason", std::string(received.status().message())}});
    return;
  }
  std::string const& fleet = group.decided().fleet;
  if (!received->fleet.empty() && fleet.empty()) {
    fleetElsewhere = true;
  }
  if (!received->fleet.empty() && !fleet.empty() && received->fleet != fleet) {
    logging::raise(logging::Event::peerStrange, {{"fleet", received->fleet}, {"from", received->from}});
    return;
  }
  Clock::time_point const now = Clock::now();
  if (messages::Shuffle const* const shuffle = std::get_if<messages::Shuffle>(&received->message)) {
    sendAll(views.hear(now, received->from, received->address, *shuffle));
  } else if (messages::Poll const* const poll = std::get_if<messages::Poll>(&received->message)) {
    drivePlane(Polled{received->address, *poll});
  } else if (messages::News const* const news = std::get_if<messages::News>(&received->message)) {
    if (forcingNewGroup && received->address == forcingNewGroup->from && news->state && !received->fleet.empty()) {
      driveGroup(replication::ForceNewGroup{received->fleet, *news->state});
    }
  } else {
    driveGroup(replication::Received{received->from, received->address, std::move(received->message)});
  }
}

net::Answer ControlServer::Impl::ready() const {
  bool const serving = !draining && !group.ailing() && group.decided().epoch > 0;
  std::string const reason = draining                     ? "draining"
                             : group.ailing()             ? "disk"
                             : group.decided().epoch == 0 ? "not founded"
                                                          : "";
  return plain(serving ? 200 : 503, "{\"ready\":" + std::string(serving ? "true" : "false") +
                                        ",\"reason\":" + json(reason) + ",\"node\":" + json(settings.node) + "}");
}

void ControlServer::Impl::read(Incoming& inbound) {
  if (!plane.active()) {
    pass(inbound);
    return;
  }
  std::variant<TimePoint, net::Answer> deadline = readDeadline(inbound.content, inbound.arrivedAt);
  if (net::Answer* const wrong = std::get_if<net::Answer>(&deadline)) {
    inbound.respond(std::move(*wrong));
    return;
  }
  std::uint64_t const ticket = ++lastTicket;
  clients.emplace(ticket, Client{std::move(inbound.respond), ""});
  drivePlane(Read{ticket, std::get<TimePoint>(deadline)});
}

net::Answer ControlServer::Impl::status() const {
  Clock::time_point const now = Clock::now();
  messages::EpochRecord const& decided = group.decided();
  messages::State const& state = group.state();
  std::string body =
      "{\"node\":" + json(settings.node) + ",\"role\":\"controller\",\"id\":" + json(id) +
      ",\"zone\":" + json(settings.zone) + ",\"fleet\":" + json(decided.fleet) +
      ",\"epoch\":" + std::to_string(decided.epoch) + ",\"primary\":" + json(decided.primary) +
      ",\"primary_address\":" + json(group.primaryAddress()) + ",\"backups\":" + list(decided.backups) +
      ",\"replica\":" +
      (decided.primary == id || std::count(decided.backups.begin(), decided.backups.end(), id) > 0 ? "true" : "false") +
      ",\"active\":" + (group.active() ? "true" : "false") + ",\"sealed\":" + std::to_string(group.fenced()) +
      ",\"ailing\":" + (group.ailing() ? "true" : "false") +
      ",\"leaving\":" + json(std::string(replication::nameOf(group.leaveProgress()))) +
      ",\"state\":" + json(config::Version{state.epoch, state.sequence}.text()) +
      ",\"version\":" + json(config::Version{state.configurationEpoch, state.configurationSequence}.text()) +
      ",\"pending\":" + std::to_string(plane.pending()) + ",\"witnesses\":[";
  bool first = true;
  for (std::string const& witness : decided.witnesses) {
    std::optional<Ms> const heard = witness == id ? Ms(0) : group.heardMs(now, witness);
    body += std::string(first ? "" : ",") + "{\"id\":" + json(witness) +
            ",\"heard_ms\":" + (heard ? std::to_string(heard->count()) : "null") + "}";
    first = false;
  }
  body += "],\"nodes\":[";
  first = true;
  if (plane.active()) {
    for (NodeView const& node : plane.nodes(now)) {
      body += std::string(first ? "" : ",") + "{\"node\":" + json(node.node) + ",\"address\":" + json(node.address) +
              ",\"zone\":" + json(node.zone) + ",\"slot\":" + std::to_string(node.slot) +
              ",\"confirmed\":" + json(node.confirmed.text()) + ",\"gone\":" + (node.gone ? "true" : "false") +
              ",\"heard_ms\":" + (node.everHeard ? std::to_string(node.heardMs.count()) : "null") + "}";
      first = false;
    }
  }
  return plain(200, body + "]}");
}

void ControlServer::Impl::change(Incoming& inbound) {
  if (!plane.active()) {
    pass(inbound);
    return;
  }
  std::variant<Change, net::Answer> read = readChange(inbound.content, inbound.arrivedAt);
  if (net::Answer* const wrong = std::get_if<net::Answer>(&read)) {
    inbound.respond(std::move(*wrong));
    return;
  }
  Change& wanted = std::get<Change>(read);
  wanted.ticket = ++lastTicket;
  clients.emplace(wanted.ticket, Client{std::move(inbound.respond), wanted.id});
  drivePlane(wanted);
}

void ControlServer::Impl::forget(Incoming& inbound) {
  std::variant<Change, net::Answer> read = readChange(inbound.content, inbound.arrivedAt);
  std::variant<std::vector<std::string>, net::Answer> nodes = readForget(inbound.content.body);
  for (net::Answer* const wrong : {std::get_if<net::Answer>(&read), std::get_if<net::Answer>(&nodes)}) {
    if (wrong != nullptr) {
      inbound.respond(std::move(*wrong));
      return;
    }
  }
  Change const& wanted = std::get<Change>(read);
  if (!plane.active()) {
    pass(inbound);
    return;
  }
  std::uint64_t const ticket = ++lastTicket;
  clients.emplace(ticket, Client{std::move(inbound.respond), wanted.id});
  drivePlane(Forget{ticket, std::get<std::vector<std::string>>(nodes), wanted.deadline});
}

void ControlServer::Impl::forceNewGroup(Incoming& inbound) {
  std::variant<std::string, net::Answer> from = readForceNewGroup(inbound.content.body);
  if (net::Answer* const wrong = std::get_if<net::Answer>(&from)) {
    inbound.respond(std::move(*wrong));
    return;
  }
  if (forcingNewGroup) {
    inbound.respond(plain(409, "{\"outcome\":\"conflict\",\"reason\":\"a new group is already being forced\"}"));
    return;
  }
  Clock::time_point const now = Clock::now();
  forcingNewGroup = ForcingNewGroup{std::get<std::string>(from), std::move(inbound.respond), now + Ms(5000), now};
  pushForceNewGroup(now);
}

void ControlServer::Impl::pushForceNewGroup(Clock::time_point now) {
  if (forcingNewGroup && now >= forcingNewGroup->deadline) {
    endForceNewGroup("no configuration came from " + forcingNewGroup->from);
  } else if (forcingNewGroup && now >= forcingNewGroup->nextAt) {
    forcingNewGroup->nextAt = now + Ms(300);
    messages::Poll poll;
    poll.token = 1;
    poll.self.address = settings.advertise;
    send(forcingNewGroup->from, std::move(poll));
  }
}

void ControlServer::Impl::endForceNewGroup(std::string const& refusal) {
  if (!forcingNewGroup) {
    return;
  }
  net::Responder const respond = std::move(forcingNewGroup->respond);
  forcingNewGroup.reset();
  if (!refusal.empty()) {
    respond(plain(409, "{\"outcome\":\"refused\",\"reason\":" + json(refusal) + "}"));
    return;
  }
  logging::raise(logging::Event::newGroupForced, {{"epoch", std::to_string(group.decided().epoch)}});
  respond(plain(200, "{\"outcome\":\"taken\",\"epoch\":" + std::to_string(group.decided().epoch) + ",\"state\":" +
                         json(config::Version{group.state().epoch, group.state().sequence}.text()) + "}"));
}

void ControlServer::Impl::probe(Probe const& effect) {
  std::uint64_t const token = effect.token;
  std::string const node = effect.node;
  net::Request request;
  request.method = "GET";
  request.target = "/limeramp/ready";
  client.begin(probeAttempts + token, net::Address::parse(effect.address).value_or(net::Address{}), std::move(request),
               Clock::now() + Ms(500), [this, token, node](net::Exchange const& exchange) {
                 inbox.push(Probed{token, provesGone(exchange, node)});
               });
}

void ControlServer::Impl::on(Incoming& inbound) {
  std::string const& target = inbound.content.target;
  std::string const& method = inbound.content.method;
  if (target == "/limeramp/inner" && method == "POST") {
    hearPeer(inbound.content.body);
    inbound.respond({204, {}, ""});
  } else if (operatorCallOf(inbound.content) == OperatorCall::change) {
    change(inbound);
  } else if (operatorCallOf(inbound.content) == OperatorCall::forget) {
    forget(inbound);
  } else if (operatorCallOf(inbound.content) == OperatorCall::read) {
    read(inbound);
  } else if (target == "/limeramp/force-new-group" && method == "POST") {
    forceNewGroup(inbound);
  } else if (target == "/limeramp/ready" && method == "GET") {
    inbound.respond(ready());
  } else if (target == "/limeramp/status" && method == "GET") {
    inbound.respond(status());
  } else if (target == "/limeramp/drain" && method == "POST") {
    RetireAsked asked;
    on(asked);
    inbound.respond(plain(200, "{\"draining\":true}"));
  } else {
    inbound.respond(plain(404, "{\"reason\":\"no such page\"}"));
  }
}

void ControlServer::Impl::on(DiskDone& inbound) {
  if (!inbound.good) {
    logging::raise(logging::Event::diskFailed, {{"reason", inbound.reason}});
  }
  driveGroup(replication::Persisted{inbound.token, inbound.good});
}

void ControlServer::Impl::recallMembers() {
  if (store == nullptr || !store->values().contains(membersKey)) {
    return;
  }
  absl::StatusOr<messages::Shuffle> const stored = messages::unpack<messages::Shuffle>(store->values().at(membersKey));
  replication::KnownMembers known;
  if (stored.ok() && group.decided().epoch > 0) {
    for (messages::Peer const& peer : stored->peers) {
      known.members.push_back({peer.node, peer.address, peer.zone});
    }
    driveGroup(known);
  }
}

void ControlServer::Impl::keepMembers(std::vector<replication::Member> const& members) {
  messages::Shuffle kept;
  for (replication::Member const& member : members) {
    if (kept.peers.size() < mostKeptMembers) {
      kept.peers.push_back({member.id, member.address, member.zone, "", 0, 0});
    }
  }
  std::string const packed = messages::pack(kept);
  if (store != nullptr && !members.empty() && packed != keptMembers && work.tryPush({0, {{membersKey, packed}}})) {
    keptMembers = packed;
  }
}

void ControlServer::Impl::tick() {
  Clock::time_point const now = Clock::now();
  sendAll(views.tick(now, group.decided().epoch == 0 || now - startedAt < eagerMs));
  replication::KnownMembers known;
  for (messages::Peer const& peer : views.peers(now)) {
    if (peer.role == messages::controllerRole) {
      known.members.push_back({peer.node, peer.address, peer.zone});
    }
  }
  known.mayFound = mayFound && !fleetElsewhere && views.mayFound(now);
  if (now - startedAt > settleMs) {
    keepMembers(known.members);
  }
  driveGroup(known);
  driveGroup(replication::Tick{});
  drivePlane(Tick{});
  pushForceNewGroup(now);
  if (draining && group.retired()) {
    std::unique_lock<std::mutex> const lock(retiredMutex);
    retired = true;
    retiredChanged.notify_all();
  }
  runner.tick(now, group.decided().epoch == 0 ? "" : group.primaryAddress());
}

void ControlServer::Impl::runCore() {
  replication::Start start{{id, settings.advertise, settings.zone}, {}, net::randomWord(), store == nullptr, founders};
  if (store != nullptr) {
    start.stored = store->values();
  }
  driveGroup(start);
  recallMembers();
  disk = std::thread([this] { runDisk(); });
  Clock::time_point nextTick = Clock::now();
  while (!inbox.closed()) {
    std::optional<InboundMessage> inbound = inbox.popUntil(nextTick);
    if (inbound) {
      std::visit([this](auto& concrete) { on(concrete); }, *inbound);
    }
    Clock::time_point const now = Clock::now();
    if (now >= nextTick) {
      tick();
      nextTick = now + Ms(20);
    }
  }
}

void ControlServer::Impl::runDisk() {
  while (std::optional<Work> job = work.pop()) {
    absl::Status const status = store == nullptr ? absl::OkStatus() : store->put(job->puts);
    inbox.push(DiskDone{job->token, status.ok(), std::string(status.message())});
  }
}

ControlServer::ControlServer() = default;

bool ControlServer::Impl::listen(std::string const& address, net::HttpServer::Handler handler, std::string& error) {
  net::ServerBounds bounds;
  bounds.maxConnections = settings.maxConnections;
  bounds.maxBodyBytes = 4 << 20;
  std::optional<net::Address> const parsed = net::Address::parse(address);
  if (!parsed) {
    error = "'" + address + "' is no IP number and port";
    return false;
  }
  std::unique_ptr<net::HttpServer> server =
      net::HttpServer::listen(network, *parsed, bounds, std::move(handler), error);
  if (server == nullptr) {
    return false;
  }
  logging::raise(logging::Event::listening, {{"address", server->address().text()}, {"id", id}});
  servers.push_back(std::move(server));
  return true;
}

void ControlServer::Impl::take(net::Request request, net::Responder respond) {
  if (!inbox.tryPush(Incoming{std::move(request), respond}, 4096)) {
    respond(plain(503, "{\"outcome\":\"not_run\",\"reason\":\"overloaded\"}"));
  }
}

std::unique_ptr<ControlServer> ControlServer::start(config::Settings const& settings, std::string& error,
                                                    OperatorDialect const& dialect, config::Language const& language) {
  std::unique_ptr<storage::RecordStore> store;
  absl::Status opened = settings.data.empty() ? absl::OkStatus() : openRecordStore(settings, store);
  char mark[20];
  std::snprintf(mark, sizeof mark, "%08llx", static_cast<unsigned long long>(net::randomWord() & 0xffffffff));
  std::string id = settings.node + "/" + mark;
  bool mayFound = settings.mayFound;
  std::vector<std::string> founders = settings.seeds;
  if (opened.ok() && store != nullptr) {
    opened = readIdentity(*store, id, mayFound, founders);
  }
  if (!opened.ok()) {
    error = std::string(opened.message());
    return nullptr;
  }
  std::unique_ptr<ControlServer> office(new ControlServer());
  office->impl_ = std::make_unique<Impl>(settings, dialect, language, std::move(store), id, mayFound, founders);
  Impl& impl = *office->impl_;
  Serve const own = [&impl](net::Request request, net::Responder respond) {
    impl.take(std::move(request), std::move(respond));
  };
  bool listens = impl.listen(settings.listen, own, error);
  for (std::string const& address : settings.operatorListens) {
    listens = listens && impl.listen(
                             address,
                             [&impl, own](net::Request asked, net::Responder respond) {
                               serveOperator(impl.dialect, std::move(asked), std::move(respond), own);
                             },
                             error);
  }
  if (!listens) {
    return nullptr;
  }
  impl.core = std::thread([&impl] { impl.runCore(); });
  return office;
}

ControlServer::~ControlServer() {
  if (impl_ != nullptr) {
    impl_->inbox.close();
    if (impl_->core.joinable()) {
      impl_->core.join();
    }
    impl_->work.close();
    if (impl_->disk.joinable()) {
      impl_->disk.join();
    }
    impl_->network.stop();
  }
}

void ControlServer::drain() {
  impl_->inbox.push(RetireAsked{});
  std::unique_lock<std::mutex> lock(impl_->retiredMutex);
  Ms const waitMs = std::max(impl_->settings.graceMs - closingMs, impl_->settings.graceMs / 2);
  impl_->retiredChanged.wait_for(lock, waitMs, [this] { return impl_->retired; });
  for (std::unique_ptr<net::HttpServer> const& server : impl_->servers) {
    server->stopAccepting();
  }
}

}  // namespace limeramp::control
