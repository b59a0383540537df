#include "limeramp/gateway/request_manager.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace {

using namespace limeramp;
using namespace limeramp::gateway;
using Ms = std::chrono::milliseconds;

std::string const document = R"({
  "services": {"p0": {}, "p1": {}, "logs": {}},
  "searches": {"packages": {"tenant": "t", "prefix": "/packages", "result_size": 3, "minimum_shards": 1,
    "shards": [{"service": "p0", "cut": "c1"}, {"service": "p1", "cut": "c1"}]}},
  "routes": {"logs": {"tenant": "t", "prefix": "/logs", "service": "logs", "max_attempts": 2},
             "away": {"tenant": "far", "prefix": "/", "service": "logs", "max_attempts": 2}},
  "cells": {"north": {"tenants": ["far"], "nodes": ["m09"]}}})";

config::SnapshotPtr snapshotOf(std::string const& text, std::uint64_t sequence) {
  config::Snapshot snapshot;
  snapshot.version = {1, sequence};
  snapshot.text = text;
  snapshot.configuration = *config::checkConfiguration(*config::parseJson(text)).configuration;
  return std::make_shared<config::Snapshot const>(snapshot);
}

/// Drives a RequestManager by hand: records its sends, replies and cancellations, and parses and merges results at
/// once.
struct ManagerHarness {
  RequestManager requestManager{NodeIdentity{"m01", "127.0.0.1:7000", "z1", 5}, dispatch::DispatchOptions{}};
  TimePoint now{std::chrono::hours(1)};
  std::vector<SendRequest> sent;
  std::vector<Reply> replies;
  std::vector<CancelRequest> cancelled;
  std::uint64_t lastRequest = 0;

  ManagerHarness() {
    step(ConfigurationInForce{snapshotOf(document, 2)});
    for (std::string const service : {"p0", "p1", "logs"}) {
      dispatch::ServersUpdated servers{service, {}};
      for (std::string const address : {"127.0.0.8:1", "127.0.0.9:1"}) {
        dispatch::ServerEndpoint row;
        row.address = address;
        servers.rows.push_back(row);
      }
      step(EndpointsChanged{servers});
    }
  }

  void step(RequestEvent const& event) {
    for (RequestEffect const& effect : requestManager.step(now, event)) {
      if (SendRequest const* const send = std::get_if<SendRequest>(&effect)) {
        sent.push_back(*send);
      } else if (Reply const* const reply = std::get_if<Reply>(&effect)) {
        replies.push_back(*reply);
      } else if (CancelRequest const* const cancel = std::get_if<CancelRequest>(&effect)) {
        cancelled.push_back(*cancel);
      } else if (ParseShardResult const* const parse = std::get_if<ParseShardResult>(&effect)) {
        step(ShardResultParsed{
            parse->attempt, dispatch::parseShardResult(parse->body, parse->expected, parse->resultSize), parse->load});
      } else if (MergeShardResults const* const merge = std::get_if<MergeShardResults>(&effect)) {
        step(MergeFinished{merge->request, dispatch::mergeShardResults(merge->shardResults, merge->resultSize)});
      }
    }
  }
  void arrive(std::string const& target, net::Headers headers = {{"limeramp-tenant", "t"}}, bool forwarded = false,
              std::string const& body = "") {
    step(RequestReceived{
        ++lastRequest, {body.empty() ? "GET" : "POST", target, std::move(headers), body, ""}, forwarded, std::nullopt});
  }
  void answer(SendRequest const& to, int status, std::string const& body) {
    step(ExchangeFinished{
        to.attempt,
        {net::Answer{status, {{"x-own", "1"}, {"limeramp-verdict", "not_run"}}, body}, retry::Verdict::ran, ""}});
  }
  void shardResult(SendRequest const& to, std::string const& cut, std::string const& record, int status = 200) {
    answer(to, status,
           "{\"stamp\":{\"shard\":\"" + *net::findHeader(to.content.headers, "limeramp-shard") + "\",\"cut\":\"" + cut +
               "\",\"request\":\"" + *net::findHeader(to.content.headers, "limeramp-request") + "\"},\"records\":[\"" +
               record + "\"]}");
  }
};

TEST(RequestAdmission, MalformedRequestsAreRefusedAndReachNoServer) {
  std::vector<std::pair<net::Headers, int>> const testCases{
      {{}, 400},
      {{{"limeramp-tenant", "nobody"}}, 404},
      {{{"limeramp-tenant", "t"}, {"limeramp-deadline-ms", "0"}}, 400},
      {{{"limeramp-tenant", "t"}, {"limeramp-deadline-ms", "-5"}}, 400},
      {{{"limeramp-tenant", "t"}, {"limeramp-deadline-ms", "soon"}}, 400},
      {{{"limeramp-tenant", "t"}, {"limeramp-deadline-ms", "12x"}}, 400},
      {{{"limeramp-tenant", "t"}, {"limeramp-deadline-ms", "99999999"}}, 400}};
  for (std::pair<net::Headers, int> const& testCase : testCases) {
    ManagerHarness harness;
    harness.arrive("/logs/1", testCase.first);
    ASSERT_EQ(harness.replies.size(), 1u);
    EXPECT_EQ(harness.replies[0].answer.status, testCase.second);
    EXPECT_EQ(net::findHeader(harness.replies[0].answer.headers, "limeramp-verdict"), "not_run");
    EXPECT_TRUE(harness.sent.empty());
  }
}

TEST(RouteForwarding, RequestAndAnswerPassUnchangedExceptHopByHopHeaders) {
  ManagerHarness harness;
  harness.arrive("/logs/1?a=%20b&c",
                 {{"Limeramp-Tenant", "t"},
                  {"connection", "close, x-hop"},
                  {"x-hop", "1"},
                  {"x-keep", "2"},
                  {"limeramp-request", "forged"},
                  {"limeramp-deadline-ms", "700"}},
                 false, "body");
  ASSERT_EQ(harness.sent.size(), 1u);
  net::Request const& content = harness.sent[0].content;
  EXPECT_EQ(content.method, "POST");
  EXPECT_EQ(content.target, "/logs/1?a=%20b&c");
  EXPECT_EQ(content.body, "body");
  EXPECT_FALSE(net::findHeader(content.headers, "x-hop").has_value());
  EXPECT_EQ(net::findHeader(content.headers, "x-keep"), "2");
  EXPECT_EQ(net::findHeader(content.headers, "limeramp-deadline-ms"), "700");
  EXPECT_EQ(net::findHeader(content.headers, "limeramp-version"), "1.2");
  EXPECT_EQ(std::count_if(
                content.headers.begin(), content.headers.end(),
                [](std::pair<std::string, std::string> const& header) { return header.first == "limeramp-request"; }),
            1);
  EXPECT_NE(net::findHeader(content.headers, "limeramp-request"), "forged");
  harness.answer(harness.sent[0], 503, "busy");
  ASSERT_EQ(harness.replies.size(), 1u);
  EXPECT_EQ(harness.replies[0].answer.status, 503);
  EXPECT_EQ(harness.replies[0].answer.body, "busy");
  EXPECT_EQ(net::findHeader(harness.replies[0].answer.headers, "limeramp-verdict"), "ran");
  EXPECT_EQ(harness.sent.size(), 1u);
}

TEST(ConfigurationPinning, RequestRejectsShardResultsOfAnotherConfiguration) {
  ManagerHarness harness;
  harness.step(PositionChanged{dispatch::FleetPosition{1, 0, 3}});
  for (std::size_t round = 0; round < 6; ++round) {
    harness.arrive("/packages");
    harness.shardResult(harness.sent[round * 2], "c1", "a");
    harness.shardResult(harness.sent[round * 2 + 1], "c1", "a");
  }
  harness.sent.clear();
  harness.replies.clear();
  harness.arrive("/packages");
  ASSERT_EQ(harness.sent.size(), 2u);
  std::string otherPartition = document;
  for (std::size_t at = otherPartition.find("c1"); at != std::string::npos; at = otherPartition.find("c1", at + 1)) {
    otherPartition.replace(at, 2, "c2");
  }
  harness.step(ConfigurationInForce{snapshotOf(otherPartition, 3)});
  harness.shardResult(harness.sent[0], "c2", "z");
  harness.shardResult(harness.sent[1], "c1", "a");
  ASSERT_GE(harness.sent.size(), 3u);
  EXPECT_EQ(net::findHeader(harness.sent[2].content.headers, "limeramp-version"), "1.2");
  harness.shardResult(harness.sent[2], "c1", "b");
  ASSERT_EQ(harness.replies.size(), 1u);
  EXPECT_EQ(net::findHeader(harness.replies[0].answer.headers, "limeramp-version"), "1.2");
  EXPECT_NE(harness.replies[0].answer.body.find(R"("records":["b","a"])"), std::string::npos);
  EXPECT_EQ(harness.replies[0].answer.body.find("c2"), std::string::npos);
  harness.arrive("/packages");
  EXPECT_EQ(net::findHeader(harness.sent.back().content.headers, "limeramp-version"), "1.3");
}

TEST(SearchRequest, FailedAttemptsAreNotMergedAsShardResults) {
  ManagerHarness harness;
  harness.arrive("/packages");
  harness.answer(harness.sent[0], 500, "{}");
  harness.answer(harness.sent[1], 200, "not json");
  while (harness.replies.empty() && harness.sent.size() < 8) {
    std::size_t const before = harness.sent.size();
    harness.answer(harness.sent.back(), 204, "");
    if (harness.sent.size() == before) {
      harness.now += Ms(100);
      harness.step(Tick{});
    }
  }
  harness.now += Ms(600);
  harness.step(Tick{});
  ASSERT_EQ(harness.replies.size(), 1u);
  EXPECT_GE(harness.replies[0].answer.status, 500);
  EXPECT_EQ(net::findHeader(harness.replies[0].answer.headers, "limeramp-verdict"), "may_have_run");
}

TEST(SearchRequest, ValidShardResultWithErrorStatusIsRejected) {
  ManagerHarness harness;
  harness.arrive("/packages");
  for (std::size_t index = 0; index < harness.sent.size() && index < 8; ++index) {
    SendRequest const to = harness.sent[index];
    harness.shardResult(to, "c1", "spoilt", 500);
  }
  harness.now += Ms(600);
  harness.step(Tick{});
  ASSERT_EQ(harness.replies.size(), 1u);
  EXPECT_GE(harness.replies[0].answer.status, 500);
  EXPECT_EQ(harness.replies[0].answer.body.find("spoilt"), std::string::npos);
}

TEST(CellForwarding, RequestIsResentOnlyIfNotRunAndForwardedOnlyOnce) {
  ManagerHarness harness;
  harness.step(CellOwners{"north", {"127.0.0.7:7000", "127.0.0.6:7000"}});
  net::Headers const far{{"limeramp-tenant", "far"}};
  harness.arrive("/x", far);
  ASSERT_EQ(harness.sent.size(), 1u);
  EXPECT_TRUE(harness.sent[0].toCellOwner);
  harness.step(ExchangeFinished{harness.sent[0].attempt, {std::nullopt, retry::Verdict::mayHaveRun, "broken"}});
  ASSERT_EQ(harness.replies.size(), 1u);
  EXPECT_EQ(net::findHeader(harness.replies[0].answer.headers, "limeramp-verdict"), "may_have_run");
  EXPECT_EQ(harness.sent.size(), 1u);
  harness.arrive("/x", far);
  harness.step(ExchangeFinished{harness.sent[1].attempt, {std::nullopt, retry::Verdict::notRun, "refused"}});
  EXPECT_EQ(harness.sent.size(), 3u);
  harness.arrive("/x", far, true);
  EXPECT_EQ(harness.sent.size(), 3u);
  EXPECT_EQ(net::findHeader(harness.replies.back().answer.headers, "limeramp-verdict"), "not_run");
}

TEST(RequestDeadline, AnswerAfterTheDeadlineIsDiscarded) {
  ManagerHarness harness;
  harness.arrive("/logs/1", {{"limeramp-tenant", "t"}, {"limeramp-deadline-ms", "100"}});
  harness.now += Ms(100);
  harness.step(Tick{});
  ASSERT_EQ(harness.replies.size(), 1u);
  EXPECT_EQ(harness.replies[0].answer.status, 504);
  EXPECT_EQ(harness.cancelled.size(), 1u);
  harness.answer(harness.sent[0], 200, "late");
  EXPECT_EQ(harness.replies.size(), 1u);
  EXPECT_EQ(harness.requestManager.requests(), 0u);
}

}  // namespace
