#include "limeramp/distribution/peer_views.h"
#include "simulator/simulated_network.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <set>

namespace {

using namespace limeramp;
using namespace limeramp::distribution;
using simulator::SimulatedNetwork;
using Ms = std::chrono::milliseconds;

struct Fleet {
  Fleet(std::uint64_t seed, std::size_t count) : network(seed) {
    for (std::size_t index = 0; index < count; ++index) {
      addresses.push_back("127.0." + std::to_string(index / 200) + "." + std::to_string(index % 200 + 1) + ":7000");
      views.emplace_back();
      up.push_back(false);
      sent.push_back(0);
    }
  }

  SimulatedNetwork network;
  std::vector<std::string> addresses;
  std::vector<std::optional<PeerViews>> views;
  std::vector<bool> up;
  std::vector<std::size_t> sent;
  /// A running node whose messages are all lost, in both directions.
  std::optional<std::size_t> isolated;

  std::string nameOf(std::size_t index) const { return "m" + std::to_string(index); }

  void start(std::size_t index) {
    std::vector<std::string> const seeds(addresses.begin(), addresses.begin() + 3);
    views[index].emplace(
        PeerViewOptions{},
        messages::Peer{nameOf(index), addresses[index], "z", messages::gatewayRole, network.random()(), 0}, seeds,
        network.random()());
    up[index] = true;
    tick(index);
  }

  void tick(std::size_t index) {
    if (!up[index]) {
      return;
    }
    send(index, views[index]->tick(network.now()));
    network.after(Ms(20), [this, index] { tick(index); });
  }

  void send(std::size_t from, std::vector<Outgoing> const& sends) {
    for (Outgoing const& outgoing : sends) {
      ++sent[from];
      std::size_t const to =
          static_cast<std::size_t>(std::find(addresses.begin(), addresses.end(), outgoing.address) - addresses.begin());
      messages::Shuffle const shuffle = std::get<messages::Shuffle>(outgoing.message);
      network.after(std::chrono::microseconds(200 + network.roll(3000)), [this, from, to, shuffle] {
        if (to < up.size() && up[to] && isolated != from && isolated != to) {
          send(to, views[to]->onMessage(network.now(), nameOf(from), addresses[from], shuffle));
        }
      });
    }
  }

  std::size_t countViewsWith(std::string const& node) const {
    std::size_t count = 0;
    for (std::size_t index = 0; index < views.size(); ++index) {
      if (up[index]) {
        std::vector<messages::Peer> const peers = views[index]->peers(network.now());
        count += std::any_of(peers.begin(), peers.end(), [&](messages::Peer const& peer) { return peer.node == node; })
                     ? 1
                     : 0;
      }
    }
    return count;
  }

  std::size_t countReachableFrom(std::size_t first) const {
    std::set<std::size_t> seen{first};
    std::vector<std::size_t> pending{first};
    while (!pending.empty()) {
      std::size_t const current = pending.back();
      pending.pop_back();
      for (messages::Peer const& peer : views[current]->peers(network.now())) {
        std::size_t const next = static_cast<std::size_t>(std::stoul(peer.node.substr(1)));
        if (up[next] && seen.insert(next).second) {
          pending.push_back(next);
        }
      }
    }
    return seen.size();
  }
};

TEST(PeerViews, ViewsStayConnectedUnderChurnAndDropDeadNodes) {
  for (std::size_t const count : {10u, 30u, 100u}) {
    std::vector<long> forgotten;
    std::vector<long> joined;
    double messages = 0;
    std::uint64_t const seeds = std::getenv("LIMERAMP_LONG") != nullptr ? 5 : count == 100 ? 1 : 2;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      Fleet fleet(seed, count);
      for (std::size_t index = 0; index < count; ++index) {
        fleet.start(index);
      }
      fleet.network.runUntil(fleet.network.now() + Ms(10'000));
      EXPECT_EQ(fleet.countReachableFrom(count - 1), count);
      std::fill(fleet.sent.begin(), fleet.sent.end(), 0);
      simulator::TimePoint const before = fleet.network.now();
      fleet.network.runUntil(before + Ms(10'000));
      for (std::size_t const sent : fleet.sent) {
        messages += static_cast<double>(sent) / static_cast<double>(count) / 10 / static_cast<double>(seeds);
      }
      std::vector<std::size_t> dead;
      for (std::size_t index = 3; index < count; ++index) {
        if (fleet.network.chance(0.4)) {
          fleet.up[index] = false;
          dead.push_back(index);
        }
      }
      simulator::TimePoint const killedAt = fleet.network.now();
      std::set<std::size_t> remembered(dead.begin(), dead.end());
      while (!remembered.empty() && fleet.network.now() - killedAt < Ms(20'000)) {
        fleet.network.runUntil(fleet.network.now() + Ms(100));
        std::erase_if(remembered, [&](std::size_t index) {
          bool const gone = fleet.countViewsWith(fleet.nameOf(index)) == 0;
          if (gone) {
            forgotten.push_back(std::chrono::duration_cast<Ms>(fleet.network.now() - killedAt).count());
          }
          return gone;
        });
      }
      EXPECT_TRUE(remembered.empty());
      for (std::size_t const index : dead) {
        simulator::TimePoint const began = fleet.network.now();
        fleet.start(index);
        while (fleet.countViewsWith(fleet.nameOf(index)) < 3 && fleet.network.now() - began < Ms(10'000)) {
          fleet.network.runUntil(fleet.network.now() + Ms(50));
        }
        joined.push_back(std::chrono::duration_cast<Ms>(fleet.network.now() - began).count());
      }
      fleet.network.runUntil(fleet.network.now() + Ms(3000));
      EXPECT_EQ(fleet.countReachableFrom(count - 1), count) << seed;
    }
    std::sort(forgotten.begin(), forgotten.end());
    std::sort(joined.begin(), joined.end());
    std::printf(
        "%zu nodes, seeds 1 to %llu: %.1f messages a second from each; forgotten by all after %ld / %ld / %ld ms, "
        "known to three others after %ld / %ld / %ld ms (median, 95th, most)\n",
        count, static_cast<unsigned long long>(seeds), messages, forgotten[forgotten.size() / 2],
        forgotten[forgotten.size() * 95 / 100], forgotten.back(), joined[joined.size() / 2],
        joined[joined.size() * 95 / 100], joined.back());
    EXPECT_LE(forgotten.back(), 7000);
    EXPECT_LE(joined.back(), 3000);
    EXPECT_LT(messages, 20.0);
  }
}

TEST(PeerViews, IsolatedNodeFindsTheFleetWithNewSeeds) {
  std::vector<long> found;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    constexpr std::size_t count = 12;
    constexpr std::size_t isolatedNode = 5;
    Fleet fleet(seed, count);
    for (std::size_t index = 0; index < count; ++index) {
      fleet.start(index);
    }
    fleet.network.runUntil(fleet.network.now() + Ms(5'000));
    fleet.isolated = isolatedNode;
    fleet.network.runUntil(fleet.network.now() + Ms(10'000));
    for (std::size_t index = 0; index < 3; ++index) {
      fleet.up[index] = false;
    }
    fleet.isolated.reset();
    fleet.network.runUntil(fleet.network.now() + Ms(10'000));
    EXPECT_EQ(fleet.countReachableFrom(isolatedNode), 1u)
        << "without new seeds the node knows no other node, seed " << seed;
    fleet.views[isolatedNode]->setSeeds({fleet.addresses[7], fleet.addresses[8], fleet.addresses[9]});
    simulator::TimePoint const replacedAt = fleet.network.now();
    while (fleet.countReachableFrom(isolatedNode) < count - 3 && fleet.network.now() - replacedAt < Ms(10'000)) {
      fleet.network.runUntil(fleet.network.now() + Ms(20));
    }
    EXPECT_EQ(fleet.countReachableFrom(isolatedNode), count - 3) << seed;
    found.push_back(std::chrono::duration_cast<Ms>(fleet.network.now() - replacedAt).count());
  }
  std::sort(found.begin(), found.end());
  std::printf("seeds 1 to 20: the fleet is found %ld ms after the exchange (median), %ld ms at most\n",
              found[found.size() / 2], found.back());
  EXPECT_LE(found.back(), 1'000);
}

TEST(PeerViews, NewSeedsThatAreDownLoseNoPeer) {
  Fleet fleet(3, 12);
  for (std::size_t index = 0; index < 12; ++index) {
    fleet.start(index);
  }
  fleet.network.runUntil(fleet.network.now() + Ms(5'000));
  for (std::size_t index = 0; index < 12; ++index) {
    fleet.views[index]->setSeeds({"127.0.9.1:7000", "127.0.9.2:7000", "127.0.9.3:7000"});
  }
  fleet.network.runUntil(fleet.network.now() + Ms(20'000));
  for (std::size_t index = 0; index < 12; ++index) {
    EXPECT_EQ(fleet.countReachableFrom(index), 12u);
  }
}

TEST(Founding, CountsTheInitialSeedsEvenAfterSetSeeds) {
  std::vector<std::string> const seeds{"127.0.0.1:1", "127.0.0.2:1", "127.0.0.3:1"};
  PeerViews views({}, messages::Peer{"m1", seeds[0], "z", messages::controllerRole, 1, 0}, seeds, 5);
  TimePoint const start{std::chrono::hours(1)};
  views.tick(start);
  views.setSeeds({"127.0.0.4:1"});
  views.onMessage(start, "m4", "127.0.0.4:1", messages::Shuffle{true, {}});
  EXPECT_FALSE(views.mayFound(start));
  views.onMessage(start, "m2", seeds[1], messages::Shuffle{true, {}});
  views.onMessage(start, "m3", seeds[2], messages::Shuffle{true, {}});
  EXPECT_TRUE(views.mayFound(start));
}

TEST(Founding, NeedsAllSeedsAtFirstAndAMajorityAfterAWait) {
  std::vector<std::string> const seeds{"127.0.0.1:1", "127.0.0.2:1", "127.0.0.3:1"};
  for (std::size_t aliveSeeds = 0; aliveSeeds < 3; ++aliveSeeds) {
    PeerViews views({}, messages::Peer{"m1", seeds[0], "z", messages::controllerRole, 1, 0}, seeds, 5);
    TimePoint const start{std::chrono::hours(1)};
    for (long waitMs = 0; waitMs <= 8000; waitMs += 100) {
      TimePoint const now = start + Ms(waitMs);
      views.tick(now);
      for (std::size_t seed = 1; seed <= aliveSeeds; ++seed) {
        views.onMessage(now, "m" + std::to_string(seed + 1), seeds[seed], messages::Shuffle{true, {}});
      }
      EXPECT_EQ(views.mayFound(now), aliveSeeds == 2 || (aliveSeeds == 1 && waitMs >= 4000))
          << aliveSeeds << " " << waitMs;
    }
  }
}

}  // namespace
