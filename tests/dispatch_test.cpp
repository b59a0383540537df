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

struct Bench {
  explicit Bench(DispatchOptions const& options = {}) : dispatcher(options) {}

  Dispatcher dispatcher;
  TimePoint now = start;
  std::vector<SendAttempt> sent;
  std::vector<std::uint64_t> cancelled;
  std::vector<AcceptShardResult> kept;
  std::vector<FinishRequest> finished;

  void step(DispatchEvent const& event) {
    for (DispatchEffect const& effect : dispatcher.step(now, event)) {
      if (SendAttempt const* const send = std::get_if<SendAttempt>(&effect)) {
        sent.push_back(*send);
      } else if (CancelAttempt const* const cancel = std::get_if<CancelAttempt>(&effect)) {
        cancelled.push_back(cancel->attempt);
      } else if (AcceptShardResult const* const keep = std::get_if<AcceptShardResult>(&effect)) {
        kept.push_back(*keep);
      } else if (FinishRequest const* const finish = std::get_if<FinishRequest>(&effect)) {
        finished.push_back(*finish);
      }
    }
  }
  void servers(std::string const& service, std::size_t count) {
    ServersUpdated event{service, {}};
    for (std::size_t index = 0; index < count; ++index) {
      ServerEndpoint row;
      row.address = service + "-" + std::to_string(index);
      event.rows.push_back(row);
    }
    step(event);
  }
  void place(double depth) { step(FleetPosition{1, 0, depth}); }
  void arrive(std::uint64_t request, std::vector<std::string> services, std::size_t minimum, std::size_t most,
              bool idempotent, Ms deadlineMs, std::string const& tenant = "t") {
    step(RequestArrived{request, tenant, std::move(services), minimum, most, idempotent, now + deadlineMs});
  }
  void good(std::uint64_t attempt) { step(AttemptFinished{attempt, true, true, retry::Verdict::ran, {}}); }
  void bad(std::uint64_t attempt, retry::Verdict verdict) { step(AttemptFinished{attempt, false, false, verdict, {}}); }
  void pass(Ms passedMs) {
    for (Ms done{0}; done < passedMs; done += Ms(5)) {
      now += Ms(5);
      step(Tick{});
    }
  }
  void warm(std::string const& service, double depth) {
    place(depth);
    for (std::uint64_t request = 1000; request < 1400; ++request) {
      arrive(request, {service}, 1, 1, true, Ms(500));
      now += Ms(10);
      good(sent.back().attempt);
    }
    sent.clear();
    kept.clear();
    finished.clear();
  }
};

TEST(Queue, AnIdleServerTakesTheNextQueryOfItsOwnShardOnly) {
  DispatchOptions options;
  options.concurrency.maxPerServer = 1;
  Bench bench(options);
  bench.servers("a", 1);
  bench.servers("b", 1);
  bench.arrive(1, {"a", "b"}, 2, 1, true, Ms(500));
  bench.arrive(2, {"a", "b"}, 2, 1, true, Ms(500));
  ASSERT_EQ(bench.sent.size(), 2u);
  bench.good(bench.sent[0].attempt);
  ASSERT_EQ(bench.sent.size(), 3u);
  EXPECT_EQ(bench.sent[2].server, "a-0");
  EXPECT_EQ(bench.sent[2].request, 2u);
  bench.good(bench.sent[2].attempt);
  EXPECT_EQ(bench.sent.size(), 3u);
  bench.good(bench.sent[1].attempt);
  ASSERT_EQ(bench.sent.size(), 4u);
  EXPECT_EQ(bench.sent[3].server, "b-0");
}

TEST(Rerun, OnlyWhenNothingWaitsAndOnlyWithinTheBudget) {
  for (double const depth : {0.0, 5.0}) {
    Bench bench;
    bench.servers("a", 2);
    bench.warm("a", depth);
    bench.arrive(1, {"a"}, 1, 2, true, Ms(500));
    bench.pass(Ms(200));
    EXPECT_EQ(bench.sent.size(), depth > 0 ? 2u : 1u);
    if (depth > 0) {
      EXPECT_TRUE(bench.sent[1].hedged);
      EXPECT_NE(bench.sent[0].server, bench.sent[1].server);
    }
  }
}

TEST(Rerun, AWaitingQueryGoesBeforeAStraggler) {
  DispatchOptions options;
  options.concurrency.maxPerServer = 1;
  Bench bench(options);
  bench.servers("a", 2);
  bench.warm("a", 5);
  bench.arrive(1, {"a"}, 1, 2, true, Ms(500));
  bench.arrive(2, {"a"}, 1, 2, true, Ms(500));
  bench.arrive(3, {"a"}, 1, 2, true, Ms(500));
  bench.pass(Ms(100));
  ASSERT_EQ(bench.sent.size(), 2u);
  bench.good(bench.sent[1].attempt);
  ASSERT_EQ(bench.sent.size(), 3u);
  EXPECT_EQ(bench.sent[2].request, 3u);
  EXPECT_FALSE(bench.sent[2].hedged);
}

TEST(Rerun, AForwardThatIsNotRepeatableIsNeverSentTwiceUnlessItDidNotRun) {
  for (retry::Verdict const verdict : {retry::Verdict::notRun, retry::Verdict::mayHaveRun}) {
    Bench bench;
    bench.servers("a", 3);
    bench.warm("a", 5);
    bench.arrive(1, {"a"}, 1, 3, false, Ms(500));
    bench.pass(Ms(100));
    ASSERT_EQ(bench.sent.size(), 1u);
    bench.bad(bench.sent[0].attempt, verdict);
    if (verdict == retry::Verdict::notRun) {
      EXPECT_EQ(bench.sent.size(), 2u);
      EXPECT_TRUE(bench.finished.empty());
    } else {
      EXPECT_EQ(bench.sent.size(), 1u);
      ASSERT_EQ(bench.finished.size(), 1u);
      EXPECT_EQ(bench.finished[0].verdict, retry::Verdict::mayHaveRun);
    }
  }
}

TEST(Orders, AnswersOfBothAttemptsInEveryOrderGiveOnePartForEachShard) {
  std::vector<int> moves{0, 1, 2, 3};
  std::size_t tried = 0;
  do {
    Bench bench;
    bench.servers("a", 2);
    bench.servers("b", 2);
    bench.warm("a", 5);
    bench.warm("b", 5);
    bench.arrive(1, {"a", "b"}, 2, 2, true, Ms(500));
    bench.pass(Ms(100));
    ASSERT_EQ(bench.sent.size(), 4u);
    for (int const move : moves) {
      bench.good(bench.sent[static_cast<std::size_t>(move)].attempt);
    }
    ASSERT_EQ(bench.finished.size(), 1u);
    EXPECT_EQ(bench.finished[0].outcome, RequestOutcome::complete);
    std::set<std::size_t> legs;
    for (AcceptShardResult const& keep : bench.kept) {
      EXPECT_TRUE(legs.insert(keep.shard).second);
    }
    EXPECT_EQ(legs.size(), 2u);
    EXPECT_EQ(bench.cancelled.size(), 2u);
    EXPECT_EQ(bench.dispatcher.requests(), 0u);
    ++tried;
  } while (std::next_permutation(moves.begin(), moves.end()));
  EXPECT_EQ(tried, 24u);
}

TEST(RequestOutcome, AShardWithNoServerLeftIsLeftOutAtOnce) {
  Bench bench;
  bench.servers("a", 1);
  bench.servers("b", 1);
  bench.arrive(1, {"a", "b"}, 1, 2, true, Ms(500));
  bench.bad(bench.sent[0].attempt, retry::Verdict::mayHaveRun);
  EXPECT_TRUE(bench.finished.empty());
  bench.good(bench.sent[1].attempt);
  ASSERT_EQ(bench.finished.size(), 1u);
  EXPECT_EQ(bench.finished[0].outcome, RequestOutcome::partial);
  EXPECT_EQ(bench.finished[0].missing, std::vector<std::size_t>{0});
}

TEST(RequestOutcome, TooFewShardsFailAtOnceAndNotAtTheDeadline) {
  Bench bench;
  bench.servers("a", 1);
  bench.servers("b", 1);
  bench.arrive(1, {"a", "b"}, 2, 1, true, Ms(5000));
  bench.bad(bench.sent[0].attempt, retry::Verdict::mayHaveRun);
  ASSERT_EQ(bench.finished.size(), 1u);
  EXPECT_EQ(bench.finished[0].outcome, RequestOutcome::failed);
  EXPECT_EQ(bench.finished[0].verdict, retry::Verdict::mayHaveRun);
  EXPECT_EQ(bench.cancelled, std::vector<std::uint64_t>{bench.sent[1].attempt});
}

TEST(RequestOutcome, AtTheDeadlineWithTooFewShardsItIsAFailureWhateverMightStillCome) {
  Bench bench;
  for (std::string const name : {"a", "b", "c"}) {
    bench.servers(name, 1);
  }
  bench.arrive(1, {"a", "b", "c"}, 2, 1, true, Ms(300));
  bench.good(bench.sent[0].attempt);
  bench.pass(Ms(295));
  ASSERT_EQ(bench.finished.size(), 1u);
  EXPECT_EQ(bench.finished[0].outcome, RequestOutcome::failed);
  EXPECT_EQ(bench.finished[0].missing, (std::vector<std::size_t>{1, 2}));
}

TEST(RequestOutcome, BeforeTheDeadlineWithTheMinimumItAnswersWithoutTheSlowShard) {
  Bench bench;
  bench.servers("a", 1);
  bench.servers("b", 1);
  bench.arrive(1, {"a", "b"}, 1, 1, true, Ms(300));
  bench.good(bench.sent[0].attempt);
  bench.pass(Ms(295));
  ASSERT_EQ(bench.finished.size(), 1u);
  EXPECT_EQ(bench.finished[0].outcome, RequestOutcome::partial);
  bench.good(bench.sent[1].attempt);
  EXPECT_EQ(bench.kept.size(), 1u);
}

TEST(Refusal, IsSaidOnlyWhenNoByteWentOut) {
  DispatchOptions options;
  options.queue.maxWaitingPerTenant = 2;
  options.concurrency.maxPerServer = 1;
  Bench bench(options);
  bench.servers("a", 1);
  for (std::uint64_t request = 1; request <= 4; ++request) {
    bench.arrive(request, {"a"}, 1, 1, false, Ms(500));
  }
  ASSERT_EQ(bench.finished.size(), 1u);
  EXPECT_EQ(bench.finished[0].outcome, RequestOutcome::refused);
  EXPECT_TRUE(bench.finished[0].retryAfter.has_value());
  bench.pass(Ms(500));
  ASSERT_EQ(bench.finished.size(), 4u);
  std::set<std::uint64_t> touched;
  for (SendAttempt const& send : bench.sent) {
    touched.insert(send.request);
  }
  for (FinishRequest const& finish : bench.finished) {
    EXPECT_EQ(finish.verdict == retry::Verdict::notRun, !touched.contains(finish.request));
  }
}

TEST(Fairness, AFloodingTenantDoesNotStarveAnother) {
  DispatchOptions options;
  options.concurrency.maxPerServer = 1;
  Bench bench(options);
  bench.servers("a", 1);
  for (std::uint64_t request = 1; request <= 100; ++request) {
    bench.arrive(request, {"a"}, 1, 1, true, Ms(5000), "flood");
  }
  bench.arrive(200, {"a"}, 1, 1, true, Ms(5000), "calm");
  bench.good(bench.sent[0].attempt);
  bench.good(bench.sent[1].attempt);
  EXPECT_TRUE(bench.sent[1].request == 200 || bench.sent[2].request == 200);
}

TEST(Down, ABriefPauseDoesNotMarkButARefusingServerIsLeftAloneAndComesBack) {
  Bench bench;
  bench.servers("a", 2);
  bench.warm("a", 5);
  bench.arrive(1, {"a"}, 1, 2, true, Ms(500));
  bench.pass(Ms(100));
  bench.good(bench.sent[1].attempt);
  for (ServerStatus const& server : bench.dispatcher.servers(bench.now)) {
    EXPECT_FALSE(server.ejected);
  }
  bench.pass(Ms(2000));
  std::size_t refused = 0;
  for (std::uint64_t request = 10; request < 40; ++request) {
    bench.arrive(request, {"a"}, 1, 2, true, Ms(500));
    while (bench.dispatcher.requests() > 0) {
      SendAttempt const last = bench.sent.back();
      if (last.server == "a-1") {
        ++refused;
        bench.bad(last.attempt, retry::Verdict::notRun);
      } else {
        bench.good(last.attempt);
      }
    }
  }
  EXPECT_EQ(refused, 2u);
  bench.pass(Ms(600));
  for (std::uint64_t request = 50; request < 60; ++request) {
    bench.arrive(request, {"a"}, 1, 2, true, Ms(500));
    bench.good(bench.sent.back().attempt);
  }
  for (ServerStatus const& server : bench.dispatcher.servers(bench.now)) {
    EXPECT_FALSE(server.ejected) << server.address;
  }
}

TEST(Restarted, AServerThatRefusedOnceAndAnswersAgainIsFresh) {
  for (bool const refusedOnce : {false, true}) {
    Bench bench;
    ServerEndpoint row;
    row.address = "a0";
    row.slowStartMs = Ms(4000);
    row.ageMs = Ms(60'000);
    bench.step(ServersUpdated{"a", {row}});
    bench.arrive(1, {"a"}, 1, 2, true, Ms(500));
    if (refusedOnce) {
      bench.bad(bench.sent.back().attempt, retry::Verdict::notRun);
    } else {
      bench.good(bench.sent.back().attempt);
    }
    bench.now += Ms(300);
    bench.arrive(2, {"a"}, 1, 2, true, Ms(500));
    bench.good(bench.sent.back().attempt);
    EXPECT_EQ(bench.dispatcher.servers(bench.now).front().warmingUp, refusedOnce);
  }
}

ServerEndpoint rowOf(std::string const& address, std::string const& incarnation = "") {
  ServerEndpoint row;
  row.address = address;
  row.incarnation = incarnation;
  return row;
}

AttemptFinished refusedBy(std::uint64_t attempt, bool full, bool staleIncarnation) {
  AttemptFinished returned;
  returned.attempt = attempt;
  returned.verdict = retry::Verdict::notRun;
  returned.overCapacity = full;
  returned.staleIncarnation = staleIncarnation;
  return returned;
}

TEST(Life, AnotherLifeAtTheSameAddressIsAnotherServerWithoutMarks) {
  Bench bench;
  bench.step(ServersUpdated{"a", {rowOf("s", "l1"), rowOf("t", "l9")}});
  for (std::uint64_t request = 1; request <= 4; ++request) {
    bench.arrive(request, {"a"}, 1, 2, true, Ms(500));
    while (bench.dispatcher.requests() > 0) {
      SendAttempt const last = bench.sent.back();
      EXPECT_EQ(last.incarnation, last.server == "s" ? "l1" : "l9");
      if (last.server == "s") {
        bench.bad(last.attempt, retry::Verdict::notRun);
      } else {
        bench.good(last.attempt);
      }
    }
  }
  std::vector<ServerStatus> before = bench.dispatcher.servers(bench.now);
  EXPECT_TRUE(before[0].ejected);
  bench.arrive(5, {"a"}, 1, 1, true, Ms(500));
  std::uint64_t const old = bench.sent.back().attempt;
  bench.step(ServersUpdated{"a", {rowOf("s", "l2")}});
  EXPECT_FALSE(bench.dispatcher.servers(bench.now)[0].ejected);
  EXPECT_EQ(bench.dispatcher.servers(bench.now)[0].inFlight, 0u);
  bench.arrive(6, {"a"}, 1, 1, true, Ms(500));
  EXPECT_EQ(bench.sent.back().incarnation, "l2");
  bench.good(old);
  EXPECT_EQ(bench.dispatcher.servers(bench.now)[0].inFlight, 1u);
  EXPECT_EQ(bench.dispatcher.requests(), 1u);
}

TEST(Life, AServerThatIsAnotherOneTakesNoMoreWorkUntilTheListShowsItsNewLife) {
  for (bool const idempotent : {true, false}) {
    Bench bench;
    bench.step(ServersUpdated{"a", {rowOf("s", "l1"), rowOf("t", "l2")}});
    bench.warm("a", 5);
    bench.arrive(1, {"a"}, 1, 2, idempotent, Ms(500));
    std::string const gone = bench.sent[0].server;
    bench.step(refusedBy(bench.sent[0].attempt, false, true));
    ASSERT_EQ(bench.sent.size(), 2u);
    EXPECT_NE(bench.sent[1].server, gone);
    bench.good(bench.sent[1].attempt);
    for (int round = 0; round < 200; ++round) {
      bench.now += Ms(100);
      bench.step(ServersUpdated{"a", {rowOf("s", "l1"), rowOf("t", "l2")}});
      bench.arrive(10 + static_cast<std::uint64_t>(round), {"a"}, 1, 2, true, Ms(500));
      EXPECT_NE(bench.sent.back().server, gone);
      bench.good(bench.sent.back().attempt);
    }
    bench.step(ServersUpdated{"a", {rowOf("s", gone == "s" ? "l3" : "l1"), rowOf("t", gone == "t" ? "l3" : "l2")}});
    bool used = false;
    for (int round = 0; round < 20; ++round) {
      bench.arrive(1000 + static_cast<std::uint64_t>(round), {"a"}, 1, 2, true, Ms(500));
      used = used || bench.sent.back().server == gone;
      bench.good(bench.sent.back().attempt);
    }
    EXPECT_TRUE(used);
  }
}

TEST(Retry, WhatAServerRefusedUnrunGoesToAnotherOneIfAttemptsAndBudgetAllow) {
  for (bool const idempotent : {true, false}) {
    for (std::size_t const most : {1u, 2u}) {
      for (double const depth : {0.0, 5.0}) {
        Bench bench;
        bench.servers("a", 3);
        bench.warm("a", depth);
        bench.arrive(1, {"a"}, 1, most, idempotent, Ms(500));
        bench.step(refusedBy(bench.sent[0].attempt, true, false));
        if (most == 2 && depth > 0) {
          ASSERT_EQ(bench.sent.size(), 2u);
          EXPECT_NE(bench.sent[0].server, bench.sent[1].server);
          EXPECT_TRUE(bench.finished.empty());
          bench.step(refusedBy(bench.sent[1].attempt, true, false));
          EXPECT_EQ(bench.sent.size(), 2u);
        }
        ASSERT_EQ(bench.finished.size(), 1u);
        EXPECT_EQ(bench.finished[0].outcome, RequestOutcome::refused);
        EXPECT_EQ(bench.finished[0].verdict, retry::Verdict::notRun);
        ASSERT_TRUE(bench.finished[0].retryAfter.has_value());
        EXPECT_GE(*bench.finished[0].retryAfter, Ms(20));
        EXPECT_LE(*bench.finished[0].retryAfter, Ms(300));
      }
    }
  }
}

TEST(Retry, AServerNotReachedCostsNeitherBudgetNorAttemptsButTriesAreBounded) {
  for (bool const idempotent : {true, false}) {
    Bench bench;
    bench.place(0);
    bench.servers("a", 9);
    bench.arrive(1, {"a"}, 1, 1, idempotent, Ms(500));
    bench.bad(bench.sent[0].attempt, retry::Verdict::notRun);
    ASSERT_EQ(bench.sent.size(), 2u);
    bench.good(bench.sent[1].attempt);
    EXPECT_EQ(bench.finished.back().outcome, RequestOutcome::complete);
    bench.arrive(2, {"a"}, 1, 1, idempotent, Ms(500));
    while (bench.dispatcher.requests() > 0) {
      bench.bad(bench.sent.back().attempt, retry::Verdict::notRun);
    }
    EXPECT_EQ(bench.finished.back().outcome, RequestOutcome::refused);
    EXPECT_EQ(bench.sent.size(), 2u + retry::AttemptLog::maxUnreached + 1);
  }
}

TEST(Cold, IsTheLastResortWhenItBearsNothingAndTakesItsShareOtherwise) {
  for (double const perSecond : {0.0, 20.0}) {
    Bench bench;
    ServerEndpoint cold = rowOf("cold", "l1");
    cold.warmupMs = Ms(20'000);
    cold.warmupPerSecond = perSecond;
    bench.step(ServersUpdated{"a", {cold, rowOf("warm", "l2")}});
    bench.pass(Ms(4000));
    std::size_t atCold = 0;
    for (std::uint64_t request = 1; request <= 400; ++request) {
      bench.arrive(request, {"a"}, 1, 1, true, Ms(500));
      bench.arrive(1000 + request, {"a"}, 1, 1, true, Ms(500));
      bench.arrive(2000 + request, {"a"}, 1, 1, true, Ms(500));
      for (std::size_t index = 3 * (request - 1); index < bench.sent.size(); ++index) {
        atCold += bench.sent[index].server == "cold" ? 1 : 0;
        bench.good(bench.sent[index].attempt);
      }
      bench.now += Ms(10);
    }
    EXPECT_EQ(atCold > 0, perSecond > 0);
    ServerEndpoint draining = rowOf("warm", "l2");
    draining.draining = true;
    bench.step(ServersUpdated{"a", {cold, draining}});
    bench.arrive(9000, {"a"}, 1, 1, true, Ms(500));
    bench.pass(Ms(500));
    EXPECT_EQ(bench.sent.back().server, "cold");
  }
}

TEST(Cold, AnAnswerMayTellItAtAnyMoment) {
  Bench bench;
  bench.servers("a", 2);
  bench.pass(Ms(4000));
  bench.arrive(1, {"a"}, 1, 1, true, Ms(500));
  std::string const cold = bench.sent.back().server;
  AttemptFinished returned{bench.sent.back().attempt, true, true, retry::Verdict::ran, {}};
  returned.warmupMs = Ms(1000);
  bench.step(returned);
  for (std::uint64_t request = 2; request <= 90; ++request) {
    bench.arrive(request, {"a"}, 1, 1, true, Ms(500));
    EXPECT_NE(bench.sent.back().server, cold) << request;
    bench.good(bench.sent.back().attempt);
    bench.now += Ms(10);
  }
  bool again = false;
  for (std::uint64_t request = 100; request <= 140; ++request) {
    bench.arrive(request, {"a"}, 1, 1, true, Ms(500));
    again = again || bench.sent.back().server == cold;
    bench.good(bench.sent.back().attempt);
    bench.now += Ms(10);
  }
  EXPECT_TRUE(again);
}

TEST(Leaving, GetsNoNewWorkAndFinishesWhatItHas) {
  Bench bench;
  bench.servers("a", 1);
  bench.arrive(1, {"a"}, 1, 1, true, Ms(500));
  ServersUpdated draining{"a", {}};
  ServerEndpoint row;
  row.address = "a-0";
  row.draining = true;
  draining.rows.push_back(row);
  bench.step(draining);
  bench.arrive(2, {"a"}, 1, 1, true, Ms(500));
  EXPECT_EQ(bench.sent.size(), 1u);
  ASSERT_EQ(bench.finished.size(), 1u);
  EXPECT_EQ(bench.finished[0].verdict, retry::Verdict::notRun);
  bench.good(bench.sent[0].attempt);
  EXPECT_EQ(bench.finished.size(), 2u);
}

TEST(Budget, OverEveryStretchOfTimeExtrasStayBelowAFifthPlusTheDepth) {
  double highest = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    std::mt19937_64 random(seed);
    Bench bench;
    bench.servers("a", 4);
    bench.place(6);
    std::vector<std::pair<TimePoint, bool>> arrivals;
    std::vector<std::uint64_t> openAttempts;
    std::size_t seen = 0;
    for (std::uint64_t request = 1; request <= 1500; ++request) {
      bench.now += Ms(static_cast<long>(random() % (request / 500 == 1 ? 80 : 10)));
      bench.arrive(request, {"a"}, 1, 4, true, Ms(300));
      bench.step(Tick{});
      for (; seen < bench.sent.size(); ++seen) {
        bool const first =
            std::none_of(bench.sent.begin(), bench.sent.begin() + static_cast<long>(seen),
                         [&](SendAttempt const& send) { return send.request == bench.sent[seen].request; });
        arrivals.emplace_back(bench.now, first);
        if (request < 500 || random() % 3 != 0) {
          openAttempts.push_back(bench.sent[seen].attempt);
        }
      }
      if (!openAttempts.empty() && (request < 500 || random() % 2 == 0)) {
        std::uint64_t const attempt = openAttempts.back();
        openAttempts.pop_back();
        if (request >= 500 && random() % 4 == 0) {
          bench.bad(attempt, retry::Verdict::mayHaveRun);
        } else {
          bench.good(attempt);
        }
      }
    }
    double above = 0;
    double most = 0;
    for (std::pair<TimePoint, bool> const& arrival : arrivals) {
      above = std::max(0.0, above + (arrival.second ? -0.2 : 1.0));
      most = std::max(most, above);
    }
    EXPECT_LE(most, 6.0 + 1e-6) << "seed " << seed;
    highest = std::max(highest, most);
  }
  EXPECT_GT(highest, 5.0);
}

struct Rules {
  explicit Rules(std::uint64_t seedIn, DispatchOptions const& options = {}) : random(seedIn), bench(options) {}

  std::mt19937_64 random;
  Bench bench;
  std::multimap<TimePoint, SendAttempt> due;
  std::size_t known = 0;

  std::uint64_t roll(std::uint64_t sides) { return random() % sides; }
  void ask(std::uint64_t request, std::vector<std::string> services, std::size_t minimum, bool idempotent, Ms aimMs,
           Ms deadlineMs, std::size_t priority = 0) {
    bench.step(RequestArrived{request, "t", std::move(services), minimum, 3, idempotent, bench.now + deadlineMs,
                              bench.now + aimMs, priority, 0});
  }
  void rows(std::string const& service, std::vector<std::string> const& zones) {
    ServersUpdated event{service, {}};
    for (std::size_t number = 0; number < zones.size(); ++number) {
      ServerEndpoint row;
      row.address = service + "-" + std::to_string(number);
      row.zone = zones[number];
      event.rows.push_back(row);
    }
    bench.step(event);
  }
};

TEST(NotRepeatable, IsSentOnceUnlessProvedNotRunAndNeverCancelledBeforeItsDeadline) {
  std::size_t resent = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Rules rules(seed);
    Bench& bench = rules.bench;
    bench.servers("a", 2 + rules.roll(4));
    bench.warm("a", 5);
    std::map<std::uint64_t, TimePoint> deadlines;
    std::map<std::uint64_t, SendAttempt> open;
    std::set<std::uint64_t> mayHaveRun;
    std::set<std::uint64_t> sentOnce;
    std::size_t known = 0;
    std::size_t cancelledKnown = 0;
    std::map<std::uint64_t, std::uint64_t> requestOf;
    for (int turn = 0; turn < 120; ++turn) {
      if (rules.roll(3) == 0) {
        std::uint64_t const request = 10'000 + static_cast<std::uint64_t>(turn);
        Ms const deadlineMs(100 + static_cast<long>(rules.roll(900)));
        deadlines[request] = bench.now + deadlineMs;
        rules.ask(request, {"a"}, 1, false, deadlineMs / 4, deadlineMs);
      }
      if (!open.empty() && rules.roll(2) == 0) {
        std::map<std::uint64_t, SendAttempt>::iterator at = open.begin();
        std::advance(at, static_cast<long>(rules.roll(open.size())));
        SendAttempt const send = at->second;
        open.erase(at);
        std::uint64_t const fate = rules.roll(4);
        if (fate == 0) {
          bench.bad(send.attempt, retry::Verdict::notRun);
        } else if (fate == 1) {
          mayHaveRun.insert(send.request);
          bench.bad(send.attempt, retry::Verdict::mayHaveRun);
        } else {
          mayHaveRun.insert(send.request);
          bench.good(send.attempt);
        }
      }
      bench.pass(Ms(5 * static_cast<long>(1 + rules.roll(4))));
      for (; known < bench.sent.size(); ++known) {
        SendAttempt const& send = bench.sent[known];
        EXPECT_FALSE(mayHaveRun.contains(send.request)) << "seed " << seed;
        EXPECT_FALSE(send.hedged) << "seed " << seed;
        for (std::pair<std::uint64_t const, SendAttempt> const& other : open) {
          EXPECT_NE(other.second.request, send.request) << "seed " << seed;
        }
        resent += sentOnce.insert(send.request).second ? 0 : 1;
        requestOf[send.attempt] = send.request;
        open[send.attempt] = send;
      }
      for (; cancelledKnown < bench.cancelled.size(); ++cancelledKnown) {
        std::uint64_t const attempt = bench.cancelled[cancelledKnown];
        EXPECT_GE(bench.now, deadlines[requestOf[attempt]] - Ms(31)) << "seed " << seed;
        open.erase(attempt);
      }
    }
  }
  std::printf("seeds 1 to 200: %zu sent again after a proof\n", resent);
  EXPECT_GT(resent, 100u);
}

TEST(Refusal, ComesEarlyForWhatCannotBeInTimeLowestRankFirstAndSaysWhenToReturn) {
  DispatchOptions options;
  options.concurrency.maxPerServer = 1;
  options.queue.maxWaitingPerTenant = 4;
  Rules rules(1, options);
  Bench& bench = rules.bench;
  bench.servers("a", 1);
  bench.warm("a", 0);
  rules.ask(1, {"a"}, 1, true, Ms(80), Ms(400), 0);
  for (std::uint64_t request = 2; request <= 5; ++request) {
    rules.ask(request, {"a"}, 1, true, Ms(80), Ms(400), 2);
  }
  EXPECT_TRUE(bench.finished.empty());
  rules.ask(6, {"a"}, 1, true, Ms(80), Ms(400), 0);
  ASSERT_EQ(bench.finished.size(), 1u);
  EXPECT_EQ(bench.finished[0].request, 5u);
  rules.ask(7, {"a"}, 1, true, Ms(80), Ms(400), 2);
  ASSERT_EQ(bench.finished.size(), 2u);
  EXPECT_EQ(bench.finished[1].request, 7u);
  bench.pass(Ms(25));
  EXPECT_GT(bench.finished.size(), 2u);
  for (FinishRequest const& finish : bench.finished) {
    EXPECT_EQ(finish.outcome, RequestOutcome::refused);
    EXPECT_EQ(finish.verdict, retry::Verdict::notRun);
    ASSERT_TRUE(finish.retryAfter.has_value());
    EXPECT_GE(*finish.retryAfter, options.backoff.minMs);
    EXPECT_LE(*finish.retryAfter, options.backoff.maxMs);
    EXPECT_NE(finish.request, 1u);
  }
}

TEST(Aim, APartialAnswerGoesOutOnlyIfItIsWorthMoreThanTheWholeLate) {
  struct Row {
    std::size_t shards;
    std::size_t in;
    std::size_t minimum;
    bool goes;
  };
  for (Row const& row : {Row{4, 3, 3, true}, Row{4, 2, 2, false}, Row{6, 4, 3, true}, Row{6, 3, 3, false},
                         Row{4, 3, 4, false}, Row{10, 7, 5, true}, Row{10, 6, 5, false}}) {
    Bench bench;
    std::vector<std::string> services;
    for (std::size_t shard = 0; shard < row.shards; ++shard) {
      services.push_back("s" + std::to_string(shard));
      bench.servers(services.back(), 1);
    }
    bench.step(RequestArrived{1, "t", services, row.minimum, 1, true, bench.now + Ms(400), bench.now + Ms(80), 0, 0});
    for (std::size_t shard = 0; shard < row.in; ++shard) {
      bench.good(bench.sent[shard].attempt);
    }
    bench.pass(Ms(70));
    EXPECT_TRUE(bench.finished.empty());
    bench.pass(Ms(10));
    EXPECT_EQ(!bench.finished.empty(), row.goes) << row.in << " of " << row.shards;
    if (row.goes) {
      EXPECT_EQ(bench.finished[0].outcome, RequestOutcome::partial);
      EXPECT_EQ(bench.finished[0].missing.size(), row.shards - row.in);
    }
  }
}

struct Answers {
  std::map<std::string, Ms> latencyMs;
  std::set<std::string> dark;
  std::set<std::string> bad;
  std::map<std::string, double> load;
};

std::map<std::string, std::size_t> serve(Rules& rules, Answers const& answers, Ms lengthMs,
                                         std::vector<std::string> const& services, std::size_t minimum,
                                         std::uint64_t firstRequest) {
  Bench& bench = rules.bench;
  std::map<std::string, std::size_t> counts;
  std::multimap<TimePoint, SendAttempt>& due = rules.due;
  std::size_t& known = rules.known;
  std::uint64_t request = firstRequest;
  for (TimePoint const end = bench.now + lengthMs; bench.now < end; bench.now += Ms(1)) {
    while (!due.empty() && due.begin()->first <= bench.now) {
      SendAttempt const send = due.begin()->second;
      due.erase(due.begin());
      bool const good = !answers.bad.contains(send.server);
      std::map<std::string, double>::const_iterator const load = answers.load.find(send.server);
      bench.step(AttemptFinished{send.attempt,
                                 good,
                                 good,
                                 good ? retry::Verdict::ran : retry::Verdict::mayHaveRun,
                                 load == answers.load.end() ? std::nullopt : std::optional<double>(load->second),
                                 false,
                                 false,
                                 {}});
    }
    if (rules.roll(10) == 0) {
      rules.ask(++request, services, minimum, true, Ms(80), Ms(400));
    }
    bench.step(Tick{});
    for (; known < bench.sent.size(); ++known) {
      SendAttempt const& send = bench.sent[known];
      ++counts[send.server];
      std::map<std::string, Ms>::const_iterator const latency = answers.latencyMs.find(send.server);
      if (!answers.dark.contains(send.server)) {
        due.emplace(bench.now + (latency == answers.latencyMs.end() ? Ms(6 + static_cast<long>(rules.roll(4)))
                                                                    : latency->second),
                    send);
      }
    }
  }
  return counts;
}

TEST(Dark, AServerGetsNoFurtherWorkAfterItsFirstOverdueAttempt) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Rules rules(seed);
    rules.bench.step(FleetPosition{1, 0, 3});
    rules.rows("a", {"x", "y", "z", "w"});
    Answers answers;
    serve(rules, answers, Ms(2000), {"a"}, 1, 1000);
    answers.dark = {"a-0"};
    std::map<std::string, std::size_t> const first = serve(rules, answers, Ms(150), {"a"}, 1, 2000);
    std::map<std::string, std::size_t> const later = serve(rules, answers, Ms(400), {"a"}, 1, 3000);
    std::size_t const early = first.contains("a-0") ? first.at("a-0") : 0;
    std::size_t const after = later.contains("a-0") ? later.at("a-0") : 0;
    EXPECT_LE(early, 5u) << "seed " << seed;
    EXPECT_LE(after, 3u) << "seed " << seed;
  }
}

TEST(Dark, AShardIsGivenUpAtOnceAndUsedWithinHalfASecondOfItsServersReturn) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Rules rules(seed);
    Bench& bench = rules.bench;
    bench.step(FleetPosition{1, 0, 3});
    for (std::string const service : {"a", "b", "c", "d"}) {
      rules.rows(service, {"x", "y", "z", "w"});
    }
    std::vector<std::string> const services{"a", "b", "c", "d"};
    Answers answers;
    serve(rules, answers, Ms(2000), services, 3, 1000);
    answers.dark = {"d-0", "d-1", "d-2", "d-3"};
    serve(rules, answers, Ms(2500), services, 3, 2000);
    std::size_t given = 0;
    for (std::uint64_t request = 9000; request < 9010; ++request) {
      std::size_t const before = bench.finished.size();
      rules.ask(request, services, 3, true, Ms(80), Ms(400));
      serve(rules, answers, Ms(30), services, 3, request * 100);
      given += std::any_of(bench.finished.begin() + static_cast<long>(before), bench.finished.end(),
                           [&](FinishRequest const& finish) {
                             return finish.request == request && finish.outcome == RequestOutcome::partial;
                           })
                   ? 1
                   : 0;
    }
    EXPECT_GE(given, 8u) << "seed " << seed;
    serve(rules, answers, Ms(1500), services, 3, 10'000);
    answers.dark.clear();
    serve(rules, answers, Ms(500), services, 3, 20'000);
    std::size_t const returned = bench.finished.size();
    serve(rules, answers, Ms(500), services, 3, 30'000);
    std::size_t whole = 0;
    for (std::size_t index = returned; index < bench.finished.size(); ++index) {
      whole += bench.finished[index].outcome == RequestOutcome::complete ? 1 : 0;
    }
    EXPECT_GE(whole * 10, (bench.finished.size() - returned) * 9) << "seed " << seed;
  }
}

TEST(Slow, AServerGetsLessTheSlowerItIs) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    std::vector<std::size_t> got;
    for (long const timesTwo : {2L, 8L, 17L}) {
      Rules rules(seed);
      rules.bench.step(FleetPosition{1, 0, 3});
      rules.rows("a", {"x", "y", "z", "w"});
      Answers answers;
      serve(rules, answers, Ms(1000), {"a"}, 1, 1000);
      answers.latencyMs["a-0"] = Ms(8 * timesTwo / 2);
      got.push_back(serve(rules, answers, Ms(8000), {"a"}, 1, 2000)["a-0"]);
    }
    EXPECT_LT(got[1] * 2, got[0]) << "seed " << seed;
    EXPECT_LE(got[2], got[1]) << "seed " << seed;
    EXPECT_GT(got[2], 0u) << "seed " << seed;
  }
}

TEST(Bad, AnswersPushAServerDownInStepsAndNeverTakeMoreOfAShardThanLeavesItServed) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    for (std::size_t count = 1; count <= 4; ++count) {
      Rules rules(seed);
      rules.bench.step(FleetPosition{1, 0, 3});
      rules.rows("a", {"x", "y", "z", "w"});
      Answers answers;
      serve(rules, answers, Ms(1000), {"a"}, 1, 1000);
      for (std::size_t number = 0; number < count; ++number) {
        answers.bad.insert("a-" + std::to_string(number));
      }
      serve(rules, answers, Ms(200), {"a"}, 1, 2000);
      std::map<std::string, std::size_t> const got = serve(rules, answers, Ms(4000), {"a"}, 1, 3000);
      std::size_t down = 0;
      for (ServerStatus const& server : rules.bench.dispatcher.servers(rules.bench.now)) {
        down += server.ejected ? 1 : 0;
      }
      EXPECT_LE(down, 2u) << "seed " << seed << ", " << count << " bad";
      if (count == 1) {
        EXPECT_LT(got.contains("a-0") ? got.at("a-0") : 0, got.at("a-3") / 4) << "seed " << seed;
      }
    }
  }
}

TEST(Zone, TheOwnOneIsPreferredAndLeftUnderLoadOrSlowness) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Rules rules(seed);
    rules.bench.step(FleetPosition{1, 0, 3, 0.2, "x"});
    rules.rows("a", {"x", "y", "z", "w"});
    Answers answers;
    for (int number = 0; number < 4; ++number) {
      answers.load["a-" + std::to_string(number)] = 0.4;
    }
    std::function<double(Answers const&, std::uint64_t)> const share = [&](Answers const& now, std::uint64_t first) {
      serve(rules, now, Ms(1000), {"a"}, 1, first);
      std::map<std::string, std::size_t> counts = serve(rules, now, Ms(4000), {"a"}, 1, first + 5000);
      double const all = static_cast<double>(counts["a-0"] + counts["a-1"] + counts["a-2"] + counts["a-3"]);
      return static_cast<double>(counts["a-0"]) / all;
    };
    EXPECT_GT(share(answers, 10'000), 0.75) << "seed " << seed;
    Answers full = answers;
    full.load["a-0"] = 3;
    EXPECT_LT(share(full, 20'000), 0.35) << "seed " << seed;
    Answers slow = answers;
    slow.latencyMs["a-0"] = Ms(45);
    EXPECT_LT(share(slow, 30'000), 0.3) << "seed " << seed;
    EXPECT_GT(share(answers, 40'000), 0.6) << "seed " << seed;
  }
}

TEST(ShardResult, OnlyTheOneAskedForIsTaken) {
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

TEST(Merge, TakesTheGreatestByteByByte) {
  ShardResultPtr const first = std::make_shared<ShardResult const>(ShardResult{{}, {"z", "b"}});
  ShardResultPtr const second = std::make_shared<ShardResult const>(ShardResult{{}, {"\xff", "ba", "a"}});
  EXPECT_EQ(mergeShardResults({first, second}, 4), (std::vector<std::string>{"\xff", "z", "ba", "b"}));
  EXPECT_EQ(mergeShardResults({first, second}, 1), (std::vector<std::string>{"\xff"}));
  EXPECT_TRUE(mergeShardResults({}, 3).empty());
}

}  // namespace
