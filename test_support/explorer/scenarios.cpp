#include "explorer/scenarios.h"

#include <algorithm>

namespace limeramp::explorer {
namespace {

constexpr Ms settleBoundMs{20'000};
constexpr int calmRounds = 60;

/// Returns a group that was founded, acknowledged one change and then ran calmRounds rounds without a fault.
World caughtUp(Setup const& setup) {
  Setup calm = setup;
  calm.heartbeats = true;
  calm.maxPackets = 1000;
  World world(calm, {});
  world.recover(settleBoundMs);
  for (int round = 0; round < calmRounds; ++round) {
    world.run({});
  }
  world.setSetup(setup);
  return world;
}

bool isNotPrepare(Packet const& packet) { return !std::holds_alternative<messages::Prepare>(packet.message); }

std::size_t proposers(World const& world) {
  std::set<std::string> from;
  for (std::shared_ptr<Packet const> const& packet : world.packets()) {
    if (!isNotPrepare(*packet)) {
      from.insert(packet->from);
    }
  }
  return from.size();
}

/// Returns a group whose primary and backup, cut off from one another, have both fenced themselves and begun ballots.
/// All links work again.
World competingBallots(Setup const& setup) {
  Setup calm = setup;
  calm.heartbeats = true;
  calm.maxPackets = 1000;
  World world = caughtUp(calm);
  if (!world.leader()) {
    return world;
  }
  std::size_t const primary = *world.leader();
  std::string const backup = world.members()[primary]->group.decided().backups.front();
  for (std::size_t other = 0; other < world.members().size(); ++other) {
    if (world.members()[other]->id == backup) {
      world.cutLink(primary, other);
      world.cutLink(other, primary);
    }
  }
  for (int round = 0; round < 200 && proposers(world) < 2; ++round) {
    world.run({.delivers = isNotPrepare});
  }
  world.healLinks();
  world.setSetup(setup);
  return world;
}

/// Returns a group whose leader and, if it has several backups, last backup were frozen while the others decided the
/// next epoch and its leader acknowledged changes. The clocks of the frozen members stood still, so the messages that
/// they received before still count as recent.
World supersededWhileFrozen(Setup const& setup, std::size_t changes) {
  World world = caughtUp(setup);
  if (!world.leader()) {
    return world;
  }
  std::size_t const primary = *world.leader();
  std::vector<std::string> const backups = world.members()[primary]->group.decided().backups;
  std::set<std::size_t> frozen{primary};
  for (std::size_t other = 0; other < world.members().size(); ++other) {
    if (backups.size() > 1 && world.members()[other]->id == backups.back()) {
      frozen.insert(other);
    }
  }
  world.dropPackets();
  for (std::size_t const inside : frozen) {
    for (std::size_t other = 0; other < world.members().size(); ++other) {
      if (!frozen.contains(other)) {
        world.cutLink(inside, other);
        world.cutLink(other, inside);
      }
    }
  }
  std::size_t const before = world.acknowledgedChanges();
  for (int round = 0; round < 400 && world.acknowledgedChanges() < before + changes; ++round) {
    world.run({.frozen = frozen});
    std::optional<std::size_t> const leader = world.idleLeader();
    if (leader && !frozen.contains(*leader)) {
      world.offer(*leader, 0);
    }
  }
  world.healLinks();
  return world;
}

Scenario scenario(std::string name, std::string about, World start, Budget const& budget, std::size_t steps = 400) {
  start.setBudget(budget);
  return {std::move(name), std::move(about), std::move(start), steps};
}

World withoutPackets(World world) {
  world.dropPackets();
  return world;
}

}  // namespace

std::vector<Scenario> searchScenarios() {
  Setup three;
  Setup threeAtOnce;
  threeAtOnce.syncsAtOnce = true;
  Setup threeQuiet = threeAtOnce;
  threeQuiet.heartbeats = false;
  Setup five;
  five.members = 5;
  five.machineLosses = 2;
  five.syncsAtOnce = true;
  std::vector<Scenario> out;
  out.push_back(scenario("changes", "three members, changes while one crashes or is silent",
                         withoutPackets(caughtUp(three)), {.offers = 2, .ticks = 4, .jumps = 1, .crashes = 1}));
  out.push_back(scenario("disks", "three members, writes fail, are lost or kept, and one machine crashes",
                         withoutPackets(caughtUp(three)),
                         {.offers = 2, .ticks = 6, .jumps = 1, .crashes = 1, .writeFailures = 2}));
  out.push_back(scenario("takeover", "three members, a silent primary, syncs at once",
                         withoutPackets(caughtUp(threeAtOnce)), {.offers = 2, .ticks = 8, .jumps = 2}));
  out.push_back(scenario("ballots", "primary and backup propose at once, no heartbeats", competingBallots(threeQuiet),
                         {.ticks = 4}));
  out.push_back(scenario("ballots-crash", "the same, and one machine loses power", competingBallots([] {
                           Setup setup;
                           setup.heartbeats = false;
                           return setup;
                         }()),
                         {.ticks = 2, .crashes = 1}));
  out.push_back(scenario("founding", "three members that were never started", World(threeAtOnce, {}),
                         {.offers = 1, .ticks = 15, .wipes = 1}));
  out.push_back(scenario("leave", "the primary is told to end", withoutPackets(caughtUp(threeAtOnce)),
                         {.offers = 2, .ticks = 6, .shutdowns = 1}));
  out.push_back(scenario("wipe", "a machine loses its disk and returns", withoutPackets(caughtUp(threeAtOnce)),
                         {.offers = 1, .ticks = 8, .jumps = 1, .wipes = 1}));
  out.push_back(scenario("five", "three replicas, five members", withoutPackets(caughtUp(five)),
                         {.offers = 1, .ticks = 6, .jumps = 2}));
  out.push_back(scenario("replaced", "a leader was frozen while the next one acknowledged a change",
                         supersededWhileFrozen(threeAtOnce, 1), {.offers = 2, .ticks = 6, .jumps = 1, .crashes = 1}));
  out.push_back(scenario("replaced-five", "the same, and its second backup with it", supersededWhileFrozen(five, 1),
                         {.offers = 2, .ticks = 6, .jumps = 1, .crashes = 1}));
  Setup services = threeAtOnce;
  services.services = true;
  out.push_back(scenario("orders", "two operators, orders, repetitions and reads", withoutPackets(caughtUp(services)),
                         {.offers = 4, .reads = 1, .ticks = 6, .jumps = 1, .crashes = 1}));
  out.push_back(scenario("orders-replaced", "two operators call a replaced leader and its successor",
                         supersededWhileFrozen(services, 1), {.offers = 4, .reads = 2, .ticks = 6, .jumps = 1}));
  return out;
}

std::vector<Scenario> walkScenarios() {
  Budget const mixed{.offers = 30,
                     .ticks = 400,
                     .jumps = 6,
                     .crashes = 4,
                     .wipes = 1,
                     .replacements = 0,
                     .shutdowns = 2,
                     .duplicates = 6,
                     .drops = 12,
                     .cuts = 3};
  Budget const replaced{.offers = 30,
                        .ticks = 400,
                        .jumps = 6,
                        .crashes = 4,
                        .replacements = 1,
                        .shutdowns = 2,
                        .duplicates = 6,
                        .drops = 12,
                        .cuts = 3};
  Setup three;
  Setup four;
  four.members = 4;
  Setup five;
  five.members = 5;
  five.machineLosses = 2;
  five.maxPackets = 40;
  std::vector<Scenario> out;
  out.push_back(scenario("walk-3", "three members, all faults", caughtUp(three), mixed));
  Budget failingDisks = mixed;
  failingDisks.writeFailures = 12;
  out.push_back(scenario("walk-disks", "three members, all faults, and disks that refuse writes for a while",
                         caughtUp(three), failingDisks));
  Budget failingDisksReplaced = replaced;
  failingDisksReplaced.writeFailures = 12;
  out.push_back(scenario("walk-disks-4", "the same with a spare, one replaced", caughtUp(four), failingDisksReplaced));
  Setup competingWithDisks;
  competingWithDisks.heartbeats = false;
  out.push_back(scenario("walk-disks-ballots", "primary and backup propose at once while writes fail",
                         competingBallots(competingWithDisks),
                         {.ticks = 12, .crashes = 2, .writeFailures = 4, .duplicates = 2, .drops = 4}, 80));
  out.push_back(scenario("walk-founding", "three members from the first start", World(three, {}), mixed));
  out.push_back(scenario("walk-4", "three members and a spare, one replaced", caughtUp(four), replaced));
  out.push_back(scenario("walk-5", "five members, three replicas", caughtUp(five), mixed));
  Budget const shortFaults{.offers = 3, .ticks = 40, .jumps = 1, .crashes = 2, .duplicates = 2, .drops = 4, .cuts = 1};
  Setup quiet;
  quiet.heartbeats = false;
  out.push_back(scenario("walk-ballots", "primary and backup propose at once, and machines lose power",
                         competingBallots(quiet), {.ticks = 9, .crashes = 2, .duplicates = 2, .drops = 4}, 80));
  out.push_back(scenario("walk-replaced", "a leader and its second backup were frozen while others went on",
                         supersededWhileFrozen(five, 1), shortFaults, 80));
  Setup orders = three;
  orders.services = true;
  Setup fewReceipts = orders;
  fewReceipts.maxReceipts = 2;
  Budget called = mixed;
  called.offers = 100;
  called.reads = 40;
  out.push_back(scenario("walk-orders", "two operators call three members, all faults", caughtUp(orders), called));
  out.push_back(scenario("walk-receipts", "the same, with two receipts", caughtUp(fewReceipts), called));
  Setup ordersFive = five;
  ordersFive.services = true;
  out.push_back(scenario("walk-orders-5", "two operators call five members", caughtUp(ordersFive), called));
  Setup delivery = orders;
  delivery.nodes = 3;
  delivery.maxPackets = 80;
  Budget followed = called;
  followed.ticks = 1500;
  followed.offers = 30;
  followed.jumps = 3;
  followed.cuts = 8;
  out.push_back(
      scenario("walk-nodes", "three members and three nodes that follow", caughtUp(delivery), followed, 1200));
  Setup deliveryFive = delivery;
  deliveryFive.nodes = 5;
  out.push_back(scenario("walk-nodes-5", "three members and five nodes", caughtUp(deliveryFive), followed, 1500));
  return out;
}

}  // namespace limeramp::explorer
