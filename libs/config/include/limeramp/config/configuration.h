#pragma once

#include "limeramp/config/json.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace limeramp::config {

struct Version {
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
  std::strong_ordering operator<=>(Version const&) const = default;
  std::string text() const;
  static std::optional<Version> parse(std::string const& text);
};

struct Service {
  double capacity = 50;
  std::chrono::milliseconds slowStartMs{0};
  std::size_t maxConnections = 0;
  double warmupPerSecond = 0;
};

struct Shard {
  std::string service;
  std::string partition;
};

struct Search {
  std::string name;
  std::string host;
  std::string tenant;
  std::string prefix;
  std::vector<Shard> shards;
  std::size_t resultSize = 10;
  std::size_t minimumShards = 1;
  std::size_t maxAttempts = 2;
  std::chrono::milliseconds deadlineMs{500};
  std::chrono::milliseconds latencyTargetMs{0};
  std::size_t priority = 0;
};

struct WeightedService {
  std::string service;
  double weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  std::string tenant;
  std::string prefix;
  std::vector<WeightedService> choices;
  std::size_t maxAttempts = 1;
  bool idempotent = false;
  std::chrono::milliseconds deadlineMs{2000};
  std::chrono::milliseconds latencyTargetMs{0};
  std::size_t priority = 0;
};

struct CallerLimits {
  std::size_t maxHeaderBytes = 16 << 10;
  std::size_t maxBodyBytes = 1 << 20;
  std::chrono::milliseconds headerMs{30'000};
  std::chrono::milliseconds idleMs{30'000};
};

struct Cell {
  std::string name;
  std::set<std::string> tenants;
  std::set<std::string> nodes;
};

struct Configuration {
  std::uint64_t revision = 0;
  CallerLimits limits;
  std::map<std::string, Service> services;
  std::vector<Search> searches;
  std::vector<Route> routes;
  std::vector<Cell> cells;
  std::set<std::string> evacuatedZones;

  Cell const* cellOf(std::string const& tenant) const;
};

using Target = std::variant<std::monostate, Search const*, Route const*>;
Target findTarget(Configuration const& configuration, std::string_view host, std::string const& tenant,
                  std::string_view path);
std::string const& chooseService(Route const& route, std::string_view request);

struct Problem {
  std::string path;
  std::string reason;
};

struct CheckedConfiguration {
  std::optional<Configuration> configuration;
  std::vector<Problem> problems;
};

CheckedConfiguration checkConfiguration(picojson::value const& document);

struct ConfigSchema {
  std::function<CheckedConfiguration(std::string const& document)> check;
  std::function<absl::StatusOr<std::string>(std::string const& document, std::string const& patch)> merge;
  bool verbatim = false;
};
ConfigSchema nativeConfigSchema();

struct Snapshot {
  Version version;
  std::string text;
  Configuration configuration;
};

using SnapshotPtr = std::shared_ptr<Snapshot const>;

}  // namespace limeramp::config
