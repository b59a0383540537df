#include "limeramp/control/config_service.h"

#include "limeramp/distribution/state_feed.h"
#include "node_tracker.h"

#include <xxhash.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <set>

namespace limeramp::control {
namespace {

using Ms = std::chrono::milliseconds;
using config::Problem;

struct Forgetting {
  std::uint64_t ticket = 0;
  std::set<std::string> nodes;
  TimePoint deadline{};
};

struct Waiting {
  std::uint64_t ticket = 0;
  StateVersion mark;
  config::Version version;
  TimePoint since{};
  TimePoint deadline{};
};

struct Reading {
  std::uint64_t ticket = 0;
  TimePoint askedAt{};
  TimePoint deadline{};
};

std::string digestOf(Change const& change) {
  return std::to_string(XXH64(change.body.data(), change.body.size(), 0)) + "/" + std::to_string(change.body.size()) +
         (change.patch ? "/patch" : "/whole");
}

Problem tooLong(std::size_t most) { return {"/", "longer than " + std::to_string(most) + " bytes"}; }

}  // namespace

struct Plane::Impl {
  Policy policy;
  std::string id;
  config::Language language;
  TimePoint now{};
  std::vector<Effect> effects;
  bool active = false;
  messages::State published;
  TimePoint publishedAt{};
  NodeTracker tracker{policy};
  distribution::StateFeed feed;
  std::vector<Forgetting> forgetting;
  std::deque<Change> queue;
  std::optional<Change> working;
  bool workingAnswered = false;
  std::uint64_t lastOwnTicket = 1ULL << 60;
  std::uint64_t workingTicket = 0;
  std::vector<Waiting> waiting;
  std::vector<Reading> reading;
  bool stable = false;
  TimePoint nextRosterAt{};

  void on(replication::ReplicationGroup const& group, replication::Active const& event);
  void on(replication::ReplicationGroup const& group, replication::Inactive const& event);
  void on(replication::ReplicationGroup const& group, replication::Committed const& event);
  void on(replication::ReplicationGroup const& group, replication::Doubtful const& event);
  void on(replication::ReplicationGroup const& group, Change const& event);
  void on(replication::ReplicationGroup const& group, Read const& event);
  void on(replication::ReplicationGroup const& group, Polled const& event);
  void on(replication::ReplicationGroup const& group, Probed const& event);
  void on(replication::ReplicationGroup const& group, Forget const& event);
  void on(replication::ReplicationGroup const& group, Tick const& event);

  StateVersion mark() const { return published.version(); }
  void decide(std::uint64_t ticket, Verdict verdict, std::string reason = "", config::Version version = {},
              std::vector<config::Problem> problems = {}) {
    effects.emplace_back(Decided{ticket, verdict, version, std::move(problems), std::move(reason)});
  }
  bool alone(replication::ReplicationGroup const& group) const {
    std::optional<TimePoint> const leadershipConfirmedAt = group.leadershipConfirmedAt();
    return leadershipConfirmedAt && now - *leadershipConfirmedAt > policy.leadershipConfirmationMs;
  }
  bool majority(std::vector<messages::RosterEntry> const& roster, StateVersion const& wanted) const {
    return tracker.majority(roster, wanted, published.epoch);
  }
  bool everyone(StateVersion const& wanted) const {
    return tracker.everyone(published.roster, wanted, published.epoch);
  }
  void note(messages::Follower const& follower, messages::PeerStatus const& peerStatus, bool direct);
  void probe();
  void settleForgetting();
  void publish(messages::State const& state);
  void pump(replication::ReplicationGroup const& group);
  bool offerRoster(replication::ReplicationGroup const& group);
  void offerChange(replication::ReplicationGroup const& group, Change const& change);
  void offerZone(Change const& change);
  void offer(Change const& change, messages::State next);
  std::optional<std::string> documentOf(Change const& change, std::vector<Problem>& problems) const;
  void awaitInForce(std::uint64_t ticket, config::Version const& version, TimePoint deadline);
  void settle();
  void settleReading(replication::ReplicationGroup const& group);
  void expire();
  messages::News news(messages::Poll const& poll, replication::ReplicationGroup const& group) const;
};

void Plane::Impl::probe() {
  if (!active) {
    return;
  }
  std::vector<messages::RosterEntry> wanted = published.roster;
  if (!stable) {
    wanted.insert(wanted.end(), published.priorRoster.begin(), published.priorRoster.end());
  }
  for (Probe& due : tracker.probesDue(now, wanted)) {
    effects.emplace_back(std::move(due));
  }
}

void Plane::Impl::on(replication::ReplicationGroup const& group, Probed const& event) {
  tracker.probed(event);
  settle();
  pump(group);
}

void Plane::Impl::on(replication::ReplicationGroup const& group, Forget const& event) {
  if (!active) {
    decide(event.ticket, Verdict::notRun, "this node is not the primary");
    return;
  }
  if (forgetting.size() >= policy.mostChanges) {
    decide(event.ticket, Verdict::notRun, "too many changes wait");
    return;
  }
  std::vector<config::Problem> problems;
  for (std::string const& node : event.nodes) {
    bool const listed = std::any_of(published.roster.begin(), published.roster.end(),
                                    [&](messages::RosterEntry const& entry) { return entry.node == node; });
    bool const prior = std::any_of(published.priorRoster.begin(), published.priorRoster.end(),
                                   [&](messages::RosterEntry const& entry) { return entry.node == node; });
    if (!listed && !prior) {
      problems.push_back({"/nodes/" + node, "is not on the roster"});
    } else if (tracker.isAlive(now, node)) {
      problems.push_back({"/nodes/" + node, "is alive"});
    }
  }
  if (!problems.empty()) {
    decide(event.ticket, Verdict::refused, "", {}, std::move(problems));
    return;
  }
  for (std::string const& node : event.nodes) {
    tracker.forget(node);
  }
  forgetting.push_back({event.ticket, {event.nodes.begin(), event.nodes.end()}, event.deadline});
  nextRosterAt = now;
  settle();
  pump(group);
}

void Plane::Impl::settleForgetting() {
  std::erase_if(forgetting, [&](Forgetting const& entry) {
    bool const listed = std::any_of(published.roster.begin(), published.roster.end(),
                                    [&](messages::RosterEntry const& row) { return entry.nodes.contains(row.node); });
    if (stable && !listed) {
      decide(entry.ticket, Verdict::taken, "", {published.configurationEpoch, published.configurationSequence});
      return true;
    }
    if (now >= entry.deadline) {
      decide(entry.ticket, Verdict::unknown, "the roster without these nodes is not known to a majority yet");
      return true;
    }
    return false;
  });
}

void Plane::Impl::note(messages::Follower const& follower, messages::PeerStatus const& peerStatus, bool direct) {
  if (!tracker.report(now, follower, peerStatus, direct)) {
    effects.emplace_back(replication::Note{logging::Event::peerStrange,
                                           follower.node + " is at two addresses, one of them " + follower.address});
  }
}

messages::News Plane::Impl::news(messages::Poll const& poll, replication::ReplicationGroup const& group) const {
  messages::News out;
  out.token = poll.token;
  out.node = id;
  out.primaryAddress = group.primaryAddress();
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

void Plane::Impl::publish(messages::State const& state) {
  bool const sameRoster = StateVersion{state.rosterEpoch, state.rosterSequence} ==
                          StateVersion{published.rosterEpoch, published.rosterSequence};
  stable = stable && sameRoster;
  bool const onlyRoster = !sameRoster && state.evacuatedZones == published.evacuatedZones &&
                          StateVersion{state.configurationEpoch, state.configurationSequence} ==
                              StateVersion{published.configurationEpoch, published.configurationSequence};
  feed.replaced(now, published);
  published = state;
  publishedAt = now;
  tracker.published(now, mark());
  if (onlyRoster) {
    return;
  }
  messages::News out;
  out.node = id;
  out.epoch = published.epoch;
  out.sequence = published.sequence;
  for (distribution::Outgoing& outgoing : feed.push(now, published, out)) {
    effects.emplace_back(std::move(outgoing));
  }
}

void Plane::Impl::on(replication::ReplicationGroup const&, replication::Active const& event) {
  active = true;
  stable = false;
  tracker.begin(now);
  publish(event.state);
}

void Plane::Impl::on(replication::ReplicationGroup const&, replication::Inactive const&) {
  active = false;
  for (Change const& change : queue) {
    decide(change.ticket, Verdict::notRun, "the primary changed before the change was begun");
  }
  queue.clear();
  for (Waiting const& entry : waiting) {
    decide(entry.ticket, Verdict::unknown, "the primary changed while the change was carried out");
  }
  waiting.clear();
  for (Reading const& entry : reading) {
    decide(entry.ticket, Verdict::notRun, "this node is not the primary");
  }
  reading.clear();
  for (Forgetting const& entry : forgetting) {
    decide(entry.ticket, Verdict::unknown, "the primary changed before the roster was known to be without these nodes");
  }
  forgetting.clear();
  tracker.end();
}

void Plane::Impl::on(replication::ReplicationGroup const&, replication::Committed const& event) {
  publish(event.state);
  if (event.ticket == workingTicket && working) {
    config::Version const version{published.configurationEpoch, published.configurationSequence};
    if (!workingAnswered) {
      waiting.push_back({working->ticket, mark(), version, now, working->deadline});
    }
    effects.emplace_back(
        replication::Note{logging::Event::configurationTaken, version.text() + " change " + working->id});
  }
  if (event.ticket == workingTicket) {
    working.reset();
    workingTicket = 0;
  }
  settle();
}

void Plane::Impl::on(replication::ReplicationGroup const&, replication::Doubtful const& event) {
  if (event.ticket != workingTicket) {
    return;
  }
  if (working && !workingAnswered) {
    decide(working->ticket, Verdict::unknown, "the primary changed while the change was carried out");
  }
  if (working) {
    effects.emplace_back(replication::Note{logging::Event::configurationUnknown, working->id});
  }
  working.reset();
  workingTicket = 0;
}

void Plane::Impl::on(replication::ReplicationGroup const& group, Change const& event) {
  if (!active || alone(group)) {
    decide(event.ticket, Verdict::notRun, active ? "the backup is not heard" : "this node is not the primary");
    return;
  }
  if (queue.size() >= policy.mostChanges) {
    decide(event.ticket, Verdict::notRun, "too many changes wait");
    return;
  }
  queue.push_back(event);
  pump(group);
}

void Plane::Impl::on(replication::ReplicationGroup const& group, Read const& event) {
  if (!active || alone(group)) {
    decide(event.ticket, Verdict::notRun, active ? "the backup is not heard" : "this node is not the primary");
  } else if (reading.size() >= policy.mostChanges) {
    decide(event.ticket, Verdict::notRun, "too many reads wait");
  } else {
    reading.push_back({event.ticket, now, event.deadline});
  }
}

void Plane::Impl::settleReading(replication::ReplicationGroup const& group) {
  std::optional<TimePoint> const leadershipConfirmedAt = group.leadershipConfirmedAt();
  std::erase_if(reading, [&](Reading const& entry) {
    if (leadershipConfirmedAt && *leadershipConfirmedAt >= entry.askedAt) {
      effects.emplace_back(ReadBack{entry.ticket,
                                    {published.configurationEpoch, published.configurationSequence},
                                    published.revision,
                                    published.document});
      return true;
    }
    if (now >= entry.deadline) {
      decide(entry.ticket, Verdict::notRun, "the backup has not confirmed that this node is the primary");
      return true;
    }
    return false;
  });
}

void Plane::Impl::expire() {
  if (working && !workingAnswered && now >= working->deadline) {
    workingAnswered = true;
    decide(working->ticket, Verdict::unknown, "the backup has not confirmed the change yet");
  }
  std::erase_if(queue, [&](Change const& change) {
    bool const late = now >= change.deadline;
    if (late) {
      decide(change.ticket, Verdict::notRun, "the deadline passed before the change was begun");
    }
    return late;
  });
}

void Plane::Impl::on(replication::ReplicationGroup const& group, Polled const& event) {
  std::map<std::string, messages::PeerStatus const*> peerStatuses;
  for (messages::PeerStatus const& peerStatus : event.poll.peerStatuses) {
    peerStatuses.emplace(peerStatus.node, &peerStatus);
  }
  messages::PeerStatus const none;
  std::function<messages::PeerStatus const&(std::string const&)> const statusOf =
      [&](std::string const& node) -> messages::PeerStatus const& {
    return peerStatuses.contains(node) ? *peerStatuses.at(node) : none;
  };
  bool const confirms = tracker.learnIncarnations(event.poll);
  note(confirms ? event.poll.self : distribution::withoutVersion(event.poll.self), statusOf(event.poll.self.node),
       true);
  for (messages::Follower const& follower : event.poll.followers) {
    note(confirms ? follower : distribution::withoutVersion(follower), statusOf(follower.node), false);
  }
  messages::News out = news(event.poll, group);
  messages::Message answer = active ? feed.answer(now, published, event.poll, std::move(out)) : std::move(out);
  effects.emplace_back(distribution::Outgoing{event.poll.self.address, std::move(answer)});
  settle();
  pump(group);
}

void Plane::Impl::on(replication::ReplicationGroup const& group, Tick const&) {
  tracker.expire(now);
  probe();
  settle();
  settleReading(group);
  expire();
  pump(group);
}

void Plane::Impl::settle() {
  if (!active) {
    return;
  }
  StateVersion const rosterMark{published.rosterEpoch, published.rosterSequence};
  if (!stable && majority(published.roster, rosterMark) && majority(published.priorRoster, rosterMark)) {
    stable = true;
  }
  settleForgetting();
  std::erase_if(waiting, [&](Waiting const& entry) {
    bool const majorities =
        majority(published.roster, entry.mark) && (stable || majority(published.priorRoster, entry.mark));
    bool const lapsed = now - entry.since >= policy.silentGraceMs;
    if (majorities && (everyone(entry.mark) || lapsed)) {
      decide(entry.ticket, Verdict::taken, "", entry.version);
      return true;
    }
    if (now >= entry.deadline) {
      decide(entry.ticket, Verdict::unknown, "the change is kept, but not known to be everywhere yet", entry.version);
      return true;
    }
    return false;
  });
}

bool Plane::Impl::offerRoster(replication::ReplicationGroup const& group) {
  if (now < nextRosterAt || !stable) {
    return false;
  }
  nextRosterAt = now + policy.rosterBatchMs * static_cast<long>(1 + published.roster.size() / policy.rosterBatchNodes);
  std::vector<messages::RosterEntry> roster = published.roster;
  std::string about;
  std::erase_if(roster, [&](messages::RosterEntry const& entry) {
    TrackedNode const* const found = tracker.find(entry.node);
    bool const left = found != nullptr && found->leaving;
    bool const out =
        left || now - tracker.heardAt(entry.node) > policy.rosterForgetMs || tracker.persistentlyGone(now, entry.node);
    about += out ? " -" + entry.node : "";
    return out;
  });
  std::set<std::uint64_t> taken;
  for (messages::RosterEntry const& entry : roster) {
    taken.insert(entry.slot);
  }
  for (std::pair<std::string const, TrackedNode> const& entry : tracker.nodes()) {
    messages::Follower const& follower = entry.second.follower;
    if (!tracker.isAlive(now, entry.first) || entry.second.leaving || tracker.persistentlyGone(now, entry.first)) {
      continue;
    }
    std::vector<messages::RosterEntry>::iterator const found =
        std::find_if(roster.begin(), roster.end(),
                     [&](messages::RosterEntry const& listed) { return listed.node == follower.node; });
    if (found == roster.end()) {
      std::uint64_t slot = 0;
      while (taken.contains(slot)) {
        ++slot;
      }
      taken.insert(slot);
      roster.push_back({follower.node, follower.address, follower.zone, slot});
      about += " +" + follower.node;
    } else if (found->address != follower.address || found->zone != follower.zone) {
      found->address = follower.address;
      found->zone = follower.zone;
      about += " ~" + follower.node;
    }
  }
  if (about.empty()) {
    return false;
  }
  messages::State next = published;
  next.priorRoster = published.roster;
  next.roster = std::move(roster);
  next.rosterEpoch = group.decided().epoch;
  next.rosterSequence = published.sequence + 1;
  stable = false;
  workingTicket = ++lastOwnTicket;
  effects.emplace_back(replication::Note{logging::Event::rosterChanged, about});
  effects.emplace_back(replication::Offer{workingTicket, std::move(next)});
  return true;
}

void Plane::Impl::awaitInForce(std::uint64_t ticket, config::Version const& version, TimePoint deadline) {
  waiting.push_back({ticket, mark(), version, publishedAt, deadline});
  settle();
}

void Plane::Impl::offer(Change const& change, messages::State next) {
  working = change;
  workingAnswered = false;
  workingTicket = ++lastOwnTicket;
  effects.emplace_back(replication::Offer{workingTicket, std::move(next)});
}

void Plane::Impl::offerZone(Change const& change) {
  std::vector<std::string> zones = published.evacuatedZones;
  std::vector<std::string>::iterator const found = std::find(zones.begin(), zones.end(), change.zone->zone);
  config::Version const current{published.configurationEpoch, published.configurationSequence};
  if ((found != zones.end()) == change.zone->evacuated) {
    awaitInForce(change.ticket, current, change.deadline);
    return;
  }
  if (!change.zone->evacuated) {
    zones.erase(found);
  } else if (zones.size() >= policy.mostEvacuatedZones) {
    decide(change.ticket, Verdict::refused, "", current,
           {{"/", "more than " + std::to_string(policy.mostEvacuatedZones) + " zones would be emptied"}});
    return;
  } else {
    zones.push_back(change.zone->zone);
  }
  messages::State next = published;
  next.evacuatedZones = std::move(zones);
  offer(change, std::move(next));
}

std::optional<std::string> Plane::Impl::documentOf(Change const& change, std::vector<Problem>& problems) const {
  if (change.body.size() > policy.mostDocumentBytes) {
    problems.push_back(tooLong(policy.mostDocumentBytes));
    return std::nullopt;
  }
  if (!change.patch && language.verbatim) {
    return change.body;
  }
  if (!change.patch) {
    config::Checked checked = language.check(change.body);
    if (!checked.configuration) {
      problems = std::move(checked.problems);
      return std::nullopt;
    }
  }
  absl::StatusOr<std::string> merged = language.merge(change.patch ? published.document : "", change.body);
  if (!merged.ok()) {
    problems.push_back({"/", std::string(merged.status().message())});
    return std::nullopt;
  }
  if (merged->size() > policy.mostDocumentBytes) {
    problems.push_back(tooLong(policy.mostDocumentBytes));
    return std::nullopt;
  }
  return *std::move(merged);
}

void Plane::Impl::offerChange(replication::ReplicationGroup const& group, Change const& change) {
  if (change.zone) {
    offerZone(change);
    return;
  }
  config::Version const current{published.configurationEpoch, published.configurationSequence};
  std::string const digest = digestOf(change);
  for (messages::Receipt const& receipt : published.receipts) {
    if (receipt.change != change.id) {
      continue;
    }
    if (receipt.digest != digest) {
      decide(change.ticket, Verdict::refused, "the change id was used for another change", current);
    } else {
      awaitInForce(change.ticket, {receipt.epoch, receipt.sequence}, change.deadline);
    }
    return;
  }
  if (change.base && *change.base != current) {
    decide(change.ticket, Verdict::conflict, "the version named is not the current one", current);
    return;
  }
  if (change.baseRevision && *change.baseRevision != published.revision) {
    decide(change.ticket, Verdict::conflict, "the revision named is not the current one", current);
    return;
  }
  std::vector<Problem> problems;
  std::optional<std::string> document = documentOf(change, problems);
  if (!document) {
    decide(change.ticket, Verdict::refused, "", current, std::move(problems));
    return;
  }
  config::Checked checked = language.check(*document);
  if (!checked.configuration) {
    decide(change.ticket, Verdict::refused, "", current, std::move(checked.problems));
    return;
  }
  std::uint64_t const revision = checked.configuration->revision;
  if (revision > 0 && revision <= published.revision) {
    decide(change.ticket, Verdict::refused, "", current,
           {{"/revision", "is not above the current one, " + std::to_string(published.revision)}});
    return;
  }
  messages::State next = published;
  next.document = *std::move(document);
  next.revision = revision > 0 ? revision : published.revision;
  next.configurationEpoch = group.decided().epoch;
  next.configurationSequence = published.sequence + 1;
  next.receipts.push_back({change.id, next.configurationEpoch, next.configurationSequence, digest});
  if (next.receipts.size() > policy.mostReceipts) {
    next.receipts.erase(next.receipts.begin());
  }
  offer(change, std::move(next));
}

void Plane::Impl::pump(replication::ReplicationGroup const& group) {
  while (active && workingTicket == 0) {
    if (offerRoster(group)) {
      return;
    }
    if (queue.empty()) {
      return;
    }
    Change const change = std::move(queue.front());
    queue.pop_front();
    if (now >= change.deadline) {
      decide(change.ticket, Verdict::notRun, "the deadline passed before the change was begun");
      continue;
    }
    offerChange(group, change);
  }
}

Plane::Plane(Policy const& policy, std::string const& id, config::Language language) : impl_(std::make_unique<Impl>()) {
  impl_->policy = policy;
  impl_->tracker = NodeTracker(policy);
  impl_->id = id;
  impl_->language = std::move(language);
}

Plane::~Plane() = default;
Plane::Plane(Plane&&) noexcept = default;
Plane& Plane::operator=(Plane&&) noexcept = default;

std::vector<Effect> Plane::step(TimePoint now, replication::ReplicationGroup const& group, Event const& event) {
  impl_->now = now;
  impl_->effects.clear();
  std::visit([&](auto const& concrete) { impl_->on(group, concrete); }, event);
  return std::move(impl_->effects);
}

bool Plane::active() const { return impl_->active; }
messages::State const& Plane::published() const { return impl_->published; }
std::size_t Plane::pending() const { return impl_->queue.size() + impl_->waiting.size(); }

std::vector<NodeView> Plane::nodes(TimePoint now) const {
  std::vector<NodeView> out;
  for (messages::RosterEntry const& entry : impl_->published.roster) {
    NodeView view{entry.node, entry.address, entry.zone, entry.slot,
                  {},         Ms(0),         false,      impl_->tracker.persistentlyGone(now, entry.node)};
    if (TrackedNode const* const found = impl_->tracker.find(entry.node)) {
      view.confirmed = {found->confirmed.epoch, found->confirmed.sequence};
      view.heardMs = std::chrono::duration_cast<Ms>(now - found->heardAt);
      view.everHeard = true;
    }
    out.push_back(std::move(view));
  }
  return out;
}

}  // namespace limeramp::control
