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

namespace limeramp::gateway {

using retry::TimePoint;

struct NodeIdentity {
  std::string node;
  std::string address;
  std::string zone;
  std::uint64_t boot = 0;
};

struct RequestReceived {
  std::uint64_t request = 0;
  net::Request content;
  bool forwarded = false;
  std::optional<std::chrono::milliseconds> remainingMs;
};
struct ExchangeFinished {
  std::uint64_t attempt = 0;
  net::Exchange exchange;
};
struct ShardResultParsed {
  std::uint64_t attempt = 0;
  absl::StatusOr<dispatch::ShardResult> shardResult;
  std::optional<double> load;
};
struct MergeFinished {
  std::uint64_t request = 0;
  std::vector<std::string> records;
};
struct ConfigurationInForce {
  config::SnapshotPtr snapshot;
};
struct EndpointsChanged {
  dispatch::ServersUpdated servers;
};
struct CellOwners {
  std::string cell;
  std::vector<std::string> addresses;
};
struct PositionChanged {
  dispatch::FleetPosition position;
};
struct Tick {};

using RequestEvent = std::variant<RequestReceived, ExchangeFinished, ShardResultParsed, MergeFinished,
                                  ConfigurationInForce, EndpointsChanged, CellOwners, PositionChanged, Tick>;

struct Reply {
  std::uint64_t request = 0;
  net::Answer answer;
};
struct SendRequest {
  std::uint64_t attempt = 0;
  std::string server;
  net::Request content;
  TimePoint deadline;
  bool toCellOwner = false;
  std::chrono::milliseconds remainingMs{0};
};
struct CancelRequest {
  std::uint64_t attempt = 0;
};
struct ParseShardResult {
  std::uint64_t attempt = 0;
  std::string body;
  dispatch::ShardStamp expected;
  std::size_t resultSize = 0;
  std::optional<double> load;
};
struct MergeShardResults {
  std::uint64_t request = 0;
  std::vector<dispatch::ShardResultPtr> shardResults;
  std::size_t resultSize = 0;
};

using RequestEffect =
    std::variant<Reply, SendRequest, CancelRequest, ParseShardResult, MergeShardResults, dispatch::LogEntry>;

class RequestManager {
 public:
  RequestManager(NodeIdentity const& self, dispatch::DispatchOptions const& policy,
                 ProtocolAdapter adapter = nativeProtocolAdapter());
  ~RequestManager();
  RequestManager(RequestManager&&) noexcept;
  RequestManager& operator=(RequestManager&&) noexcept;

  std::vector<RequestEffect> step(TimePoint now, RequestEvent const& event);
  std::optional<TimePoint> nextWake(TimePoint now) const;
  config::SnapshotPtr snapshot() const;
  std::vector<dispatch::ServerStatus> servers(TimePoint now) const;
  dispatch::Counters counters() const;
  std::size_t requests() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeramp::gateway
