#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace limeramp::simulator {

using TimePoint = std::chrono::steady_clock::time_point;
using Ms = std::chrono::milliseconds;

class SimulatedNetwork {
 public:
  explicit SimulatedNetwork(std::uint64_t seed) : random_(seed) {}

  TimePoint now() const { return now_; }
  std::uint64_t roll(std::uint64_t sides) { return random_() % sides; }
  bool chance(double share) { return std::uniform_real_distribution<double>(0, 1)(random_) < share; }
  std::mt19937_64& random() { return random_; }

  void after(std::chrono::microseconds wait, std::function<void()> work) {
    queue_.push(Due{now_ + wait, ++order_, std::move(work)});
  }

  void runUntil(TimePoint end) {
    while (!queue_.empty() && queue_.top().at <= end) {
      Due const next = queue_.top();
      queue_.pop();
      now_ = next.at;
      next.work();
    }
    now_ = end;
  }

 private:
  struct Due {
    TimePoint at;
    std::uint64_t order = 0;
    std::function<void()> work;
    bool operator<(Due const& other) const { return at != other.at ? at > other.at : order > other.order; }
  };

  TimePoint now_{std::chrono::hours(1)};
  std::uint64_t order_ = 0;
  std::mt19937_64 random_;
  std::priority_queue<Due> queue_;
};

}  // namespace limeramp::simulator
