#include "limeramp/control/config_service.h"

#include "limeramp/control/answer_gate.h"
#include "limeramp/control/order_evaluator.h"
#include "limeramp/distribution/state_feed.h"
#include "limeramp/messages/state_digest.h"
#include "node_tracker.h"
#include "roster_planner.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <set>

namespace limeramp::control {
namespace {

using Ms = std::chrono::milliseconds;

struct Forgetting {
  std::uint64_t ticket = 0;
  std::set<std::string> nodes;
  TimePoint arrivedAt{};
  TimePoint deadline{};
};

/// An order that is taken, and is acknowledged once enough nodes have it in force.
struct Waiting {
  std::uint64_t ticket = 0;
  StateVersion mark;
  config::Version version;
  TimePoint since{};
  TimePoint deadline{};
  /// Set if nothing was replicated for this order: the leadership must be confirmed as of this time.
  std::optional<TimePoint> arrivedAt;
};

struct QueuedOrder {
  Change order;
  TimePoint arrivedAt{};
};

void digestOrder(messages::StateDigest& digest, Change const& order) {
  digest.add(order.ticket);
  digest.add(order.id);
  digest.add(order.body);
  digest.add(order.deadline);
}

}  // namespace

struct Plane::Impl {
  Impl(Policy const& policyIn, std::string const& idIn, config::Language language)
      : policy(policyIn), id(idIn), evaluator(policyIn, std::move(language)) {}

  Policy policy;
  std::string id;
  OrderEvaluator evaluator;
  TimePoint now{};
  /// ReplicationGroup::leadershipConfirmedAt at this step.
  std::optional<TimePoint> confirmedAt;
  std::vector<Effect> effects;
  bool active = false;
  bool retiring = false;
  TimePoint activeAt{};
  messages::State published;
  TimePoint publishedAt{};
  NodeTracker tracker{policy};
  distribution::StateFeed feed;
  std::vector<Forgetting> forgetting;
  std::deque<QueuedOrder> queue;
  std::optional<Change> working;
  bool workingAnswered = false;
  std::uint64_t lastOwnTicket = 1ULL << 60;
  std::uint64_t workingTicket = 0;
  std::vector<Waiting> waiting;
  AnswerGate reads;
  AnswerGate refusals;
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
  void on(replication::ReplicationGroup const& group, Retire const& event);

  StateVersion mark() const { return published.version(); }
  void decide(std::uint64_t ticket, Verdict verdict, std::string reason = "", config::Version version = {},
              std::vector<config::Problem> problems = {}) {
    effects.emplace_back(Decided{ticket, verdict, version, std::move(problems), std::move(reason)});
  }
  /// The backups have been silent for so long that another primary may lead soon. Spares callers the wait for an answer
  /// that would not come; what may be answered is decided by `confirmedSince` alone.
  bool isUnconfirmed() const { return now - confirmedAt.value_or(activeAt) > policy.leadershipConfirmationMs; }
  bool mayLead() const { return active && !isUnconfirmed(); }
  /// Why this node cannot carry out an order now; empty if it can.
  std::string whyNot() const {
    return !active ? "this node is not the primary" : isUnconfirmed() ? "the backup is not heard" : "";
  }
  std::size_t waitingAnswers() const { return waiting.size() + refusals.size() + forgetting.size(); }
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
  void begin(replication::ReplicationGroup const& group, QueuedOrder const& queued);
  void begin(QueuedOrder const& queued, Proposal proposal);
  void begin(QueuedOrder const& queued, AlreadyTaken const& taken);
  void begin(QueuedOrder const& queued, Rejection rejection);
  void holdRefusal(std::uint64_t ticket, TimePoint arrivedAt, TimePoint deadline, Decided refusal);
  void rejectQueued(std::string const& reason);
  void settle();
  void releaseConfirmed();
  void expire();
  messages::News news(messages::Poll const& poll, replication::ReplicationGroup const& group) const;
  void digestOrders(messages::StateDigest& digest) const;
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
  if (std::string const reason = retiring ? "this node is leaving" : whyNot(); !reason.empty()) {
    decide(event.ticket, Verdict::notRun, reason);
    return;
  }
  if (forgetting.size() >= policy.mostChanges || waitingAnswers() >= policy.mostWaitingAnswers) {
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
    holdRefusal(event.ticket, now, event.deadline, {event.ticket, Verdict::refused, {}, std::move(problems), ""});
    return;
  }
  for (std::string const& node : event.nodes) {
    tracker.forget(node);
  }
  forgetting.push_back({event.ticket, {event.nodes.begin(), event.nodes.end()}, now, event.deadline});
  nextRosterAt = now;
  settle();
  pump(group);
}

void Plane::Impl::settleForgetting() {
  std::erase_if(forgetting, [&](Forgetting const& entry) {
    bool const listed = std::any_of(published.roster.begin(), published.roster.end(),
                                    [&](messages::RosterEntry const& row) { return entry.nodes.contains(row.node); });
    if (stable && !listed && confirmedSince(confirmedAt, entry.arrivedAt)) {
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
    effects.emplace_back(replication::LogEntry{
        logging::Event::peerStrange, follower.node + " is at two addresses, one of them " + follower.address});
  }
}

messages::News Plane::Impl::news(messages::Poll const& poll, replication::ReplicationGroup const& group) const {
  messages::News out;
  out.token = poll.token;
  out.node = id;
  out.primaryAddress = group.decided().primary != group.id() || mayLead() ? group.primaryAddress() : "";
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
  activeAt = now;
  stable = false;
  tracker.begin(now);
  publish(event.state);
}

void Plane::Impl::on(replication::ReplicationGroup const&, replication::Inactive const&) {
  active = false;
  rejectQueued("the primary changed before the change was begun");
  for (Waiting const& entry : waiting) {
    decide(entry.ticket, Verdict::unknown, "the primary changed while the change was carried out");
  }
  waiting.clear();
  for (AnswerGate* const gate : {&reads, &refusals}) {
    for (HeldAnswer const& held : gate->takeAll()) {
      decide(held.ticket, Verdict::notRun, "this node is not the primary");
    }
  }
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
      waiting.push_back({working->ticket, mark(), version, now, working->deadline, std::nullopt});
    }
    effects.emplace_back(
        replication::LogEntry{logging::Event::configurationTaken, version.text() + " change " + working->id});
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
    effects.emplace_back(replication::LogEntry{logging::Event::configurationUnknown, working->id});
  }
  working.reset();
  workingTicket = 0;
}

void Plane::Impl::on(replication::ReplicationGroup const& group, Change const& event) {
  if (std::string const reason = retiring ? "this node is leaving" : whyNot(); !reason.empty()) {
    decide(event.ticket, Verdict::notRun, reason);
    return;
  }
  if (queue.size() >= policy.mostChanges || waitingAnswers() >= policy.mostWaitingAnswers) {
    decide(event.ticket, Verdict::notRun, "too many changes wait");
    return;
  }
  queue.push_back({event, now});
  pump(group);
}

void Plane::Impl::on(replication::ReplicationGroup const&, Read const& event) {
  if (std::string const reason = whyNot(); !reason.empty()) {
    decide(event.ticket, Verdict::notRun, reason);
  } else if (reads.size() >= policy.mostChanges) {
    decide(event.ticket, Verdict::notRun, "too many reads wait");
  } else {
    reads.hold({event.ticket, now, event.deadline, std::nullopt});
  }
}

void Plane::Impl::on(replication::ReplicationGroup const&, Retire const&) {
  retiring = true;
  rejectQueued("this node is leaving");
}

void Plane::Impl::rejectQueued(std::string const& reason) {
  for (QueuedOrder const& queued : queue) {
    decide(queued.order.ticket, Verdict::notRun, reason);
  }
  queue.clear();
}

void Plane::Impl::holdRefusal(std::uint64_t ticket, TimePoint arrivedAt, TimePoint deadline, Decided refusal) {
  refusals.hold({ticket, arrivedAt, deadline, std::move(refusal)});
  releaseConfirmed();
}

void Plane::Impl::releaseConfirmed() {
  for (HeldAnswer const& read : reads.takeConfirmed(confirmedAt)) {
    effects.emplace_back(ReadBack{read.ticket,
                                  {published.configurationEpoch, published.configurationSequence},
                                  published.revision,
                                  published.document});
  }
  for (HeldAnswer& refusal : refusals.takeConfirmed(confirmedAt)) {
    effects.emplace_back(*std::move(refusal.decision));
  }
}

void Plane::Impl::expire() {
  for (AnswerGate* const gate : {&reads, &refusals}) {
    for (HeldAnswer const& held : gate->takeExpired(now)) {
      decide(held.ticket, Verdict::notRun, "the backup has not confirmed that this node is the primary");
    }
  }
  if (working && !workingAnswered && now >= working->deadline) {
    workingAnswered = true;
    decide(working->ticket, Verdict::unknown, "the backup has not confirmed the change yet");
  }
  std::erase_if(queue, [&](QueuedOrder const& queued) {
    bool const late = now >= queued.order.deadline;
    if (late) {
      decide(queued.order.ticket, Verdict::notRun, "the deadline passed before the change was begun");
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
  messages::Message answer = feed.answer(now, active ? &published : nullptr, event.poll, std::move(out));
  effects.emplace_back(distribution::Outgoing{event.poll.self.address, std::move(answer)});
  settle();
  pump(group);
}

void Plane::Impl::on(replication::ReplicationGroup const& group, Tick const&) {
  tracker.expire(now);
  probe();
  settle();
  releaseConfirmed();
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
    bool const leads = !entry.arrivedAt || confirmedSince(confirmedAt, *entry.arrivedAt);
    if (leads && majorities && (everyone(entry.mark) || lapsed)) {
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
  if (now < nextRosterAt || !stable || retiring) {
    return false;
  }
  nextRosterAt = now + policy.rosterBatchMs * static_cast<long>(1 + published.roster.size() / policy.rosterBatchNodes);
  RosterPlan plan = planRoster(now, policy, published.roster, tracker);
  if (plan.changes.empty()) {
    return false;
  }
  messages::State next = published;
  next.priorRoster = published.roster;
  next.roster = std::move(plan.roster);
  next.rosterEpoch = group.decided().epoch;
  next.rosterSequence = published.sequence + 1;
  stable = false;
  workingTicket = ++lastOwnTicket;
  effects.emplace_back(replication::LogEntry{logging::Event::rosterChanged, plan.changes});
  effects.emplace_back(replication::Offer{workingTicket, std::move(next)});
  return true;
}

void Plane::Impl::begin(replication::ReplicationGroup const& group, QueuedOrder const& queued) {
  Evaluation evaluation = evaluator.evaluate(queued.order, published, group.decided().epoch);
  std::visit([&](auto& concrete) { begin(queued, std::move(concrete)); }, evaluation);
}

void Plane::Impl::begin(QueuedOrder const& queued, Proposal proposal) {
  working = queued.order;
  workingAnswered = false;
  workingTicket = ++lastOwnTicket;
  effects.emplace_back(replication::Offer{workingTicket, std::move(proposal.next)});
}

void Plane::Impl::begin(QueuedOrder const& queued, AlreadyTaken const& taken) {
  waiting.push_back({queued.order.ticket, mark(), taken.version, publishedAt, queued.order.deadline, queued.arrivedAt});
  settle();
}

void Plane::Impl::begin(QueuedOrder const& queued, Rejection rejection) {
  std::uint64_t const ticket = queued.order.ticket;
  config::Version const current{published.configurationEpoch, published.configurationSequence};
  Decided decision{ticket, rejection.verdict, current, std::move(rejection.problems), std::move(rejection.reason)};
  if (decision.verdict == Verdict::unknown) {
    effects.emplace_back(std::move(decision));
    return;
  }
  holdRefusal(ticket, queued.arrivedAt, queued.order.deadline, std::move(decision));
}

void Plane::Impl::pump(replication::ReplicationGroup const& group) {
  while (active && workingTicket == 0) {
    if (offerRoster(group)) {
      return;
    }
    if (queue.empty()) {
      return;
    }
    QueuedOrder const queued = std::move(queue.front());
    queue.pop_front();
    if (now >= queued.order.deadline) {
      decide(queued.order.ticket, Verdict::notRun, "the deadline passed before the change was begun");
    } else if (isUnconfirmed()) {
      decide(queued.order.ticket, Verdict::notRun, "the backup is not heard");
    } else {
      begin(group, queued);
    }
  }
}

Plane::Plane(Policy const& policy, std::string const& id, config::Language language)
    : impl_(std::make_unique<Impl>(policy, id, std::move(language))) {}

Plane::~Plane() = default;
Plane::Plane(Plane const& other) : impl_(std::make_unique<Impl>(*other.impl_)) {}
Plane::Plane(Plane&&) noexcept = default;
Plane& Plane::operator=(Plane const& other) {
  impl_ = std::make_unique<Impl>(*other.impl_);
  return *this;
}
Plane& Plane::operator=(Plane&&) noexcept = default;

std::vector<Effect> Plane::step(TimePoint now, replication::ReplicationGroup const& group, Event const& event) {
  impl_->now = now;
  impl_->confirmedAt = group.leadershipConfirmedAt();
  impl_->effects.clear();
  std::visit([&](auto const& concrete) { impl_->on(group, concrete); }, event);
  return std::move(impl_->effects);
}

bool Plane::active() const { return impl_->active; }
messages::State const& Plane::published() const { return impl_->published; }
std::size_t Plane::pending() const { return impl_->queue.size() + impl_->waitingAnswers(); }

void Plane::Impl::digestOrders(messages::StateDigest& digest) const {
  digest.add(queue.size());
  for (QueuedOrder const& queued : queue) {
    digestOrder(digest, queued.order);
    digest.add(queued.arrivedAt);
  }
  digest.add(working.has_value());
  if (working) {
    digestOrder(digest, *working);
    digest.add(workingAnswered);
  }
  digest.add(workingTicket);
  digest.add(waiting.size());
  for (Waiting const& entry : waiting) {
    digest.add(entry.ticket);
    digest.add(entry.mark.epoch);
    digest.add(entry.mark.sequence);
    digest.add(entry.since);
    digest.add(entry.deadline);
    digest.add(entry.arrivedAt.value_or(TimePoint{}));
  }
  digest.add(forgetting.size());
  for (Forgetting const& entry : forgetting) {
    digest.add(entry.ticket);
    digest.add(entry.nodes);
    digest.add(entry.deadline);
  }
}

std::uint64_t Plane::digest(TimePoint now) const {
  Impl const& impl = *impl_;
  messages::StateDigest digest(now, std::chrono::seconds(5));
  digest.add(impl.id);
  digest.add(impl.active);
  impl.feed.digest(digest);
  digest.add(impl.retiring);
  digest.add(impl.activeAt);
  digest.add(impl.published);
  digest.add(impl.publishedAt);
  digest.add(impl.stable);
  digest.addDeadline(impl.nextRosterAt);
  impl.digestOrders(digest);
  impl.reads.digest(digest);
  impl.refusals.digest(digest);
  impl.tracker.digest(digest);
  return digest.finish();
}

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
