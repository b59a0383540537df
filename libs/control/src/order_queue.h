#pragma once

#include "limeramp/control/config_service.h"
#include "limeramp/messages/state_digest.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

namespace limeramp::control {

struct QueuedOrder {
  Change order;
  TimePoint arrivedAt{};
};

/// Orders that have not been begun, in the order of their arrival. Nothing of a queued order has run: whoever takes one
/// out without beginning it answers `notRun`. The bound is kept by the configuration service, which also counts what
/// waits elsewhere.
class OrderQueue {
 public:
  std::size_t size() const { return queue_.size(); }
  void push(QueuedOrder order) { queue_.push_back(std::move(order)); }

  /// Takes out the oldest order for which `wanted` is true. Nothing if there is none.
  std::optional<QueuedOrder> takeFirst(std::function<bool(QueuedOrder const&)> const& wanted);
  /// Takes out the orders whose deadline has passed.
  std::vector<QueuedOrder> takeExpired(TimePoint now);
  /// Takes out all: they will not be begun here.
  std::vector<QueuedOrder> takeAll();

  void digest(messages::StateDigest& digest) const;

 private:
  std::deque<QueuedOrder> queue_;
};

/// Adds the fields of an order that decide what becomes of it.
void digestOrder(messages::StateDigest& digest, Change const& order);

}  // namespace limeramp::control
