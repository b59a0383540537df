#pragma once

#include "limeramp/messages/messages.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// Discovers the other processes of the fleet.
namespace limeramp::distribution {

/// All state machines read time from the steady clock of their own machine.
using TimePoint = std::chrono::steady_clock::time_point;

/// A message for the process at `address`. It may be lost on the way; senders repeat what must arrive.
struct Outgoing {
  std::string address;
  messages::Message message;
};

/// How partial views are exchanged. Every message carries a bounded sample, so a node's cost does not grow with the
/// size of the fleet.
struct PeerViewOptions {
  /// Maximum number of entries; those heard from longest ago are dropped first.
  std::size_t maxPeers = 32;
  /// Maximum entries in a sample for a neighbour in the same zone, and for one in another zone.
  std::size_t maxShuffled = 10;
  std::size_t maxShuffledRemote = 6;
  /// One shuffle in this many goes to another zone; one in four of these goes to a seed.
  std::size_t remoteShuffleEvery = 6;
  /// With fewer entries than this, each shuffle also goes to a seed.
  std::size_t fewPeers = 3;
  /// Interval between two shuffles.
  std::chrono::milliseconds shuffleMs{300};
  /// An entry is dropped when nobody has heard from its node for this long.
  std::chrono::milliseconds forgetMs{6000};
  /// A seed counts as alive for this long after its last message.
  std::chrono::milliseconds seedAliveMs{5000};
  /// From this time after the start a majority of the seeds suffices to found a group; before, all of them are needed.
  std::chrono::milliseconds loneFoundingMs{4000};
};

/// A process's partial view of the fleet: a bounded random sample of the other processes, refreshed by exchanging
/// samples with neighbours (gossip membership, docs/membership.md). It finds peers; the roster decides who is a member.
///
/// A pure state machine; not thread-safe.
class PeerViews {
 public:
  PeerViews(PeerViewOptions const& options, messages::Peer const& self, std::vector<std::string> const& seeds,
            std::uint64_t seed);
  ~PeerViews();
  PeerViews(PeerViews&&) noexcept;
  PeerViews& operator=(PeerViews&&) noexcept;

  /// Replaces the seeds that this process contacts when it knows few others, and contacts all of them at the next
  /// shuffle. mayFound() still counts the seeds of the construction: processes may hold different seeds for a while,
  /// and two halves that count different ones could found two groups.
  void setSeeds(std::vector<std::string> const& seeds);

  /// Sends the shuffle that is due, if any. With `eager` it goes to all seeds as well, for a process that has no state.
  std::vector<Outgoing> tick(TimePoint now, bool eager = false);
  /// Merges another process's sample and, unless that is itself a reply, replies with a sample of this view.
  std::vector<Outgoing> onMessage(TimePoint now, std::string const& from, std::string const& address,
                                  messages::Shuffle const& message);
  /// The entries, with the time since each was last heard from.
  std::vector<messages::Peer> peers(TimePoint now) const;
  /// Whether enough of the seeds of the construction are alive to found the first control group.
  bool mayFound(TimePoint now) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeramp::distribution
