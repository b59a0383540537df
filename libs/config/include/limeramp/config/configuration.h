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
/// ConfigSchema::check makes a Configuration. It is complete and consistent, and never changes afterwards. Each request
/// pins the Snapshot that is in force when it arrives.
namespace limeramp::config {

/// Orders configurations: by the epoch whose primary accepted them, then by their sequence within it.
struct Version {
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
  std::strong_ordering operator<=>(Version const&) const = default;
  /// "EPOCH.SEQUENCE", as in HTTP headers and on operator pages.
  std::string text() const;
  /// Parses the output of text(); nothing if `text` is malformed.
  static std::optional<Version> parse(std::string const& text);
};

/// A group of servers that can answer the same requests.
struct Service {
  /// Requests per second that one server can take, if the list of servers does not say.
  double capacity = 50;
  /// Length of a server's slow start, if the list of servers does not say; 0 for none.
  std::chrono::milliseconds slowStartMs{0};
  /// Connections that all gateways together may keep to one server; 0: unbounded.
  std::size_t maxConnections = 0;
  /// Requests per second that a server can take while it warms up; 0: it is used only if no other server is left.
  double warmupPerSecond = 0;
};

/// One shard of an index: the service that serves it, and the partition that its answers must name.
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
  /// Number of records in the merged answer: the greatest ones, compared byte by byte.
  std::size_t resultSize = 10;
  /// With results of fewer shards the request fails.
  std::size_t minimumShards = 1;
  /// Upper bound of the servers that one request may be sent to for each shard.
  std::size_t maxAttempts = 2;
  /// Deadline of a request, unless its caller names a shorter one.
  std::chrono::milliseconds deadlineMs{500};
  /// Time within which the answer should be ready; 0: only the deadline counts.
  std::chrono::milliseconds latencyTargetMs{0};
  /// Lower numbers are served first; under overload the highest numbers are refused first.
  std::size_t priority = 0;
};

/// One service of a split route and its share of the requests, relative to the sum of the weights.
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
  /// Whether a request may be retried although an earlier attempt may have been executed.
  bool idempotent = false;
  std::chrono::milliseconds deadlineMs{2000};
  std::chrono::milliseconds latencyTargetMs{0};
  std::size_t priority = 0;
};

/// Bounds on the size of callers' requests and on the time that callers may take to send them.
struct CallerLimits {
  std::size_t maxHeaderBytes = 16 << 10;
  std::size_t maxBodyBytes = 1 << 20;
  std::chrono::milliseconds headerMs{30'000};
  std::chrono::milliseconds idleMs{30'000};
};

/// A group of nodes that owns tenants. Requests of these tenants are served there; other nodes forward them.
struct Cell {
  std::string name;
  std::set<std::string> tenants;
  std::set<std::string> nodes;
};

/// A whole configuration.
struct Configuration {
  /// The revision number that the document names; 0 if it names none.
  std::uint64_t revision = 0;
  CallerLimits limits;
  std::map<std::string, Service> services;
  std::vector<Search> searches;
  std::vector<Route> routes;
  std::vector<Cell> cells;
  std::set<std::string> evacuatedZones;

  /// The cell that owns the tenant; null if no cell owns it, so that any node serves it.
  Cell const* cellOf(std::string const& tenant) const;
};

/// The entry that a request matches: none, a search, or a route.
using Target = std::variant<std::monostate, Search const*, Route const*>;
/// Finds the entry of the host and tenant with the longest matching prefix. The result points into `configuration`.
Target findTarget(Configuration const& configuration, std::string_view host, std::string const& tenant,
                  std::string_view path);
/// Picks the service of a split route by a hash of the request's id, so that retries of a request get the same service.
std::string const& chooseService(Route const& route, std::string_view requestId);

/// One error in a document; `path` is a JSON pointer.
struct Problem {
  std::string path;
  std::string reason;
};

/// Holds either a configuration or at least one problem, never both.
struct CheckedConfiguration {
  std::optional<Configuration> configuration;
  std::vector<Problem> problems;
};

/// Checks a document in limeramp's own schema.
CheckedConfiguration checkConfiguration(picojson::value const& document);

/// The format in which operators write configurations. Controllers check changes with it, gateways parse with it.
struct ConfigSchema {
  /// Parses and checks a whole document.
  std::function<CheckedConfiguration(std::string const& document)> check;
  /// Applies a patch to a document. Does not check the result: that is up to `check`.
  std::function<absl::StatusOr<std::string>(std::string const& document, std::string const& patch)> merge;
  /// Whether documents are stored byte for byte; otherwise in a canonical form.
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

/// Shared by all requests that pin the snapshot.
using SnapshotPtr = std::shared_ptr<Snapshot const>;

}  // namespace limeramp::config
