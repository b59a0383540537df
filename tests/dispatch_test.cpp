#include "limeramp/dispatch/dispatcher.h"
#include "limeramp/dispatch/shard_result.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <map>
#include <random>
#include <set>

namespace {

using namespace limeramp;
using namespace limeramp::dispatch;
using Ms = std::chrono::milliseconds;

TimePoint const start{std::chrono::hours(1)};

/// Steps a dispatcher on a simulated clock and collects its effects.
struct DispatcherHarness {
  explicit DispatcherHarness(DispatchOptions const& options = {}) : dispatcher(options) {}

  Dispatcher dispatcher;
  TimePoint now = start;
  std::vector<SendAttempt> sent;
  std::vector<std::uint64_t> cancelled;
  std::vector<AcceptShardResult> accepted;
  std::vector<FinishRequest> finished;

  void step(DispatchEvent const& event) {
    for (DispatchEffect const& effect : dispatcher.step(now, event)) {
      if (SendAttempt const* const send = std::get_if<SendAttempt>(&effect)) {
        sent.push_back(*send);
      } else if (CancelAttempt const* const cancel = std::get_if<CancelAttempt>(&effect)) {
        cancelled.push_back(cancel->attempt);
      } else if (AcceptShardResult const* const accept = std::get_if<AcceptShardResult>(&effect)) {
        accepted.push_back(*accept);
      } else if (FinishRequest const* const finish = std::get_if<FinishRequest>(&effect)) {
        finished.push_back(*finish);
      }
    }
  }
  void listServers(std::string const& service, std::size_t count) {
    ServersUpdated event{service, {}};
    for (std::size_t index = 0; index < count; ++index) {
      ServerEndpoint endpoint;
      endpoint.address = service + "-" + std::to_string(index);
      event.rows.push_back(endpoint);
    }
    step(event);
  }
  void setBudgetDepth(double budgetDepth) { step(FleetPosition{1, 0, budgetDepth}); }
  void arrive(std::uint64_t request, std::vector<std::string> services, std::size_t minimum, std::size_t maxAttempts,
              bool idempotent, Ms deadlineMs, std::string const& tenant = "t") {
    step(RequestArrived{request, tenant, std::move(services), minimum, maxAttempts, idempotent, now + deadlineMs});
  }
  void succeed(std::uint64_t attempt) { step(AttemptFinished{attempt, true, true, retry::Verdict::ran, {}}); }
  void fail(std::uint64_t attempt, retry::Verdict verdict) {
    step(AttemptFinished{attempt, false, false, verdict, {}});
  }
  void advance(Ms durationMs) {
    for (Ms done{0}; done < durationMs; done += Ms(5)) {
      now += Ms(5);
      step(Tick{});
    }
  }
  /// Serves 400 requests in 10 ms each, so that latencies are known and the retry budget is full.
  void learnLatencies(std::string const& service, double budgetDepth) {
    setBudgetDepth(budgetDepth);
    for (std::uint64_t request = 1000; request < 1400; ++request) {
      arrive(request, {service}, 1, 1, true, Ms(500));
      now += Ms(10);
      succeed(sent.back().attempt);
    }
    sent.clear();
    accepted.clear();
    finished.clear();
  }
};

TEST(Queue, IdleServerTakesNextSubrequestOfItsOwnShardOnly) {
  DispatchOptions options;
  options.concurrency.maxPerServer = 1;
  DispatcherHarness harness(options);
  harness.listServers("a", 1);
  harness.listServers("b", 1);
  harness.arrive(1, {"a", "b"}, 2, 1, true, Ms(500));
  harness.arrive(2, {"a", "b"}, 2, 1, true, Ms(500));
  ASSERT_EQ(harness.sent.size(), 2u);
  harness.succeed(harness.sent[0].attempt);
  ASSERT_EQ(harness.sent.size(), 3u);
  EXPECT_EQ(harness.sent[2].server, "a-0");
  EXPECT_EQ(harness.sent[2].request, 2u);
  harness.succeed(harness.sent[2].attempt);
  EXPECT_EQ(harness.sent.size(), 3u);
  harness.succeed(harness.sent[1].attempt);
  ASSERT_EQ(harness.sent.size(), 4u);
  EXPECT_EQ(harness.sent[3].server, "b-0");
}

TEST(Hedging, StragglerIsHedgedOnlyWithinTheRetryBudget) {
  for (double const budgetDepth : {0.0, 5.0}) {
    DispatcherHarness harness;
    harness.listServers("a", 2);
    harness.learnLatencies("a", budgetDepth);
    harness.arrive(1, {"a"}, 1, 2, true, Ms(500));
    harness.advance(Ms(200));
    EXPECT_EQ(harness.sent.size(), budgetDepth > 0 ? 2u : 1u);
    if (budgetDepth > 0) {
      EXPECT_TRUE(harness.sent[1].hedged);
      EXPECT_NE(harness.sent[0].server, harness.sent[1].server);
    }
  }
}

TEST(Hedging, WaitingSubrequestGoesBeforeStraggler) {
  DispatchOptions options;
  options.concurrency.maxPerServer = 1;
  DispatcherHarness harness(options);
  harness.listServers("a", 2);
  harness.learnLatencies("a", 5);
  harness.arrive(1, {"a"}, 1, 2, true, Ms(500));
  harness.arrive(2, {"a"}, 1, 2, true, Ms(500));
  harness.arrive(3, {"a"}, 1, 2, true, Ms(500));
  harness.advance(Ms(100));
  ASSERT_EQ(harness.sent.size(), 2u);
  harness.succeed(harness.sent[1].attempt);
  ASSERT_EQ(harness.sent.size(), 3u);
  EXPECT_EQ(harness.sent[2].request, 3u);
  EXPECT_FALSE(harness.sent[2].hedged);
}

TEST(Retry, NonIdempotentRequestIsRetriedOnlyIfItDidNotRun) {
  for (retry::Verdict const verdict : {retry::Verdict::notRun, retry::Verdict::mayHaveRun}) {
    DispatcherHarness harness;
    harness.listServers("a", 3);
    harness.learnLatencies("a", 5);
    harness.arrive(1, {"a"}, 1, 3, false, Ms(500));
    harness.advance(Ms(100));
    ASSERT_EQ(harness.sent.size(), 1u);
    harness.fail(harness.sent[0].attempt, verdict);
    if (verdict == retry::Verdict::notRun) {
      EXPECT_EQ(harness.sent.size(), 2u);
      EXPECT_TRUE(harness.finished.empty());
    } else {
      EXPECT_EQ(harness.sent.size(), 1u);
      ASSERT_EQ(harness.finished.size(), 1u);
      EXPECT_EQ(harness.finished[0].verdict, retry::Verdict::mayHaveRun);
    }
  }
}

TEST(AnswerOrder, OneResultPerShardIsAcceptedInEveryOrderOfAnswers) {
  std::vector<int> attemptOrder{0, 1, 2, 3};
  std::size_t ordersTried = 0;
  do {
    DispatcherHarness harness;
    harness.listServers("a", 2);
    harness.listServers("b", 2);
    harness.learnLatencies("a", 5);
    harness.learnLatencies("b", 5);
    harness.arrive(1, {"a", "b"}, 2, 2, true, Ms(500));
    harness.advance(Ms(100));
    ASSERT_EQ(harness.sent.size(), 4u);
    for (int const attemptIndex : attemptOrder) {
      harness.succeed(harness.sent[static_cast<std::size_t>(attemptIndex)].attempt);
    }
    ASSERT_EQ(harness.finished.size(), 1u);
    EXPECT_EQ(harness.finished[0].outcome, RequestOutcome::complete);
    std::set<std::size_t> shards;
    for (AcceptShardResult const& accept : harness.accepted) {
      EXPECT_TRUE(shards.insert(accept.shard).second);
    }
    EXPECT_EQ(shards.size(), 2u);
    EXPECT_EQ(harness.cancelled.size(), 2u);
    EXPECT_EQ(harness.dispatcher.requests(), 0u);
    ++ordersTried;
  } while (std::next_permutation(attemptOrder.begin(), attemptOrder.end()));
  EXPECT_EQ(ordersTried, 24u);
}

TEST(RequestOutcome, ShardWithoutServersLeftIsLeftOutAtOnce) {
  DispatcherHarness harness;
  harness.listServers("a", 1);
  harness.listServers("b", 1);
  harness.arrive(1, {"a", "b"}, 1, 2, true, Ms(500));
  harness.fail(harness.sent[0].attempt, retry::Verdict::mayHaveRun);
  EXPECT_TRUE(harness.finished.empty());
  harness.succeed(harness.sent[1].attempt);
  ASSERT_EQ(harness.finished.size(), 1u);
  EXPECT_EQ(harness.finished[0].outcome, RequestOutcome::partial);
  EXPECT_EQ(harness.finished[0].missing, std::vector<std::size_t>{0});
}

TEST(RequestOutcome, FailsAtOnceWhenTooFewShardsCanStillAnswer) {
  DispatcherHarness harness;
  harness.listServers("a", 1);
  harness.listServers("b", 1);
  harness.arrive(1, {"a", "b"}, 2, 1, true, Ms(5000));
  harness.fail(harness.sent[0].attempt, retry::Verdict::mayHaveRun);
  ASSERT_EQ(harness.finished.size(), 1u);
  EXPECT_EQ(harness.finished[0].outcome, RequestOutcome::failed);
  EXPECT_EQ(harness.finished[0].verdict, retry::Verdict::mayHaveRun);
  EXPECT_EQ(harness.cancelled, std::vector<std::uint64_t>{harness.sent[1].attempt});
}

TEST(RequestOutcome, FailsAtTheDeadlineWithFewerShardsThanTheMinimum) {
  DispatcherHarness harness;
  for (std::string const name : {"a", "b", "c"}) {
    harness.listServers(name, 1);
  }
  harness.arrive(1, {"a", "b", "c"}, 2, 1, true, Ms(300));
  harness.succeed(harness.sent[0].attempt);
  harness.advance(Ms(295));
  ASSERT_EQ(harness.finished.size(), 1u);
  EXPECT_EQ(harness.finished[0].outcome, RequestOutcome::failed);
  EXPECT_EQ(harness.finished[0].missing, (std::vector<std::size_t>{1, 2}));
}

TEST(RequestOutcome, AnswersWithoutTheSlowShardBeforeTheDeadline) {
  DispatcherHarness harness;
  harness.listServers("a", 1);
  harness.listServers("b", 1);
  harness.arrive(1, {"a", "b"}, 1, 1, true, Ms(300));
  harness.succeed(harness.sent[0].attempt);
  harness.advance(Ms(295));
  ASSERT_EQ(harness.finished.size(), 1u);
  EXPECT_EQ(harness.finished[0].outcome, RequestOutcome::partial);
  harness.succeed(harness.sent[1].attempt);
  EXPECT_EQ(harness.accepted.size(), 1u);
}

TEST(Refusal, VerdictIsNotRunExactlyIfNoAttemptWasSent) {
  DispatchOptions options;
  options.queue.maxWaitingPerTenant = 2;
  options.concurrency.maxPerServer = 1;
  DispatcherHarness harness(options);
  harness.listServers("a", 1);
  for (std::uint64_t request = 1; request <= 4; ++request) {
    harness.arrive(request, {"a"}, 1, 1, false, Ms(500));
  }
  ASSERT_EQ(harness.finished.size(), 1u);
  EXPECT_EQ(harness.finished[0].outcome, RequestOutcome::refused);
  EXPECT_TRUE(harness.finished[0].retryAfter.has_value());
  harness.advance(Ms(500));
  ASSERT_EQ(harness.finished.size(), 4u);
  std::set<std::uint64_t> attempted;
  for (SendAttempt const& send : harness.sent) {
    attempted.insert(send.request);
  }
  for (FinishRequest const& finish : harness.finished) {
    EXPECT_EQ(finish.verdict == retry::Verdict::notRun, !attempted.contains(finish.request));
  }
}

TEST(Fairness, FloodingTenantDoesNotStarveAnother) {
  DispatchOptions options;
  options.concurrency.maxPerServer = 1;
  DispatcherHarness harness(options);
  harness.listServers("a", 1);
  for (std::uint64_t request = 1; request <= 100; ++request) {
    harness.arrive(request, {"a"}, 1, 1, true, Ms(5000), "flood");
  }
  harness.arrive(200, {"a"}, 1, 1, true, Ms(5000), "calm");
  harness.succeed(harness.sent[0].attempt);
  harness.succeed(harness.sent[1].attempt);
  EXPECT_TRUE(harness.sent[1].request == 200 || harness.sent[2].request == 200);
}

TEST(Ejection, RefusingServerIsEjectedAndReadmittedABriefPauseIsTolerated) {
  DispatcherHarness harness;
  harness.listServers("a", 2);
  harness.learnLatencies("a", 5);
  harness.arrive(1, {"a"}, 1, 2, true, Ms(500));
  harness.advance(Ms(100));
  harness.succeed(harness.sent[1].attempt);
  for (ServerStatus const& server : harness.dispatcher.servers(harness.now)) {
    EXPECT_FALSE(server.ejected);
  }
  harness.advance(Ms(2000));
  std::size_t refused = 0;
  for (std::uint64_t request = 10; request < 40; ++request) {
    harness.arrive(request, {"a"}, 1, 2, true, Ms(500));
    while (harness.dispatcher.requests() > 0) {
      SendAttempt const last = harness.sent.back();
      if (last.server == "a-1") {
        ++refused;
        harness.fail(last.attempt, retry::Verdict::notRun);
      } else {
        harness.succeed(last.attempt);
      }
    }
  }
  EXPECT_EQ(refused, 2u);
  harness.advance(Ms(600));
  for (std::uint64_t request = 50; request < 60; ++request) {
    harness.arrive(request, {"a"}, 1, 2, true, Ms(500));
    harness.succeed(harness.sent.back().attempt);
  }
  for (ServerStatus const& server : harness.dispatcher.servers(harness.now)) {
    EXPECT_FALSE(server.ejected) << server.address;
  }
}

TEST(SlowStart, BeginsAgainWhenAServerAnswersAfterItWasNotReached) {
  for (bool const refusedOnce : {false, true}) {
    DispatcherHarness harness;
    ServerEndpoint endpoint;
    endpoint.address = "a0";
    endpoint.slowStartMs = Ms(4000);
    endpoint.ageMs = Ms(60'000);
    harness.step(ServersUpdated{"a", {endpoint}});
    harness.arrive(1, {"a"}, 1, 2, true, Ms(500));
    if (refusedOnce) {
      harness.fail(harness.sent.back().attempt, retry::Verdict::notRun);
    } else {
      harness.succeed(harness.sent.back().attempt);
    }
    harness.now += Ms(300);
    harness.arrive(2, {"a"}, 1, 2, true, Ms(500));
    harness.succeed(harness.sent.back().attempt);
    EXPECT_EQ(harness.dispatcher.servers(harness.now).front().warmingUp, refusedOnce);
  }
}

ServerEndpoint endpointOf(std::string const& address, std::string const& incarnation = "") {
  ServerEndpoint endpoint;
  endpoint.address = address;
  endpoint.incarnation = incarnation;
  return endpoint;
}

AttemptFinished refusalOf(std::uint64_t attempt, bool overCapacity, bool staleIncarnation) {
  AttemptFinished attemptFinished;
  attemptFinished.attempt = attempt;
  attemptFinished.verdict = retry::Verdict::notRun;
  attemptFinished.overCapacity = overCapacity;
  attemptFinished.staleIncarnation = staleIncarnation;
  return attemptFinished;
}

TEST(Incarnation, NewIncarnationAtTheSameAddressIsAServerWithoutHistory) {
  DispatcherHarness harness;
  harness.step(ServersUpdated{"a", {endpointOf("s", "l1"), endpointOf("t", "l9")}});
  for (std::uint64_t request = 1; request <= 4; ++request) {
    harness.arrive(request, {"a"}, 1, 2, true, Ms(500));
    while (harness.dispatcher.requests() > 0) {
      SendAttempt const last = harness.sent.back();
      EXPECT_EQ(last.incarnation, last.server == "s" ? "l1" : "l9");
      if (last.server == "s") {
        harness.fail(last.attempt, retry::Verdict::notRun);
      } else {
        harness.succeed(last.attempt);
      }
    }
  }
  std::vector<ServerStatus> before = harness.dispatcher.servers(harness.now);
  EXPECT_TRUE(before[0].ejected);
  harness.arrive(5, {"a"}, 1, 1, true, Ms(500));
  std::uint64_t const oldAttempt = harness.sent.back().attempt;
  harness.step(ServersUpdated{"a", {endpointOf("s", "l2")}});
  EXPECT_FALSE(harness.dispatcher.servers(harness.now)[0].ejected);
  EXPECT_EQ(harness.dispatcher.servers(harness.now)[0].inFlight, 0u);
  harness.arrive(6, {"a"}, 1, 1, true, Ms(500));
  EXPECT_EQ(harness.sent.back().incarnation, "l2");
  harness.succeed(oldAttempt);
  EXPECT_EQ(harness.dispatcher.servers(harness.now)[0].inFlight, 1u);
  EXPECT_EQ(harness.dispatcher.requests(), 1u);
}

TEST(Incarnation, StaleServerGetsNoWorkUntilTheListShowsItsNewIncarnation) {
  for (bool const idempotent : {true, false}) {
    DispatcherHarness harness;
    harness.step(ServersUpdated{"a", {endpointOf("s", "l1"), endpointOf("t", "l2")}});
    harness.learnLatencies("a", 5);
    harness.arrive(1, {"a"}, 1, 2, idempotent, Ms(500));
    std::string const staleServer = harness.sent[0].server;
    harness.step(refusalOf(harness.sent[0].attempt, false, true));
    ASSERT_EQ(harness.sent.size(), 2u);
    EXPECT_NE(harness.sent[1].server, staleServer);
    harness.succeed(harness.sent[1].attempt);
    for (int round = 0; round < 200; ++round) {
      harness.now += Ms(100);
      harness.step(ServersUpdated{"a", {endpointOf("s", "l1"), endpointOf("t", "l2")}});
      harness.arrive(10 + static_cast<std::uint64_t>(round), {"a"}, 1, 2, true, Ms(500));
      EXPECT_NE(harness.sent.back().server, staleServer);
      harness.succeed(harness.sent.back().attempt);
    }
    harness.step(ServersUpdated{
        "a", {endpointOf("s", staleServer == "s" ? "l3" : "l1"), endpointOf("t", staleServer == "t" ? "l3" : "l2")}});
    bool usedAgain = false;
    for (int round = 0; round < 20; ++round) {
      harness.arrive(1000 + static_cast<std::uint64_t>(round), {"a"}, 1, 2, true, Ms(500));
      usedAgain = usedAgain || harness.sent.back().server == staleServer;
      harness.succeed(harness.sent.back().attempt);
    }
    EXPECT_TRUE(usedAgain);
  }
}

TEST(Retry, RefusedAttemptGoesToAnotherServerIfAttemptsAndBudgetAllow) {
  for (bool const idempotent : {true, false}) {
    for (std::size_t const maxAttempts : {1u, 2u}) {
      for (double const budgetDepth : {0.0, 5.0}) {
        DispatcherHarness harness;
        harness.listServers("a", 3);
        harness.learnLatencies("a", budgetDepth);
        harness.arrive(1, {"a"}, 1, maxAttempts, idempotent, Ms(500));
        harness.step(refusalOf(harness.sent[0].attempt, true, false));
        if (maxAttempts == 2 && budgetDepth > 0) {
          ASSERT_EQ(harness.sent.size(), 2u);
          EXPECT_NE(harness.sent[0].server, harness.sent[1].server);
          EXPECT_TRUE(harness.finished.empty());
          harness.step(refusalOf(harness.sent[1].attempt, true, false));
          EXPECT_EQ(harness.sent.size(), 2u);
        }
        ASSERT_EQ(harness.finished.size(), 1u);
        EXPECT_EQ(harness.finished[0].outcome, RequestOutcome::refused);
        EXPECT_EQ(harness.finished[0].verdict, retry::Verdict::notRun);
        ASSERT_TRUE(harness.finished[0].retryAfter.has_value());
        EXPECT_GE(*harness.finished[0].retryAfter, Ms(20));
        EXPECT_LE(*harness.finished[0].retryAfter, Ms(300));
      }
    }
  }
}

TEST(Retry, UnreachedServersCostNoBudgetAndTheirNumberIsBounded) {
  for (bool const idempotent : {true, false}) {
    DispatcherHarness harness;
    harness.setBudgetDepth(0);
    harness.listServers("a", 9);
    harness.arrive(1, {"a"}, 1, 1, idempotent, Ms(500));
    harness.fail(harness.sent[0].attempt, retry::Verdict::notRun);
    ASSERT_EQ(harness.sent.size(), 2u);
    harness.succeed(harness.sent[1].attempt);
    EXPECT_EQ(harness.finished.back().outcome, RequestOutcome::complete);
    harness.arrive(2, {"a"}, 1, 1, idempotent, Ms(500));
    while (harness.dispatcher.requests() > 0) {
      harness.fail(harness.sent.back().attempt, retry::Verdict::notRun);
    }
    EXPECT_EQ(harness.finished.back().outcome, RequestOutcome::refused);
    EXPECT_EQ(harness.sent.size(), 2u + retry::AttemptLog::maxUnreached + 1);
  }
}

TEST(WarmUp, ServerWithoutCapacityIsTheLastResortAndOtherwiseGetsItsShare) {
  for (double const perSecond : {0.0, 20.0}) {
    DispatcherHarness harness;
    ServerEndpoint warmingServer = endpointOf("cold", "l1");
    warmingServer.warmupMs = Ms(20'000);
    warmingServer.warmupPerSecond = perSecond;
    harness.step(ServersUpdated{"a", {warmingServer, endpointOf("warm", "l2")}});
    harness.advance(Ms(4000));
    std::size_t attemptsAtWarmingServer = 0;
    for (std::uint64_t request = 1; request <= 400; ++request) {
      harness.arrive(request, {"a"}, 1, 1, true, Ms(500));
      harness.arrive(1000 + request, {"a"}, 1, 1, true, Ms(500));
      harness.arrive(2000 + request, {"a"}, 1, 1, true, Ms(500));
      for (std::size_t index = 3 * (request - 1); index < harness.sent.size(); ++index) {
        attemptsAtWarmingServer += harness.sent[index].server == "cold" ? 1 : 0;
        harness.succeed(harness.sent[index].attempt);
      }
      harness.now += Ms(10);
    }
    EXPECT_EQ(attemptsAtWarmingServer > 0, perSecond > 0);
    ServerEndpoint draining = endpointOf("warm", "l2");
    draining.draining = true;
    harness.step(ServersUpdated{"a", {warmingServer, draining}});
    harness.arrive(9000, {"a"}, 1, 1, true, Ms(500));
    harness.advance(Ms(500));
    EXPECT_EQ(harness.sent.back().server, "cold");
  }
}

TEST(WarmUp, ServerMayReportWarmUpInAnyAnswer) {
  DispatcherHarness harness;
  harness.listServers("a", 2);
  harness.advance(Ms(4000));
  harness.arrive(1, {"a"}, 1, 1, true, Ms(500));
  std::string const warmingServer = harness.sent.back().server;
  AttemptFinished attemptFinished{harness.sent.back().attempt, true, true, retry::Verdict::ran, {}};
  attemptFinished.warmupMs = Ms(1000);
  harness.step(attemptFinished);
  for (std::uint64_t request = 2; request <= 90; ++request) {
    harness.arrive(request, {"a"}, 1, 1, true, Ms(500));
    EXPECT_NE(harness.sent.back().server, warmingServer) << request;
    harness.succeed(harness.sent.back().attempt);
    harness.now += Ms(10);
  }
  bool usedAgain = false;
  for (std::uint64_t request = 100; request <= 140; ++request) {
    harness.arrive(request, {"a"}, 1, 1, true, Ms(500));
    usedAgain = usedAgain || harness.sent.back().server == warmingServer;
    harness.succeed(harness.sent.back().attempt);
    harness.now += Ms(10);
  }
  EXPECT_TRUE(usedAgain);
}

TEST(Draining, ServerGetsNoNewWorkAndFinishesOpenAttempts) {
  DispatcherHarness harness;
  harness.listServers("a", 1);
  harness.arrive(1, {"a"}, 1, 1, true, Ms(500));
  ServersUpdated draining{"a", {}};
  ServerEndpoint endpoint;
  endpoint.address = "a-0";
  endpoint.draining = true;
  draining.rows.push_back(endpoint);
  harness.step(draining);
  harness.arrive(2, {"a"}, 1, 1, true, Ms(500));
  EXPECT_EQ(harness.sent.size(), 1u);
  ASSERT_EQ(harness.finished.size(), 1u);
  EXPECT_EQ(harness.finished[0].verdict, retry::Verdict::notRun);
  harness.succeed(harness.sent[0].attempt);
  EXPECT_EQ(harness.finished.size(), 2u);
}

TEST(Budget, FurtherAttemptsStayBelowAFifthPlusTheDepthInEveryInterval) {
  double highest = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    std::mt19937_64 random(seed);
    DispatcherHarness harness;
    harness.listServers("a", 4);
    harness.setBudgetDepth(6);
    std::vector<std::pair<TimePoint, bool>> arrivals;
    std::vector<std::uint64_t> openAttempts;
    std::size_t seen = 0;
    for (std::uint64_t request = 1; request <= 1500; ++request) {
      harness.now += Ms(static_cast<long>(random() % (request / 500 == 1 ? 80 : 10)));
      harness.arrive(request, {"a"}, 1, 4, true, Ms(300));
      harness.step(Tick{});
      for (; seen < harness.sent.size(); ++seen) {
        bool const first =
            std::none_of(harness.sent.begin(), harness.sent.begin() + static_cast<long>(seen),
                         [&](SendAttempt const& send) { return send.request == harness.sent[seen].request; });
        arrivals.emplace_back(harness.now, first);
        if (request < 500 || random() % 3 != 0) {
          openAttempts.push_back(harness.sent[seen].attempt);
        }
      }
      if (!openAttempts.empty() && (request < 500 || random() % 2 == 0)) {
        std::uint64_t const attempt = openAttempts.back();
        openAttempts.pop_back();
        if (request >= 500 && random() % 4 == 0) {
          harness.fail(attempt, retry::Verdict::mayHaveRun);
        } else {
          harness.succeed(attempt);
        }
      }
    }
    double excess = 0;
    double maxExcess = 0;
    for (std::pair<TimePoint, bool> const& arrival : arrivals) {
      excess = std::max(0.0, excess + (arrival.second ? -0.2 : 1.0));
      maxExcess = std::max(maxExcess, excess);
    }
    EXPECT_LE(maxExcess, 6.0 + 1e-6) << "seed " << seed;
    highest = std::max(highest, maxExcess);
  }
  EXPECT_GT(highest, 5.0);
}

/// A harness with a seeded source of random numbers and the answers that are due.
struct LoadSimulation {
  explicit LoadSimulation(std::uint64_t seedIn, DispatchOptions const& options = {})
      : random(seedIn), harness(options) {}

  std::mt19937_64 random;
  DispatcherHarness harness;
  std::multimap<TimePoint, SendAttempt> due;
  std::size_t processed = 0;

  std::uint64_t randomBelow(std::uint64_t bound) { return random() % bound; }
  void arriveWithTarget(std::uint64_t request, std::vector<std::string> services, std::size_t minimum, bool idempotent,
                        Ms latencyTargetMs, Ms deadlineMs, std::size_t priority = 0) {
    harness.step(RequestArrived{request, "t", std::move(services), minimum, 3, idempotent, harness.now + deadlineMs,
                                harness.now + latencyTargetMs, priority, 0});
  }
  void listServersInZones(std::string const& service, std::vector<std::string> const& zones) {
    ServersUpdated event{service, {}};
    for (std::size_t number = 0; number < zones.size(); ++number) {
      ServerEndpoint endpoint;
      endpoint.address = service + "-" + std::to_string(number);
      endpoint.zone = zones[number];
      event.rows.push_back(endpoint);
    }
    harness.step(event);
  }
};

TEST(NonIdempotent, IsResentOnlyIfNotRunAndNotCancelledBeforeItsDeadline) {
  std::size_t resent = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    LoadSimulation simulation(seed);
    DispatcherHarness& harness = simulation.harness;
    harness.listServers("a", 2 + simulation.randomBelow(4));
    harness.learnLatencies("a", 5);
    std::map<std::uint64_t, TimePoint> deadlines;
    std::map<std::uint64_t, SendAttempt> open;
    std::set<std::uint64_t> mayHaveRun;
    std::set<std::uint64_t> sentOnce;
    std::size_t processed = 0;
    std::size_t processedCancellations = 0;
    std::map<std::uint64_t, std::uint64_t> requestOf;
    for (int turn = 0; turn < 120; ++turn) {
      if (simulation.randomBelow(3) == 0) {
        std::uint64_t const request = 10'000 + static_cast<std::uint64_t>(turn);
        Ms const deadlineMs(100 + static_cast<long>(simulation.randomBelow(900)));
        deadlines[request] = harness.now + deadlineMs;
        simulation.arriveWithTarget(request, {"a"}, 1, false, deadlineMs / 4, deadlineMs);
      }
      if (!open.empty() && simulation.randomBelow(2) == 0) {
        std::map<std::uint64_t, SendAttempt>::iterator at = open.begin();
        std::advance(at, static_cast<long>(simulation.randomBelow(open.size())));
        SendAttempt const send = at->second;
        open.erase(at);
        std::uint64_t const outcome = simulation.randomBelow(4);
        if (outcome == 0) {
          harness.fail(send.attempt, retry::Verdict::notRun);
        } else if (outcome == 1) {
          mayHaveRun.insert(send.request);
          harness.fail(send.attempt, retry::Verdict::mayHaveRun);
        } else {
          mayHaveRun.insert(send.request);
          harness.succeed(send.attempt);
        }
      }
      harness.advance(Ms(5 * static_cast<long>(1 + simulation.randomBelow(4))));
      for (; processed < harness.sent.size(); ++processed) {
        SendAttempt const& send = harness.sent[processed];
        EXPECT_FALSE(mayHaveRun.contains(send.request)) << "seed " << seed;
        EXPECT_FALSE(send.hedged) << "seed " << seed;
        for (std::pair<std::uint64_t const, SendAttempt> const& other : open) {
          EXPECT_NE(other.second.request, send.request) << "seed " << seed;
        }
        resent += sentOnce.insert(send.request).second ? 0 : 1;
        requestOf[send.attempt] = send.request;
        open[send.attempt] = send;
      }
      for (; processedCancellations < harness.cancelled.size(); ++processedCancellations) {
        std::uint64_t const attempt = harness.cancelled[processedCancellations];
        EXPECT_GE(harness.now, deadlines[requestOf[attempt]] - Ms(31)) << "seed " << seed;
        open.erase(attempt);
      }
    }
  }
  std::printf("seeds 1 to 200: %zu requests sent again after a not-run verdict\n", resent);
  EXPECT_GT(resent, 100u);
}

TEST(Refusal, LowestPriorityIsRefusedFirstAndEarlyWithARetryAfterTime) {
  DispatchOptions options;
  options.concurrency.maxPerServer = 1;
  options.queue.maxWaitingPerTenant = 4;
  LoadSimulation simulation(1, options);
  DispatcherHarness& harness = simulation.harness;
  harness.listServers("a", 1);
  harness.learnLatencies("a", 0);
  simulation.arriveWithTarget(1, {"a"}, 1, true, Ms(80), Ms(400), 0);
  for (std::uint64_t request = 2; request <= 5; ++request) {
    simulation.arriveWithTarget(request, {"a"}, 1, true, Ms(80), Ms(400), 2);
  }
  EXPECT_TRUE(harness.finished.empty());
  simulation.arriveWithTarget(6, {"a"}, 1, true, Ms(80), Ms(400), 0);
  ASSERT_EQ(harness.finished.size(), 1u);
  EXPECT_EQ(harness.finished[0].request, 5u);
  simulation.arriveWithTarget(7, {"a"}, 1, true, Ms(80), Ms(400), 2);
  ASSERT_EQ(harness.finished.size(), 2u);
  EXPECT_EQ(harness.finished[1].request, 7u);
  harness.advance(Ms(25));
  EXPECT_GT(harness.finished.size(), 2u);
  for (FinishRequest const& finish : harness.finished) {
    EXPECT_EQ(finish.outcome, RequestOutcome::refused);
    EXPECT_EQ(finish.verdict, retry::Verdict::notRun);
    ASSERT_TRUE(finish.retryAfter.has_value());
    EXPECT_GE(*finish.retryAfter, options.backoff.minMs);
    EXPECT_LE(*finish.retryAfter, options.backoff.maxMs);
    EXPECT_NE(finish.request, 1u);
  }
}

TEST(LatencyTarget, PartialAnswerIsSentOnlyIfEnoughShardsHaveAnswered) {
  struct Case {
    std::size_t shards;
    std::size_t answered;
    std::size_t minimum;
    bool isSent;
  };
  for (Case const& testCase : {Case{4, 3, 3, true}, Case{4, 2, 2, false}, Case{6, 4, 3, true}, Case{6, 3, 3, false},
                               Case{4, 3, 4, false}, Case{10, 7, 5, true}, Case{10, 6, 5, false}}) {
    DispatcherHarness harness;
    std::vector<std::string> services;
    for (std::size_t shard = 0; shard < testCase.shards; ++shard) {
      services.push_back("s" + std::to_string(shard));
      harness.listServers(services.back(), 1);
    }
    harness.step(
        RequestArrived{1, "t", services, testCase.minimum, 1, true, harness.now + Ms(400), harness.now + Ms(80), 0, 0});
    for (std::size_t shard = 0; shard < testCase.answered; ++shard) {
      harness.succeed(harness.sent[shard].attempt);
    }
    harness.advance(Ms(70));
    EXPECT_TRUE(harness.finished.empty());
    harness.advance(Ms(10));
    EXPECT_EQ(!harness.finished.empty(), testCase.isSent) << testCase.answered << " of " << testCase.shards;
    if (testCase.isSent) {
      EXPECT_EQ(harness.finished[0].outcome, RequestOutcome::partial);
      EXPECT_EQ(harness.finished[0].missing.size(), testCase.shards - testCase.answered);
    }
  }
}

/// How servers answer, by address; by default well and within 6 to 9 ms.
struct ServerBehavior {
  std::map<std::string, Ms> latencyMs;
  std::set<std::string> unresponsive;
  std::set<std::string> failing;
  std::map<std::string, double> load;
};

/// Sends requests at random, about one in 10 ms, for `lengthMs`. Returns the number of attempts by server.
std::map<std::string, std::size_t> runLoad(LoadSimulation& simulation, ServerBehavior const& behavior, Ms lengthMs,
                                           std::vector<std::string> const& services, std::size_t minimum,
                                           std::uint64_t firstRequest) {
  DispatcherHarness& harness = simulation.harness;
  std::map<std::string, std::size_t> counts;
  std::multimap<TimePoint, SendAttempt>& due = simulation.due;
  std::size_t& processed = simulation.processed;
  std::uint64_t request = firstRequest;
  for (TimePoint const end = harness.now + lengthMs; harness.now < end; harness.now += Ms(1)) {
    while (!due.empty() && due.begin()->first <= harness.now) {
      SendAttempt const send = due.begin()->second;
      due.erase(due.begin());
      bool const good = !behavior.failing.contains(send.server);
      std::map<std::string, double>::const_iterator const load = behavior.load.find(send.server);
      harness.step(AttemptFinished{send.attempt,
                                   good,
                                   good,
                                   good ? retry::Verdict::ran : retry::Verdict::mayHaveRun,
                                   load == behavior.load.end() ? std::nullopt : std::optional<double>(load->second),
                                   false,
                                   false,
                                   {}});
    }
    if (simulation.randomBelow(10) == 0) {
      simulation.arriveWithTarget(++request, services, minimum, true, Ms(80), Ms(400));
    }
    harness.step(Tick{});
    for (; processed < harness.sent.size(); ++processed) {
      SendAttempt const& send = harness.sent[processed];
      ++counts[send.server];
      std::map<std::string, Ms>::const_iterator const latency = behavior.latencyMs.find(send.server);
      if (!behavior.unresponsive.contains(send.server)) {
        due.emplace(
            harness.now + (latency == behavior.latencyMs.end() ? Ms(6 + static_cast<long>(simulation.randomBelow(4)))
                                                               : latency->second),
            send);
      }
    }
  }
  return counts;
}

TEST(Unresponsive, ServerGetsFewFurtherAttemptsOnceOneIsOverdue) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    LoadSimulation simulation(seed);
    simulation.harness.step(FleetPosition{1, 0, 3});
    simulation.listServersInZones("a", {"x", "y", "z", "w"});
    ServerBehavior behavior;
    runLoad(simulation, behavior, Ms(2000), {"a"}, 1, 1000);
    behavior.unresponsive = {"a-0"};
    std::map<std::string, std::size_t> const first = runLoad(simulation, behavior, Ms(150), {"a"}, 1, 2000);
    std::map<std::string, std::size_t> const later = runLoad(simulation, behavior, Ms(400), {"a"}, 1, 3000);
    std::size_t const attemptsAtFirst = first.contains("a-0") ? first.at("a-0") : 0;
    std::size_t const attemptsLater = later.contains("a-0") ? later.at("a-0") : 0;
    EXPECT_LE(attemptsAtFirst, 5u) << "seed " << seed;
    EXPECT_LE(attemptsLater, 3u) << "seed " << seed;
  }
}

TEST(Unresponsive, ShardIsGivenUpAtOnceAndUsedHalfASecondAfterItsReturn) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    LoadSimulation simulation(seed);
    DispatcherHarness& harness = simulation.harness;
    harness.step(FleetPosition{1, 0, 3});
    for (std::string const service : {"a", "b", "c", "d"}) {
      simulation.listServersInZones(service, {"x", "y", "z", "w"});
    }
    std::vector<std::string> const services{"a", "b", "c", "d"};
    ServerBehavior behavior;
    runLoad(simulation, behavior, Ms(2000), services, 3, 1000);
    behavior.unresponsive = {"d-0", "d-1", "d-2", "d-3"};
    runLoad(simulation, behavior, Ms(2500), services, 3, 2000);
    std::size_t partialAnswers = 0;
    for (std::uint64_t request = 9000; request < 9010; ++request) {
      std::size_t const before = harness.finished.size();
      simulation.arriveWithTarget(request, services, 3, true, Ms(80), Ms(400));
      runLoad(simulation, behavior, Ms(30), services, 3, request * 100);
      partialAnswers += std::any_of(harness.finished.begin() + static_cast<long>(before), harness.finished.end(),
                                    [&](FinishRequest const& finish) {
                                      return finish.request == request && finish.outcome == RequestOutcome::partial;
                                    })
                            ? 1
                            : 0;
    }
    EXPECT_GE(partialAnswers, 8u) << "seed " << seed;
    runLoad(simulation, behavior, Ms(1500), services, 3, 10'000);
    behavior.unresponsive.clear();
    runLoad(simulation, behavior, Ms(500), services, 3, 20'000);
    std::size_t const finishedBefore = harness.finished.size();
    runLoad(simulation, behavior, Ms(500), services, 3, 30'000);
    std::size_t completeAnswers = 0;
    for (std::size_t index = finishedBefore; index < harness.finished.size(); ++index) {
      completeAnswers += harness.finished[index].outcome == RequestOutcome::complete ? 1 : 0;
    }
    EXPECT_GE(completeAnswers * 10, (harness.finished.size() - finishedBefore) * 9) << "seed " << seed;
  }
}

TEST(ServerSelection, SlowerServersGetFewerAttempts) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    std::vector<std::size_t> attempts;
    for (long const slowdownTimesTwo : {2L, 8L, 17L}) {
      LoadSimulation simulation(seed);
      simulation.harness.step(FleetPosition{1, 0, 3});
      simulation.listServersInZones("a", {"x", "y", "z", "w"});
      ServerBehavior behavior;
      runLoad(simulation, behavior, Ms(1000), {"a"}, 1, 1000);
      behavior.latencyMs["a-0"] = Ms(8 * slowdownTimesTwo / 2);
      attempts.push_back(runLoad(simulation, behavior, Ms(8000), {"a"}, 1, 2000)["a-0"]);
    }
    EXPECT_LT(attempts[1] * 2, attempts[0]) << "seed " << seed;
    EXPECT_LE(attempts[2], attempts[1]) << "seed " << seed;
    EXPECT_GT(attempts[2], 0u) << "seed " << seed;
  }
}

TEST(Ejection, FailingServersAreEjectedOnlyWhileEnoughOthersServe) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    for (std::size_t count = 1; count <= 4; ++count) {
      LoadSimulation simulation(seed);
      simulation.harness.step(FleetPosition{1, 0, 3});
      simulation.listServersInZones("a", {"x", "y", "z", "w"});
      ServerBehavior behavior;
      runLoad(simulation, behavior, Ms(1000), {"a"}, 1, 1000);
      for (std::size_t number = 0; number < count; ++number) {
        behavior.failing.insert("a-" + std::to_string(number));
      }
      runLoad(simulation, behavior, Ms(200), {"a"}, 1, 2000);
      std::map<std::string, std::size_t> const attempts = runLoad(simulation, behavior, Ms(4000), {"a"}, 1, 3000);
      std::size_t ejected = 0;
      for (ServerStatus const& server : simulation.harness.dispatcher.servers(simulation.harness.now)) {
        ejected += server.ejected ? 1 : 0;
      }
      EXPECT_LE(ejected, 2u) << "seed " << seed << ", " << count << " failing";
      if (count == 1) {
        EXPECT_LT(attempts.contains("a-0") ? attempts.at("a-0") : 0, attempts.at("a-3") / 4) << "seed " << seed;
      }
    }
  }
}

TEST(ZonePreference, OwnZoneIsPreferredUnlessItsServerIsLoadedOrSlow) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    LoadSimulation simulation(seed);
    simulation.harness.step(FleetPosition{1, 0, 3, 0.2, "x"});
    simulation.listServersInZones("a", {"x", "y", "z", "w"});
    ServerBehavior behavior;
    for (int number = 0; number < 4; ++number) {
      behavior.load["a-" + std::to_string(number)] = 0.4;
    }
    std::function<double(ServerBehavior const&, std::uint64_t)> const share = [&](ServerBehavior const& current,
                                                                                  std::uint64_t first) {
      runLoad(simulation, current, Ms(1000), {"a"}, 1, first);
      std::map<std::string, std::size_t> counts = runLoad(simulation, current, Ms(4000), {"a"}, 1, first + 5000);
      double const all = static_cast<double>(counts["a-0"] + counts["a-1"] + counts["a-2"] + counts["a-3"]);
      return static_cast<double>(counts["a-0"]) / all;
    };
    EXPECT_GT(share(behavior, 10'000), 0.75) << "seed " << seed;
    ServerBehavior loaded = behavior;
    loaded.load["a-0"] = 3;
    EXPECT_LT(share(loaded, 20'000), 0.35) << "seed " << seed;
    ServerBehavior slow = behavior;
    slow.latencyMs["a-0"] = Ms(45);
    EXPECT_LT(share(slow, 30'000), 0.3) << "seed " << seed;
    EXPECT_GT(share(behavior, 40'000), 0.6) << "seed " << seed;
  }
}

TEST(ShardResult, WrongStampOrMalformedAnswerIsRejected) {
  ShardStamp const stamp{"a", "c1", "r1"};
  std::string const right = R"({"stamp":{"shard":"a","cut":"c1","request":"r1"},"records":["b","c","a"]})";
  absl::StatusOr<ShardResult> const part = parseShardResult(right, stamp, 2);
  ASSERT_TRUE(part.ok());
  EXPECT_EQ(part->records, (std::vector<std::string>{"c", "b"}));
  for (char const* const wrong :
       {R"({"stamp":{"shard":"b","cut":"c1","request":"r1"},"records":[]})",
        R"({"stamp":{"shard":"a","cut":"c2","request":"r1"},"records":[]})",
        R"({"stamp":{"shard":"a","cut":"c1","request":"r2"},"records":[]})",
        R"({"stamp":{"shard":"a","cut":"c1"},"records":[]})", R"({"records":[]})",
        R"({"stamp":{"shard":"a","cut":"c1","request":"r1"}})",
        R"({"stamp":{"shard":"a","cut":"c1","request":"r1"},"records":[1]})", R"({"stamp":{"shard":"a","cut")", "",
        "[]", R"({"stamp":{"shard":"a","cut":"c1","request":"r1"},"records":["b"]}x)"}) {
    EXPECT_FALSE(parseShardResult(wrong, stamp, 2).ok()) << wrong;
  }
}

TEST(Merge, KeepsTheGreatestRecordsInDescendingByteOrder) {
  ShardResultPtr const first = std::make_shared<ShardResult const>(ShardResult{{}, {"z", "b"}});
  ShardResultPtr const second = std::make_shared<ShardResult const>(ShardResult{{}, {"\xff", "ba", "a"}});
  EXPECT_EQ(mergeShardResults({first, second}, 4), (std::vector<std::string>{"\xff", "z", "ba", "b"}));
  EXPECT_EQ(mergeShardResults({first, second}, 1), (std::vector<std::string>{"\xff"}));
  EXPECT_TRUE(mergeShardResults({}, 3).empty());
}

}  // namespace
