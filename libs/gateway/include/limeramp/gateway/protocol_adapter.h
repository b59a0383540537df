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

/// The seam between the request path and the protocols of callers and servers. The decisions stand in RequestManager
/// and Dispatcher; an adapter only reads and writes messages. All functions are pure and are called on the network's
/// thread.
namespace limeramp::gateway {

/// Who asks, read from a request.
struct Caller {
  std::string host;
  std::string tenant;
  /// The request's id; empty if the caller names none.
  std::string id;
  /// How long the caller waits, if it says so.
  std::optional<std::chrono::milliseconds> remainingMs;
};

/// Why a request gets an answer of the gateway's own.
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

/// An answer of the gateway's own. `verdict` says whether the request may have run; it decides the status.
struct Refusal {
  RefusalReason kind = RefusalReason::failed;
  /// For the log, if the answer was refused.
  std::string reason;
  retry::Verdict verdict = retry::Verdict::mayHaveRun;
  std::optional<std::chrono::milliseconds> retryAfter;
  std::string request;
  std::string version;
};

/// What a request to a server belongs to.
struct SubrequestContext {
  std::string request;
  std::string service;
  std::string partition;
  /// The start of the server that is meant; another one must decline the request.
  std::string incarnation;
  std::string version;
  std::chrono::milliseconds remainingMs{0};
  /// Whether the answer is one shard's result, to be merged; otherwise it goes to the caller as it is.
  bool expectsShardResult = false;
  std::size_t resultSize = 0;
};

/// A server's answer, judged.
struct ParsedAnswer {
  dispatch::AttemptFinished finished;
  /// Set if the adapter has read the result itself; otherwise parseShardResult reads it.
  std::optional<dispatch::ShardResult> shardResult;
  std::string reason;
};

/// A merged answer before it is written.
struct MergedResult {
  std::string request;
  std::string version;
  std::vector<std::string> services;
  /// Indexes of the shards that are not in.
  std::vector<std::size_t> missing;
  std::vector<dispatch::ShardResultPtr> shardResults;
  std::vector<std::string> records;
};

/// The functions that one protocol needs.
struct ProtocolAdapter {
  /// Reads who asks, or says why the request is refused.
  std::function<std::variant<Caller, Refusal>(net::Request const& request)> readCaller;
  /// Writes a merged answer.
  std::function<net::Answer(MergedResult const& merged)> writeMerged;
  /// Adds to a server's answer what the protocol wants on its way to the caller.
  std::function<void(net::Answer& answer, std::string const& request, std::string const& version)> writeForwarded;
  /// Writes an answer of the gateway's own.
  std::function<net::Answer(Refusal const& refusal)> writeRefusal;
  /// Adds to a request what the server must know.
  std::function<void(net::Request& request, SubrequestContext const& context)> writeAsk;
  /// Judges a server's answer.
  std::function<ParsedAnswer(net::Answer const& answer, SubrequestContext const& context)> readAnswer;
  /// The call that reads a page of the list of servers; the first one is named "".
  std::function<net::Request(std::string const& page)> listRequest;
  /// Reads a page of the list.
  std::function<absl::StatusOr<discovery::List>(std::string const& body)> readList;
  /// The language of the operators' configurations.
  config::ConfigSchema schema;
};

/// limeramp's own protocol (docs/interface.md).
ProtocolAdapter nativeProtocolAdapter();

}  // namespace limeramp::gateway
