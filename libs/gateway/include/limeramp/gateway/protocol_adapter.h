#pragma once

#include "limeramp/config/configuration.h"
#include "limeramp/discovery/list.h"
#include "limeramp/dispatch/dispatcher.h"
#include "limeramp/dispatch/shard_result.h"
#include "limeramp/net/http.h"

#include <absl/status/statusor.h>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// The interface between the request path and the protocols of callers and servers. RequestManager and Dispatcher make
/// the decisions; an adapter only reads and writes messages. All functions are pure and are called on the network's
/// thread.
namespace limeramp::gateway {

/// The caller of a request, as its headers describe it.
struct Caller {
  std::string host;
  std::string tenant;
  /// The request's id; empty if the caller names none.
  std::string id;
  /// How long the caller waits for the answer, if the request states it.
  std::optional<std::chrono::milliseconds> remainingMs;
};

/// Why the gateway answers a request itself instead of with a server's result.
enum class RefusalReason {
  malformed,
  unknownEntry,
  tooLong,
  headTooLong,
  tooSlow,
  overloaded,
  stale,
  deadline,
  failed
};

/// An answer that the gateway itself gives. `verdict` states whether the request may have run; the status follows from
/// it and from `kind`.
struct Refusal {
  RefusalReason kind = RefusalReason::failed;
  /// Plain text, which the adapter may write into the answer.
  std::string reason;
  retry::Verdict verdict = retry::Verdict::mayHaveRun;
  std::optional<std::chrono::milliseconds> retryAfter;
  std::string request;
  std::string version;
};

/// The caller's request and the shard that a request to a server belongs to.
struct SubrequestContext {
  std::string request;
  std::string service;
  std::string partition;
  /// The incarnation of the server that is addressed; a server of another incarnation must decline the request.
  std::string incarnation;
  std::string version;
  std::chrono::milliseconds remainingMs{0};
  /// Whether the answer is one shard's result, which is merged. Otherwise it is forwarded to the caller.
  bool expectsShardResult = false;
  std::size_t resultSize = 0;
};

/// A server's answer after the adapter has classified it.
struct ParsedAnswer {
  dispatch::AttemptFinished finished;
  /// Set if the adapter has parsed the result itself; otherwise parseShardResult parses it.
  std::optional<dispatch::ShardResult> shardResult;
  /// For the log, if the answer was rejected.
  std::string reason;
};

/// A merged answer before it is written.
struct MergedResult {
  std::string request;
  std::string version;
  std::vector<std::string> services;
  /// Indexes of the shards whose results are missing.
  std::vector<std::size_t> missing;
  std::vector<dispatch::ShardResultPtr> shardResults;
  std::vector<std::string> records;
};

/// The functions that one protocol needs.
struct ProtocolAdapter {
  /// Reads the caller from a request, or returns why the request is refused.
  std::function<std::variant<Caller, Refusal>(net::Request const& request)> readCaller;
  /// Writes a merged answer.
  std::function<net::Answer(MergedResult const& merged)> writeMerged;
  /// Adds the protocol's headers to a server's answer that is forwarded to the caller.
  std::function<void(net::Answer& answer, std::string const& request, std::string const& version)> writeForwarded;
  /// Writes an answer that the gateway itself gives.
  std::function<net::Answer(Refusal const& refusal)> writeRefusal;
  /// Adds the protocol's headers to a request to a server.
  std::function<void(net::Request& request, SubrequestContext const& context)> writeAsk;
  /// Classifies a server's answer.
  std::function<ParsedAnswer(net::Answer const& answer, SubrequestContext const& context)> readAnswer;
  /// Returns the request that reads a page of the platform's list of servers; "" names the first page.
  std::function<net::Request(std::string const& page)> listRequest;
  /// Reads a page of the list.
  std::function<absl::StatusOr<discovery::List>(std::string const& body)> readList;
  /// The schema of the configurations that operators write.
  config::ConfigSchema schema;
};

/// limeramp's own protocol (docs/interface.md).
ProtocolAdapter nativeProtocolAdapter();

}  // namespace limeramp::gateway
