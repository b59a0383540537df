#include "limeramp/control/config_service.h"

#include "acknowledgement_tracker.h"
#include "limeramp/control/answer_gate.h"
#include "limeramp/control/order_evaluator.h"
#include "limeramp/distribution/state_feed.h"
#include "limeramp/messages/state_digest.h"
#include "node_removals.h"
#include "node_tracker.h"
#include "order_queue.h"
#include "roster_planner.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <set>

namespace limeramp::control {
namespace {

using Ms = std::chrono::milliseconds;

/// Why an order cannot be carried out here now. Nothing of it has run, so the caller may try another node.
enum class OrderObstacle { notPrimary, backupUnresponsive, shuttingDown };

std::string textOf(OrderObstacle obstacle) {
  switch (obstacle) {
    case OrderObstacle::notPrimary:
      return "this node is not the primary";
    case OrderObstacle::backupUnresponsive:
      return "the backup is not heard";
    case OrderObstacle::shuttingDown:
      return "this node is leaving";
  }
  return "";
}

}  // namespace

struct ConfigService::Impl {
  Impl(ConfigServiceOptions const& optionsIn, std::string const& idIn, config::ConfigSchema schema)
      : options(optionsIn), id(idIn), evaluator(optionsIn, std::move(schema)) {}

  ConfigServiceOptions options;
  std::string id;
  OrderEvaluator evaluator;
  TimePoint now{};
  /// ReplicationGroup::leadershipConfirmedAt at this step.
  std::optional<TimePoint> confirmedAt;
  std::vector<ConfigServiceEffect> effects;
  bool active = false;
  bool shuttingDown = false;
  TimePoint activeAt{};
  messages::State published;
  TimePoint publishedAt{};
  NodeTracker tracker{options};
  distribution::StateFeed feed;
  NodeRemovals removals;
  OrderQueue queue;
  std::optional<Change> inProgress;
  bool inProgressAnswered = false;
  std::uint64_t lastOwnTicket = 1ULL << 60;
  std::uint64_t inProgressTicket = 0;
  AcknowledgementTracker acknowledgements;
  AnswerGate reads;
  AnswerGate refusals;
  bool rosterStable = false;
  TimePoint nextRosterAt{};

  void on(replication::ReplicationGroup const& group, replication::BecamePrimary const& event);
  void on(replication::ReplicationGroup const& group, replication::SteppedDown const& event);
  void on(replication::ReplicationGroup const& group, replication::Committed const& event);
  void on(replication::ReplicationGroup const& group, replication::OutcomeUnknown const& event);
  void on(replication::ReplicationGroup const& group, Change const& event);
  void on(replication::ReplicationGroup const& group, Read const& event);
  void on(replication::ReplicationGroup const& group, StateRequestReceived const& event);
  void on(replication::ReplicationGroup const& group, ProbeFinished const& event);
  void on(replication::ReplicationGroup const& group, RemoveNodes const& event);
  void on(replication::ReplicationGroup const& group, Tick const& event);
  void on(replication::ReplicationGroup const& group, BeginShutdown const& event);

  StateVersion stateVersion() const { return published.version(); }
  void decide(std::uint64_t ticket, OrderStatus verdict, std::string reason = "", config::Version version = {},
              std::vector<config::Problem> problems = {}) {
    effects.emplace_back(OrderOutcome{ticket, verdict, version, std::move(problems), std::move(reason)});
  }
  /// The backups have been silent for so long that another primary may lead soon. Spares callers the wait for an answer
  /// that would not come; what may be answered is decided by `confirmedSince` alone.
  bool isUnconfirmed() const { return now - confirmedAt.value_or(activeAt) > options.leadershipConfirmationMs; }
  bool mayLead() const { return active && !isUnconfirmed(); }
  /// Why this node cannot carry out an order now; nothing if it can.
  std::optional<OrderObstacle> orderObstacle() const {
    return shuttingDown ? OrderObstacle::shuttingDown : readObstacle();
  }
  /// The same for a read, which is answered during a shutdown too.
  std::optional<OrderObstacle> readObstacle() const {
    if (!active) {
      return OrderObstacle::notPrimary;
    }
    return isUnconfirmed() ? std::optional(OrderObstacle::backupUnresponsive) : std::nullopt;
  }
  std::size_t waitingAnswers() const { return acknowledgements.size() + refusals.size() + removals.size(); }
  bool majorityConfirmed(std::vector<messages::RosterEntry> const& roster, StateVersion const& wanted) const {
    return tracker.majorityConfirmed(roster, wanted, published.epoch);
  }
  bool allConfirmed(StateVersion const& wanted) const {
    return tracker.allConfirmed(published.roster, wanted, published.epoch);
  }
  void recordReport(messages::Follower const& follower, messages::PeerStatus const& peerStatus, bool direct);
  void probe();
  void completeRemovals();
  void publish(messages::State const& state);
  void startNext(replication::ReplicationGroup const& group);
  bool proposeRoster(replication::ReplicationGroup const& group);
  void begin(replication::ReplicationGroup const& group, QueuedOrder const& queued);
  void begin(QueuedOrder const& queued, NewState proposal);
  void begin(QueuedOrder const& queued, AlreadyTaken const& taken);
  void begin(QueuedOrder const& queued, Rejection rejection);
  void deferRefusal(std::uint64_t ticket, TimePoint arrivedAt, TimePoint deadline, OrderOutcome refusal);
  void rejectQueued(std::string const& reason);
  void completeAcknowledged();
  bool inForce(PendingAcknowledgement const& entry) const;
  void releaseConfirmed();
  void expire();
  messages::StateResponse response(messages::StateRequest const& poll,
                                   replication::ReplicationGroup const& group) const;
  void digestOrders(messages::StateDigest& digest) const;
};

void ConfigService::Impl::probe() {
  if (!active) {
    return;
  }
  std::vector<messages::RosterEntry> wanted = published.roster;
  if (!rosterStable) {
    wanted.insert(wanted.end(), published.priorRoster.begin(), published.priorRoster.end());
  }
  for (Probe& due : tracker.probesDue(now, wanted)) {
    effects.emplace_back(std::move(due));
  }
}

void ConfigService::Impl::on(replication::ReplicationGroup const& group, ProbeFinished const& event) {
  tracker.probed(event);
  completeAcknowledged();
  startNext(group);
}

void ConfigService::Impl::on(replication::ReplicationGroup const& group, RemoveNodes const& event) {
  if (std::optional<OrderObstacle> const obstacle = orderObstacle()) {
    decide(event.ticket, OrderStatus::notRun, textOf(*obstacle));
    return;
  }
  if (removals.size() >= options.maxChanges || waitingAnswers() >= options.maxWaitingAnswers) {
    decide(event.ticket, OrderStatus::notRun, "too many changes wait");
    return;
  }
  std::vector<config::Problem> problems = removalProblems(now, event.nodes, published, tracker);
  if (!problems.empty()) {
    deferRefusal(event.ticket, now, event.deadline, {event.ticket, OrderStatus::refused, {}, std::move(problems), ""});
    return;
  }
  for (std::string const& node : event.nodes) {
    tracker.markRemoved(node);
  }
  removals.add({event.ticket, {event.nodes.begin(), event.nodes.end()}, now, event.deadline});
  nextRosterAt = now;
  completeAcknowledged();
  startNext(group);
}

void ConfigService::Impl::completeRemovals() {
  config::Version const version{published.configurationEpoch, published.configurationSequence};
  NodeRemovals::Completed const completed = [&](NodeRemoval const& entry) {
    bool const listed = std::any_of(published.roster.begin(), published.roster.end(),
                                    [&](messages::RosterEntry const& row) { return entry.nodes.contains(row.node); });
    return rosterStable && !listed && confirmedSince(confirmedAt, entry.arrivedAt);
  };
  for (NodeRemoval const& entry : removals.takeCompleted(completed)) {
    decide(entry.ticket, OrderStatus::taken, "", version);
  }
  for (NodeRemoval const& entry : removals.takeExpired(now)) {
    decide(entry.ticket, OrderStatus::unknown, "the roster without these nodes is not known to a majority yet");
  }
}

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

void ConfigService::Impl::publish(messages::State const& state) {
  bool const sameRoster = StateVersion{state.rosterEpoch, state.rosterSequence} ==
                          StateVersion{published.rosterEpoch, published.rosterSequence};
  rosterStable = rosterStable && sameRoster;
  bool const onlyRoster = !sameRoster && state.evacuatedZones == published.evacuatedZones &&
                          StateVersion{state.configurationEpoch, state.configurationSequence} ==
                              StateVersion{published.configurationEpoch, published.configurationSequence};
  feed.replaced(now, published);
  published = state;
  publishedAt = now;
  tracker.published(now, stateVersion());
  if (onlyRoster) {
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

void ConfigService::Impl::on(replication::ReplicationGroup const&, replication::BecamePrimary const& event) {
  active = true;
  activeAt = now;
  rosterStable = false;
  tracker.begin(now);
  publish(event.state);
}

void ConfigService::Impl::on(replication::ReplicationGroup const&, replication::SteppedDown const&) {
  active = false;
  rejectQueued("the primary changed before the change was begun");
  for (PendingAcknowledgement const& entry : acknowledgements.takeAll()) {
    decide(entry.ticket, OrderStatus::unknown, "the primary changed while the change was carried out");
  }
  for (AnswerGate* const gate : {&reads, &refusals}) {
    for (PendingAnswer const& pending : gate->takeAll()) {
      decide(pending.ticket, OrderStatus::notRun, textOf(OrderObstacle::notPrimary));
    }
  }
  for (NodeRemoval const& entry : removals.takeAll()) {
    decide(entry.ticket, OrderStatus::unknown,
           "the primary changed before the roster was known to be without these nodes");
  }
  tracker.end();
}

void ConfigService::Impl::on(replication::ReplicationGroup const&, replication::Committed const& event) {
  publish(event.state);
  if (event.ticket == inProgressTicket && inProgress) {
    config::Version const version{published.configurationEpoch, published.configurationSequence};
    if (!inProgressAnswered) {
      acknowledgements.add({inProgress->ticket, stateVersion(), version, now, inProgress->deadline, std::nullopt});
    }
    effects.emplace_back(
        replication::LogEntry{logging::Event::configurationTaken, version.text() + " change " + inProgress->id});
  }
  if (event.ticket == inProgressTicket) {
    inProgress.reset();
    inProgressTicket = 0;
  }
  completeAcknowledged();
}

void ConfigService::Impl::on(replication::ReplicationGroup const&, replication::OutcomeUnknown const& event) {
  if (event.ticket != inProgressTicket) {
    return;
  }
  if (inProgress && !inProgressAnswered) {
    decide(inProgress->ticket, OrderStatus::unknown, "the primary changed while the change was carried out");
  }
  if (inProgress) {
    effects.emplace_back(replication::LogEntry{logging::Event::configurationUnknown, inProgress->id});
  }
  inProgress.reset();
  inProgressTicket = 0;
}

void ConfigService::Impl::on(replication::ReplicationGroup const& group, Change const& event) {
  if (std::optional<OrderObstacle> const obstacle = orderObstacle()) {
    decide(event.ticket, OrderStatus::notRun, textOf(*obstacle));
    return;
  }
  if (queue.size() >= options.maxChanges || waitingAnswers() >= options.maxWaitingAnswers) {
    decide(event.ticket, OrderStatus::notRun, "too many changes wait");
    return;
  }
  queue.push({event, now});
  startNext(group);
}

void ConfigService::Impl::on(replication::ReplicationGroup const&, Read const& event) {
  if (std::optional<OrderObstacle> const obstacle = readObstacle()) {
    decide(event.ticket, OrderStatus::notRun, textOf(*obstacle));
  } else if (reads.size() >= options.maxChanges) {
    decide(event.ticket, OrderStatus::notRun, "too many reads wait");
  } else {
    reads.add({event.ticket, now, event.deadline, std::nullopt});
  }
}

void ConfigService::Impl::on(replication::ReplicationGroup const&, BeginShutdown const&) {
  shuttingDown = true;
  rejectQueued(textOf(OrderObstacle::shuttingDown));
}

void ConfigService::Impl::rejectQueued(std::string const& reason) {
  for (QueuedOrder const& queued : queue.takeAll()) {
    decide(queued.order.ticket, OrderStatus::notRun, reason);
  }
}

void ConfigService::Impl::deferRefusal(std::uint64_t ticket, TimePoint arrivedAt, TimePoint deadline,
                                       OrderOutcome refusal) {
  refusals.add({ticket, arrivedAt, deadline, std::move(refusal)});
  releaseConfirmed();
}

void ConfigService::Impl::releaseConfirmed() {
  for (PendingAnswer const& read : reads.takeConfirmed(confirmedAt)) {
    effects.emplace_back(ConfigurationRead{read.ticket,
                                           {published.configurationEpoch, published.configurationSequence},
                                           published.revision,
                                           published.document});
  }
  for (PendingAnswer& refusal : refusals.takeConfirmed(confirmedAt)) {
    effects.emplace_back(*std::move(refusal.decision));
  }
}

void ConfigService::Impl::expire() {
  for (AnswerGate* const gate : {&reads, &refusals}) {
    for (PendingAnswer const& pending : gate->takeExpired(now)) {
      decide(pending.ticket, OrderStatus::notRun, "the backup has not confirmed that this node is the primary");
    }
  }
  if (inProgress && !inProgressAnswered && now >= inProgress->deadline) {
    inProgressAnswered = true;
    decide(inProgress->ticket, OrderStatus::unknown, "the backup has not confirmed the change yet");
  }
  for (QueuedOrder const& queued : queue.takeExpired(now)) {
    decide(queued.order.ticket, OrderStatus::notRun, "the deadline passed before the change was begun");
  }
}

void ConfigService::Impl::on(replication::ReplicationGroup const& group, StateRequestReceived const& event) {
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
  recordReport(confirms ? event.poll.self : distribution::withoutVersion(event.poll.self),
               statusOf(event.poll.self.node), true);
  for (messages::Follower const& follower : event.poll.followers) {
    recordReport(confirms ? follower : distribution::withoutVersion(follower), statusOf(follower.node), false);
  }
  messages::StateResponse out = response(event.poll, group);
  messages::Message answer = feed.answer(now, active ? &published : nullptr, event.poll, std::move(out));
  effects.emplace_back(distribution::Outgoing{event.poll.self.address, std::move(answer)});
  completeAcknowledged();
  startNext(group);
}

void ConfigService::Impl::on(replication::ReplicationGroup const& group, Tick const&) {
  tracker.expire(now);
  probe();
  completeAcknowledged();
  releaseConfirmed();
  expire();
  startNext(group);
}

void ConfigService::Impl::completeAcknowledged() {
  if (!active) {
    return;
  }
  StateVersion const rosterVersion{published.rosterEpoch, published.rosterSequence};
  if (!rosterStable && majorityConfirmed(published.roster, rosterVersion) &&
      majorityConfirmed(published.priorRoster, rosterVersion)) {
    rosterStable = true;
  }
  completeRemovals();
  for (PendingAcknowledgement const& entry :
       acknowledgements.takeInForce([this](PendingAcknowledgement const& pending) { return inForce(pending); })) {
    decide(entry.ticket, OrderStatus::taken, "", entry.version);
  }
  for (PendingAcknowledgement const& entry : acknowledgements.takeExpired(now)) {
    decide(entry.ticket, OrderStatus::unknown, "the change is kept, but not known to be everywhere yet", entry.version);
  }
}

// A majority of the roster has the order in force, of the roster before too while a change of it is on its way, and
// every node that is not proved gone; for a node that says nothing no longer than the grace time is waited.
bool ConfigService::Impl::inForce(PendingAcknowledgement const& entry) const {
  bool const majorities = majorityConfirmed(published.roster, entry.stateVersion) &&
                          (rosterStable || majorityConfirmed(published.priorRoster, entry.stateVersion));
  bool const lapsed = now - entry.since >= options.unresponsiveGraceMs;
  bool const leads = !entry.arrivedAt || confirmedSince(confirmedAt, *entry.arrivedAt);
  return leads && majorities && (allConfirmed(entry.stateVersion) || lapsed);
}

bool ConfigService::Impl::proposeRoster(replication::ReplicationGroup const& group) {
  if (now < nextRosterAt || !rosterStable || shuttingDown) {
    return false;
  }
  nextRosterAt =
      now + options.rosterBatchMs * static_cast<long>(1 + published.roster.size() / options.rosterBatchNodes);
  RosterPlan plan = planRoster(now, options, published.roster, tracker);
  if (plan.changes.empty()) {
    return false;
  }
  messages::State next = published;
  next.priorRoster = published.roster;
  next.roster = std::move(plan.roster);
  next.rosterEpoch = group.decided().epoch;
  next.rosterSequence = published.sequence + 1;
  rosterStable = false;
  inProgressTicket = ++lastOwnTicket;
  effects.emplace_back(replication::LogEntry{logging::Event::rosterChanged, plan.changes});
  effects.emplace_back(replication::Proposal{inProgressTicket, std::move(next)});
  return true;
}

void ConfigService::Impl::begin(replication::ReplicationGroup const& group, QueuedOrder const& queued) {
  Evaluation evaluation = evaluator.evaluate(queued.order, published, group.decided().epoch);
  std::visit([&](auto& concrete) { begin(queued, std::move(concrete)); }, evaluation);
}

void ConfigService::Impl::begin(QueuedOrder const& queued, NewState proposal) {
  inProgress = queued.order;
  inProgressAnswered = false;
  inProgressTicket = ++lastOwnTicket;
  effects.emplace_back(replication::Proposal{inProgressTicket, std::move(proposal.next)});
}

void ConfigService::Impl::begin(QueuedOrder const& queued, AlreadyTaken const& taken) {
  acknowledgements.add(
      {queued.order.ticket, stateVersion(), taken.version, publishedAt, queued.order.deadline, queued.arrivedAt});
  completeAcknowledged();
}

void ConfigService::Impl::begin(QueuedOrder const& queued, Rejection rejection) {
  std::uint64_t const ticket = queued.order.ticket;
  config::Version const current{published.configurationEpoch, published.configurationSequence};
  OrderOutcome decision{ticket, rejection.verdict, current, std::move(rejection.problems), std::move(rejection.reason)};
  if (decision.verdict == OrderStatus::unknown) {
    effects.emplace_back(std::move(decision));
    return;
  }
  deferRefusal(ticket, queued.arrivedAt, queued.order.deadline, std::move(decision));
}

void ConfigService::Impl::startNext(replication::ReplicationGroup const& group) {
  while (active && inProgressTicket == 0) {
    if (proposeRoster(group)) {
      return;
    }
    if (queue.empty()) {
      return;
    }
    QueuedOrder const queued = queue.pop();
    if (now >= queued.order.deadline) {
      decide(queued.order.ticket, OrderStatus::notRun, "the deadline passed before the change was begun");
    } else if (isUnconfirmed()) {
      decide(queued.order.ticket, OrderStatus::notRun, textOf(OrderObstacle::backupUnresponsive));
    } else {
      begin(group, queued);
    }
  }
}

ConfigService::ConfigService(ConfigServiceOptions const& options, std::string const& id, config::ConfigSchema schema)
    : impl_(std::make_unique<Impl>(options, id, std::move(schema))) {}

ConfigService::~ConfigService() = default;
ConfigService::ConfigService(ConfigService const& other) : impl_(std::make_unique<Impl>(*other.impl_)) {}
ConfigService::ConfigService(ConfigService&&) noexcept = default;
ConfigService& ConfigService::operator=(ConfigService const& other) {
  impl_ = std::make_unique<Impl>(*other.impl_);
  return *this;
}
ConfigService& ConfigService::operator=(ConfigService&&) noexcept = default;

std::vector<ConfigServiceEffect> ConfigService::step(TimePoint now, replication::ReplicationGroup const& group,
                                                     ConfigServiceEvent const& event) {
  impl_->now = now;
  impl_->confirmedAt = group.leadershipConfirmedAt();
  impl_->effects.clear();
  std::visit([&](auto const& concrete) { impl_->on(group, concrete); }, event);
  return std::move(impl_->effects);
}

bool ConfigService::active() const { return impl_->active; }
messages::State const& ConfigService::published() const { return impl_->published; }
std::size_t ConfigService::pending() const { return impl_->queue.size() + impl_->waitingAnswers(); }

void ConfigService::Impl::digestOrders(messages::StateDigest& digest) const {
  queue.digest(digest);
  digest.add(inProgress.has_value());
  if (inProgress) {
    digestOrder(digest, *inProgress);
    digest.add(inProgressAnswered);
  }
  digest.add(inProgressTicket);
  acknowledgements.digest(digest);
  removals.digest(digest);
}

std::uint64_t ConfigService::digest(TimePoint now) const {
  Impl const& impl = *impl_;
  messages::StateDigest digest(now, std::chrono::seconds(5));
  digest.add(impl.id);
  digest.add(impl.active);
  impl.feed.digest(digest);
  digest.add(impl.shuttingDown);
  digest.add(impl.activeAt);
  digest.add(impl.published);
  digest.add(impl.publishedAt);
  digest.add(impl.rosterStable);
  digest.addDeadline(impl.nextRosterAt);
  impl.digestOrders(digest);
  impl.reads.digest(digest);
  impl.refusals.digest(digest);
  impl.tracker.digest(digest);
  return digest.finish();
}

std::vector<NodeView> ConfigService::nodes(TimePoint now) const {
  std::vector<NodeView> out;
  for (messages::RosterEntry const& entry : impl_->published.roster) {
    NodeView view{entry.node, entry.address, entry.zone, entry.slot,
                  {},         Ms(0),         false,      impl_->tracker.persistentlyGone(now, entry.node)};
    if (TrackedNode const* const found = impl_->tracker.find(entry.node)) {
      view.confirmed = {found->confirmed.epoch, found->confirmed.sequence};
      view.sinceReportMs = std::chrono::duration_cast<Ms>(now - found->lastReceivedAt);
      view.everReported = true;
    }
    out.push_back(std::move(view));
  }
  return out;
}

}  // namespace limeramp::control
