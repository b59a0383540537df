#include "limeramp/fairway/courier.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>

namespace limeramp::fairway {
namespace {

using Ms = std::chrono::milliseconds;
using Mark = std::pair<std::uint64_t, std::uint64_t>;

constexpr std::size_t mostVouches = 2000;

struct Asked {
  std::string address;
  TimePoint at{};
  bool recover = false;
};

struct Listener {
  cargo::Follower follower;
  cargo::Bearing bearing;
  TimePoint at{};
};

}

void mergeVouches(Vouches& known, std::vector<cargo::Vouch> const& heard) {
  for (cargo::Vouch const& vouch : heard) {
    if (known.size() >= mostVouches && !known.contains(vouch.node)) {
      continue;
    }
    cargo::Vouch& entry = known[vouch.node];
    if (vouch.rank > entry.rank) {
      entry = vouch;
    } else if (vouch.rank == entry.rank && vouch.boot != entry.boot) {
      entry.boot = 0;
    }
  }
}

struct Courier::Impl {
  CourierPolicy policy;
  cargo::Follower self;
  std::mt19937_64 dice;
  std::optional<cargo::State> state;
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
  bool hurry = false;
  std::optional<TimePoint> startedAt;
  bool settled = false;
  cargo::Bearing bearing;
  Vouches vouches;
  std::map<std::string, std::uint64_t> recovering;

  Mark mark() const { return state ? Mark(state->epoch, state->sequence) : Mark(0, 0); }

  bool listed() const {
    return state && std::any_of(state->roster.begin(), state->roster.end(), [&](cargo::RosterEntry const& entry) {
             return entry.node == self.node && entry.address == self.address;
           });
  }

  std::vector<cargo::Vouch> vouchList() const {
    std::vector<cargo::Vouch> out;
    for (std::pair<std::string const, cargo::Vouch> const& entry : vouches) {
      out.push_back(entry.second);
    }
    return out;
  }

  cargo::Poll makePoll(TimePoint now, std::string const& address, bool recover = false) {
    cargo::Poll poll;
    poll.token = ++lastToken;
    poll.self = self;
    poll.self.epoch = mark().first;
    poll.self.sequence = mark().second;
    poll.recover = recover;
    bearing.vouched = vouchList();
    poll.bearings.push_back(bearing);
    for (std::pair<std::string const, Listener> const& entry : listeners) {
      poll.followers.push_back(entry.second.follower);
      poll.bearings.push_back(entry.second.bearing);
    }
    asked[poll.token] = {address, now, recover};
    return poll;
  }

  bool trusts(std::string const& node, std::uint64_t boot) const {
    Vouches::const_iterator const found = vouches.find(node);
    return found == vouches.end() || found->second.boot == boot;
  }

  void vouchFor(std::string const& node, std::uint64_t boot) {
    cargo::Vouch& entry = vouches[node];
    if (entry.boot != boot || entry.rank == 0) {
      entry = {node, boot, entry.rank + 1};
    }
  }

  bool recovered() const {
    if (!listed() || !trusts(self.node, bearing.boot)) {
      return false;
    }
    std::size_t const count = static_cast<std::size_t>(
        std::count_if(state->roster.begin(), state->roster.end(), [&](cargo::RosterEntry const& entry) {
          std::map<std::string, std::uint64_t>::const_iterator const found = recovering.find(entry.node);
          return entry.node != self.node && found != recovering.end() && trusts(entry.node, found->second);
        }));
    return count >= (state->roster.size() + 1) / 2;
  }

  std::vector<std::string> homes(std::vector<cargo::Peer> const& peers) const {
    std::map<std::string, std::string> zone;
    if (state) {
      for (cargo::RosterEntry const& entry : state->roster) {
        if (entry.zone == self.zone) {
          zone[entry.node] = entry.address;
        }
      }
    }
    for (cargo::Peer const& peer : peers) {
      if (zone.empty() && peer.role == "quay" && peer.zone == self.zone) {
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

  std::string controlAddress(std::vector<cargo::Peer> const& peers) {
    if (!primaryAddress.empty() && !suspects.contains(primaryAddress)) {
      return primaryAddress;
    }
    std::vector<std::string> known;
    for (cargo::Peer const& peer : peers) {
      if (peer.role == "harbourmaster") {
        known.push_back(peer.address);
      }
    }
    return known.empty() ? primaryAddress : known[++turn % known.size()];
  }

  bool adopt(cargo::State const& next) {
    if (Mark(next.epoch, next.sequence) <= mark()) {
      return false;
    }
    state = next;
    hurry = true;
    return true;
  }

  void pushTo(std::vector<Outgoing>& sends, TimePoint now) {
    for (std::pair<std::string const, Listener> const& entry : listeners) {
      Mark const has(entry.second.follower.epoch, entry.second.follower.sequence);
      if (now - entry.second.at <= policy.followerMs && has < mark()) {
        cargo::News news;
        news.node = self.node;
        news.epoch = mark().first;
        news.sequence = mark().second;
        news.state = state;
        news.primaryAddress = primaryAddress;
        sends.push_back({entry.second.follower.address, std::move(news)});
      }
    }
  }

  cargo::News answer(TimePoint now, std::uint64_t token, Mark const& has) const {
    cargo::News news;
    news.token = token;
    news.node = self.node;
    news.epoch = mark().first;
    news.sequence = mark().second;
    news.primaryAddress = primaryAddress;
    news.settled = settled;
    news.boot = bearing.boot;
    news.vouched = vouchList();
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
    for (cargo::RosterEntry const& entry : state->roster) {
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

Courier::Courier(CourierPolicy const& policy, cargo::Follower const& self, std::uint64_t boot, std::uint64_t seed)
    : impl_(std::make_unique<Impl>()) {
  impl_->policy = policy;
  impl_->self = self;
  impl_->bearing = {self.node, boot, false, {}};
  impl_->dice.seed(seed);
  impl_->lastToken = impl_->dice() >> 20;
}

Courier::~Courier() = default;
Courier::Courier(Courier&&) noexcept = default;
Courier& Courier::operator=(Courier&&) noexcept = default;

CourierStep Courier::tick(TimePoint now, std::vector<cargo::Peer> const& peers) {
  Impl& impl = *impl_;
  CourierStep out;
  impl.startedAt = impl.startedAt.value_or(now);
  std::erase_if(impl.suspects, [&](std::pair<std::string const, TimePoint> const& entry) { return now >= entry.second; });
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
  bool const worried = !impl.anchor || now - *impl.anchor > impl.policy.worriedMs;
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
    bool const afar = std::any_of(peers.begin(), peers.end(), [&](cargo::Peer const& peer) {
      return peer.address == control && peer.zone != impl.self.zone;
    });
    if (target.empty()) {
      target = control;
      impl.nextPollAt = impl.state && afar && !worried ? now + impl.policy.afarPollMs : impl.nextPollAt;
    }
    if (!target.empty()) {
      out.sends.push_back({target, impl.makePoll(now, target)});
    }
    if ((worried || impl.bearing.leaving) && !control.empty() && control != target) {
      out.sends.push_back({control, impl.makePoll(now, control)});
    }
  }
  if (!impl.state && now >= impl.nextWideAt) {
    impl.nextWideAt = now + impl.policy.replyMs;
    std::vector<std::string> fronts;
    for (cargo::Peer const& peer : peers) {
      if (peer.role == "quay" && peer.address != impl.self.address) {
        fronts.push_back(peer.address);
      }
    }
    if (!fronts.empty()) {
      std::string const& chosen = fronts[impl.dice() % fronts.size()];
      out.sends.push_back({chosen, impl.makePoll(now, chosen)});
    }
  }
  if (worried && impl.state && now >= impl.nextWideAt) {
    impl.nextWideAt = now + impl.policy.replyMs;
    for (cargo::RosterEntry const& entry : impl.state->roster) {
      if (entry.node != impl.self.node) {
        out.sends.push_back({entry.address, impl.makePoll(now, entry.address, !impl.settled)});
      }
    }
  }
  return out;
}

CourierStep Courier::hear(TimePoint now, std::string const&, cargo::Poll const& message) {
  Impl& impl = *impl_;
  CourierStep out;
  Mark const has(message.self.epoch, message.self.sequence);
  if (message.self.node.empty()) {
    out.sends.push_back({message.self.address, impl.answer(now, message.token, has)});
    return out;
  }
  Listener& listener = impl.listeners[message.self.node];
  Mark const had(listener.follower.epoch, listener.follower.sequence);
  if (had != has && has == impl.mark()) {
    impl.hurry = true;
  }
  cargo::Bearing bearing{message.self.node, 0, false, {}};
  for (cargo::Bearing const& entry : message.bearings) {
    if (entry.node == message.self.node) {
      bearing = entry;
      break;
    }
  }
  mergeVouches(impl.vouches, bearing.vouched);
  if (message.recover && impl.settled && bearing.boot != 0 && impl.state &&
      std::any_of(impl.state->roster.begin(), impl.state->roster.end(),
                  [&](cargo::RosterEntry const& entry) { return entry.node == bearing.node; })) {
    impl.vouchFor(bearing.node, bearing.boot);
  }
  listener = {message.self, std::move(bearing), now};
  if (impl.listeners.size() > 1000) {
    impl.listeners.erase(impl.listeners.begin());
  }
  out.sends.push_back({message.self.address, impl.answer(now, message.token, has)});
  return out;
}

CourierStep Courier::hear(TimePoint now, std::string const& address, cargo::News const& message) {
  Impl& impl = *impl_;
  CourierStep out;
  mergeVouches(impl.vouches, message.vouched);
  if (message.state) {
    out.changed = impl.adopt(*message.state);
  }
  if (!message.primaryAddress.empty()) {
    impl.primaryAddress = message.primaryAddress;
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
  if (Mark(message.epoch, message.sequence) > impl.mark()) {
    return out;
  }
  if (message.hasAge) {
    TimePoint const at = askedAt - Ms(static_cast<long>(message.ageMs));
    impl.anchor = impl.anchor ? std::max(*impl.anchor, at) : at;
  }
  bool const vouched = std::any_of(message.vouched.begin(), message.vouched.end(), [&](cargo::Vouch const& vouch) {
    return vouch.node == impl.self.node && vouch.boot == impl.bearing.boot;
  });
  if (recover && message.settled && vouched && !impl.settled) {
    impl.recovering[message.node] = message.boot;
  }
  bool const caughtUp = impl.anchor && impl.startedAt && *impl.anchor >= *impl.startedAt;
  if (caughtUp && !impl.trusts(impl.self.node, impl.bearing.boot)) {
    impl.vouchFor(impl.self.node, impl.bearing.boot);
  }
  impl.settled = impl.settled || caughtUp || impl.recovered();
  if (message.settled && (impl.contacts.size() < 2000 || impl.contacts.contains(message.node))) {
    TimePoint& contact = impl.contacts[message.node];
    contact = std::max(contact, askedAt);
  }
  return out;
}

void Courier::leave() {
  impl_->bearing.leaving = true;
  impl_->hurry = true;
}

Footing Courier::footing(TimePoint now) const {
  Impl const& impl = *impl_;
  Footing out;
  if (!impl.state) {
    return out;
  }
  out.ageMs = impl.anchor ? std::chrono::duration_cast<Ms>(now - *impl.anchor) : Ms::max();
  if (!impl.listed() && !impl.bearing.leaving) {
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

std::optional<cargo::State> const& Courier::state() const { return impl_->state; }
std::string const& Courier::primaryAddress() const { return impl_->primaryAddress; }

}
