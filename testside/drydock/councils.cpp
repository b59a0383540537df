#include "drydock/councils.h"

#include <algorithm>

namespace limeramp::drydock {

Councils::Councils(std::uint64_t seed, std::size_t count, double loss, std::size_t machineLosses)
    : sea(seed), loss_(loss), machineLosses_(machineLosses) {
  for (std::size_t index = 0; index < count; ++index) {
    CouncilNode node;
    node.id = "h" + std::to_string(index);
    node.address = "127.0.0." + std::to_string(index + 1) + ":7001";
    node.zone = "z" + std::to_string(index % 4);
    if (index < 3) {
      founders.push_back(node.address);
    }
    nodes.push_back(std::move(node));
  }
}

void Councils::start(std::size_t index) {
  CouncilNode& node = nodes[index];
  node.council = pledge::Council(pledge::policyFor(machineLosses_));
  node.up = true;
  node.frozen = false;
  node.diskStuck = false;
  node.thawWork.clear();
  node.unsynced.clear();
  ++node.life;
  step(index, pledge::Start{{node.id, node.address, node.zone}, node.disk, sea.dice()(), false, founders});
  tick(index, node.life);
}

void Councils::kill(std::size_t index, bool powerLoss) {
  CouncilNode& node = nodes[index];
  if (!powerLoss) {
    for (std::pair<std::uint64_t, pledge::Puts> const& pending : node.unsynced) {
      for (std::pair<std::string, std::string> const& put : pending.second) {
        node.disk[put.first] = put.second;
      }
    }
  }
  node.unsynced.clear();
  node.up = false;
  ++node.life;
}

void Councils::wipeInPlace(std::size_t index) {
  kill(index, true);
  CouncilNode& node = nodes[index];
  node.disk.clear();
  node.mayFound = false;
  node.id = "h" + std::to_string(index) + "-" + std::to_string(++renamed_);
}

void Councils::wipe(std::size_t index) {
  wipeInPlace(index);
  nodes[index].address = "127.0.1." + std::to_string(renamed_) + ":7001";
}

void Councils::freeze(std::size_t index) { nodes[index].frozen = true; }

void Councils::thaw(std::size_t index) {
  CouncilNode& node = nodes[index];
  if (!node.frozen) {
    return;
  }
  node.frozen = false;
  std::vector<std::function<void()>> const work = std::move(node.thawWork);
  node.thawWork.clear();
  for (std::function<void()> const& one : work) {
    one();
  }
}

void Councils::tick(std::size_t index, std::uint64_t life) {
  CouncilNode& node = nodes[index];
  if (!node.up || node.life != life) {
    return;
  }
  if (!node.frozen) {
    pledge::Known known;
    known.mayFound = node.mayFound;
    for (CouncilNode const& other : nodes) {
      if (other.up) {
        known.members.push_back({other.id, other.address, other.zone});
      }
    }
    step(index, known);
    step(index, pledge::Tick{});
  }
  sea.after(Ms(20), [this, index, life] { tick(index, life); });
}

void Councils::step(std::size_t index, pledge::Event const& event) {
  for (pledge::Effect const& effect : nodes[index].council.step(sea.now(), event)) {
    carry(index, effect);
  }
  checkAuthority();
}

void Councils::checkAuthority() {
  for (CouncilNode const& node : nodes) {
    cargo::EpochRecord const& decided = node.council.decided();
    if (decided.epoch > 0 && !(records_.emplace(decided.epoch, decided).first->second == decided)) {
      complaints.push_back(node.id + " holds a second record of epoch " + std::to_string(decided.epoch));
    }
    std::optional<TimePoint> const authority = node.council.authority();
    if (!node.up || !authority) {
      continue;
    }
    for (std::pair<std::uint64_t const, TimePoint> const& entry : firstCommit_) {
      if (entry.first > node.council.decided().epoch && entry.second < *authority) {
        complaints.push_back(node.id + " claims authority after epoch " + std::to_string(entry.first) + " committed");
      }
    }
  }
}

void Councils::witness(std::size_t index, cargo::State const& state, std::string const& what) {
  if (!state.document.starts_with(committed_) && !committed_.starts_with(state.document)) {
    complaints.push_back(nodes[index].id + " " + what + " '" + state.document + "' without '" + committed_ + "'");
  }
}

void Councils::carry(std::size_t index, pledge::Effect const& effect) {
  std::uint64_t const life = nodes[index].life;
  if (pledge::Send const* const send = std::get_if<pledge::Send>(&effect)) {
    for (std::size_t to = 0; to < nodes.size(); ++to) {
      if (nodes[to].address != send->address || cuts_.contains({index, to}) || sea.chance(loss_)) {
        continue;
      }
      pledge::Received const event{nodes[index].id, nodes[index].address, send->message};
      std::uint64_t const target = nodes[to].life;
      std::size_t const copies = sea.chance(loss_ / 2) ? 2 : 1;
      for (std::size_t copy = 0; copy < copies; ++copy) {
        std::chrono::microseconds const wait(200 + sea.roll(sea.chance(0.02) ? 400'000 : 4'000));
        sea.after(wait, [this, to, target, event] {
          CouncilNode& node = nodes[to];
          if (!node.up || node.life != target) {
            return;
          }
          if (node.frozen) {
            node.thawWork.push_back([this, to, event] { step(to, event); });
          } else {
            step(to, event);
          }
        });
      }
    }
  } else if (pledge::Persist const* const persist = std::get_if<pledge::Persist>(&effect)) {
    nodes[index].unsynced.emplace_back(persist->token, persist->puts);
    std::uint64_t const token = persist->token;
    std::function<void()> const finish = [this, index, life, token] {
      CouncilNode& node = nodes[index];
      if (!node.up || node.life != life || node.diskStuck) {
        return;
      }
      while (!node.unsynced.empty() && node.unsynced.front().first <= token) {
        std::pair<std::uint64_t, pledge::Puts> const done = std::move(node.unsynced.front());
        node.unsynced.erase(node.unsynced.begin());
        for (std::pair<std::string, std::string> const& put : done.second) {
          node.disk[put.first] = put.second;
        }
        if (node.frozen) {
          node.thawWork.push_back([this, index, done] { step(index, pledge::Persisted{done.first, true}); });
        } else {
          step(index, pledge::Persisted{done.first, true});
        }
        if (node.life != life) {
          return;
        }
      }
    };
    sea.after(std::chrono::microseconds(500 + sea.roll(sea.chance(0.05) ? 300'000 : 6'000)), finish);
  } else if (pledge::Committed const* const committed = std::get_if<pledge::Committed>(&effect)) {
    witness(index, committed->state, "commits");
    committed_ = std::max(committed_, committed->state.document,
                          [](std::string const& left, std::string const& right) { return left.size() < right.size(); });
    firstCommit_.emplace(committed->state.epoch, sea.now());
    ++commits;
  } else if (pledge::Active const* const active = std::get_if<pledge::Active>(&effect)) {
    witness(index, active->state, "begins with");
    fleets.insert(nodes[index].council.decided().fleet);
    ++takeovers;
  } else if (pledge::Salvaged const* const salvaged = std::get_if<pledge::Salvaged>(&effect)) {
    refusal_ = salvaged->refusal;
  } else if (std::holds_alternative<pledge::Doubtful>(effect)) {
    ++doubts;
  }
}

std::string Councils::salvage(std::size_t index, cargo::State const& state, std::string const& fleet) {
  refusal_ = "no answer";
  step(index, pledge::Salvage{fleet, state});
  return refusal_;
}

void Councils::offer() {
  for (std::size_t index = 0; index < nodes.size(); ++index) {
    CouncilNode& node = nodes[index];
    if (node.up && !node.frozen && node.council.active() && !node.council.busy()) {
      cargo::State state = node.council.state();
      std::uint64_t const ticket = ++lastTicket_;
      state.document += std::to_string(ticket) + ",";
      step(index, pledge::Offer{ticket, std::move(state)});
    }
  }
}

std::optional<std::size_t> Councils::active() const {
  std::optional<std::size_t> best;
  for (std::size_t index = 0; index < nodes.size(); ++index) {
    if (nodes[index].up && !nodes[index].frozen && nodes[index].council.active() &&
        (!best || nodes[index].council.decided().epoch > nodes[*best].council.decided().epoch)) {
      best = index;
    }
  }
  return best;
}

}
