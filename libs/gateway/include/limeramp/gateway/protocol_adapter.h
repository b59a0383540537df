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

namespace limeramp::gateway {

struct Caller {
  std::string host;
  std::string tenant;
  std::string id;
  std::optional<std::chrono::milliseconds> remainingMs;
};

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

struct Refusal {
  RefusalReason kind = RefusalReason::failed;
  std::string reason;
  retry::Verdict verdict = retry::Verdict::mayHaveRun;
  std::optional<std::chrono::milliseconds> retryAfter;
  std::string request;
  std::string version;
};

struct SubrequestContext {
  std::string request;
  std::string service;
  std::string partition;
  std::string incarnation;
  std::string version;
  std::chrono::milliseconds remainingMs{0};
  bool expectsShardResult = false;
  std::size_t resultSize = 0;
};

struct ParsedAnswer {
  dispatch::AttemptFinished finished;
  std::optional<dispatch::ShardResult> shardResult;
  std::string reason;
};

struct MergedResult {
  std::string request;
  std::string version;
  std::vector<std::string> services;
  std::vector<std::size_t> missing;
  std::vector<dispatch::ShardResultPtr> shardResults;
  std::vector<std::string> records;
};

struct ProtocolAdapter {
  std::function<std::variant<Caller, Refusal>(net::Request const& request)> readCaller;
  std::function<net::Answer(MergedResult const& merged)> writeMerged;
  std::function<void(net::Answer& answer, std::string const& request, std::string const& version)> writeForwarded;
  std::function<net::Answer(Refusal const& refusal)> writeRefusal;
  std::function<void(net::Request& request, SubrequestContext const& context)> writeAsk;
  std::function<ParsedAnswer(net::Answer const& answer, SubrequestContext const& context)> readAnswer;
  std::function<net::Request(std::string const& page)> listRequest;
  std::function<absl::StatusOr<discovery::List>(std::string const& body)> readList;
  config::ConfigSchema schema;
};

ProtocolAdapter nativeProtocolAdapter();

}  // namespace limeramp::gateway
