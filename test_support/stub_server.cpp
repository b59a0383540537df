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

struct Manner {
  double latencyMs = 8;
  double jitterMs = 6;
  double garbageShare = 0;
  double failShare = 0;
  double silentShare = 0;
  Clock::time_point pausedUntil{};
  double serial = 0;
  Clock::time_point busyUntil{};
};

struct Later {
  Clock::time_point at;
  std::uint64_t order = 0;
  std::function<void()> work;
  bool operator<(Later const& other) const { return at != other.at ? at > other.at : order > other.order; }
};

class Delays {
 public:
  Delays() : thread_([this] { run(); }) {}
  ~Delays() {
    {
      std::unique_lock<std::mutex> const lock(mutex_);
      ended_ = true;
    }
    changed_.notify_all();
    thread_.join();
  }
  void at(Clock::time_point when, std::function<void()> work) {
    {
      std::unique_lock<std::mutex> const lock(mutex_);
      queue_.push({when, ++order_, std::move(work)});
    }
    changed_.notify_all();
  }

 private:
  void run() {
    std::unique_lock<std::mutex> lock(mutex_);
    while (!ended_) {
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
  std::priority_queue<Later> queue_;
  std::uint64_t order_ = 0;
  bool ended_ = false;
  std::thread thread_;
};

std::string json(std::string const& text) { return picojson::value(text).serialize(); }

struct Stall {
  std::string address;
  std::string service;
  std::string cut;
  std::string mode;
  double capacity = 0;
  std::size_t records = 20;
  std::mutex mutex;
  Manner manner;
  std::mt19937_64 random;
  std::ofstream log;
  Clock::time_point startedAt = Clock::now();
  double level = 0;
  Clock::time_point levelAt = Clock::now();
  std::uint64_t arrivals = 0;
  Delays delays;

  void serve(net::Request request, net::Responder respond);
  net::Answer control(net::Request const& request);
  net::Answer part(net::Request const& request, std::string const& id, std::string const& shard);
};

net::Answer Stall::control(net::Request const& request) {
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
      manner.latencyMs = entry.second.get<double>();
    } else if (entry.first == "jitter_ms") {
      manner.jitterMs = entry.second.get<double>();
    } else if (entry.first == "garbage") {
      manner.garbageShare = entry.second.get<double>();
    } else if (entry.first == "fail") {
      manner.failShare = entry.second.get<double>();
    } else if (entry.first == "silent") {
      manner.silentShare = entry.second.get<double>();
    } else if (entry.first == "serial") {
      manner.serial = entry.second.get<double>();
    } else if (entry.first == "capacity") {
      capacity = entry.second.get<double>();
    } else if (entry.first == "pause_ms") {
      manner.pausedUntil = Clock::now() + Ms(static_cast<long>(entry.second.get<double>()));
    } else {
      return {400, {}, entry.first + " is not known\n"};
    }
  }
  return {200, {}, "{\"arrivals\":" + std::to_string(arrivals) + "}\n"};
}

net::Answer Stall::part(net::Request const& request, std::string const& id, std::string const& shard) {
  net::Answer answer;
  answer.headers.emplace_back("content-type", "application/json");
  std::string body =
      "{\"stamp\":{\"shard\":" + json(shard) + ",\"cut\":" + json(cut) + ",\"request\":" + json(id) + "},\"records\":[";
  for (std::size_t index = 0; index < records; ++index) {
    body += (index == 0 ? "" : ",") + json(test_support::recordOf(request.target, shard, index));
  }
  answer.body = body + "]}";
  return answer;
}

void Stall::serve(net::Request request, net::Responder respond) {
  if (request.target == "/stub_server/control") {
    respond(control(request));
    return;
  }
  std::string const id = net::findHeader(request.headers, "limeramp-request").value_or("-");
  std::string const shard = net::findHeader(request.headers, "limeramp-shard").value_or("-");
  std::string const version = net::findHeader(request.headers, "limeramp-version").value_or("-");
  std::string const caller = net::findHeader(request.headers, "load_generator-id").value_or("-");
  std::unique_lock<std::mutex> const lock(mutex);
  ++arrivals;
  Clock::time_point const now = Clock::now();
  double const decay = std::exp(-std::chrono::duration<double>(now - levelAt).count());
  level = level * decay + 1;
  levelAt = now;
  double const load = capacity > 0 ? level / capacity : 0;
  if (log.is_open()) {
    log << std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch()).count() << '\t' << address
        << '\t' << service << '\t' << id << '\t' << shard << '\t' << version << '\t' << caller << '\t' << request.method
        << '\t' << request.target << '\t' << request.body.size() << std::endl;
  }
  std::uniform_real_distribution<double> unit(0, 1);
  if (unit(random) < manner.silentShare) {
    delays.at(now + std::chrono::hours(1), [respond] { respond({503, {}, ""}); });
    return;
  }
  net::Answer answer;
  if (unit(random) < manner.failShare) {
    answer = {500, {}, "the server failed on purpose\n"};
  } else if (unit(random) < manner.garbageShare) {
    answer = {200, {{"content-type", "application/json"}}, "{\"stamp\":{\"shard\":\"elsewhere\"},\"records\":[1,"};
  } else if (mode == "search") {
    answer = part(request, id, shard);
  } else {
    answer = {200,
              {{"content-type", "application/json"}},
              "{\"service\":" + json(service) + ",\"server\":" + json(address) + ",\"caller\":" + json(caller) +
                  ",\"method\":" + json(request.method) + ",\"target\":" + json(request.target) +
                  ",\"bytes\":" + std::to_string(request.body.size()) + "}"};
  }
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", load);
  answer.headers.emplace_back("limeramp-load", text);
  answer.headers.emplace_back("limeramp-answers", id);
  double waitMs = manner.latencyMs + manner.jitterMs * unit(random);
  Clock::time_point from = std::max(now, manner.pausedUntil);
  if (manner.serial > 0 && capacity > 0) {
    from = std::max(from, manner.busyUntil);
    manner.busyUntil = from + std::chrono::microseconds(static_cast<long>(1e6 / capacity));
  } else if (load > 1) {
    waitMs *= load * load;
  }
  Clock::time_point const at = from + std::chrono::microseconds(static_cast<long>(waitMs * 1000));
  delays.at(at, [respond, answer] { respond(answer); });
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("stub_server", "a stand-in back end for tests");
  options.add_options()("listen", "address", cxxopts::value<std::string>())("service", "service it plays",
                                                                            cxxopts::value<std::string>())(
      "mode", "search or forward", cxxopts::value<std::string>()->default_value("search"))(
      "cut", "index cut", cxxopts::value<std::string>()->default_value("c1"))(
      "capacity", "requests a second it bears, 0 for any", cxxopts::value<double>()->default_value("0"))(
      "records", "records of a part", cxxopts::value<std::size_t>()->default_value("20"))(
      "latency-ms", "least answer time", cxxopts::value<double>()->default_value("8"))(
      "jitter-ms", "spread of the answer time", cxxopts::value<double>()->default_value("6"))(
      "seed", "seed of its dice", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "log", "file that gets a line for each arrival", cxxopts::value<std::string>()->default_value(""))("help",
                                                                                                         "this text");
  try {
    cxxopts::ParseResult const flags = options.parse(argc, argv);
    if (flags.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    Stall stall;
    stall.address = flags["listen"].as<std::string>();
    stall.service = flags["service"].as<std::string>();
    stall.mode = flags["mode"].as<std::string>();
    stall.cut = flags["cut"].as<std::string>();
    stall.capacity = flags["capacity"].as<double>();
    stall.records = flags["records"].as<std::size_t>();
    stall.manner.latencyMs = flags["latency-ms"].as<double>();
    stall.manner.jitterMs = flags["jitter-ms"].as<double>();
    stall.random.seed(flags["seed"].as<std::uint64_t>());
    if (!flags["log"].as<std::string>().empty()) {
      stall.log.open(flags["log"].as<std::string>(), std::ios::app);
    }
    return test_support::standUntilEnded("stub_server", stall.address,
                                         [&stall](net::Request request, net::Responder respond) {
                                           stall.serve(std::move(request), std::move(respond));
                                         });
  } catch (cxxopts::exceptions::exception const& wrong) {
    std::cerr << "stub_server: " << wrong.what() << '\n';
    return 2;
  }
}
