#include "limeramp/distribution/state_feed.h"

#include <algorithm>

namespace limeramp::distribution {
namespace {

using Ms = std::chrono::milliseconds;

messages::StateVersion configurationVersionOf(messages::State const& state) {
  return {state.configurationEpoch, state.configurationSequence};
}

}  // namespace

void StateFeed::replaced(TimePoint now, messages::State const& previous) {
  std::erase_if(followers_, [&](std::pair<std::string const, FollowerState> const& entry) {
    return now - entry.second.lastReceivedAt > options_.followerMs;
  });
  if (!followers_.empty()) {
    rosters_.remember(previous);
  }
}

messages::Message StateFeed::answer(TimePoint now, messages::State const* newest, messages::StateRequest const& poll,
                                    messages::StateResponse response) {
  if (!poll.follows) {
    return response;
  }
  FollowerState poller;
  poller.address = poll.self.address;
  poller.stateVersion = {poll.self.epoch, poll.self.sequence};
  poller.parts = poll.parts;
  poller.lastReceivedAt = now;
  std::map<std::string, FollowerState>::iterator const known = followers_.find(poll.self.node);
  if (poll.self.node.empty() || (known == followers_.end() && followers_.size() >= options_.maxFollowers)) {
    return newest == nullptr ? response : nextMessage(now, *newest, poller, response).value_or(response);
  }
  if (known != followers_.end() && known->second.stateVersion <= poller.stateVersion) {
    poller.sentConfiguration = known->second.sentConfiguration;
    poller.inFlightUntil = known->second.inFlightUntil;
  }
  FollowerState& follower = followers_[poll.self.node];
  follower = std::move(poller);
  return newest == nullptr ? response : nextMessage(now, *newest, follower, response).value_or(response);
}

std::vector<Outgoing> StateFeed::push(TimePoint now, messages::State const& newest,
                                      messages::StateResponse const& response) {
  std::vector<Outgoing> out;
  for (std::pair<std::string const, FollowerState>& entry : followers_) {
    if (now - entry.second.lastReceivedAt > options_.followerMs) {
      continue;
    }
    if (std::optional<messages::Message> message = nextMessage(now, newest, entry.second, response)) {
      out.push_back({entry.second.address, *std::move(message)});
    }
  }
  return out;
}

void StateFeed::digest(messages::StateDigest& digest) const {
  digest.add(followers_.size());
  for (std::pair<std::string const, FollowerState> const& entry : followers_) {
    FollowerState const& follower = entry.second;
    digest.add(entry.first);
    digest.add(follower.address);
    digest.add(follower.parts.has_value());
    for (messages::StateVersion const& version : {follower.stateVersion, follower.sentConfiguration}) {
      digest.add(version.epoch);
      digest.add(version.sequence);
    }
    digest.add(follower.lastReceivedAt);
    digest.add(follower.inFlightUntil);
  }
}

void StateFeed::recordDocumentSent(TimePoint now, messages::State const& newest, FollowerState& follower) {
  Ms const transfer(static_cast<long>(newest.document.size() / options_.bytesPerMs));
  linkBusyUntil_ = std::max(linkBusyUntil_, now) + transfer;
  follower.sentConfiguration = configurationVersionOf(newest);
  follower.inFlightUntil = linkBusyUntil_ + options_.resendMs;
}

std::optional<messages::Message> StateFeed::nextMessage(TimePoint now, messages::State const& newest,
                                                        FollowerState& follower,
                                                        messages::StateResponse const& response) {
  if (follower.stateVersion >= newest.version()) {
    return std::nullopt;
  }
  if (!follower.parts) {
    messages::StateResponse withState = response;
    withState.state = newest;
    withState.state->receipts.clear();
    return withState;
  }
  messages::StateUpdate update = updateFor(newest, *follower.parts, rosters_, response);
  bool const inFlight = follower.sentConfiguration == configurationVersionOf(newest) && now < follower.inFlightUntil;
  if (update.document && inFlight) {
    return std::nullopt;
  }
  if (update.document) {
    recordDocumentSent(now, newest, follower);
  }
  return update;
}

}  // namespace limeramp::distribution
