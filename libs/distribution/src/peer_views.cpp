#include "limeramp/distribution/peer_views.h"

#include <algorithm>
#include <map>
#include <random>
#include <utility>

namespace limeramp::distribution {
namespace {

using Ms = std::chrono::milliseconds;

struct Entry {
  messages::Peer peer;
  TimePoint aliveAt{};
};

}  // namespace

struct PeerViews::Impl {
  PeerViewOptions options;
  messages::Peer self;
  std::vector<std::string> seeds;
  std::vector<std::string> foundingSeeds;
  bool seedsChanged = false;
  std::mt19937_64 random;
  std::map<std::string, Entry> entries;
  std::map<std::string, TimePoint> lastReceivedAt;
  TimePoint nextShuffleAt{};
  std::optional<TimePoint> startedAt;
  std::size_t shuffleCount = 0;

  void dropOldEntries(TimePoint now) {
    std::erase_if(entries, [&](std::pair<std::string const, Entry> const& entry) {
      return now - entry.second.aliveAt > options.forgetMs;
    });
    while (entries.size() > options.maxPeers) {
      entries.erase(std::min_element(entries.begin(), entries.end(), [](auto const& left, auto const& right) {
        return left.second.aliveAt < right.second.aliveAt;
      }));
    }
  }

  bool isInOtherZone(std::string const& address) const {
    return std::any_of(entries.begin(), entries.end(), [&](std::pair<std::string const, Entry> const& entry) {
      return entry.second.peer.address == address && entry.second.peer.zone != self.zone;
    });
  }

  std::string chooseNeighbour(bool remote) {
    std::vector<std::string> addresses;
    for (std::pair<std::string const, Entry> const& entry : entries) {
      if (entries.size() < options.fewPeers || remote == (entry.second.peer.zone != self.zone)) {
        addresses.push_back(entry.second.peer.address);
      }
    }
    return addresses.empty() ? "" : addresses[random() % addresses.size()];
  }

  std::vector<messages::Peer> sample(TimePoint now, std::string const& to) {
    std::vector<messages::Peer> out;
    for (std::pair<std::string const, Entry> const& entry : entries) {
      messages::Peer peer = entry.second.peer;
      peer.ageMs = static_cast<std::uint64_t>(std::chrono::duration_cast<Ms>(now - entry.second.aliveAt).count());
      out.push_back(std::move(peer));
    }
    std::shuffle(out.begin(), out.end(), random);
    out.resize(std::min(out.size(), isInOtherZone(to) ? options.maxShuffledRemote : options.maxShuffled));
    out.push_back(self);
    return out;
  }
};

PeerViews::PeerViews(PeerViewOptions const& options, messages::Peer const& self, std::vector<std::string> const& seeds,
                     std::uint64_t seed)
    : impl_(std::make_unique<Impl>()) {
  impl_->options = options;
  impl_->self = self;
  impl_->self.ageMs = 0;
  impl_->seeds = seeds;
  impl_->foundingSeeds = seeds;
  impl_->random.seed(seed);
}

void PeerViews::setSeeds(std::vector<std::string> const& seeds) {
  impl_->seedsChanged = impl_->seeds != seeds;
  impl_->seeds = seeds;
}

PeerViews::~PeerViews() = default;
PeerViews::PeerViews(PeerViews&&) noexcept = default;
PeerViews& PeerViews::operator=(PeerViews&&) noexcept = default;

std::vector<Outgoing> PeerViews::tick(TimePoint now, bool eager) {
  std::vector<Outgoing> out;
  impl_->startedAt = impl_->startedAt.value_or(now);
  if (now < impl_->nextShuffleAt) {
    return out;
  }
  impl_->nextShuffleAt = now + impl_->options.shuffleMs;
  impl_->dropOldEntries(now);
  ++impl_->shuffleCount;
  std::vector<std::string> targets;
  bool const hasFewPeers = impl_->entries.size() < impl_->options.fewPeers;
  std::size_t const remoteShuffleEvery = impl_->options.remoteShuffleEvery;
  bool const remote = impl_->shuffleCount % remoteShuffleEvery == 0;
  bool const contactsSeed = impl_->shuffleCount % (4 * remoteShuffleEvery) == 0;
  if (std::string const chosen = impl_->chooseNeighbour(remote); !chosen.empty() && !(contactsSeed && !hasFewPeers)) {
    targets.push_back(chosen);
  }
  if (hasFewPeers || contactsSeed) {
    std::string const& seed =
        impl_->seeds[impl_->shuffleCount / (hasFewPeers ? 1 : 4 * remoteShuffleEvery) % impl_->seeds.size()];
    if (seed != impl_->self.address) {
      targets.push_back(seed);
    }
  }
  if (std::exchange(impl_->seedsChanged, false) || eager) {
    targets.insert(targets.end(), impl_->seeds.begin(), impl_->seeds.end());
    std::erase(targets, impl_->self.address);
  }
  for (std::string const& address : targets) {
    out.push_back({address, messages::Shuffle{false, impl_->sample(now, address)}});
  }
  return out;
}

std::vector<Outgoing> PeerViews::onMessage(TimePoint now, std::string const&, std::string const& address,
                                           messages::Shuffle const& message) {
  impl_->lastReceivedAt[address] = now;
  if (impl_->lastReceivedAt.size() > 4 * impl_->options.maxPeers) {
    impl_->lastReceivedAt.erase(impl_->lastReceivedAt.begin());
  }
  for (messages::Peer const& peer : message.peers) {
    if (peer.node == impl_->self.node || peer.address == impl_->self.address ||
        peer.ageMs > static_cast<std::uint64_t>(impl_->options.forgetMs.count())) {
      continue;
    }
    TimePoint const aliveAt = now - Ms(static_cast<long>(peer.ageMs));
    std::map<std::string, Entry>::iterator const found = impl_->entries.find(peer.node);
    if (found == impl_->entries.end() || found->second.aliveAt < aliveAt) {
      impl_->entries[peer.node] = {peer, aliveAt};
    }
  }
  impl_->dropOldEntries(now);
  if (message.reply) {
    return {};
  }
  return {{address, messages::Shuffle{true, impl_->sample(now, address)}}};
}

std::vector<messages::Peer> PeerViews::peers(TimePoint now) const {
  std::vector<messages::Peer> out;
  for (std::pair<std::string const, Entry> const& entry : impl_->entries) {
    messages::Peer peer = entry.second.peer;
    peer.ageMs = static_cast<std::uint64_t>(std::chrono::duration_cast<Ms>(now - entry.second.aliveAt).count());
    out.push_back(std::move(peer));
  }
  return out;
}

bool PeerViews::mayFound(TimePoint now) const {
  std::size_t const aliveSeeds = static_cast<std::size_t>(
      std::count_if(impl_->foundingSeeds.begin(), impl_->foundingSeeds.end(), [&](std::string const& seed) {
        std::map<std::string, TimePoint>::const_iterator const found = impl_->lastReceivedAt.find(seed);
        return seed == impl_->self.address ||
               (found != impl_->lastReceivedAt.end() && now - found->second <= impl_->options.seedAliveMs);
      }));
  bool const majoritySuffices = impl_->startedAt && now - *impl_->startedAt >= impl_->options.loneFoundingMs;
  return aliveSeeds == impl_->foundingSeeds.size() ||
         (majoritySuffices && 2 * aliveSeeds > impl_->foundingSeeds.size());
}

}  // namespace limeramp::distribution
