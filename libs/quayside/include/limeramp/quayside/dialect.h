#pragma once

#include "limeramp/berth/list.h"
#include "limeramp/manifest/configuration.h"
#include "limeramp/rigging/http.h"
#include "limeramp/shoal/machine.h"
#include "limeramp/shoal/part.h"

#include <absl/status/statusor.h>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace limeramp::quayside {

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
  tally::Verdict verdict = tally::Verdict::mayHaveRun;
  std::optional<std::chrono::milliseconds> retryAfter;
  std::string request;
  std::string version;
};

struct Asked {
  std::string request;
  std::string service;
  std::string cut;
  std::string life;
  std::string version;
  std::chrono::milliseconds remainingMs{0};
  bool part = false;
  std::size_t result_size = 0;
};

struct Heard {
  shoal::Returned returned;
  std::optional<shoal::Part> part;
  std::string reason;
};

struct Gathered {
  std::string request;
  std::string version;
  std::vector<std::string> services;
  std::vector<std::size_t> missing;
  std::vector<shoal::PartPtr> parts;
  std::vector<std::string> records;
};

struct Dialect {
  std::function<std::variant<Caller, Refusal>(rigging::Request const& request)> readCaller;
  std::function<rigging::Answer(Gathered const& gathered)> writeGathered;
  std::function<void(rigging::Answer& answer, std::string const& request, std::string const& version)> writeForwarded;
  std::function<rigging::Answer(Refusal const& refusal)> writeRefusal;
  std::function<void(rigging::Request& request, Asked const& asked)> writeAsk;
  std::function<Heard(rigging::Answer const& answer, Asked const& asked)> readAnswer;
  std::function<rigging::Request(std::string const& page)> listRequest;
  std::function<absl::StatusOr<berth::List>(std::string const& body)> readList;
  manifest::Language language;
};

Dialect ownDialect();

}
