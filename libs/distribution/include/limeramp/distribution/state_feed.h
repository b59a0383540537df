#pragma once

#include "limeramp/distribution/peer_views.h"
#include "limeramp/distribution/state_update.h"
#include "limeramp/messages/messages.h"
#include "limeramp/messages/state_digest.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Hands the newest state to those that follow this machine: the primary to the homes of the zones, a home to the nodes
/// of its zone. Each follower names what it has in its polls; it is sent what it lacks, in answer to a poll or, when a
/// new state is published, as a push. A configuration that is on its way to a follower is not sent to it again until it
/// could have arrived over a slow link, so that a link which is slower than the polls does not fill up.
namespace limeramp::distribution {

/// Pace of the pushes.
struct StateFeedOptions {
  /// A follower that has not polled for this long is sent no pushes.
  std::chrono::milliseconds followerMs{2000};
  /// A configuration is sent again at the earliest this long after it, and all that was sent before it, could have left
  /// over a link of `bytesPerMs`.
  std::chrono::milliseconds resendMs{150};
  std::size_t bytesPerMs = 500;
  std::size_t maxFollowers = 1000;
};

/// One for each process that hands states on. Not safe for use by several threads.
class StateFeed {
 public:
  explicit StateFeed(StateFeedOptions const& options = {}) : options_(options) {}

  /// `previous` is no longer the newest state.
  void replaced(TimePoint now, messages::State const& previous);
  /// The answer to a poll: `news` alone if the poller has the newest state or wants none, or if none is known here.
  messages::Message answer(TimePoint now, messages::State const* newest, messages::StateRequest const& poll,
                           messages::StateResponse response);
  /// What the followers lack, each with `news`.
  std::vector<Outgoing> push(TimePoint now, messages::State const& newest, messages::StateResponse const& response);
  /// Adds what decides over later sends to the digest of the whole state machine.
  void digest(messages::StateDigest& digest) const;

 private:
  struct Position {
    std::string address;
    messages::StateVersion has;
    std::optional<messages::PartVersions> parts;
    TimePoint lastReceivedAt{};
    messages::StateVersion sentConfiguration;
    TimePoint underWayUntil{};
  };

  std::optional<messages::Message> next(TimePoint now, messages::State const& newest, Position& follower,
                                        messages::StateResponse const& response);
  void documentSent(TimePoint now, messages::State const& newest, Position& follower);

  StateFeedOptions options_;
  RosterHistory rosters_;
  std::map<std::string, Position> followers_;
  TimePoint linkBusyUntil_{};
};

}  // namespace limeramp::distribution
