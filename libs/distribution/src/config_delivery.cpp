#include "limeramp/distribution/config_delivery.h"

#include "follower_reports.h"
#include "freshness_tracker.h"
#include "limeramp/distribution/staleness_check.h"
#include "limeramp/distribution/state_feed.h"
#include "poll_targets.h"
#include "state_fetch.h"

#include <algorithm>
#include <map>
#include <random>

namespace limeramp::distribution {
namespace {

using Ms = std::chrono::milliseconds;
using messages::StateVersion;

constexpr std::size_t maxPeersKnown = 2000;

/// Why a node sends a request: `follow` polls for the state; `report` reports to the primary in addition to the zone
/// owner that the node follows; `verify` asks whether the peer knows a newer state; `recover` asks the same after a
/// restart and has the peer record this node's new incarnation.
enum class Purpose { follow, report, verify, recover };

/// A request that has not been answered yet.
struct PendingRequest {
  std::string address;
  TimePoint at{};
  Purpose purpose = Purpose::follow;
  /// The digest of this node's incarnation records at the time of the request, whether the request carried the records,
  /// and whether they included this node's own incarnation.
  std::uint64_t incarnationsDigest = 0;
  bool sentIncarnations = true;
  bool ownIncarnationRecorded = false;
};

StateVersion configurationVersionOf(messages::State const& state) {
  return {state.configurationEpoch, state.configurationSequence};
}

}  // namespace

messages::Follower withoutVersion(messages::Follower follower) {
  follower.epoch = 0;
  follower.sequence = 0;
  return follower;
}

struct ConfigDelivery::Impl {
  ConfigDeliveryOptions options;
  messages::Follower self;
  messages::PeerStatus peerStatus;
  std::mt19937_64 random;
  std::optional<TimePoint> startedAt;

  /// The newest state received, without receipts. Its version never decreases.
  std::optional<messages::State> state;
  /// The newest version that any node has named.
  StateVersion newestKnown;
  /// Empty while no primary is known.
  std::string primaryAddress;
  /// True once the primary, or the nodes that took part in a recovery, have confirmed a state since this start. Until
  /// then no other node may count a confirmation by this one.
  bool caughtUp = false;
  FreshnessTracker freshness;

  /// By token; dropped after `replyMs`.
  std::map<std::uint64_t, PendingRequest> pendingRequests;
  std::uint64_t lastToken = 0;
  PollTargets targets;
  TimePoint nextPollAt{};
  TimePoint nextFirstStateRequestAt{};
  /// The next tick polls without waiting for the interval: the followed node or the primary should learn of a change.
  bool pollNow = false;
  StateFetch fetch;
  StalenessCheck stalenessCheck{{}, "", 0};

  IncarnationRecords incarnations;
  /// The digest of incarnation records that each peer named in its last answer, by address. At most `maxPeersKnown`.
  std::map<std::string, std::uint64_t> peerDigests;
  /// During a recovery: the nodes that know this node's incarnation, each with its own incarnation when it said so.
  std::map<std::string, std::uint64_t> confirmedIncarnations;

  FollowerReports followers;
  StateFeed feed;

  StateVersion stateVersion() const { return state ? state->version() : StateVersion{}; }
  bool isSelfListed() const;
  bool confirmationOverdue(TimePoint now) const;
  bool hasSameIncarnationRecords(std::string const& address) const;
  bool hasConfirmedIncarnation(std::string const& node) const;
  bool recovered() const;

  messages::StateRequest makeRequest(TimePoint now, std::string const& address, Purpose purpose = Purpose::follow);
  messages::StateRequest makeReport(TimePoint now, std::string const& address, Purpose purpose = Purpose::follow);
  messages::StateResponse makeResponse() const;

  void expire(TimePoint now);
  void poll(TimePoint now, std::vector<messages::Peer> const& peers, std::vector<Outgoing>& sends);
  void requestFirstState(TimePoint now, std::vector<messages::Peer> const& peers, std::vector<Outgoing>& sends);
  void sendStalenessChecks(TimePoint now, std::vector<Outgoing>& sends);
  void fetchNewerState(TimePoint now, std::vector<Outgoing>& sends);

  messages::Message answer(TimePoint now, messages::StateRequest const& request);
  ConfigDeliveryStep onMessage(TimePoint now, std::string const& address, messages::StateResponse const& message,
                               std::optional<messages::State> next);
  bool adopt(TimePoint now, messages::State next);
  void recordPrimary(std::string const& address, messages::StateResponse const& message);
  void recordPeerDigest(std::string const& address, PendingRequest const& pending,
                        messages::StateResponse const& message);
  void countConfirmation(PendingRequest const& pending, messages::StateResponse const& message);
  bool knowsOwnIncarnation(PendingRequest const& pending, messages::StateResponse const& message) const;
};

bool ConfigDelivery::Impl::isSelfListed() const {
  return state && std::any_of(state->roster.begin(), state->roster.end(), [&](messages::RosterEntry const& entry) {
           return entry.node == self.node && entry.address == self.address;
         });
}

bool ConfigDelivery::Impl::confirmationOverdue(TimePoint now) const {
  std::optional<TimePoint> const confirmedAt = freshness.primaryConfirmedAt();
  return !confirmedAt || now - *confirmedAt > options.stalenessCheckMs;
}

/// Whether the peer's last answer named the same set of incarnation records as this node has.
bool ConfigDelivery::Impl::hasSameIncarnationRecords(std::string const& address) const {
  std::map<std::string, std::uint64_t>::const_iterator const found = peerDigests.find(address);
  return found != peerDigests.end() && found->second == incarnations.digest();
}

/// Whether `node`, which had caught up and knew no newer state, has confirmed that it knows this node's incarnation.
bool ConfigDelivery::Impl::hasConfirmedIncarnation(std::string const& node) const {
  std::map<std::string, std::uint64_t>::const_iterator const found = confirmedIncarnations.find(node);
  return found != confirmedIncarnations.end() && incarnations.trusts(node, found->second);
}

/// Whether enough nodes have recorded this incarnation that no majority can count a confirmation by the previous one.
bool ConfigDelivery::Impl::recovered() const {
  if (!isSelfListed() || !incarnations.trusts(self.node, peerStatus.boot)) {
    return false;
  }
  std::size_t const count = static_cast<std::size_t>(
      std::count_if(state->roster.begin(), state->roster.end(), [&](messages::RosterEntry const& entry) {
        return entry.node != self.node && hasConfirmedIncarnation(entry.node);
      }));
  return count >= (state->roster.size() + 1) / 2;
}

messages::StateRequest ConfigDelivery::Impl::makeRequest(TimePoint now, std::string const& address, Purpose purpose) {
  messages::StateRequest request;
  request.token = ++lastToken;
  request.self = self;
  request.self.epoch = stateVersion().epoch;
  request.self.sequence = stateVersion().sequence;
  request.recover = purpose == Purpose::recover;
  request.follows = purpose == Purpose::follow;
  request.parts = partVersionsOf(state);
  request.peerStatuses.push_back(peerStatus);
  request.incarnationsDigest = incarnations.digest();
  bool const sendsRecords = purpose != Purpose::verify && !hasSameIncarnationRecords(address);
  if (sendsRecords) {
    request.peerStatuses.back().incarnations = incarnations.list();
  }
  pendingRequests[request.token] = {
      address, now, purpose, request.incarnationsDigest, sendsRecords, incarnations.holds(self.node, peerStatus.boot)};
  return request;
}

messages::StateRequest ConfigDelivery::Impl::makeReport(TimePoint now, std::string const& address, Purpose purpose) {
  messages::StateRequest request = makeRequest(now, address, purpose);
  followers.addTo(request);
  return request;
}

/// The fields that are the same in every response.
messages::StateResponse ConfigDelivery::Impl::makeResponse() const {
  messages::StateResponse response;
  response.node = self.node;
  response.epoch = stateVersion().epoch;
  response.sequence = stateVersion().sequence;
  response.primaryAddress = primaryAddress;
  return response;
}

void ConfigDelivery::Impl::expire(TimePoint now) {
  targets.expire(now);
  std::erase_if(pendingRequests, [&](std::pair<std::uint64_t const, PendingRequest> const& entry) {
    bool const expired = now - entry.second.at > options.replyMs;
    if (expired) {
      targets.suspect(entry.second.address, now + options.suspectMs);
    }
    return expired;
  });
  followers.expire(now, options.followerMs);
}

void ConfigDelivery::Impl::poll(TimePoint now, std::vector<messages::Peer> const& peers, std::vector<Outgoing>& sends) {
  nextPollAt = now + options.pollMs;
  pollNow = false;
  messages::Peer const selfPeer{self.node, self.address, self.zone, messages::gatewayRole, peerStatus.boot, 0};
  static std::vector<messages::RosterEntry> const noRoster;
  std::string target = targets.zoneOwner(selfPeer, state ? state->roster : noRoster, peers);
  std::string const controllerAddress = targets.controller(primaryAddress, peers);
  bool const overdue = confirmationOverdue(now);
  if (target.empty()) {
    target = controllerAddress;
    bool const remote = std::any_of(peers.begin(), peers.end(), [&](messages::Peer const& peer) {
      return peer.address == controllerAddress && peer.zone != self.zone;
    });
    nextPollAt = state && remote && !overdue ? now + options.remotePollMs : nextPollAt;
  }
  if (!target.empty()) {
    sends.push_back({target, target == controllerAddress ? makeReport(now, target) : makeRequest(now, target)});
  }
  if ((overdue || peerStatus.draining) && !controllerAddress.empty() && controllerAddress != target) {
    sends.push_back({controllerAddress, makeReport(now, controllerAddress, Purpose::report)});
  }
}

/// A node without any state asks one random gateway in addition to the nodes that it polls.
void ConfigDelivery::Impl::requestFirstState(TimePoint now, std::vector<messages::Peer> const& peers,
                                             std::vector<Outgoing>& sends) {
  if (state || now < nextFirstStateRequestAt) {
    return;
  }
  nextFirstStateRequestAt = now + options.replyMs;
  std::vector<std::string> gateways;
  for (messages::Peer const& peer : peers) {
    if (peer.role == messages::gatewayRole && peer.address != self.address) {
      gateways.push_back(peer.address);
    }
  }
  if (!gateways.empty()) {
    std::string const& chosen = gateways[random() % gateways.size()];
    sends.push_back({chosen, makeRequest(now, chosen, Purpose::verify)});
  }
}

/// If the primary's confirmation is overdue, asks nodes of the roster whether they know a newer state.
void ConfigDelivery::Impl::sendStalenessChecks(TimePoint now, std::vector<Outgoing>& sends) {
  if (!state || !confirmationOverdue(now) || (!caughtUp && now - *startedAt < options.recoverAfterMs)) {
    return;
  }
  Purpose const purpose = caughtUp ? Purpose::verify : Purpose::recover;
  std::size_t const needed = caughtUp ? state->roster.size() / 2 : (state->roster.size() + 1) / 2;
  StalenessCheck::Answered const answered = [&](std::string const& node) {
    return caughtUp ? freshness.peerConfirmedWithin(now, node, options.peerConfirmationValidMs)
                    : hasConfirmedIncarnation(node);
  };
  for (messages::RosterEntry const& entry : stalenessCheck.due(now, state->roster, needed, answered)) {
    sends.push_back({entry.address, makeRequest(now, entry.address, purpose)});
  }
}

void ConfigDelivery::Impl::fetchNewerState(TimePoint now, std::vector<Outgoing>& sends) {
  if (std::optional<std::string> const from = fetch.due(now, options.fetchAfterMs, options.replyMs)) {
    sends.push_back({*from, makeRequest(now, *from)});
  }
}

messages::Message ConfigDelivery::Impl::answer(TimePoint now, messages::StateRequest const& request) {
  messages::StateResponse response = makeResponse();
  response.token = request.token;
  response.caughtUp = caughtUp;
  response.boot = peerStatus.boot;
  response.incarnationsDigest = incarnations.digest();
  if ((request.follows || request.recover) && request.incarnationsDigest != response.incarnationsDigest) {
    response.incarnations = incarnations.list();
  }
  if (std::optional<TimePoint> const confirmedAt = freshness.primaryConfirmedAt()) {
    response.hasAge = true;
    response.ageMs = static_cast<std::uint64_t>(std::chrono::duration_cast<Ms>(now - *confirmedAt).count()) + 1;
  }
  return feed.answer(now, state ? &*state : nullptr, request, std::move(response));
}

bool ConfigDelivery::Impl::adopt(TimePoint now, messages::State next) {
  if (next.version() <= stateVersion()) {
    return false;
  }
  bool const servingPartsUnchanged = state && state->evacuatedZones == next.evacuatedZones &&
                                     configurationVersionOf(*state) == configurationVersionOf(next);
  if (state) {
    feed.replaced(now, *state);
  }
  state = std::move(next);
  state->receipts.clear();
  if (stateVersion() >= newestKnown) {
    fetch.arrived();
  }
  pollNow = pollNow || !servingPartsUnchanged;
  return true;
}

ConfigDeliveryStep ConfigDelivery::Impl::onMessage(TimePoint now, std::string const& address,
                                                   messages::StateResponse const& message,
                                                   std::optional<messages::State> next) {
  ConfigDeliveryStep out;
  incarnations.merge(message.incarnations);
  newestKnown = std::max(newestKnown, StateVersion{message.epoch, message.sequence});
  out.changed = next && adopt(now, *std::move(next));
  recordPrimary(address, message);
  if (out.changed) {
    out.sends = feed.push(now, *state, makeResponse());
  }
  std::map<std::uint64_t, PendingRequest>::iterator const found = pendingRequests.find(message.token);
  if (message.token == 0 || found == pendingRequests.end()) {
    return out;
  }
  PendingRequest const pending = found->second;
  recordPeerDigest(address, pending, message);
  targets.answered(address);
  pendingRequests.erase(found);
  if (StateVersion{message.epoch, message.sequence} > stateVersion()) {
    if (pending.purpose != Purpose::follow) {
      fetch.recordNewer(now, address);
    }
    return out;
  }
  countConfirmation(pending, message);
  return out;
}

void ConfigDelivery::Impl::recordPrimary(std::string const& address, messages::StateResponse const& message) {
  if (!message.primaryAddress.empty()) {
    pollNow = pollNow || (!state && primaryAddress != message.primaryAddress);
    primaryAddress = message.primaryAddress;
  } else if (message.token != 0 && address == primaryAddress) {
    primaryAddress.clear();
  }
}

/// A peer that lacks incarnation records which the poll did not carry has not counted the poll as a confirmation. It is
/// polled again at once, this time with the records.
void ConfigDelivery::Impl::recordPeerDigest(std::string const& address, PendingRequest const& pending,
                                            messages::StateResponse const& message) {
  if (peerDigests.size() >= maxPeersKnown) {
    peerDigests.clear();
  }
  peerDigests[address] = message.incarnationsDigest;
  bool const countedByPeer = pending.sentIncarnations || message.incarnationsDigest == pending.incarnationsDigest;
  bool const confirms = pending.purpose == Purpose::follow || pending.purpose == Purpose::report;
  pollNow = pollNow || (confirms && !countedByPeer);
}

bool ConfigDelivery::Impl::knowsOwnIncarnation(PendingRequest const& pending,
                                               messages::StateResponse const& message) const {
  bool const sameRecords = message.incarnationsDigest == pending.incarnationsDigest && pending.ownIncarnationRecorded;
  return sameRecords || std::any_of(message.incarnations.begin(), message.incarnations.end(),
                                    [&](messages::IncarnationRecord const& incarnation) {
                                      return incarnation.node == self.node && incarnation.boot == peerStatus.boot;
                                    });
}

/// Processes the answer of a node that knows no newer state than this one.
void ConfigDelivery::Impl::countConfirmation(PendingRequest const& pending, messages::StateResponse const& message) {
  if (message.hasAge) {
    freshness.confirmedByPrimary(pending.at - Ms(static_cast<long>(message.ageMs)));
  }
  if (pending.purpose == Purpose::recover && message.caughtUp && knowsOwnIncarnation(pending, message) && !caughtUp) {
    confirmedIncarnations[message.node] = message.boot;
  }
  std::optional<TimePoint> const confirmedAt = freshness.primaryConfirmedAt();
  bool const confirmedSinceStart = confirmedAt && startedAt && *confirmedAt >= *startedAt;
  if (confirmedSinceStart && !incarnations.trusts(self.node, peerStatus.boot)) {
    incarnations.record(self.node, peerStatus.boot);
  }
  caughtUp = caughtUp || confirmedSinceStart || recovered();
  if (message.caughtUp) {
    freshness.confirmedByPeer(message.node, pending.at);
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
  StalenessCheckOptions checkOptions;
  checkOptions.replyMs = options.replyMs;
  impl_->stalenessCheck = StalenessCheck(checkOptions, self.node, impl_->random() >> 20);
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
  impl.expire(now);
  if (now >= impl.nextPollAt || impl.pollNow) {
    impl.poll(now, peers, out.sends);
  }
  impl.requestFirstState(now, peers, out.sends);
  impl.sendStalenessChecks(now, out.sends);
  impl.fetchNewerState(now, out.sends);
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
  bool const mayConfirm = impl.incarnations.learn(message.incarnationsDigest, peerStatus.incarnations);
  if (message.recover && impl.caughtUp && peerStatus.boot != 0 && impl.state &&
      messages::isListed(impl.state->roster, peerStatus.node)) {
    impl.incarnations.record(peerStatus.node, peerStatus.boot);
  }
  if (message.follows) {
    messages::Follower const follower = mayConfirm ? message.self : withoutVersion(message.self);
    bool const newlyConfirmed = impl.followers.record(now, follower, peerStatus, impl.stateVersion());
    impl.pollNow = impl.pollNow || newlyConfirmed;
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

void ConfigDelivery::beginShutdown() {
  impl_->peerStatus.draining = true;
  impl_->pollNow = true;
}

DeliveryStatus ConfigDelivery::status(TimePoint now) const {
  Impl const& impl = *impl_;
  DeliveryStatus out;
  if (!impl.state) {
    return out;
  }
  std::optional<TimePoint> const confirmedAt = impl.freshness.primaryConfirmedAt();
  out.versionsBehind =
      impl.newestKnown > impl.stateVersion() ? impl.newestKnown.sequence - impl.stateVersion().sequence : 0;
  out.ageMs = confirmedAt ? std::chrono::duration_cast<Ms>(now - *confirmedAt) : Ms::max();
  if (!impl.isSelfListed() && !impl.peerStatus.draining) {
    out.freshness = ConfigFreshness::notMember;
    return out;
  }
  if (confirmedAt && now - *confirmedAt <= impl.options.currentMs) {
    out.freshness = ConfigFreshness::confirmedByPrimary;
    return out;
  }
  std::optional<TimePoint> const majorityAt =
      impl.isSelfListed() ? impl.freshness.majorityConfirmedAt(impl.state->roster, impl.self.node) : std::nullopt;
  bool const majorityIsFresh =
      impl.caughtUp && majorityAt && (*majorityAt == TimePoint::max() || now - *majorityAt <= impl.options.currentMs);
  out.freshness = majorityIsFresh ? ConfigFreshness::confirmedByMajority : ConfigFreshness::stale;
  return out;
}

std::optional<messages::State> const& ConfigDelivery::state() const { return impl_->state; }
std::string const& ConfigDelivery::primaryAddress() const { return impl_->primaryAddress; }

}  // namespace limeramp::distribution
