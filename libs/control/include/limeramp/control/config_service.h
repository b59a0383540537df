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

/// The operators' orders: changes of the configuration, zones to be evacuated, nodes to be removed, and reading back.
/// It runs on every controller and does something on the primary only. docs/control.md has the argument why its answers
/// hold.
namespace limeramp::control {

class OrderEvaluator;

/// Times and bounds of the configuration service.
struct ConfigServiceOptions {
  /// How long a node serves under a state that nobody confirms (ConfigDeliveryOptions::currentMs).
  std::chrono::milliseconds nodeCurrentMs{2000};
  /// An order is acknowledged without the nodes that are silent, if a majority has it, this long after it was
  /// published.
  std::chrono::milliseconds unresponsiveGraceMs{500};
  /// With backups silent for longer, orders are declined at once: another primary may lead soon.
  std::chrono::milliseconds leadershipConfirmationMs{1200};
  /// A node that was silent for so long leaves the roster.
  std::chrono::milliseconds rosterForgetMs{60'000};
  /// Changes of the roster are gathered for this time, and once more for each `rosterBatchNodes` nodes.
  std::chrono::milliseconds rosterBatchMs{100};
  std::size_t rosterBatchNodes = 24;
  /// A node that was silent for so long is probed, again at the second interval.
  std::chrono::milliseconds probeAfterMs{450};
  std::chrono::milliseconds probeEveryMs{250};
  /// A node whose process is proved to have ended leaves the roster after this time.
  std::chrono::milliseconds gonePersistsMs{1000};
  /// Orders that wait to be begun, and reads that wait for a confirmation.
  std::size_t maxChanges = 64;
  /// Orders that are carried out and not answered yet.
  std::size_t maxWaitingAnswers = 256;
  /// Orders whose repetition is recognised.
  std::size_t maxReceipts = 256;
  /// Nodes on the roster; further ones stay off it and refuse callers.
  std::size_t maxNodes = 1000;
  std::size_t maxEvacuatedZones = 100;
  std::size_t maxDocumentBytes = 1 << 20;
};

/// An operator reads the configuration back.
struct Read {
  std::uint64_t ticket = 0;
  TimePoint deadline;
};

/// Time has passed. To be sent every 50 ms or so.
struct Tick {};
/// A node's poll.
struct StateRequestReceived {
  std::string address;
  messages::StateRequest poll;
};
/// What came of a Probe: `gone` is a proof that the process has ended.
struct ProbeFinished {
  std::uint64_t token = 0;
  /// Its process is proved to have ended.
  bool gone = false;
};
/// An operator's word that these nodes are gone for good.
struct RemoveNodes {
  std::uint64_t ticket = 0;
  std::vector<std::string> nodes;
  TimePoint deadline;
};

/// The caller of an order waits for its answer no longer. What was not begun will not be.
struct CallerLeft {
  std::uint64_t ticket = 0;
};

/// What came of an EvaluateOrder.
struct OrderEvaluated {
  std::uint64_t token = 0;
  Evaluation evaluation;
};

/// The process will be stopped: take no new orders, finish what was begun.
struct BeginShutdown {};

/// Why an order was not begun that is carried out only while its caller waits.
constexpr char const* callerLeftReason = "the caller has left";

/// All that can happen to the service.
using ConfigServiceEvent = std::variant<replication::BecamePrimary, replication::SteppedDown, replication::Committed,
                                        replication::OutcomeUnknown, Change, Read, StateRequestReceived, ProbeFinished,
                                        RemoveNodes, CallerLeft, OrderEvaluated, Tick, BeginShutdown>;

/// The answer to an order. Given once for each ticket.
struct OrderOutcome {
  std::uint64_t ticket = 0;
  OrderStatus verdict = OrderStatus::unknown;
  config::Version version;
  std::vector<config::Problem> problems;
  std::string reason;
};

/// The answer to a Read: linearizable.
struct ConfigurationRead {
  std::uint64_t ticket = 0;
  config::Version version;
  std::uint64_t revision = 0;
  std::string document;
};

/// Find out what this order means on this state, by OrderEvaluator::evaluate, and report it as OrderEvaluated. Reading
/// long documents takes longer than a heartbeat may be late, so that it is not for the thread that steps the group. At
/// most one evaluation is asked for before the last one was reported.
struct EvaluateOrder {
  std::uint64_t token = 0;
  Change order;
  messages::State state;
  /// The epoch under which the primary would write the next state.
  std::uint64_t epoch = 0;
};

/// Find out whether the process of this node still runs.
struct Probe {
  std::uint64_t token = 0;
  std::string node;
  std::string address;
};

/// All that a step can ask for.
using ConfigServiceEffect = std::variant<replication::Proposal, OrderOutcome, ConfigurationRead, distribution::Outgoing,
                                         EvaluateOrder, Probe, replication::LogEntry>;

/// What the primary knows about a node, for status pages.
struct NodeView {
  std::string node;
  std::string address;
  std::string zone;
  std::uint64_t slot = 0;
  config::Version confirmed;
  /// Since its last report; meaningless if it never reported.
  std::chrono::milliseconds sinceReportMs{0};
  bool everReported = false;
  bool gone = false;
};

/// A pure state machine beside a ReplicationGroup, whose events it is given and whose proposals it makes.
///
/// Guarantees: an acknowledged change is on the disks of all replicas and in force at a majority of the nodes; no node
/// serves an older one later than `nodeCurrentMs` after that; of two changes on one base at most one is taken; every
/// definite answer is linearizable; an order for a zone whose caller left is not begun, and none is begun before the
/// leadership was confirmed by an exchange that began after the order came. Copies are independent, for the model
/// checker. Not safe for use by several threads.
class ConfigService {
 public:
  ConfigService(ConfigServiceOptions const& options, std::string const& id,
                config::ConfigSchema schema = config::nativeConfigSchema());
  ~ConfigService();
  ConfigService(ConfigService const&);
  ConfigService(ConfigService&&) noexcept;
  ConfigService& operator=(ConfigService const&);
  ConfigService& operator=(ConfigService&&) noexcept;

  /// Takes one event. `group` must have taken the step that led to it already.
  std::vector<ConfigServiceEffect> step(TimePoint now, replication::ReplicationGroup const& group,
                                        ConfigServiceEvent const& event);

  /// Whether this controller is the primary.
  bool active() const;
  /// The newest committed state, on the primary.
  messages::State const& published() const;
  std::vector<NodeView> nodes(TimePoint now) const;
  /// Orders that have no answer yet.
  std::size_t pending() const;
  /// Carries out what EvaluateOrder asks for. To be copied before other threads use it.
  OrderEvaluator const& evaluator() const;

  /// A hash of everything that decides what later steps do, for the model checker. Times count as differences from now.
  std::uint64_t digest(TimePoint now) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeramp::control
