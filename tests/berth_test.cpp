#include "drydock/sea.h"
#include "limeramp/berth/desk.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace {

using namespace limeramp;
using namespace limeramp::berth;
using drydock::Sea;
using Ms = std::chrono::milliseconds;

struct Node {
  std::optional<Desk> desk;
  std::string address;
  bool up = true;
  bool readsList = true;
  drydock::TimePoint readsSince{};
};

struct Zone {
  Zone(std::uint64_t seed, std::size_t count) : sea(seed), nodes(count) {
    for (std::size_t index = 0; index < count; ++index) {
      nodes[index].address = "127.0.0." + std::to_string(index + 1) + ":7000";
      start(index);
    }
  }

  Sea sea;
  std::vector<Node> nodes;
  List list;
  std::size_t reads = 0;

  void start(std::size_t index) {
    Node& node = nodes[index];
    node.desk.emplace(DeskPolicy{}, "m" + std::to_string(index), node.address, "z1");
    node.up = true;
    node.readsSince = sea.now();
    tick(index, ++lives[index]);
  }

  std::map<std::size_t, std::uint64_t> lives;

  void tick(std::size_t index, std::uint64_t life) {
    if (!nodes[index].up || lives[index] != life) {
      return;
    }
    Around around;
    around.services = {"a", "b"};
    for (Node const& node : nodes) {
      around.zoneAddresses.push_back(node.address);
    }
    follow(index, nodes[index].desk->tick(sea.now(), around));
    sea.after(Ms(20), [this, index, life] { tick(index, life); });
  }

  void follow(std::size_t index, DeskStep const& step) {
    for (fairway::Outgoing const& outgoing : step.sends) {
      for (std::size_t to = 0; to < nodes.size(); ++to) {
        if (nodes[to].address != outgoing.address) {
          continue;
        }
        cargo::Message const message = outgoing.message;
        sea.after(std::chrono::microseconds(200 + sea.roll(3000)), [this, index, to, message] {
          if (!nodes[to].up) {
            return;
          }
          if (cargo::TablePoll const* const poll = std::get_if<cargo::TablePoll>(&message)) {
            follow(to, nodes[to].desk->hear(sea.now(), nodes[index].address, *poll));
          } else {
            follow(to, nodes[to].desk->hear(sea.now(), nodes[index].address, std::get<cargo::TableNews>(message)));
          }
        });
      }
    }
    if (step.readList) {
      ++reads;
      std::uint64_t const life = lives[index];
      sea.after(Ms(5 + static_cast<long>(sea.roll(40))), [this, index, life] {
        if (!nodes[index].up || lives[index] != life) {
          return;
        }
        if (nodes[index].readsList) {
          follow(index, nodes[index].desk->listed(sea.now(), list));
        } else {
          nodes[index].desk->listFailed();
        }
      });
    }
  }

  void put(std::string const& service, shoal::ServerRow const& row) {
    list.services[service].push_back(row);
    ++list.rows;
  }

  void run(Ms time) { sea.runUntil(sea.now() + time); }
};

shoal::ServerRow rowAt(std::string const& address) {
  shoal::ServerRow row;
  row.address = address;
  row.zone = "z1";
  row.slowStartMs = Ms(5000);
  return row;
}

TEST(Berth, ADepartureShowsEverywhereInTimeWhileHomesDieAndListsFail) {
  Ms worst{0};
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    Zone zone(seed, 4);
    zone.put("a", rowAt("s1"));
    zone.put("a", rowAt("s2"));
    zone.run(Ms(3000));
    for (std::size_t index = 0; index < 4; ++index) {
      if (zone.sea.chance(0.4)) {
        zone.nodes[index].readsList = false;
      }
    }
    zone.nodes[zone.sea.roll(4)].readsList = true;
    zone.run(Ms(static_cast<long>(zone.sea.roll(6000))));
    std::size_t const victim = zone.sea.roll(4);
    if (zone.sea.chance(0.5)) {
      zone.nodes[victim].up = false;
    }
    zone.list.services["a"][0].leaving = true;
    drydock::TimePoint const shown = zone.sea.now();
    std::vector<bool> seen(4, false);
    for (int round = 0; round < 150; ++round) {
      zone.run(Ms(20));
      for (std::size_t index = 0; index < 4; ++index) {
        std::vector<shoal::ServerRow> const rows = zone.nodes[index].desk->rows(zone.sea.now(), "a");
        if (!seen[index] && zone.nodes[index].up && rows.size() == 2 && rows[0].leaving) {
          seen[index] = true;
          worst = std::max(worst, std::chrono::duration_cast<Ms>(zone.sea.now() - shown));
        }
      }
    }
    for (std::size_t index = 0; index < 4; ++index) {
      EXPECT_TRUE(seen[index] || !zone.nodes[index].up || !zone.nodes[index].readsList) << seed << " node " << index;
    }
  }
  std::printf("seeds 1 to 60: a departure shows after %ld ms at most\n", static_cast<long>(worst.count()));
  EXPECT_LE(worst, Ms(2900));
}

TEST(Berth, ARowThatChangesServiceOrZoneMovesWholeAndIsFreshInItsNewPlace) {
  Zone zone(3, 3);
  zone.put("a", rowAt("s1"));
  zone.put("b", rowAt("s2"));
  zone.run(Ms(60'000));
  zone.list.services["a"].clear();
  zone.put("b", rowAt("s1"));
  zone.list.services["b"][0].zone = "z2";
  zone.list.services["b"][0].capacity = 25;
  zone.run(Ms(3000));
  for (Node const& node : zone.nodes) {
    EXPECT_TRUE(node.desk->rows(zone.sea.now(), "a").empty());
    std::vector<shoal::ServerRow> const rows = node.desk->rows(zone.sea.now(), "b");
    ASSERT_EQ(rows.size(), 2u);
    EXPECT_EQ(rows[0].zone, "z2");
    EXPECT_EQ(rows[0].capacity, 25);
    EXPECT_GT(rows[0].ageMs, Ms(50'000));
    EXPECT_LT(rows[1].ageMs, Ms(3500));
  }
}

TEST(Berth, ANodeThatRestartsLearnsTheAgesAndOneHomeReadsForAll) {
  Zone zone(4, 4);
  zone.put("a", rowAt("s1"));
  zone.put("b", rowAt("s2"));
  zone.run(Ms(30'000));
  std::size_t const before = zone.reads;
  zone.run(Ms(10'000));
  EXPECT_LE(zone.reads - before, 2u * 10'000 / 400 + 4);
  for (std::size_t index = 0; index < 4; ++index) {
    zone.nodes[index].up = false;
    zone.run(Ms(500));
    zone.start(index);
    zone.run(Ms(4000));
    for (std::string const service : {"a", "b"}) {
      EXPECT_GT(zone.nodes[index].desk->rows(zone.sea.now(), service)[0].ageMs, Ms(30'000)) << index << service;
    }
  }
}

TEST(Berth, AListThatTurnsEmptyAtOnceIsHeldForAWhileAndThenBelieved) {
  Zone zone(5, 2);
  zone.put("a", rowAt("s1"));
  zone.run(Ms(3000));
  zone.list = List{};
  zone.run(Ms(8000));
  EXPECT_EQ(zone.nodes[0].desk->rows(zone.sea.now(), "a").size(), 1u);
  zone.run(Ms(6000));
  EXPECT_TRUE(zone.nodes[0].desk->rows(zone.sea.now(), "a").empty());
}

}
