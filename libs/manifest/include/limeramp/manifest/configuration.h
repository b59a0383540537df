#pragma once

#include "limeramp/manifest/json.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace limeramp::manifest {

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
};

struct Shard {
  std::string service;
  std::string cut;
};

struct Search {
  std::string name;
  std::string tenant;
  std::string prefix;
  std::vector<Shard> shards;
  std::size_t result_size = 10;
  std::size_t minimum_shards = 1;
  std::size_t max_attempts = 2;
  std::chrono::milliseconds deadlineMs{500};
};

struct Route {
  std::string name;
  std::string tenant;
  std::string prefix;
  std::string service;
  std::size_t max_attempts = 1;
  bool repeatable = false;
  std::chrono::milliseconds deadlineMs{2000};
};

struct Cell {
  std::string name;
  std::set<std::string> tenants;
  std::set<std::string> nodes;
};

struct Configuration {
  std::map<std::string, Service> services;
  std::vector<Search> searches;
  std::vector<Route> routes;
  std::vector<Cell> cells;
  std::set<std::string> emptiedZones;

  Cell const* cellOf(std::string const& tenant) const;
};

using Target = std::variant<std::monostate, Search const*, Route const*>;
Target findTarget(Configuration const& configuration, std::string const& tenant, std::string_view path);

struct Problem {
  std::string path;
  std::string reason;
};

struct Checked {
  std::optional<Configuration> configuration;
  std::vector<Problem> problems;
};

Checked checkConfiguration(picojson::value const& document);

struct Snapshot {
  Version version;
  std::string text;
  Configuration configuration;
};

using SnapshotPtr = std::shared_ptr<Snapshot const>;

}
