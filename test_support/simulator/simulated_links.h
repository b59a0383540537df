#pragma once

#include "simulator/simulated_network.h"

#include <algorithm>
#include <cstddef>

/// Queueing model of machines with limited link bandwidth and processing rate. A message queues on the sender's
/// processor, the sender's link, the receiver's link and the receiver's processor, in this order.
namespace limeramp::simulator {

struct MachineCapacity {
  std::size_t bytesPerSecond = 0;
  std::chrono::microseconds perMessage{0};
  std::chrono::microseconds perKilobyte{0};
  /// A message is dropped if the backlog of the outgoing link is longer than this.
  Ms maxQueued{3000};
};

class SimulatedLinks {
 public:
  explicit SimulatedLinks(MachineCapacity const& capacity = {}) : capacity_(capacity) {}

  bool limited() const { return capacity_.bytesPerSecond > 0; }
  TimePoint processorFreeAt() const { return processorFreeAt_; }
  /// Returns when the last byte of a message sent now has left the machine.
  TimePoint send(TimePoint now, std::size_t bytes) { return transmit(compute(now, bytes), bytes, outFreeAt_); }
  /// Returns when a message whose last byte arrives now has been read and processed.
  TimePoint receive(TimePoint now, std::size_t bytes) { return compute(transmit(now, bytes, inFreeAt_), bytes); }
  bool overflows(TimePoint now) const { return outFreeAt_ - now > capacity_.maxQueued; }

 private:
  TimePoint compute(TimePoint now, std::size_t bytes) {
    std::chrono::microseconds const cost =
        capacity_.perMessage + capacity_.perKilobyte * static_cast<long>(bytes) / 1024;
    processorFreeAt_ = std::max(processorFreeAt_, now) + cost;
    return processorFreeAt_;
  }
  TimePoint transmit(TimePoint from, std::size_t bytes, TimePoint& freeAt) const {
    long const microseconds = static_cast<long>(bytes * 1'000'000 / capacity_.bytesPerSecond);
    freeAt = std::max(freeAt, from) + std::chrono::microseconds(microseconds);
    return freeAt;
  }

  MachineCapacity capacity_;
  TimePoint processorFreeAt_{};
  TimePoint outFreeAt_{};
  TimePoint inFreeAt_{};
};

}  // namespace limeramp::simulator
