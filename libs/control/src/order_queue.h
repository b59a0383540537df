#pragma once

#include "limeramp/control/config_service.h"
#include "limeramp/messages/state_digest.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

namespace limeramp::control {

/// An order with the time of its arrival.
struct QueuedOrder {
  Change order;
  TimePoint arrivedAt{};
};

/// Orders that have not been started, in the order of their arrival. Nothing of a queued order has run, so the caller
/// that removes one without starting it answers `notRun`. The configuration service enforces the limit, since it also
/// counts the orders that wait elsewhere.
class OrderQueue {
 public:
  std::size_t size() const { return queue_.size(); }
  void push(QueuedOrder order) { queue_.push_back(std::move(order)); }

  /// Removes and returns the oldest order for which `predicate` is true; empty if there is none.
  std::optional<QueuedOrder> takeFirst(std::function<bool(QueuedOrder const&)> const& predicate);
  /// Removes and returns the orders whose deadline has passed.
  std::vector<QueuedOrder> takeExpired(TimePoint now);
  /// Removes and returns all orders; this node will not start them.
  std::vector<QueuedOrder> takeAll();

  void digest(messages::StateDigest& digest) const;

 private:
  std::deque<QueuedOrder> queue_;
};

/// Adds the fields of an order to a digest, for the model checker.
void digestOrder(messages::StateDigest& digest, Change const& order);

}  // namespace limeramp::control
