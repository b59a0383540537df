#include "limeramp/manifest/configuration.h"

#include "limeramp/manifest/reader.h"

#include <charconv>

namespace limeramp::manifest {
namespace {

constexpr std::chrono::milliseconds leastDeadlineMs{10};
constexpr std::chrono::milliseconds mostDeadlineMs{60'000};

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

bool covers(std::string const& prefix, std::string_view path) {
  if (!path.starts_with(prefix)) {
    return false;
  }
  return prefix.back() == '/' || path.size() == prefix.size() || path[prefix.size()] == '/';
}

}

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

Target findTarget(Configuration const& configuration, std::string const& tenant, std::string_view path) {
  Target best;
  std::size_t bestLength = 0;
  for (Search const& search : configuration.searches) {
    if (search.tenant == tenant && covers(search.prefix, path) && search.prefix.size() > bestLength) {
      best = &search;
      bestLength = search.prefix.size();
    }
  }
  for (Route const& route : configuration.routes) {
    if (route.tenant == tenant && covers(route.prefix, path) && route.prefix.size() > bestLength) {
      best = &route;
      bestLength = route.prefix.size();
    }
  }
  return best;
}

Checked checkConfiguration(picojson::value const& document) {
  Checked out;
  Configuration configuration;
  Reader root(document, "", out.problems);
  if (!root.isObject()) {
    return out;
  }
  std::set<std::pair<std::string, std::string>> places;
  root.eachField("services", 1000, [&](std::string const& name, Reader& reader) {
    Service service;
    service.capacity = reader.number("capacity", service.capacity, 0.1, 1e6);
    service.slowStartMs = reader.durationMs("slow_start_ms", service.slowStartMs, std::chrono::milliseconds(0),
                                            std::chrono::minutes(60));
    configuration.services.emplace(name, service);
  });
  root.eachField("searches", 1000, [&](std::string const& name, Reader& reader) {
    Search search;
    search.name = name;
    search.tenant = reader.text("tenant", std::nullopt);
    search.prefix = reader.text("prefix", std::nullopt);
    checkPrefix(reader, search.prefix);
    if (!places.emplace(search.tenant, search.prefix).second) {
      reader.complain("prefix", "is taken by another entry of the tenant");
    }
    std::set<std::string> services;
    reader.eachItem("shards", 1, 64, [&](Reader& inner) {
      Shard shard{inner.text("service", std::nullopt), inner.text("cut", std::nullopt)};
      checkService(inner, configuration, shard.service);
      if (!services.insert(shard.service).second) {
        inner.complain("service", "'" + shard.service + "' is already a shard of this entry");
      }
      search.shards.push_back(std::move(shard));
    });
    search.result_size = reader.whole("result_size", std::nullopt, 1, 10'000);
    search.minimum_shards = reader.whole("minimum_shards", std::nullopt, 1, 64);
    if (search.minimum_shards > search.shards.size()) {
      reader.complain("minimum_shards", "is above the number of shards");
    }
    search.max_attempts = reader.whole("max_attempts", search.max_attempts, 1, 8);
    search.deadlineMs = reader.durationMs("deadline_ms", search.deadlineMs, leastDeadlineMs, mostDeadlineMs);
    configuration.searches.push_back(std::move(search));
  });
  root.eachField("routes", 1000, [&](std::string const& name, Reader& reader) {
    Route route;
    route.name = name;
    route.tenant = reader.text("tenant", std::nullopt);
    route.prefix = reader.text("prefix", std::nullopt);
    checkPrefix(reader, route.prefix);
    if (!places.emplace(route.tenant, route.prefix).second) {
      reader.complain("prefix", "is taken by another entry of the tenant");
    }
    route.service = reader.text("service", std::nullopt);
    checkService(reader, configuration, route.service);
    route.max_attempts = reader.whole("max_attempts", route.max_attempts, 1, 8);
    route.repeatable = reader.flag("repeatable", false);
    route.deadlineMs = reader.durationMs("deadline_ms", route.deadlineMs, leastDeadlineMs, mostDeadlineMs);
    configuration.routes.push_back(std::move(route));
  });
  std::set<std::string> owned;
  root.eachField("cells", 100, [&](std::string const& name, Reader& reader) {
    Cell cell{name, reader.names("tenants", 1000), reader.names("nodes", 1000)};
    for (std::string const& tenant : cell.tenants) {
      if (!owned.insert(tenant).second) {
        reader.complain("tenants", "'" + tenant + "' belongs to another cell");
      }
    }
    if (cell.nodes.empty()) {
      reader.complain("nodes", "must name at least one node");
    }
    configuration.cells.push_back(std::move(cell));
  });
  configuration.emptiedZones = root.names("emptied_zones", 100);
  root.rejectUnknown();
  if (out.problems.empty()) {
    out.configuration = std::move(configuration);
  }
  return out;
}

}
