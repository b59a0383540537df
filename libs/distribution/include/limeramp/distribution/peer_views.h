#pragma once

#include "limeramp/messages/messages.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// Finding other processes of the fleet.
namespace limeramp::distribution {

/// All state machines count on the steady clock of their own machine.
using TimePoint = std::chrono::steady_clock::time_point;

/// A message for the process at `address`. Sending may lose it; every sender repeats what matters.
struct Outgoing {
  std::string address;
  messages::Message message;
};

/// How partial views are exchanged. Every message carries a bounded sample, so the cost of a node does not grow with
/// the fleet.
struct PeerViewOptions {
  /// Entries kept; the ones heard of longest ago go first.
  std::size_t maxPeers = 32;
  /// Entries of a sample for a neighbour in the same zone, and for one in another zone.
  std::size_t maxShuffled = 10;
  std::size_t maxShuffledRemote = 6;
  /// Every so many-th shuffle goes to another zone, every fourth of these to a seed.
  std::size_t remoteShuffleEvery = 6;
  /// With fewer entries than this the seeds are asked at each shuffle.
  std::size_t fewPeers = 3;
  std::chrono::milliseconds shuffleMs{300};
  /// An entry that nobody has heard from for this long is dropped.
  std::chrono::milliseconds forgetMs{6000};
  /// A seed counts as alive for this long after its last message.
  std::chrono::milliseconds seedAliveMs{5000};
  /// After this time a majority of the seeds is enough to found a group; before, all of them are needed.
  std::chrono::milliseconds loneFoundingMs{4000};
};

/// A process's partial view of the fleet: a bounded random sample of the others, kept fresh by exchanging samples with
/// neighbours, as in gossip membership (docs/membership.md). It finds peers; who is a member is decided by the roster.
///
/// A pure state machine, not safe for use by several threads.
class PeerViews {
 public:
  PeerViews(PeerViewOptions const& options, messages::Peer const& self, std::vector<std::string> const& seeds,
            std::uint64_t seed);
  ~PeerViews();
  PeerViews(PeerViews&&) noexcept;
  PeerViews& operator=(PeerViews&&) noexcept;

  /// Replaces the seeds that this process asks when it knows few others, and asks all of them at the next tick.
  /// Founding still counts the seeds of the construction: processes may hold different seeds for a while, and two
  /// halves that count different ones could found two groups.
  void setSeeds(std::vector<std::string> const& seeds);

  /// `eager`: all seeds are asked besides, as a process does that has nothing yet.
  std::vector<Outgoing> tick(TimePoint now, bool eager = false);
  /// Takes in another process's sample, and answers with one if it is not itself an answer.
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
