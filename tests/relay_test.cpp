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

struct Bench {
  Relay relay{RelayOptions{}, 100};
  TimePoint now{std::chrono::hours(1)};
  std::vector<RelaySend> sent;
  std::set<std::uint64_t> open;
  std::size_t finals = 0;
  std::size_t done = 0;
  bool doubt = false;
  std::optional<OrderStatus> verdict;

  void step(RelayEvent const& event) {
    for (RelayEffect const& effect : relay.step(now, event)) {
      if (RelaySend const* const send = std::get_if<RelaySend>(&effect)) {
        sent.push_back(*send);
        open.insert(send->attempt);
        EXPECT_EQ(open.size(), 1u);
      } else if (RelayCancel const* const cancel = std::get_if<RelayCancel>(&effect)) {
        doubt = open.erase(cancel->attempt) == 1 || doubt;
      } else if (std::holds_alternative<RelayDone>(effect)) {
        ++finals;
        ++done;
      } else {
        ++finals;
        verdict = std::get<OrderOutcome>(effect).verdict;
      }
    }
  }

  void back(RelayOutcome outcome) {
    if (!sent.empty() && open.contains(sent.back().attempt)) {
      open.erase(sent.back().attempt);
      doubt = doubt || outcome == RelayOutcome::mayHaveRun;
      step(RelayAttemptFinished{1, sent.back().attempt, outcome});
    }
  }
};

TEST(Relay, InEveryOrderOneAnswerComesAndNotRunIsSaidOnlyIfSo) {
  std::size_t unknown = 0;
  std::size_t notRun = 0;
  std::size_t answered = 0;
  std::vector<int> order{0, 1, 2, 3, 4, 5, 6};
  do {
    for (std::size_t length = 0; length <= order.size(); ++length) {
      Bench bench;
      bench.step(RelayRequested{1, bench.now + Ms(5000)});
      for (std::size_t place = 0; place < length; ++place) {
        switch (order[place]) {
          case 0:
            bench.step(RelayPrimary{"a"});
            break;
          case 1:
            bench.step(RelayPrimary{"b"});
            break;
          case 2:
            bench.back(RelayOutcome::notRun);
            break;
          case 3:
            bench.back(RelayOutcome::mayHaveRun);
            break;
          case 4:
            bench.back(RelayOutcome::final);
            break;
          default:
            bench.now += Ms(300);
            bench.step(Tick{});
        }
      }
      std::size_t const before = bench.finals;
      bench.now += Ms(5000);
      bench.step(Tick{});
      EXPECT_EQ(bench.finals, 1u);
      if (bench.done == 0) {
        EXPECT_EQ(before, 0u);
        EXPECT_EQ(*bench.verdict, bench.doubt ? OrderStatus::unknown : OrderStatus::notRun);
        (bench.doubt ? unknown : notRun) += 1;
      }
      answered += bench.done;
    }
  } while (std::next_permutation(order.begin(), order.end()));
  EXPECT_GT(unknown, 100u);
  EXPECT_GT(notRun, 20u);
  EXPECT_GT(answered, 100u);
}

TEST(Relay, AfterANewPrimaryTheChangeGoesThereAtOnceAndAnOldAnswerIsLeftAside) {
  Bench bench;
  bench.step(RelayRequested{1, bench.now + Ms(5000)});
  EXPECT_TRUE(bench.sent.empty());
  bench.step(RelayPrimary{"a"});
  ASSERT_EQ(bench.sent.size(), 1u);
  bench.step(RelayPrimary{"b"});
  ASSERT_EQ(bench.sent.size(), 2u);
  EXPECT_EQ(bench.sent.back().address, "b");
  bench.step(RelayAttemptFinished{1, bench.sent.front().attempt, RelayOutcome::final});
  EXPECT_EQ(bench.finals, 0u);
  bench.step(RelayAttemptFinished{1, bench.sent.back().attempt, RelayOutcome::final});
  EXPECT_EQ(bench.done, 1u);
}

// Guards against orders that were given up and reach the primary later all the same.
TEST(Relay, AnOrderWhoseCallerLeftIsCancelledAndNeverSentAgain) {
  for (std::size_t const attempts : {0u, 1u, 2u}) {
    for (bool const open : {false, true}) {
      Bench bench;
      bench.step(RelayRequested{1, bench.now + Ms(5000)});
      for (std::size_t attempt = 0; attempt < attempts; ++attempt) {
        bench.step(RelayPrimary{"a"});
        bench.now += Ms(300);
        bench.step(Tick{});
        if (!open || attempt + 1 < attempts) {
          bench.back(RelayOutcome::notRun);
        }
      }
      std::size_t const sent = bench.sent.size();
      EXPECT_EQ(sent, attempts);
      bench.step(CallerLeft{1});
      EXPECT_TRUE(bench.open.empty()) << "the connection to the primary is closed";
      EXPECT_EQ(bench.finals, 1u);
      EXPECT_EQ(*bench.verdict, open && attempts > 0 ? OrderStatus::unknown : OrderStatus::notRun);
      bench.step(CallerLeft{1});
      bench.step(RelayPrimary{"b"});
      bench.now += Ms(6000);
      bench.step(Tick{});
      EXPECT_EQ(bench.sent.size(), sent);
      EXPECT_EQ(bench.finals, 1u);
    }
  }
}

TEST(Relay, HasABound) {
  Bench bench;
  for (std::uint64_t ticket = 1; ticket <= 300; ++ticket) {
    bench.step(RelayRequested{ticket, bench.now + Ms(5000)});
  }
  EXPECT_EQ(bench.finals, 44u);
  EXPECT_EQ(*bench.verdict, OrderStatus::notRun);
}

TEST(NodeRemoval, MalformedWordsAreRefusedByPath) {
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

TEST(Probing, OnlyARefusalOrAnotherNameProvesADeath) {
  net::Exchange exchange;
  EXPECT_FALSE(provesGone(exchange, "m01"));
  exchange.refused = true;
  EXPECT_TRUE(provesGone(exchange, "m01"));
  exchange = {net::Answer{503, {}, R"({"ready":false,"node":"m01"})"}, retry::Verdict::ran, ""};
  EXPECT_FALSE(provesGone(exchange, "m01"));
  EXPECT_TRUE(provesGone(exchange, "m02"));
  for (char const* const odd : {"", "{}", "nonsense", R"({"node":3})"}) {
    exchange.answer->body = odd;
    EXPECT_FALSE(provesGone(exchange, "m02")) << odd;
  }
}

net::Request requestOf(std::string const& method, std::string const& target, net::Headers const& headers = {},
                       std::string const& body = "") {
  return {method, target, headers, body, ""};
}

Change changeOf(net::Request const& request) {
  return std::get<Change>(readChange(request, TimePoint(std::chrono::hours(1))));
}

TEST(Orders, TheSameCallOnABaseHasTheSameIdAtEveryNodeAndAnotherCallHasAnother) {
  std::string const path = configurationPath;
  net::Headers const onFive{{"limeramp-base-revision", "5"}};
  std::set<std::string> ids;
  for (net::Request const& request :
       {requestOf("PUT", path, onFive, "{}"), requestOf("PATCH", path, onFive, "{}"),
        requestOf("PUT", path, onFive, "{ }"), requestOf("PUT", path, {{"limeramp-base-revision", "6"}}, "{}"),
        requestOf("PUT", path, {{"limeramp-base", "5.1"}}, "{}")}) {
    EXPECT_EQ(changeOf(request).id, changeOf(request).id);
    EXPECT_TRUE(ids.insert(changeOf(request).id).second) << changeOf(request).id;
  }
  EXPECT_EQ(changeOf(requestOf("PUT", path, onFive)).baseRevision, std::optional<std::uint64_t>(5));
  net::Request const baseless = requestOf("PUT", path, {}, "{}");
  EXPECT_EQ(changeOf(baseless).id, changeOf(baseless).id);
  EXPECT_TRUE(changeOf(baseless).keyedByContentOnly);
  EXPECT_TRUE(ids.insert(changeOf(baseless).id).second);
  EXPECT_TRUE(ids.insert(changeOf(requestOf("PUT", path, {}, "{ }")).id).second);
  EXPECT_EQ(changeOf(requestOf("PUT", path, {{"limeramp-base", "5.1"}, {"limeramp-change", "mine"}})).id, "mine");
  for (net::Request const& wrong :
       {requestOf("PATCH", path), requestOf("PUT", path, {{"limeramp-base-revision", "5x"}}),
        requestOf("PUT", path, {{"limeramp-base-revision", ""}}), requestOf("PUT", "/limeramp/zones/a b/emptied")}) {
    EXPECT_TRUE(std::holds_alternative<net::Answer>(readChange(wrong, TimePoint())));
  }
}

TEST(Orders, ThatNameNothingTheyBuildOnNeedTheirCaller) {
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

TEST(Orders, AZoneIsNamedByThePath) {
  EXPECT_TRUE(changeOf(requestOf("PUT", "/limeramp/zones/north-1/emptied")).zone->evacuated);
  EXPECT_EQ(changeOf(requestOf("DELETE", "/limeramp/zones/north-1/emptied")).zone->zone, "north-1");
  EXPECT_FALSE(changeOf(requestOf("DELETE", "/limeramp/zones/north-1/emptied")).zone->evacuated);
  EXPECT_FALSE(changeOf(requestOf("PUT", configurationPath)).zone);
  EXPECT_EQ(operatorCallOf(requestOf("DELETE", "/limeramp/zones/north-1/emptied")), OperatorCall::change);
  EXPECT_EQ(operatorCallOf(requestOf("GET", configurationPath)), OperatorCall::read);
  for (char const* const odd :
       {"/limeramp/zones//emptied", "/limeramp/zones/emptied", "/limeramp/zones/a", "/limeramp/zones/"}) {
    EXPECT_EQ(operatorCallOf(requestOf("PUT", odd)), OperatorCall::none) << odd;
  }
}

TEST(Orders, AnOperatorsWordsAreTranslatedBothWaysAndBounded) {
  OperatorProtocolAdapter dialect;
  dialect.toNative = [](net::Request const& asked) {
    return asked.target == "/zones" ? std::optional(requestOf("PUT", "/limeramp/zones/a/emptied")) : std::nullopt;
  };
  dialect.fromNative = [](net::Request const& asked, net::Answer own) {
    own.headers.emplace_back("to", asked.target);
    own.status += 1;
    return own;
  };
  std::vector<net::Request> ran;
  std::optional<net::Answer> answer;
  OperatorHandler const own = [&](net::Request request, net::Responder const& respond) {
    ran.push_back(std::move(request));
    respond({200, {}, "own"});
  };
  serveOperator(
      dialect, requestOf("GET", "/other"), [&](net::Answer got) { answer = std::move(got); }, own);
  EXPECT_TRUE(ran.empty());
  EXPECT_EQ(answer->status, 404);
  serveOperator(
      dialect, requestOf("POST", "/zones"), [&](net::Answer got) { answer = std::move(got); }, own);
  ASSERT_EQ(ran.size(), 1u);
  EXPECT_EQ(net::findHeader(ran[0].headers, deadlineHeader), std::optional<std::string>("900"));
  EXPECT_EQ(answer->status, 201);
  EXPECT_EQ(net::findHeader(answer->headers, "to"), std::optional<std::string>("/zones"));
  serveOperator(
      {}, requestOf("GET", "/as/is"), [&](net::Answer got) { answer = std::move(got); }, own);
  EXPECT_EQ(ran.back().target, "/as/is");
}

}  // namespace
