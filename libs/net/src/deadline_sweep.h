#pragma once

#include "network.h"

#include <chrono>
#include <functional>
#include <memory>

namespace limeramp::net {

/// One timer for the deadlines of many connections. It is set for the soonest deadline; when it fires, all that are
/// due are ended together. Two sweeps are `minPause` apart at least, unless a sooner deadline is required between.
class DeadlineSweep {
 public:
  using TimePoint = Network::Impl::TimePoint;
  /// Ends what is due at `now` and returns the soonest deadline that is left.
  using Expire = std::function<TimePoint(TimePoint now)>;

  DeadlineSweep(Network::Impl& network, std::chrono::milliseconds minPause, Expire expire)
      : network_(network), minPause_(minPause), expire_(std::move(expire)) {}
  DeadlineSweep(DeadlineSweep const&) = delete;
  DeadlineSweep& operator=(DeadlineSweep const&) = delete;

  /// The sweep fires only while its owner lives; it is a member of the owner.
  void setOwner(std::weak_ptr<void> owner) { owner_ = std::move(owner); }
  /// Makes sure that a sweep comes at `deadline` or before.
  void require(TimePoint deadline);

 private:
  void fire();

  Network::Impl& network_;
  std::chrono::milliseconds minPause_;
  Expire expire_;
  std::weak_ptr<void> owner_;
  TimePoint next_ = TimePoint::max();
  Network::TimerId timer_ = 0;
};

}  // namespace limeramp::net
