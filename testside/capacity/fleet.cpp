#include "capacity/fleet.h"

#include "drydock/sea.h"
#include "limeramp/berth/desk.h"
#include "limeramp/fairway/courier.h"
#include "limeramp/fairway/views.h"
#include "limeramp/harbour/plane.h"
#include "limeramp/pledge/council.h"

#include <algorithm>
#include <cmath>
#include <ctime>
#include <functional>
#include <optional>
#include <set>
#include <unordered_map>

namespace limeramp::capacity {
namespace {

using drydock::Sea;
using drydock::TimePoint;
using Us = std::chrono::microseconds;
using Bytes = std::shared_ptr<std::string const>;

constexpr Ms tickMs{20};
constexpr Ms noticeMs{600};
constexpr Ms downMs{2000};
constexpr Ms replacedAfterMs{5000};

std::chrono::nanoseconds processorTime() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

class Meter {
 public:
  explicit Meter(std::chrono::nanoseconds& sum) : sum_(sum), from_(processorTime()) {}
  ~Meter() { sum_ += processorTime() - from_; }
  Meter(Meter const&) = delete;
  Meter& operator=(Meter const&) = delete;

 private:
  std::chrono::nanoseconds& sum_;
  std::chrono::nanoseconds from_;
};

struct Quay {
  std::optional<fairway::Courier> courier;
  std::optional<berth::Desk> desk;
};

struct Master {
  std::optional<pledge::Council> council;
  std::optional<harbour::Plane> plane;
  std::map<std::string, std::string> disk;
};

struct Sealed {
  std::pair<std::uint64_t, std::uint64_t> mark{0, 0};
  std::string primaryAddress;
  Bytes bytes;
  std::chrono::nanoseconds cost{0};
};

struct Opened {
  Bytes bytes;
  std::shared_ptr<cargo::Parcel const> parcel;
  std::chrono::nanoseconds cost{0};
};

constexpr std::size_t worthKeeping = 8'000;
constexpr std::size_t mostOpened = 64;

struct Member {
  Sealed pushed;
  std::string id;
  std::string address;
  std::string zone;
  std::size_t zoneNumber = 0;
  std::size_t region = 0;
  std::optional<fairway::Views> views;
  std::optional<Quay> quay;
  std::optional<Master> master;
  std::uint64_t life = 0;
  bool up = false;
  bool hostLost = false;
  Load load;
  std::set<std::size_t> talkedTo;
  std::set<std::size_t> heardFrom;
};

std::string addressOf(std::size_t number) {
  return "10." + std::to_string(number >> 14 & 127) + "." + std::to_string(number >> 7 & 127) + "." +
         std::to_string((number & 127) + 1) + ":7000";
}

std::string nameOf(std::size_t number) {
  std::string const digits = std::to_string(number);
  return "m" + std::string(digits.size() < 4 ? 4 - digits.size() : 0, '0') + digits;
}

}

struct Fleet::Impl {
  explicit Impl(Shape const& shapeIn) : shape(shapeIn), sea(shapeIn.seed) {}

  Shape shape;
  Sea sea;
  std::vector<Member> members;
  std::unordered_map<std::string, std::size_t> byAddress;
  std::vector<std::string> seeds;
  std::set<std::string> services;
  berth::List list;
  std::map<std::string, KindLoad> kinds;
  std::unordered_map<std::string const*, Opened> opened;
  std::map<std::uint64_t, harbour::Decided> answers;
  std::uint64_t lastTicket = 0;
  std::size_t lastNumber = 0;
  std::size_t rosterChanges = 0;
  std::optional<std::size_t> cutRegion;
  std::set<std::string> lostZone;

  void makeList();
  void start(std::size_t index);
  void stop(std::size_t index, bool host);
  void replace(std::size_t index);
  void tick(std::size_t index, std::uint64_t life);
  void send(std::size_t from, std::string const& address, cargo::Message message);
  void sendAll(std::size_t from, std::vector<fairway::Outgoing>& sends);
  Bytes seal(std::size_t from, cargo::Message message, std::chrono::nanoseconds& cost);
  std::shared_ptr<cargo::Parcel const> unseal(Bytes const& bytes, std::chrono::nanoseconds& kept);
  void deliver(std::size_t to, std::size_t from, std::uint64_t life, Bytes const& bytes, std::string const& kind);
  void hear(std::size_t to, cargo::Parcel const& parcel);
  void follow(std::size_t index, fairway::CourierStep step) { sendAll(index, step.sends); }
  void follow(std::size_t index, berth::DeskStep step);
  void step(std::size_t index, pledge::Event const& event);
  void drivePlane(std::size_t index, harbour::Event const& event);
  void persist(std::size_t index, pledge::Persist const& effect);
  void probe(std::size_t from, harbour::Probe const& wanted);
  Us delay(std::size_t from, std::size_t to);
  bool isCut(std::size_t from, std::size_t to) const {
    return cutRegion && (members[from].region == *cutRegion) != (members[to].region == *cutRegion);
  }
  bool serves(std::size_t index) const;
  std::optional<std::size_t> primary() const;
  std::optional<std::uint64_t> offerChange();
  std::string documentOf(std::uint64_t number) const;
  std::vector<std::string> homes() const;
  void beginStretch();
  Stretch endStretch(TimePoint from) const;
  bool everyoneHas(cargo::State const& wanted) const;
  Ms untilForgotten(std::set<std::string> const& lost, Ms within);
};

void Fleet::Impl::makeList() {
  for (std::size_t index = 0; index < shape.shards; ++index) {
    services.insert("p" + std::to_string(index));
  }
  for (std::size_t index = 0; index < shape.servers && shape.shards > 0; ++index) {
    shoal::ServerRow row;
    row.address = "10.200." + std::to_string(index / 200) + "." + std::to_string(index % 200 + 1) + ":9000";
    row.zone = "z" + std::to_string(index % shape.zones);
    list.services["p" + std::to_string(index % shape.shards)].push_back(row);
    ++list.rows;
  }
}

Us Fleet::Impl::delay(std::size_t from, std::size_t to) {
  if (sea.chance(0.01)) {
    return Us(200 + sea.roll(300'000));
  }
  std::size_t const left = members[from].region;
  std::size_t const right = members[to].region;
  if (left != right) {
    return Us(10'000 + 5'000 * (left > right ? left - right : right - left) + sea.roll(2'000));
  }
  return Us(members[from].zoneNumber == members[to].zoneNumber ? 200 + sea.roll(600) : 500 + sea.roll(1'000));
}

void Fleet::Impl::start(std::size_t index) {
  Member& member = members[index];
  member.up = true;
  member.hostLost = false;
  ++member.life;
  std::uint64_t const boot = sea.dice()() >> 1 | 1;
  std::string const role = member.master ? "harbourmaster" : "quay";
  member.views.emplace(fairway::ViewPolicy{}, cargo::Peer{member.id, member.address, member.zone, role, boot, 0}, seeds, sea.dice()());
  if (member.quay) {
    cargo::Follower const self{member.id, member.address, member.zone, 0, 0};
    member.quay->courier.emplace(fairway::CourierPolicy{}, self, boot, sea.dice()());
    member.quay->desk.emplace(berth::DeskPolicy{}, member.id, member.address, member.zone);
  } else {
    harbour::Policy policy;
    policy.mostNodes = shape.mostNodes == 0 ? policy.mostNodes : shape.mostNodes;
    member.master->council.emplace(pledge::Policy{});
    member.master->plane.emplace(policy, member.id);
    step(index, pledge::Start{{member.id, member.address, member.zone}, member.master->disk, sea.dice()(), false, seeds});
  }
  std::uint64_t const life = member.life;
  sea.after(Us(sea.roll(20'000)), [this, index, life] { tick(index, life); });
}

void Fleet::Impl::stop(std::size_t index, bool host) {
  members[index].up = false;
  members[index].hostLost = host;
  ++members[index].life;
}

void Fleet::Impl::replace(std::size_t index) {
  Member& member = members[index];
  byAddress.erase(member.address);
  member.id = nameOf(++lastNumber);
  member.address = addressOf(lastNumber);
  byAddress[member.address] = index;
  start(index);
}

void Fleet::Impl::tick(std::size_t index, std::uint64_t life) {
  Member& member = members[index];
  if (!member.up || member.life != life) {
    return;
  }
  {
    Meter const meter(member.load.busy);
    TimePoint const now = sea.now();
    if (member.quay) {
      std::vector<cargo::Peer> const peers = member.views->peers(now);
      std::vector<fairway::Outgoing> shuffles = member.views->tick(now);
      sendAll(index, shuffles);
      follow(index, member.quay->courier->tick(now, peers));
      berth::Around around;
      around.services = services;
      around.zoneAddresses.push_back(member.address);
      if (std::optional<cargo::State> const& state = member.quay->courier->state()) {
        for (cargo::RosterEntry const& entry : state->roster) {
          if (entry.zone == member.zone && entry.address != member.address) {
            around.zoneAddresses.push_back(entry.address);
          }
        }
      }
      follow(index, member.quay->desk->tick(now, around));
    } else {
      std::vector<fairway::Outgoing> shuffles = member.views->tick(now, member.master->council->decided().epoch == 0);
      sendAll(index, shuffles);
      pledge::Known known;
      for (cargo::Peer const& peer : member.views->peers(now)) {
        if (peer.role == "harbourmaster") {
          known.members.push_back({peer.node, peer.address, peer.zone});
        }
      }
      known.mayFound = member.views->mayFound(now);
      step(index, known);
      step(index, pledge::Tick{});
      drivePlane(index, harbour::Tick{});
    }
  }
  sea.after(tickMs, [this, index, life] { tick(index, life); });
}

void Fleet::Impl::sendAll(std::size_t from, std::vector<fairway::Outgoing>& sends) {
  for (fairway::Outgoing& outgoing : sends) {
    send(from, outgoing.address, std::move(outgoing.message));
  }
}

// A push is the same bytes for every follower: sealed and unsealed once, charged each time.
Bytes Fleet::Impl::seal(std::size_t from, cargo::Message message, std::chrono::nanoseconds& cost) {
  Member& member = members[from];
  cargo::News const* const news = std::get_if<cargo::News>(&message);
  bool const push = news != nullptr && news->token == 0 && news->state && !member.master;
  std::pair<std::uint64_t, std::uint64_t> const mark = push ? std::pair(news->epoch, news->sequence) : std::pair<std::uint64_t, std::uint64_t>(0, 0);
  std::string const primaryAddress = push ? news->primaryAddress : "";
  if (push && member.pushed.bytes != nullptr && member.pushed.mark == mark && member.pushed.primaryAddress == primaryAddress) {
    cost += member.pushed.cost;
    member.load.busy += member.pushed.cost;
    return member.pushed.bytes;
  }
  std::chrono::nanoseconds spent{0};
  Bytes bytes;
  {
    Meter const meter(spent);
    std::string const fleet = member.master ? member.master->council->decided().fleet : "f";
    bytes = std::make_shared<std::string const>(cargo::seal({fleet, member.id, member.address, std::move(message)}));
  }
  cost += spent;
  if (push) {
    member.pushed = {mark, primaryAddress, bytes, spent};
  }
  return bytes;
}

std::shared_ptr<cargo::Parcel const> Fleet::Impl::unseal(Bytes const& bytes, std::chrono::nanoseconds& kept) {
  std::unordered_map<std::string const*, Opened>::const_iterator const found = opened.find(bytes.get());
  if (found != opened.end()) {
    kept += found->second.cost;
    return found->second.parcel;
  }
  std::chrono::nanoseconds spent{0};
  std::shared_ptr<cargo::Parcel const> parcel;
  {
    Meter const meter(spent);
    absl::StatusOr<cargo::Parcel> read = cargo::unseal(*bytes);
    parcel = read.ok() ? std::make_shared<cargo::Parcel const>(*std::move(read)) : nullptr;
  }
  if (bytes->size() > worthKeeping) {
    if (opened.size() >= mostOpened) {
      opened.clear();
    }
    opened.emplace(bytes.get(), Opened{bytes, parcel, spent});
  }
  return parcel;
}

void Fleet::Impl::send(std::size_t from, std::string const& address, cargo::Message message) {
  Member& member = members[from];
  std::string const kind = std::visit([](auto const& concrete) { return std::string(concrete.name); }, message);
  KindLoad& load = kinds[kind];
  Bytes const bytes = seal(from, std::move(message), load.sealing);
  ++load.sent;
  load.bytes += bytes->size();
  ++member.load.sent;
  member.load.sentBytes += bytes->size();
  std::unordered_map<std::string, std::size_t>::const_iterator const found = byAddress.find(address);
  if (found == byAddress.end()) {
    return;
  }
  std::size_t const to = found->second;
  member.talkedTo.insert(to);
  if (!members[to].up || isCut(from, to)) {
    return;
  }
  std::uint64_t const life = members[to].life;
  sea.after(delay(from, to), [this, to, from, life, bytes, kind] { deliver(to, from, life, bytes, kind); });
}

void Fleet::Impl::deliver(std::size_t to, std::size_t from, std::uint64_t life, Bytes const& bytes, std::string const& kind) {
  Member& member = members[to];
  if (!member.up || member.life != life) {
    return;
  }
  ++member.load.received;
  member.load.receivedBytes += bytes->size();
  member.heardFrom.insert(from);
  std::chrono::nanoseconds spent{0};
  std::chrono::nanoseconds kept{0};
  {
    Meter const meter(spent);
    std::shared_ptr<cargo::Parcel const> const parcel = unseal(bytes, kept);
    if (parcel != nullptr) {
      hear(to, *parcel);
    }
  }
  spent += kept;
  member.load.busy += spent;
  KindLoad& load = kinds[kind];
  ++load.heard;
  load.hearing += spent;
}

void Fleet::Impl::hear(std::size_t to, cargo::Parcel const& parcel) {
  Member& member = members[to];
  TimePoint const now = sea.now();
  if (cargo::Shuffle const* const shuffle = std::get_if<cargo::Shuffle>(&parcel.message)) {
    std::vector<fairway::Outgoing> sends = member.views->hear(now, parcel.from, parcel.address, *shuffle);
    sendAll(to, sends);
  } else if (member.master) {
    if (cargo::Poll const* const poll = std::get_if<cargo::Poll>(&parcel.message)) {
      drivePlane(to, harbour::Polled{parcel.address, *poll});
    } else if (!std::holds_alternative<cargo::News>(parcel.message)) {
      step(to, pledge::Received{parcel.from, parcel.address, parcel.message});
    }
  } else if (cargo::Poll const* const poll = std::get_if<cargo::Poll>(&parcel.message)) {
    follow(to, member.quay->courier->hear(now, parcel.address, *poll));
  } else if (cargo::News const* const news = std::get_if<cargo::News>(&parcel.message)) {
    follow(to, member.quay->courier->hear(now, parcel.address, *news));
  } else if (cargo::TablePoll const* const tablePoll = std::get_if<cargo::TablePoll>(&parcel.message)) {
    follow(to, member.quay->desk->hear(now, parcel.address, *tablePoll));
  } else if (cargo::TableNews const* const tableNews = std::get_if<cargo::TableNews>(&parcel.message)) {
    follow(to, member.quay->desk->hear(now, parcel.address, *tableNews));
  }
}

void Fleet::Impl::follow(std::size_t index, berth::DeskStep step) {
  sendAll(index, step.sends);
  if (step.readList) {
    ++members[index].load.listReads;
    std::uint64_t const life = members[index].life;
    sea.after(Us(3'000 + sea.roll(5'000)), [this, index, life] {
      if (members[index].up && members[index].life == life) {
        Meter const meter(members[index].load.busy);
        follow(index, members[index].quay->desk->listed(sea.now(), list));
      }
    });
  }
}

void Fleet::Impl::persist(std::size_t index, pledge::Persist const& effect) {
  std::uint64_t const life = members[index].life;
  sea.after(Us(500 + sea.roll(3'000)), [this, index, life, effect] {
    if (!members[index].up || members[index].life != life) {
      return;
    }
    for (std::pair<std::string, std::string> const& put : effect.puts) {
      members[index].master->disk[put.first] = put.second;
    }
    Meter const meter(members[index].load.busy);
    step(index, pledge::Persisted{effect.token, true});
  });
}

void Fleet::Impl::step(std::size_t index, pledge::Event const& event) {
  for (pledge::Effect const& effect : members[index].master->council->step(sea.now(), event)) {
    if (pledge::Send const* const outgoing = std::get_if<pledge::Send>(&effect)) {
      send(index, outgoing->address, outgoing->message);
    } else if (pledge::Persist const* const wanted = std::get_if<pledge::Persist>(&effect)) {
      persist(index, *wanted);
    } else if (pledge::Committed const* const committed = std::get_if<pledge::Committed>(&effect)) {
      drivePlane(index, *committed);
    } else if (pledge::Doubtful const* const doubtful = std::get_if<pledge::Doubtful>(&effect)) {
      drivePlane(index, *doubtful);
    } else if (pledge::Active const* const active = std::get_if<pledge::Active>(&effect)) {
      drivePlane(index, *active);
    } else if (std::holds_alternative<pledge::Inactive>(effect)) {
      drivePlane(index, pledge::Inactive{});
    }
  }
}

void Fleet::Impl::drivePlane(std::size_t index, harbour::Event const& event) {
  Master& master = *members[index].master;
  for (harbour::Effect const& effect : master.plane->step(sea.now(), *master.council, event)) {
    if (pledge::Offer const* const offer = std::get_if<pledge::Offer>(&effect)) {
      rosterChanges += offer->ticket >= 1ULL << 60 && offer->state.rosterSequence != master.plane->published().rosterSequence ? 1 : 0;
      step(index, *offer);
    } else if (harbour::Decided const* const decided = std::get_if<harbour::Decided>(&effect)) {
      answers[decided->ticket] = *decided;
    } else if (fairway::Outgoing const* const outgoing = std::get_if<fairway::Outgoing>(&effect)) {
      send(index, outgoing->address, outgoing->message);
    } else if (harbour::Probe const* const wanted = std::get_if<harbour::Probe>(&effect)) {
      probe(index, *wanted);
    }
  }
}

void Fleet::Impl::probe(std::size_t from, harbour::Probe const& wanted) {
  KindLoad& load = kinds["probe"];
  ++load.sent;
  std::unordered_map<std::string, std::size_t>::const_iterator const found = byAddress.find(wanted.address);
  std::uint64_t const life = members[from].life;
  std::uint64_t const token = wanted.token;
  std::string const node = wanted.node;
  if (found == byAddress.end()) {
    return;
  }
  std::size_t const to = found->second;
  sea.after(delay(from, to), [this, from, to, life, token, node] {
    if (isCut(from, to) || members[to].hostLost) {
      return;
    }
    bool const gone = !members[to].up || members[to].id != node;
    sea.after(delay(to, from), [this, from, life, token, gone] {
      if (members[from].up && members[from].life == life) {
        Meter const meter(members[from].load.busy);
        drivePlane(from, harbour::Probed{token, gone});
      }
    });
  });
}

bool Fleet::Impl::serves(std::size_t index) const {
  Member const& member = members[index];
  if (!member.up || !member.quay) {
    return false;
  }
  fairway::Standing const standing = member.quay->courier->footing(sea.now()).standing;
  return standing == fairway::Standing::current || standing == fairway::Standing::upheld;
}

std::optional<std::size_t> Fleet::Impl::primary() const {
  for (std::size_t index = 0; index < shape.masters; ++index) {
    Member const& member = members[index];
    if (member.up && member.master->plane->active() && member.master->council->active()) {
      return index;
    }
  }
  return std::nullopt;
}

std::string Fleet::Impl::documentOf(std::uint64_t number) const {
  std::string out = "{\"services\":{\"a\":{\"capacity\":" + std::to_string(number % 1000 + 1) + "}";
  std::size_t const wanted = shape.documentBytes == 0 ? 200 : shape.documentBytes;
  for (std::size_t index = 0; out.size() + 2 < wanted; ++index) {
    out += ",\"p" + std::to_string(index) + "\":{\"capacity\":50}";
  }
  return out + "}}";
}

std::optional<std::uint64_t> Fleet::Impl::offerChange() {
  std::optional<std::size_t> const index = primary();
  if (!index) {
    return std::nullopt;
  }
  std::uint64_t const ticket = ++lastTicket;
  Meter const meter(members[*index].load.busy);
  drivePlane(*index, harbour::Change{ticket, "c" + std::to_string(ticket), std::nullopt, false, documentOf(ticket), sea.now() + Ms(10'000)});
  return ticket;
}

std::vector<std::string> Fleet::Impl::homes() const {
  std::map<std::string, std::vector<std::string>> zones;
  for (Member const& member : members) {
    if (member.up && member.quay) {
      zones[member.zone].push_back(member.id);
    }
  }
  std::vector<std::string> out;
  for (std::pair<std::string const, std::vector<std::string>> const& entry : zones) {
    out.push_back(fairway::rankHomes("configuration/" + entry.first, entry.second).front());
  }
  return out;
}

void Fleet::Impl::beginStretch() {
  kinds.clear();
  rosterChanges = 0;
  for (Member& member : members) {
    member.load = {};
    member.talkedTo.clear();
    member.heardFrom.clear();
  }
}

Stretch Fleet::Impl::endStretch(TimePoint from) const {
  Stretch out;
  out.seconds = std::chrono::duration<double>(sea.now() - from).count();
  out.kinds = kinds;
  out.rosterChanges = rosterChanges;
  std::vector<std::string> const homeIds = homes();
  std::optional<std::size_t> const first = primary();
  for (std::size_t index = 0; index < members.size(); ++index) {
    Member const& member = members[index];
    if (!member.up) {
      continue;
    }
    Load load = member.load;
    load.peers = member.talkedTo.size() + member.heardFrom.size();
    load.role = std::count(homeIds.begin(), homeIds.end(), member.id) > 0 ? "home" : "front";
    if (member.master && first) {
      cargo::EpochRecord const& decided = members[*first].master->council->decided();
      bool const backup = std::count(decided.backups.begin(), decided.backups.end(), member.id) > 0;
      bool const witness = std::count(decided.witnesses.begin(), decided.witnesses.end(), member.id) > 0;
      load.role = index == *first ? "primary" : backup ? "backup" : witness ? "witness" : "spare";
    }
    out.members.push_back(std::move(load));
  }
  return out;
}

bool Fleet::Impl::everyoneHas(cargo::State const& wanted) const {
  std::pair<std::uint64_t, std::uint64_t> const mark(wanted.epoch, wanted.sequence);
  for (std::size_t index = 0; index < members.size(); ++index) {
    Member const& member = members[index];
    if (!member.up || !member.quay || !member.quay->courier->state()) {
      continue;
    }
    cargo::State const& state = *member.quay->courier->state();
    if (std::pair(state.epoch, state.sequence) < mark && serves(index)) {
      return false;
    }
  }
  return true;
}

Ms Fleet::Impl::untilForgotten(std::set<std::string> const& lost, Ms within) {
  TimePoint const from = sea.now();
  std::optional<cargo::State> mark;
  while (sea.now() - from < within) {
    sea.runUntil(sea.now() + Ms(20));
    std::optional<std::size_t> const index = primary();
    if (!mark && index) {
      cargo::State const& state = members[*index].master->plane->published();
      bool const listed = std::any_of(state.roster.begin(), state.roster.end(),
                                      [&](cargo::RosterEntry const& entry) { return lost.contains(entry.node); });
      if (!listed) {
        mark = state;
      }
    }
    if (mark && everyoneHas(*mark)) {
      return std::chrono::duration_cast<Ms>(sea.now() - from);
    }
  }
  return Ms(-1);
}

Fleet::Fleet(Shape const& shape) : impl_(std::make_unique<Impl>(shape)) {
  Impl& impl = *impl_;
  impl.makeList();
  for (std::size_t index = 0; index < shape.masters + shape.nodes; ++index) {
    Member member;
    bool const master = index < shape.masters;
    member.id = master ? "h" + std::to_string(index) : nameOf(index);
    member.address = addressOf(index);
    member.zoneNumber = (master ? index * std::max<std::size_t>(1, shape.zones / shape.masters) : index) % shape.zones;
    member.zone = "z" + std::to_string(member.zoneNumber);
    member.region = member.zoneNumber % shape.regions;
    if (master) {
      member.master.emplace();
    } else {
      member.quay.emplace();
    }
    impl.byAddress[member.address] = index;
    if (index < 3) {
      impl.seeds.push_back(member.address);
    }
    impl.members.push_back(std::move(member));
  }
  impl.lastNumber = shape.masters + shape.nodes;
}

Fleet::~Fleet() = default;

void Fleet::startAll(Ms wait, Ms over) {
  for (std::size_t index = 0; index < impl_->members.size(); ++index) {
    if (index < impl_->shape.masters) {
      impl_->start(index);
    } else {
      impl_->sea.after(wait + Us(impl_->sea.roll(static_cast<std::uint64_t>(over.count()) * 1000 + 1)), [this, index] { impl_->start(index); });
    }
  }
}

void Fleet::run(Ms time) { impl_->sea.runUntil(impl_->sea.now() + time); }

std::size_t Fleet::serving() const {
  std::size_t count = 0;
  for (std::size_t index = 0; index < impl_->members.size(); ++index) {
    count += impl_->serves(index) ? 1 : 0;
  }
  return count;
}

std::size_t Fleet::alive() const {
  return static_cast<std::size_t>(std::count_if(impl_->members.begin(), impl_->members.end(),
                                                [](Member const& member) { return member.up && member.quay; }));
}

std::size_t Fleet::listed() const {
  std::optional<std::size_t> const index = impl_->primary();
  return index ? impl_->members[*index].master->plane->published().roster.size() : 0;
}

std::size_t Fleet::stateBytes() const {
  std::optional<std::size_t> const index = impl_->primary();
  return index ? cargo::pack(impl_->members[*index].master->plane->published()).size() : 0;
}

bool Fleet::awaitServing(std::size_t wanted, Ms within) {
  TimePoint const end = impl_->sea.now() + within;
  while (impl_->sea.now() < end && serving() < wanted) {
    run(Ms(100));
  }
  return serving() >= wanted;
}

Stretch Fleet::measure(Ms time) { return churn(time, {}); }

Stretch Fleet::churn(Ms time, Churn const& rates) {
  Impl& impl = *impl_;
  impl.beginStretch();
  TimePoint const from = impl.sea.now();
  Stretch counts;
  counts.leastServing = serving();
  std::size_t rounds = 0;
  std::vector<std::uint64_t> tickets;
  std::function<std::size_t()> const someNode = [&] {
    std::size_t index = impl.shape.masters + impl.sea.roll(impl.shape.nodes);
    while (!impl.members[index].up) {
      index = impl.shape.masters + impl.sea.roll(impl.shape.nodes);
    }
    return index;
  };
  std::function<void(double, std::size_t&, std::function<void()> const&)> const maybe =
      [&](double perSecond, std::size_t& count, std::function<void()> const& work) {
        if (impl.sea.chance(perSecond * 0.02)) {
          ++count;
          work();
        }
      };
  while (impl.sea.now() - from < time) {
    maybe(rates.restartsPerSecond, counts.restarts, [&] {
      std::size_t const index = someNode();
      std::uint64_t const life = impl.members[index].life;
      impl.members[index].quay->courier->leave();
      impl.sea.after(noticeMs, [&impl, index, life] {
        if (impl.members[index].life == life) {
          impl.stop(index, false);
          impl.sea.after(downMs, [&impl, index] { impl.start(index); });
        }
      });
    });
    maybe(rates.failuresPerSecond, counts.failures, [&] {
      std::size_t const index = someNode();
      impl.stop(index, true);
      impl.sea.after(replacedAfterMs, [&impl, index] { impl.replace(index); });
    });
    maybe(rates.changesPerSecond, counts.changes, [&] {
      if (std::optional<std::uint64_t> const ticket = impl.offerChange()) {
        tickets.push_back(*ticket);
      }
    });
    run(Ms(20));
    if (++rounds % 50 == 0) {
      counts.leastServing = std::min(counts.leastServing, serving());
    }
  }
  Stretch out = impl.endStretch(from);
  out.restarts = counts.restarts;
  out.failures = counts.failures;
  out.changes = counts.changes;
  out.leastServing = counts.leastServing;
  for (std::uint64_t const ticket : tickets) {
    out.taken += impl.answers.contains(ticket) && impl.answers.at(ticket).verdict == harbour::Verdict::taken ? 1 : 0;
  }
  return out;
}

Landing Fleet::change(Ms within) {
  Impl& impl = *impl_;
  Landing out;
  TimePoint const from = impl.sea.now();
  std::optional<std::uint64_t> const ticket = impl.offerChange();
  out.verdict = ticket ? "unknown" : "not_run";
  std::optional<cargo::State> published;
  while (ticket && impl.sea.now() - from < within && (out.everywhereMs < Ms(0) || out.acknowledgedMs < Ms(0))) {
    run(Ms(5));
    Ms const passed = std::chrono::duration_cast<Ms>(impl.sea.now() - from);
    std::optional<std::size_t> const index = impl.primary();
    if (!published && index) {
      cargo::State const& state = impl.members[*index].master->plane->published();
      if (std::any_of(state.receipts.begin(), state.receipts.end(),
                      [&](cargo::Receipt const& receipt) { return receipt.change == "c" + std::to_string(*ticket); })) {
        published = state;
      }
    }
    if (out.acknowledgedMs < Ms(0) && impl.answers.contains(*ticket)) {
      out.verdict = impl.answers.at(*ticket).verdict == harbour::Verdict::taken ? "taken" : "other";
      out.acknowledgedMs = passed;
    }
    if (out.everywhereMs < Ms(0) && published && impl.everyoneHas(*published)) {
      out.everywhereMs = passed;
    }
  }
  return out;
}

Ms Fleet::killNode(Ms within) {
  std::size_t const index = impl_->shape.masters + impl_->sea.roll(impl_->shape.nodes);
  std::string const id = impl_->members[index].id;
  impl_->stop(index, false);
  Ms const out = impl_->untilForgotten({id}, within);
  impl_->start(index);
  return out;
}

Ms Fleet::loseNode(Ms within) {
  std::size_t const index = impl_->shape.masters + impl_->sea.roll(impl_->shape.nodes);
  std::string const id = impl_->members[index].id;
  impl_->stop(index, true);
  Ms const out = impl_->untilForgotten({id}, within);
  impl_->replace(index);
  return out;
}

void Fleet::loseZone() {
  std::optional<std::size_t> const first = impl_->primary();
  std::string zone;
  for (Member const& member : impl_->members) {
    bool const masters = std::any_of(impl_->members.begin(), impl_->members.end(),
                                     [&](Member const& other) { return other.master && other.zone == member.zone; });
    zone = member.quay && (!masters || impl_->shape.zones <= impl_->shape.masters) && first &&
                   member.zone != impl_->members[*first].zone
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

Ms Fleet::untilZoneForgotten(Ms within) { return impl_->untilForgotten(impl_->lostZone, within); }

void Fleet::cutRegion(bool cut) {
  std::optional<std::size_t> const first = impl_->primary();
  std::size_t const region = first ? impl_->members[*first].region : 0;
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

}
