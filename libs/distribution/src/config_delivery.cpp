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

constexpr std::size_t maxFollowers = 1000;
constexpr std::size_t maxPeerConfirmations = 2000;
constexpr std::size_t maxPeersKnown = 2000;

/// Why a node polls another: to follow its state; to report to the primary beside the home that it follows; to hear
/// whether it knows a newer state; or, after a restart, to be recorded and hear the same.
enum class Purpose { follow, report, verify, recover };

struct PendingRequest {
  std::string address;
  TimePoint at{};
  Purpose purpose = Purpose::follow;
  /// What this node knew of incarnations when it asked, whether it sent it along, and whether its own start was in it.
  std::uint64_t incarnationsDigest = 0;
  bool sentIncarnations = true;
  bool ownStartRecorded = false;
};

struct FollowerReport {
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
  ConfigDeliveryOptions options;
  messages::Follower self;
  std::mt19937_64 random;
  std::optional<messages::State> state;
  std::string primaryAddress;
  std::optional<TimePoint> confirmedAt;
  std::map<std::string, TimePoint> peerConfirmations;
  std::map<std::uint64_t, PendingRequest> pendingRequests;
  std::map<std::string, TimePoint> suspects;
  std::map<std::string, FollowerReport> followers;
  std::uint64_t lastToken = 0;
  TimePoint nextPollAt{};
  TimePoint nextFirstStateAt{};
  std::optional<TimePoint> behindSince;
  std::string fetchFrom;
  TimePoint nextFetchAt{};
  std::size_t nextController = 0;
  bool pollNow = false;
  std::optional<TimePoint> startedAt;
  bool caughtUp = false;
  messages::PeerStatus peerStatus;
  IncarnationRecords incarnations;
  std::map<std::string, std::uint64_t> digestsOfPeers;
  std::map<std::string, std::uint64_t> confirmedIncarnations;
  StalenessCheck stalenessCheck{{}, "", 0};

  StateFeed feed;
  StateVersion newestKnown;

  StateVersion stateVersion() const { return state ? state->version() : StateVersion{}; }

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

  messages::StateRequest makeRequest(TimePoint now, std::string const& address, Purpose purpose = Purpose::follow) {
    messages::StateRequest poll;
    poll.token = ++lastToken;
    poll.self = self;
    poll.self.epoch = stateVersion().epoch;
    poll.self.sequence = stateVersion().sequence;
    poll.recover = purpose == Purpose::recover;
    poll.follows = purpose == Purpose::follow;
    poll.parts = partVersionsOf(state);
    poll.peerStatuses.push_back(peerStatus);
    poll.incarnationsDigest = incarnations.digest();
    bool const sends = purpose != Purpose::verify && !knowsIncarnations(address);
    if (sends) {
      poll.peerStatuses.back().incarnations = incarnations.list();
    }
    pendingRequests[poll.token] = {
        address, now, purpose, poll.incarnationsDigest, sends, incarnations.holds(self.node, peerStatus.boot)};
    return poll;
  }

  /// A poll of the primary also reports the followers. What they know of incarnations is in this node's own list.
  messages::StateRequest makeReport(TimePoint now, std::string const& address, Purpose purpose = Purpose::follow) {
    messages::StateRequest poll = makeRequest(now, address, purpose);
    for (std::pair<std::string const, FollowerReport> const& entry : followers) {
      messages::PeerStatus const& status = entry.second.peerStatus;
      poll.followers.push_back(entry.second.follower);
      poll.peerStatuses.push_back({status.node, status.boot, status.draining, {}});
    }
    return poll;
  }

  bool recovered() const {
    if (!listed() || !incarnations.trusts(self.node, peerStatus.boot)) {
      return false;
    }
    std::size_t const count = static_cast<std::size_t>(
        std::count_if(state->roster.begin(), state->roster.end(), [&](messages::RosterEntry const& entry) {
          return entry.node != self.node && hasConfirmedIncarnation(entry.node);
        }));
    return count >= (state->roster.size() + 1) / 2;
  }

  std::vector<std::string> zoneOwners(std::vector<messages::Peer> const& peers) const {
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
    for (std::string const& name : rankByRendezvousHash("configuration/" + self.zone, names)) {
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
    return known.empty() ? primaryAddress : known[++nextController % known.size()];
  }

  bool adopt(TimePoint now, messages::State next) {
    if (next.version() <= stateVersion()) {
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
    if (stateVersion() >= newestKnown) {
      behindSince.reset();
    }
    pollNow = pollNow || !served;
    return true;
  }

  void recordFollower(TimePoint now, messages::Follower const& follower, messages::PeerStatus const& status) {
    FollowerReport& report = followers[follower.node];
    StateVersion const had{report.follower.epoch, report.follower.sequence};
    StateVersion const has{follower.epoch, follower.sequence};
    pollNow = pollNow || (had != has && has == stateVersion());
    report = {follower, status, now};
    if (followers.size() > maxFollowers) {
      followers.erase(followers.begin());
    }
  }

  std::vector<Outgoing> pushes(TimePoint now) {
    messages::StateResponse response;
    response.node = self.node;
    response.epoch = stateVersion().epoch;
    response.sequence = stateVersion().sequence;
    response.primaryAddress = primaryAddress;
    return feed.push(now, *state, response);
  }

  messages::Message answer(TimePoint now, messages::StateRequest const& poll) {
    messages::StateResponse response;
    response.token = poll.token;
    response.node = self.node;
    response.epoch = stateVersion().epoch;
    response.sequence = stateVersion().sequence;
    response.primaryAddress = primaryAddress;
    response.caughtUp = caughtUp;
    response.boot = peerStatus.boot;
    response.incarnationsDigest = incarnations.digest();
    if ((poll.follows || poll.recover) && poll.incarnationsDigest != response.incarnationsDigest) {
      response.incarnations = incarnations.list();
    }
    if (confirmedAt) {
      response.hasAge = true;
      response.ageMs = static_cast<std::uint64_t>(std::chrono::duration_cast<Ms>(now - *confirmedAt).count()) + 1;
    }
    return feed.answer(now, state ? &*state : nullptr, poll, std::move(response));
  }

  /// A node whose state is old asks nodes of the roster whether they know a newer one.
  void askRoster(TimePoint now, bool confirmationOverdue, std::vector<Outgoing>& sends) {
    bool const asksRoster = confirmationOverdue && state && (caughtUp || now - *startedAt >= options.recoverAfterMs);
    if (!asksRoster) {
      return;
    }
    Purpose const purpose = caughtUp ? Purpose::verify : Purpose::recover;
    std::size_t const needed = caughtUp ? state->roster.size() / 2 : (state->roster.size() + 1) / 2;
    StalenessCheck::Answered const answered = [&](std::string const& node) {
      return caughtUp ? confirmedWithin(now, node, options.peerConfirmationValidMs) : hasConfirmedIncarnation(node);
    };
    for (messages::RosterEntry const& entry : stalenessCheck.due(now, state->roster, needed, answered)) {
      sends.push_back({entry.address, makeRequest(now, entry.address, purpose)});
    }
  }

  bool confirmedWithin(TimePoint now, std::string const& node, Ms time) const {
    std::map<std::string, TimePoint>::const_iterator const found = peerConfirmations.find(node);
    return found != peerConfirmations.end() && now - found->second < time;
  }

  /// Whether this start of this node is known to a settled `node` that knows nothing newer.
  bool hasConfirmedIncarnation(std::string const& node) const {
    std::map<std::string, std::uint64_t>::const_iterator const found = confirmedIncarnations.find(node);
    return found != confirmedIncarnations.end() && incarnations.trusts(node, found->second);
  }

  /// Another node has named a newer state than this one's. If nothing brings it soon, that node is asked for it, at
  /// most once in `replyMs`.
  void noteNewerVersion(TimePoint now, std::string const& address) {
    behindSince = behindSince.value_or(now);
    fetchFrom = address;
  }

  void fetch(TimePoint now, std::vector<Outgoing>& sends) {
    if (behindSince && now - *behindSince >= options.fetchAfterMs && now >= nextFetchAt) {
      nextFetchAt = now + options.replyMs;
      sends.push_back({fetchFrom, makeRequest(now, fetchFrom)});
    }
  }

  ConfigDeliveryStep onMessage(TimePoint now, std::string const& address, messages::StateResponse const& message,
                               std::optional<messages::State> next);
  void recordPeerDigest(std::string const& address, PendingRequest const& question,
                        messages::StateResponse const& message);
  void countConfirmation(PendingRequest const& question, messages::StateResponse const& message);

  std::optional<TimePoint> majorityConfirmedAt() const {
    if (!listed()) {
      return std::nullopt;
    }
    std::vector<TimePoint> times;
    for (messages::RosterEntry const& entry : state->roster) {
      std::map<std::string, TimePoint>::const_iterator const found = peerConfirmations.find(entry.node);
      if (entry.node != self.node && found != peerConfirmations.end()) {
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

ConfigDeliveryStep ConfigDelivery::Impl::onMessage(TimePoint now, std::string const& address,
                                                   messages::StateResponse const& message,
                                                   std::optional<messages::State> next) {
  ConfigDeliveryStep out;
  incarnations.merge(message.incarnations);
  newestKnown = std::max(newestKnown, StateVersion{message.epoch, message.sequence});
  out.changed = next && adopt(now, *std::move(next));
  if (!message.primaryAddress.empty()) {
    pollNow = pollNow || (!state && primaryAddress != message.primaryAddress);
    primaryAddress = message.primaryAddress;
  } else if (message.token != 0 && address == primaryAddress) {
    primaryAddress.clear();
  }
  if (out.changed) {
    out.sends = pushes(now);
  }
  std::map<std::uint64_t, PendingRequest>::iterator const found = pendingRequests.find(message.token);
  if (message.token == 0 || found == pendingRequests.end()) {
    return out;
  }
  PendingRequest const question = found->second;
  recordPeerDigest(address, question, message);
  suspects.erase(address);
  pendingRequests.erase(found);
  if (StateVersion{message.epoch, message.sequence} > stateVersion()) {
    if (question.purpose != Purpose::follow) {
      noteNewerVersion(now, address);
    }
    return out;
  }
  countConfirmation(question, message);
  return out;
}

/// A peer that lacked records which were not sent along has counted nothing of the poll: it is polled again at once,
/// and this time is sent them.
void ConfigDelivery::Impl::recordPeerDigest(std::string const& address, PendingRequest const& question,
                                            messages::StateResponse const& message) {
  if (digestsOfPeers.size() >= maxPeersKnown) {
    digestsOfPeers.clear();
  }
  digestsOfPeers[address] = message.incarnationsDigest;
  bool const counted = question.sentIncarnations || message.incarnationsDigest == question.incarnationsDigest;
  bool const confirms = question.purpose == Purpose::follow || question.purpose == Purpose::report;
  pollNow = pollNow || (confirms && !counted);
}

/// The answer of a node that knows no newer state than this one.
void ConfigDelivery::Impl::countConfirmation(PendingRequest const& question, messages::StateResponse const& message) {
  if (message.hasAge) {
    TimePoint const at = question.at - Ms(static_cast<long>(message.ageMs));
    confirmedAt = confirmedAt ? std::max(*confirmedAt, at) : at;
  }
  bool const sameRecords = message.incarnationsDigest == question.incarnationsDigest && question.ownStartRecorded;
  bool const recorded =
      sameRecords || std::any_of(message.incarnations.begin(), message.incarnations.end(),
                                 [&](messages::IncarnationRecord const& incarnation) {
                                   return incarnation.node == self.node && incarnation.boot == peerStatus.boot;
                                 });
  if (question.purpose == Purpose::recover && message.caughtUp && recorded && !caughtUp) {
    confirmedIncarnations[message.node] = message.boot;
  }
  bool const confirmedSinceStart = confirmedAt && startedAt && *confirmedAt >= *startedAt;
  if (confirmedSinceStart && !incarnations.trusts(self.node, peerStatus.boot)) {
    incarnations.record(self.node, peerStatus.boot);
  }
  caughtUp = caughtUp || confirmedSinceStart || recovered();
  if (message.caughtUp &&
      (peerConfirmations.size() < maxPeerConfirmations || peerConfirmations.contains(message.node))) {
    TimePoint& peerConfirmation = peerConfirmations[message.node];
    peerConfirmation = std::max(peerConfirmation, question.at);
  }
}

ConfigDelivery::ConfigDelivery(ConfigDeliveryOptions const& options, messages::Follower const& self, std::uint64_t boot,
                               std::uint64_t seed)
    : impl_(std::make_unique<Impl>()) {
  impl_->options = options;
  impl_->self = self;
  impl_->peerStatus = {self.node, boot, false, {}};
  impl_->random.seed(seed);
  impl_->lastToken = impl_->random() >> 20;
  StalenessCheckOptions check;
  check.replyMs = options.replyMs;
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
  std::erase_if(impl.pendingRequests, [&](std::pair<std::uint64_t const, PendingRequest> const& entry) {
    bool const late = now - entry.second.at > impl.options.replyMs;
    if (late) {
      impl.suspects[entry.second.address] = now + impl.options.suspectMs;
    }
    return late;
  });
  std::erase_if(impl.followers, [&](std::pair<std::string const, FollowerReport> const& entry) {
    return now - entry.second.at > impl.options.followerMs;
  });
  bool const confirmationOverdue = !impl.confirmedAt || now - *impl.confirmedAt > impl.options.stalenessCheckMs;
  if (now >= impl.nextPollAt || impl.pollNow) {
    impl.nextPollAt = now + impl.options.pollMs;
    impl.pollNow = false;
    std::string target;
    for (std::string const& owner : impl.zoneOwners(peers)) {
      if (owner == impl.self.address) {
        break;
      }
      if (!impl.suspects.contains(owner)) {
        target = owner;
        break;
      }
    }
    std::string const control = impl.controlAddress(peers);
    bool const remote = std::any_of(peers.begin(), peers.end(), [&](messages::Peer const& peer) {
      return peer.address == control && peer.zone != impl.self.zone;
    });
    if (target.empty()) {
      target = control;
      impl.nextPollAt =
          impl.state && remote && !confirmationOverdue ? now + impl.options.remotePollMs : impl.nextPollAt;
    }
    if (!target.empty()) {
      out.sends.push_back({target, target == control ? impl.makeReport(now, target) : impl.makeRequest(now, target)});
    }
    if ((confirmationOverdue || impl.peerStatus.draining) && !control.empty() && control != target) {
      out.sends.push_back({control, impl.makeReport(now, control, Purpose::report)});
    }
  }
  if (!impl.state && now >= impl.nextFirstStateAt) {
    impl.nextFirstStateAt = now + impl.options.replyMs;
    std::vector<std::string> gateways;
    for (messages::Peer const& peer : peers) {
      if (peer.role == messages::gatewayRole && peer.address != impl.self.address) {
        gateways.push_back(peer.address);
      }
    }
    if (!gateways.empty()) {
      std::string const& chosen = gateways[impl.random() % gateways.size()];
      out.sends.push_back({chosen, impl.makeRequest(now, chosen, Purpose::verify)});
    }
  }
  impl.askRoster(now, confirmationOverdue, out.sends);
  impl.fetch(now, out.sends);
  return out;
}

ConfigDeliveryStep ConfigDelivery::onMessage(TimePoint now, std::string const&, messages::StateRequest const& message) {
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
  if (message.recover && impl.caughtUp && peerStatus.boot != 0 && impl.state &&
      std::any_of(impl.state->roster.begin(), impl.state->roster.end(),
                  [&](messages::RosterEntry const& entry) { return entry.node == peerStatus.node; })) {
    impl.incarnations.record(peerStatus.node, peerStatus.boot);
  }
  if (message.follows) {
    impl.recordFollower(now, confirms ? message.self : withoutVersion(message.self), peerStatus);
  }
  out.sends.push_back({message.self.address, impl.answer(now, message)});
  return out;
}

ConfigDeliveryStep ConfigDelivery::onMessage(TimePoint now, std::string const& address,
                                             messages::StateResponse const& message) {
  return impl_->onMessage(now, address, message, message.state);
}

ConfigDeliveryStep ConfigDelivery::onMessage(TimePoint now, std::string const& address,
                                             messages::StateUpdate const& message) {
  Impl& impl = *impl_;
  bool const newer = StateVersion{message.response.epoch, message.response.sequence} > impl.stateVersion();
  std::optional<messages::State> next = applyUpdate(impl.state, message);
  impl.pollNow = impl.pollNow || (newer && !next);
  return impl.onMessage(now, address, message.response, std::move(next));
}

void ConfigDelivery::leave() {
  impl_->peerStatus.draining = true;
  impl_->pollNow = true;
}

DeliveryStatus ConfigDelivery::status(TimePoint now) const {
  Impl const& impl = *impl_;
  DeliveryStatus out;
  if (!impl.state) {
    return out;
  }
  out.versionsBehind =
      impl.newestKnown > impl.stateVersion() ? impl.newestKnown.sequence - impl.stateVersion().sequence : 0;
  out.ageMs = impl.confirmedAt ? std::chrono::duration_cast<Ms>(now - *impl.confirmedAt) : Ms::max();
  if (!impl.listed() && !impl.peerStatus.draining) {
    out.freshness = ConfigFreshness::notMember;
  } else if (impl.confirmedAt && now - *impl.confirmedAt <= impl.options.currentMs) {
    out.freshness = ConfigFreshness::confirmedByPrimary;
  } else {
    std::optional<TimePoint> const confirmedByMajority = impl.majorityConfirmedAt();
    bool const majorityIsFresh =
        impl.caughtUp && confirmedByMajority &&
        (*confirmedByMajority == TimePoint::max() || now - *confirmedByMajority <= impl.options.currentMs);
    out.freshness = majorityIsFresh ? ConfigFreshness::confirmedByMajority : ConfigFreshness::stale;
  }
  return out;
}

std::optional<messages::State> const& ConfigDelivery::state() const { return impl_->state; }
std::string const& ConfigDelivery::primaryAddress() const { return impl_->primaryAddress; }

}  // namespace limeramp::distribution
