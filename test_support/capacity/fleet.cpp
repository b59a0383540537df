#include "capacity/fleet.h"

#include "limeramp/control/change_receipts.h"
#include "limeramp/control/config_service.h"
#include "limeramp/control/order_evaluator.h"
#include "limeramp/discovery/server_directory.h"
#include "limeramp/distribution/config_delivery.h"
#include "limeramp/distribution/peer_views.h"
#include "limeramp/distribution/rendezvous_hash.h"
#include "limeramp/replication/replication_group.h"
#include "simulator/simulated_network.h"

#include <algorithm>
#include <cmath>
#include <ctime>
#include <functional>
#include <optional>
#include <set>
#include <unordered_map>

namespace limeramp::capacity {
namespace {

using simulator::SimulatedNetwork;
using simulator::TimePoint;
using Us = std::chrono::microseconds;
using Bytes = std::shared_ptr<std::string const>;

constexpr Ms tickMs{20};
constexpr Ms shutdownNoticeMs{600};
constexpr Ms restartDowntimeMs{2000};
constexpr Ms replacementDelayMs{5000};

std::chrono::nanoseconds threadCpuTime() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

class CpuTimer {
 public:
  explicit CpuTimer(std::chrono::nanoseconds& sum) : sum_(sum), from_(threadCpuTime()) {}
  ~CpuTimer() { sum_ += threadCpuTime() - from_; }
  CpuTimer(CpuTimer const&) = delete;
  CpuTimer& operator=(CpuTimer const&) = delete;

 private:
  std::chrono::nanoseconds& sum_;
  std::chrono::nanoseconds from_;
};

struct SimulatedGateway {
  std::optional<distribution::ConfigDelivery> delivery;
  std::optional<discovery::ServerDirectory> directory;
};

struct SimulatedController {
  std::optional<replication::ReplicationGroup> group;
  std::optional<control::ConfigService> configService;
  std::map<std::string, std::string> disk;
};

struct EncodedPush {
  std::pair<std::uint64_t, std::uint64_t> version{0, 0};
  std::string primaryAddress;
  Bytes bytes;
  std::chrono::nanoseconds cost{0};
};

struct DecodedMessage {
  Bytes bytes;
  std::shared_ptr<messages::PeerMessage const> received;
  std::chrono::nanoseconds cost{0};
};

constexpr std::size_t minCachedBytes = 8'000;
constexpr std::size_t maxCachedMessages = 64;

struct Member {
  EncodedPush lastPush;
  std::string id;
  std::string address;
  std::string zone;
  std::size_t zoneNumber = 0;
  std::size_t region = 0;
  std::optional<distribution::PeerViews> views;
  std::optional<SimulatedGateway> gateway;
  std::optional<SimulatedController> controller;
  std::uint64_t incarnation = 0;
  bool up = false;
  bool hostLost = false;
  MemberLoad load;
  std::set<std::size_t> sentTo;
  std::set<std::size_t> receivedFrom;
};

std::string addressOf(std::size_t number) {
  return "10." + std::to_string(number >> 14 & 127) + "." + std::to_string(number >> 7 & 127) + "." +
         std::to_string((number & 127) + 1) + ":7000";
}

std::string nameOf(std::size_t number) {
  std::string const digits = std::to_string(number);
  return "m" + std::string(digits.size() < 4 ? 4 - digits.size() : 0, '0') + digits;
}

}  // namespace

struct Fleet::Impl {
  explicit Impl(FleetShape const& shapeIn) : shape(shapeIn), network(shapeIn.seed) {}

  FleetShape shape;
  SimulatedNetwork network;
  std::vector<Member> members;
  std::unordered_map<std::string, std::size_t> byAddress;
  std::vector<std::string> seeds;
  std::set<std::string> services;
  discovery::List list;
  std::map<std::string, MessageLoad> kinds;
  std::unordered_map<std::string const*, DecodedMessage> decodeCache;
  std::map<std::uint64_t, control::OrderOutcome> orderOutcomes;
  std::uint64_t lastTicket = 0;
  std::size_t lastMemberNumber = 0;
  std::size_t rosterChanges = 0;
  std::optional<std::size_t> cutRegion;
  std::set<std::string> lostZone;

  void createServerList();
  void start(std::size_t index);
  void stop(std::size_t index, bool hostLost);
  void replace(std::size_t index);
  void tick(std::size_t index, std::uint64_t incarnation);
  void send(std::size_t from, std::string const& address, messages::Message message);
  void sendAll(std::size_t from, std::vector<distribution::Outgoing>& sends);
  Bytes encodeEnvelope(std::size_t from, messages::Message message, std::chrono::nanoseconds& cost);
  std::shared_ptr<messages::PeerMessage const> decodeEnvelope(Bytes const& bytes, std::chrono::nanoseconds& cachedCost);
  void deliver(std::size_t to, std::size_t from, std::uint64_t incarnation, Bytes const& bytes,
               std::string const& kind);
  void onMessage(std::size_t to, messages::PeerMessage const& received);
  void applyStep(std::size_t index, distribution::ConfigDeliveryStep step) { sendAll(index, step.sends); }
  void applyStep(std::size_t index, discovery::DirectoryStep step);
  void step(std::size_t index, replication::GroupEvent const& event);
  void stepConfigService(std::size_t index, control::ConfigServiceEvent const& event);
  void persist(std::size_t index, replication::Persist const& effect);
  void probe(std::size_t from, control::Probe const& wanted);
  Us delay(std::size_t from, std::size_t to);
  bool isCut(std::size_t from, std::size_t to) const {
    return cutRegion && (members[from].region == *cutRegion) != (members[to].region == *cutRegion);
  }
  bool serves(std::size_t index) const;
  std::optional<std::size_t> primary() const;
  std::optional<std::uint64_t> submitChange();
  std::string configurationDocument(std::uint64_t number) const;
  std::vector<std::string> homeNodes() const;
  void beginMeasurement();
  Measurement endMeasurement(TimePoint from) const;
  bool allServingNodesHave(messages::State const& wanted) const;
  Ms awaitRosterRemoval(std::set<std::string> const& lost, Ms timeout);
};

void Fleet::Impl::createServerList() {
  for (std::size_t index = 0; index < shape.shards; ++index) {
    services.insert("p" + std::to_string(index));
  }
  for (std::size_t index = 0; index < shape.servers && shape.shards > 0; ++index) {
    dispatch::ServerEndpoint row;
    row.address = "10.200." + std::to_string(index / 200) + "." + std::to_string(index % 200 + 1) + ":9000";
    row.zone = "z" + std::to_string(index % shape.zones);
    list.services["p" + std::to_string(index % shape.shards)].push_back(row);
    ++list.rows;
  }
}

Us Fleet::Impl::delay(std::size_t from, std::size_t to) {
  if (network.chance(0.01)) {
    return Us(200 + network.roll(300'000));
  }
  std::size_t const left = members[from].region;
  std::size_t const right = members[to].region;
  if (left != right) {
    return Us(10'000 + 5'000 * (left > right ? left - right : right - left) + network.roll(2'000));
  }
  return Us(members[from].zoneNumber == members[to].zoneNumber ? 200 + network.roll(600) : 500 + network.roll(1'000));
}

void Fleet::Impl::start(std::size_t index) {
  Member& member = members[index];
  member.up = true;
  member.hostLost = false;
  ++member.incarnation;
  std::uint64_t const boot = network.random()() >> 1 | 1;
  std::string const role = member.controller ? messages::controllerRole : messages::gatewayRole;
  member.views.emplace(distribution::PeerViewOptions{},
                       messages::Peer{member.id, member.address, member.zone, role, boot, 0}, seeds,
                       network.random()());
  if (member.gateway) {
    messages::Follower const self{member.id, member.address, member.zone, 0, 0};
    member.gateway->delivery.emplace(distribution::ConfigDeliveryOptions{}, self, boot, network.random()());
    member.gateway->directory.emplace(discovery::ServerDirectoryOptions{}, member.id, member.address, member.zone);
  } else {
    control::ConfigServiceOptions policy;
    policy.maxNodes = shape.maxNodes == 0 ? policy.maxNodes : shape.maxNodes;
    member.controller->group.emplace(replication::ReplicationOptions{});
    member.controller->configService.emplace(policy, member.id);
    step(index,
         replication::Start{
             {member.id, member.address, member.zone}, member.controller->disk, network.random()(), false, seeds});
  }
  std::uint64_t const incarnation = member.incarnation;
  network.after(Us(network.roll(20'000)), [this, index, incarnation] { tick(index, incarnation); });
}

void Fleet::Impl::stop(std::size_t index, bool hostLost) {
  members[index].up = false;
  members[index].hostLost = hostLost;
  ++members[index].incarnation;
}

void Fleet::Impl::replace(std::size_t index) {
  Member& member = members[index];
  byAddress.erase(member.address);
  member.id = nameOf(++lastMemberNumber);
  member.address = addressOf(lastMemberNumber);
  byAddress[member.address] = index;
  start(index);
}

void Fleet::Impl::tick(std::size_t index, std::uint64_t incarnation) {
  Member& member = members[index];
  if (!member.up || member.incarnation != incarnation) {
    return;
  }
  {
    CpuTimer const timer(member.load.busy);
    TimePoint const now = network.now();
    if (member.gateway) {
      std::vector<messages::Peer> const peers = member.views->peers(now);
      std::vector<distribution::Outgoing> shuffles = member.views->tick(now);
      sendAll(index, shuffles);
      applyStep(index, member.gateway->delivery->tick(now, peers));
      discovery::ZoneView zoneView;
      zoneView.services = services;
      zoneView.zoneAddresses.push_back(member.address);
      if (std::optional<messages::State> const& state = member.gateway->delivery->state()) {
        for (messages::RosterEntry const& entry : state->roster) {
          if (entry.zone == member.zone && entry.address != member.address) {
            zoneView.zoneAddresses.push_back(entry.address);
          }
        }
      }
      applyStep(index, member.gateway->directory->tick(now, zoneView));
    } else {
      std::vector<distribution::Outgoing> shuffles =
          member.views->tick(now, member.controller->group->decided().epoch == 0);
      sendAll(index, shuffles);
      replication::KnownMembers known;
      for (messages::Peer const& peer : member.views->peers(now)) {
        if (peer.role == messages::controllerRole) {
          known.members.push_back({peer.node, peer.address, peer.zone});
        }
      }
      known.mayFound = member.views->mayFound(now);
      step(index, known);
      step(index, replication::Tick{});
      stepConfigService(index, control::Tick{});
    }
  }
  network.after(tickMs, [this, index, incarnation] { tick(index, incarnation); });
}

void Fleet::Impl::sendAll(std::size_t from, std::vector<distribution::Outgoing>& sends) {
  for (distribution::Outgoing& outgoing : sends) {
    send(from, outgoing.address, std::move(outgoing.message));
  }
}

// A push has the same bytes for every follower: it is encoded and decoded once and its cost is charged each time.
Bytes Fleet::Impl::encodeEnvelope(std::size_t from, messages::Message message, std::chrono::nanoseconds& cost) {
  Member& member = members[from];
  messages::StateResponse const* const response = std::get_if<messages::StateResponse>(&message);
  bool const push = response != nullptr && response->token == 0 && response->state && !member.controller;
  std::pair<std::uint64_t, std::uint64_t> const version =
      push ? std::pair(response->epoch, response->sequence) : std::pair<std::uint64_t, std::uint64_t>(0, 0);
  std::string const primaryAddress = push ? response->primaryAddress : "";
  if (push && member.lastPush.bytes != nullptr && member.lastPush.version == version &&
      member.lastPush.primaryAddress == primaryAddress) {
    cost += member.lastPush.cost;
    member.load.busy += member.lastPush.cost;
    return member.lastPush.bytes;
  }
  std::chrono::nanoseconds spent{0};
  Bytes bytes;
  {
    CpuTimer const timer(spent);
    std::string const fleet = member.controller ? member.controller->group->decided().fleet : "f";
    bytes = std::make_shared<std::string const>(
        messages::encodeEnvelope({fleet, member.id, member.address, std::move(message)}));
  }
  cost += spent;
  if (push) {
    member.lastPush = {version, primaryAddress, bytes, spent};
  }
  return bytes;
}

std::shared_ptr<messages::PeerMessage const> Fleet::Impl::decodeEnvelope(Bytes const& bytes,
                                                                         std::chrono::nanoseconds& cachedCost) {
  std::unordered_map<std::string const*, DecodedMessage>::const_iterator const found = decodeCache.find(bytes.get());
  if (found != decodeCache.end()) {
    cachedCost += found->second.cost;
    return found->second.received;
  }
  std::chrono::nanoseconds spent{0};
  std::shared_ptr<messages::PeerMessage const> received;
  {
    CpuTimer const timer(spent);
    absl::StatusOr<messages::PeerMessage> read = messages::decodeEnvelope(*bytes);
    received = read.ok() ? std::make_shared<messages::PeerMessage const>(*std::move(read)) : nullptr;
  }
  if (bytes->size() > minCachedBytes) {
    if (decodeCache.size() >= maxCachedMessages) {
      decodeCache.clear();
    }
    decodeCache.emplace(bytes.get(), DecodedMessage{bytes, received, spent});
  }
  return received;
}

void Fleet::Impl::send(std::size_t from, std::string const& address, messages::Message message) {
  Member& member = members[from];
  std::string const kind = std::visit([](auto const& concrete) { return std::string(concrete.name); }, message);
  MessageLoad& load = kinds[kind];
  Bytes const bytes = encodeEnvelope(from, std::move(message), load.encodeTime);
  ++load.sent;
  load.bytes += bytes->size();
  ++member.load.sent;
  member.load.sentBytes += bytes->size();
  std::unordered_map<std::string, std::size_t>::const_iterator const found = byAddress.find(address);
  if (found == byAddress.end()) {
    return;
  }
  std::size_t const to = found->second;
  member.sentTo.insert(to);
  if (!members[to].up || isCut(from, to)) {
    return;
  }
  std::uint64_t const incarnation = members[to].incarnation;
  network.after(delay(from, to),
                [this, to, from, incarnation, bytes, kind] { deliver(to, from, incarnation, bytes, kind); });
}

void Fleet::Impl::deliver(std::size_t to, std::size_t from, std::uint64_t incarnation, Bytes const& bytes,
                          std::string const& kind) {
  Member& member = members[to];
  if (!member.up || member.incarnation != incarnation) {
    return;
  }
  ++member.load.received;
  member.load.receivedBytes += bytes->size();
  member.receivedFrom.insert(from);
  std::chrono::nanoseconds spent{0};
  std::chrono::nanoseconds cachedCost{0};
  {
    CpuTimer const timer(spent);
    std::shared_ptr<messages::PeerMessage const> const received = decodeEnvelope(bytes, cachedCost);
    if (received != nullptr) {
      onMessage(to, *received);
    }
  }
  spent += cachedCost;
  member.load.busy += spent;
  MessageLoad& load = kinds[kind];
  ++load.received;
  load.handleTime += spent;
}

void Fleet::Impl::onMessage(std::size_t to, messages::PeerMessage const& received) {
  Member& member = members[to];
  TimePoint const now = network.now();
  if (messages::Shuffle const* const shuffle = std::get_if<messages::Shuffle>(&received.message)) {
    std::vector<distribution::Outgoing> sends = member.views->onMessage(now, received.from, received.address, *shuffle);
    sendAll(to, sends);
  } else if (member.controller) {
    if (messages::StateRequest const* const poll = std::get_if<messages::StateRequest>(&received.message)) {
      stepConfigService(to, control::StateRequestReceived{received.address, *poll});
    } else if (!std::holds_alternative<messages::StateResponse>(received.message)) {
      step(to, replication::MessageReceived{received.from, received.address, received.message});
    }
  } else if (messages::StateRequest const* const poll = std::get_if<messages::StateRequest>(&received.message)) {
    applyStep(to, member.gateway->delivery->onMessage(now, received.address, *poll));
  } else if (messages::StateResponse const* const response = std::get_if<messages::StateResponse>(&received.message)) {
    applyStep(to, member.gateway->delivery->onMessage(now, received.address, *response));
  } else if (messages::StateUpdate const* const update = std::get_if<messages::StateUpdate>(&received.message)) {
    applyStep(to, member.gateway->delivery->onMessage(now, received.address, *update));
  } else if (messages::TableRequest const* const tablePoll = std::get_if<messages::TableRequest>(&received.message)) {
    applyStep(to, member.gateway->directory->onMessage(now, received.address, *tablePoll));
  } else if (messages::TableResponse const* const tableResponse =
                 std::get_if<messages::TableResponse>(&received.message)) {
    applyStep(to, member.gateway->directory->onMessage(now, received.address, *tableResponse));
  }
}

void Fleet::Impl::applyStep(std::size_t index, discovery::DirectoryStep step) {
  sendAll(index, step.sends);
  if (step.readList) {
    ++members[index].load.listReads;
    std::uint64_t const incarnation = members[index].incarnation;
    network.after(Us(3'000 + network.roll(5'000)), [this, index, incarnation] {
      if (members[index].up && members[index].incarnation == incarnation) {
        CpuTimer const timer(members[index].load.busy);
        applyStep(index, members[index].gateway->directory->onListPage(network.now(), list));
      }
    });
  }
}

void Fleet::Impl::persist(std::size_t index, replication::Persist const& effect) {
  std::uint64_t const incarnation = members[index].incarnation;
  network.after(Us(500 + network.roll(3'000)), [this, index, incarnation, effect] {
    if (!members[index].up || members[index].incarnation != incarnation) {
      return;
    }
    for (std::pair<std::string, std::string> const& put : effect.puts) {
      members[index].controller->disk[put.first] = put.second;
    }
    CpuTimer const timer(members[index].load.busy);
    step(index, replication::PersistFinished{effect.token, true});
  });
}

void Fleet::Impl::step(std::size_t index, replication::GroupEvent const& event) {
  for (replication::GroupEffect const& effect : members[index].controller->group->step(network.now(), event)) {
    if (replication::Send const* const outgoing = std::get_if<replication::Send>(&effect)) {
      send(index, outgoing->address, outgoing->message);
    } else if (replication::Persist const* const wanted = std::get_if<replication::Persist>(&effect)) {
      persist(index, *wanted);
    } else if (replication::Committed const* const committed = std::get_if<replication::Committed>(&effect)) {
      stepConfigService(index, *committed);
    } else if (replication::OutcomeUnknown const* const outcomeUnknown =
                   std::get_if<replication::OutcomeUnknown>(&effect)) {
      stepConfigService(index, *outcomeUnknown);
    } else if (replication::BecamePrimary const* const active = std::get_if<replication::BecamePrimary>(&effect)) {
      stepConfigService(index, *active);
    } else if (std::holds_alternative<replication::SteppedDown>(effect)) {
      stepConfigService(index, replication::SteppedDown{});
    }
  }
}

void Fleet::Impl::stepConfigService(std::size_t index, control::ConfigServiceEvent const& event) {
  SimulatedController& controller = *members[index].controller;
  for (control::ConfigServiceEffect const& effect :
       controller.configService->step(network.now(), *controller.group, event)) {
    if (replication::Proposal const* const proposal = std::get_if<replication::Proposal>(&effect)) {
      rosterChanges += proposal->ticket >= 1ULL << 60 &&
                               proposal->state.rosterSequence != controller.configService->published().rosterSequence
                           ? 1
                           : 0;
      step(index, *proposal);
    } else if (control::OrderOutcome const* const decided = std::get_if<control::OrderOutcome>(&effect)) {
      orderOutcomes[decided->ticket] = *decided;
    } else if (distribution::Outgoing const* const outgoing = std::get_if<distribution::Outgoing>(&effect)) {
      send(index, outgoing->address, outgoing->message);
    } else if (control::EvaluateOrder const* const order = std::get_if<control::EvaluateOrder>(&effect)) {
      stepConfigService(index,
                        control::OrderEvaluated{order->token, controller.configService->evaluator().evaluate(*order)});
    } else if (control::Probe const* const wanted = std::get_if<control::Probe>(&effect)) {
      probe(index, *wanted);
    }
  }
}

void Fleet::Impl::probe(std::size_t from, control::Probe const& wanted) {
  MessageLoad& load = kinds["probe"];
  ++load.sent;
  std::unordered_map<std::string, std::size_t>::const_iterator const found = byAddress.find(wanted.address);
  std::uint64_t const incarnation = members[from].incarnation;
  std::uint64_t const token = wanted.token;
  std::string const node = wanted.node;
  if (found == byAddress.end()) {
    return;
  }
  std::size_t const to = found->second;
  network.after(delay(from, to), [this, from, to, incarnation, token, node] {
    if (isCut(from, to) || members[to].hostLost) {
      return;
    }
    bool const gone = !members[to].up || members[to].id != node;
    network.after(delay(to, from), [this, from, incarnation, token, gone] {
      if (members[from].up && members[from].incarnation == incarnation) {
        CpuTimer const timer(members[from].load.busy);
        stepConfigService(from, control::ProbeFinished{token, gone});
      }
    });
  });
}

bool Fleet::Impl::serves(std::size_t index) const {
  Member const& member = members[index];
  if (!member.up || !member.gateway) {
    return false;
  }
  distribution::ConfigFreshness const freshness = member.gateway->delivery->status(network.now()).freshness;
  return distribution::mayServe(freshness);
}

std::optional<std::size_t> Fleet::Impl::primary() const {
  for (std::size_t index = 0; index < shape.controllers; ++index) {
    Member const& member = members[index];
    if (member.up && member.controller->configService->active() && member.controller->group->active()) {
      return index;
    }
  }
  return std::nullopt;
}

std::string Fleet::Impl::configurationDocument(std::uint64_t number) const {
  std::string out = "{\"services\":{\"a\":{\"capacity\":" + std::to_string(number % 1000 + 1) + "}";
  std::size_t const wanted = shape.documentBytes == 0 ? 200 : shape.documentBytes;
  for (std::size_t index = 0; out.size() + 2 < wanted; ++index) {
    out += ",\"p" + std::to_string(index) + "\":{\"capacity\":50}";
  }
  return out + "}}";
}

std::optional<std::uint64_t> Fleet::Impl::submitChange() {
  std::optional<std::size_t> const index = primary();
  if (!index) {
    return std::nullopt;
  }
  std::uint64_t const ticket = ++lastTicket;
  CpuTimer const timer(members[*index].load.busy);
  stepConfigService(*index, control::Change{ticket, "c" + std::to_string(ticket), std::nullopt, false,
                                            configurationDocument(ticket), network.now() + Ms(10'000)});
  return ticket;
}

std::vector<std::string> Fleet::Impl::homeNodes() const {
  std::map<std::string, std::vector<std::string>> zones;
  for (Member const& member : members) {
    if (member.up && member.gateway) {
      zones[member.zone].push_back(member.id);
    }
  }
  std::vector<std::string> out;
  out.reserve(zones.size());
  for (std::pair<std::string const, std::vector<std::string>> const& entry : zones) {
    out.push_back(distribution::rankByRendezvousHash("configuration/" + entry.first, entry.second).front());
  }
  return out;
}

void Fleet::Impl::beginMeasurement() {
  kinds.clear();
  rosterChanges = 0;
  for (Member& member : members) {
    member.load = {};
    member.sentTo.clear();
    member.receivedFrom.clear();
  }
}

Measurement Fleet::Impl::endMeasurement(TimePoint from) const {
  Measurement out;
  out.seconds = std::chrono::duration<double>(network.now() - from).count();
  out.kinds = kinds;
  out.rosterChanges = rosterChanges;
  std::vector<std::string> const homeIds = homeNodes();
  std::optional<std::size_t> const primaryIndex = primary();
  for (std::size_t index = 0; index < members.size(); ++index) {
    Member const& member = members[index];
    if (!member.up) {
      continue;
    }
    MemberLoad load = member.load;
    load.peers = member.sentTo.size() + member.receivedFrom.size();
    load.role = std::count(homeIds.begin(), homeIds.end(), member.id) > 0 ? "home" : "front";
    if (member.controller && primaryIndex) {
      messages::EpochRecord const& decided = members[*primaryIndex].controller->group->decided();
      bool const backup = std::count(decided.backups.begin(), decided.backups.end(), member.id) > 0;
      bool const witness = std::count(decided.witnesses.begin(), decided.witnesses.end(), member.id) > 0;
      load.role = index == *primaryIndex ? "primary" : backup ? "backup" : witness ? "witness" : "spare";
    }
    out.members.push_back(std::move(load));
  }
  return out;
}

bool Fleet::Impl::allServingNodesHave(messages::State const& wanted) const {
  for (std::size_t index = 0; index < members.size(); ++index) {
    Member const& member = members[index];
    if (!member.up || !member.gateway || !member.gateway->delivery->state()) {
      continue;
    }
    messages::State const& state = *member.gateway->delivery->state();
    if (state.version() < wanted.version() && serves(index)) {
      return false;
    }
  }
  return true;
}

Ms Fleet::Impl::awaitRosterRemoval(std::set<std::string> const& lost, Ms timeout) {
  TimePoint const from = network.now();
  std::optional<messages::State> stateAfterRemoval;
  while (network.now() - from < timeout) {
    network.runUntil(network.now() + Ms(20));
    std::optional<std::size_t> const index = primary();
    if (!stateAfterRemoval && index) {
      messages::State const& state = members[*index].controller->configService->published();
      bool const rosterSize =
          std::any_of(state.roster.begin(), state.roster.end(),
                      [&](messages::RosterEntry const& entry) { return lost.contains(entry.node); });
      if (!rosterSize) {
        stateAfterRemoval = state;
      }
    }
    if (stateAfterRemoval && allServingNodesHave(*stateAfterRemoval)) {
      return std::chrono::duration_cast<Ms>(network.now() - from);
    }
  }
  return Ms(-1);
}

Fleet::Fleet(FleetShape const& shape) : impl_(std::make_unique<Impl>(shape)) {
  Impl& impl = *impl_;
  impl.createServerList();
  for (std::size_t index = 0; index < shape.controllers + shape.nodes; ++index) {
    Member member;
    bool const controller = index < shape.controllers;
    member.id = controller ? "h" + std::to_string(index) : nameOf(index);
    member.address = addressOf(index);
    member.zoneNumber =
        (controller ? index * std::max<std::size_t>(1, shape.zones / shape.controllers) : index) % shape.zones;
    member.zone = "z" + std::to_string(member.zoneNumber);
    member.region = member.zoneNumber % shape.regions;
    if (controller) {
      member.controller.emplace();
    } else {
      member.gateway.emplace();
    }
    impl.byAddress[member.address] = index;
    if (index < 3) {
      impl.seeds.push_back(member.address);
    }
    impl.members.push_back(std::move(member));
  }
  impl.lastMemberNumber = shape.controllers + shape.nodes;
}

Fleet::~Fleet() = default;

void Fleet::startAll(Ms gatewayDelay, Ms spread) {
  for (std::size_t index = 0; index < impl_->members.size(); ++index) {
    if (index < impl_->shape.controllers) {
      impl_->start(index);
    } else {
      impl_->network.after(
          gatewayDelay + Us(impl_->network.roll(static_cast<std::uint64_t>(spread.count()) * 1000 + 1)),
          [this, index] { impl_->start(index); });
    }
  }
}

void Fleet::run(Ms time) { impl_->network.runUntil(impl_->network.now() + time); }

std::size_t Fleet::serving() const {
  std::size_t count = 0;
  for (std::size_t index = 0; index < impl_->members.size(); ++index) {
    count += impl_->serves(index) ? 1 : 0;
  }
  return count;
}

std::size_t Fleet::alive() const {
  return static_cast<std::size_t>(std::count_if(impl_->members.begin(), impl_->members.end(),
                                                [](Member const& member) { return member.up && member.gateway; }));
}

std::size_t Fleet::rosterSize() const {
  std::optional<std::size_t> const index = impl_->primary();
  return index ? impl_->members[*index].controller->configService->published().roster.size() : 0;
}

std::size_t Fleet::stateBytes() const {
  std::optional<std::size_t> const index = impl_->primary();
  return index ? messages::pack(impl_->members[*index].controller->configService->published()).size() : 0;
}

bool Fleet::awaitServing(std::size_t wanted, Ms timeout) {
  TimePoint const end = impl_->network.now() + timeout;
  while (impl_->network.now() < end && serving() < wanted) {
    run(Ms(100));
  }
  return serving() >= wanted;
}

Measurement Fleet::measure(Ms time) { return churn(time, {}); }

Measurement Fleet::churn(Ms time, ChurnRates const& rates) {
  Impl& impl = *impl_;
  impl.beginMeasurement();
  TimePoint const from = impl.network.now();
  Measurement counts;
  counts.minServing = serving();
  std::size_t rounds = 0;
  std::vector<std::uint64_t> tickets;
  std::function<std::size_t()> const randomRunningNode = [&] {
    std::size_t index = impl.shape.controllers + impl.network.roll(impl.shape.nodes);
    while (!impl.members[index].up) {
      index = impl.shape.controllers + impl.network.roll(impl.shape.nodes);
    }
    return index;
  };
  std::function<void(double, std::size_t&, std::function<void()> const&)> const runAtRate =
      [&](double perSecond, std::size_t& count, std::function<void()> const& action) {
        if (impl.network.chance(perSecond * 0.02)) {
          ++count;
          action();
        }
      };
  while (impl.network.now() - from < time) {
    runAtRate(rates.restartsPerSecond, counts.restarts, [&] {
      std::size_t const index = randomRunningNode();
      std::uint64_t const incarnation = impl.members[index].incarnation;
      impl.members[index].gateway->delivery->beginShutdown();
      impl.network.after(shutdownNoticeMs, [&impl, index, incarnation] {
        if (impl.members[index].incarnation == incarnation) {
          impl.stop(index, false);
          impl.network.after(restartDowntimeMs, [&impl, index] { impl.start(index); });
        }
      });
    });
    runAtRate(rates.failuresPerSecond, counts.failures, [&] {
      std::size_t const index = randomRunningNode();
      impl.stop(index, true);
      impl.network.after(replacementDelayMs, [&impl, index] { impl.replace(index); });
    });
    runAtRate(rates.changesPerSecond, counts.changes, [&] {
      if (std::optional<std::uint64_t> const ticket = impl.submitChange()) {
        tickets.push_back(*ticket);
      }
    });
    run(Ms(20));
    if (++rounds % 50 == 0) {
      counts.minServing = std::min(counts.minServing, serving());
    }
  }
  Measurement out = impl.endMeasurement(from);
  out.restarts = counts.restarts;
  out.failures = counts.failures;
  out.changes = counts.changes;
  out.minServing = counts.minServing;
  for (std::uint64_t const ticket : tickets) {
    out.taken +=
        impl.orderOutcomes.contains(ticket) && impl.orderOutcomes.at(ticket).verdict == control::OrderStatus::taken ? 1
                                                                                                                    : 0;
  }
  return out;
}

ChangeOutcome Fleet::change(Ms timeout) {
  Impl& impl = *impl_;
  ChangeOutcome out;
  TimePoint const from = impl.network.now();
  std::optional<std::uint64_t> const ticket = impl.submitChange();
  out.verdict = ticket ? "unknown" : "not_run";
  std::optional<messages::State> published;
  while (ticket && impl.network.now() - from < timeout && (out.everywhereMs < Ms(0) || out.acknowledgedMs < Ms(0))) {
    run(Ms(5));
    Ms const passed = std::chrono::duration_cast<Ms>(impl.network.now() - from);
    std::optional<std::size_t> const index = impl.primary();
    if (!published && index) {
      messages::State const& state = impl.members[*index].controller->configService->published();
      control::Change submitted;
      submitted.id = "c" + std::to_string(*ticket);
      if (control::findReceipt(state, submitted).match != control::ReceiptMatch::none) {
        published = state;
      }
    }
    if (out.acknowledgedMs < Ms(0) && impl.orderOutcomes.contains(*ticket)) {
      out.verdict = impl.orderOutcomes.at(*ticket).verdict == control::OrderStatus::taken ? "taken" : "other";
      out.acknowledgedMs = passed;
    }
    if (out.everywhereMs < Ms(0) && published && impl.allServingNodesHave(*published)) {
      out.everywhereMs = passed;
    }
  }
  return out;
}

Ms Fleet::killNode(Ms timeout) {
  std::size_t const index = impl_->shape.controllers + impl_->network.roll(impl_->shape.nodes);
  std::string const id = impl_->members[index].id;
  impl_->stop(index, false);
  Ms const out = impl_->awaitRosterRemoval({id}, timeout);
  impl_->start(index);
  return out;
}

Ms Fleet::loseHost(Ms timeout) {
  std::size_t const index = impl_->shape.controllers + impl_->network.roll(impl_->shape.nodes);
  std::string const id = impl_->members[index].id;
  impl_->stop(index, true);
  Ms const out = impl_->awaitRosterRemoval({id}, timeout);
  impl_->replace(index);
  return out;
}

void Fleet::loseZone() {
  std::optional<std::size_t> const primaryIndex = impl_->primary();
  std::string zone;
  for (Member const& member : impl_->members) {
    bool const controllers = std::any_of(impl_->members.begin(), impl_->members.end(), [&](Member const& other) {
      return other.controller && other.zone == member.zone;
    });
    zone = member.gateway && (!controllers || impl_->shape.zones <= impl_->shape.controllers) && primaryIndex &&
                   member.zone != impl_->members[*primaryIndex].zone
               ? member.zone
               : zone;
  }
  for (std::size_t index = 0; index < impl_->members.size(); ++index) {
    if (impl_->members[index].zone == zone) {
      impl_->lostZone.insert(impl_->members[index].id);
      impl_->stop(index, true);
    }
  }
}

Ms Fleet::awaitZoneRemoval(Ms timeout) { return impl_->awaitRosterRemoval(impl_->lostZone, timeout); }

void Fleet::cutRegion(bool cut) {
  std::optional<std::size_t> const primaryIndex = impl_->primary();
  std::size_t const region = primaryIndex ? impl_->members[*primaryIndex].region : 0;
  impl_->cutRegion = cut ? std::optional<std::size_t>((region + 1) % impl_->shape.regions) : std::nullopt;
}

std::size_t Fleet::servingInCutRegion() const {
  std::size_t count = 0;
  for (std::size_t index = 0; index < impl_->members.size(); ++index) {
    count += impl_->cutRegion && impl_->members[index].region == *impl_->cutRegion && impl_->serves(index) ? 1 : 0;
  }
  return count;
}

void Fleet::killPrimary() {
  if (std::optional<std::size_t> const index = impl_->primary()) {
    impl_->stop(*index, true);
  }
}

bool Fleet::hasPrimary() const { return impl_->primary().has_value(); }

}  // namespace limeramp::capacity
