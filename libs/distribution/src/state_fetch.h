#pragma once

#include <chrono>
#include <optional>
#include <string>

namespace limeramp::distribution {

/// Decides when this node requests a newer state that another node has named. Usually that state is already being
/// delivered; it is requested from the node that named it only if it does not arrive in time.
class StateFetch {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /// Records that the node at `address` knows a newer state.
  void recordNewer(TimePoint now, std::string const& address);
  /// Records that this node has the newest known state.
  void arrived() { behindSince_.reset(); }

  /// The address to request the state from now, if it was first named at least `delay` ago; at most once in `interval`.
  std::optional<std::string> due(TimePoint now, std::chrono::milliseconds delay, std::chrono::milliseconds interval);

 private:
  std::optional<TimePoint> behindSince_;
  std::string source_;
  TimePoint nextRequestAt_{};
};

}  // namespace limeramp::distribution
