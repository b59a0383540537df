#pragma once

#include "limeramp/config/configuration.h"
#include "limeramp/control/orders.h"
#include "limeramp/distribution/peer_views.h"
#include "limeramp/messages/messages.h"
#include "limeramp/replication/replication_group.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

/// Carries out operators' orders: changes of the configuration, orders to evacuate zones, removal of nodes, and reads
/// of the configuration. The service runs on every controller and accepts orders on the primary only. docs/control.md
/// argues why its answers are linearizable.
namespace limeramp::control {

class OrderEvaluator;

/// Timeouts and bounds of the configuration service.
struct ConfigServiceOptions {
  /// How long a node serves under a state that no primary confirms (ConfigDeliveryOptions::currentMs). A node that has
  /// not reported for longer is not waited for.
  std::chrono::milliseconds nodeCurrentMs{2000};
  /// How long after its publication an order waits for every node that reports. After that the confirmation of a
  /// majority is enough to acknowledge it.
  std::chrono::milliseconds unresponsiveGraceMs{500};
  /// If the backups have not confirmed the leadership for longer than this, orders are declined at once, because
  /// another primary may take over soon.
  std::chrono::milliseconds leadershipConfirmationMs{1200};
  /// A node that has not reported for this time is removed from the roster.
  std::chrono::milliseconds rosterForgetMs{60'000};
  /// Changes of the roster are batched: one is proposed per interval. The interval is `rosterBatchMs`, plus
  /// `rosterBatchMs` for each `rosterBatchNodes` nodes on the roster.
  std::chrono::milliseconds rosterBatchMs{100};
  std::size_t rosterBatchNodes = 24;
  /// A node that has not reported for `probeAfterMs` is probed, and then every `probeEveryMs`.
  std::chrono::milliseconds probeAfterMs{450};
  std::chrono::milliseconds probeEveryMs{250};
  /// A node is removed from the roster once probes over this time have proved that its process has ended.
  std::chrono::milliseconds gonePersistsMs{1000};
  /// Limit of the orders that wait to be started, of the node removals in progress, and of the reads that wait for the
  /// leadership to be confirmed; each is counted on its own.
  std::size_t maxChanges = 64;
  /// Limit of the orders that were started and are not answered yet.
  std::size_t maxWaitingAnswers = 256;
  /// Number of the newest changes whose repetition is recognised.
  std::size_t maxReceipts = 256;
  /// Limit of the nodes on the roster. Nodes beyond it stay off the roster and refuse callers.
  std::size_t maxNodes = 1000;
  std::size_t maxEvacuatedZones = 100;
  std::size_t maxDocumentBytes = 1 << 20;
};

/// An operator's request to read the current configuration.
struct Read {
  std::uint64_t ticket = 0;
  TimePoint deadline;
};

/// Runs the timers of the service. Sent about every 50 ms.
struct Tick {};
/// A node's poll.
struct StateRequestReceived {
  std::string address;
  messages::StateRequest poll;
};
/// The result of a Probe.
struct ProbeFinished {
  std::uint64_t token = 0;
  /// True if the probe proved that the node's process has ended.
  bool gone = false;
};
/// An operator's statement that these nodes are permanently gone and are to leave the roster.
struct RemoveNodes {
  std::uint64_t ticket = 0;
  std::vector<std::string> nodes;
  TimePoint deadline;
};

/// The caller of an order no longer waits for its answer. If the order has not been started, it is dropped.
struct CallerLeft {
  std::uint64_t ticket = 0;
};

/// The result of an EvaluateOrder.
struct OrderEvaluated {
  std::uint64_t token = 0;
  Evaluation evaluation;
};

/// The process is shutting down: no new orders are accepted, and those that were started are completed.
struct BeginShutdown {};

/// The reason given for an order that was dropped because its caller left before it was started.
constexpr char const* callerLeftReason = "the caller has left";

/// The events that the service handles.
using ConfigServiceEvent = std::variant<replication::BecamePrimary, replication::SteppedDown, replication::Committed,
                                        replication::OutcomeUnknown, Change, Read, StateRequestReceived, ProbeFinished,
                                        RemoveNodes, CallerLeft, OrderEvaluated, Tick, BeginShutdown>;

/// The answer to an order, or to a Read that is declined. Each ticket gets one answer.
struct OrderOutcome {
  std::uint64_t ticket = 0;
  OrderStatus verdict = OrderStatus::unknown;
  config::Version version;
  std::vector<config::Problem> problems;
  std::string reason;
  /// For an order that is taken: how many nodes had not confirmed it, if most nodes of the roster were among them and
  /// the majority of the others decided. 0 if a majority of the roster has it in force.
  std::size_t nodesNotAwaited = 0;
};

/// The linearizable answer to a Read.
struct ConfigurationRead {
  std::uint64_t ticket = 0;
  config::Version version;
  std::uint64_t revision = 0;
  std::string document;
};

/// Asks the caller to run OrderEvaluator::evaluate on this order and state and to report the result as OrderEvaluated.
/// Parsing a long document can take longer than a heartbeat may be delayed, so it must not run on the thread that steps
/// the replication group. At most one evaluation is outstanding at a time.
struct EvaluateOrder {
  std::uint64_t token = 0;
  Change order;
  messages::State state;
  /// The epoch under which the primary would write the next state.
  std::uint64_t epoch = 0;
};

/// Asks the caller to find out whether the process of this node still runs, and to report it as ProbeFinished.
struct Probe {
  std::uint64_t token = 0;
  std::string node;
  std::string address;
};

/// The effects that a step asks its caller to carry out.
using ConfigServiceEffect = std::variant<replication::Proposal, OrderOutcome, ConfigurationRead, distribution::Outgoing,
                                         EvaluateOrder, Probe, replication::LogEntry>;

/// What the primary knows about a node on the roster, for status pages.
struct NodeView {
  std::string node;
  std::string address;
  std::string zone;
  std::uint64_t slot = 0;
  config::Version confirmed;
  /// Time since the last report; meaningless if the node never reported.
  std::chrono::milliseconds sinceReportMs{0};
  bool everReported = false;
  bool gone = false;
};

/// A deterministic state machine without I/O. It handles the events of a ReplicationGroup and makes the proposals to
/// it.
///
/// Guarantees: an acknowledged change is on the disks of all replicas and in force at a majority of the nodes that
/// report to the primary; no node that the primary confirms, directly or through others, serves an older configuration
/// later than `nodeCurrentMs` after that, and if a majority of the whole roster had it in force, no node at all but for
/// silent nodes of an earlier roster that was replaced without its majority (E604); of two changes on one base at most
/// one is taken; every definite answer is linearizable. An order for a zone is started only after the leadership was
/// confirmed by an exchange that began after the order arrived, and not at all if its caller has left by then. Copies
/// are independent, for the model checker. Not safe for use by several threads.
class ConfigService {
 public:
  ConfigService(ConfigServiceOptions const& options, std::string const& id,
                config::ConfigSchema schema = config::nativeConfigSchema());
  ~ConfigService();
  ConfigService(ConfigService const&);
  ConfigService(ConfigService&&) noexcept;
  ConfigService& operator=(ConfigService const&);
  ConfigService& operator=(ConfigService&&) noexcept;

  /// Handles one event and returns its effects. `group` must already have taken the step that caused the event.
  std::vector<ConfigServiceEffect> step(TimePoint now, replication::ReplicationGroup const& group,
                                        ConfigServiceEvent const& event);

  /// True while this controller is the primary.
  bool active() const;
  /// The newest committed state, on the primary.
  messages::State const& published() const;
  /// The nodes on the roster, for status pages.
  std::vector<NodeView> nodes(TimePoint now) const;
  /// Number of orders that have no answer yet. Reads do not count.
  std::size_t pending() const;
  /// The evaluator for EvaluateOrder. Other threads must use a copy.
  OrderEvaluator const& evaluator() const;

  /// A hash of all state that affects later steps, for the model checker. Times are hashed relative to `now`.
  std::uint64_t digest(TimePoint now) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeramp::control
