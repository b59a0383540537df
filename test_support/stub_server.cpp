#include "limeramp/config/json.h"
#include "limeramp/net/http.h"
#include "message_sizes.h"
#include "stub_program.h"

#include <cxxopts.hpp>

#include <cmath>
#include <condition_variable>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <mutex>
#include <queue>
#include <random>
#include <thread>

namespace {

using namespace limeramp;
using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

/// How the server answers; the control request changes it.
struct Behavior {
  double latencyMs = 8;
  double jitterMs = 6;
  double garbageShare = 0;
  double failShare = 0;
  double silentShare = 0;
  Clock::time_point pausedUntil{};
  /// If positive, requests are served one after another at the rate of the capacity.
  double serial = 0;
  Clock::time_point busyUntil{};
};

struct DelayedTask {
  Clock::time_point at;
  std::uint64_t order = 0;
  std::function<void()> work;
  bool operator<(DelayedTask const& other) const { return at != other.at ? at > other.at : order > other.order; }
};

/// Runs tasks at their due times on a thread of its own.
class DelayQueue {
 public:
  DelayQueue() : thread_([this] { run(); }) {}
  ~DelayQueue() {
    {
      std::unique_lock<std::mutex> const lock(mutex_);
      stopped_ = true;
    }
    changed_.notify_all();
    thread_.join();
  }
  void schedule(Clock::time_point when, std::function<void()> work) {
    {
      std::unique_lock<std::mutex> const lock(mutex_);
      queue_.push({when, ++order_, std::move(work)});
    }
    changed_.notify_all();
  }

 private:
  void run() {
    std::unique_lock<std::mutex> lock(mutex_);
    while (!stopped_) {
      if (queue_.empty()) {
        changed_.wait(lock);
        continue;
      }
      Clock::time_point const next = queue_.top().at;
      if (Clock::now() < next) {
        changed_.wait_until(lock, next);
        continue;
      }
      std::function<void()> const work = queue_.top().work;
      queue_.pop();
      lock.unlock();
      work();
      lock.lock();
    }
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::priority_queue<DelayedTask> queue_;
  std::uint64_t order_ = 0;
  bool stopped_ = false;
  std::thread thread_;
};

std::string quoteJson(std::string const& text) { return picojson::value(text).serialize(); }

struct StubServer {
  std::string address;
  std::string service;
  std::string cut;
  std::string mode;
  double capacity = 0;
  std::size_t records = 20;
  std::mutex mutex;
  Behavior behavior;
  std::mt19937_64 random;
  std::ofstream log;
  Clock::time_point startedAt = Clock::now();
  double arrivalLevel = 0;
  Clock::time_point arrivalLevelAt = Clock::now();
  std::uint64_t arrivals = 0;
  DelayQueue delays;

  void serve(net::Request request, net::Responder respond);
  net::Answer changeBehavior(net::Request const& request);
  net::Answer shardResult(net::Request const& request, std::string const& id, std::string const& shard);
};

net::Answer StubServer::changeBehavior(net::Request const& request) {
  absl::StatusOr<picojson::value> const parsed = config::parseJson(request.body);
  if (!parsed.ok() || !parsed->is<picojson::object>()) {
    return {400, {}, "not an object\n"};
  }
  std::unique_lock<std::mutex> const lock(mutex);
  for (std::pair<std::string const, picojson::value> const& entry : parsed->get<picojson::object>()) {
    if (entry.first == "cut" && entry.second.is<std::string>()) {
      cut = entry.second.get<std::string>();
    } else if (!entry.second.is<double>()) {
      return {400, {}, entry.first + " is not a number\n"};
    } else if (entry.first == "latency_ms") {
      behavior.latencyMs = entry.second.get<double>();
    } else if (entry.first == "jitter_ms") {
      behavior.jitterMs = entry.second.get<double>();
    } else if (entry.first == "garbage") {
      behavior.garbageShare = entry.second.get<double>();
    } else if (entry.first == "fail") {
      behavior.failShare = entry.second.get<double>();
    } else if (entry.first == "silent") {
      behavior.silentShare = entry.second.get<double>();
    } else if (entry.first == "serial") {
      behavior.serial = entry.second.get<double>();
    } else if (entry.first == "capacity") {
      capacity = entry.second.get<double>();
    } else if (entry.first == "pause_ms") {
      behavior.pausedUntil = Clock::now() + Ms(static_cast<long>(entry.second.get<double>()));
    } else {
      return {400, {}, entry.first + " is not known\n"};
    }
  }
  return {200, {}, "{\"arrivals\":" + std::to_string(arrivals) + "}\n"};
}

net::Answer StubServer::shardResult(net::Request const& request, std::string const& id, std::string const& shard) {
  net::Answer answer;
  answer.headers.emplace_back("content-type", "application/json");
  std::string body = "{\"stamp\":{\"shard\":" + quoteJson(shard) + ",\"cut\":" + quoteJson(cut) +
                     ",\"request\":" + quoteJson(id) + "},\"records\":[";
  for (std::size_t index = 0; index < records; ++index) {
    body += (index == 0 ? "" : ",") + quoteJson(test_support::recordOf(request.target, shard, index));
  }
  answer.body = body + "]}";
  return answer;
}

void StubServer::serve(net::Request request, net::Responder respond) {
  if (request.target == "/stub_server/control") {
    respond(changeBehavior(request));
    return;
  }
  std::string const id = net::findHeader(request.headers, "limeramp-request").value_or("-");
  std::string const shard = net::findHeader(request.headers, "limeramp-shard").value_or("-");
  std::string const version = net::findHeader(request.headers, "limeramp-version").value_or("-");
  std::string const caller = net::findHeader(request.headers, "load_generator-id").value_or("-");
  std::unique_lock<std::mutex> const lock(mutex);
  ++arrivals;
  Clock::time_point const now = Clock::now();
  double const decay = std::exp(-std::chrono::duration<double>(now - arrivalLevelAt).count());
  arrivalLevel = arrivalLevel * decay + 1;
  arrivalLevelAt = now;
  double const load = capacity > 0 ? arrivalLevel / capacity : 0;
  if (log.is_open()) {
    log << std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch()).count() << '\t' << address
        << '\t' << service << '\t' << id << '\t' << shard << '\t' << version << '\t' << caller << '\t' << request.method
        << '\t' << request.target << '\t' << request.body.size() << std::endl;
  }
  std::uniform_real_distribution<double> unit(0, 1);
  if (unit(random) < behavior.silentShare) {
    delays.schedule(now + std::chrono::hours(1), [respond] { respond({503, {}, ""}); });
    return;
  }
  net::Answer answer;
  if (unit(random) < behavior.failShare) {
    answer = {500, {}, "the server failed on purpose\n"};
  } else if (unit(random) < behavior.garbageShare) {
    answer = {200, {{"content-type", "application/json"}}, "{\"stamp\":{\"shard\":\"elsewhere\"},\"records\":[1,"};
  } else if (mode == "search") {
    answer = shardResult(request, id, shard);
  } else {
    answer = {200,
              {{"content-type", "application/json"}},
              "{\"service\":" + quoteJson(service) + ",\"server\":" + quoteJson(address) +
                  ",\"caller\":" + quoteJson(caller) + ",\"method\":" + quoteJson(request.method) + ",\"target\":" +
                  quoteJson(request.target) + ",\"bytes\":" + std::to_string(request.body.size()) + "}"};
  }
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", load);
  answer.headers.emplace_back("limeramp-load", text);
  answer.headers.emplace_back("limeramp-answers", id);
  double waitMs = behavior.latencyMs + behavior.jitterMs * unit(random);
  Clock::time_point from = std::max(now, behavior.pausedUntil);
  if (behavior.serial > 0 && capacity > 0) {
    from = std::max(from, behavior.busyUntil);
    behavior.busyUntil = from + std::chrono::microseconds(static_cast<long>(1e6 / capacity));
  } else if (load > 1) {
    waitMs *= load * load;
  }
  Clock::time_point const at = from + std::chrono::microseconds(static_cast<long>(waitMs * 1000));
  delays.schedule(at, [respond, answer] { respond(answer); });
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("stub_server", "a stub back end for tests");
  options.add_options()("listen", "address", cxxopts::value<std::string>())("service", "service that it belongs to",
                                                                            cxxopts::value<std::string>())(
      "mode", "search or forward", cxxopts::value<std::string>()->default_value("search"))(
      "cut", "index cut", cxxopts::value<std::string>()->default_value("c1"))(
      "capacity", "requests a second that it can serve, 0: unlimited", cxxopts::value<double>()->default_value("0"))(
      "records", "records in a shard result", cxxopts::value<std::size_t>()->default_value("20"))(
      "latency-ms", "minimum answer time", cxxopts::value<double>()->default_value("8"))(
      "jitter-ms", "random addition to the answer time, at most", cxxopts::value<double>()->default_value("6"))(
      "seed", "seed of the random numbers", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "log", "file that receives a line for each request", cxxopts::value<std::string>()->default_value(""))(
      "help", "this text");
  try {
    cxxopts::ParseResult const flags = options.parse(argc, argv);
    if (flags.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    StubServer server;
    server.address = flags["listen"].as<std::string>();
    server.service = flags["service"].as<std::string>();
    server.mode = flags["mode"].as<std::string>();
    server.cut = flags["cut"].as<std::string>();
    server.capacity = flags["capacity"].as<double>();
    server.records = flags["records"].as<std::size_t>();
    server.behavior.latencyMs = flags["latency-ms"].as<double>();
    server.behavior.jitterMs = flags["jitter-ms"].as<double>();
    server.random.seed(flags["seed"].as<std::uint64_t>());
    if (!flags["log"].as<std::string>().empty()) {
      server.log.open(flags["log"].as<std::string>(), std::ios::app);
    }
    return test_support::serveUntilSignal("stub_server", server.address,
                                          [&server](net::Request request, net::Responder respond) {
                                            server.serve(std::move(request), std::move(respond));
                                          });
  } catch (cxxopts::exceptions::exception const& error) {
    std::cerr << "stub_server: " << error.what() << '\n';
    return 2;
  }
}
