#include "limeramp/config/configuration.h"

#include "limeramp/config/reader.h"

#include <xxhash.h>

#include <charconv>
#include <tuple>

namespace limeramp::config {
namespace {

constexpr std::chrono::milliseconds minDeadlineMs{10};
constexpr std::chrono::milliseconds maxDeadlineMs{60'000};

void checkPrefix(Reader& reader, std::string const& prefix) {
  if (!prefix.empty() && prefix.front() != '/') {
    reader.complain("prefix", "must begin with /");
  }
  if (prefix.starts_with("/limeramp")) {
    reader.complain("prefix", "/limeramp is kept for operators");
  }
}

void checkService(Reader& reader, Configuration const& configuration, std::string const& service) {
  if (!service.empty() && !configuration.services.contains(service)) {
    reader.complain("service", "names the absent service '" + service + "'");
  }
}

void readWeightedServices(Reader& reader, Configuration const& configuration, Route& route) {
  std::string const service = reader.text("service", std::string());
  if (!service.empty()) {
    checkService(reader, configuration, service);
    route.choices.push_back({service, 1});
  }
  double total = 0;
  reader.eachItem("split", 0, 64, [&](Reader& inner) {
    WeightedService choice{inner.text("service", std::nullopt), inner.number("weight", 1, 0, 1e6)};
    checkService(inner, configuration, choice.service);
    total += choice.weight;
    route.choices.push_back(std::move(choice));
  });
  if (service.empty() && route.choices.empty()) {
    reader.complain("service", "is missing");
  } else if (!service.empty() && route.choices.size() > 1) {
    reader.complain("split", "stands beside service");
  } else if (service.empty() && total <= 0) {
    reader.complain("split", "has no weight above 0");
  }
}

/// Whether `prefix` matches `path` up to the end of a path segment.
bool matchesPrefix(std::string const& prefix, std::string_view path) {
  if (!path.starts_with(prefix)) {
    return false;
  }
  return prefix.back() == '/' || path.size() == prefix.size() || path[prefix.size()] == '/';
}

template <typename Entry>
bool matchesRequest(Entry const& entry, std::string_view host, std::string const& tenant, std::string_view path) {
  return (entry.host.empty() || entry.host == host) && entry.tenant == tenant && matchesPrefix(entry.prefix, path);
}

/// Reads the host, tenant and prefix of an entry. No two entries may have all three in common.
void readMatch(Reader& reader, std::set<std::tuple<std::string, std::string, std::string>>& takenMatches,
               std::string& host, std::string& tenant, std::string& prefix) {
  host = reader.text("host", std::string());
  tenant = reader.text("tenant", std::nullopt);
  prefix = reader.text("prefix", std::nullopt);
  checkPrefix(reader, prefix);
  if (!takenMatches.emplace(host, tenant, prefix).second) {
    reader.complain("prefix", "is taken by another entry of the tenant");
  }
}

}  // namespace

std::string Version::text() const { return std::to_string(epoch) + "." + std::to_string(sequence); }

std::optional<Version> Version::parse(std::string const& text) {
  Version out;
  char const* const last = text.data() + text.size();
  std::from_chars_result const first = std::from_chars(text.data(), last, out.epoch);
  if (first.ec != std::errc() || first.ptr == last || *first.ptr != '.') {
    return std::nullopt;
  }
  std::from_chars_result const second = std::from_chars(first.ptr + 1, last, out.sequence);
  if (second.ec != std::errc() || second.ptr != last) {
    return std::nullopt;
  }
  return out;
}

Cell const* Configuration::cellOf(std::string const& tenant) const {
  for (Cell const& cell : cells) {
    if (cell.tenants.contains(tenant)) {
      return &cell;
    }
  }
  return nullptr;
}

Target findTarget(Configuration const& configuration, std::string_view host, std::string const& tenant,
                  std::string_view path) {
  Target best;
  std::size_t bestLength = 0;
  for (Search const& search : configuration.searches) {
    if (matchesRequest(search, host, tenant, path) && search.prefix.size() > bestLength) {
      best = &search;
      bestLength = search.prefix.size();
    }
  }
  for (Route const& route : configuration.routes) {
    if (matchesRequest(route, host, tenant, path) && route.prefix.size() > bestLength) {
      best = &route;
      bestLength = route.prefix.size();
    }
  }
  return best;
}

std::string const& chooseService(Route const& route, std::string_view requestId) {
  double total = 0;
  for (WeightedService const& choice : route.choices) {
    total += choice.weight;
  }
  double const unit = static_cast<double>(XXH64(requestId.data(), requestId.size(), 0) >> 11) * 0x1.0p-53;
  double left = unit * total;
  for (WeightedService const& choice : route.choices) {
    if (left < choice.weight) {
      return choice.service;
    }
    left -= choice.weight;
  }
  return route.choices.back().service;
}

CheckedConfiguration checkConfiguration(picojson::value const& document) {
  CheckedConfiguration out;
  Configuration configuration;
  Reader root(document, "", out.problems);
  if (!root.isObject()) {
    return out;
  }
  std::set<std::tuple<std::string, std::string, std::string>> takenMatches;
  root.eachField("services", 1000, [&](std::string const& name, Reader& reader) {
    Service service;
    service.capacity = reader.number("capacity", service.capacity, 0.1, 1e6);
    service.slowStartMs =
        reader.durationMs("slow_start_ms", service.slowStartMs, std::chrono::milliseconds(0), std::chrono::minutes(60));
    service.maxConnections = reader.integer("max_connections", service.maxConnections, 0, 1'000'000);
    service.warmupPerSecond = reader.number("cold_per_second", service.warmupPerSecond, 0, 1e6);
    configuration.services.emplace(name, service);
  });
  root.eachField("searches", 1000, [&](std::string const& name, Reader& reader) {
    Search search;
    search.name = name;
    readMatch(reader, takenMatches, search.host, search.tenant, search.prefix);
    std::set<std::string> services;
    reader.eachItem("shards", 1, 64, [&](Reader& inner) {
      Shard shard{inner.text("service", std::nullopt), inner.text("cut", std::nullopt)};
      checkService(inner, configuration, shard.service);
      if (!services.insert(shard.service).second) {
        inner.complain("service", "'" + shard.service + "' is already a shard of this entry");
      }
      search.shards.push_back(std::move(shard));
    });
    search.resultSize = reader.integer("result_size", std::nullopt, 1, 10'000);
    search.minimumShards = reader.integer("minimum_shards", std::nullopt, 1, 64);
    if (search.minimumShards > search.shards.size()) {
      reader.complain("minimum_shards", "is above the number of shards");
    }
    search.maxAttempts = reader.integer("max_attempts", search.maxAttempts, 1, 8);
    search.deadlineMs = reader.durationMs("deadline_ms", search.deadlineMs, minDeadlineMs, maxDeadlineMs);
    search.latencyTargetMs =
        reader.durationMs("aim_ms", search.latencyTargetMs, std::chrono::milliseconds(0), maxDeadlineMs);
    search.priority = reader.integer("priority", search.priority, 0, 100);
    configuration.searches.push_back(std::move(search));
  });
  root.eachField("routes", 1000, [&](std::string const& name, Reader& reader) {
    Route route;
    route.name = name;
    readMatch(reader, takenMatches, route.host, route.tenant, route.prefix);
    readWeightedServices(reader, configuration, route);
    route.maxAttempts = reader.integer("max_attempts", route.maxAttempts, 1, 8);
    route.idempotent = reader.flag("repeatable", false);
    route.deadlineMs = reader.durationMs("deadline_ms", route.deadlineMs, minDeadlineMs, maxDeadlineMs);
    route.latencyTargetMs =
        reader.durationMs("aim_ms", route.latencyTargetMs, std::chrono::milliseconds(0), maxDeadlineMs);
    route.priority = reader.integer("priority", route.priority, 0, 100);
    configuration.routes.push_back(std::move(route));
  });
  std::set<std::string> assignedTenants;
  root.eachField("cells", 100, [&](std::string const& name, Reader& reader) {
    Cell cell{name, reader.names("tenants", 1000), reader.names("nodes", 1000)};
    for (std::string const& tenant : cell.tenants) {
      if (!assignedTenants.insert(tenant).second) {
        reader.complain("tenants", "'" + tenant + "' belongs to another cell");
      }
    }
    if (cell.nodes.empty()) {
      reader.complain("nodes", "must name at least one node");
    }
    configuration.cells.push_back(std::move(cell));
  });
  configuration.evacuatedZones = root.names("emptied_zones", 100);
  configuration.revision = root.integer("revision", 0, 0, 1ULL << 53);
  root.rejectUnknown();
  if (out.problems.empty()) {
    out.configuration = std::move(configuration);
  }
  return out;
}

ConfigSchema nativeConfigSchema() {
  ConfigSchema out;
  out.check = [](std::string const& document) {
    absl::StatusOr<picojson::value> const parsed = parseJson(document);
    return parsed.ok() ? checkConfiguration(*parsed)
                       : CheckedConfiguration{std::nullopt, {{"/", std::string(parsed.status().message())}}};
  };
  out.merge = [](std::string const& document, std::string const& patch) -> absl::StatusOr<std::string> {
    absl::StatusOr<picojson::value> const before = parseJson(document.empty() ? "{}" : document);
    absl::StatusOr<picojson::value> const change = parseJson(patch);
    if (!change.ok()) {
      return change.status();
    }
    return mergePatch(before.ok() ? *before : picojson::value(picojson::object()), *change).serialize();
  };
  return out;
}

}  // namespace limeramp::config
