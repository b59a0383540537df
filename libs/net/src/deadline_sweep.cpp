#include "deadline_sweep.h"

#include <algorithm>

namespace limeramp::net {

void DeadlineSweep::require(TimePoint deadline) {
  if (deadline >= next_) {
    return;
  }
  if (timer_ != 0) {
    network_.erase(timer_);
  }
  next_ = deadline;
  timer_ = network_.schedule(deadline, {[this, owner = owner_] {
                                          if (std::shared_ptr<void> const alive = owner.lock()) {
                                            fire();
                                          }
                                        },
                                        {}});
}

void DeadlineSweep::fire() {
  TimePoint const now = std::chrono::steady_clock::now();
  timer_ = 0;
  next_ = TimePoint::min();
  TimePoint const soonest = expire_(now);
  next_ = TimePoint::max();
  if (soonest != TimePoint::max()) {
    require(std::max(soonest, now + minPause_));
  }
}

}  // namespace limeramp::net
