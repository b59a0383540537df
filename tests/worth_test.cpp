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

/// An attempt at a server. `workMs` is the service time on a server of average speed.
struct Job {
  std::size_t gateway = 0;
  std::uint64_t attempt = 0;
  double workMs = 0;
  TimePoint deadline;
};

/// A simulated server with a queue. At most `slots` jobs run at a time.
struct Server {
  std::string service;
  std::string zone;
  std::size_t slots = 3;
  /// Multiplies the service time of every job.
  double workFactor = 1;
  /// Share of the jobs that end with an error.
  double errorShare = 0;
  /// Neither accepts nor answers requests.
  bool unreachable = false;
  TimePoint pausedUntil{};
  Ms pauseMs{0};
  /// Until then jobs take three times as long.
  TimePoint warmUntil{};
  std::deque<Job> queue;
  /// The gateway of each running job.
  std::map<std::uint64_t, std::size_t> running;
  std::vector<TimePoint> arrivals;
};

/// A kind of request: its load, its latency target and its value.
struct RequestKind {
  std::string name;
  std::vector<std::string> services;
  double minimumShare = 1;
  bool idempotent = true;
  double perSecond = 0;
  double workMs = 0;
  Ms targetMs{0};
  Ms deadlineMs{0};
  /// Value of an answer from all shards within the target, and the share of it that a later answer still earns.
  double value = 1;
  double lateShare = 1;
  std::size_t priority = 0;
  std::size_t maxAttempts = 2;
};

/// A request without an answer yet.
struct OpenRequest {
  std::size_t kind = 0;
  TimePoint at;
};

/// Totals of finished requests. `offeredValue` is the value of all of them, `earnedValue` that of their answers.
struct Tally {
  double offeredValue = 0;
  double earnedValue = 0;
  std::size_t requests = 0;
  std::size_t inTime = 0;
  std::size_t late = 0;
  std::size_t refused = 0;
};

/// Gateways and servers in several zones of a simulated network.
struct SimulatedSite {
  SimulatedSite(std::uint64_t seed, std::size_t zonesIn, std::size_t gateways, DispatchOptions const& optionsIn)
      : network(seed), zones(zonesIn) {
    for (std::size_t gateway = 0; gateway < gateways; ++gateway) {
      dispatchers.emplace_back(optionsIn);
      nextWakes.push_back(TimePoint::max());
    }
  }

  SimulatedNetwork network;
  std::size_t zones;
  std::vector<Dispatcher> dispatchers;
  std::vector<TimePoint> nextWakes;
  std::vector<RequestKind> kinds;
  std::map<std::string, Server> servers;
  std::map<std::pair<std::size_t, std::uint64_t>, OpenRequest> openRequests;
  /// Gateway, request and shard of all attempts so far.
  std::set<std::tuple<std::size_t, std::uint64_t, std::size_t>> attempted;
  /// The server of each attempt in flight, by gateway and attempt.
  std::map<std::pair<std::size_t, std::uint64_t>, std::string> serverOfAttempt;
  std::map<std::uint64_t, Tally> seconds;
  std::map<std::string, Tally> byKind;
  Tally total;
  /// By service: the time of each attempt, and whether it was the first for its shard of a request.
  std::map<std::string, std::vector<std::pair<TimePoint, bool>>> arrivals;
  /// Requests that are not idempotent and were sent to a server that has not declined them.
  std::set<std::pair<std::size_t, std::uint64_t>> begun;
  std::uint64_t lastRequest = 0;
  std::uint64_t lastJob = 0;
  std::size_t attempts = 0;
  std::size_t remoteAttempts = 0;
  std::size_t ranTwice = 0;
  std::size_t cancelledAttempts = 0;

  std::string zoneOf(std::size_t gateway) const { return "z" + std::to_string(gateway % zones); }
  Us networkDelayUs(std::size_t gateway, Server const& server) const {
    return zoneOf(gateway) == server.zone ? Us(100) : Us(500);
  }

  void addService(std::string const& service, std::size_t count, std::size_t slots, Ms pauseMs) {
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
        network.after(Ms(static_cast<long>(network.roll(4000))), [this, address] { pauseServer(address); });
      }
    }
  }

  void pauseServer(std::string const& address) {
    Server& server = servers[address];
    server.pausedUntil = network.now() + server.pauseMs;
    network.after(server.pauseMs, [this, address] { startJobs(address); });
    network.after(Ms(4000), [this, address] { pauseServer(address); });
  }

  void updateServers() {
    std::map<std::string, ServersUpdated> events;
    for (std::pair<std::string const, Server> const& entry : servers) {
      ServersUpdated& event = events[entry.second.service];
      event.service = entry.second.service;
      ServerEndpoint row;
      row.address = entry.first;
      row.zone = entry.second.zone;
      row.capacity = static_cast<double>(entry.second.slots);
      row.warmupMs = std::max(Ms(0), std::chrono::duration_cast<Ms>(entry.second.warmUntil - network.now()));
      event.rows.push_back(row);
    }
    for (std::size_t gateway = 0; gateway < dispatchers.size(); ++gateway) {
      for (std::pair<std::string const, ServersUpdated> const& event : events) {
        step(gateway, event.second);
      }
    }
  }

  void start() {
    for (std::size_t gateway = 0; gateway < dispatchers.size(); ++gateway) {
      step(gateway, FleetPosition{dispatchers.size(), gateway, 3, 0.2, zoneOf(gateway)});
    }
    updateServers();
  }

  void restartCold(std::string const& address) {
    Server& server = servers[address];
    server.unreachable = false;
    server.warmUntil = network.now() + Ms(3000);
    network.after(Ms(500), [this] { updateServers(); });
  }

  void step(std::size_t gateway, DispatchEvent const& event) {
    for (DispatchEffect const& effect : dispatchers[gateway].step(network.now(), event)) {
      if (SendAttempt const* const send = std::get_if<SendAttempt>(&effect)) {
        sendAttempt(gateway, *send);
      } else if (CancelAttempt const* const cancel = std::get_if<CancelAttempt>(&effect)) {
        cancelAttempt(gateway, cancel->attempt);
      } else if (FinishRequest const* const finish = std::get_if<FinishRequest>(&effect)) {
        finishRequest(gateway, *finish);
      }
    }
    std::optional<TimePoint> const wake = dispatchers[gateway].nextWake(network.now());
    if (wake && (*wake < nextWakes[gateway] || nextWakes[gateway] <= network.now())) {
      TimePoint const at = std::max(*wake, network.now() + Us(100));
      nextWakes[gateway] = at;
      network.after(std::chrono::duration_cast<Us>(at - network.now()) + Us(1), [this, gateway, at] {
        if (nextWakes[gateway] == at) {
          nextWakes[gateway] = TimePoint::max();
          step(gateway, Tick{});
        }
      });
    }
  }

  void sendAttempt(std::size_t gateway, SendAttempt const& send) {
    Server& server = servers.at(send.server);
    RequestKind const& kind = kinds[openRequests.at({gateway, send.request}).kind];
    bool const first = attempted.emplace(gateway, send.request, send.shard).second;
    arrivals[server.service].emplace_back(network.now(), first);
    server.arrivals.push_back(network.now());
    ++attempts;
    remoteAttempts += server.zone != zoneOf(gateway) ? 1 : 0;
    if (!kind.idempotent && !begun.emplace(gateway, send.request).second) {
      ++ranTwice;
    }
    serverOfAttempt[{gateway, send.attempt}] = send.server;
    double const exponential = -std::log(1 - static_cast<double>(network.roll(1'000'000)) / 1e6);
    Job const job{gateway, send.attempt, kind.workMs * (0.7 + 0.3 * std::min(exponential, 5.0)), send.deadline};
    std::string const address = send.server;
    std::uint64_t const request = send.request;
    network.after(networkDelayUs(gateway, server), [this, address, job, request] { enqueue(address, job, request); });
  }

  void reply(std::string const& address, std::size_t gateway, AttemptFinished event) {
    Server const& server = servers[address];
    if (server.unreachable) {
      return;
    }
    event.load = static_cast<double>(server.queue.size() + server.running.size()) / static_cast<double>(server.slots);
    if (network.now() < server.warmUntil) {
      event.warmupMs = std::chrono::duration_cast<Ms>(server.warmUntil - network.now());
    }
    network.after(networkDelayUs(gateway, server), [this, gateway, event] {
      serverOfAttempt.erase({gateway, event.attempt});
      step(gateway, event);
    });
  }

  void enqueue(std::string const& address, Job const& job, std::uint64_t request) {
    Server& server = servers[address];
    if (server.unreachable || !serverOfAttempt.contains({job.gateway, job.attempt})) {
      return;
    }
    if (server.running.size() + server.queue.size() >= server.slots * 4) {
      begun.erase({job.gateway, request});
      reply(address, job.gateway,
            AttemptFinished{job.attempt, false, false, retry::Verdict::notRun, {}, false, true, {}});
      return;
    }
    server.queue.push_back(job);
    startJobs(address);
  }

  void startJobs(std::string const& address) {
    Server& server = servers[address];
    if (server.unreachable || network.now() < server.pausedUntil) {
      return;
    }
    while (server.running.size() < server.slots && !server.queue.empty()) {
      Job const job = server.queue.front();
      server.queue.pop_front();
      std::uint64_t const id = ++lastJob;
      server.running[id] = job.gateway;
      double const coldFactor = network.now() < server.warmUntil ? 3 : 1;
      double const durationMs = job.workMs * server.workFactor * coldFactor;
      network.after(Us(static_cast<long>(durationMs * 1000)),
                    [this, address, id, job] { finishJob(address, id, job); });
    }
  }

  void finishJob(std::string const& address, std::uint64_t id, Job const& job) {
    Server& server = servers[address];
    if (!server.running.contains(id)) {
      return;
    }
    if (network.now() < server.pausedUntil) {
      network.after(std::chrono::duration_cast<Us>(server.pausedUntil - network.now()),
                    [this, address, id, job] { finishJob(address, id, job); });
      return;
    }
    server.running.erase(id);
    bool const failed = network.chance(server.errorShare);
    if (serverOfAttempt.contains({job.gateway, job.attempt})) {
      reply(address, job.gateway,
            AttemptFinished{job.attempt,
                            !failed,
                            !failed,
                            failed ? retry::Verdict::mayHaveRun : retry::Verdict::ran,
                            {},
                            false,
                            false,
                            {}});
    }
    startJobs(address);
  }

  void cancelAttempt(std::size_t gateway, std::uint64_t attempt) {
    std::map<std::pair<std::size_t, std::uint64_t>, std::string>::iterator const at =
        serverOfAttempt.find({gateway, attempt});
    if (at == serverOfAttempt.end()) {
      return;
    }
    std::string const address = at->second;
    serverOfAttempt.erase(at);
    ++cancelledAttempts;
    network.after(networkDelayUs(gateway, servers[address]), [this, address, gateway, attempt] {
      std::erase_if(servers[address].queue,
                    [&](Job const& job) { return job.gateway == gateway && job.attempt == attempt; });
    });
  }

  void finishRequest(std::size_t gateway, FinishRequest const& finish) {
    std::map<std::pair<std::size_t, std::uint64_t>, OpenRequest>::iterator const at =
        openRequests.find({gateway, finish.request});
    RequestKind const& kind = kinds[at->second.kind];
    bool const good = finish.outcome == RequestOutcome::complete || finish.outcome == RequestOutcome::partial;
    double const shardCount = static_cast<double>(kind.services.size());
    double const share = (shardCount - static_cast<double>(finish.missing.size())) / shardCount;
    bool const inTime = network.now() - at->second.at <= kind.targetMs;
    double const earnedValue = good ? kind.value * share * share * (inTime ? 1 : kind.lateShare) : 0;
    std::uint64_t const second = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::seconds>(at->second.at - TimePoint(std::chrono::hours(1))).count());
    for (Tally* const tally : {&total, &seconds[second], &byKind[kind.name]}) {
      tally->offeredValue += kind.value;
      tally->earnedValue += earnedValue;
      ++tally->requests;
      tally->inTime += good && inTime ? 1 : 0;
      tally->late += good && !inTime ? 1 : 0;
      tally->refused += finish.outcome == RequestOutcome::refused ? 1 : 0;
    }
    openRequests.erase(at);
  }

  /// Sends requests of all kinds at random gateways with exponentially distributed gaps, at `loadFactor` times their
  /// usual rate.
  void applyLoad(Ms time, double loadFactor = 1) {
    TimePoint const end = network.now() + time;
    double perSecond = 0;
    for (RequestKind const& kind : kinds) {
      perSecond += kind.perSecond;
    }
    while (network.now() < end) {
      double const gapMs =
          -std::log(1 - static_cast<double>(network.roll(1'000'000)) / 1e6) * 1000 / (perSecond * loadFactor);
      network.runUntil(network.now() + Us(1 + static_cast<long>(gapMs * 1000)));
      double pick = perSecond * static_cast<double>(network.roll(1'000'000)) / 1e6;
      std::size_t kind = 0;
      while (kind + 1 < kinds.size() && pick >= kinds[kind].perSecond) {
        pick -= kinds[kind++].perSecond;
      }
      std::size_t const gateway = network.roll(dispatchers.size());
      RequestKind const& kindOfRequest = kinds[kind];
      std::uint64_t const request = ++lastRequest;
      openRequests[{gateway, request}] = {kind, network.now()};
      std::size_t const minimum = static_cast<std::size_t>(
          std::ceil(kindOfRequest.minimumShare * static_cast<double>(kindOfRequest.services.size()) - 1e-9));
      step(gateway,
           RequestArrived{request, "t", kindOfRequest.services, std::max<std::size_t>(1, minimum),
                          kindOfRequest.maxAttempts, kindOfRequest.idempotent, network.now() + kindOfRequest.deadlineMs,
                          network.now() + kindOfRequest.targetMs, kindOfRequest.priority, kind});
    }
  }

  /// Share of the offered value that the answers earned.
  double earnedShare() const { return total.earnedValue / total.offeredValue; }
  double remoteShare() const {
    return static_cast<double>(remoteAttempts) / static_cast<double>(std::max<std::size_t>(1, attempts));
  }

  /// The most attempts beyond the first ones at a service in any interval, minus a fifth of the first attempts in it.
  double maxExtraAttempts() const {
    double worst = 0;
    for (std::pair<std::string const, std::vector<std::pair<TimePoint, bool>>> const& service : arrivals) {
      double excess = 0;
      for (std::pair<TimePoint, bool> const& arrival : service.second) {
        excess = std::max(0.0, excess + (arrival.second ? -0.2 : 1.0));
        worst = std::max(worst, excess);
      }
    }
    return worst;
  }
};

std::vector<std::string> const shards{"p0", "p1", "p2", "p3"};

/// Adds the servers and the kinds of requests. With `expensive`, requests are more expensive and have later deadlines.
void addServersAndKinds(SimulatedSite& site, bool expensive, Ms pauseMs) {
  for (std::string const& shard : shards) {
    site.addService(shard, 4, expensive ? 3 : 2, pauseMs);
  }
  site.addService("ledger", expensive ? 19 : 4, expensive ? 3 : 6, Ms(0));
  double const scale = expensive ? 2 : 1;
  site.kinds = {{"sweep", shards, 0.75, true, 255, 7.5 * scale, expensive ? Ms(120) : Ms(80),
                 expensive ? Ms(1200) : Ms(400), 2, expensive ? 1.0 : 0.6, 1, 2},
                {"peek", shards, 0.5, true, 102, 2.5 * scale, expensive ? Ms(60) : Ms(40),
                 expensive ? Ms(600) : Ms(250), 1, expensive ? 0.5 : 0.3, 2, 2},
                {"order",
                 {"ledger"},
                 1,
                 false,
                 expensive ? 153.0 : 130.0,
                 60 * scale,
                 expensive ? Ms(500) : Ms(250),
                 expensive ? Ms(5000) : Ms(1500),
                 3,
                 expensive ? 0.5 : 0.3,
                 0,
                 1},
                {"history",
                 {"ledger"},
                 1,
                 true,
                 25.5,
                 60 * scale,
                 expensive ? Ms(500) : Ms(250),
                 expensive ? Ms(5000) : Ms(1500),
                 1,
                 expensive ? 0.5 : 0.3,
                 2,
                 2}};
}

/// What a scenario measured: means, worst values and sums over its seeds.
struct ScenarioResult {
  double earnedShare = 0;
  double leastEarnedShare = 1;
  double remoteShare = 0;
  double extraAttempts = 0;
  std::size_t ranTwice = 0;
  std::size_t late = 0;
  double worstSecond = 1;
};

/// Runs a steady load, injects the fault, and measures until the requests have ended.
ScenarioResult runScenario(std::string const& fault, bool expensive, DispatchOptions const& options,
                           std::uint64_t seeds) {
  ScenarioResult result;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    SimulatedSite site(seed * 7919, expensive ? 3 : 4, expensive ? 10 : 11, options);
    addServersAndKinds(site, expensive, Ms(40 + static_cast<long>(site.network.roll(150))));
    site.start();
    site.applyLoad(Ms(4000));
    std::string const& victim = shards[site.network.roll(4)];
    std::vector<std::string> faultyServers;
    for (std::string const& shard : shards) {
      if (fault.starts_with("dark shard") ? shard == victim : true) {
        for (std::size_t number = 0; number < (fault.starts_with("dark shard") ? 4u : 1u); ++number) {
          faultyServers.push_back(shard + "-" +
                                  std::to_string(fault.starts_with("dark shard") ? number : site.network.roll(4)));
        }
      }
    }
    for (std::string const& address : faultyServers) {
      Server& server = site.servers[address];
      server.unreachable = fault == "dark" || fault.starts_with("dark shard");
      server.workFactor *= fault == "slow" ? 4 + 4.5 * static_cast<double>(site.network.roll(1000)) / 1000 : 1;
      server.errorShare = fault == "bad" ? 0.7 : 0;
      if (server.unreachable) {
        site.network.after(Ms(4000), [&site, address] { site.restartCold(address); });
      }
    }
    if (fault == "dark shard, slow") {
      site.network.after(Ms(2800), [&site, victim] {
        for (std::size_t count = 0; count < 3;) {
          std::string const& shard = shards[site.network.roll(4)];
          Server& server = site.servers[shard + "-" + std::to_string(site.network.roll(4))];
          if (shard != victim && server.workFactor < 2) {
            server.workFactor *= 5 + 3 * static_cast<double>(site.network.roll(1000)) / 1000;
            ++count;
          }
        }
      });
    }
    site.applyLoad(Ms(8000), fault == "overload" ? 2.5 : 1);
    site.network.runUntil(site.network.now() + Ms(6000));
    result.earnedShare += site.earnedShare() / static_cast<double>(seeds);
    result.leastEarnedShare = std::min(result.leastEarnedShare, site.earnedShare());
    result.remoteShare += site.remoteShare() / static_cast<double>(seeds);
    result.extraAttempts = std::max(result.extraAttempts, site.maxExtraAttempts());
    result.ranTwice += site.ranTwice;
    result.late += site.total.late;
    for (std::pair<std::uint64_t const, Tally> const& second : site.seconds) {
      if (second.second.requests < 100) {
        continue;
      }
      result.worstSecond = std::min(result.worstSecond, second.second.earnedValue / second.second.offeredValue);
    }
    if (std::getenv("LIMERAMP_SECONDS") != nullptr) {
      for (std::pair<std::uint64_t const, Tally> const& second : site.seconds) {
        std::printf("  %s seed %llu second %llu: worth %.3f, late %zu, refused %zu of %zu\n", fault.c_str(),
                    static_cast<unsigned long long>(seed), static_cast<unsigned long long>(second.first),
                    second.second.earnedValue / second.second.offeredValue, second.second.late, second.second.refused,
                    second.second.requests);
      }
    }
  }
  return result;
}

TEST(RequestValue, StaysAboveItsBoundWithPausedDownSlowAndFailingServersAndOverload) {
  std::uint64_t const seeds = std::getenv("LIMERAMP_LONG") != nullptr ? 20 : 4;
  std::map<std::string, double> const least{{"calm", 0.99},   {"dark", 0.98},      {"slow", 0.98},
                                            {"bad", 0.98},    {"dark shard", 0.8}, {"dark shard, slow", 0.8},
                                            {"overload", 0.9}};
  for (bool const expensive : {false, true}) {
    for (std::pair<std::string const, double> const& row : least) {
      ScenarioResult const result = runScenario(row.first, expensive, DispatchOptions{}, seeds);
      std::printf(
          "%s %-16s seeds 1 to %llu: worth %.4f, least %.4f, worst second %.3f, late %zu, remote %.3f, extras above a "
          "fifth %.1f\n",
          expensive ? "three zones" : "four zones ", row.first.c_str(), static_cast<unsigned long long>(seeds),
          result.earnedShare, result.leastEarnedShare, result.worstSecond, result.late, result.remoteShare,
          result.extraAttempts);
      EXPECT_GT(result.leastEarnedShare, row.second) << row.first;
      EXPECT_EQ(result.ranTwice, 0u) << row.first;
      EXPECT_LT(row.first == "calm" ? result.remoteShare : 0, 0.2);
      EXPECT_LE(result.extraAttempts, 60.0) << row.first;
    }
  }
}

}  // namespace
