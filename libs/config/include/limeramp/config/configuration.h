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

/// The operators' configuration as a node uses it: services, searches over shards, routes, cells and limits.
///
/// A Configuration is made by a ConfigSchema's check, is complete and consistent, and is never changed afterwards. Each
/// request pins the Snapshot that was in force when it arrived.
namespace limeramp::config {

/// Orders configurations: by the epoch whose primary took them, then by their sequence in it.
struct Version {
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
  std::strong_ordering operator<=>(Version const&) const = default;
  /// "EPOCH.SEQUENCE", as headers and pages show it.
  std::string text() const;
  /// Reads what text() wrote; nothing if it is malformed.
  static std::optional<Version> parse(std::string const& text);
};

/// A group of servers that can answer the same requests.
struct Service {
  /// Requests a second that one server bears, where the list of servers does not say.
  double capacity = 50;
  /// How long a server is in slow start, where the list does not say; 0 for none.
  std::chrono::milliseconds slowStartMs{0};
  /// Connections that all gateways together may keep to one server; 0 for no bound.
  std::size_t maxConnections = 0;
  /// Requests a second that a server bears which is warming up; 0: it is used only where no other is left.
  double warmupPerSecond = 0;
};

/// One shard of an index: the service that has it, and the partition that its answers must name.
struct Shard {
  std::string service;
  std::string partition;
};

/// An entry that asks one server of every shard and merges their records.
struct Search {
  std::string name;
  std::string host;
  std::string tenant;
  std::string prefix;
  std::vector<Shard> shards;
  /// Records of the merged answer: the greatest ones, compared byte by byte.
  std::size_t resultSize = 10;
  /// With fewer shards in, the answer is a failure.
  std::size_t minimumShards = 1;
  /// Servers that one request may reach for each shard.
  std::size_t maxAttempts = 2;
  /// How long a caller is served who names no shorter time.
  std::chrono::milliseconds deadlineMs{500};
  /// When an answer should be there; 0: only the deadline counts.
  std::chrono::milliseconds latencyTargetMs{0};
  /// Lower numbers go first; under overload the greatest numbers are refused first.
  std::size_t priority = 0;
};

/// One part of a split route.
struct WeightedService {
  std::string service;
  double weight = 1;
};

/// An entry that forwards to one server.
struct Route {
  std::string name;
  std::string host;
  std::string tenant;
  std::string prefix;
  std::vector<WeightedService> choices;
  std::size_t maxAttempts = 1;
  /// Whether a request may be sent again although it may have run.
  bool idempotent = false;
  std::chrono::milliseconds deadlineMs{2000};
  std::chrono::milliseconds latencyTargetMs{0};
  std::size_t priority = 0;
};

/// Bounds on what callers may send, and on how long they may take for it.
struct CallerLimits {
  std::size_t maxHeaderBytes = 16 << 10;
  std::size_t maxBodyBytes = 1 << 20;
  std::chrono::milliseconds headerMs{30'000};
  std::chrono::milliseconds idleMs{30'000};
};

/// A group of nodes that own tenants: their requests are served there and forwarded from elsewhere.
struct Cell {
  std::string name;
  std::set<std::string> tenants;
  std::set<std::string> nodes;
};

/// All of them together.
struct Configuration {
  /// The number that the document itself names; 0 if it names none.
  std::uint64_t revision = 0;
  CallerLimits limits;
  std::map<std::string, Service> services;
  std::vector<Search> searches;
  std::vector<Route> routes;
  std::vector<Cell> cells;
  std::set<std::string> evacuatedZones;

  /// The cell that owns the tenant; null if any node serves it.
  Cell const* cellOf(std::string const& tenant) const;
};

/// What a request is for: nothing that is configured, a search, or a route.
using Target = std::variant<std::monostate, Search const*, Route const*>;
/// Finds the entry of the host and tenant with the longest matching prefix. The result points into `configuration`.
Target findTarget(Configuration const& configuration, std::string_view host, std::string const& tenant,
                  std::string_view path);
/// Picks the service of a split route by a hash of the request's id, so that repetitions of a request agree.
std::string const& chooseService(Route const& route, std::string_view request);

/// What is wrong with a document, by JSON pointer.
struct Problem {
  std::string path;
  std::string reason;
};

/// Exactly one of the two: a configuration, or problems.
struct CheckedConfiguration {
  std::optional<Configuration> configuration;
  std::vector<Problem> problems;
};

/// Checks a document of limeramp's own schema.
CheckedConfiguration checkConfiguration(picojson::value const& document);

/// The language in which operators write configurations. Controllers check changes with it, gateways read by it.
struct ConfigSchema {
  /// Reads a whole document.
  std::function<CheckedConfiguration(std::string const& document)> check;
  /// Applies a small change to a document; the result is checked afterwards.
  std::function<absl::StatusOr<std::string>(std::string const& document, std::string const& patch)> merge;
  /// Whether documents are kept byte for byte; otherwise in a canonical form.
  bool verbatim = false;
};
/// limeramp's own schema, with JSON merge patches (RFC 7386) as changes.
ConfigSchema nativeConfigSchema();

/// A configuration with its version and the text that operators read back. Immutable.
struct Snapshot {
  Version version;
  std::string text;
  Configuration configuration;
};

/// Shared by all requests that are pinned to it.
using SnapshotPtr = std::shared_ptr<Snapshot const>;

}  // namespace limeramp::config
