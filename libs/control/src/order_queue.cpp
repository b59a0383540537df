#include "order_queue.h"

#include "take_if.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace limeramp::control {

std::optional<QueuedOrder> OrderQueue::takeFirst(std::function<bool(QueuedOrder const&)> const& predicate) {
  std::deque<QueuedOrder>::iterator const found = std::find_if(queue_.begin(), queue_.end(), predicate);
  if (found == queue_.end()) {
    return std::nullopt;
  }
  QueuedOrder order = std::move(*found);
  queue_.erase(found);
  return order;
}

std::vector<QueuedOrder> OrderQueue::takeExpired(TimePoint now) {
  return takeIf(queue_, [now](QueuedOrder const& queued) { return now >= queued.order.deadline; });
}

std::vector<QueuedOrder> OrderQueue::takeAll() {
  std::vector<QueuedOrder> out(std::make_move_iterator(queue_.begin()), std::make_move_iterator(queue_.end()));
  queue_.clear();
  return out;
}

void OrderQueue::digest(messages::StateDigest& digest) const {
  digest.add(queue_.size());
  for (QueuedOrder const& queued : queue_) {
    digestOrder(digest, queued.order);
    digest.add(queued.arrivedAt);
  }
}

void digestOrder(messages::StateDigest& digest, Change const& order) {
  digest.add(order.ticket);
  digest.add(order.id);
  digest.add(order.body);
  digest.add(order.deadline);
}

}  // namespace limeramp::control
