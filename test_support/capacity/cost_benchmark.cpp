#include "limeramp/config/configuration.h"
#include "limeramp/discovery/list.h"
#include "limeramp/distribution/config_delivery.h"
#include "limeramp/distribution/peer_views.h"
#include "limeramp/gateway/request_manager.h"
#include "limeramp/messages/messages.h"
#include "limeramp/net/http.h"
#include "simulator/simulated_network.h"

#include <xxhash.h>
#include <cxxopts.hpp>

#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <cstdio>
#include <ctime>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <mutex>
#include <set>
#include <sstream>

namespace {

using namespace limeramp;
using Ms = std::chrono::milliseconds;
using Values = std::vector<double>;

struct Row {
  std::string label;
  std::map<std::string, double> parameters;
  std::string unit;
  Values values;
};

std::vector<Row> rows;

double threadCpuUs() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

double processCpuUs() {
  rusage used{};
  getrusage(RUSAGE_SELF, &used);
  return static_cast<double>(used.ru_utime.tv_sec + used.ru_stime.tv_sec) * 1e6 +
         static_cast<double>(used.ru_utime.tv_usec + used.ru_stime.tv_usec);
}

double heapBytes() {
  struct mallinfo2 const info = mallinfo2();
  return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

double residentBytes() {
  std::ifstream file("/proc/self/statm");
  double whole = 0;
  double resident = 0;
  file >> whole >> resident;
  return resident * 4096;
}

double openDescriptors() {
  double count = 0;
  for (std::filesystem::directory_entry const& entry : std::filesystem::directory_iterator("/proc/self/fd")) {
    count += entry.path().empty() ? 0 : 1;
  }
  return count;
}

void addSample(std::string const& label, std::map<std::string, double> const& parameters, std::string const& unit,
               double value) {
  for (Row& row : rows) {
    if (row.label == label && row.parameters == parameters) {
      row.values.push_back(value);
      return;
    }
  }
  rows.push_back({label, parameters, unit, {value}});
}

void measureReferenceHash() {
  std::string const block(1 << 20, 'x');
  double const from = threadCpuUs();
  std::uint64_t volatile sum = 0;
  for (int round = 0; round < 100; ++round) {
    sum = XXH64(block.data(), block.size(), sum);
  }
  addSample("hash of 1 MiB, for comparison", {}, "us", (threadCpuUs() - from) / 100);
}

std::string shardResultBody(std::string const& shard, std::string const& request, std::size_t records) {
  std::string body =
      "{\"stamp\":{\"shard\":\"" + shard + "\",\"cut\":\"c1\",\"request\":\"" + request + "\"},\"records\":[";
  for (std::size_t index = 0; index < records; ++index) {
    body += (index == 0 ? "\"" : ",\"") + std::to_string(100'000 + (index * 7919 + shard.size() * 104'729) % 900'000) +
            std::string(90, 'r') + "\"";
  }
  return body + "]}";
}

void measureShardResults(std::size_t parts) {
  std::vector<std::string> bodies;
  for (std::size_t index = 0; index < parts; ++index) {
    bodies.push_back(shardResultBody("p" + std::to_string(index), "r", 10));
  }
  std::vector<dispatch::ShardResultPtr> parsed;
  double const from = threadCpuUs();
  for (std::size_t index = 0; index < parts; ++index) {
    absl::StatusOr<dispatch::ShardResult> part =
        dispatch::parseShardResult(bodies[index], {"p" + std::to_string(index), "c1", "r"}, 10);
    parsed.push_back(std::make_shared<dispatch::ShardResult const>(*std::move(part)));
  }
  double const between = threadCpuUs();
  std::size_t mergedRecords = 0;
  for (int round = 0; round < 5; ++round) {
    mergedRecords += dispatch::mergeShardResults(parsed, 10).size();
  }
  double const to = threadCpuUs();
  double const count = static_cast<double>(parts);
  addSample("one part read, 10 records of 96 bytes", {{"parts", count}}, "us", (between - from) / count);
  addSample("one part merged", {{"parts", count}}, "us", (to - between) / 5 / count + (mergedRecords == 0 ? 1 : 0));
}

config::SnapshotPtr snapshotOf(std::size_t shards) {
  config::Snapshot snapshot;
  snapshot.version = {1, 1};
  config::Search search;
  search.name = "all";
  search.tenant = "t";
  search.prefix = "/all";
  search.deadlineMs = Ms(500);
  for (std::size_t index = 0; index < shards; ++index) {
    std::string const name = "p" + std::to_string(index);
    snapshot.configuration.services[name] = {};
    search.shards.push_back({name, "c1"});
  }
  snapshot.configuration.searches.push_back(search);
  return std::make_shared<config::Snapshot const>(snapshot);
}

void measureQueries(std::size_t shards, std::size_t inFlight, std::size_t rounds) {
  using namespace gateway;
  RequestManager requestManager(NodeIdentity{"m1", "10.0.0.1:7000", "z1", 5}, dispatch::DispatchOptions{});
  retry::TimePoint now{std::chrono::hours(1)};
  std::deque<SendRequest> sent;
  std::deque<ParseShardResult> parses;
  std::deque<MergeShardResults> mergeEffects;
  std::size_t replies = 0;
  double spentUs = 0;
  std::function<void(RequestEvent const&)> const step = [&](RequestEvent const& event) {
    double const from = threadCpuUs();
    std::vector<RequestEffect> effects = requestManager.step(now, event);
    spentUs += threadCpuUs() - from;
    for (RequestEffect& effect : effects) {
      if (SendRequest* const send = std::get_if<SendRequest>(&effect)) {
        sent.push_back(std::move(*send));
      } else if (ParseShardResult* const parse = std::get_if<ParseShardResult>(&effect)) {
        parses.push_back(std::move(*parse));
      } else if (MergeShardResults* const merge = std::get_if<MergeShardResults>(&effect)) {
        mergeEffects.push_back(std::move(*merge));
      } else if (std::holds_alternative<Reply>(effect)) {
        ++replies;
      }
    }
  };
  step(ConfigurationInForce{snapshotOf(shards)});
  double const heapBefore = heapBytes();
  for (std::size_t index = 0; index < shards; ++index) {
    dispatch::ServersUpdated servers{"p" + std::to_string(index), {}};
    for (std::size_t number = 0; number < 5; ++number) {
      dispatch::ServerEndpoint row;
      row.address = "10." + std::to_string(index / 200) + "." + std::to_string(index % 200) + "." +
                    std::to_string(number) + ":9000";
      row.zone = "z1";
      servers.rows.push_back(row);
    }
    step(EndpointsChanged{servers});
  }
  double const count = static_cast<double>(shards);
  std::map<std::string, double> const parameters{{"shards", count}, {"in_flight", static_cast<double>(inFlight)}};
  addSample("memory for a server in the front's tables", parameters, "bytes", (heapBytes() - heapBefore) / (count * 5));
  std::uint64_t lastRequest = 0;
  double arriveUs = 0;
  double answerUs = 0;
  double tickUs = 0;
  double ticks = 0;
  double exchanges = 0;
  for (std::size_t round = 0; round < rounds; ++round) {
    std::uint64_t const before = lastRequest;
    spentUs = 0;
    while (lastRequest < before + inFlight) {
      step(RequestReceived{++lastRequest,
                           {"GET", "/all?q=x", {{"limeramp-tenant", "t"}, {"accept", "application/json"}}, "", ""},
                           false,
                           std::nullopt});
    }
    arriveUs += spentUs;
    now += Ms(8);
    std::size_t sinceTick = 0;
    while (!sent.empty()) {
      SendRequest const out = std::move(sent.front());
      sent.pop_front();
      std::string const body = shardResultBody(*net::findHeader(out.content.headers, "limeramp-shard"),
                                               *net::findHeader(out.content.headers, "limeramp-request"), 10);
      spentUs = 0;
      step(ExchangeFinished{out.attempt,
                            {net::Answer{200, {{"content-type", "application/json"}}, body}, retry::Verdict::ran, ""}});
      while (!parses.empty()) {
        ParseShardResult const parse = std::move(parses.front());
        parses.pop_front();
        step(ShardResultParsed{parse.attempt, dispatch::parseShardResult(parse.body, parse.expected, parse.resultSize),
                               parse.load});
      }
      answerUs += spentUs;
      ++exchanges;
      if (++sinceTick >= std::max<std::size_t>(1, shards * 4 / 5)) {
        sinceTick = 0;
        spentUs = 0;
        step(Tick{});
        tickUs += spentUs;
        ++ticks;
      }
    }
    spentUs = 0;
    while (!mergeEffects.empty()) {
      MergeShardResults const merge = std::move(mergeEffects.front());
      mergeEffects.pop_front();
      step(MergeFinished{merge.request, dispatch::mergeShardResults(merge.shardResults, merge.resultSize)});
    }
    answerUs += spentUs;
  }
  if (replies != rounds * inFlight) {
    std::fprintf(stderr, "%zu of %zu queries answered\n", replies, rounds * inFlight);
  }
  addSample("decisions at arrival, for one exchange", parameters, "us", arriveUs / exchanges);
  addSample("decisions at answer, for one exchange", parameters, "us", answerUs / exchanges);
  addSample("one round of the timer", parameters, "us", tickUs / std::max(1.0, ticks));
}

// Servers answer within 5.6 to 10.4 ms, one answer in a thousand 100 ms later. One gateway sends 200 queries a second
// and wants the answers of all shards.
void measureTailLatency(std::size_t shards, double budgetDepth, std::uint64_t seed) {
  simulator::SimulatedNetwork network(seed);
  dispatch::Dispatcher dispatcher(dispatch::DispatchOptions{});
  std::vector<std::string> names;
  std::map<std::uint64_t, retry::TimePoint> arrivedAt;
  Values tookMs;
  std::size_t answered = 0;
  std::size_t complete = 0;
  std::size_t missing = 0;
  std::function<void(dispatch::DispatchEvent const&)> step = [&](dispatch::DispatchEvent const& event) {
    for (dispatch::DispatchEffect const& effect : dispatcher.step(network.now(), event)) {
      if (dispatch::SendAttempt const* const send = std::get_if<dispatch::SendAttempt>(&effect)) {
        std::chrono::microseconds const wait(5'600 + network.roll(4'800) + (network.roll(1000) == 0 ? 100'000 : 0));
        std::uint64_t const attempt = send->attempt;
        network.after(wait, [&step, attempt] {
          step(dispatch::AttemptFinished{attempt, true, true, retry::Verdict::ran, {}});
        });
      } else if (dispatch::FinishRequest const* const finish = std::get_if<dispatch::FinishRequest>(&effect)) {
        std::map<std::uint64_t, retry::TimePoint>::iterator const found = arrivedAt.find(finish->request);
        if (found == arrivedAt.end()) {
          continue;
        }
        ++answered;
        complete += finish->outcome == dispatch::RequestOutcome::complete ? 1 : 0;
        missing += finish->missing.size();
        tookMs.push_back(std::chrono::duration<double, std::milli>(network.now() - found->second).count());
      }
    }
  };
  step(dispatch::FleetPosition{1300, 0, budgetDepth});
  for (std::size_t index = 0; index < shards; ++index) {
    names.push_back("p" + std::to_string(index));
    dispatch::ServersUpdated servers{names.back(), {}};
    for (std::size_t number = 0; number < 5; ++number) {
      dispatch::ServerEndpoint row;
      row.address = names.back() + "-" + std::to_string(number);
      servers.rows.push_back(row);
    }
    step(servers);
  }
  std::uint64_t const warmUpRequests = 100;
  std::uint64_t const totalRequests = 400;
  for (std::uint64_t request = 1; request <= totalRequests; ++request) {
    if (request > warmUpRequests) {
      arrivedAt[request] = network.now();
    }
    step(dispatch::RequestArrived{request, "t", names, shards / 2, 2, true, network.now() + Ms(66)});
    retry::TimePoint const next = network.now() + std::chrono::microseconds(1 + network.roll(10'000));
    while (network.now() < next) {
      network.runUntil(std::min(next, network.now() + Ms(4)));
      step(dispatch::Tick{});
    }
  }
  for (int round = 0; round < 40; ++round) {
    network.runUntil(network.now() + Ms(4));
    step(dispatch::Tick{});
  }
  std::sort(tookMs.begin(), tookMs.end());
  std::map<std::string, double> const parameters{{"shards", static_cast<double>(shards)},
                                                 {"budget_depth", budgetDepth}};
  double const count = static_cast<double>(std::max<std::size_t>(1, answered));
  addSample("queries with all shards within 66 ms", parameters, "%", 100 * static_cast<double>(complete) / count);
  addSample("shards missing in a query", parameters, "", static_cast<double>(missing) / count);
  addSample("half of the queries answered within", parameters, "ms", tookMs[tookMs.size() / 2]);
  addSample("99 in 100 answered within", parameters, "ms", tookMs[tookMs.size() * 99 / 100]);
  addSample("extra attempts for a first one", parameters, "%",
            100 * static_cast<double>(dispatcher.counters().hedgedAttempts) /
                static_cast<double>(dispatcher.counters().attempts));
}

struct ExchangeProgress {
  std::mutex mutex;
  std::condition_variable changed;
  std::size_t finished = 0;
  std::size_t answered = 0;
  std::vector<net::Responder> heldResponders;
};

void measureExchanges(std::size_t wanted) {
  net::Network network;
  net::Network serverNetwork;
  std::string error;
  std::string const body = shardResultBody("p0", "r", 10);
  std::unique_ptr<net::HttpServer> const server = net::HttpServer::listen(
      serverNetwork, *net::Address::parse("127.0.0.1:0"), {},
      [&body](net::Request const&, net::Responder respond) {
        respond({200, {{"content-type", "application/json"}, {"limeramp-load", "0.3"}}, body});
      },
      error);
  net::HttpClient client(network, {});
  net::Address const address = server->address();
  ExchangeProgress progress;
  std::function<void(std::size_t)> const runExchanges = [&](std::size_t count) {
    std::size_t begun = 0;
    std::unique_lock<std::mutex> lock(progress.mutex);
    progress.finished = 0;
    while (progress.finished < count) {
      while (begun < count && begun - progress.finished < 16) {
        ++begun;
        lock.unlock();
        client.begin(begun, address,
                     {"GET",
                      "/all?q=x",
                      {{"limeramp-tenant", "t"},
                       {"limeramp-request", "m1-5-1"},
                       {"limeramp-shard", "p0"},
                       {"limeramp-deadline-ms", "500"},
                       {"limeramp-version", "1.1"}},
                      "",
                      ""},
                     std::chrono::steady_clock::now() + std::chrono::seconds(5),
                     [&progress](net::Exchange const& exchange) {
                       std::unique_lock<std::mutex> const guard(progress.mutex);
                       ++progress.finished;
                       progress.answered += exchange.answer ? 1 : 0;
                       progress.changed.notify_one();
                     });
        lock.lock();
      }
      std::size_t const seen = progress.finished;
      progress.changed.wait(lock, [&] { return progress.finished > seen || progress.finished == count; });
    }
  };
  runExchanges(200);
  double const from = processCpuUs();
  runExchanges(wanted);
  addSample("one exchange over loopback, both ends", {{"exchanges", static_cast<double>(wanted)}}, "us",
            (processCpuUs() - from) / static_cast<double>(wanted));
  if (progress.answered != wanted + 200) {
    std::fprintf(stderr, "%zu of %zu exchanges answered\n", progress.answered, wanted + 200);
  }
  network.stop();
  serverNetwork.stop();
}

void measureConnections(std::size_t wanted) {
  net::Network network;
  net::Network serverNetwork;
  std::string error;
  ExchangeProgress progress;
  std::unique_ptr<net::HttpServer> const server = net::HttpServer::listen(
      serverNetwork, *net::Address::parse("127.0.0.1:0"), {},
      [&progress](net::Request const&, net::Responder respond) {
        std::unique_lock<std::mutex> const guard(progress.mutex);
        progress.heldResponders.push_back(std::move(respond));
        progress.changed.notify_one();
      },
      error);
  net::HttpClient client(network, {64 << 10, wanted, Ms(60'000)});
  double const residentBefore = residentBytes();
  double const descriptorsBefore = openDescriptors();
  for (std::size_t index = 1; index <= wanted; ++index) {
    client.begin(index, server->address(), {"GET", "/", {}, "", ""},
                 std::chrono::steady_clock::now() + std::chrono::seconds(30),
                 [&progress](net::Exchange const& exchange) {
                   std::unique_lock<std::mutex> const guard(progress.mutex);
                   ++progress.finished;
                   progress.answered += exchange.answer ? 1 : 0;
                   progress.changed.notify_one();
                 });
  }
  std::unique_lock<std::mutex> lock(progress.mutex);
  progress.changed.wait(lock, [&] { return progress.heldResponders.size() == wanted; });
  double const count = static_cast<double>(wanted);
  addSample("memory for a connection, both ends, an exchange under way", {{"connections", count}}, "bytes",
            (residentBytes() - residentBefore) / count);
  addSample("descriptors for a connection, both ends", {{"connections", count}}, "",
            (openDescriptors() - descriptorsBefore) / count);
  std::vector<net::Responder> const heldResponders = std::move(progress.heldResponders);
  lock.unlock();
  for (net::Responder const& respond : heldResponders) {
    respond({200, {}, "x"});
  }
  lock.lock();
  progress.changed.wait(lock, [&] { return progress.finished == wanted; });
  lock.unlock();
  addSample("memory for a connection, both ends, idle", {{"connections", count}}, "bytes",
            (residentBytes() - residentBefore) / count);
  network.stop();
  serverNetwork.stop();
}

messages::State stateOf(std::size_t nodes, std::size_t documentBytes) {
  messages::State state;
  state.epoch = 3;
  state.sequence = 400;
  state.document = std::string(documentBytes, 'd');
  for (std::size_t index = 0; index < nodes; ++index) {
    state.roster.push_back({"m" + std::to_string(1000 + index),
                            "10.1." + std::to_string(index / 100) + "." + std::to_string(index % 100) + ":7000",
                            "z" + std::to_string(index % 18), index});
  }
  state.priorRoster = state.roster;
  for (std::size_t index = 0; index < 256; ++index) {
    state.receipts.push_back(
        {"change-" + std::to_string(100'000 + index), 3, 100 + index, "1234567890123456789/81000/whole"});
  }
  return state;
}

void measureState(std::size_t nodes) {
  std::map<std::string, double> const parameters{{"nodes", static_cast<double>(nodes)}};
  messages::StateResponse response;
  response.node = "m1000";
  response.state = stateOf(nodes, 80'000);
  double const from = threadCpuUs();
  std::string encoded;
  for (int round = 0; round < 5; ++round) {
    encoded = messages::encodeEnvelope({"fleet", "m1000", "10.1.0.1:7000", response});
  }
  double const between = threadCpuUs();
  for (int round = 0; round < 5; ++round) {
    absl::StatusOr<messages::PeerMessage> const received = messages::decodeEnvelope(encoded);
    if (!received.ok()) {
      std::fprintf(stderr, "the snapshot does not decode\n");
    }
  }
  addSample("snapshot sealed, 80,000 bytes of configuration", parameters, "us", (between - from) / 5);
  addSample("snapshot unsealed", parameters, "us", (threadCpuUs() - between) / 5);
  addSample("size of a snapshot", parameters, "bytes", static_cast<double>(encoded.size()));
  double const heapBefore = heapBytes();
  std::deque<messages::State> const copies(8, *response.state);
  addSample("memory for the state in a node", parameters, "bytes",
            (heapBytes() - heapBefore) / static_cast<double>(copies.size()));
}

void measureStateRequest(std::size_t followers) {
  std::map<std::string, double> const parameters{{"followers", static_cast<double>(followers)}};
  messages::StateRequest request;
  request.token = 1'234'567;
  request.self = {"m1000", "10.1.0.1:7000", "z1", 3, 400};
  request.peerStatuses.push_back({"m1000", 1'234'567'890'123, false, {}});
  for (std::size_t index = 0; index < followers; ++index) {
    std::string const name = "m" + std::to_string(1001 + index);
    request.followers.push_back({name, "10.1.0." + std::to_string(index + 2) + ":7000", "z1", 3, 400});
    request.peerStatuses.push_back({name, 1'234'567'890'123 + index, false, {}});
  }
  double const from = threadCpuUs();
  std::string encoded;
  for (int round = 0; round < 50; ++round) {
    encoded = messages::encodeEnvelope({"fleet", "m1000", "10.1.0.1:7000", request});
  }
  double const between = threadCpuUs();
  for (int round = 0; round < 50; ++round) {
    absl::StatusOr<messages::PeerMessage> const received = messages::decodeEnvelope(encoded);
    if (!received.ok()) {
      std::fprintf(stderr, "the state request does not decode\n");
    }
  }
  addSample("size of a home's poll", parameters, "bytes", static_cast<double>(encoded.size()));
  addSample("home's poll sealed", parameters, "us", (between - from) / 50);
  addSample("home's poll unsealed", parameters, "us", (threadCpuUs() - between) / 50);
}

std::string documentOf(std::size_t shards, std::size_t routes) {
  std::string services;
  std::string searches;
  std::string routeEntries;
  for (std::size_t index = 0; index < shards; ++index) {
    std::string const name = "\"p" + std::to_string(index) + "\"";
    services += (index == 0 ? "" : ",") + name + ":{\"capacity\":50}";
    std::size_t const inSearch = index % 60;
    searches += inSearch == 0 ? std::string(index == 0 ? "" : "]},") + "\"s" + std::to_string(index) +
                                    "\":{\"tenant\":\"t\",\"prefix\":\"/s" + std::to_string(index) +
                                    "\",\"result_size\":10,\"minimum_shards\":1,\"shards\":["
                              : ",";
    searches += "{\"service\":" + name + ",\"cut\":\"c1\"}";
  }
  for (std::size_t index = 0; index < routes; ++index) {
    routeEntries += std::string(index == 0 ? "" : ",") + "\"r" + std::to_string(index) +
                    "\":{\"tenant\":\"t\",\"prefix\":\"/r" + std::to_string(index) + "\",\"service\":\"p0\"}";
  }
  return "{\"services\":{" + services + "},\"searches\":{" + searches + "]}},\"routes\":{" + routeEntries + "}}";
}

void measureConfiguration(std::size_t shards, std::size_t routes) {
  std::map<std::string, double> const parameters{{"shards", static_cast<double>(shards)},
                                                 {"routes", static_cast<double>(routes)}};
  std::string const text = documentOf(shards, routes);
  double const heapBefore = heapBytes();
  double const from = threadCpuUs();
  std::optional<config::Configuration> configuration;
  {
    config::CheckedConfiguration checked = config::checkConfiguration(*config::parseJson(text));
    if (!checked.configuration) {
      std::fprintf(stderr, "configuration rejected: %s %s\n", checked.problems.front().path.c_str(),
                   checked.problems.front().reason.c_str());
      return;
    }
    configuration = std::move(checked.configuration);
  }
  addSample("configuration read and checked", parameters, "us", threadCpuUs() - from);
  addSample("size of the configuration", parameters, "bytes", static_cast<double>(text.size()));
  addSample("memory for the configuration in a node, text left out", parameters, "bytes", heapBytes() - heapBefore);
}

void measureServerList(std::size_t servers) {
  std::map<std::string, double> const parameters{{"servers", static_cast<double>(servers)}};
  std::string text = "{\"servers\":[";
  for (std::size_t index = 0; index < servers; ++index) {
    text += std::string(index == 0 ? "" : ",") + "{\"address\":\"10.200." + std::to_string(index / 200) + "." +
            std::to_string(index % 200 + 1) + ":9000\",\"service\":\"p" + std::to_string(index % 1200) +
            "\",\"zone\":\"z" + std::to_string(index % 18) + "\",\"capacity\":50,\"leaving\":false}";
  }
  text += "]}";
  double const from = threadCpuUs();
  absl::StatusOr<discovery::List> const list = discovery::readList(text);
  addSample("list of servers read", parameters, "us", threadCpuUs() - from);
  addSample("size of the list of servers", parameters, "bytes", static_cast<double>(text.size()));
  if (!list.ok() || list->rows != servers) {
    std::fprintf(stderr, "the list of servers does not parse\n");
  }
}

void measurePeerViews() {
  double const heapBefore = heapBytes();
  distribution::PeerViews views({}, {"m0", "10.0.0.1:7000", "z1", messages::gatewayRole, 1, 0}, {"10.0.0.2:7000"}, 7);
  messages::Shuffle shuffle{true, {}};
  for (std::size_t index = 1; index <= 32; ++index) {
    shuffle.peers.push_back({"m" + std::to_string(index), "10.1.0." + std::to_string(index) + ":7000", "z1",
                             messages::gatewayRole, 1'234'567'890'123, 100});
  }
  views.onMessage(distribution::TimePoint(std::chrono::hours(1)), "m1", "10.1.0.1:7000", shuffle);
  double const after = heapBytes() - heapBefore;
  addSample("memory for a known node in a view", {{"peers", 32}}, "bytes", after / 32);
}

std::string report(std::uint64_t rounds) {
  std::ostringstream out;
  out << "{\"rounds\":" << rounds << ",\"rows\":[";
  for (std::size_t index = 0; index < rows.size(); ++index) {
    Row& row = rows[index];
    std::sort(row.values.begin(), row.values.end());
    out << (index == 0 ? "\n" : ",\n") << "{\"what\":\"" << row.label << "\",\"at\":{";
    bool first = true;
    for (std::pair<std::string const, double> const& entry : row.parameters) {
      out << (first ? "" : ",") << "\"" << entry.first << "\":" << entry.second;
      first = false;
    }
    out << "},\"unit\":\"" << row.unit << "\",\"least\":" << row.values.front()
        << ",\"median\":" << row.values[row.values.size() / 2] << ",\"most\":" << row.values.back() << "}";
  }
  out << "]}";
  return out.str();
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("cost_benchmark",
                           "processor time, memory and bytes of one exchange, part, message, snapshot");
  options.add_options()("rounds", "", cxxopts::value<std::uint64_t>()->default_value("5"))(
      "only", "parts, queries, tail, exchanges, connections, control; empty for all",
      cxxopts::value<std::string>()->default_value(""))(
      "exchanges", "", cxxopts::value<std::size_t>()->default_value("20000"))("help", "");
  cxxopts::ParseResult const flags = options.parse(argc, argv);
  if (flags.count("help") > 0) {
    std::cout << options.help();
    return 0;
  }
  std::string const only = flags["only"].as<std::string>();
  std::uint64_t const rounds = flags["rounds"].as<std::uint64_t>();
  for (std::uint64_t round = 0; round < rounds; ++round) {
    measureReferenceHash();
    if (round == 0 && (only.empty() || only == "connections")) {
      measureConnections(900);
    }
    for (std::size_t const shards : {4, 12, 40, 120, 400, 1200}) {
      if (only.empty() || only == "parts") {
        measureShardResults(shards);
      }
      if (only.empty() || only == "queries") {
        measureQueries(shards, 4, std::max<std::size_t>(1, 800 / shards));
      }
    }
    for (std::size_t const shards : {4, 40, 400, 1200}) {
      for (double const budgetDepth : {0.0, 3.0}) {
        if (only.empty() || only == "tail") {
          measureTailLatency(shards, budgetDepth, round + 1);
        }
      }
    }
    if (only.empty() || only == "exchanges") {
      measureExchanges(flags["exchanges"].as<std::size_t>());
    }
    if (only.empty() || only == "control") {
      for (std::size_t const nodes : {50, 100, 200, 400, 650, 1300}) {
        measureState(nodes);
      }
      for (std::size_t const followers : {0, 6, 18, 36, 72}) {
        measureStateRequest(followers);
      }
      for (std::size_t const shards : {60, 120, 240, 480, 960}) {
        measureConfiguration(shards, 1);
      }
      for (std::size_t const routes : {10, 100, 900}) {
        measureConfiguration(60, routes);
      }
      for (std::size_t const servers : {500, 1000, 2000, 4000, 6700}) {
        measureServerList(servers);
      }
      measurePeerViews();
    }
  }
  std::cout << report(rounds) << "\n";
  return 0;
}
