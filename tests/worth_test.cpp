#include "limeramp/dispatch/dispatcher.h"
#include "simulator/simulated_network.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <deque>
#include <map>
#include <set>

namespace {

using namespace limeramp;
using namespace limeramp::dispatch;
using simulator::SimulatedNetwork;
using Ms = std::chrono::milliseconds;
using Us = std::chrono::microseconds;

struct Job {
  std::size_t front = 0;
  std::uint64_t attempt = 0;
  double workMs = 0;
  TimePoint deadline;
};

struct Server {
  std::string service;
  std::string zone;
  std::size_t slots = 3;
  double workFactor = 1;
  double badShare = 0;
  bool dark = false;
  TimePoint pausedUntil{};
  Ms pauseMs{0};
  TimePoint coldUntil{};
  std::deque<Job> queue;
  std::map<std::uint64_t, std::size_t> running;
  std::vector<TimePoint> arrivals;
};

struct Kind {
  std::string name;
  std::vector<std::string> services;
  double minimumShare = 1;
  bool idempotent = true;
  double perSecond = 0;
  double workMs = 0;
  Ms aimMs{0};
  Ms deadlineMs{0};
  double worth = 1;
  double lateShare = 1;
  std::size_t priority = 0;
  std::size_t maxAttempts = 2;
};

struct Asked {
  std::size_t kind = 0;
  TimePoint at;
};

struct Tally {
  double owed = 0;
  double earned = 0;
  std::size_t requests = 0;
  std::size_t inTime = 0;
  std::size_t late = 0;
  std::size_t refused = 0;
};

struct Town {
  Town(std::uint64_t seed, std::size_t zonesIn, std::size_t fronts, DispatchOptions const& policyIn)
      : network(seed), zones(zonesIn) {
    for (std::size_t front = 0; front < fronts; ++front) {
      machines.emplace_back(policyIn);
      wakes.push_back(TimePoint::max());
    }
  }

  SimulatedNetwork network;
  std::size_t zones;
  std::vector<Dispatcher> machines;
  std::vector<TimePoint> wakes;
  std::vector<Kind> kinds;
  std::map<std::string, Server> servers;
  std::map<std::pair<std::size_t, std::uint64_t>, Asked> open;
  std::set<std::tuple<std::size_t, std::uint64_t, std::size_t>> seen;
  std::map<std::pair<std::size_t, std::uint64_t>, std::string> placed;
  std::map<std::uint64_t, Tally> seconds;
  std::map<std::string, Tally> byKind;
  Tally all;
  std::map<std::string, std::vector<std::pair<TimePoint, bool>>> arrivals;
  std::set<std::pair<std::size_t, std::uint64_t>> ran;
  std::uint64_t lastRequest = 0;
  std::uint64_t lastJob = 0;
  std::size_t attempts = 0;
  std::size_t remote = 0;
  std::size_t ranTwice = 0;
  std::size_t brokenOff = 0;

  std::string zoneOf(std::size_t front) const { return "z" + std::to_string(front % zones); }
  Us wireUs(std::size_t front, Server const& server) const { return zoneOf(front) == server.zone ? Us(100) : Us(500); }

  void shard(std::string const& service, std::size_t count, std::size_t slots, Ms pauseMs) {
    for (std::size_t number = 0; number < count; ++number) {
      Server server;
      server.service = service;
      server.zone = "z" + std::to_string(number % zones);
      server.slots = slots;
      server.workFactor = 0.85 + 0.3 * static_cast<double>(network.roll(1000)) / 1000;
      server.pauseMs = pauseMs;
      std::string const address = service + "-" + std::to_string(number);
      servers[address] = server;
      if (pauseMs.count() > 0) {
        network.after(Ms(static_cast<long>(network.roll(4000))), [this, address] { pause(address); });
      }
    }
  }

  void pause(std::string const& address) {
    Server& server = servers[address];
    server.pausedUntil = network.now() + server.pauseMs;
    network.after(server.pauseMs, [this, address] { work(address); });
    network.after(Ms(4000), [this, address] { pause(address); });
  }

  void tables() {
    std::map<std::string, ServersUpdated> events;
    for (std::pair<std::string const, Server> const& entry : servers) {
      ServersUpdated& event = events[entry.second.service];
      event.service = entry.second.service;
      ServerEndpoint row;
      row.address = entry.first;
      row.zone = entry.second.zone;
      row.capacity = static_cast<double>(entry.second.slots);
      row.warmupMs = std::max(Ms(0), std::chrono::duration_cast<Ms>(entry.second.coldUntil - network.now()));
      event.rows.push_back(row);
    }
    for (std::size_t front = 0; front < machines.size(); ++front) {
      for (std::pair<std::string const, ServersUpdated> const& event : events) {
        step(front, event.second);
      }
    }
  }

  void start() {
    for (std::size_t front = 0; front < machines.size(); ++front) {
      step(front, FleetPosition{machines.size(), front, 3, 0.2, zoneOf(front)});
    }
    tables();
  }

  void bringBackCold(std::string const& address) {
    Server& server = servers[address];
    server.dark = false;
    server.coldUntil = network.now() + Ms(3000);
    network.after(Ms(500), [this] { tables(); });
  }

  void step(std::size_t front, DispatchEvent const& event) {
    for (DispatchEffect const& effect : machines[front].step(network.now(), event)) {
      if (SendAttempt const* const send = std::get_if<SendAttempt>(&effect)) {
        carry(front, *send);
      } else if (CancelAttempt const* const cancel = std::get_if<CancelAttempt>(&effect)) {
        drop(front, cancel->attempt);
      } else if (FinishRequest const* const finish = std::get_if<FinishRequest>(&effect)) {
        finished(front, *finish);
      }
    }
    std::optional<TimePoint> const wake = machines[front].nextWake(network.now());
    if (wake && (*wake < wakes[front] || wakes[front] <= network.now())) {
      TimePoint const at = std::max(*wake, network.now() + Us(100));
      wakes[front] = at;
      network.after(std::chrono::duration_cast<Us>(at - network.now()) + Us(1), [this, front, at] {
        if (wakes[front] == at) {
          wakes[front] = TimePoint::max();
          step(front, Tick{});
        }
      });
    }
  }

  void carry(std::size_t front, SendAttempt const& send) {
    Server& server = servers.at(send.server);
    Kind const& kind = kinds[open.at({front, send.request}).kind];
    bool const first = seen.emplace(front, send.request, send.shard).second;
    arrivals[server.service].emplace_back(network.now(), first);
    server.arrivals.push_back(network.now());
    ++attempts;
    remote += server.zone != zoneOf(front) ? 1 : 0;
    if (!kind.idempotent && !ran.emplace(front, send.request).second) {
      ++ranTwice;
    }
    placed[{front, send.attempt}] = send.server;
    double const spread = -std::log(1 - static_cast<double>(network.roll(1'000'000)) / 1e6);
    Job const job{front, send.attempt, kind.workMs * (0.7 + 0.3 * std::min(spread, 5.0)), send.deadline};
    std::string const address = send.server;
    std::uint64_t const request = send.request;
    network.after(wireUs(front, server), [this, address, job, request] { take(address, job, request); });
  }

  void reply(std::string const& address, std::size_t front, AttemptFinished event) {
    Server const& server = servers[address];
    if (server.dark) {
      return;
    }
    event.load = static_cast<double>(server.queue.size() + server.running.size()) / static_cast<double>(server.slots);
    if (network.now() < server.coldUntil) {
      event.warmupMs = std::chrono::duration_cast<Ms>(server.coldUntil - network.now());
    }
    network.after(wireUs(front, server), [this, front, event] {
      placed.erase({front, event.attempt});
      step(front, event);
    });
  }

  void take(std::string const& address, Job const& job, std::uint64_t request) {
    Server& server = servers[address];
    if (server.dark || !placed.contains({job.front, job.attempt})) {
      return;
    }
    if (server.running.size() + server.queue.size() >= server.slots * 4) {
      ran.erase({job.front, request});
      reply(address, job.front,
            AttemptFinished{job.attempt, false, false, retry::Verdict::notRun, {}, false, true, {}});
      return;
    }
    server.queue.push_back(job);
    work(address);
  }

  void work(std::string const& address) {
    Server& server = servers[address];
    if (server.dark || network.now() < server.pausedUntil) {
      return;
    }
    while (server.running.size() < server.slots && !server.queue.empty()) {
      Job const job = server.queue.front();
      server.queue.pop_front();
      std::uint64_t const id = ++lastJob;
      server.running[id] = job.front;
      double const coldFactor = network.now() < server.coldUntil ? 3 : 1;
      double const lengthMs = job.workMs * server.workFactor * coldFactor;
      network.after(Us(static_cast<long>(lengthMs * 1000)), [this, address, id, job] { done(address, id, job); });
    }
  }

  void done(std::string const& address, std::uint64_t id, Job const& job) {
    Server& server = servers[address];
    if (!server.running.contains(id)) {
      return;
    }
    if (network.now() < server.pausedUntil) {
      network.after(std::chrono::duration_cast<Us>(server.pausedUntil - network.now()),
                    [this, address, id, job] { done(address, id, job); });
      return;
    }
    server.running.erase(id);
    bool const bad = network.chance(server.badShare);
    if (placed.contains({job.front, job.attempt})) {
      reply(address, job.front,
            AttemptFinished{
                job.attempt, !bad, !bad, bad ? retry::Verdict::mayHaveRun : retry::Verdict::ran, {}, false, false, {}});
    }
    work(address);
  }

  void drop(std::size_t front, std::uint64_t attempt) {
    std::map<std::pair<std::size_t, std::uint64_t>, std::string>::iterator const at = placed.find({front, attempt});
    if (at == placed.end()) {
      return;
    }
    std::string const address = at->second;
    placed.erase(at);
    ++brokenOff;
    network.after(wireUs(front, servers[address]), [this, address, front, attempt] {
      std::erase_if(servers[address].queue,
                    [&](Job const& job) { return job.front == front && job.attempt == attempt; });
    });
  }

  void finished(std::size_t front, FinishRequest const& finish) {
    std::map<std::pair<std::size_t, std::uint64_t>, Asked>::iterator const at = open.find({front, finish.request});
    Kind const& kind = kinds[at->second.kind];
    bool const good = finish.outcome == RequestOutcome::complete || finish.outcome == RequestOutcome::partial;
    double const whole = static_cast<double>(kind.services.size());
    double const share = (whole - static_cast<double>(finish.missing.size())) / whole;
    bool const inTime = network.now() - at->second.at <= kind.aimMs;
    double const earned = good ? kind.worth * share * share * (inTime ? 1 : kind.lateShare) : 0;
    std::uint64_t const second = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::seconds>(at->second.at - TimePoint(std::chrono::hours(1))).count());
    for (Tally* const tally : {&all, &seconds[second], &byKind[kind.name]}) {
      tally->owed += kind.worth;
      tally->earned += earned;
      ++tally->requests;
      tally->inTime += good && inTime ? 1 : 0;
      tally->late += good && !inTime ? 1 : 0;
      tally->refused += finish.outcome == RequestOutcome::refused ? 1 : 0;
    }
    open.erase(at);
  }

  void load(Ms time, double times = 1) {
    TimePoint const end = network.now() + time;
    double perSecond = 0;
    for (Kind const& kind : kinds) {
      perSecond += kind.perSecond;
    }
    while (network.now() < end) {
      double const gapMs =
          -std::log(1 - static_cast<double>(network.roll(1'000'000)) / 1e6) * 1000 / (perSecond * times);
      network.runUntil(network.now() + Us(1 + static_cast<long>(gapMs * 1000)));
      double pick = perSecond * static_cast<double>(network.roll(1'000'000)) / 1e6;
      std::size_t kind = 0;
      while (kind + 1 < kinds.size() && pick >= kinds[kind].perSecond) {
        pick -= kinds[kind++].perSecond;
      }
      std::size_t const front = network.roll(machines.size());
      Kind const& asked = kinds[kind];
      std::uint64_t const request = ++lastRequest;
      open[{front, request}] = {kind, network.now()};
      std::size_t const minimum =
          static_cast<std::size_t>(std::ceil(asked.minimumShare * static_cast<double>(asked.services.size()) - 1e-9));
      step(front, RequestArrived{request, "t", asked.services, std::max<std::size_t>(1, minimum), asked.maxAttempts,
                                 asked.idempotent, network.now() + asked.deadlineMs, network.now() + asked.aimMs,
                                 asked.priority, kind});
    }
  }

  double worth() const { return all.earned / all.owed; }
  double remoteShare() const {
    return static_cast<double>(remote) / static_cast<double>(std::max<std::size_t>(1, attempts));
  }

  double worstExtra() const {
    double worst = 0;
    for (std::pair<std::string const, std::vector<std::pair<TimePoint, bool>>> const& service : arrivals) {
      double above = 0;
      for (std::pair<TimePoint, bool> const& arrival : service.second) {
        above = std::max(0.0, above + (arrival.second ? -0.2 : 1.0));
        worst = std::max(worst, above);
      }
    }
    return worst;
  }
};

std::vector<std::string> const shards{"p0", "p1", "p2", "p3"};

void furnish(Town& town, bool dear, Ms pauseMs) {
  for (std::string const& shard : shards) {
    town.shard(shard, 4, dear ? 3 : 2, pauseMs);
  }
  town.shard("ledger", dear ? 19 : 4, dear ? 3 : 6, Ms(0));
  double const scale = dear ? 2 : 1;
  town.kinds = {{"sweep", shards, 0.75, true, 255, 7.5 * scale, dear ? Ms(120) : Ms(80), dear ? Ms(1200) : Ms(400), 2,
                 dear ? 1.0 : 0.6, 1, 2},
                {"peek", shards, 0.5, true, 102, 2.5 * scale, dear ? Ms(60) : Ms(40), dear ? Ms(600) : Ms(250), 1,
                 dear ? 0.5 : 0.3, 2, 2},
                {"order",
                 {"ledger"},
                 1,
                 false,
                 dear ? 153.0 : 130.0,
                 60 * scale,
                 dear ? Ms(500) : Ms(250),
                 dear ? Ms(5000) : Ms(1500),
                 3,
                 dear ? 0.5 : 0.3,
                 0,
                 1},
                {"history",
                 {"ledger"},
                 1,
                 true,
                 25.5,
                 60 * scale,
                 dear ? Ms(500) : Ms(250),
                 dear ? Ms(5000) : Ms(1500),
                 1,
                 dear ? 0.5 : 0.3,
                 2,
                 2}};
}

struct Outcome {
  double worth = 0;
  double least = 1;
  double remote = 0;
  double extra = 0;
  std::size_t ranTwice = 0;
  std::size_t late = 0;
  double worstSecond = 1;
};

Outcome play(std::string const& trouble, bool dear, DispatchOptions const& options, std::uint64_t seeds) {
  Outcome outcome;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    Town town(seed * 7919, dear ? 3 : 4, dear ? 10 : 11, options);
    furnish(town, dear, Ms(40 + static_cast<long>(town.network.roll(150))));
    town.start();
    town.load(Ms(4000));
    std::string const& victim = shards[town.network.roll(4)];
    std::vector<std::string> hurt;
    for (std::string const& shard : shards) {
      if (trouble.starts_with("dark shard") ? shard == victim : true) {
        for (std::size_t number = 0; number < (trouble.starts_with("dark shard") ? 4u : 1u); ++number) {
          hurt.push_back(shard + "-" +
                         std::to_string(trouble.starts_with("dark shard") ? number : town.network.roll(4)));
        }
      }
    }
    for (std::string const& address : hurt) {
      Server& server = town.servers[address];
      server.dark = trouble == "dark" || trouble.starts_with("dark shard");
      server.workFactor *= trouble == "slow" ? 4 + 4.5 * static_cast<double>(town.network.roll(1000)) / 1000 : 1;
      server.badShare = trouble == "bad" ? 0.7 : 0;
      if (server.dark) {
        town.network.after(Ms(4000), [&town, address] { town.bringBackCold(address); });
      }
    }
    if (trouble == "dark shard, slow") {
      town.network.after(Ms(2800), [&town, victim] {
        for (std::size_t count = 0; count < 3;) {
          std::string const& shard = shards[town.network.roll(4)];
          Server& server = town.servers[shard + "-" + std::to_string(town.network.roll(4))];
          if (shard != victim && server.workFactor < 2) {
            server.workFactor *= 5 + 3 * static_cast<double>(town.network.roll(1000)) / 1000;
            ++count;
          }
        }
      });
    }
    town.load(Ms(8000), trouble == "overload" ? 2.5 : 1);
    town.network.runUntil(town.network.now() + Ms(6000));
    outcome.worth += town.worth() / static_cast<double>(seeds);
    outcome.least = std::min(outcome.least, town.worth());
    outcome.remote += town.remoteShare() / static_cast<double>(seeds);
    outcome.extra = std::max(outcome.extra, town.worstExtra());
    outcome.ranTwice += town.ranTwice;
    outcome.late += town.all.late;
    for (std::pair<std::uint64_t const, Tally> const& second : town.seconds) {
      if (second.second.requests < 100) {
        continue;
      }
      outcome.worstSecond = std::min(outcome.worstSecond, second.second.earned / second.second.owed);
    }
    if (std::getenv("LIMERAMP_SECONDS") != nullptr) {
      for (std::pair<std::uint64_t const, Tally> const& second : town.seconds) {
        std::printf("  %s seed %llu second %llu: worth %.3f, late %zu, refused %zu of %zu\n", trouble.c_str(),
                    static_cast<unsigned long long>(seed), static_cast<unsigned long long>(second.first),
                    second.second.earned / second.second.owed, second.second.late, second.second.refused,
                    second.second.requests);
      }
    }
  }
  return outcome;
}

TEST(Worth, HoldsThroughPausesDarkSlowAndBadServersAndOverload) {
  std::uint64_t const seeds = std::getenv("LIMERAMP_LONG") != nullptr ? 20 : 4;
  std::map<std::string, double> const least{{"calm", 0.99},   {"dark", 0.98},      {"slow", 0.98},
                                            {"bad", 0.98},    {"dark shard", 0.8}, {"dark shard, slow", 0.8},
                                            {"overload", 0.9}};
  for (bool const dear : {false, true}) {
    for (std::pair<std::string const, double> const& row : least) {
      Outcome const outcome = play(row.first, dear, DispatchOptions{}, seeds);
      std::printf(
          "%s %-16s seeds 1 to %llu: worth %.4f, least %.4f, worst second %.3f, late %zu, remote %.3f, extras above a "
          "fifth %.1f\n",
          dear ? "three zones" : "four zones ", row.first.c_str(), static_cast<unsigned long long>(seeds),
          outcome.worth, outcome.least, outcome.worstSecond, outcome.late, outcome.remote, outcome.extra);
      EXPECT_GT(outcome.least, row.second) << row.first;
      EXPECT_EQ(outcome.ranTwice, 0u) << row.first;
      EXPECT_LT(row.first == "calm" ? outcome.remote : 0, 0.2);
      EXPECT_LE(outcome.extra, 60.0) << row.first;
    }
  }
}

}  // namespace
