#include "drydock/roads.h"

#include <algorithm>

namespace limeramp::drydock {
namespace {

constexpr Ms inForceMs{2100};
constexpr std::size_t exchangeBytes = 220;

}

Roads::Roads(std::uint64_t seed, std::size_t masters, std::size_t quays, std::size_t zones) : sea(seed) {
  for (std::size_t index = 0; index < masters + quays; ++index) {
    Machine machine;
    std::string const zone = "z" + std::to_string(index % zones);
    std::string const address = "127.0.0." + std::to_string(index + 1) + ":7000";
    if (index < std::min<std::size_t>(masters, 3)) {
      founders_.push_back(address);
    }
    if (index < masters) {
      machine.master = Master{"h" + std::to_string(index), address, zone, {}, {}, {}, {}};
    } else {
      machine.quay = Quay{"m" + std::to_string(index), address, zone, {}, {}};
    }
    machines.push_back(std::move(machine));
  }
}

void Roads::startAll() {
  for (std::size_t index = 0; index < machines.size(); ++index) {
    start(index);
  }
}

std::vector<cargo::Peer> Roads::peers() const {
  std::vector<cargo::Peer> out;
  for (Machine const& machine : machines) {
    if (machine.up && machine.quay) {
      out.push_back({machine.quay->node, machine.quay->address, machine.quay->zone, "quay", machine.life, 0});
    } else if (machine.up) {
      out.push_back({machine.master->id, machine.master->address, machine.master->zone, "harbourmaster", machine.life, 0});
    }
  }
  return out;
}

void Roads::start(std::size_t index) {
  Machine& machine = machines[index];
  machine.up = true;
  machine.hostLost = false;
  machine.frozen = false;
  machine.thawWork.clear();
  ++machine.life;
  if (machine.quay) {
    Quay& quay = *machine.quay;
    quay.courier.emplace(fairway::CourierPolicy{}, cargo::Follower{quay.node, quay.address, quay.zone, 0, 0}, sea.dice()() | 1, sea.dice()());
    quay.version = {};
  } else {
    Master& master = *machine.master;
    master.unsynced.clear();
    master.diskFails = false;
    master.council.emplace(pledge::Policy{});
    master.plane.emplace(harbour::Policy{}, master.id, language);
    step(index, pledge::Start{{master.id, master.address, master.zone}, master.disk, sea.dice()(), false, founders_});
  }
  tick(index, machine.life);
}

void Roads::kill(std::size_t index) {
  Machine& machine = machines[index];
  machine.up = false;
  ++machine.life;
}

void Roads::loseHost(std::size_t index) {
  kill(index);
  machines[index].hostLost = true;
}

void Roads::replace(std::size_t index) {
  kill(index);
  std::string const address = "127.0.1." + std::to_string(++replaced_) + ":7000";
  if (machines[index].quay) {
    machines[index].quay->node = "r" + std::to_string(replaced_);
    machines[index].quay->address = address;
  } else {
    machines[index].master->address = address;
    wipe(index);
  }
}

void Roads::wipe(std::size_t index) {
  kill(index);
  Master& master = *machines[index].master;
  master.disk.clear();
  master.mayFound = false;
  master.id = "h" + std::to_string(index) + "-" + std::to_string(++replaced_);
}

void Roads::probe(std::size_t from, harbour::Probe const& wanted) {
  std::uint64_t const life = machines[from].life;
  std::function<void(bool)> const tell = [this, from, life, token = wanted.token](bool gone) {
    sea.after(std::chrono::microseconds(200 + sea.roll(3'000)), [this, from, life, token, gone] {
      if (machines[from].up && machines[from].life == life) {
        std::function<void()> const hear = [this, from, token, gone] { drivePlane(from, harbour::Probed{token, gone}); };
        machines[from].frozen ? machines[from].thawWork.push_back(hear) : hear();
      }
    });
  };
  bool taken = false;
  for (std::size_t to = 0; to < machines.size(); ++to) {
    if (machines[to].address() != wanted.address) {
      continue;
    }
    taken = true;
    sea.after(std::chrono::microseconds(200 + sea.roll(3'000)), [this, to, from, tell, wanted] {
      Machine const& machine = machines[to];
      if (cuts_.contains({from, to}) || cuts_.contains({to, from}) || machine.hostLost || machine.frozen) {
        return;
      }
      tell(!machine.up || (machine.quay && machine.quay->node != wanted.node));
    });
  }
  if (!taken) {
    tell(true);
  }
}

void Roads::thaw(std::size_t index) {
  Machine& machine = machines[index];
  if (!machine.frozen) {
    return;
  }
  machine.frozen = false;
  judge(index);
  std::vector<std::function<void()>> const work = std::move(machine.thawWork);
  machine.thawWork.clear();
  for (std::function<void()> const& one : work) {
    one();
  }
}

void Roads::split(std::set<std::size_t> const& side) {
  for (std::size_t left = 0; left < machines.size(); ++left) {
    for (std::size_t right = 0; right < machines.size(); ++right) {
      if (side.contains(left) != side.contains(right)) {
        cut(left, right);
      }
    }
  }
}

bool Roads::serves(std::size_t index) const {
  Machine const& machine = machines[index];
  if (!machine.up || machine.frozen || !machine.quay) {
    return false;
  }
  fairway::Standing const standing = machine.quay->courier->footing(sea.now()).standing;
  return standing == fairway::Standing::current || standing == fairway::Standing::upheld;
}

std::string Roads::picture() const {
  std::string out;
  for (Machine const& machine : machines) {
    std::string const end = std::string(machine.up ? " up" : " down") + (machine.frozen ? " frozen" : "");
    if (machine.quay) {
      std::optional<cargo::State> const& state = machine.quay->courier->state();
      out += "\n" + machine.quay->node + end + " " + machine.quay->address + " standing " +
             std::to_string(static_cast<int>(machine.quay->courier->footing(sea.now()).standing)) + " at " +
             (state ? manifest::Version{state->epoch, state->sequence}.text() : "-");
      continue;
    }
    cargo::EpochRecord const& decided = machine.master->council->decided();
    out += "\n" + machine.master->id + end + " epoch " + std::to_string(decided.epoch) + " primary " + decided.primary +
           " backup " + (decided.backups.empty() ? "" : decided.backups.front());
    if (machine.isActive()) {
      cargo::State const& state = machine.master->plane->published();
      out += " active, prior";
      for (cargo::RosterEntry const& entry : state.priorRoster) {
        out += " " + entry.node;
      }
      for (harbour::NodeView const& node : machine.master->plane->nodes(sea.now())) {
        out += "\n    " + node.node + " " + node.address + " confirmed " + node.confirmed.text() + " heard " +
               std::to_string(node.heardMs.count()) + (node.gone ? " gone" : "");
      }
    }
  }
  return out;
}

std::size_t Roads::serving() const {
  std::size_t count = 0;
  for (std::size_t index = 0; index < machines.size(); ++index) {
    count += serves(index) ? 1 : 0;
  }
  return count;
}

bool Roads::awaitServing(std::size_t wanted, Ms within) {
  TimePoint const end = sea.now() + within;
  while (sea.now() < end && serving() < wanted) {
    run(Ms(50));
  }
  return serving() >= wanted;
}

void Roads::complain(std::string const& text) {
  if (complaints.empty() || complaints.back() != text) {
    complaints.push_back(text);
  }
}

void Roads::judge(std::size_t index) {
  Machine& machine = machines[index];
  if (!machine.quay || machine.frozen) {
    return;
  }
  Quay& quay = *machine.quay;
  std::optional<cargo::State> const& state = quay.courier->state();
  if (state) {
    manifest::Version const version{state->configurationEpoch, state->configurationSequence};
    if (version < quay.version) {
      complain(quay.node + " slipped from " + quay.version.text() + " to " + version.text());
    }
    quay.version = version;
  }
  if (!serves(index)) {
    ++withheld;
    return;
  }
  ++served;
  upheld += quay.courier->footing(sea.now()).standing == fairway::Standing::upheld ? 1 : 0;
  for (std::pair<manifest::Version const, TimePoint> const& entry : acknowledged_) {
    if (entry.first > quay.version && sea.now() > entry.second + inForceMs) {
      complain(quay.node + " serves under " + quay.version.text() + " later than 2.1 s after " + entry.first.text() +
               " was acknowledged");
    }
  }
  for (std::pair<std::string const, std::pair<harbour::ZoneOrder, TimePoint>> const& entry : orderedZones_) {
    std::vector<std::string> const& zones = state->emptiedZones;
    bool const emptied = std::find(zones.begin(), zones.end(), entry.first) != zones.end();
    if (emptied != entry.second.first.emptied && sea.now() > entry.second.second + inForceMs) {
      complain(quay.node + " serves with " + entry.first + (emptied ? " emptied" : " in use") +
               " later than 2.1 s after the opposite was acknowledged");
    }
  }
}

void Roads::tick(std::size_t index, std::uint64_t life) {
  Machine& machine = machines[index];
  if (!machine.up || machine.life != life) {
    return;
  }
  if (!machine.frozen) {
    if (machine.quay) {
      follow(index, machine.quay->courier->tick(sea.now(), peers()));
    } else {
      pledge::Known known;
      known.mayFound = machine.master->mayFound;
      for (cargo::Peer const& peer : peers()) {
        if (peer.role == "harbourmaster") {
          known.members.push_back({peer.node, peer.address, peer.zone});
        }
      }
      step(index, known);
      step(index, pledge::Tick{});
      drivePlane(index, harbour::Tick{});
    }
    judge(index);
  }
  sea.after(Ms(20), [this, index, life] { tick(index, life); });
}

void Roads::follow(std::size_t index, fairway::CourierStep const& step) {
  for (fairway::Outgoing const& outgoing : step.sends) {
    send(index, outgoing.address, outgoing.message);
  }
  judge(index);
}

void Roads::send(std::size_t from, std::string const& address, cargo::Message const& message) {
  ++messages;
  for (std::size_t to = 0; to < machines.size(); ++to) {
    if (machines[to].address() != address || cuts_.contains({from, to}) || !machines[to].up) {
      continue;
    }
    if (weighs && machines[to].zone() != machines[from].zone()) {
      bytesAcrossZones[from] += cargo::seal({"0123456789abcdef", "edge-kelaniya-a-1/01234567", "10.101.102.103:7081", message}).size() + exchangeBytes;
    }
    std::uint64_t const life = machines[to].life;
    std::chrono::microseconds const wait(200 + sea.roll(sea.chance(0.01) ? 300'000 : 3'000));
    sea.after(wait, [this, to, life, from, message] {
      Machine& machine = machines[to];
      if (!machine.up || machine.life != life) {
        return;
      }
      if (machine.frozen) {
        machine.thawWork.push_back([this, to, from, message] { deliver(to, from, message); });
      } else {
        deliver(to, from, message);
      }
    });
  }
}

void Roads::deliver(std::size_t to, std::size_t from, cargo::Message const& message) {
  Machine& machine = machines[to];
  std::string const address = machines[from].address();
  if (machine.quay) {
    if (cargo::Poll const* const poll = std::get_if<cargo::Poll>(&message)) {
      follow(to, machine.quay->courier->hear(sea.now(), address, *poll));
    } else if (cargo::News const* const news = std::get_if<cargo::News>(&message)) {
      follow(to, machine.quay->courier->hear(sea.now(), address, *news));
    }
  } else if (cargo::Poll const* const poll = std::get_if<cargo::Poll>(&message)) {
    drivePlane(to, harbour::Polled{address, *poll});
  } else if (machines[from].master) {
    step(to, pledge::Received{machines[from].master->id, address, message});
  }
}

void Roads::step(std::size_t index, pledge::Event const& event) {
  Master& master = *machines[index].master;
  std::uint64_t const life = machines[index].life;
  for (pledge::Effect const& effect : master.council->step(sea.now(), event)) {
    if (pledge::Send const* const outgoing = std::get_if<pledge::Send>(&effect)) {
      send(index, outgoing->address, outgoing->message);
    } else if (pledge::Persist const* const persist = std::get_if<pledge::Persist>(&effect)) {
      master.unsynced.emplace_back(persist->token, persist->puts);
      std::uint64_t const token = persist->token;
      sea.after(std::chrono::microseconds(500 + sea.roll(5'000)), [this, index, life, token] {
        if (!machines[index].up || machines[index].life != life) {
          return;
        }
        Master& owner = *machines[index].master;
        if (owner.diskFails) {
          step(index, pledge::Persisted{token, false});
          return;
        }
        while (!owner.unsynced.empty() && owner.unsynced.front().first <= token) {
          std::pair<std::uint64_t, pledge::Puts> const done = std::move(owner.unsynced.front());
          owner.unsynced.erase(owner.unsynced.begin());
          for (std::pair<std::string, std::string> const& put : done.second) {
            owner.disk[put.first] = put.second;
          }
          std::function<void()> const tell = [this, index, done] { step(index, pledge::Persisted{done.first, true}); };
          if (machines[index].frozen) {
            machines[index].thawWork.push_back(tell);
          } else {
            tell();
          }
        }
      });
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

void Roads::drivePlane(std::size_t index, harbour::Event const& event) {
  Master& master = *machines[index].master;
  for (harbour::Effect const& effect : master.plane->step(sea.now(), *master.council, event)) {
    if (pledge::Offer const* const offer = std::get_if<pledge::Offer>(&effect)) {
      step(index, *offer);
    } else if (harbour::Decided const* const decided = std::get_if<harbour::Decided>(&effect)) {
      answers[decided->ticket] = {*decided, sea.now()};
      if (decided->verdict == harbour::Verdict::taken && decided->version != manifest::Version{}) {
        acknowledged_.emplace(decided->version, sea.now());
      }
      if (decided->verdict == harbour::Verdict::taken && orders_.contains(decided->ticket)) {
        harbour::ZoneOrder const& order = orders_.at(decided->ticket);
        orderedZones_[order.zone] = {order, sea.now()};
      }
    } else if (harbour::ReadBack const* const back = std::get_if<harbour::ReadBack>(&effect)) {
      if (back->version < newestAcknowledged()) {
        complain(master.id + " reads back " + back->version.text() + " after " + newestAcknowledged().text());
      }
      readBacks[back->ticket] = *back;
    } else if (fairway::Outgoing const* const outgoing = std::get_if<fairway::Outgoing>(&effect)) {
      send(index, outgoing->address, outgoing->message);
    } else if (harbour::Probe const* const wanted = std::get_if<harbour::Probe>(&effect)) {
      probe(index, *wanted);
    }
  }
}

std::optional<std::uint64_t> Roads::forget(std::vector<std::string> const& nodes) {
  std::optional<std::size_t> const index = primary();
  if (!index) {
    return std::nullopt;
  }
  std::uint64_t const ticket = ++lastTicket_;
  drivePlane(*index, harbour::Forget{ticket, nodes, sea.now() + Ms(8000)});
  return ticket;
}

std::optional<std::size_t> Roads::primary() const {
  std::optional<std::size_t> best;
  for (std::size_t index = 0; index < machines.size(); ++index) {
    Machine const& machine = machines[index];
    bool const active = machine.up && !machine.frozen && machine.master && machine.isActive();
    if (active && (!best || machine.master->council->decided().epoch > machines[*best].master->council->decided().epoch)) {
      best = index;
    }
  }
  return best;
}

std::optional<std::uint64_t> Roads::change(std::string const& id, std::string const& body,
                                           std::optional<manifest::Version> base, bool patch) {
  return change({0, id, base, patch, body, sea.now() + Ms(8000), {}, {}});
}

std::optional<std::uint64_t> Roads::order(std::string const& zone, bool emptied) {
  orderedZones_.erase(zone);
  return change({0, "", {}, false, "", sea.now() + Ms(8000), {}, harbour::ZoneOrder{zone, emptied}});
}

std::uint64_t Roads::read(std::size_t index, Ms wait) {
  std::uint64_t const ticket = ++lastTicket_;
  drivePlane(index, harbour::Read{ticket, sea.now() + wait});
  return ticket;
}

std::optional<std::uint64_t> Roads::change(harbour::Change change) {
  std::optional<std::size_t> const index = primary();
  if (!index) {
    return std::nullopt;
  }
  change.ticket = ++lastTicket_;
  if (change.zone) {
    orders_.emplace(change.ticket, *change.zone);
  }
  drivePlane(*index, change);
  return change.ticket;
}

}
