#include "limeramp/harbour/office.h"

#include "limeramp/fairway/views.h"
#include "limeramp/harbour/desk.h"
#include "limeramp/harbour/runner.h"
#include "limeramp/hold/store.h"
#include "limeramp/rigging/chance.h"
#include "limeramp/rigging/mail.h"
#include "limeramp/rigging/ring.h"
#include "limeramp/signal/signal.h"

#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace limeramp::harbour {
namespace {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

struct Incoming {
  rigging::Request content;
  rigging::Responder respond;
};
struct DiskDone {
  std::uint64_t token = 0;
  bool good = false;
  std::string reason;
};

struct RetireAsked {};

using Letter = std::variant<Incoming, DiskDone, RunBack, Probed, RetireAsked>;

constexpr std::uint64_t probeAttempts = 1ULL << 61;
constexpr Ms retireMs{3000};
constexpr Ms eagerMs{1000};
constexpr Ms settleMs{2000};
constexpr char const* membersKey = "members";
constexpr std::size_t mostKeptMembers = 16;

struct Work {
  std::uint64_t token = 0;
  hold::Puts puts;
};

struct Salvaging {
  std::string from;
  rigging::Responder respond;
  Clock::time_point deadline;
  Clock::time_point nextAt;
};

struct Client {
  rigging::Responder respond;
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

absl::Status openStore(manifest::Settings const& settings, std::unique_ptr<hold::Store>& store) {
  hold::Shape shape;
  shape.fileBytes = settings.storeFileBytes;
  absl::StatusOr<std::unique_ptr<hold::Store>> opened = hold::Store::open(settings.data, shape);
  if (!opened.ok()) {
    return opened.status();
  }
  store = *std::move(opened);
  if (store->findings().tailCut) {
    signal::raise(signal::Event::diskTailCut, {{"folder", settings.data}});
  }
  if (store->findings().damaged) {
    signal::raise(signal::Event::diskDamaged, {{"folder", settings.data}, {"detail", store->findings().detail}});
    return store->setAside();
  }
  return absl::OkStatus();
}

absl::Status readIdentity(hold::Store& store, std::string& id, bool& mayFound, std::vector<std::string>& founders) {
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

}

struct Office::Impl {
  Impl(manifest::Settings const& settingsIn, OperatorDialect const& dialectIn, manifest::Language const& languageIn,
       std::unique_ptr<hold::Store> storeIn, std::string const& idIn, bool mayFoundIn, std::vector<std::string> const& foundersIn)
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
        council(pledge::policyFor(settingsIn.machineLosses)),
        plane(Policy{}, idIn, languageIn),
        views({}, cargo::Peer{idIn, settingsIn.advertise, settingsIn.zone, "harbourmaster", rigging::randomWord() >> 1, 0},
              settingsIn.seeds, rigging::randomWord()),
        runner(client, settingsIn.advertise, 0, [this](RunBack back) { inbox.push(std::move(back)); }) {}

  manifest::Settings settings;
  OperatorDialect dialect;
  std::string id;
  bool mayFound = false;
  std::vector<std::string> founders;
  std::unique_ptr<hold::Store> store;
  rigging::Network network;
  rigging::HttpClient client;
  rigging::Mail mail;
  rigging::Ring<Letter> inbox;
  rigging::Ring<Work> work;
  pledge::Council council;
  Plane plane;
  fairway::Views views;
  std::vector<std::unique_ptr<rigging::HttpServer>> servers;
  std::thread core;
  std::thread disk;
  Runner runner;
  std::unordered_map<std::uint64_t, Client> clients;
  std::uint64_t lastTicket = 0;
  bool fleetElsewhere = false;
  std::string keptMembers;
  Clock::time_point startedAt = Clock::now();
  bool draining = false;
  std::optional<Salvaging> salvaging;
  std::mutex retiredMutex;
  std::condition_variable retiredChanged;
  bool retired = false;

  void runCore();
  void runDisk();
  void on(Incoming& letter);
  void on(DiskDone& letter);
  void on(RunBack& letter) { runner.hear(Clock::now(), letter); }
  void on(RetireAsked&) {
    draining = true;
    signal::raise(signal::Event::drainBegan, {});
    driveCouncil(pledge::Retire{});
  }
  void on(Probed& letter) { drivePlane(letter); }
  void probe(Probe const& effect);
  void forget(Incoming& letter);
  void salvage(Incoming& letter);
  void endSalvage(std::string const& refusal);
  void pushSalvage(Clock::time_point now);
  void hearParcel(std::string const& body);
  void driveCouncil(pledge::Event const& event);
  void drivePlane(Event const& event);
  void send(std::string const& address, cargo::Message message);
  void sendAll(std::vector<fairway::Outgoing> const& sends);
  void reply(std::uint64_t ticket, rigging::Answer answer);
  void change(Incoming& letter);
  void read(Incoming& letter);
  void pass(Incoming& letter) { runner.take(Clock::now(), std::move(letter.content), std::move(letter.respond)); }
  bool listen(std::string const& address, rigging::HttpServer::Handler handler, std::string& error);
  void take(rigging::Request request, rigging::Responder respond);
  void tick();
  void recallMembers();
  void keepMembers(std::vector<pledge::Member> const& members);
  rigging::Answer status() const;
  rigging::Answer ready() const;
};

void Office::Impl::send(std::string const& address, cargo::Message message) {
  mail.send(address, cargo::seal({council.decided().fleet, id, settings.advertise, std::move(message)}));
}

void Office::Impl::sendAll(std::vector<fairway::Outgoing> const& sends) {
  for (fairway::Outgoing const& outgoing : sends) {
    send(outgoing.address, outgoing.message);
  }
}

void Office::Impl::reply(std::uint64_t ticket, rigging::Answer answer) {
  std::unordered_map<std::uint64_t, Client>::iterator const found = clients.find(ticket);
  if (found != clients.end()) {
    found->second.respond(std::move(answer));
    clients.erase(found);
  }
}

void Office::Impl::driveCouncil(pledge::Event const& event) {
  for (pledge::Effect const& effect : council.step(Clock::now(), event)) {
    if (pledge::Send const* const outgoing = std::get_if<pledge::Send>(&effect)) {
      send(outgoing->address, outgoing->message);
    } else if (pledge::Persist const* const persist = std::get_if<pledge::Persist>(&effect)) {
      if (!work.tryPush({persist->token, persist->puts})) {
        inbox.push(DiskDone{persist->token, false, "the disk's queue is full"});
      }
    } else if (pledge::Note const* const note = std::get_if<pledge::Note>(&effect)) {
      signal::raise(note->event, {{"about", note->about}});
    } else if (pledge::Committed const* const committed = std::get_if<pledge::Committed>(&effect)) {
      drivePlane(*committed);
    } else if (pledge::Doubtful const* const doubtful = std::get_if<pledge::Doubtful>(&effect)) {
      drivePlane(*doubtful);
    } else if (pledge::Active const* const active = std::get_if<pledge::Active>(&effect)) {
      drivePlane(*active);
    } else if (std::holds_alternative<pledge::Inactive>(effect)) {
      drivePlane(pledge::Inactive{});
    } else if (pledge::Salvaged const* const salvaged = std::get_if<pledge::Salvaged>(&effect)) {
      endSalvage(salvaged->refusal);
    }
  }
}

void Office::Impl::drivePlane(Event const& event) {
  for (Effect const& effect : plane.step(Clock::now(), council, event)) {
    if (pledge::Offer const* const offer = std::get_if<pledge::Offer>(&effect)) {
      driveCouncil(*offer);
    } else if (Decided const* const decided = std::get_if<Decided>(&effect)) {
      std::unordered_map<std::uint64_t, Client>::iterator const found = clients.find(decided->ticket);
      if (found != clients.end()) {
        if (decided->verdict == Verdict::refused || decided->verdict == Verdict::conflict) {
          signal::raise(signal::Event::configurationRefused, {{"change", found->second.change}});
        }
        reply(decided->ticket, answerOf(*decided, found->second.change));
      }
    } else if (ReadBack const* const back = std::get_if<ReadBack>(&effect)) {
      reply(back->ticket, answerOf(*back));
    } else if (Probe const* const wanted = std::get_if<Probe>(&effect)) {
      probe(*wanted);
    } else if (fairway::Outgoing const* const outgoing = std::get_if<fairway::Outgoing>(&effect)) {
      send(outgoing->address, outgoing->message);
    } else if (pledge::Note const* const note = std::get_if<pledge::Note>(&effect)) {
      signal::raise(note->event, {{"about", note->about}});
    }
  }
}

void Office::Impl::hearParcel(std::string const& body) {
  absl::StatusOr<cargo::Parcel> parcel = cargo::unseal(body);
  if (!parcel.ok()) {
    signal::raise(signal::Event::peerStrange, {{"reason", std::string(parcel.status().message())}});
    return;
  }
  std::string const& fleet = council.decided().fleet;
  if (!parcel->fleet.empty() && fleet.empty()) {
    fleetElsewhere = true;
  }
  if (!parcel->fleet.empty() && !fleet.empty() && parcel->fleet != fleet) {
    signal::raise(signal::Event::peerStrange, {{"fleet", parcel->fleet}, {"from", parcel->from}});
    return;
  }
  Clock::time_point const now = Clock::now();
  if (cargo::Shuffle const* const shuffle = std::get_if<cargo::Shuffle>(&parcel->message)) {
    sendAll(views.hear(now, parcel->from, parcel->address, *shuffle));
  } else if (cargo::Poll const* const poll = std::get_if<cargo::Poll>(&parcel->message)) {
    drivePlane(Polled{parcel->address, *poll});
  } else if (cargo::News const* const news = std::get_if<cargo::News>(&parcel->message)) {
    if (salvaging && parcel->address == salvaging->from && news->state && !parcel->fleet.empty()) {
      driveCouncil(pledge::Salvage{parcel->fleet, *news->state});
    }
  } else {
    driveCouncil(pledge::Received{parcel->from, parcel->address, std::move(parcel->message)});
  }
}

rigging::Answer Office::Impl::ready() const {
  bool const serving = !draining && !council.ailing() && council.decided().epoch > 0;
  std::string const reason = draining ? "draining" : council.ailing() ? "disk" : council.decided().epoch == 0 ? "not founded" : "";
  return plain(serving ? 200 : 503, "{\"ready\":" + std::string(serving ? "true" : "false") + ",\"reason\":" + json(reason) +
                                          ",\"node\":" + json(settings.node) + "}");
}

void Office::Impl::read(Incoming& letter) {
  if (!plane.active()) {
    pass(letter);
    return;
  }
  std::variant<TimePoint, rigging::Answer> deadline = readDeadline(letter.content, Clock::now());
  if (rigging::Answer* const wrong = std::get_if<rigging::Answer>(&deadline)) {
    letter.respond(std::move(*wrong));
    return;
  }
  std::uint64_t const ticket = ++lastTicket;
  clients.emplace(ticket, Client{std::move(letter.respond), ""});
  drivePlane(Read{ticket, std::get<TimePoint>(deadline)});
}

rigging::Answer Office::Impl::status() const {
  Clock::time_point const now = Clock::now();
  cargo::EpochRecord const& decided = council.decided();
  cargo::State const& state = council.state();
  std::string body = "{\"node\":" + json(settings.node) + ",\"role\":\"harbourmaster\",\"id\":" + json(id) +
                     ",\"zone\":" + json(settings.zone) + ",\"fleet\":" + json(decided.fleet) +
                     ",\"epoch\":" + std::to_string(decided.epoch) + ",\"primary\":" + json(decided.primary) +
                     ",\"primary_address\":" + json(council.primaryAddress()) + ",\"backups\":" + list(decided.backups) +
                     ",\"replica\":" + (decided.primary == id || std::count(decided.backups.begin(), decided.backups.end(), id) > 0 ? "true" : "false") + ",\"active\":" + (council.active() ? "true" : "false") +
                     ",\"sealed\":" + std::to_string(council.sealed()) +
                     ",\"ailing\":" + (council.ailing() ? "true" : "false") + ",\"state\":" +
                     json(manifest::Version{state.epoch, state.sequence}.text()) + ",\"version\":" +
                     json(manifest::Version{state.configurationEpoch, state.configurationSequence}.text()) +
                     ",\"pending\":" + std::to_string(plane.pending()) + ",\"witnesses\":[";
  bool first = true;
  for (std::string const& witness : decided.witnesses) {
    std::optional<Ms> const heard = witness == id ? Ms(0) : council.heardMs(now, witness);
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

void Office::Impl::change(Incoming& letter) {
  if (!plane.active()) {
    pass(letter);
    return;
  }
  Clock::time_point const now = Clock::now();
  std::variant<Change, rigging::Answer> read = readChange(letter.content, now, rigging::randomName());
  if (rigging::Answer* const wrong = std::get_if<rigging::Answer>(&read)) {
    letter.respond(std::move(*wrong));
    return;
  }
  Change& wanted = std::get<Change>(read);
  wanted.ticket = ++lastTicket;
  clients.emplace(wanted.ticket, Client{std::move(letter.respond), wanted.id});
  drivePlane(wanted);
}

void Office::Impl::forget(Incoming& letter) {
  Clock::time_point const now = Clock::now();
  std::variant<Change, rigging::Answer> read = readChange(letter.content, now, rigging::randomName());
  std::variant<std::vector<std::string>, rigging::Answer> nodes = readForget(letter.content.body);
  for (rigging::Answer* const wrong : {std::get_if<rigging::Answer>(&read), std::get_if<rigging::Answer>(&nodes)}) {
    if (wrong != nullptr) {
      letter.respond(std::move(*wrong));
      return;
    }
  }
  Change const& wanted = std::get<Change>(read);
  if (!plane.active()) {
    pass(letter);
    return;
  }
  std::uint64_t const ticket = ++lastTicket;
  clients.emplace(ticket, Client{std::move(letter.respond), wanted.id});
  drivePlane(Forget{ticket, std::get<std::vector<std::string>>(nodes), wanted.deadline});
}

void Office::Impl::salvage(Incoming& letter) {
  std::variant<std::string, rigging::Answer> from = readSalvage(letter.content.body);
  if (rigging::Answer* const wrong = std::get_if<rigging::Answer>(&from)) {
    letter.respond(std::move(*wrong));
    return;
  }
  if (salvaging) {
    letter.respond(plain(409, "{\"outcome\":\"conflict\",\"reason\":\"a salvage is under way\"}"));
    return;
  }
  Clock::time_point const now = Clock::now();
  salvaging = Salvaging{std::get<std::string>(from), std::move(letter.respond), now + Ms(5000), now};
  pushSalvage(now);
}

void Office::Impl::pushSalvage(Clock::time_point now) {
  if (salvaging && now >= salvaging->deadline) {
    endSalvage("no configuration came from " + salvaging->from);
  } else if (salvaging && now >= salvaging->nextAt) {
    salvaging->nextAt = now + Ms(300);
    cargo::Poll poll;
    poll.token = 1;
    poll.self.address = settings.advertise;
    send(salvaging->from, std::move(poll));
  }
}

void Office::Impl::endSalvage(std::string const& refusal) {
  if (!salvaging) {
    return;
  }
  rigging::Responder const respond = std::move(salvaging->respond);
  salvaging.reset();
  if (!refusal.empty()) {
    respond(plain(409, "{\"outcome\":\"refused\",\"reason\":" + json(refusal) + "}"));
    return;
  }
  signal::raise(signal::Event::salvaged, {{"epoch", std::to_string(council.decided().epoch)}});
  respond(plain(200, "{\"outcome\":\"taken\",\"epoch\":" + std::to_string(council.decided().epoch) + ",\"state\":" +
                         json(manifest::Version{council.state().epoch, council.state().sequence}.text()) + "}"));
}

void Office::Impl::probe(Probe const& effect) {
  std::uint64_t const token = effect.token;
  std::string const node = effect.node;
  rigging::Request request;
  request.method = "GET";
  request.target = "/limeramp/ready";
  client.begin(probeAttempts + token, rigging::Address::parse(effect.address).value_or(rigging::Address{}), std::move(request),
               Clock::now() + Ms(500), [this, token, node](rigging::Exchange const& exchange) {
                 inbox.push(Probed{token, provesGone(exchange, node)});
               });
}

void Office::Impl::on(Incoming& letter) {
  std::string const& target = letter.content.target;
  std::string const& method = letter.content.method;
  if (target == "/limeramp/inner" && method == "POST") {
    hearParcel(letter.content.body);
    letter.respond({204, {}, ""});
  } else if (errandOf(letter.content) == Errand::change) {
    change(letter);
  } else if (errandOf(letter.content) == Errand::forget) {
    forget(letter);
  } else if (errandOf(letter.content) == Errand::read) {
    read(letter);
  } else if (target == "/limeramp/salvage" && method == "POST") {
    salvage(letter);
  } else if (target == "/limeramp/ready" && method == "GET") {
    letter.respond(ready());
  } else if (target == "/limeramp/status" && method == "GET") {
    letter.respond(status());
  } else if (target == "/limeramp/drain" && method == "POST") {
    RetireAsked asked;
    on(asked);
    letter.respond(plain(200, "{\"draining\":true}"));
  } else {
    letter.respond(plain(404, "{\"reason\":\"no such page\"}"));
  }
}

void Office::Impl::on(DiskDone& letter) {
  if (!letter.good) {
    signal::raise(signal::Event::diskFailed, {{"reason", letter.reason}});
  }
  driveCouncil(pledge::Persisted{letter.token, letter.good});
}

void Office::Impl::recallMembers() {
  if (store == nullptr || !store->values().contains(membersKey)) {
    return;
  }
  absl::StatusOr<cargo::Shuffle> const stored = cargo::unpack<cargo::Shuffle>(store->values().at(membersKey));
  pledge::Known known;
  if (stored.ok() && council.decided().epoch > 0) {
    for (cargo::Peer const& peer : stored->peers) {
      known.members.push_back({peer.node, peer.address, peer.zone});
    }
    driveCouncil(known);
  }
}

void Office::Impl::keepMembers(std::vector<pledge::Member> const& members) {
  cargo::Shuffle kept;
  for (pledge::Member const& member : members) {
    if (kept.peers.size() < mostKeptMembers) {
      kept.peers.push_back({member.id, member.address, member.zone, "", 0, 0});
    }
  }
  std::string const packed = cargo::pack(kept);
  if (store != nullptr && !members.empty() && packed != keptMembers && work.tryPush({0, {{membersKey, packed}}})) {
    keptMembers = packed;
  }
}

void Office::Impl::tick() {
  Clock::time_point const now = Clock::now();
  sendAll(views.tick(now, council.decided().epoch == 0 || now - startedAt < eagerMs));
  pledge::Known known;
  for (cargo::Peer const& peer : views.peers(now)) {
    if (peer.role == "harbourmaster") {
      known.members.push_back({peer.node, peer.address, peer.zone});
    }
  }
  known.mayFound = mayFound && !fleetElsewhere && views.mayFound(now);
  if (now - startedAt > settleMs) {
    keepMembers(known.members);
  }
  driveCouncil(known);
  driveCouncil(pledge::Tick{});
  drivePlane(Tick{});
  pushSalvage(now);
  if (draining && council.retired()) {
    std::unique_lock<std::mutex> const lock(retiredMutex);
    retired = true;
    retiredChanged.notify_all();
  }
  runner.tick(now, council.decided().epoch == 0 ? "" : council.primaryAddress());
}

void Office::Impl::runCore() {
  pledge::Start start{{id, settings.advertise, settings.zone}, {}, rigging::randomWord(), store == nullptr, founders};
  if (store != nullptr) {
    start.stored = store->values();
  }
  driveCouncil(start);
  recallMembers();
  disk = std::thread([this] { runDisk(); });
  Clock::time_point nextTick = Clock::now();
  while (!inbox.closed()) {
    std::optional<Letter> letter = inbox.popUntil(nextTick);
    if (letter) {
      std::visit([this](auto& concrete) { on(concrete); }, *letter);
    }
    Clock::time_point const now = Clock::now();
    if (now >= nextTick) {
      tick();
      nextTick = now + Ms(20);
    }
  }
}

void Office::Impl::runDisk() {
  while (std::optional<Work> job = work.pop()) {
    absl::Status const status = store == nullptr ? absl::OkStatus() : store->put(job->puts);
    inbox.push(DiskDone{job->token, status.ok(), std::string(status.message())});
  }
}

Office::Office() = default;

bool Office::Impl::listen(std::string const& address, rigging::HttpServer::Handler handler, std::string& error) {
  rigging::ServerBounds bounds;
  bounds.maxConnections = settings.maxConnections;
  bounds.maxBodyBytes = 4 << 20;
  std::optional<rigging::Address> const parsed = rigging::Address::parse(address);
  if (!parsed) {
    error = "'" + address + "' is no IP number and port";
    return false;
  }
  std::unique_ptr<rigging::HttpServer> server = rigging::HttpServer::listen(network, *parsed, bounds, std::move(handler), error);
  if (server == nullptr) {
    return false;
  }
  signal::raise(signal::Event::listening, {{"address", server->address().text()}, {"id", id}});
  servers.push_back(std::move(server));
  return true;
}

void Office::Impl::take(rigging::Request request, rigging::Responder respond) {
  if (!inbox.tryPush(Incoming{std::move(request), respond}, 4096)) {
    respond(plain(503, "{\"outcome\":\"not_run\",\"reason\":\"overloaded\"}"));
  }
}

std::unique_ptr<Office> Office::start(manifest::Settings const& settings, std::string& error,
                                      OperatorDialect const& dialect, manifest::Language const& language) {
  std::unique_ptr<hold::Store> store;
  absl::Status opened = settings.data.empty() ? absl::OkStatus() : openStore(settings, store);
  char mark[20];
  std::snprintf(mark, sizeof mark, "%08llx", static_cast<unsigned long long>(rigging::randomWord() & 0xffffffff));
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
  std::unique_ptr<Office> office(new Office());
  office->impl_ = std::make_unique<Impl>(settings, dialect, language, std::move(store), id, mayFound, founders);
  Impl& impl = *office->impl_;
  Serve const own = [&impl](rigging::Request request, rigging::Responder respond) {
    impl.take(std::move(request), std::move(respond));
  };
  bool listens = impl.listen(settings.listen, own, error);
  for (std::string const& address : settings.operatorListens) {
    listens = listens && impl.listen(address, [&impl, own](rigging::Request asked, rigging::Responder respond) {
      serveOperator(impl.dialect, std::move(asked), std::move(respond), own);
    }, error);
  }
  if (!listens) {
    return nullptr;
  }
  impl.core = std::thread([&impl] { impl.runCore(); });
  return office;
}

Office::~Office() {
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

void Office::drain() {
  impl_->inbox.push(RetireAsked{});
  std::unique_lock<std::mutex> lock(impl_->retiredMutex);
  Ms const waitMs = std::min(retireMs, impl_->settings.graceMs / 2);
  impl_->retiredChanged.wait_for(lock, waitMs, [this] { return impl_->retired; });
  for (std::unique_ptr<rigging::HttpServer> const& server : impl_->servers) {
    server->stopAccepting();
  }
}

}
