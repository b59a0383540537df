#include "limeramp/quayside/front.h"

#include "limeramp/berth/desk.h"
#include "limeramp/fairway/courier.h"
#include "limeramp/harbour/desk.h"
#include "limeramp/harbour/runner.h"
#include "limeramp/harbour/zones.h"
#include "limeramp/logbook/logbook.h"
#include "limeramp/quayside/plane.h"
#include "limeramp/rigging/chance.h"
#include "limeramp/rigging/mail.h"
#include "limeramp/signal/signal.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <thread>
#include <unordered_map>

namespace limeramp::quayside {
namespace {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

constexpr std::size_t mostLetters = 16'384;
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
  rigging::Request content;
  rigging::Responder respond;
  bool caller = false;
};
struct ListRead {
  rigging::Exchange exchange;
};
struct DrainAsked {};
struct LastWord {};

using Letter = std::variant<Incoming, ListRead, harbour::RunBack, DrainAsked, LastWord, quayside::Event>;

std::string json(std::string const& text) { return picojson::value(text).serialize(); }

Unserved unservedOf(int status) {
  return status == 413   ? Unserved::tooLong
         : status == 431 ? Unserved::headTooLong
         : status == 408 ? Unserved::tooSlow
                         : Unserved::malformed;
}

std::string nameOf(fairway::Standing standing) {
  switch (standing) {
    case fairway::Standing::unknown:
      return "unknown";
    case fairway::Standing::unlisted:
      return "unlisted";
    case fairway::Standing::stale:
      return "stale";
    case fairway::Standing::current:
      return "current";
    case fairway::Standing::upheld:
      return "upheld";
  }
  return "unknown";
}

std::vector<cargo::HeaderLine> toLines(rigging::Headers const& headers) {
  std::vector<cargo::HeaderLine> out;
  for (std::pair<std::string, std::string> const& header : headers) {
    out.push_back({header.first, header.second});
  }
  return out;
}

rigging::Headers fromLines(std::vector<cargo::HeaderLine> const& lines) {
  rigging::Headers out;
  for (cargo::HeaderLine const& line : lines) {
    out.emplace_back(line.key, line.value);
  }
  return out;
}

}

struct Front::Impl {
  Impl(manifest::Settings const& settingsIn, Dialect dialectIn, harbour::OperatorDialect operatorsIn)
      : settings(settingsIn),
        dialect(std::move(dialectIn)),
        operators(std::move(operatorsIn)),
        client(network, clientBounds()),
        mail(network, settingsIn.advertise),
        mill(settingsIn.hands),
        boot(rigging::randomWord() >> 1),
        plane(Self{settingsIn.node, settingsIn.advertise, settingsIn.zone, boot}, policyOf(settingsIn), dialect),
        views({}, cargo::Peer{settingsIn.node, settingsIn.advertise, settingsIn.zone, "quay", boot, 0}, settingsIn.seeds,
              rigging::randomWord()),
        courier({}, cargo::Follower{settingsIn.node, settingsIn.advertise, settingsIn.zone, 0, 0}, boot, rigging::randomWord()),
        desk(deskPolicyOf(settingsIn), settingsIn.node, settingsIn.advertise, settingsIn.zone),
        runner(client, settingsIn.advertise, relayAttempts, [this](harbour::RunBack back) { deliver(std::move(back)); }) {}

  static shoal::Policy policyOf(manifest::Settings const& settings) {
    shoal::Policy policy;
    policy.maxRequests = settings.maxRequests;
    policy.rerun = settings.rerun;
    return policy;
  }

  static rigging::ClientBounds clientBounds() {
    rigging::ClientBounds bounds;
    bounds.connectMs = connectMs;
    return bounds;
  }

  static berth::DeskPolicy deskPolicyOf(manifest::Settings const& settings) {
    berth::DeskPolicy policy;
    policy.listMs = settings.listMs;
    policy.pageMs = settings.listPageMs;
    return policy;
  }

  manifest::Settings settings;
  Dialect dialect;
  harbour::OperatorDialect operators;
  rigging::Network network;
  rigging::HttpClient client;
  rigging::Mail mail;
  shoal::Mill mill;
  std::deque<Letter> letters;
  bool working = false;
  Clock::time_point nextTick = Clock::now();
  Clock::time_point armedFor = Clock::time_point::max();
  std::uint64_t boot;
  Plane plane;
  fairway::Views views;
  fairway::Courier courier;
  berth::Desk desk;
  harbour::Runner runner;
  logbook::Clerk clerk;
  std::vector<std::unique_ptr<rigging::HttpServer>> listeners;
  std::vector<rigging::HttpServer*> callers;
  rigging::Network::TimerId alarm = 0;
  std::unordered_map<std::uint64_t, rigging::Responder> responders;
  std::uint64_t lastRequest = 0;
  std::string fleet;
  std::set<std::string> services;
  std::map<std::string, rigging::Allowance> allowances;
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

  void deliver(Letter letter);
  void work();
  void arm();
  void wakeUp();
  bool listen(std::vector<std::string> const& addresses, std::size_t maxBodyBytes, bool later,
              rigging::HttpServer::Handler handler, std::string& error);
  void boundCallers();
  void on(LastWord&);
  void on(Incoming& letter);
  void on(ListRead& letter);
  void on(harbour::RunBack& letter) { runner.hear(Clock::now(), letter); }
  void on(DrainAsked&) {
    draining = true;
    for (std::unique_ptr<rigging::HttpServer> const& server : listeners) {
      server->drain();
    }
    courier.leave();
    if (courier.state()) {
      place();
    }
    signal::raise(signal::Event::drainBegan, {});
  }
  void on(quayside::Event& event) { drive(event); }
  void drive(quayside::Event const& event);
  void carry(Reply const& effect);
  void carry(SendOut const& effect);
  void carry(CancelOut const& effect) { client.cancel(effect.attempt); }
  void carry(Grind const& effect);
  void carry(Merge const& effect);
  void carry(shoal::Note const& note) {
    signal::raise(note.event, {{"service", note.service}, {"about", note.server}});
  }
  void hold(int change);
  void admit(rigging::Request content, rigging::Responder respond, bool passed, std::optional<Ms> remainingMs);
  void takeCarry(Incoming& letter);
  void operate(Incoming& letter);
  void relayChange(Incoming& letter);
  void hearParcel(std::string const& body);
  void send(std::string const& address, cargo::Message message);
  void sendAll(std::vector<fairway::Outgoing> const& sends);
  void follow(fairway::CourierStep const& step);
  void enforce();
  void place();
  void spread(std::string const& service);
  void share(std::string const& address, std::size_t allowed);
  void follow(berth::DeskStep const& step);
  void readList(std::string const& page);
  void tick();
  void refreshReadiness(Clock::time_point now);
  std::string whyNotReady(Clock::time_point now) const;
  rigging::Answer ready() const;
  rigging::Answer status() const;
  rigging::Answer metrics() const;
  std::vector<logbook::Sheet> sheets() const;
  void query(Incoming& letter);
  rigging::Answer current() const;
};

void Front::Impl::hold(int change) {
  std::unique_lock<std::mutex> const lock(heldMutex);
  held += static_cast<std::size_t>(change);
  heldChanged.notify_all();
}

void Front::Impl::drive(quayside::Event const& event) {
  for (Effect const& effect : plane.step(Clock::now(), event)) {
    std::visit([this](auto const& concrete) { carry(concrete); }, effect);
  }
}

void Front::Impl::carry(Reply const& effect) {
  std::unordered_map<std::uint64_t, rigging::Responder>::iterator const found = responders.find(effect.request);
  if (found != responders.end()) {
    found->second(effect.answer);
    responders.erase(found);
    hold(-1);
  }
}

void Front::Impl::carry(SendOut const& effect) {
  std::optional<rigging::Address> const address = rigging::Address::parse(effect.server);
  std::uint64_t const attempt = effect.attempt;
  bool const carried = effect.carried;
  rigging::Request content = effect.content;
  if (carried) {
    cargo::Carry parcel;
    parcel.remainingMs = static_cast<std::uint64_t>(std::max<long>(1, effect.remainingMs.count()));
    parcel.method = content.method;
    parcel.target = content.target;
    parcel.headers = toLines(content.headers);
    parcel.body = std::move(content.body);
    content = {"POST", "/limeramp/carry", {{"content-type", "avro/binary"}, {"limeramp-from", settings.advertise}}, cargo::enclose(cargo::pack(parcel)), ""};
  }
  client.begin(attempt, address.value_or(rigging::Address{}), std::move(content), effect.deadline,
               [this, attempt, carried](rigging::Exchange exchange) {
                 if (carried && exchange.answer) {
                   absl::StatusOr<cargo::Carried> const back =
                       cargo::unpack<cargo::Carried>(cargo::disclose(exchange.answer->body).value_or(""));
                   if (exchange.answer->status == 200 && back.ok() && back->status >= 200 && back->status <= 599) {
                     exchange.answer = rigging::Answer{static_cast<int>(back->status), fromLines(back->headers), back->body};
                   } else {
                     exchange.answer.reset();
                     exchange.verdict = tally::Verdict::mayHaveRun;
                   }
                 }
                 deliver(quayside::Event(Exchanged{attempt, std::move(exchange)}));
               });
}

void Front::Impl::carry(Grind const& effect) {
  std::uint64_t const attempt = effect.attempt;
  std::optional<double> const load = effect.load;
  mill.read(effect.body, effect.expected, effect.result_size, [this, attempt, load](absl::StatusOr<shoal::Part> part) {
    deliver(quayside::Event(Ground{attempt, std::move(part), load}));
  });
}

void Front::Impl::carry(Merge const& effect) {
  std::uint64_t const request = effect.request;
  mill.merge(effect.parts, effect.result_size, [this, request](std::vector<std::string> records) {
    deliver(quayside::Event(Merged{request, std::move(records)}));
  });
}

void Front::Impl::send(std::string const& address, cargo::Message message) {
  mail.send(address, cargo::seal({fleet, settings.node, settings.advertise, std::move(message)}));
}

void Front::Impl::sendAll(std::vector<fairway::Outgoing> const& sends) {
  for (fairway::Outgoing const& outgoing : sends) {
    send(outgoing.address, outgoing.message);
  }
}

void Front::Impl::hearParcel(std::string const& body) {
  absl::StatusOr<cargo::Parcel> const parcel = cargo::unseal(body);
  if (!parcel.ok()) {
    signal::raise(signal::Event::peerStrange, {{"reason", std::string(parcel.status().message())}});
    return;
  }
  if (!fleet.empty() && !parcel->fleet.empty() && parcel->fleet != fleet) {
    signal::raise(signal::Event::peerStrange, {{"fleet", parcel->fleet}, {"from", parcel->from}});
    return;
  }
  Clock::time_point const now = Clock::now();
  if (cargo::Shuffle const* const shuffle = std::get_if<cargo::Shuffle>(&parcel->message)) {
    sendAll(views.hear(now, parcel->from, parcel->address, *shuffle));
  } else if (cargo::Poll const* const poll = std::get_if<cargo::Poll>(&parcel->message)) {
    follow(courier.hear(now, parcel->address, *poll));
  } else if (cargo::News const* const news = std::get_if<cargo::News>(&parcel->message)) {
    if (fleet.empty() && news->state) {
      fleet = parcel->fleet;
    }
    follow(courier.hear(now, parcel->address, *news));
  } else if (cargo::TablePoll const* const tablePoll = std::get_if<cargo::TablePoll>(&parcel->message)) {
    follow(desk.hear(now, parcel->address, *tablePoll));
  } else if (cargo::TableNews const* const tableNews = std::get_if<cargo::TableNews>(&parcel->message)) {
    follow(desk.hear(now, parcel->address, *tableNews));
  }
}

void Front::Impl::follow(fairway::CourierStep const& step) {
  sendAll(step.sends);
  if (step.changed) {
    enforce();
  }
}

void Front::Impl::enforce() {
  cargo::State const& state = *courier.state();
  place();
  manifest::Version const version{state.configurationEpoch, state.configurationSequence};
  if (version == manifest::Version{} || (plane.snapshot() != nullptr && plane.snapshot()->version >= version)) {
    for (std::string const& service : services) {
      spread(service);
    }
    return;
  }
  manifest::Checked checked = dialect.language.check(state.document);
  unreadable = !checked.configuration;
  if (unreadable) {
    signal::raise(signal::Event::configurationUnreadable,
                  {{"version", version.text()}, {"path", checked.problems.front().path}});
    return;
  }
  std::shared_ptr<manifest::Snapshot> const snapshot = std::make_shared<manifest::Snapshot>();
  snapshot->version = version;
  snapshot->text = state.document;
  snapshot->configuration = *std::move(checked.configuration);
  std::set<std::string> next;
  for (std::pair<std::string const, manifest::Service> const& entry : snapshot->configuration.services) {
    next.insert(entry.first);
  }
  drive(InForce{snapshot});
  boundCallers();
  for (std::string const& service : services) {
    if (!next.contains(service)) {
      drive(Tables{shoal::Servers{service, {}}});
    }
  }
  services = std::move(next);
  for (std::string const& service : services) {
    spread(service);
  }
  place();
  signal::raise(signal::Event::configurationInForce, {{"version", version.text()}});
}

void Front::Impl::place() {
  cargo::State const& state = *courier.state();
  shoal::Place own;
  own.zone = settings.zone;
  own.budgetRatio = settings.extraRatio;
  own.fronts = std::max<std::size_t>(1, state.roster.size());
  std::uint64_t const slots = std::max<std::uint64_t>(leastBudgetSlots, (state.roster.size() * 5 / 4 + 9) / 10 * 10);
  std::size_t index = 0;
  for (cargo::RosterEntry const& entry : state.roster) {
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
  for (manifest::Cell const& cell : plane.snapshot()->configuration.cells) {
    Owners owners{cell.name, {}};
    for (cargo::RosterEntry const& entry : state.roster) {
      if (cell.nodes.contains(entry.node) && entry.node != settings.node) {
        owners.addresses.push_back(entry.address);
      }
    }
    drive(owners);
  }
}

void Front::Impl::share(std::string const& address, std::size_t allowed) {
  std::optional<rigging::Address> const server = rigging::Address::parse(address);
  if (allowed == 0 || !server) {
    return;
  }
  double const share = static_cast<double>(allowed) * connectionShare /
                       static_cast<double>(std::max<std::size_t>(1, courier.state()->roster.size()));
  rigging::Allowance const allowance{std::max<std::size_t>(leastConnections, static_cast<std::size_t>(share)),
                                     share < leastConnections ? scarceIdleMs : rigging::Allowance{}.idleMs};
  rigging::Allowance& known = allowances[address];
  if (known.most != allowance.most || known.idleMs != allowance.idleMs) {
    if (allowances.size() > mostAllowances) {
      allowances.clear();
    }
    allowances[address] = allowance;
    client.allow(*server, allowance);
  }
}

void Front::Impl::spread(std::string const& service) {
  if (plane.snapshot() == nullptr || !services.contains(service)) {
    return;
  }
  manifest::Configuration const& configuration = plane.snapshot()->configuration;
  std::set<std::string> const emptied = harbour::emptiedZones(*courier.state(), configuration);
  Clock::time_point const now = Clock::now();
  shoal::Servers servers{service, desk.rows(now, service)};
  for (shoal::ServerRow& row : servers.rows) {
    row.leaving = row.leaving || emptied.contains(row.zone);
    row.coldPerSecond = configuration.services.at(service).coldPerSecond;
    share(row.address, configuration.services.at(service).maxConnections);
    if (row.slowStartMs.count() == 0) {
      row.slowStartMs = configuration.services.at(service).slowStartMs;
    }
  }
  drive(Tables{std::move(servers)});
}

void Front::Impl::follow(berth::DeskStep const& step) {
  sendAll(step.sends);
  for (std::string const& service : step.changed) {
    spread(service);
  }
  if (step.emptyHeld && listTrouble != "empty") {
    listTrouble = "empty";
    signal::raise(signal::Event::listEmptyHeld, {{"platform", settings.platform}});
  }
  if (step.readList) {
    readList(step.page);
  }
}

void Front::Impl::readList(std::string const& page) {
  client.begin(listAttempt, rigging::Address::parse(settings.platform).value_or(rigging::Address{}), dialect.listRequest(page),
               Clock::now() + Ms(1000), [this](rigging::Exchange exchange) { deliver(ListRead{std::move(exchange)}); });
}

void Front::Impl::on(ListRead& letter) {
  std::string reason = letter.exchange.reason;
  bool overRate = false;
  if (letter.exchange.answer) {
    reason = "status " + std::to_string(letter.exchange.answer->status);
    overRate = letter.exchange.answer->status == 429;
  }
  if (letter.exchange.answer && letter.exchange.answer->status == 200) {
    absl::StatusOr<berth::List> const list = dialect.readList(letter.exchange.answer->body);
    if (list.ok()) {
      if (list->dropped != droppedRows) {
        for (std::string const& dropped : list->dropped) {
          signal::raise(signal::Event::listRowDropped, {{"row", dropped}});
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
    signal::raise(signal::Event::listUnreachable, {{"platform", settings.platform}, {"reason", reason}});
  }
}

std::string Front::Impl::whyNotReady(Clock::time_point now) const {
  fairway::Footing const footing = courier.footing(now);
  if (draining) {
    return "draining";
  }
  if (footing.standing != fairway::Standing::current && footing.standing != fairway::Standing::upheld) {
    return "configuration " + nameOf(footing.standing);
  }
  if (unreadable) {
    return "configuration unreadable";
  }
  if (plane.snapshot() == nullptr) {
    return "no configuration yet";
  }
  if (plane.snapshot()->configuration.emptiedZones.contains(settings.zone)) {
    return "zone emptied";
  }
  for (std::string const& service : services) {
    if (!desk.ageMs(now, service) && now - startedAt < Ms(5000)) {
      return "servers of " + service + " unknown";
    }
  }
  return "";
}

rigging::Answer Front::Impl::ready() const {
  std::string const why = whyNotReady(Clock::now());
  return harbour::plain(why.empty() ? 200 : 503,
                        std::string("{\"ready\":") + (why.empty() ? "true" : "false") + ",\"reason\":" + json(why) +
                            ",\"node\":" + json(settings.node) + "}");
}

rigging::Answer Front::Impl::current() const {
  fairway::Standing const standing = courier.footing(Clock::now()).standing;
  if (standing != fairway::Standing::current && standing != fairway::Standing::upheld) {
    return harbour::plain(503, "{\"reason\":\"configuration " + nameOf(standing) + "\"}");
  }
  manifest::SnapshotPtr const snapshot = plane.snapshot();
  rigging::Answer answer = harbour::plain(200, snapshot == nullptr ? "{}" : snapshot->text);
  answer.headers.emplace_back("limeramp-version", (snapshot == nullptr ? manifest::Version{} : snapshot->version).text());
  return answer;
}

rigging::Answer Front::Impl::status() const {
  Clock::time_point const now = Clock::now();
  fairway::Footing const footing = courier.footing(now);
  std::string const why = whyNotReady(now);
  cargo::State const state = courier.state().value_or(cargo::State{});
  std::string body =
      "{\"node\":" + json(settings.node) + ",\"role\":\"quay\",\"zone\":" + json(settings.zone) + ",\"fleet\":" + json(fleet) +
      ",\"ready\":" + (why.empty() ? "true" : "false") + ",\"reason\":" + json(why) + ",\"standing\":" +
      json(nameOf(footing.standing)) + ",\"age_ms\":" + (footing.ageMs == Ms::max() ? "null" : std::to_string(footing.ageMs.count())) +
      ",\"state\":" + json(manifest::Version{state.epoch, state.sequence}.text()) + ",\"version\":" +
      json((plane.snapshot() == nullptr ? manifest::Version{} : plane.snapshot()->version).text()) +
      ",\"primary_address\":" + json(courier.primaryAddress()) + ",\"roster\":" + std::to_string(state.roster.size()) +
      ",\"requests\":" + std::to_string(plane.requests()) + ",\"peers\":[";
  bool first = true;
  for (cargo::Peer const& peer : views.peers(now)) {
    body += std::string(first ? "" : ",") + "{\"node\":" + json(peer.node) + ",\"address\":" + json(peer.address) +
            ",\"zone\":" + json(peer.zone) + ",\"role\":" + json(peer.role) + ",\"age_ms\":" + std::to_string(peer.ageMs) + "}";
    first = false;
  }
  body += "],\"servers\":[";
  first = true;
  for (shoal::ServerView const& entry : plane.servers(now)) {
    char numbers[96];
    std::snprintf(numbers, sizeof numbers, ",\"latency_ms\":%.2f,\"load\":%.3f,\"in_flight\":%zu", entry.latencyMs,
                  entry.load, entry.inFlight);
    body += std::string(first ? "" : ",") + "{\"service\":" + json(entry.service) + ",\"address\":" + json(entry.address) +
            ",\"zone\":" + json(entry.zone) + ",\"down\":" + (entry.down ? "true" : "false") + ",\"leaving\":" +
            (entry.leaving ? "true" : "false") + ",\"fresh\":" + (entry.fresh ? "true" : "false") + numbers + "}";
    first = false;
  }
  return harbour::plain(200, body + "]}");
}

rigging::Answer Front::Impl::metrics() const {
  shoal::Counters const counters = plane.counters();
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
  body += std::string("# TYPE limeramp_ready gauge\nlimeramp_ready ") + (whyNotReady(Clock::now()).empty() ? "1" : "0") + "\n";
  return {200, {{"content-type", "text/plain; version=0.0.4"}}, body};
}

std::vector<logbook::Sheet> Front::Impl::sheets() const {
  Clock::time_point const now = Clock::now();
  cargo::State const state = courier.state().value_or(cargo::State{});
  logbook::Sheet nodes{"nodes", {"node", "address", "zone", "slot", "heard_ms"}, {}};
  std::vector<cargo::Peer> const peers = views.peers(now);
  for (cargo::RosterEntry const& entry : state.roster) {
    std::int64_t heardMs = entry.node == settings.node ? 0 : -1;
    for (cargo::Peer const& peer : peers) {
      heardMs = peer.node == entry.node ? static_cast<std::int64_t>(peer.ageMs) : heardMs;
    }
    nodes.rows.push_back({entry.node, entry.address, entry.zone, static_cast<std::int64_t>(entry.slot), heardMs});
  }
  logbook::Sheet control{"harbourmasters", {"id", "address", "zone", "heard_ms"}, {}};
  for (cargo::Peer const& peer : peers) {
    if (peer.role == "harbourmaster") {
      control.rows.push_back({peer.node, peer.address, peer.zone, static_cast<std::int64_t>(peer.ageMs)});
    }
  }
  logbook::Sheet servers{"servers", {"service", "address", "zone", "in_flight", "latency_ms", "down", "leaving", "fresh", "load"}, {}};
  for (shoal::ServerView const& view : plane.servers(now)) {
    servers.rows.push_back({view.service, view.address, view.zone, static_cast<std::int64_t>(view.inFlight), view.latencyMs,
                            static_cast<std::int64_t>(view.down), static_cast<std::int64_t>(view.leaving),
                            static_cast<std::int64_t>(view.fresh), view.load});
  }
  logbook::Sheet entries{"entries", {"name", "kind", "tenant", "prefix", "deadline_ms", "max_attempts"}, {}};
  logbook::Sheet shards{"shards", {"search", "service", "cut"}, {}};
  if (manifest::SnapshotPtr const snapshot = plane.snapshot()) {
    for (manifest::Search const& search : snapshot->configuration.searches) {
      entries.rows.push_back({search.name, std::string("search"), search.tenant, search.prefix, search.deadlineMs.count(),
                              static_cast<std::int64_t>(search.max_attempts)});
      for (manifest::Shard const& shard : search.shards) {
        shards.rows.push_back({search.name, shard.service, shard.cut});
      }
    }
    for (manifest::Route const& route : snapshot->configuration.routes) {
      entries.rows.push_back({route.name, std::string("route"), route.tenant, route.prefix, route.deadlineMs.count(),
                              static_cast<std::int64_t>(route.max_attempts)});
    }
  }
  return {std::move(nodes), std::move(control), std::move(servers), std::move(entries), std::move(shards)};
}

void Front::Impl::query(Incoming& letter) {
  rigging::Responder const respond = letter.respond;
  bool const taken = clerk.ask(sheets(), letter.content.body, [respond](absl::StatusOr<std::string> const& answer) {
    respond(answer.ok() ? harbour::plain(200, *answer)
                        : harbour::plain(400, "{\"reason\":" + json(std::string(answer.status().message())) + "}"));
  });
  if (!taken) {
    respond(harbour::plain(503, "{\"reason\":\"too many queries wait\"}"));
  }
}

void Front::Impl::relayChange(Incoming& letter) {
  runner.take(Clock::now(), std::move(letter.content), std::move(letter.respond));
}

void Front::Impl::operate(Incoming& letter) {
  std::string const& target = letter.content.target;
  std::string const& method = letter.content.method;
  if (target == "/limeramp/inner" && method == "POST") {
    hearParcel(letter.content.body);
    letter.respond({204, {}, ""});
  } else if (target == "/limeramp/carry" && method == "POST") {
    takeCarry(letter);
  } else if (harbour::errandOf(letter.content) == harbour::Errand::read) {
    letter.respond(current());
  } else if (harbour::errandOf(letter.content) != harbour::Errand::none) {
    relayChange(letter);
  } else if (target == "/limeramp/ready" && method == "GET") {
    letter.respond(ready());
  } else if (target == "/limeramp/status" && method == "GET") {
    letter.respond(status());
  } else if (target == "/limeramp/metrics" && method == "GET") {
    letter.respond(metrics());
  } else if (target == "/limeramp/query" && method == "POST") {
    query(letter);
  } else if (target == "/limeramp/drain" && method == "POST") {
    DrainAsked asked;
    on(asked);
    letter.respond(harbour::plain(200, "{\"draining\":true}"));
  } else {
    letter.respond(harbour::plain(404, "{\"reason\":\"no such page\"}"));
  }
}

void Front::Impl::takeCarry(Incoming& letter) {
  absl::StatusOr<cargo::Carry> const parcel = cargo::unpack<cargo::Carry>(cargo::disclose(letter.content.body).value_or(""));
  if (!parcel.ok()) {
    letter.respond(harbour::plain(400, "{\"reason\":\"not a carried request\"}"));
    return;
  }
  rigging::Request content{parcel->method, parcel->target, fromLines(parcel->headers), parcel->body, letter.content.peer};
  admit(std::move(content), [respond = std::move(letter.respond)](rigging::Answer const& answer) {
    cargo::Carried const back{static_cast<std::uint64_t>(answer.status), toLines(answer.headers), answer.body};
    respond({200, {{"content-type", "avro/binary"}}, cargo::enclose(cargo::pack(back))});
  }, true, Ms(static_cast<long>(std::min<std::uint64_t>(parcel->remainingMs, 60'000))));
}

void Front::Impl::admit(rigging::Request content, rigging::Responder respond, bool passed, std::optional<Ms> remainingMs) {
  fairway::Standing const standing = courier.footing(Clock::now()).standing;
  if (standing != fairway::Standing::current && standing != fairway::Standing::upheld) {
    ++refusedStale;
    respond(dialect.writeRefusal({Unserved::stale, "this node's configuration is " + nameOf(standing), tally::Verdict::notRun, Ms(1000), "", ""}));
    return;
  }
  if (content.body.size() > (plane.snapshot() == nullptr ? mostCallerBytes : plane.snapshot()->configuration.limits.maxBodyBytes)) {
    respond(dialect.writeRefusal({Unserved::tooLong, "the body is longer than the limit", tally::Verdict::notRun, {}, "", ""}));
    return;
  }
  std::uint64_t const request = ++lastRequest;
  responders.emplace(request, std::move(respond));
  hold(1);
  drive(Arrived{request, std::move(content), passed, remainingMs});
}

void Front::Impl::on(Incoming& letter) {
  std::string const& target = letter.content.target;
  if (!letter.caller && (target == "/limeramp" || target.starts_with("/limeramp/"))) {
    operate(letter);
  } else {
    admit(std::move(letter.content), std::move(letter.respond), false, std::nullopt);
  }
}

void Front::Impl::tick() {
  Clock::time_point const now = Clock::now();
  std::vector<cargo::Peer> const peers = views.peers(now);
  sendAll(views.tick(now, !courier.state() && now - startedAt < eagerMs));
  follow(courier.tick(now, peers));
  berth::Around around;
  around.services = services;
  around.zoneAddresses.push_back(settings.advertise);
  if (courier.state()) {
    for (cargo::RosterEntry const& entry : courier.state()->roster) {
      if (entry.zone == settings.zone && entry.address != settings.advertise) {
        around.zoneAddresses.push_back(entry.address);
      }
    }
  }
  follow(desk.tick(now, around));
  runner.tick(now, courier.primaryAddress());
  refreshReadiness(now);
}

void Front::Impl::refreshReadiness(Clock::time_point now) {
  std::string const why = whyNotReady(now);
  if (!callersLetIn && (why.empty() || now - startedAt >= settings.startHoldMs)) {
    callersLetIn = true;
    for (rigging::HttpServer* const server : callers) {
      server->open();
    }
  }
  if (why != lastWhy) {
    lastWhy = why;
    wasReady = why.empty();
    signal::raise(signal::Event::readinessChanged, {{"ready", wasReady ? "yes" : "no"}, {"reason", why}});
  }
}

void Front::Impl::deliver(Letter letter) {
  if (!network.onThread()) {
    std::shared_ptr<Letter> const held_ = std::make_shared<Letter>(std::move(letter));
    network.post([this, held_] { deliver(std::move(*held_)); });
    return;
  }
  letters.push_back(std::move(letter));
  if (!working) {
    work();
  }
}

void Front::Impl::work() {
  working = true;
  while (!letters.empty()) {
    Letter letter = std::move(letters.front());
    letters.pop_front();
    std::visit([this](auto& concrete) { on(concrete); }, letter);
  }
  working = false;
  arm();
}

void Front::Impl::arm() {
  Clock::time_point const now = Clock::now();
  Clock::time_point const wake = std::max(now, std::min(nextTick, plane.nextWake(now).value_or(nextTick)));
  if (armedFor <= wake) {
    return;
  }
  network.cancel(alarm);
  armedFor = wake;
  alarm = network.at(wake, [this] { wakeUp(); });
}

void Front::Impl::wakeUp() {
  armedFor = Clock::time_point::max();
  Clock::time_point const now = Clock::now();
  if (plane.nextWake(now).value_or(Clock::time_point::max()) <= now) {
    letters.emplace_back(quayside::Event(Tick{}));
  }
  if (now >= nextTick) {
    nextTick = now + tickMs;
    tick();
  }
  work();
}

void Front::Impl::on(LastWord&) {
  std::unordered_map<std::uint64_t, rigging::Responder> const waiting = std::move(responders);
  responders.clear();
  for (std::pair<std::uint64_t const, rigging::Responder> const& entry : waiting) {
    entry.second(dialect.writeRefusal({Unserved::failed, "this node ends", tally::Verdict::mayHaveRun, {}, "", ""}));
    hold(-1);
  }
}

bool Front::Impl::listen(std::vector<std::string> const& addresses, std::size_t maxBodyBytes, bool later,
                         rigging::HttpServer::Handler handler, std::string& error) {
  for (std::string const& address : addresses) {
    rigging::ServerOptions options;
    options.bounds.maxConnections = settings.maxConnections;
    options.bounds.maxBodyBytes = maxBodyBytes;
    options.opensLater = later;
    options.refuse = [this](int status, std::string const& reason) {
      return dialect.writeRefusal({unservedOf(status), reason, tally::Verdict::notRun, {}, "", ""});
    };
    std::unique_ptr<rigging::HttpServer> server =
        rigging::HttpServer::listen(network, rigging::Address::parse(address).value_or(rigging::Address{}), options, handler, error);
    if (server == nullptr) {
      return false;
    }
    signal::raise(signal::Event::listening, {{"address", server->address().text()}});
    listeners.push_back(std::move(server));
  }
  return true;
}

void Front::Impl::boundCallers() {
  manifest::CallerLimits const& limits = plane.snapshot()->configuration.limits;
  rigging::ServerBounds bounds;
  bounds.maxConnections = settings.maxConnections;
  bounds.maxHeaderBytes = limits.maxHeaderBytes;
  bounds.maxBodyBytes = limits.maxBodyBytes;
  bounds.headerMs = limits.headerMs;
  bounds.idleMs = limits.idleMs;
  for (rigging::HttpServer* const server : callers) {
    server->setBounds(bounds);
  }
}

Front::Front() = default;

std::unique_ptr<Front> Front::start(manifest::Settings const& settings, std::string& error, Dialect dialect,
                                    harbour::OperatorDialect operators) {
  std::unique_ptr<Front> front(new Front());
  front->impl_ = std::make_unique<Impl>(settings, std::move(dialect), std::move(operators));
  Impl& impl = *front->impl_;
  rigging::HttpServer::Handler const take = [&impl](rigging::Request request, rigging::Responder respond) {
    if (impl.letters.size() >= mostLetters) {
      respond(impl.dialect.writeRefusal({Unserved::overloaded, "overloaded", tally::Verdict::notRun, Ms(1000), "", ""}));
      return;
    }
    impl.deliver(Incoming{std::move(request), std::move(respond), false});
  };
  rigging::HttpServer::Handler const takeCaller = [&impl](rigging::Request request, rigging::Responder respond) {
    impl.deliver(Incoming{std::move(request), std::move(respond), true});
  };
  rigging::HttpServer::Handler const takeOperator = [&impl, take](rigging::Request request, rigging::Responder respond) {
    harbour::serveOperator(impl.operators, std::move(request), std::move(respond), take);
  };
  if (!impl.listen(settings.callerListens, 4 << 20, true, takeCaller, error)) {
    return nullptr;
  }
  for (std::unique_ptr<rigging::HttpServer> const& server : impl.listeners) {
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

Front::~Front() {
  if (impl_ != nullptr) {
    impl_->network.stop();
  }
}

void Front::drain() {
  Ms const graceMs = std::max(impl_->settings.graceMs, lastWordMs * 4);
  Clock::time_point const begunAt = Clock::now();
  impl_->deliver(DrainAsked{});
  std::unique_lock<std::mutex> lock(impl_->heldMutex);
  impl_->heldChanged.wait_until(lock, begunAt + std::min(graceMs / 2, impl_->settings.noticeMs), [] { return false; });
  for (std::unique_ptr<rigging::HttpServer> const& server : impl_->listeners) {
    server->stopAccepting();
  }
  impl_->heldChanged.wait_until(lock, begunAt + graceMs - lastWordMs * 2, [this] { return impl_->held == 0; });
  impl_->deliver(LastWord{});
  impl_->heldChanged.wait_for(lock, lastWordMs, [] { return false; });
}

}
