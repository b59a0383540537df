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
  std::unordered_map<TimerId, TimePoint> times;
  TimePoint armedFor = TimePoint::max();
  std::atomic<TimerId> lastTimer{0};
  std::vector<char> landing;
  std::string output;
  std::unordered_set<std::shared_ptr<void>> registered;
  /// Names requests among all servers of this network. Belongs to the network's thread.
  std::uint64_t lastRequestToken = 0;
};

/// Runs `work` on the thread of a network: at once if this is it, and not at all if the network is gone.
void runOn(std::weak_ptr<Network::Impl> const& network, std::function<void()> work);

}  // namespace limeramp::net
