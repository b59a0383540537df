#include "node_tracker.h"

#include "limeramp/control/state_bounds.h"

#include <algorithm>

namespace limeramp::control {
namespace {

bool fitsOnRoster(messages::Follower const& follower) {
  return std::max({follower.node.size(), follower.address.size(), follower.zone.size()}) <= maxRosterTextBytes;
}

}  // namespace

void NodeTracker::leadershipBegan(TimePoint now) {
  leadershipBeganAt_ = now;
  publishedAt_.clear();
}

void NodeTracker::leadershipEnded() {
  for (std::pair<std::string const, ExitRecord>& entry : exitRecords_) {
    entry.second.removedByOperator = false;
  }
}

void NodeTracker::recordPublished(TimePoint now, StateVersion const& version) {
  publishedAt_[version] = now;
  if (publishedAt_.size() > 4 * options_.maxChanges) {
    publishedAt_.erase(publishedAt_.begin());
  }
}

bool NodeTracker::learnIncarnations(messages::StateRequest const& poll) {
  for (messages::PeerStatus const& status : poll.peerStatuses) {
    if (status.node == poll.self.node) {
      return incarnations_.learn(poll.incarnationsDigest, status.incarnations);
    }
  }
  return poll.incarnationsDigest == 0 || incarnations_.learn(poll.incarnationsDigest, {});
}

bool NodeTracker::report(TimePoint now, messages::Follower const& follower, messages::PeerStatus const& status,
                         bool direct) {
  bool const isFull = nodes_.size() >= options_.maxNodes && !nodes_.contains(follower.node);
  if (isFull || !fitsOnRoster(follower)) {
    return true;
  }
  incarnations_.merge(status.incarnations);
  TrackedNode& entry = nodes_[follower.node];
  if (status.boot != 0 && status.boot == entry.drainedBoot && !direct && !status.draining) {
    return true;
  }
  bool const known = !entry.follower.address.empty();
  bool const moved = entry.follower.address != follower.address;
  if (known && moved && now - entry.lastReceivedAt <= options_.nodeCurrentMs) {
    return false;
  }
  if (moved || entry.boot != status.boot) {
    entry.confirmed = {0, 0};
  }
  std::map<std::string, ExitRecord>::iterator const record = exitRecords_.find(follower.node);
  if (record != exitRecords_.end() && (status.boot != entry.boot || direct)) {
    record->second.removedByOperator = false;
  }
  entry.boot = status.boot;
  entry.draining = status.draining;
  entry.drainedBoot = status.draining ? status.boot : entry.drainedBoot;
  entry.follower = follower;
  entry.confirmed = std::max(entry.confirmed, StateVersion{follower.epoch, follower.sequence});
  entry.lastReceivedAt = now;
  entry.direct = direct;
  return true;
}

TrackedNode const* NodeTracker::find(std::string const& node) const {
  std::map<std::string, TrackedNode>::const_iterator const found = nodes_.find(node);
  return found == nodes_.end() ? nullptr : &found->second;
}

bool NodeTracker::confirmed(std::string const& node, StateVersion const& version, std::uint64_t epoch) const {
  TrackedNode const* const found = find(node);
  if (found == nullptr || found->confirmed < version || found->confirmed.epoch > epoch) {
    return false;
  }
  return incarnations_.trusts(node, found->boot);
}

bool NodeTracker::provedGone(std::string const& node, StateVersion const& version) const {
  std::map<std::string, ExitRecord>::const_iterator const found = exitRecords_.find(node);
  if (found == exitRecords_.end()) {
    return false;
  }
  std::map<StateVersion, TimePoint>::const_iterator const since = publishedAt_.lower_bound(version);
  return found->second.removedByOperator || (since != publishedAt_.end() && found->second.goneAt > since->second);
}

bool NodeTracker::persistentlyGone(TimePoint now, std::string const& node) const {
  std::map<std::string, ExitRecord>::const_iterator const found = exitRecords_.find(node);
  if (found == exitRecords_.end()) {
    return false;
  }
  ExitRecord const& record = found->second;
  return record.removedByOperator ||
         (record.goneAt > lastReceivedAt(node) && record.goneAt - record.firstGoneAt >= options_.gonePersistsMs &&
          isUnresponsive(now, node));
}

bool NodeTracker::isAlive(TimePoint now, std::string const& node) const {
  TrackedNode const* const found = find(node);
  return found != nullptr && now - found->lastReceivedAt <= options_.nodeCurrentMs;
}

TimePoint NodeTracker::lastReceivedAt(std::string const& node) const {
  TrackedNode const* const found = find(node);
  return found == nullptr ? leadershipBeganAt_ : std::max(leadershipBeganAt_, found->lastReceivedAt);
}

bool NodeTracker::isUnresponsive(TimePoint now, std::string const& node) const {
  return now - lastReceivedAt(node) > options_.nodeCurrentMs;
}

ConfirmationCount NodeTracker::countConfirmations(TimePoint now, std::vector<messages::RosterEntry> const& roster,
                                                  StateVersion const& version, std::uint64_t epoch) const {
  ConfirmationCount count;
  count.listed = roster.size();
  for (messages::RosterEntry const& entry : roster) {
    if (confirmed(entry.node, version, epoch)) {
      ++count.confirmed;
    } else if (provedGone(entry.node, version)) {
      ++count.gone;
    } else if (isUnresponsive(now, entry.node)) {
      ++count.unresponsive;
    }
  }
  return count;
}

std::vector<Probe> NodeTracker::probesDue(TimePoint now, std::vector<messages::RosterEntry> const& roster) {
  std::vector<Probe> due;
  for (messages::RosterEntry const& entry : roster) {
    if (now - lastReceivedAt(entry.node) < options_.probeAfterMs) {
      continue;
    }
    ExitRecord& record = exitRecords_[entry.node];
    if (now - record.probedAt >= options_.probeEveryMs) {
      record.probedAt = now;
      record.token = ++lastProbeToken_;
      due.push_back({record.token, entry.node, entry.address});
    }
  }
  return due;
}

void NodeTracker::recordProbe(ProbeFinished const& answer) {
  for (std::pair<std::string const, ExitRecord>& entry : exitRecords_) {
    ExitRecord& record = entry.second;
    if (record.token != answer.token || answer.token == 0) {
      continue;
    }
    if (answer.gone) {
      record.firstGoneAt = record.firstGoneAt <= lastReceivedAt(entry.first) ? record.probedAt : record.firstGoneAt;
      record.goneAt = std::max(record.goneAt, record.probedAt);
    } else {
      record.firstGoneAt = {};
    }
  }
}

void NodeTracker::expire(TimePoint now) {
  std::erase_if(nodes_, [&](std::pair<std::string const, TrackedNode> const& entry) {
    return now - entry.second.lastReceivedAt > options_.rosterForgetMs * 2;
  });
  std::erase_if(exitRecords_, [&](std::pair<std::string const, ExitRecord> const& entry) {
    return !entry.second.removedByOperator && now - entry.second.probedAt > options_.rosterForgetMs * 2;
  });
}

void NodeTracker::digest(messages::StateDigest& digest) const {
  digest.add(nodes_.size());
  for (std::pair<std::string const, TrackedNode> const& entry : nodes_) {
    TrackedNode const& node = entry.second;
    digest.add(node.follower);
    digest.add(node.boot);
    digest.add(node.drainedBoot);
    digest.add(node.draining);
    digest.add(node.confirmed.epoch);
    digest.add(node.confirmed.sequence);
    digest.add(node.lastReceivedAt);
    digest.add(node.direct);
  }
  for (std::pair<std::string const, ExitRecord> const& entry : exitRecords_) {
    digest.add(entry.first);
    digest.add(entry.second.token);
    digest.add(entry.second.probedAt);
    digest.add(entry.second.firstGoneAt);
    digest.add(entry.second.goneAt);
    digest.add(entry.second.removedByOperator);
  }
  digest.add(incarnations_.list());
  for (std::pair<StateVersion const, TimePoint> const& entry : publishedAt_) {
    digest.add(entry.first.epoch);
    digest.add(entry.first.sequence);
    digest.add(entry.second);
  }
}

}  // namespace limeramp::control
