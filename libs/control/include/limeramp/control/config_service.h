#pragma once

#include "limeramp/config/configuration.h"
#include "limeramp/distribution/peer_views.h"
#include "limeramp/messages/messages.h"
#include "limeramp/replication/replication_group.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace limeramp::control {

using TimePoint = std::chrono::steady_clock::time_point;

struct ConfigServiceOptions {
  std::chrono::milliseconds nodeCurrentMs{2000};
  std::chrono::milliseconds unresponsiveGraceMs{500};
  std::chrono::milliseconds leadershipConfirmationMs{1200};
  std::chrono::milliseconds rosterForgetMs{60'000};
  std::chrono::milliseconds rosterBatchMs{100};
  std::size_t rosterBatchNodes = 24;
  std::chrono::milliseconds probeAfterMs{450};
  std::chrono::milliseconds probeEveryMs{250};
  std::chrono::milliseconds gonePersistsMs{1000};
  std::size_t maxChanges = 64;
  std::size_t maxWaitingAnswers = 256;
  std::size_t maxReceipts = 256;
  std::size_t maxNodes = 1000;
  std::size_t maxEvacuatedZones = 100;
  std::size_t maxDocumentBytes = 1 << 20;
};

struct ZoneOrder {
  std::string zone;
  bool evacuated = false;
};

struct Change {
  std::uint64_t ticket = 0;
  /// The idempotency key: the same at each repetition, at every node. Named by the caller, or derived from the content.
  std::string id;
  std::optional<config::Version> base;
  bool patch = false;
  std::string body;
  TimePoint deadline;
  std::optional<std::uint64_t> baseRevision{};
  std::optional<ZoneOrder> zone{};
  /// The key was derived from a content that names no base: it does not tell a repetition from a new wish.
  bool keyedByContentOnly = false;
};

struct Read {
  std::uint64_t ticket = 0;
  TimePoint deadline;
};

struct Tick {};
struct StateRequestReceived {
  std::string address;
  messages::StateRequest poll;
};
struct ProbeFinished {
  std::uint64_t token = 0;
  bool gone = false;
};
struct RemoveNodes {
  std::uint64_t ticket = 0;
  std::vector<std::string> nodes;
  TimePoint deadline;
};

/// The process will be stopped: take no new orders, finish what was begun.
struct BeginShutdown {};

using ConfigServiceEvent = std::variant<replication::BecamePrimary, replication::SteppedDown, replication::Committed,
                                        replication::OutcomeUnknown, Change, Read, StateRequestReceived, ProbeFinished,
                                        RemoveNodes, Tick, BeginShutdown>;

/// How an order ended. `taken`, `refused` and `conflict` are definite and linearizable. `notRun`: this call changed
/// nothing and will change nothing. `unknown`: it may have taken effect, or may still do so.
enum class OrderStatus { taken, refused, conflict, notRun, unknown };

struct OrderOutcome {
  std::uint64_t ticket = 0;
  OrderStatus verdict = OrderStatus::unknown;
  config::Version version;
  std::vector<config::Problem> problems;
  std::string reason;
};

struct ConfigurationRead {
  std::uint64_t ticket = 0;
  config::Version version;
  std::uint64_t revision = 0;
  std::string document;
};

struct Probe {
  std::uint64_t token = 0;
  std::string node;
  std::string address;
};

using ConfigServiceEffect = std::variant<replication::Proposal, OrderOutcome, ConfigurationRead, distribution::Outgoing,
                                         Probe, replication::LogEntry>;

struct NodeView {
  std::string node;
  std::string address;
  std::string zone;
  std::uint64_t slot = 0;
  config::Version confirmed;
  std::chrono::milliseconds sinceReportMs{0};
  bool everReported = false;
  bool gone = false;
};

class ConfigService {
 public:
  ConfigService(ConfigServiceOptions const& options, std::string const& id,
                config::ConfigSchema schema = config::nativeConfigSchema());
  ~ConfigService();
  ConfigService(ConfigService const&);
  ConfigService(ConfigService&&) noexcept;
  ConfigService& operator=(ConfigService const&);
  ConfigService& operator=(ConfigService&&) noexcept;

  std::vector<ConfigServiceEffect> step(TimePoint now, replication::ReplicationGroup const& group,
                                        ConfigServiceEvent const& event);

  bool active() const;
  messages::State const& published() const;
  std::vector<NodeView> nodes(TimePoint now) const;
  std::size_t pending() const;

  /// A hash of everything that decides what later steps do, for the model checker. Times count as differences from now.
  std::uint64_t digest(TimePoint now) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeramp::control
