#pragma once

#include "limeramp/net/http.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <cstdint>
#include <map>
#include <thread>
#include <unordered_map>
#include <unordered_set>

namespace limeramp::net {

struct Network::Impl {
  using TimePoint = std::chrono::steady_clock::time_point;
  struct Timer {
    std::function<void()> work;
    std::chrono::steady_clock::duration period{};
  };

  Impl();
  bool onThread();
  TimerId schedule(TimePoint when, Timer work);
  void add(TimerId id, TimePoint when, Timer work);
  void erase(TimerId id);
  void arm();
  void fire();

  boost::asio::io_context context{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard{context.get_executor()};
  std::thread thread;
  boost::asio::steady_timer timer;
  std::map<std::pair<TimePoint, TimerId>, Timer> timers;
  std::unordered_map<TimerId, TimePoint> timerDeadlines;
  TimePoint armedFor = TimePoint::max();
  std::atomic<TimerId> lastTimer{0};
  /// Shared buffers of all connections. Used on the network's thread, within one callback at a time.
  std::vector<char> readBuffer;
  std::string output;
  /// Connections without a pending operation that would hold a reference to them.
  std::unordered_set<std::shared_ptr<void>> keptAlive;
  /// Last token given to a request; unique among all servers of this network. Used on the network's thread only.
  std::uint64_t lastRequestToken = 0;
};

/// Runs `work` on the network's thread: immediately if called on it, and not at all if the network no longer exists.
void runOn(std::weak_ptr<Network::Impl> const& network, std::function<void()> work);

}  // namespace limeramp::net
