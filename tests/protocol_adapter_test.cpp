#include "limeramp/gateway/request_manager.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <random>
#include <set>

namespace {

using namespace limeramp;
using namespace limeramp::gateway;
using net::findHeader;
using retry::Verdict;
using Ms = std::chrono::milliseconds;

std::variant<Caller, Refusal> readCaller(net::Request const& request) {
  Caller out;
  out.host = findHeader(request.headers, "host").value_or("");
  out.id = findHeader(request.headers, "x-id").value_or("");
  if (std::optional<std::string> const remaining = findHeader(request.headers, "x-left")) {
    out.remainingMs = Ms(std::stol(*remaining));
  }
  return out;
}

ParsedAnswer readAnswer(net::Answer const& answer, SubrequestContext const& context) {
  ParsedAnswer out;
  if (findHeader(answer.headers, "x-id") != context.request) {
    out.reason = "another request's";
    return out;
  }
  bool const notRun = findHeader(answer.headers, "x-unrun").has_value();
  bool const success = answer.status == 200;
  out.finished.verdict = notRun ? Verdict::notRun : Verdict::ran;
  out.finished.overCapacity = notRun;
  out.finished.good = !notRun && (success || !context.expectsShardResult);
  out.finished.healthy = !notRun && success;
  if (context.expectsShardResult && out.finished.good) {
    out.shardResult = dispatch::ShardResult{
        {context.service, context.partition, context.request}, {answer.body}, "seal-" + context.service};
  }
  return out;
}

net::Answer writeMerged(MergedResult const& merged) {
  net::Answer out;
  std::string seals;
  for (dispatch::ShardResultPtr const& shardResult : merged.shardResults) {
    seals += (seals.empty() ? "" : " ") + shardResult->seal;
  }
  out.headers = {
      {"x-seals", seals}, {"x-missing", std::to_string(merged.missing.size())}, {"x-version", merged.version}};
  for (std::string const& record : merged.records) {
    out.body += record + " ";
  }
  return out;
}

net::Answer writeRefusal(Refusal const& refusal) {
  return {500 + static_cast<int>(refusal.kind),
          {{"x-verdict", std::string(retry::nameOf(refusal.verdict))}},
          refusal.reason};
}

/// An adapter for a protocol unlike the native one, with shard results that the adapter itself parses.
ProtocolAdapter customAdapter() {
  ProtocolAdapter out;
  out.readCaller = readCaller;
  out.writeMerged = writeMerged;
  out.writeForwarded = [](net::Answer& answer, std::string const&, std::string const& version) {
    answer.headers.emplace_back("x-version", version);
  };
  out.writeRefusal = writeRefusal;
  out.writeAsk = [](net::Request& request, SubrequestContext const& context) {
    for (std::string_view const name : {"x-left", "x-service", "x-life", "x-version"}) {
      net::dropHeader(request.headers, name);
    }
    request.headers.emplace_back("x-left", std::to_string(context.remainingMs.count()));
    request.headers.emplace_back("x-service", context.service);
    request.headers.emplace_back("x-life", context.incarnation);
    request.headers.emplace_back("x-version", context.version);
  };
  out.readAnswer = readAnswer;
  return out;
}

config::Search searchOver(std::vector<std::string> const& services, std::size_t minimum) {
  config::Search out;
  out.name = "find";
  out.host = "find.example";
  out.prefix = "/find/";
  for (std::string const& service : services) {
    out.shards.push_back({service, ""});
  }
  out.minimumShards = minimum;
  out.maxAttempts = 3;
  out.deadlineMs = Ms(800);
  return out;
}

config::Route routeTo(std::string const& name, std::vector<config::WeightedService> const& choices, bool idempotent) {
  config::Route out;
  out.name = name;
  out.host = "file.example";
  out.prefix = "/" + name + "/";
  out.choices = choices;
  out.maxAttempts = 3;
  out.idempotent = idempotent;
  out.deadlineMs = Ms(800);
  return out;
}

config::Configuration configurationOver(std::vector<std::string> const& shards, std::size_t minimum) {
  config::Configuration out;
  out.searches.push_back(searchOver(shards, minimum));
  out.routes.push_back(routeTo("write", {{"w0", 1}}, false));
  out.routes.push_back(routeTo("read", {{"w0", 1}}, true));
  out.routes.push_back(routeTo("split", {{"w0", 1}, {"none", 0}, {"w1", 3}}, true));
  for (std::string const service : {"s0", "s1", "s2", "r0", "r1", "w0", "w1", "none"}) {
    out.services[service] = {};
  }
  return out;
}

/// The RequestManager of one node with a custom adapter. Records its effects and merges results at once.
struct Node {
  explicit Node(std::string const& name = "m01",
                config::Configuration const& first = configurationOver({"s0", "s1"}, 1))
      : requestManager(NodeIdentity{name, "127.0.0.1:7000", "z1", 5}, dispatch::DispatchOptions{}, customAdapter()) {
    applyConfiguration(2, first);
    step(PositionChanged{dispatch::FleetPosition{1, 0, 30, 0.2, "z1"}});
    for (std::string const service : {"s0", "s1", "s2", "r0", "r1", "w0", "w1", "none"}) {
      dispatch::ServersUpdated servers{service, {}};
      for (std::string const number : {"1", "2", "3", "4"}) {
        dispatch::ServerEndpoint row;
        row.address = "127.0.0.9:" + number;
        row.zone = "z1";
        row.incarnation = "life-" + number;
        servers.rows.push_back(row);
      }
      step(EndpointsChanged{servers});
    }
  }

  RequestManager requestManager;
  TimePoint now{std::chrono::hours(1)};
  std::vector<SendRequest> sent;
  std::vector<Reply> replies;
  std::set<std::uint64_t> cancelled;
  std::map<std::uint64_t, std::uint64_t> requestOf;
  std::uint64_t lastRequest = 0;

  void applyConfiguration(std::uint64_t sequence, config::Configuration const& configuration) {
    config::Snapshot snapshot;
    snapshot.version = {1, sequence};
    snapshot.configuration = configuration;
    step(ConfigurationInForce{std::make_shared<config::Snapshot const>(snapshot)});
  }

  void step(RequestEvent const& event) {
    for (RequestEffect const& effect : requestManager.step(now, event)) {
      if (SendRequest const* const send = std::get_if<SendRequest>(&effect)) {
        sent.push_back(*send);
      } else if (Reply const* const reply = std::get_if<Reply>(&effect)) {
        replies.push_back(*reply);
      } else if (CancelRequest const* const cancel = std::get_if<CancelRequest>(&effect)) {
        cancelled.insert(cancel->attempt);
      } else if (MergeShardResults const* const merge = std::get_if<MergeShardResults>(&effect)) {
        step(MergeFinished{merge->request, dispatch::mergeShardResults(merge->shardResults, merge->resultSize)});
      }
    }
  }

  std::uint64_t arrive(std::string const& host, std::string const& target, std::string const& id,
                       net::Headers headers = {}) {
    headers.emplace_back("host", host);
    headers.emplace_back("x-id", id);
    step(RequestReceived{++lastRequest, {"GET", target, std::move(headers), "", ""}, false, std::nullopt});
    return lastRequest;
  }

  static std::string headerOf(SendRequest const& send, std::string const& name) {
    return findHeader(send.content.headers, name).value_or("");
  }

  void answer(SendRequest const& to, int status, std::string const& body, std::string const& id = "",
              bool notRun = false) {
    net::Headers headers{{"x-id", id.empty() ? headerOf(to, "x-id") : id}};
    if (notRun) {
      headers.emplace_back("x-unrun", "1");
    }
    step(ExchangeFinished{to.attempt, {net::Answer{status, std::move(headers), body}, Verdict::ran, ""}});
  }

  void failAttempt(SendRequest const& to, Verdict verdict) {
    step(ExchangeFinished{to.attempt, {std::nullopt, verdict, "lost"}});
  }

  void advance(std::chrono::nanoseconds duration) {
    now += duration;
    step(Tick{});
  }

  /// Completes enough requests to fill the retry budgets.
  void fillBudget() {
    for (int round = 0; round < 60; ++round) {
      std::size_t const first = sent.size();
      arrive("file.example", "/read/1", "warm-" + std::to_string(round));
      arrive("find.example", "/find/1", "warm-find-" + std::to_string(round));
      for (std::size_t index = first; index < sent.size(); ++index) {
        SendRequest const to = sent[index];
        answer(to, 200, "x");
      }
      advance(Ms(10));
    }
    sent.clear();
    replies.clear();
    cancelled.clear();
  }
};

std::string headerOf(Reply const& reply, std::string const& name) {
  return findHeader(reply.answer.headers, name).value_or("");
}

TEST(CustomProtocolAdapter, MergedResultsComeFromOneConfiguration) {
  Node node;
  node.fillBudget();
  node.arrive("find.example", "/find/1", "a");
  ASSERT_EQ(node.sent.size(), 2u);
  node.applyConfiguration(3, configurationOver({"r0", "r1"}, 1));
  node.answer(node.sent[0], 500, "");
  node.answer(node.sent[1], 200, "one");
  for (int round = 0; round < 100 && node.sent.size() < 3; ++round) {
    node.advance(Ms(5));
  }
  ASSERT_GE(node.sent.size(), 3u);
  EXPECT_EQ(Node::headerOf(node.sent[2], "x-service"), Node::headerOf(node.sent[0], "x-service"));
  EXPECT_EQ(Node::headerOf(node.sent[2], "x-version"), "1.2");
  node.answer(node.sent[2], 200, "two");
  ASSERT_EQ(node.replies.size(), 1u);
  EXPECT_EQ(headerOf(node.replies[0], "x-seals"), "seal-s0 seal-s1");
  EXPECT_EQ(headerOf(node.replies[0], "x-version"), "1.2");
  EXPECT_EQ(node.replies[0].answer.body, "two one ");
  node.sent.clear();
  node.arrive("find.example", "/find/1", "b");
  ASSERT_EQ(node.sent.size(), 2u);
  EXPECT_EQ(Node::headerOf(node.sent[0], "x-service"), "r0");
  EXPECT_EQ(Node::headerOf(node.sent[1], "x-service"), "r1");
}

TEST(CustomProtocolAdapter, ShardResultOfAnotherRequestIsNotMerged) {
  Node node;
  node.fillBudget();
  node.arrive("find.example", "/find/1", "a");
  node.arrive("find.example", "/find/1", "b");
  ASSERT_EQ(node.sent.size(), 4u);
  node.answer(node.sent[0], 200, "stray", "b");
  node.answer(node.sent[1], 200, "own");
  for (std::size_t index = 4; index < node.sent.size(); ++index) {
    SendRequest const to = node.sent[index];
    if (Node::headerOf(to, "x-id") == "a") {
      node.answer(to, 200, "stray", "b");
    }
  }
  node.advance(Ms(790));
  node.advance(Ms(10));
  std::vector<Reply>::const_iterator const replyToA =
      std::find_if(node.replies.begin(), node.replies.end(),
                   [](Reply const& reply) { return reply.answer.body.find("own") != std::string::npos; });
  ASSERT_NE(replyToA, node.replies.end());
  EXPECT_EQ(headerOf(*replyToA, "x-missing"), "1");
  for (Reply const& reply : node.replies) {
    EXPECT_EQ(reply.answer.body.find("stray"), std::string::npos);
  }
}

TEST(CustomProtocolAdapter, SuccessfulAnswerHasTheMinimumNumberOfShards) {
  std::size_t successes = 0;
  std::size_t failures = 0;
  for (unsigned seed = 1; seed <= 300; ++seed) {
    std::mt19937 random(seed);
    std::size_t const minimum = 1 + random() % 3;
    Node node("m01", configurationOver({"s0", "s1", "s2"}, minimum));
    if (random() % 2 == 0) {
      node.fillBudget();
    }
    node.arrive("find.example", "/find/1", "a");
    std::set<std::string> answeredServices;
    for (std::size_t index = 0; index < 40; ++index) {
      if (index < node.sent.size()) {
        SendRequest const to = node.sent[index];
        switch (node.cancelled.contains(to.attempt) ? 5 : random() % 5) {
          case 0:
            answeredServices.insert(node.replies.empty() ? Node::headerOf(to, "x-service") : "");
            node.answer(to, 200, Node::headerOf(to, "x-service"));
            break;
          case 1:
            node.answer(to, 500, "failed");
            break;
          case 2:
            node.answer(to, 503, "", "", true);
            break;
          case 3:
            node.failAttempt(to, random() % 2 == 0 ? Verdict::notRun : Verdict::mayHaveRun);
            break;
          default:
            break;
        }
      }
      node.advance(Ms(30));
    }
    answeredServices.erase("");
    ASSERT_EQ(node.replies.size(), 1u) << "seed " << seed;
    Reply const& reply = node.replies[0];
    if (reply.answer.status == 200) {
      ++successes;
      std::string const seals = headerOf(reply, "x-seals");
      std::size_t const shardResults = static_cast<std::size_t>(std::count(seals.begin(), seals.end(), ' ')) + 1;
      ASSERT_GE(shardResults, minimum) << "seed " << seed;
      ASSERT_EQ(shardResults, answeredServices.size()) << "seed " << seed << " " << seals;
      ASSERT_EQ(headerOf(reply, "x-missing"), std::to_string(3 - shardResults)) << "seed " << seed;
    } else {
      ++failures;
      ASSERT_LT(answeredServices.size(), 3u) << "seed " << seed;
    }
    ASSERT_EQ(node.requestManager.requests(), 0u) << "seed " << seed;
  }
  std::printf("seeds 1 to 300: %zu successes, %zu failures\n", successes, failures);
  EXPECT_GT(successes, 50u);
  EXPECT_GT(failures, 50u);
}

TEST(CustomProtocolAdapter, WeightedServiceChoiceDependsOnlyOnTheRequestId) {
  Node node("m01");
  Node other("m77");
  std::map<std::string, int> counts;
  for (int round = 0; round < 400; ++round) {
    std::string const id = "try-" + std::to_string(round);
    std::vector<std::string> chosen;
    for (Node* const receiver : {&node, &other, &node}) {
      receiver->sent.clear();
      receiver->arrive("file.example", "/split/1", id);
      ASSERT_EQ(receiver->sent.size(), 1u);
      chosen.push_back(Node::headerOf(receiver->sent[0], "x-service"));
      SendRequest const to = receiver->sent[0];
      receiver->answer(to, 200, "x");
      receiver->advance(Ms(10));
    }
    EXPECT_EQ(chosen[0], chosen[1]) << id;
    EXPECT_EQ(chosen[0], chosen[2]) << id;
    ++counts[chosen[0]];
  }
  std::printf("400 ids: %d to w0, %d to w1\n", counts["w0"], counts["w1"]);
  EXPECT_EQ(counts["none"], 0);
  EXPECT_GT(counts["w0"], 60);
  EXPECT_LT(counts["w0"], 140);
}

TEST(CustomProtocolAdapter, RetryStaysWithTheChosenService) {
  Node node;
  node.fillBudget();
  for (int round = 0; round < 30; ++round) {
    node.sent.clear();
    node.arrive("file.example", "/split/1", "again-" + std::to_string(round));
    ASSERT_EQ(node.sent.size(), 1u);
    SendRequest const first = node.sent[0];
    node.failAttempt(first, Verdict::notRun);
    ASSERT_EQ(node.sent.size(), 2u) << round;
    SendRequest const second = node.sent[1];
    EXPECT_EQ(Node::headerOf(first, "x-service"), Node::headerOf(second, "x-service"));
    EXPECT_EQ(Node::headerOf(first, "x-id"), Node::headerOf(second, "x-id"));
    EXPECT_NE(first.server, second.server);
    node.answer(second, 200, "x");
    node.advance(Ms(1000));
  }
}

TEST(CustomProtocolAdapter, ShorterDeadlineAppliesAndRemainingTimeIsForwarded) {
  for (std::pair<long, long> const& testCase :
       std::vector<std::pair<long, long>>{{200, 200}, {800, 800}, {5000, 800}, {0, 800}}) {
    Node node;
    node.fillBudget();
    net::Headers headers;
    if (testCase.first > 0) {
      headers.emplace_back("x-left", std::to_string(testCase.first));
    }
    TimePoint const arrivedAt = node.now;
    node.arrive("file.example", "/read/1", "a", headers);
    ASSERT_EQ(node.sent.size(), 1u);
    EXPECT_LE(node.sent[0].deadline, arrivedAt + Ms(testCase.second));
    EXPECT_GT(node.sent[0].deadline, arrivedAt + Ms(testCase.second * 8 / 10));
    long const remaining = std::stol(Node::headerOf(node.sent[0], "x-left"));
    EXPECT_LE(remaining, testCase.second);
    EXPECT_GT(remaining, testCase.second * 8 / 10);
    node.now += Ms(50);
    SendRequest const first = node.sent[0];
    node.failAttempt(first, Verdict::notRun);
    ASSERT_EQ(node.sent.size(), 2u);
    EXPECT_LE(std::stol(Node::headerOf(node.sent[1], "x-left")), remaining - 50);
    EXPECT_EQ(node.sent[1].deadline, node.sent[0].deadline);
    node.advance(arrivedAt + Ms(testCase.second) - node.now);
    ASSERT_EQ(node.replies.size(), 1u) << testCase.first;
    EXPECT_NE(node.replies[0].answer.status, 200);
  }
}

TEST(CustomProtocolAdapter, AttemptNamesTheIncarnationOfItsServer) {
  Node node;
  node.arrive("file.example", "/write/1", "a");
  ASSERT_EQ(node.sent.size(), 1u);
  EXPECT_EQ(Node::headerOf(node.sent[0], "x-life"),
            "life-" + node.sent[0].server.substr(node.sent[0].server.find(':') + 1));
}

TEST(CustomProtocolAdapter, NonIdempotentRequestIsResentOnlyIfItProvablyDidNotRun) {
  std::size_t resent = 0;
  std::size_t saidNotRun = 0;
  std::size_t outcomeUnknown = 0;
  for (unsigned seed = 1; seed <= 400; ++seed) {
    std::mt19937 random(seed);
    Node node;
    node.fillBudget();
    std::map<std::string, std::vector<std::uint64_t>> attempts;
    std::map<std::uint64_t, bool> provenNotRun;
    std::map<std::uint64_t, std::string> idOf;
    std::size_t checkedSends = 0;
    std::size_t checkedReplies = 0;
    for (int round = 0; round < 60; ++round) {
      if (round < 8) {
        std::string const id = "try-" + std::to_string(round);
        idOf[node.arrive("file.example", "/write/1", id)] = id;
      }
      for (; checkedSends < node.sent.size(); ++checkedSends) {
        SendRequest const to = node.sent[checkedSends];
        std::string const id = Node::headerOf(to, "x-id");
        for (std::uint64_t const earlier : attempts[id]) {
          ASSERT_TRUE(provenNotRun[earlier]) << "seed " << seed << " " << id;
          ++resent;
        }
        attempts[id].push_back(to.attempt);
        ASSERT_LE(attempts[id].size(), 8u) << "seed " << seed;
      }
      for (; checkedReplies < node.replies.size(); ++checkedReplies) {
        Reply const& reply = node.replies[checkedReplies];
        std::string const id = idOf[reply.request];
        bool const refusedAsNotRun = headerOf(reply, "x-verdict") == "not_run";
        saidNotRun += refusedAsNotRun ? 1 : 0;
        for (std::uint64_t const attempt : attempts[id]) {
          ASSERT_TRUE(!refusedAsNotRun || provenNotRun[attempt]) << "seed " << seed << " " << id;
          outcomeUnknown += refusedAsNotRun || provenNotRun[attempt] ? 0 : 1;
        }
      }
      if (!node.sent.empty()) {
        SendRequest const to = node.sent[random() % node.sent.size()];
        if (!provenNotRun.contains(to.attempt) && !node.cancelled.contains(to.attempt)) {
          std::uint32_t const kind = random() % 6;
          provenNotRun[to.attempt] = kind < 3;
          if (kind < 2) {
            node.answer(to, 503, "", "", true);
          } else if (kind == 2) {
            node.failAttempt(to, Verdict::notRun);
          } else if (kind == 3) {
            node.failAttempt(to, Verdict::mayHaveRun);
          } else {
            node.answer(to, kind == 4 ? 200 : 500, "x");
          }
        }
      }
      node.advance(Ms(random() % 40));
    }
  }
  std::printf("seeds 1 to 400: %zu resent, %zu refused as not run, %zu with unknown outcome\n", resent, saidNotRun,
              outcomeUnknown);
  EXPECT_GT(resent, 100u);
  EXPECT_GT(saidNotRun, 20u);
  EXPECT_GT(outcomeUnknown, 100u);
}

TEST(CustomProtocolAdapter, IdempotentRequestIsRetriedOnAnotherServer) {
  for (int kind = 0; kind < 3; ++kind) {
    Node node;
    node.fillBudget();
    node.arrive("file.example", "/read/1", "a");
    SendRequest const first = node.sent.at(0);
    if (kind == 0) {
      node.failAttempt(first, Verdict::mayHaveRun);
    } else {
      node.answer(first, kind == 1 ? 500 : 503, "", "", kind == 2);
    }
    for (int round = 0; round < 60 && node.sent.size() < 2; ++round) {
      node.advance(Ms(5));
    }
    ASSERT_EQ(node.sent.size(), 2u) << kind;
    EXPECT_NE(node.sent[1].server, first.server);
    SendRequest const second = node.sent[1];
    node.answer(second, 200, "x");
    ASSERT_EQ(node.replies.size(), 1u);
    EXPECT_EQ(node.replies[0].answer.status, 200);
  }
}

TEST(CustomProtocolAdapter, ServerErrorOfNonIdempotentRequestReachesTheCaller) {
  Node node;
  node.fillBudget();
  node.arrive("file.example", "/write/1", "a");
  SendRequest const first = node.sent.at(0);
  node.answer(first, 500, "its own words");
  ASSERT_EQ(node.replies.size(), 1u);
  EXPECT_EQ(node.replies[0].answer.status, 500);
  EXPECT_EQ(node.replies[0].answer.body, "its own words");
  EXPECT_EQ(node.sent.size(), 1u);
}

}  // namespace
