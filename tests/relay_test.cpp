#include "limeramp/control/relay.h"
#include "limeramp/control/operator_api.h"
#include "limeramp/control/operator_protocol_adapter.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace {

using namespace limeramp;
using namespace limeramp::control;
using Ms = std::chrono::milliseconds;

/// Drives a Relay and records its effects. Checks that at most one attempt is in flight.
struct RelayHarness {
  Relay relay{RelayOptions{}, 100};
  TimePoint now{std::chrono::hours(1)};
  std::vector<RelaySend> sent;
  std::set<std::uint64_t> inFlight;
  /// Orders that have ended, and those of them that an answer of the primary decided.
  std::size_t endings = 0;
  std::size_t finalAnswers = 0;
  /// Whether any attempt so far may have run.
  bool mayHaveRun = false;
  std::optional<OrderStatus> status;

  void step(RelayEvent const& event) {
    for (RelayEffect const& effect : relay.step(now, event)) {
      if (RelaySend const* const send = std::get_if<RelaySend>(&effect)) {
        sent.push_back(*send);
        inFlight.insert(send->attempt);
        EXPECT_EQ(inFlight.size(), 1u);
      } else if (RelayCancel const* const cancel = std::get_if<RelayCancel>(&effect)) {
        mayHaveRun = inFlight.erase(cancel->attempt) == 1 || mayHaveRun;
      } else if (std::holds_alternative<RelayDone>(effect)) {
        ++endings;
        ++finalAnswers;
      } else {
        ++endings;
        status = std::get<OrderOutcome>(effect).verdict;
      }
    }
  }

  /// Ends the attempt in flight of the order with ticket 1, if there is one.
  void finishAttempt(RelayOutcome outcome) {
    if (!sent.empty() && inFlight.contains(sent.back().attempt)) {
      inFlight.erase(sent.back().attempt);
      mayHaveRun = mayHaveRun || outcome == RelayOutcome::mayHaveRun;
      step(RelayAttemptFinished{1, sent.back().attempt, outcome});
    }
  }
};

// Runs every prefix of every permutation of seven events.
TEST(Relay, EndsOnceAndReportsNotRunOnlyIfNoAttemptMayHaveRun) {
  std::size_t unknown = 0;
  std::size_t notRun = 0;
  std::size_t answered = 0;
  std::vector<int> order{0, 1, 2, 3, 4, 5, 6};
  do {
    for (std::size_t length = 0; length <= order.size(); ++length) {
      RelayHarness harness;
      harness.step(RelayRequested{1, harness.now + Ms(5000)});
      for (std::size_t place = 0; place < length; ++place) {
        switch (order[place]) {
          case 0:
            harness.step(RelayPrimary{"a"});
            break;
          case 1:
            harness.step(RelayPrimary{"b"});
            break;
          case 2:
            harness.finishAttempt(RelayOutcome::notRun);
            break;
          case 3:
            harness.finishAttempt(RelayOutcome::mayHaveRun);
            break;
          case 4:
            harness.finishAttempt(RelayOutcome::final);
            break;
          default:
            harness.now += Ms(300);
            harness.step(Tick{});
        }
      }
      std::size_t const before = harness.endings;
      harness.now += Ms(5000);
      harness.step(Tick{});
      EXPECT_EQ(harness.endings, 1u);
      if (harness.finalAnswers == 0) {
        EXPECT_EQ(before, 0u);
        EXPECT_EQ(*harness.status, harness.mayHaveRun ? OrderStatus::unknown : OrderStatus::notRun);
        (harness.mayHaveRun ? unknown : notRun) += 1;
      }
      answered += harness.finalAnswers;
    }
  } while (std::next_permutation(order.begin(), order.end()));
  EXPECT_GT(unknown, 100u);
  EXPECT_GT(notRun, 20u);
  EXPECT_GT(answered, 100u);
}

TEST(Relay, SendsToANewPrimaryAtOnceAndIgnoresTheAnswerOfTheOldOne) {
  RelayHarness harness;
  harness.step(RelayRequested{1, harness.now + Ms(5000)});
  EXPECT_TRUE(harness.sent.empty());
  harness.step(RelayPrimary{"a"});
  ASSERT_EQ(harness.sent.size(), 1u);
  harness.step(RelayPrimary{"b"});
  ASSERT_EQ(harness.sent.size(), 2u);
  EXPECT_EQ(harness.sent.back().address, "b");
  harness.step(RelayAttemptFinished{1, harness.sent.front().attempt, RelayOutcome::final});
  EXPECT_EQ(harness.endings, 0u);
  harness.step(RelayAttemptFinished{1, harness.sent.back().attempt, RelayOutcome::final});
  EXPECT_EQ(harness.finalAnswers, 1u);
}

// Guards against orders that reach the primary after their caller gave them up.
TEST(Relay, CancelsAnOrderWhoseCallerLeftAndNeverSendsItAgain) {
  for (std::size_t const attempts : {0u, 1u, 2u}) {
    for (bool const inFlight : {false, true}) {
      RelayHarness harness;
      harness.step(RelayRequested{1, harness.now + Ms(5000)});
      for (std::size_t attempt = 0; attempt < attempts; ++attempt) {
        harness.step(RelayPrimary{"a"});
        harness.now += Ms(300);
        harness.step(Tick{});
        if (!inFlight || attempt + 1 < attempts) {
          harness.finishAttempt(RelayOutcome::notRun);
        }
      }
      std::size_t const sent = harness.sent.size();
      EXPECT_EQ(sent, attempts);
      harness.step(CallerLeft{1});
      EXPECT_TRUE(harness.inFlight.empty()) << "the attempt in flight was not cancelled";
      EXPECT_EQ(harness.endings, 1u);
      EXPECT_EQ(*harness.status, inFlight && attempts > 0 ? OrderStatus::unknown : OrderStatus::notRun);
      harness.step(CallerLeft{1});
      harness.step(RelayPrimary{"b"});
      harness.now += Ms(6000);
      harness.step(Tick{});
      EXPECT_EQ(harness.sent.size(), sent);
      EXPECT_EQ(harness.endings, 1u);
    }
  }
}

TEST(Relay, EndsOrdersBeyondTheLimitAsNotRun) {
  RelayHarness harness;
  for (std::uint64_t ticket = 1; ticket <= 300; ++ticket) {
    harness.step(RelayRequested{ticket, harness.now + Ms(5000)});
  }
  EXPECT_EQ(harness.endings, 44u);
  EXPECT_EQ(*harness.status, OrderStatus::notRun);
}

TEST(OperatorRequests, MalformedBodiesAreRefusedWithThePathOfTheFault) {
  for (char const* const body : {"", "[]", "{}", R"({"nodes":[]})", R"({"nodes":["a",3]})", R"({"nodes":[""]})",
                                 R"({"nodes":["a"],"now":true})", R"({"nodes":"a"})"}) {
    std::variant<std::vector<std::string>, net::Answer> const read = readRemoveNodes(body);
    ASSERT_TRUE(std::holds_alternative<net::Answer>(read)) << body;
    EXPECT_EQ(std::get<net::Answer>(read).status, 400);
    EXPECT_NE(std::get<net::Answer>(read).body.find("\"path\""), std::string::npos);
  }
  for (char const* const body :
       {"", "{}", R"({"from":3})", R"({"from":"somewhere"})", R"({"from":"127.0.0.1:1","sure":true})"}) {
    EXPECT_TRUE(std::holds_alternative<net::Answer>(readForceNewGroup(body))) << body;
  }
  EXPECT_EQ(std::get<std::string>(readForceNewGroup(R"({"from":"127.0.0.1:1"})")), "127.0.0.1:1");
  EXPECT_EQ(std::get<std::vector<std::string>>(readRemoveNodes(R"({"nodes":["a","b"]})")).size(), 2u);
}

TEST(Probe, OnlyARefusedConnectionOrAnotherNodeProvesThatAProcessEnded) {
  net::Exchange exchange;
  EXPECT_FALSE(provesGone(exchange, "m01"));
  exchange.refused = true;
  EXPECT_TRUE(provesGone(exchange, "m01"));
  exchange = {net::Answer{503, {}, R"({"ready":false,"node":"m01"})"}, retry::Verdict::ran, ""};
  EXPECT_FALSE(provesGone(exchange, "m01"));
  EXPECT_TRUE(provesGone(exchange, "m02"));
  for (char const* const malformed : {"", "{}", "nonsense", R"({"node":3})"}) {
    exchange.answer->body = malformed;
    EXPECT_FALSE(provesGone(exchange, "m02")) << malformed;
  }
}

net::Request requestOf(std::string const& method, std::string const& target, net::Headers const& headers = {},
                       std::string const& body = "") {
  return {method, target, headers, body, ""};
}

Change changeOf(net::Request const& request) {
  return std::get<Change>(readChange(request, TimePoint(std::chrono::hours(1))));
}

TEST(OperatorRequests, DerivedChangeIdDependsOnlyOnContentAndBase) {
  std::string const path = configurationPath;
  net::Headers const baseRevisionFive{{"limeramp-base-revision", "5"}};
  std::set<std::string> ids;
  for (net::Request const& request :
       {requestOf("PUT", path, baseRevisionFive, "{}"), requestOf("PATCH", path, baseRevisionFive, "{}"),
        requestOf("PUT", path, baseRevisionFive, "{ }"),
        requestOf("PUT", path, {{"limeramp-base-revision", "6"}}, "{}"),
        requestOf("PUT", path, {{"limeramp-base", "5.1"}}, "{}")}) {
    EXPECT_EQ(changeOf(request).id, changeOf(request).id);
    EXPECT_TRUE(ids.insert(changeOf(request).id).second) << changeOf(request).id;
  }
  EXPECT_EQ(changeOf(requestOf("PUT", path, baseRevisionFive)).baseRevision, std::optional<std::uint64_t>(5));
  net::Request const withoutBase = requestOf("PUT", path, {}, "{}");
  EXPECT_EQ(changeOf(withoutBase).id, changeOf(withoutBase).id);
  EXPECT_TRUE(changeOf(withoutBase).keyedByContentOnly);
  EXPECT_TRUE(ids.insert(changeOf(withoutBase).id).second);
  EXPECT_TRUE(ids.insert(changeOf(requestOf("PUT", path, {}, "{ }")).id).second);
  EXPECT_EQ(changeOf(requestOf("PUT", path, {{"limeramp-base", "5.1"}, {"limeramp-change", "mine"}})).id, "mine");
  for (net::Request const& malformed :
       {requestOf("PATCH", path), requestOf("PUT", path, {{"limeramp-base-revision", "5x"}}),
        requestOf("PUT", path, {{"limeramp-base-revision", ""}}), requestOf("PUT", "/limeramp/zones/a b/emptied")}) {
    EXPECT_TRUE(std::holds_alternative<net::Answer>(readChange(malformed, TimePoint())));
  }
}

TEST(OperatorRequests, OnlyOrdersWithoutABaseNeedTheirCaller) {
  EXPECT_TRUE(needsCaller(requestOf("PUT", "/limeramp/zones/north-1/emptied")));
  EXPECT_TRUE(needsCaller(requestOf("DELETE", "/limeramp/zones/north-1/emptied")));
  EXPECT_TRUE(needsCaller(requestOf("POST", removeNodesPath)));
  EXPECT_TRUE(needsCaller(requestOf("POST", forceNewGroupPath)));
  for (char const* const method : {"GET", "PUT", "PATCH"}) {
    EXPECT_FALSE(needsCaller(requestOf(method, configurationPath))) << method;
  }
  EXPECT_FALSE(needsCaller(requestOf("POST", "/limeramp/inner")));
  EXPECT_FALSE(needsCaller(requestOf("GET", "/limeramp/status")));
}

TEST(OperatorRequests, ZoneOrdersNameTheZoneInThePath) {
  EXPECT_TRUE(changeOf(requestOf("PUT", "/limeramp/zones/north-1/emptied")).zone->evacuated);
  EXPECT_EQ(changeOf(requestOf("DELETE", "/limeramp/zones/north-1/emptied")).zone->zone, "north-1");
  EXPECT_FALSE(changeOf(requestOf("DELETE", "/limeramp/zones/north-1/emptied")).zone->evacuated);
  EXPECT_FALSE(changeOf(requestOf("PUT", configurationPath)).zone);
  EXPECT_EQ(operatorCallOf(requestOf("DELETE", "/limeramp/zones/north-1/emptied")), OperatorCall::change);
  EXPECT_EQ(operatorCallOf(requestOf("GET", configurationPath)), OperatorCall::read);
  for (char const* const malformed :
       {"/limeramp/zones//emptied", "/limeramp/zones/emptied", "/limeramp/zones/a", "/limeramp/zones/"}) {
    EXPECT_EQ(operatorCallOf(requestOf("PUT", malformed)), OperatorCall::none) << malformed;
  }
}

TEST(OperatorProtocolAdapter, TranslatesCallsAndAnswersAndSetsADefaultDeadline) {
  OperatorProtocolAdapter adapter;
  adapter.toNative = [](net::Request const& original) {
    return original.target == "/zones" ? std::optional(requestOf("PUT", "/limeramp/zones/a/emptied")) : std::nullopt;
  };
  adapter.fromNative = [](net::Request const& original, net::Answer nativeAnswer) {
    nativeAnswer.headers.emplace_back("to", original.target);
    nativeAnswer.status += 1;
    return nativeAnswer;
  };
  std::vector<net::Request> ran;
  std::optional<net::Answer> answer;
  OperatorHandler const serveNative = [&](net::Request request, net::Responder const& respond) {
    ran.push_back(std::move(request));
    respond({200, {}, "own"});
  };
  serveOperator(
      adapter, requestOf("GET", "/other"), [&](net::Answer got) { answer = std::move(got); }, serveNative);
  EXPECT_TRUE(ran.empty());
  EXPECT_EQ(answer->status, 404);
  serveOperator(
      adapter, requestOf("POST", "/zones"), [&](net::Answer got) { answer = std::move(got); }, serveNative);
  ASSERT_EQ(ran.size(), 1u);
  EXPECT_EQ(net::findHeader(ran[0].headers, deadlineHeader), std::optional<std::string>("900"));
  EXPECT_EQ(answer->status, 201);
  EXPECT_EQ(net::findHeader(answer->headers, "to"), std::optional<std::string>("/zones"));
  serveOperator(
      {}, requestOf("GET", "/as/is"), [&](net::Answer got) { answer = std::move(got); }, serveNative);
  EXPECT_EQ(ran.back().target, "/as/is");
}

}  // namespace
