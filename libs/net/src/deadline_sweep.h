#pragma once

#include "network.h"

#include <chrono>
#include <functional>
#include <memory>

namespace limeramp::net {

/// One timer for the deadlines of many connections. It is set for the earliest deadline; when it fires, one sweep
/// expires every connection that is due. Sweeps are at least `minPause` apart, unless require() asks for an earlier
/// one.
class DeadlineSweep {
 public:
  using TimePoint = Network::Impl::TimePoint;
  /// Expires everything that is due at `now` and returns the earliest remaining deadline.
  using Expire = std::function<TimePoint(TimePoint now)>;

  DeadlineSweep(Network::Impl& network, std::chrono::milliseconds minPause, Expire expire)
      : network_(network), minPause_(minPause), expire_(std::move(expire)) {}
  DeadlineSweep(DeadlineSweep const&) = delete;
  DeadlineSweep& operator=(DeadlineSweep const&) = delete;

  /// The sweep is a member of its owner. The timer does nothing once the owner has been destroyed.
  void setOwner(std::weak_ptr<void> owner) { owner_ = std::move(owner); }
  /// Ensures that a sweep runs no later than at `deadline`.
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
