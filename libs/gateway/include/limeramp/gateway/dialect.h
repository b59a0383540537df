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

enum class Unserved { malformed, unknownEntry, tooLong, headTooLong, tooSlow, overloaded, stale, deadline, failed };

struct Refusal {
  Unserved why = Unserved::failed;
  std::string reason;
  retry::Verdict verdict = retry::Verdict::mayHaveRun;
  std::optional<std::chrono::milliseconds> retryAfter;
  std::string request;
  std::string version;
};

struct Asked {
  std::string request;
  std::string service;
  std::string cut;
  std::string incarnation;
  std::string version;
  std::chrono::milliseconds remainingMs{0};
  bool part = false;
  std::size_t resultSize = 0;
};

struct Heard {
  dispatch::AttemptFinished returned;
  std::optional<dispatch::ShardResult> part;
  std::string reason;
};

struct Gathered {
  std::string request;
  std::string version;
  std::vector<std::string> services;
  std::vector<std::size_t> missing;
  std::vector<dispatch::ShardResultPtr> parts;
  std::vector<std::string> records;
};

struct Dialect {
  std::function<std::variant<Caller, Refusal>(net::Request const& request)> readCaller;
  std::function<net::Answer(Gathered const& gathered)> writeGathered;
  std::function<void(net::Answer& answer, std::string const& request, std::string const& version)> writeForwarded;
  std::function<net::Answer(Refusal const& refusal)> writeRefusal;
  std::function<void(net::Request& request, Asked const& asked)> writeAsk;
  std::function<Heard(net::Answer const& answer, Asked const& asked)> readAnswer;
  std::function<net::Request(std::string const& page)> listRequest;
  std::function<absl::StatusOr<discovery::List>(std::string const& body)> readList;
  config::Language language;
};

Dialect ownDialect();

}  // namespace limeramp::gateway
