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

/// The life of a caller's request on one node, from arrival to answer, as a pure state machine around a Dispatcher.
namespace limeramp::gateway {

using retry::TimePoint;

/// Who this node is. `boot` tells this start from every other and is part of the ids that it makes.
struct NodeIdentity {
  std::string node;
  std::string address;
  std::string zone;
  std::uint64_t boot = 0;
};

/// A caller's request, whole.
struct RequestReceived {
  std::uint64_t request = 0;
  net::Request content;
  /// Another node has forwarded it: it is served here or refused, never forwarded again.
  bool forwarded = false;
  std::optional<std::chrono::milliseconds> remainingMs;
};
/// What came of an attempt at a server.
struct ExchangeFinished {
  std::uint64_t attempt = 0;
  net::Exchange exchange;
};
/// A worker has read a shard result.
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
/// From now on requests pin this snapshot; those that are open keep theirs.
struct ConfigurationInForce {
  config::SnapshotPtr snapshot;
};
/// A service has other servers.
struct EndpointsChanged {
  dispatch::ServersUpdated servers;
};
/// The nodes that own a cell.
struct CellOwners {
  std::string cell;
  std::vector<std::string> addresses;
};
/// This node's share of the fleet is another one.
struct PositionChanged {
  dispatch::FleetPosition position;
};
/// Time has passed; see nextWake.
struct Tick {};

/// All that can happen to the requests of a node.
using RequestEvent = std::variant<RequestReceived, ExchangeFinished, ShardResultParsed, MergeFinished,
                                  ConfigurationInForce, EndpointsChanged, CellOwners, PositionChanged, Tick>;

/// The answer to a caller. Exactly one for each request.
struct Reply {
  std::uint64_t request = 0;
  net::Answer answer;
};
/// Send this to a server, or to a node that owns the cell.
struct SendRequest {
  std::uint64_t attempt = 0;
  std::string server;
  net::Request content;
  TimePoint deadline;
  bool toCellOwner = false;
  std::chrono::milliseconds remainingMs{0};
};
/// Nobody waits for this attempt any more; its answer is not used.
struct CancelRequest {
  std::uint64_t attempt = 0;
};
/// Have a worker read this result.
struct ParseShardResult {
  std::uint64_t attempt = 0;
  std::string body;
  dispatch::ShardStamp expected;
  std::size_t resultSize = 0;
  std::optional<double> load;
};
/// Have a worker merge these results.
struct MergeShardResults {
  std::uint64_t request = 0;
  std::vector<dispatch::ShardResultPtr> shardResults;
  std::size_t resultSize = 0;
};

/// All that a step can ask for.
using RequestEffect =
    std::variant<Reply, SendRequest, CancelRequest, ParseShardResult, MergeShardResults, dispatch::LogEntry>;

/// Admits callers' requests, pins each to the configuration in force, asks servers as the Dispatcher says, and answers.
/// Guarantees: one answer for each request; a merged answer holds results of one request and one configuration only; an
/// attempt is sent again only if it has not run or the request is idempotent. Not safe for use by several threads.
class RequestManager {
 public:
  RequestManager(NodeIdentity const& self, dispatch::DispatchOptions const& policy,
                 ProtocolAdapter adapter = nativeProtocolAdapter());
  ~RequestManager();
  RequestManager(RequestManager&&) noexcept;
  RequestManager& operator=(RequestManager&&) noexcept;

  /// Takes one event; the effects are to be carried out in their order.
  std::vector<RequestEffect> step(TimePoint now, RequestEvent const& event);
  /// When to send the next Tick; nothing while nothing waits.
  std::optional<TimePoint> nextWake(TimePoint now) const;
  /// The configuration in force; null before the first one.
  config::SnapshotPtr snapshot() const;
  std::vector<dispatch::ServerStatus> servers(TimePoint now) const;
  dispatch::Counters counters() const;
  /// Requests that are open.
  std::size_t requests() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeramp::gateway
