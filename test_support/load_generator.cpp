#include "limeramp/config/reader.h"
#include "limeramp/net/http.h"
#include "message_sizes.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <thread>

namespace {

using namespace limeramp;
using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

struct PlannedCall {
  std::string name;
  std::string tenant;
  std::string path;
  std::string method = "GET";
  bool search = false;
  std::size_t resultSize = 0;
  std::size_t shards = 0;
  std::size_t minimum = 0;
  std::size_t records = 20;
  std::size_t bodyBytes = 0;
  double share = 1;
  long minMs = 250;
  long maxMs = 500;
};

struct Gateway {
  net::Address address;
  bool ready = false;
};

struct Tally {
  std::map<std::string, std::uint64_t> counts;
  std::vector<double> searchMs;
  std::vector<double> forwardMs;
  std::uint64_t missing = 0;
};

struct LoadRun {
  std::mutex mutex;
  std::condition_variable changed;
  std::vector<Gateway> gateways;
  std::vector<PlannedCall> calls;
  std::ofstream log;
  Tally tally;
  std::vector<std::string> wrongAnswers;
  std::size_t inFlight = 0;
  double retryShare = 0;
  /// Callers keep using a node until its process has ended, whatever its readiness endpoint answers.
  bool keepsToNode = false;
  std::uint64_t lastId = 0;
  std::uint64_t seed = 1;
  std::string name;
  std::mt19937_64 random;
};

std::string checkSearchAnswer(PlannedCall const& call, std::string const& target, net::Answer const& answer,
                              std::string& stamps, std::uint64_t& missing) {
  absl::StatusOr<picojson::value> const parsed = config::parseJson(answer.body);
  if (!parsed.ok() || !parsed->is<picojson::object>()) {
    return "the answer is not JSON";
  }
  picojson::value const& body = *parsed;
  if (!body.get("records").is<picojson::array>() || !body.get("stamps").is<picojson::array>() ||
      !body.get("missing").is<double>()) {
    return "the answer lacks a field";
  }
  std::set<std::string> shards;
  for (picojson::value const& stamp : body.get("stamps").get<picojson::array>()) {
    std::string const shard = stamp.get("shard").to_str();
    if (!shards.insert(shard).second) {
      return "shard " + shard + " is listed twice";
    }
    stamps += (stamps.empty() ? "" : ",") + shard + "=" + stamp.get("cut").to_str();
  }
  missing = static_cast<std::uint64_t>(body.get("missing").get<double>());
  if (shards.size() + missing != call.shards) {
    return "parts and missing shards do not add up";
  }
  if (shards.size() < call.minimum) {
    return "success with too few shards";
  }
  std::vector<std::string> expected;
  for (std::string const& shard : shards) {
    for (std::size_t index = 0; index < call.records; ++index) {
      expected.push_back(test_support::recordOf(target, shard, index));
    }
  }
  std::sort(expected.rbegin(), expected.rend());
  expected.resize(std::min(expected.size(), call.resultSize));
  std::vector<std::string> got;
  for (picojson::value const& record : body.get("records").get<picojson::array>()) {
    got.push_back(record.to_str());
  }
  return got == expected ? "" : "the records are not the greatest of the parts";
}

std::string checkForwardAnswer(std::string const& id, std::string const& target, PlannedCall const& call,
                               net::Answer const& answer) {
  absl::StatusOr<picojson::value> const parsed = config::parseJson(answer.body);
  if (!parsed.ok() || !parsed->is<picojson::object>()) {
    return "success that is not the server's answer";
  }
  if (parsed->get("caller").to_str() != id || parsed->get("target").to_str() != target ||
      parsed->get("method").to_str() != call.method ||
      parsed->get("bytes").to_str() != picojson::value(static_cast<double>(call.bodyBytes)).to_str()) {
    return "somebody else's answer";
  }
  return "";
}

void sendCall(LoadRun& run, net::HttpClient& client, PlannedCall const& call, int retriesLeft) {
  std::unique_lock<std::mutex> lock(run.mutex);
  std::vector<std::size_t> readyGateways;
  for (std::size_t index = 0; index < run.gateways.size(); ++index) {
    if (run.gateways[index].ready) {
      readyGateways.push_back(index);
    }
  }
  if (readyGateways.empty()) {
    ++run.tally.counts["no ready node"];
    return;
  }
  net::Address const gateway = run.gateways[readyGateways[run.random() % readyGateways.size()]].address;
  std::uint64_t const number = ++run.lastId;
  long const deadlineMs =
      call.minMs + static_cast<long>(run.random() % static_cast<std::uint64_t>(call.maxMs - call.minMs + 1));
  std::string const id = run.name + "-" + std::to_string(number);
  net::Request request;
  request.method = call.method;
  request.target = call.path + "/" + std::to_string(run.random() % 100'000) + "?q=" + std::to_string(number);
  request.headers = {{"limeramp-tenant", call.tenant},
                     {"limeramp-deadline-ms", std::to_string(deadlineMs)},
                     {"load_generator-id", id}};
  request.body = std::string(call.bodyBytes, 'b');
  std::string const target = request.target;
  ++run.inFlight;
  lock.unlock();
  Clock::time_point const startedAt = Clock::now();
  client.begin(
      number, gateway, std::move(request), startedAt + Ms(deadlineMs + 1000),
      [&run, &client, call, id, target, startedAt, deadlineMs, gateway, retriesLeft](net::Exchange const& exchange) {
        double const tookMs = std::chrono::duration<double, std::milli>(Clock::now() - startedAt).count();
        std::string verdict = exchange.answer
                                  ? net::findHeader(exchange.answer->headers, "limeramp-verdict").value_or("-")
                                  : std::string("unheard/") + std::string(retry::nameOf(exchange.verdict));
        std::string const version =
            exchange.answer ? net::findHeader(exchange.answer->headers, "limeramp-version").value_or("-") : "-";
        int const status = exchange.answer ? exchange.answer->status : 0;
        std::string mismatch;
        std::string stamps;
        std::uint64_t missing = 0;
        if (status == 200) {
          mismatch = call.search ? checkSearchAnswer(call, target, *exchange.answer, stamps, missing)
                                 : checkForwardAnswer(id, target, call, *exchange.answer);
        }
        std::unique_lock<std::mutex> inner(run.mutex);
        std::string const kind = call.search ? "search " : "forward ";
        ++run.tally.counts[kind + (status == 0 ? verdict : std::to_string(status) + " " + verdict)];
        if (tookMs > static_cast<double>(deadlineMs) + 50) {
          ++run.tally.counts[kind + "later than its deadline by over 50 ms"];
        }
        if (status == 200) {
          (call.search ? run.tally.searchMs : run.tally.forwardMs).push_back(tookMs);
          run.tally.missing += missing;
          run.tally.counts["searches with missing shards"] += missing > 0 ? 1 : 0;
        }
        if (!mismatch.empty()) {
          run.wrongAnswers.push_back(id + ": " + mismatch);
        }
        run.log << std::chrono::duration_cast<std::chrono::microseconds>(startedAt.time_since_epoch()).count() << '\t'
                << id << '\t' << call.name << '\t' << (call.search ? "search" : "forward") << '\t' << status << '\t'
                << verdict << '\t' << version << '\t' << stamps << '\t' << missing << '\t' << tookMs << '\t'
                << deadlineMs << '\t' << gateway.text() << '\t' << mismatch << '\n';
        bool const retry = retriesLeft > 0 && status == 503 &&
                           std::uniform_real_distribution<double>(0, 1)(run.random) < run.retryShare;
        inner.unlock();
        if (retry) {
          sendCall(run, client, call, retriesLeft - 1);
        }
        inner.lock();
        --run.inFlight;
        run.changed.notify_all();
      });
}

double quantile(std::vector<double> values, double share) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("load_generator", "sends a bounded load over loopback and checks each answer");
  options.add_options()("plan", "JSON file with the fields gates and errands", cxxopts::value<std::string>())(
      "rate", "requests a second", cxxopts::value<double>()->default_value("50"))(
      "seconds", "length", cxxopts::value<double>()->default_value("10"))(
      "seed", "seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "impatience", "share of rejected requests that are retried at once",
      cxxopts::value<double>()->default_value("0.3"))(
      "stays", "callers keep using a node until its process has ended, whatever its readiness endpoint answers")(
      "log", "file that receives a line for each request", cxxopts::value<std::string>())("help", "this text");
  try {
    cxxopts::ParseResult const flags = options.parse(argc, argv);
    if (flags.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    std::ifstream file(flags["plan"].as<std::string>());
    std::stringstream text;
    text << file.rdbuf();
    absl::StatusOr<picojson::value> const plan = config::parseJson(text.str());
    if (!plan.ok()) {
      std::cerr << "load_generator: " << plan.status().message() << '\n';
      return 2;
    }
    LoadRun run;
    run.seed = flags["seed"].as<std::uint64_t>();
    run.random.seed(run.seed);
    run.retryShare = flags["impatience"].as<double>();
    run.keepsToNode = flags.count("stays") > 0;
    run.log.open(flags["log"].as<std::string>(), std::ios::app);
    run.name = "s" + std::to_string(Clock::now().time_since_epoch() / std::chrono::microseconds(1) % 1'000'000'000);
    std::vector<config::Problem> problems;
    config::Reader reader(*plan, "", problems);
    for (std::string const& gateway : reader.texts("gates", 100)) {
      std::optional<net::Address> const address = net::Address::parse(gateway);
      if (!address || !address->host.starts_with("127.")) {
        problems.push_back({"/gates", gateway + " is not on loopback"});
      } else {
        run.gateways.push_back({*address, false});
      }
    }
    reader.eachItem("errands", 1, 50, [&](config::Reader& inner) {
      PlannedCall call;
      call.name = inner.text("name", std::nullopt);
      call.tenant = inner.text("tenant", std::nullopt);
      call.path = inner.text("path", std::nullopt);
      call.method = inner.text("method", "GET");
      call.search = inner.flag("search", false);
      call.resultSize = inner.integer("result_size", 10, 1, 10'000);
      call.shards = inner.integer("shards", 4, 1, 64);
      call.minimum = inner.integer("minimum", 1, 1, 64);
      call.records = inner.integer("records", 20, 1, 10'000);
      call.bodyBytes = inner.integer("body_bytes", 0, 0, 100'000);
      call.share = inner.number("share", 1.0, 0, 1000);
      call.minMs = static_cast<long>(inner.integer("least_ms", 250, 1, 60'000));
      call.maxMs = static_cast<long>(inner.integer("most_ms", 500, 1, 60'000));
      run.calls.push_back(std::move(call));
    });
    reader.rejectUnknown();
    if (!problems.empty()) {
      std::cerr << "load_generator: " << problems.front().path << ": " << problems.front().reason << '\n';
      return 2;
    }
    double const rate = std::min(5000.0, flags["rate"].as<double>());
    double const seconds = std::min(3600.0, flags["seconds"].as<double>());
    net::Network network;
    net::HttpClient client(network, {4 << 20, 64, Ms(1000)});
    net::HttpClient probeClient(network, {1 << 16, 1, Ms(5000)});
    std::atomic<bool> ended{false};
    std::thread readinessThread([&] {
      std::uint64_t number = 0;
      while (!ended) {
        for (std::size_t index = 0; index < run.gateways.size(); ++index) {
          net::Request request{"GET", "/limeramp/ready", {}, "", ""};
          probeClient.begin(++number, run.gateways[index].address, request, Clock::now() + Ms(700),
                            [&run, index](net::Exchange const& exchange) {
                              std::unique_lock<std::mutex> const lock(run.mutex);
                              run.gateways[index].ready =
                                  exchange.answer && (run.keepsToNode || exchange.answer->status == 200);
                            });
        }
        std::this_thread::sleep_for(Ms(1000));
      }
    });
    std::this_thread::sleep_for(Ms(800));
    std::vector<double> shares;
    for (PlannedCall const& call : run.calls) {
      shares.push_back(call.share);
    }
    std::discrete_distribution<std::size_t> chooseCall(shares.begin(), shares.end());
    std::mt19937_64 random(run.seed);
    std::exponential_distribution<double> interval(rate);
    Clock::time_point const start = Clock::now();
    double at = 0;
    std::uint64_t sentCalls = 0;
    while ((at += interval(random)) < seconds) {
      std::this_thread::sleep_until(start + std::chrono::microseconds(static_cast<long>(at * 1e6)));
      sendCall(run, client, run.calls[chooseCall(random)], 3);
      ++sentCalls;
    }
    {
      std::unique_lock<std::mutex> lock(run.mutex);
      run.changed.wait_for(lock, std::chrono::seconds(10), [&] { return run.inFlight == 0; });
    }
    ended = true;
    readinessThread.join();
    network.stop();
    run.log.flush();
    std::printf("launched %llu in %.0f s, rate %.0f, seed %llu\n", static_cast<unsigned long long>(sentCalls), seconds,
                rate, static_cast<unsigned long long>(run.seed));
    for (std::pair<std::string const, std::uint64_t> const& entry : run.tally.counts) {
      std::printf("%8llu  %s\n", static_cast<unsigned long long>(entry.second), entry.first.c_str());
    }
    for (std::pair<char const*, std::vector<double> const*> const& entry :
         {std::pair<char const*, std::vector<double> const*>("search", &run.tally.searchMs),
          std::pair<char const*, std::vector<double> const*>("forward", &run.tally.forwardMs)}) {
      std::printf("%s ms: p50 %.1f p95 %.1f p99 %.1f max %.1f of %zu\n", entry.first, quantile(*entry.second, 0.5),
                  quantile(*entry.second, 0.95), quantile(*entry.second, 0.99), quantile(*entry.second, 1),
                  entry.second->size());
    }
    std::printf("missing shards %llu\nwrong answers %zu\n", static_cast<unsigned long long>(run.tally.missing),
                run.wrongAnswers.size());
    for (std::size_t index = 0; index < std::min<std::size_t>(10, run.wrongAnswers.size()); ++index) {
      std::printf("  %s\n", run.wrongAnswers[index].c_str());
    }
    return run.wrongAnswers.empty() ? 0 : 1;
  } catch (cxxopts::exceptions::exception const& error) {
    std::cerr << "load_generator: " << error.what() << '\n';
    return 2;
  }
}
