#pragma once

#include "acknowledgement_tracker.h"
#include "node_removals.h"
#include "node_tracker.h"
#include "order_queue.h"

#include "limeramp/control/answer_gate.h"
#include "limeramp/control/config_service.h"
#include "limeramp/control/order_evaluator.h"
#include "limeramp/distribution/state_feed.h"

#include <optional>
#include <string>
#include <vector>

namespace limeramp::control {

using Ms = std::chrono::milliseconds;

/// Why this node cannot carry out an order now. Nothing of the order has run, so the caller may try another node.
enum class OrderObstacle { notPrimary, backupUnresponsive, shuttingDown };

/// The reason that the caller is given.
std::string textOf(OrderObstacle obstacle);

/// An order that is being evaluated, from EvaluateOrder to OrderEvaluated.
struct PendingEvaluation {
  std::uint64_t token = 0;
  QueuedOrder queued;
  /// The order's deadline has passed, and its caller was told that the outcome is unknown. The order is started all the
  /// same when its evaluation ends: otherwise a change that takes longer to parse than callers wait would never be
  /// taken, however often it is repeated.
  bool answered = false;
  /// The order will not be started, because the leadership has ended or this process is shutting down.
  bool cancelled = false;
};

/// The state of the service and its event handlers. order_processing.cpp handles orders and reads, state_publishing.cpp
/// the exchange with the nodes, roster_changes.cpp the roster, config_service.cpp the beginning and the end of a
/// leadership.
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
  /// Set from an EvaluateOrder to its OrderEvaluated. No state is proposed meanwhile, so while the leadership lasts the
  /// state that the order is evaluated on stays the published one.
  std::optional<PendingEvaluation> evaluation;
  std::uint64_t lastEvaluationToken = 0;
  /// The order whose state was proposed and has no outcome yet. Empty if the proposal changes the roster only.
  std::optional<Change> proposedOrder;
  /// The caller of the proposed order was answered already.
  bool proposedOrderAnswered = false;
  std::uint64_t lastProposalTicket = 1ULL << 60;
  /// The ticket of the proposal that has no outcome yet, 0 if there is none.
  std::uint64_t proposalTicket = 0;
  AcknowledgementTracker acknowledgements;
  AnswerGate reads;
  AnswerGate refusals;
  /// False from the publication of a new roster until it and the prior roster have confirmed it (`isConfirmed`). The
  /// roster is not changed again meanwhile.
  bool rosterStable = false;
  /// How many nodes had not confirmed the roster when it became stable without a majority of it or of the prior roster.
  /// 0 once majorities of both have confirmed it.
  std::size_t rosterNotAwaited = 0;
  /// The earliest time of the next change of the roster.
  TimePoint nextRosterChangeAt{};

  void on(replication::ReplicationGroup const& group, replication::BecamePrimary const& event);
  void on(replication::ReplicationGroup const& group, replication::SteppedDown const& event);
  void on(replication::ReplicationGroup const& group, replication::Committed const& event);
  void on(replication::ReplicationGroup const& group, replication::OutcomeUnknown const& event);
  void on(replication::ReplicationGroup const& group, Change const& event);
  void on(replication::ReplicationGroup const& group, Read const& event);
  void on(replication::ReplicationGroup const& group, StateRequestReceived const& event);
  void on(replication::ReplicationGroup const& group, ProbeFinished const& event);
  void on(replication::ReplicationGroup const& group, RemoveNodes const& event);
  void on(replication::ReplicationGroup const& group, CallerLeft const& event);
  void on(replication::ReplicationGroup const& group, OrderEvaluated const& event);
  void on(replication::ReplicationGroup const& group, Tick const& event);
  void on(replication::ReplicationGroup const& group, BeginShutdown const& event);

  StateVersion stateVersion() const { return published.version(); }
  void emitOutcome(std::uint64_t ticket, OrderStatus verdict, std::string reason = "", config::Version version = {},
                   std::vector<config::Problem> problems = {}) {
    effects.emplace_back(OrderOutcome{ticket, verdict, version, std::move(problems), std::move(reason)});
  }
  /// True if the backups have not confirmed the leadership for so long that another primary may take over soon. Orders
  /// are then declined at once instead of waiting for a confirmation. Whether an answer may be given is decided by
  /// `confirmedSince` alone.
  bool isLeadershipUnconfirmed() const {
    return now - confirmedAt.value_or(activeAt) > options.leadershipConfirmationMs;
  }
  bool isConfirmedPrimary() const { return active && !isLeadershipUnconfirmed(); }
  /// Why this node cannot carry out an order now; empty if it can.
  std::optional<OrderObstacle> orderObstacle() const {
    return shuttingDown ? OrderObstacle::shuttingDown : readObstacle();
  }
  /// Why this node cannot answer a read now; empty if it can. Reads are answered during a shutdown too.
  std::optional<OrderObstacle> readObstacle() const {
    if (!active) {
      return OrderObstacle::notPrimary;
    }
    return isLeadershipUnconfirmed() ? std::optional(OrderObstacle::backupUnresponsive) : std::nullopt;
  }
  /// Why a queued order must not be started any more; empty if it may be.
  std::optional<std::string> reasonToDecline(QueuedOrder const& queued) const;
  /// True if a queued order can be started or declined now. An order for a zone waits until the leadership is confirmed
  /// as of its arrival: if its caller left before the order arrived, CallerLeft has been handled by then.
  bool isDue(QueuedOrder const& queued) const {
    return !queued.order.zone || confirmedSince(confirmedAt, queued.arrivedAt) || reasonToDecline(queued).has_value();
  }
  std::size_t waitingAnswers() const { return acknowledgements.size() + refusals.size() + removals.size(); }
  ConfirmationCount countConfirmations(std::vector<messages::RosterEntry> const& roster,
                                       StateVersion const& version) const {
    return tracker.countConfirmations(now, roster, version, published.epoch);
  }
  /// True if enough nodes have confirmed a state: a majority of the roster or, as long as the backups confirm this
  /// primary, a majority of the nodes that it is in contact with.
  bool isConfirmed(ConfirmationCount const& count) const {
    return count.byMajority() || (isConfirmedPrimary() && count.byMajorityInContact());
  }
  /// True if the roster and, until the roster is stable, the prior roster have confirmed this state.
  bool confirmedByRosters(StateVersion const& version) const {
    return isConfirmed(countConfirmations(published.roster, version)) &&
           (rosterStable || isConfirmed(countConfirmations(published.priorRoster, version)));
  }
  void recordReport(messages::Follower const& follower, messages::PeerStatus const& peerStatus, bool direct);
  void probe();
  void completeRemovals();
  void publish(messages::State const& state);
  void startNext(replication::ReplicationGroup const& group);
  bool proposeRoster(replication::ReplicationGroup const& group);
  void cancelEvaluation(std::string const& reason);
  void expireEvaluation();
  void evaluate(replication::ReplicationGroup const& group, QueuedOrder queued);
  void handleEvaluation(QueuedOrder const& queued, Evaluation evaluated);
  void handleAnsweredEvaluation(QueuedOrder const& queued, Evaluation evaluated);
  void handleEvaluation(QueuedOrder const& queued, NewState proposal);
  void handleEvaluation(QueuedOrder const& queued, AlreadyTaken const& taken);
  void handleEvaluation(QueuedOrder const& queued, Rejection rejection);
  void deferRefusal(std::uint64_t ticket, TimePoint arrivedAt, TimePoint deadline, OrderOutcome refusal);
  void rejectQueued(std::string const& reason);
  void completeAcknowledged();
  bool inForce(PendingAcknowledgement const& entry) const;
  std::size_t nodesNotAwaited(StateVersion const& version) const;
  void updateRosterStability();
  void acknowledge(PendingAcknowledgement const& entry);
  void releaseConfirmed();
  void answerExpired();
  messages::StateResponse response(messages::StateRequest const& poll,
                                   replication::ReplicationGroup const& group) const;
  void digestOrders(messages::StateDigest& digest) const;
};

}  // namespace limeramp::control
