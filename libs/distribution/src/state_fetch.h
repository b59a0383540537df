#pragma once

#include <chrono>
#include <optional>
#include <string>

namespace limeramp::distribution {

/// Decides when a node that was named a newer state than its own asks for it. Usually the state is on its way already;
/// only if it does not come in time is the node that named it asked.
class StateFetch {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /// The node at `address` knows a newer state.
  void newerKnown(TimePoint now, std::string const& address);
  /// The newest state known is here.
  void arrived() { behindSince_.reset(); }

  /// Whom to ask now, if the newer state was named `patience` ago or earlier; at most once in `interval`.
  std::optional<std::string> due(TimePoint now, std::chrono::milliseconds patience, std::chrono::milliseconds interval);

 private:
  std::optional<TimePoint> behindSince_;
  std::string from_;
  TimePoint nextAt_{};
};

}  // namespace limeramp::distribution
