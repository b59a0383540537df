#pragma once

#include "limeramp/messages/state_delivery.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <string>

namespace limeramp::distribution {

/// The last report of each node that follows this one. A zone owner forwards them to the primary with its own reports,
/// so that one node of a zone polls the primary instead of all.
class FollowerReports {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;
  static constexpr std::size_t maxFollowers = 1000;

  /// Stores a report. Returns true if the follower confirms `newest` for the first time, which the primary should learn
  /// at once.
  bool record(TimePoint now, messages::Follower const& follower, messages::PeerStatus const& status,
              messages::StateVersion const& newest);
  /// Drops followers that have been silent for longer than `maxAge`.
  void expire(TimePoint now, std::chrono::milliseconds maxAge);
  /// Adds all reports to a request to the primary. The followers' incarnation records are left out: the sender has
  /// merged them into its own.
  void addTo(messages::StateRequest& request) const;

 private:
  struct Report {
    messages::Follower follower;
    messages::PeerStatus status;
    TimePoint receivedAt{};
  };
  /// By node. At most `maxFollowers`.
  std::map<std::string, Report> reports_;
};

}  // namespace limeramp::distribution
