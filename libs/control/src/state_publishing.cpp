// Sends the published state to the nodes that follow this primary or poll it, and records what they report.
#include "config_service_impl.h"

#include <functional>
#include <map>
#include <utility>

namespace limeramp::control {

void ConfigService::Impl::recordReport(messages::Follower const& follower, messages::PeerStatus const& peerStatus,
                                       bool direct) {
  if (!tracker.report(now, follower, peerStatus, direct)) {
    effects.emplace_back(replication::LogEntry{
        logging::Event::peerUnexpected, follower.node + " is at two addresses, one of them " + follower.address});
  }
}

messages::StateResponse ConfigService::Impl::response(messages::StateRequest const& poll,
                                                      replication::ReplicationGroup const& group) const {
  messages::StateResponse out;
  out.token = poll.token;
  out.node = id;
  out.primaryAddress = group.decided().primary != group.id() || isConfirmedPrimary() ? group.primaryAddress() : "";
  out.incarnationsDigest = tracker.incarnations().digest();
  if (poll.incarnationsDigest != out.incarnationsDigest) {
    out.incarnations = tracker.incarnations().list();
  }
  if (!active) {
    return out;
  }
  out.epoch = published.epoch;
  out.sequence = published.sequence;
  if (std::optional<TimePoint> const leadershipConfirmedAt = group.leadershipConfirmedAt()) {
    out.hasAge = true;
    out.ageMs = static_cast<std::uint64_t>(std::chrono::duration_cast<Ms>(now - *leadershipConfirmedAt).count()) + 1;
  }
  return out;
}

void ConfigService::Impl::publish(messages::State const& state) {
  bool const sameRoster = StateVersion{state.rosterEpoch, state.rosterSequence} ==
                          StateVersion{published.rosterEpoch, published.rosterSequence};
  rosterStable = rosterStable && sameRoster;
  bool const onlyRosterChanged = !sameRoster && state.evacuatedZones == published.evacuatedZones &&
                                 StateVersion{state.configurationEpoch, state.configurationSequence} ==
                                     StateVersion{published.configurationEpoch, published.configurationSequence};
  feed.replaced(now, published);
  published = state;
  publishedAt = now;
  tracker.recordPublished(now, stateVersion());
  if (onlyRosterChanged) {
    return;
  }
  messages::StateResponse out;
  out.node = id;
  out.epoch = published.epoch;
  out.sequence = published.sequence;
  for (distribution::Outgoing& outgoing : feed.push(now, published, out)) {
    effects.emplace_back(std::move(outgoing));
  }
}

void ConfigService::Impl::on(replication::ReplicationGroup const& group, StateRequestReceived const& event) {
  std::map<std::string, messages::PeerStatus const*> peerStatuses;
  for (messages::PeerStatus const& peerStatus : event.poll.peerStatuses) {
    peerStatuses.emplace(peerStatus.node, &peerStatus);
  }
  messages::PeerStatus const unknownStatus;
  std::function<messages::PeerStatus const&(std::string const&)> const statusOf =
      [&](std::string const& node) -> messages::PeerStatus const& {
    return peerStatuses.contains(node) ? *peerStatuses.at(node) : unknownStatus;
  };
  bool const versionsTrusted = tracker.learnIncarnations(event.poll);
  recordReport(versionsTrusted ? event.poll.self : distribution::withoutVersion(event.poll.self),
               statusOf(event.poll.self.node), true);
  for (messages::Follower const& follower : event.poll.followers) {
    recordReport(versionsTrusted ? follower : distribution::withoutVersion(follower), statusOf(follower.node), false);
  }
  messages::StateResponse out = response(event.poll, group);
  messages::Message answer = feed.answer(now, active ? &published : nullptr, event.poll, std::move(out));
  effects.emplace_back(distribution::Outgoing{event.poll.self.address, std::move(answer)});
  completeAcknowledged();
  startNext(group);
}

}  // namespace limeramp::control
