#include "limeramp/distribution/config_delivery.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>

namespace limeramp::distribution {
namespace {

using Ms = std::chrono::milliseconds;
using messages::StateVersion;

constexpr std::size_t mostIncarnations = 2000;

struct Asked {
  std::string address;
  TimePoint at{};
  bool recover = false;
};

struct Listener {
  messages::Follower follower;
  messages::PeerStatus peerStatus;
  TimePoint at{};
};

}  // namespace

void mergeIncarnations(IncarnationRecords& known, std::vector<messages::IncarnationRecord> const& heard) {
  for (messages::IncarnationRecord const& incarnation : heard) {
    if (known.size() >= mostIncarnations && !known.contains(incarnation.node)) {
      continue;
    }
    messages::IncarnationRecord& entry = known[incarnation.node];
    if (incarnation.rank > entry.rank) {
      entry = incarnation;
    } else if (incarnation.rank == entry.rank && incarnation.boot != entry.boot) {
      entry.boot = 0;
    }
  }
}

struct ConfigDelivery::Impl {
  ConfigDeliveryPolicy policy;
  messages::Follower self;
  std::mt19937_64 random;
  std::optional<messages::State> state;
  std::string primaryAddress;
  std::optional<TimePoint> anchor;
  std::map<std::string, TimePoint> contacts;
  std::map<std::uint64_t, Asked> asked;
  std::map<std::string, TimePoint> suspects;
  std::map<std::string, Listener> listeners;
  std::uint64_t lastToken = 0;
  TimePoint nextPollAt{};
  TimePoint nextWideAt{};
  std::size_t turn = 0;
  std::size_t wideTurn = 0;
  bool hurry = false;
  std::optional<TimePoint> startedAt;
  bool settled = false;
  messages::PeerStatus peerStatus;
  IncarnationRecords incarnations;
  std::map<std::string, std::uint64_t> recovering;

  StateVersion mark() const { return state ? StateVersion{state->epoch, state->sequence} : StateVersion{0, 0}; }

  bool listed() const {
    return state && std::any_of(state->roster.begin(), state->roster.end(), [&](messages::RosterEntry const& entry) {
             return entry.node == self.node && entry.address == self.address;
           });
  }

  std::vector<messages::IncarnationRecord> incarnationList() const {
    std::vector<messages::IncarnationRecord> out;
    for (std::pair<std::string const, messages::IncarnationRecord> const& entry : incarnations) {
      out.push_back(entry.second);
    }
    return out;
  }

  messages::Poll makePoll(TimePoint now, std::string const& address, bool recover = false) {
    messages::Poll poll;
    poll.token = ++lastToken;
    poll.self = self;
    poll.self.epoch = mark().epoch;
    poll.self.sequence = mark().sequence;
    poll.recover = recover;
    peerStatus.incarnations = incarnationList();
    poll.peerStatuses.push_back(peerStatus);
    for (std::pair<std::string const, Listener> const& entry : listeners) {
      poll.followers.push_back(entry.second.follower);
      poll.peerStatuses.push_back(entry.second.peerStatus);
    }
    asked[poll.token] = {address, now, recover};
    return poll;
  }

  bool trusts(std::string const& node, std::uint64_t boot) const {
    IncarnationRecords::const_iterator const found = incarnations.find(node);
    return found == incarnations.end() || found->second.boot == boot;
  }

  void recordIncarnation(std::string const& node, std::uint64_t boot) {
    messages::IncarnationRecord& entry = incarnations[node];
    if (entry.boot != boot || entry.rank == 0) {
      entry = {node, boot, entry.rank + 1};
    }
  }

  bool recovered() const {
    if (!listed() || !trusts(self.node, peerStatus.boot)) {
      return false;
    }
    std::size_t const count = static_cast<std::size_t>(
        std::count_if(state->roster.begin(), state->roster.end(), [&](messages::RosterEntry const& entry) {
          std::map<std::string, std::uint64_t>::const_iterator const found = recovering.find(entry.node);
          return entry.node != self.node && found != recovering.end() && trusts(entry.node, found->second);
        }));
    return count >= (state->roster.size() + 1) / 2;
  }

  std::vector<std::string> homes(std::vector<messages::Peer> const& peers) const {
    std::map<std::string, std::string> zone;
    if (state) {
      for (messages::RosterEntry const& entry : state->roster) {
        if (entry.zone == self.zone) {
          zone[entry.node] = entry.address;
        }
      }
    }
    for (messages::Peer const& peer : peers) {
      if (zone.empty() && peer.role == messages::gatewayRole && peer.zone == self.zone) {
        zone[peer.node] = peer.address;
      }
    }
    zone[self.node] = self.address;
    std::vector<std::string> names;
    for (std::pair<std::string const, std::string> const& entry : zone) {
      names.push_back(entry.first);
    }
    std::vector<std::string> out;
    for (std::string const& name : rankHomes("configuration/" + self.zone, names)) {
      out.push_back(zone[name]);
    }
    return out;
  }

  std::string controlAddress(std::vector<messages::Peer> const& peers) {
    if (!primaryAddress.empty() && !suspects.contains(primaryAddress)) {
      return primaryAddress;
    }
    std::vector<std::string> known;
    for (messages::Peer const& peer : peers) {
      if (peer.role == messages::controllerRole) {
        known.push_back(peer.address);
      }
    }
    return known.empty() ? primaryAddress : known[++turn % known.size()];
  }

  bool adopt(messages::State const& next) {
    if (StateVersion{next.epoch, next.sequence} <= mark()) {
      return false;
    }
    bool const served = state && state->evacuatedZones == next.evacuatedZones &&
                        StateVersion{state->configurationEpoch, state->configurationSequence} ==
                            StateVersion{next.configurationEpoch, next.configurationSequence};
    state = next;
    hurry = hurry || !served;
    return true;
  }

  void pushTo(std::vector<Outgoing>& sends, TimePoint now) {
    for (std::pair<std::string const, Listener> const& entry : listeners) {
      StateVersion const has{entry.second.follower.epoch, entry.second.follower.sequence};
      if (now - entry.second.at <= policy.followerMs && has < mark()) {
        messages::News news;
        news.node = self.node;
        news.epoch = mark().epoch;
        news.sequence = mark().sequence;
        news.state = state;
        news.primaryAddress = primaryAddress;
        sends.push_back({entry.second.follower.address, std::move(news)});
      }
    }
  }

  messages::News answer(TimePoint now, std::uint64_t token, StateVersion const& has) const {
    messages::News news;
    news.token = token;
    news.node = self.node;
    news.epoch = mark().epoch;
    news.sequence = mark().sequence;
    news.primaryAddress = primaryAddress;
    news.settled = settled;
    news.boot = peerStatus.boot;
    news.incarnations = incarnationList();
    if (anchor) {
      news.hasAge = true;
      news.ageMs = static_cast<std::uint64_t>(std::chrono::duration_cast<Ms>(now - *anchor).count()) + 1;
    }
    if (state && has < mark()) {
      news.state = state;
    }
    return news;
  }

  std::optional<TimePoint> upheldAt() const {
    if (!listed()) {
      return std::nullopt;
    }
    std::vector<TimePoint> times;
    for (messages::RosterEntry const& entry : state->roster) {
      std::map<std::string, TimePoint>::const_iterator const found = contacts.find(entry.node);
      if (entry.node != self.node && found != contacts.end()) {
        times.push_back(found->second);
      }
    }
    std::size_t const needed = state->roster.size() / 2;
    if (times.size() < needed) {
      return std::nullopt;
    }
    if (needed == 0) {
      return TimePoint::max();
    }
    std::sort(times.rbegin(), times.rend());
    return times[needed - 1];
  }
};

ConfigDelivery::ConfigDelivery(ConfigDeliveryPolicy const& policy, messages::Follower const& self, std::uint64_t boot,
                               std::uint64_t seed)
    : impl_(std::make_unique<Impl>()) {
  impl_->policy = policy;
  impl_->self = self;
  impl_->peerStatus = {self.node, boot, false, {}};
  impl_->random.seed(seed);
  impl_->lastToken = impl_->random() >> 20;
}

ConfigDelivery::~ConfigDelivery() = default;
ConfigDelivery::ConfigDelivery(ConfigDelivery&&) noexcept = default;
ConfigDelivery& ConfigDelivery::operator=(ConfigDelivery&&) noexcept = default;

ConfigDeliveryStep ConfigDelivery::tick(TimePoint now, std::vector<messages::Peer> const& peers) {
  Impl& impl = *impl_;
  ConfigDeliveryStep out;
  impl.startedAt = impl.startedAt.value_or(now);
  std::erase_if(impl.suspects,
                [&](std::pair<std::string const, TimePoint> const& entry) { return now >= entry.second; });
  std::erase_if(impl.asked, [&](std::pair<std::uint64_t const, Asked> const& entry) {
    bool const late = now - entry.second.at > impl.policy.replyMs;
    if (late) {
      impl.suspects[entry.second.address] = now + impl.policy.suspectMs;
    }
    return late;
  });
  std::erase_if(impl.listeners, [&](std::pair<std::string const, Listener> const& entry) {
    return now - entry.second.at > impl.policy.followerMs;
  });
  bool const worried = !impl.anchor || now - *impl.anchor > impl.policy.stalenessCheckMs;
  if (now >= impl.nextPollAt || impl.hurry) {
    impl.nextPollAt = now + impl.policy.pollMs;
    impl.hurry = false;
    std::string target;
    for (std::string const& home : impl.homes(peers)) {
      if (home == impl.self.address) {
        break;
      }
      if (!impl.suspects.contains(home)) {
        target = home;
        break;
      }
    }
    std::string const control = impl.controlAddress(peers);
    bool const afar = std::any_of(peers.begin(), peers.end(), [&](messages::Peer const& peer) {
      return peer.address == control && peer.zone != impl.self.zone;
    });
    if (target.empty()) {
      target = control;
      impl.nextPollAt = impl.state && afar && !worried ? now + impl.policy.afarPollMs : impl.nextPollAt;
    }
    if (!target.empty()) {
      out.sends.push_back({target, impl.makePoll(now, target)});
    }
    if ((worried || impl.peerStatus.leaving) && !control.empty() && control != target) {
      out.sends.push_back({control, impl.makePoll(now, control)});
    }
  }
  if (!impl.state && now >= impl.nextWideAt) {
    impl.nextWideAt = now + impl.policy.replyMs;
    std::vector<std::string> fronts;
    for (messages::Peer const& peer : peers) {
      if (peer.role == messages::gatewayRole && peer.address != impl.self.address) {
        fronts.push_back(peer.address);
      }
    }
    if (!fronts.empty()) {
      std::string const& chosen = fronts[impl.random() % fronts.size()];
      out.sends.push_back({chosen, impl.makePoll(now, chosen)});
    }
  }
  bool const alone = worried && impl.state && (impl.settled || now - *impl.startedAt >= impl.policy.recoverAfterMs);
  if (alone && now >= impl.nextWideAt) {
    impl.nextWideAt = now + impl.policy.replyMs / impl.policy.wideSlices;
    std::size_t const count = impl.state->roster.size();
    for (std::size_t slot = impl.wideTurn++ % impl.policy.wideSlices; slot < count; slot += impl.policy.wideSlices) {
      messages::RosterEntry const& entry = impl.state->roster[slot];
      if (entry.node != impl.self.node) {
        out.sends.push_back({entry.address, impl.makePoll(now, entry.address, !impl.settled)});
      }
    }
  }
  return out;
}

ConfigDeliveryStep ConfigDelivery::hear(TimePoint now, std::string const&, messages::Poll const& message) {
  Impl& impl = *impl_;
  ConfigDeliveryStep out;
  StateVersion const has{message.self.epoch, message.self.sequence};
  if (message.self.node.empty()) {
    out.sends.push_back({message.self.address, impl.answer(now, message.token, has)});
    return out;
  }
  Listener& listener = impl.listeners[message.self.node];
  StateVersion const had{listener.follower.epoch, listener.follower.sequence};
  if (had != has && has == impl.mark()) {
    impl.hurry = true;
  }
  messages::PeerStatus peerStatus{message.self.node, 0, false, {}};
  for (messages::PeerStatus const& entry : message.peerStatuses) {
    if (entry.node == message.self.node) {
      peerStatus = entry;
      break;
    }
  }
  mergeIncarnations(impl.incarnations, peerStatus.incarnations);
  if (message.recover && impl.settled && peerStatus.boot != 0 && impl.state &&
      std::any_of(impl.state->roster.begin(), impl.state->roster.end(),
                  [&](messages::RosterEntry const& entry) { return entry.node == peerStatus.node; })) {
    impl.recordIncarnation(peerStatus.node, peerStatus.boot);
  }
  listener = {message.self, std::move(peerStatus), now};
  if (impl.listeners.size() > 1000) {
    impl.listeners.erase(impl.listeners.begin());
  }
  out.sends.push_back({message.self.address, impl.answer(now, message.token, has)});
  return out;
}

ConfigDeliveryStep ConfigDelivery::hear(TimePoint now, std::string const& address, messages::News const& message) {
  Impl& impl = *impl_;
  ConfigDeliveryStep out;
  mergeIncarnations(impl.incarnations, message.incarnations);
  if (message.state) {
    out.changed = impl.adopt(*message.state);
  }
  if (!message.primaryAddress.empty()) {
    impl.hurry = impl.hurry || (!impl.state && impl.primaryAddress != message.primaryAddress);
    impl.primaryAddress = message.primaryAddress;
  } else if (message.token != 0 && address == impl.primaryAddress) {
    impl.primaryAddress.clear();
  }
  if (out.changed) {
    impl.pushTo(out.sends, now);
  }
  std::map<std::uint64_t, Asked>::iterator const found = impl.asked.find(message.token);
  if (message.token == 0 || found == impl.asked.end()) {
    return out;
  }
  TimePoint const askedAt = found->second.at;
  bool const recover = found->second.recover;
  impl.suspects.erase(address);
  impl.asked.erase(found);
  if (StateVersion{message.epoch, message.sequence} > impl.mark()) {
    return out;
  }
  if (message.hasAge) {
    TimePoint const at = askedAt - Ms(static_cast<long>(message.ageMs));
    impl.anchor = impl.anchor ? std::max(*impl.anchor, at) : at;
  }
  bool const incarnations = std::any_of(
      message.incarnations.begin(), message.incarnations.end(), [&](messages::IncarnationRecord const& incarnation) {
        return incarnation.node == impl.self.node && incarnation.boot == impl.peerStatus.boot;
      });
  if (recover && message.settled && incarnations && !impl.settled) {
    impl.recovering[message.node] = message.boot;
  }
  bool const caughtUp = impl.anchor && impl.startedAt && *impl.anchor >= *impl.startedAt;
  if (caughtUp && !impl.trusts(impl.self.node, impl.peerStatus.boot)) {
    impl.recordIncarnation(impl.self.node, impl.peerStatus.boot);
  }
  impl.settled = impl.settled || caughtUp || impl.recovered();
  if (message.settled && (impl.contacts.size() < 2000 || impl.contacts.contains(message.node))) {
    TimePoint& contact = impl.contacts[message.node];
    contact = std::max(contact, askedAt);
  }
  return out;
}

void ConfigDelivery::leave() {
  impl_->peerStatus.leaving = true;
  impl_->hurry = true;
}

DeliveryStatus ConfigDelivery::status(TimePoint now) const {
  Impl const& impl = *impl_;
  DeliveryStatus out;
  if (!impl.state) {
    return out;
  }
  out.ageMs = impl.anchor ? std::chrono::duration_cast<Ms>(now - *impl.anchor) : Ms::max();
  if (!impl.listed() && !impl.peerStatus.leaving) {
    out.standing = Standing::unlisted;
  } else if (impl.anchor && now - *impl.anchor <= impl.policy.currentMs) {
    out.standing = Standing::current;
  } else {
    std::optional<TimePoint> const upheld = impl.upheldAt();
    bool const held = impl.settled && upheld && (*upheld == TimePoint::max() || now - *upheld <= impl.policy.currentMs);
    out.standing = held ? Standing::upheld : Standing::stale;
  }
  return out;
}

std::optional<messages::State> const& ConfigDelivery::state() const { return impl_->state; }
std::string const& ConfigDelivery::primaryAddress() const { return impl_->primaryAddress; }

}  // namespace limeramp::distribution
