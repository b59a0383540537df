#pragma once

#include "limeramp/messages/state_delivery.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <string>

namespace limeramp::distribution {

/// What the nodes that follow this one have last reported. The owner of a zone passes it on to the primary with its own
/// reports, so that the primary is polled by one node of a zone instead of by all.
class FollowerReports {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;
  static constexpr std::size_t maxFollowers = 1000;

  /// Takes in one report. True if the follower has just come to confirm `newest`: worth telling the primary at once.
  bool record(TimePoint now, messages::Follower const& follower, messages::PeerStatus const& status,
              messages::StateVersion const& newest);
  /// Drops followers that have been silent for longer than `maxAge`.
  void expire(TimePoint now, std::chrono::milliseconds maxAge);
  /// Adds all reports to a request to the primary. What followers know of incarnations is left out: it is in the
  /// sender's own records.
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
