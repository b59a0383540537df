#include "limeramp/distribution/config_delivery.h"

#include "limeramp/distribution/staleness_check.h"
#include "limeramp/distribution/state_feed.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>

namespace limeramp::distribution {
namespace {

using Ms = std::chrono::milliseconds;
using messages::StateVersion;

constexpr std::size_t mostListeners = 1000;
constexpr std::size_t mostContacts = 2000;
constexpr std::size_t mostPeersKnown = 2000;

/// Why a node polls another: to follow its state; to report to the primary beside the home that it follows; to hear
/// whether it knows a newer state; or, after a restart, to be recorded and hear the same.
enum class Purpose { follow, report, verify, recover };

struct Asked {
  std::string address;
  TimePoint at{};
  Purpose purpose = Purpose::follow;
  /// What this node knew of incarnations when it asked, whether it sent it along, and whether its own start was in it.
  std::uint64_t incarnationsDigest = 0;
  bool sentIncarnations = true;
  bool ownStartRecorded = false;
};

struct Listener {
  messages::Follower follower;
  messages::PeerStatus peerStatus;
  TimePoint at{};
};

}  // namespace

messages::Follower withoutVersion(messages::Follower follower) {
  follower.epoch = 0;
  follower.sequence = 0;
  return follower;
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
  TimePoint nextFirstStateAt{};
  std::optional<TimePoint> behindSince;
  std::string fetchFrom;
  TimePoint nextFetchAt{};
  std::size_t turn = 0;
  bool hurry = false;
  std::optional<TimePoint> startedAt;
  bool settled = false;
  messages::PeerStatus peerStatus;
  IncarnationRecords incarnations;
  std::map<std::string, std::uint64_t> digestsOfPeers;
  std::map<std::string, std::uint64_t> recovering;
  StalenessCheck stalenessCheck{{}, "", 0};

  StateFeed feed;
  StateVersion newestHeard;

  StateVersion mark() const { return state ? state->version() : StateVersion{}; }

  bool listed() const {
    return state && std::any_of(state->roster.begin(), state->roster.end(), [&](messages::RosterEntry const& entry) {
             return entry.node == self.node && entry.address == self.address;
           });
  }

  /// Whether the peer named the same incarnation records as known here are when it last answered.
  bool knowsIncarnations(std::string const& address) const {
    std::map<std::string, std::uint64_t>::const_iterator const found = digestsOfPeers.find(address);
    return found != digestsOfPeers.end() && found->second == incarnations.digest();
  }

  messages::Poll makePoll(TimePoint now, std::string const& address, Purpose purpose = Purpose::follow) {
    messages::Poll poll;
    poll.token = ++lastToken;
    poll.self = self;
    poll.self.epoch = mark().epoch;
    poll.self.sequence = mark().sequence;
    poll.recover = purpose == Purpose::recover;
    poll.follows = purpose == Purpose::follow;
    poll.parts = partVersionsOf(state);
    poll.peerStatuses.push_back(peerStatus);
    poll.incarnationsDigest = incarnations.digest();
    bool const sends = purpose != Purpose::verify && !knowsIncarnations(address);
    if (sends) {
      poll.peerStatuses.back().incarnations = incarnations.list();
    }
    asked[poll.token] = {
        address, now, purpose, poll.incarnationsDigest, sends, incarnations.holds(self.node, peerStatus.boot)};
    return poll;
  }

  /// A poll of the primary also reports the followers. What they know of incarnations is in this node's own list.
  messages::Poll makeReport(TimePoint now, std::string const& address, Purpose purpose = Purpose::follow) {
    messages::Poll poll = makePoll(now, address, purpose);
    for (std::pair<std::string const, Listener> const& entry : listeners) {
      messages::PeerStatus const& status = entry.second.peerStatus;
      poll.followers.push_back(entry.second.follower);
      poll.peerStatuses.push_back({status.node, status.boot, status.leaving, {}});
    }
    return poll;
  }

  bool recovered() const {
    if (!listed() || !incarnations.trusts(self.node, peerStatus.boot)) {
      return false;
    }
    std::size_t const count = static_cast<std::size_t>(std::count_if(
        state->roster.begin(), state->roster.end(),
        [&](messages::RosterEntry const& entry) { return entry.node != self.node && hasVouched(entry.node); }));
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
    names.reserve(zone.size());
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

  bool adopt(TimePoint now, messages::State next) {
    if (next.version() <= mark()) {
      return false;
    }
    bool const served = state && state->evacuatedZones == next.evacuatedZones &&
                        StateVersion{state->configurationEpoch, state->configurationSequence} ==
                            StateVersion{next.configurationEpoch, next.configurationSequence};
    if (state) {
      feed.replaced(now, *state);
    }
    state = std::move(next);
    state->receipts.clear();
    if (mark() >= newestHeard) {
      behindSince.reset();
    }
    hurry = hurry || !served;
    return true;
  }

  void listen(TimePoint now, messages::Follower const& follower, messages::PeerStatus const& status) {
    Listener& listener = listeners[follower.node];
    StateVersion const had{listener.follower.epoch, listener.follower.sequence};
    StateVersion const has{follower.epoch, follower.sequence};
    hurry = hurry || (had != has && has == mark());
    listener = {follower, status, now};
    if (listeners.size() > mostListeners) {
      listeners.erase(listeners.begin());
    }
  }

  std::vector<Outgoing> pushes(TimePoint now) {
    messages::News news;
    news.node = self.node;
    news.epoch = mark().epoch;
    news.sequence = mark().sequence;
    news.primaryAddress = primaryAddress;
    return feed.push(now, *state, news);
  }

  messages::Message answer(TimePoint now, messages::Poll const& poll) {
    messages::News news;
    news.token = poll.token;
    news.node = self.node;
    news.epoch = mark().epoch;
    news.sequence = mark().sequence;
    news.primaryAddress = primaryAddress;
    news.settled = settled;
    news.boot = peerStatus.boot;
    news.incarnationsDigest = incarnations.digest();
    if ((poll.follows || poll.recover) && poll.incarnationsDigest != news.incarnationsDigest) {
      news.incarnations = incarnations.list();
    }
    if (anchor) {
      news.hasAge = true;
      news.ageMs = static_cast<std::uint64_t>(std::chrono::duration_cast<Ms>(now - *anchor).count()) + 1;
    }
    return feed.answer(now, state ? &*state : nullptr, poll, std::move(news));
  }

  /// A node whose state is old asks nodes of the roster whether they know a newer one.
  void askRoster(TimePoint now, bool worried, std::vector<Outgoing>& sends) {
    bool const alone = worried && state && (settled || now - *startedAt >= policy.recoverAfterMs);
    if (!alone) {
      return;
    }
    Purpose const purpose = settled ? Purpose::verify : Purpose::recover;
    std::size_t const needed = settled ? state->roster.size() / 2 : (state->roster.size() + 1) / 2;
    StalenessCheck::Answered const answered = [&](std::string const& node) {
      return settled ? heardWithin(now, node, policy.contactGoodMs) : hasVouched(node);
    };
    for (messages::RosterEntry const& entry : stalenessCheck.due(now, state->roster, needed, answered)) {
      sends.push_back({entry.address, makePoll(now, entry.address, purpose)});
    }
  }

  bool heardWithin(TimePoint now, std::string const& node, Ms time) const {
    std::map<std::string, TimePoint>::const_iterator const found = contacts.find(node);
    return found != contacts.end() && now - found->second < time;
  }

  /// Whether this start of this node is known to a settled `node` that knows nothing newer.
  bool hasVouched(std::string const& node) const {
    std::map<std::string, std::uint64_t>::const_iterator const found = recovering.find(node);
    return found != recovering.end() && incarnations.trusts(node, found->second);
  }

  /// Another node has named a newer state than this one's. If nothing brings it soon, that node is asked for it, at
  /// most once in `replyMs`.
  void noteNewer(TimePoint now, std::string const& address) {
    behindSince = behindSince.value_or(now);
    fetchFrom = address;
  }

  void fetch(TimePoint now, std::vector<Outgoing>& sends) {
    if (behindSince && now - *behindSince >= policy.fetchAfterMs && now >= nextFetchAt) {
      nextFetchAt = now + policy.replyMs;
      sends.push_back({fetchFrom, makePoll(now, fetchFrom)});
    }
  }

  ConfigDeliveryStep hear(TimePoint now, std::string const& address, messages::News const& message,
                          std::optional<messages::State> next);
  void learnDigest(std::string const& address, Asked const& question, messages::News const& message);
  void take(Asked const& question, messages::News const& message);

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

ConfigDeliveryStep ConfigDelivery::Impl::hear(TimePoint now, std::string const& address, messages::News const& message,
                                              std::optional<messages::State> next) {
  ConfigDeliveryStep out;
  incarnations.merge(message.incarnations);
  newestHeard = std::max(newestHeard, StateVersion{message.epoch, message.sequence});
  out.changed = next && adopt(now, *std::move(next));
  if (!message.primaryAddress.empty()) {
    hurry = hurry || (!state && primaryAddress != message.primaryAddress);
    primaryAddress = message.primaryAddress;
  } else if (message.token != 0 && address == primaryAddress) {
    primaryAddress.clear();
  }
  if (out.changed) {
    out.sends = pushes(now);
  }
  std::map<std::uint64_t, Asked>::iterator const found = asked.find(message.token);
  if (message.token == 0 || found == asked.end()) {
    return out;
  }
  Asked const question = found->second;
  learnDigest(address, question, message);
  suspects.erase(address);
  asked.erase(found);
  if (StateVersion{message.epoch, message.sequence} > mark()) {
    if (question.purpose != Purpose::follow) {
      noteNewer(now, address);
    }
    return out;
  }
  take(question, message);
  return out;
}

/// A peer that lacked records which were not sent along has counted nothing of the poll: it is polled again at once,
/// and this time is sent them.
void ConfigDelivery::Impl::learnDigest(std::string const& address, Asked const& question,
                                       messages::News const& message) {
  if (digestsOfPeers.size() >= mostPeersKnown) {
    digestsOfPeers.clear();
  }
  digestsOfPeers[address] = message.incarnationsDigest;
  bool const counted = question.sentIncarnations || message.incarnationsDigest == question.incarnationsDigest;
  bool const confirms = question.purpose == Purpose::follow || question.purpose == Purpose::report;
  hurry = hurry || (confirms && !counted);
}

/// The answer of a node that knows no newer state than this one.
void ConfigDelivery::Impl::take(Asked const& question, messages::News const& message) {
  if (message.hasAge) {
    TimePoint const at = question.at - Ms(static_cast<long>(message.ageMs));
    anchor = anchor ? std::max(*anchor, at) : at;
  }
  bool const sameRecords = message.incarnationsDigest == question.incarnationsDigest && question.ownStartRecorded;
  bool const recorded =
      sameRecords || std::any_of(message.incarnations.begin(), message.incarnations.end(),
                                 [&](messages::IncarnationRecord const& incarnation) {
                                   return incarnation.node == self.node && incarnation.boot == peerStatus.boot;
                                 });
  if (question.purpose == Purpose::recover && message.settled && recorded && !settled) {
    recovering[message.node] = message.boot;
  }
  bool const caughtUp = anchor && startedAt && *anchor >= *startedAt;
  if (caughtUp && !incarnations.trusts(self.node, peerStatus.boot)) {
    incarnations.record(self.node, peerStatus.boot);
  }
  settled = settled || caughtUp || recovered();
  if (message.settled && (contacts.size() < mostContacts || contacts.contains(message.node))) {
    TimePoint& contact = contacts[message.node];
    contact = std::max(contact, question.at);
  }
}

ConfigDelivery::ConfigDelivery(ConfigDeliveryPolicy const& policy, messages::Follower const& self, std::uint64_t boot,
                               std::uint64_t seed)
    : impl_(std::make_unique<Impl>()) {
  impl_->policy = policy;
  impl_->self = self;
  impl_->peerStatus = {self.node, boot, false, {}};
  impl_->random.seed(seed);
  impl_->lastToken = impl_->random() >> 20;
  StalenessCheckPolicy check;
  check.replyMs = policy.replyMs;
  impl_->stalenessCheck = StalenessCheck(check, self.node, impl_->random() >> 20);
}

ConfigDelivery::~ConfigDelivery() = default;
ConfigDelivery::ConfigDelivery(ConfigDelivery const& other) : impl_(std::make_unique<Impl>(*other.impl_)) {}
ConfigDelivery::ConfigDelivery(ConfigDelivery&&) noexcept = default;
ConfigDelivery& ConfigDelivery::operator=(ConfigDelivery const& other) {
  impl_ = std::make_unique<Impl>(*other.impl_);
  return *this;
}
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
      out.sends.push_back({target, target == control ? impl.makeReport(now, target) : impl.makePoll(now, target)});
    }
    if ((worried || impl.peerStatus.leaving) && !control.empty() && control != target) {
      out.sends.push_back({control, impl.makeReport(now, control, Purpose::report)});
    }
  }
  if (!impl.state && now >= impl.nextFirstStateAt) {
    impl.nextFirstStateAt = now + impl.policy.replyMs;
    std::vector<std::string> fronts;
    for (messages::Peer const& peer : peers) {
      if (peer.role == messages::gatewayRole && peer.address != impl.self.address) {
        fronts.push_back(peer.address);
      }
    }
    if (!fronts.empty()) {
      std::string const& chosen = fronts[impl.random() % fronts.size()];
      out.sends.push_back({chosen, impl.makePoll(now, chosen, Purpose::verify)});
    }
  }
  impl.askRoster(now, worried, out.sends);
  impl.fetch(now, out.sends);
  return out;
}

ConfigDeliveryStep ConfigDelivery::hear(TimePoint now, std::string const&, messages::Poll const& message) {
  Impl& impl = *impl_;
  ConfigDeliveryStep out;
  if (message.self.node.empty()) {
    out.sends.push_back({message.self.address, impl.answer(now, message)});
    return out;
  }
  messages::PeerStatus peerStatus{message.self.node, 0, false, {}};
  for (messages::PeerStatus const& entry : message.peerStatuses) {
    if (entry.node == message.self.node) {
      peerStatus = entry;
      break;
    }
  }
  bool const confirms = impl.incarnations.learn(message.incarnationsDigest, peerStatus.incarnations);
  if (message.recover && impl.settled && peerStatus.boot != 0 && impl.state &&
      std::any_of(impl.state->roster.begin(), impl.state->roster.end(),
                  [&](messages::RosterEntry const& entry) { return entry.node == peerStatus.node; })) {
    impl.incarnations.record(peerStatus.node, peerStatus.boot);
  }
  if (message.follows) {
    impl.listen(now, confirms ? message.self : withoutVersion(message.self), peerStatus);
  }
  out.sends.push_back({message.self.address, impl.answer(now, message)});
  return out;
}

ConfigDeliveryStep ConfigDelivery::hear(TimePoint now, std::string const& address, messages::News const& message) {
  return impl_->hear(now, address, message, message.state);
}

ConfigDeliveryStep ConfigDelivery::hear(TimePoint now, std::string const& address,
                                        messages::StateUpdate const& message) {
  Impl& impl = *impl_;
  bool const newer = StateVersion{message.news.epoch, message.news.sequence} > impl.mark();
  std::optional<messages::State> next = applyUpdate(impl.state, message);
  impl.hurry = impl.hurry || (newer && !next);
  return impl.hear(now, address, message.news, std::move(next));
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
  out.versionsBehind = impl.newestHeard > impl.mark() ? impl.newestHeard.sequence - impl.mark().sequence : 0;
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
