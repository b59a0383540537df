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

/// Sends the newest state to the followers of this process: the primary sends it to the zone owners, a zone owner to
/// the nodes of its zone. A follower's polls name the versions it has; it is sent what it lacks, in the response to a
/// poll or, when a new state is published, as a push. A configuration in flight to a follower is not sent again before
/// it could have arrived over a slow link; otherwise a link slower than the poll rate would fill with copies.
namespace limeramp::distribution {

/// Limits on what is sent to followers, and how often.
struct StateFeedOptions {
  /// A follower that has not polled for this long is sent no pushes.
  std::chrono::milliseconds followerMs{2000};
  /// A configuration is resent no earlier than this time after it, and everything sent before it, could have been
  /// transmitted over a link of `bytesPerMs`.
  std::chrono::milliseconds resendMs{150};
  std::size_t bytesPerMs = 500;
  std::size_t maxFollowers = 1000;
};

/// One instance for each process that passes states on. Not thread-safe.
class StateFeed {
 public:
  explicit StateFeed(StateFeedOptions const& options = {}) : options_(options) {}

  /// Must be called when a newer state replaces `previous`, whose roster is kept as a base for differences.
  void replaced(TimePoint now, messages::State const& previous);
  /// The answer to a poll: `response` alone if the poller has the newest state or wants none, if the configuration that
  /// it lacks is in flight, or if `newest` is null.
  messages::Message answer(TimePoint now, messages::State const* newest, messages::StateRequest const& poll,
                           messages::StateResponse response);
  /// The messages that bring the followers to `newest`, each with `response`.
  std::vector<Outgoing> push(TimePoint now, messages::State const& newest, messages::StateResponse const& response);
  /// Adds the fields that affect later sends to the digest of the whole state machine.
  void digest(messages::StateDigest& digest) const;

 private:
  struct FollowerState {
    std::string address;
    messages::StateVersion stateVersion;
    std::optional<messages::PartVersions> parts;
    TimePoint lastReceivedAt{};
    messages::StateVersion sentConfiguration;
    TimePoint inFlightUntil{};
  };

  std::optional<messages::Message> nextMessage(TimePoint now, messages::State const& newest, FollowerState& follower,
                                               messages::StateResponse const& response);
  void recordDocumentSent(TimePoint now, messages::State const& newest, FollowerState& follower);

  StateFeedOptions options_;
  RosterHistory rosters_;
  std::map<std::string, FollowerState> followers_;
  TimePoint linkBusyUntil_{};
};

}  // namespace limeramp::distribution
