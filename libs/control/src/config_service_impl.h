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

/// Why an order cannot be carried out here now. Nothing of it has run, so the caller may try another node.
enum class OrderObstacle { notPrimary, backupUnresponsive, shuttingDown };

/// The reason that a caller is told.
std::string textOf(OrderObstacle obstacle);

/// An order whose meaning is being found out.
struct PendingEvaluation {
  std::uint64_t token = 0;
  QueuedOrder queued;
  /// Its deadline has passed and its caller was told that the outcome is unknown. It is begun all the same: given up, a
  /// change that takes longer to read than callers wait would never be taken, however often it is repeated.
  bool answered = false;
  /// It will not be begun: the leadership, or the work of this process, has ended.
  bool cancelled = false;
};

/// All of the service. The functions stand by job: order_processing.cpp has orders and reads, state_publishing.cpp what
/// nodes are sent and report, roster_changes.cpp the roster, config_service.cpp the beginning and the end of a
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
  /// Set from an EvaluateOrder to its report. No other state is proposed meanwhile, so that the evaluated state is the
  /// published one for as long as the leadership lasts.
  std::optional<PendingEvaluation> evaluation;
  std::uint64_t lastEvaluation = 0;
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
  void on(replication::ReplicationGroup const& group, CallerLeft const& event);
  void on(replication::ReplicationGroup const& group, OrderEvaluated const& event);
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
  /// Why a queued order is not carried out any more; nothing if it may be.
  std::optional<std::string> reasonToDecline(QueuedOrder const& queued) const;
  /// Whether a queued order is carried out, or declined, now. An order for a zone waits until the leadership is
  /// confirmed as of its arrival: by then the news that its caller has left is here, if it left before the order came.
  bool isDue(QueuedOrder const& queued) const {
    return !queued.order.zone || confirmedSince(confirmedAt, queued.arrivedAt) || reasonToDecline(queued).has_value();
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
  void cancelEvaluation(std::string const& reason);
  void expireEvaluation();
  void evaluate(replication::ReplicationGroup const& group, QueuedOrder queued);
  void begin(QueuedOrder const& queued, Evaluation evaluated);
  void beginAnswered(QueuedOrder const& queued, Evaluation evaluated);
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

}  // namespace limeramp::control
