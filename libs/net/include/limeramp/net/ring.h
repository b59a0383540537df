#pragma once

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

/// A bounded blocking queue between threads.
namespace limeramp::net {

/// A ring buffer of fixed capacity for any number of producers and consumers. Every function may be called from any
/// thread. Invariant under `mutex_`: the `count_` slots from `first_` on hold a value, all others are empty.
template <typename T>
class Ring {
 public:
  explicit Ring(std::size_t capacity) : slots_(capacity) {}

  /// Adds a value without waiting. Returns false if the ring is closed or has fewer than `spare` + 1 free slots.
  bool tryPush(T value, std::size_t spare = 0) {
    std::unique_lock<std::mutex> lock(mutex_);
    if (closed_ || count_ + spare >= slots_.size()) {
      return false;
    }
    append(std::move(value));
    return true;
  }

  /// Waits for a free slot and adds a value. Returns false if the ring is closed.
  bool push(T value) {
    std::unique_lock<std::mutex> lock(mutex_);
    notFull_.wait(lock, [this] { return closed_ || count_ < slots_.size(); });
    if (closed_) {
      return false;
    }
    append(std::move(value));
    return true;
  }

  /// Waits for a value until `wake`. Returns nothing at that time, or once the ring is closed and empty.
  std::optional<T> popUntil(std::chrono::steady_clock::time_point wake) {
    std::unique_lock<std::mutex> lock(mutex_);
    notEmpty_.wait_until(lock, wake, [this] { return closed_ || count_ > 0; });
    return take();
  }

  /// Waits for a value. Returns nothing once the ring is closed and empty.
  std::optional<T> pop() {
    std::unique_lock<std::mutex> lock(mutex_);
    notEmpty_.wait(lock, [this] { return closed_ || count_ > 0; });
    return take();
  }

  /// Rejects further values and wakes all waiting threads. Queued values can still be popped.
  void close() {
    std::unique_lock<std::mutex> const lock(mutex_);
    closed_ = true;
    notEmpty_.notify_all();
    notFull_.notify_all();
  }

  /// Whether the ring is closed and empty.
  bool closed() const {
    std::unique_lock<std::mutex> const lock(mutex_);
    return closed_ && count_ == 0;
  }

 private:
  void append(T value) {
    slots_[(first_ + count_) % slots_.size()].emplace(std::move(value));
    ++count_;
    notEmpty_.notify_one();
  }

  std::optional<T> take() {
    if (count_ == 0) {
      return std::nullopt;
    }
    std::optional<T> out = std::move(slots_[first_]);
    slots_[first_].reset();
    first_ = (first_ + 1) % slots_.size();
    --count_;
    notFull_.notify_one();
    return out;
  }

  mutable std::mutex mutex_;
  std::condition_variable notEmpty_;
  std::condition_variable notFull_;
  std::vector<std::optional<T>> slots_;
  std::size_t first_ = 0;
  std::size_t count_ = 0;
  bool closed_ = false;
};

}  // namespace limeramp::net
