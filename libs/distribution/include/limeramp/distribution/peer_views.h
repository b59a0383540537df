#pragma once

#include "limeramp/messages/messages.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace limeramp::distribution {

using TimePoint = std::chrono::steady_clock::time_point;

struct Outgoing {
  std::string address;
  messages::Message message;
};

struct PeerViewOptions {
  std::size_t maxPeers = 32;
  std::size_t maxShuffled = 10;
  std::size_t maxShuffledRemote = 6;
  std::size_t remoteShuffleEvery = 6;
  std::size_t fewPeers = 3;
  std::chrono::milliseconds shuffleMs{300};
  std::chrono::milliseconds forgetMs{6000};
  std::chrono::milliseconds seedAliveMs{5000};
  std::chrono::milliseconds loneFoundingMs{4000};
};

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

  std::vector<Outgoing> tick(TimePoint now, bool eager = false);
  std::vector<Outgoing> onMessage(TimePoint now, std::string const& from, std::string const& address,
                                  messages::Shuffle const& message);
  std::vector<messages::Peer> peers(TimePoint now) const;
  bool mayFound(TimePoint now) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

std::vector<std::string> rankByRendezvousHash(std::string const& topic, std::vector<std::string> nodes);

}  // namespace limeramp::distribution
