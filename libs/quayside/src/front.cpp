#include "limeramp/quayside/front.h"

#include "limeramp/berth/list.h"
#include "limeramp/quayside/plane.h"
#include "limeramp/rigging/ring.h"
#include "limeramp/signal/signal.h"

#include <atomic>
#include <random>
#include <thread>
#include <unordered_map>

namespace limeramp::quayside {
namespace {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

constexpr std::size_t inboxSlots = 16'384;
constexpr std::size_t inboxSpare = 8'192;
constexpr std::uint64_t listAttempt = 1ULL << 62;

struct Incoming {
  rigging::Request content;
  rigging::Responder respond;
};

struct ListRead {
  rigging::Exchange exchange;
};

using Letter = std::variant<Incoming, ListRead, quayside::Event>;

}

struct Front::Impl {
  explicit Impl(manifest::Settings const& settingsIn)
      : settings(settingsIn),
        client(network, {}),
        mill(settingsIn.hands),
        inbox(inboxSlots),
        plane(Self{settingsIn.node, settingsIn.listen, settingsIn.zone, std::random_device{}()}, policyOf(settingsIn)) {}

  static shoal::Policy policyOf(manifest::Settings const& settings) {
    shoal::Policy policy;
    policy.maxRequests = settings.maxRequests;
    policy.rerun = settings.rerun;
    return policy;
  }

  manifest::Settings settings;
  rigging::Network network;
  rigging::HttpClient client;
  shoal::Mill mill;
  rigging::Ring<Letter> inbox;
  Plane plane;
  std::unique_ptr<rigging::HttpServer> server;
  std::thread core;
  std::unordered_map<std::uint64_t, rigging::Responder> responders;
  std::uint64_t lastRequest = 0;
  Clock::time_point nextListAt{};
  bool listPending = false;
  std::string lastList;
  std::atomic<std::size_t> held{0};

  void run();
  void on(Incoming& letter);
  void on(ListRead& letter);
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
  void readList();
  rigging::Answer operate(rigging::Request const& request);
};

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
    --held;
  }
}

void Front::Impl::carry(SendOut const& effect) {
  std::optional<rigging::Address> const address = rigging::Address::parse(effect.server);
  std::uint64_t const attempt = effect.attempt;
  client.begin(attempt, address.value_or(rigging::Address{}), effect.content, effect.deadline,
               [this, attempt](rigging::Exchange exchange) {
                 inbox.push(quayside::Event(Exchanged{attempt, std::move(exchange)}));
               });
}

void Front::Impl::carry(Grind const& effect) {
  std::uint64_t const attempt = effect.attempt;
  std::optional<double> const load = effect.load;
  mill.read(effect.body, effect.expected, effect.result_size, [this, attempt, load](absl::StatusOr<shoal::Part> part) {
    inbox.push(quayside::Event(Ground{attempt, std::move(part), load}));
  });
}

void Front::Impl::carry(Merge const& effect) {
  std::uint64_t const request = effect.request;
  mill.merge(effect.parts, effect.result_size, [this, request](std::vector<std::string> records) {
    inbox.push(quayside::Event(Merged{request, std::move(records)}));
  });
}

rigging::Answer Front::Impl::operate(rigging::Request const& request) {
  if (request.method == "PUT" && request.target == "/limeramp/configuration") {
    absl::StatusOr<picojson::value> const document = manifest::parseJson(request.body);
    if (!document.ok()) {
      return refusal(400, std::string(document.status().message()), tally::Verdict::notRun);
    }
    manifest::Checked checked = manifest::checkConfiguration(*document);
    if (!checked.configuration) {
      return refusal(400, checked.problems.front().path + ": " + checked.problems.front().reason, tally::Verdict::notRun);
    }
    manifest::Snapshot snapshot;
    snapshot.version = {1, plane.snapshot() == nullptr ? 1 : plane.snapshot()->version.sequence + 1};
    snapshot.text = request.body;
    snapshot.configuration = *std::move(checked.configuration);
    signal::raise(signal::Event::configurationInForce, {{"version", snapshot.version.text()}});
    drive(InForce{std::make_shared<manifest::Snapshot const>(std::move(snapshot))});
    return {200, {{"content-type", "application/json"}}, "{\"version\":\"" + plane.snapshot()->version.text() + "\"}\n"};
  }
  return refusal(404, "no such operator page", tally::Verdict::notRun);
}

void Front::Impl::on(Incoming& letter) {
  if (letter.content.target.starts_with("/limeramp")) {
    letter.respond(operate(letter.content));
    return;
  }
  std::uint64_t const request = ++lastRequest;
  responders.emplace(request, std::move(letter.respond));
  ++held;
  drive(Arrived{request, std::move(letter.content), false, std::nullopt});
}

void Front::Impl::readList() {
  listPending = true;
  rigging::Request request;
  request.method = "GET";
  request.target = "/servers";
  client.begin(listAttempt, rigging::Address::parse(settings.platform).value_or(rigging::Address{}), request,
               Clock::now() + Ms(1000),
               [this](rigging::Exchange exchange) { inbox.push(ListRead{std::move(exchange)}); });
}

void Front::Impl::on(ListRead& letter) {
  listPending = false;
  nextListAt = Clock::now() + Ms(500);
  if (!letter.exchange.answer || letter.exchange.answer->status != 200) {
    signal::raise(signal::Event::listUnreachable, {{"platform", settings.platform}, {"reason", letter.exchange.reason}});
    return;
  }
  if (letter.exchange.answer->body == lastList) {
    return;
  }
  absl::StatusOr<berth::List> const list = berth::readList(letter.exchange.answer->body);
  if (!list.ok()) {
    signal::raise(signal::Event::listUnreachable, {{"reason", std::string(list.status().message())}});
    return;
  }
  lastList = letter.exchange.answer->body;
  for (std::pair<std::string const, std::vector<shoal::ServerRow>> const& entry : list->services) {
    drive(Tables{shoal::Servers{entry.first, entry.second}});
  }
}

void Front::Impl::run() {
  while (!inbox.closed()) {
    Clock::time_point const now = Clock::now();
    if (!listPending && now >= nextListAt) {
      readList();
    }
    Clock::time_point const wake = std::min(plane.nextWake(now).value_or(now + Ms(50)), now + Ms(50));
    std::optional<Letter> letter = inbox.popUntil(wake);
    if (letter) {
      std::visit([this](auto& concrete) { on(concrete); }, *letter);
    }
    if (Clock::now() >= wake) {
      drive(Tick{});
    }
  }
}

Front::Front() = default;

std::unique_ptr<Front> Front::start(manifest::Settings const& settings, std::string& error) {
  std::unique_ptr<Front> front(new Front());
  front->impl_ = std::make_unique<Impl>(settings);
  Impl& impl = *front->impl_;
  rigging::ServerBounds bounds;
  bounds.maxConnections = settings.maxConnections;
  impl.server = rigging::HttpServer::listen(
      impl.network, *rigging::Address::parse(settings.listen), bounds,
      [&impl](rigging::Request request, rigging::Responder respond) {
        if (!impl.inbox.tryPush(Incoming{std::move(request), respond}, inboxSpare)) {
          respond(refusal(503, "overloaded", tally::Verdict::notRun, std::chrono::seconds(1)));
        }
      },
      error);
  if (impl.server == nullptr) {
    return nullptr;
  }
  signal::raise(signal::Event::listening, {{"address", impl.server->address().text()}});
  impl.core = std::thread([&impl] { impl.run(); });
  return front;
}

Front::~Front() {
  if (impl_ != nullptr) {
    impl_->inbox.close();
    if (impl_->core.joinable()) {
      impl_->core.join();
    }
    impl_->network.stop();
  }
}

void Front::drain() { impl_->server->stopAccepting(); }
bool Front::idle() const { return impl_->held == 0; }

}
