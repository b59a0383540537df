#pragma once

#include "limeramp/config/configuration.h"
#include "limeramp/dispatch/dispatcher.h"
#include "limeramp/dispatch/shard_result.h"
#include "limeramp/gateway/protocol_adapter.h"
#include "limeramp/net/http.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

/// Handles callers' requests on one node, from arrival to answer, as a pure state machine around a Dispatcher.
namespace limeramp::gateway {

using retry::TimePoint;

/// The identity of this node. `boot` identifies this start of the process and is part of the request ids that it makes.
struct NodeIdentity {
  std::string node;
  std::string address;
  std::string zone;
  std::uint64_t boot = 0;
};

/// A caller's request was read completely.
struct RequestReceived {
  std::uint64_t request = 0;
  net::Request content;
  /// Set if another node forwarded the request. It is then served here or refused, never forwarded again.
  bool forwarded = false;
  std::optional<std::chrono::milliseconds> remainingMs;
};
/// An attempt at a server or at another node has ended.
struct ExchangeFinished {
  std::uint64_t attempt = 0;
  net::Exchange exchange;
};
/// A worker has parsed a shard result.
struct ShardResultParsed {
  std::uint64_t attempt = 0;
  absl::StatusOr<dispatch::ShardResult> shardResult;
  std::optional<double> load;
};
/// A worker has merged a request's results.
struct MergeFinished {
  std::uint64_t request = 0;
  std::vector<std::string> records;
};
/// A new configuration is in force. Later requests are pinned to this snapshot; open ones keep theirs.
struct ConfigurationInForce {
  config::SnapshotPtr snapshot;
};
/// The set of servers of a service has changed.
struct EndpointsChanged {
  dispatch::ServersUpdated servers;
};
/// The addresses of the nodes that own a cell.
struct CellOwners {
  std::string cell;
  std::vector<std::string> addresses;
};
/// This node's share of the fleet's limits has changed.
struct PositionChanged {
  dispatch::FleetPosition position;
};
/// The time that nextWake named has come.
struct Tick {};

/// The events that RequestManager::step takes.
using RequestEvent = std::variant<RequestReceived, ExchangeFinished, ShardResultParsed, MergeFinished,
                                  ConfigurationInForce, EndpointsChanged, CellOwners, PositionChanged, Tick>;

/// The answer to a caller. Each request gets exactly one.
struct Reply {
  std::uint64_t request = 0;
  net::Answer answer;
};
/// Send this request to a server, or to a node that owns the cell.
struct SendRequest {
  std::uint64_t attempt = 0;
  std::string server;
  net::Request content;
  TimePoint deadline;
  bool toCellOwner = false;
  std::chrono::milliseconds remainingMs{0};
};
/// Cancel this attempt. Its answer is no longer used.
struct CancelRequest {
  std::uint64_t attempt = 0;
};
/// Have a worker parse this shard result.
struct ParseShardResult {
  std::uint64_t attempt = 0;
  std::string body;
  dispatch::ShardStamp expected;
  std::size_t resultSize = 0;
  std::optional<double> load;
};
/// Have a worker merge these shard results.
struct MergeShardResults {
  std::uint64_t request = 0;
  std::vector<dispatch::ShardResultPtr> shardResults;
  std::size_t resultSize = 0;
};

/// The effects that RequestManager::step returns.
using RequestEffect =
    std::variant<Reply, SendRequest, CancelRequest, ParseShardResult, MergeShardResults, dispatch::LogEntry>;

/// Admits callers' requests, pins each to the configuration in force, sends the attempts that the Dispatcher decides
/// on, and answers. Guarantees: each request gets exactly one answer; a merged answer holds results of one request and
/// one configuration only; a subrequest is sent again only if its earlier attempts have not run or the request is
/// idempotent. Not safe for use by several threads.
class RequestManager {
 public:
  RequestManager(NodeIdentity const& self, dispatch::DispatchOptions const& options,
                 ProtocolAdapter adapter = nativeProtocolAdapter());
  ~RequestManager();
  RequestManager(RequestManager&&) noexcept;
  RequestManager& operator=(RequestManager&&) noexcept;

  /// Handles one event and returns the effects, which the caller carries out in order.
  std::vector<RequestEffect> step(TimePoint now, RequestEvent const& event);
  /// When to send the next Tick; nothing if no timer is pending.
  std::optional<TimePoint> nextWake(TimePoint now) const;
  /// The configuration in force; null before the first one.
  config::SnapshotPtr snapshot() const;
  std::vector<dispatch::ServerStatus> servers(TimePoint now) const;
  dispatch::Counters counters() const;
  /// Number of open requests.
  std::size_t requests() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeramp::gateway
