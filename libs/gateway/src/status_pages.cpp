// The status pages of this node: readiness, status and metrics, and the tables that operators' queries run on.
#include "gateway_server_impl.h"

#include "limeramp/control/operator_api.h"

namespace limeramp::gateway {
namespace {

/// How long after its start a node stays not ready while the servers of a service are unknown.
constexpr Ms serverDiscoveryGraceMs{5'000};

std::string json(std::string const& text) { return picojson::value(text).serialize(); }

char const* json(bool flag) { return flag ? "true" : "false"; }

std::string peerJson(messages::Peer const& peer) {
  return "{\"node\":" + json(peer.node) + ",\"address\":" + json(peer.address) + ",\"zone\":" + json(peer.zone) +
         ",\"role\":" + json(peer.role) + ",\"age_ms\":" + std::to_string(peer.ageMs) + "}";
}

std::string serverJson(dispatch::ServerStatus const& server) {
  char numbers[96];
  std::snprintf(numbers, sizeof numbers, ",\"latency_ms\":%.2f,\"load\":%.3f,\"in_flight\":%zu", server.latencyMs,
                server.load, server.inFlight);
  return "{\"service\":" + json(server.service) + ",\"address\":" + json(server.address) +
         ",\"zone\":" + json(server.zone) + ",\"down\":" + json(server.ejected) +
         ",\"leaving\":" + json(server.draining) + ",\"fresh\":" + json(server.warmingUp) + numbers + "}";
}

template <typename Element>
std::string joinJson(std::vector<Element> const& elements, std::string (*write)(Element const&)) {
  std::string out;
  for (Element const& element : elements) {
    out += (out.empty() ? "" : ",") + write(element);
  }
  return out;
}

std::int64_t integerOf(bool flag) { return static_cast<std::int64_t>(flag); }

query::Table nodesTable(messages::State const& state, std::vector<messages::Peer> const& peers,
                        std::string const& self) {
  query::Table table{"nodes", {"node", "address", "zone", "slot", "heard_ms"}, {}};
  for (messages::RosterEntry const& entry : state.roster) {
    std::int64_t sinceHeardMs = entry.node == self ? 0 : -1;
    for (messages::Peer const& peer : peers) {
      sinceHeardMs = peer.node == entry.node ? static_cast<std::int64_t>(peer.ageMs) : sinceHeardMs;
    }
    table.rows.push_back({entry.node, entry.address, entry.zone, static_cast<std::int64_t>(entry.slot), sinceHeardMs});
  }
  return table;
}

query::Table controllersTable(std::vector<messages::Peer> const& peers) {
  query::Table table{"controllers", {"id", "address", "zone", "heard_ms"}, {}};
  for (messages::Peer const& peer : peers) {
    if (peer.role == messages::controllerRole) {
      table.rows.push_back({peer.node, peer.address, peer.zone, static_cast<std::int64_t>(peer.ageMs)});
    }
  }
  return table;
}

query::Table serversTable(std::vector<dispatch::ServerStatus> const& servers) {
  query::Table table{
      "servers", {"service", "address", "zone", "in_flight", "latency_ms", "down", "leaving", "fresh", "load"}, {}};
  for (dispatch::ServerStatus const& server : servers) {
    table.rows.push_back({server.service, server.address, server.zone, static_cast<std::int64_t>(server.inFlight),
                          server.latencyMs, integerOf(server.ejected), integerOf(server.draining),
                          integerOf(server.warmingUp), server.load});
  }
  return table;
}

query::Table entriesTable(config::Configuration const& configuration) {
  query::Table table{"entries", {"name", "kind", "tenant", "prefix", "deadline_ms", "max_attempts"}, {}};
  for (config::Search const& search : configuration.searches) {
    table.rows.push_back({search.name, std::string("search"), search.tenant, search.prefix, search.deadlineMs.count(),
                          static_cast<std::int64_t>(search.maxAttempts)});
  }
  for (config::Route const& route : configuration.routes) {
    table.rows.push_back({route.name, std::string("route"), route.tenant, route.prefix, route.deadlineMs.count(),
                          static_cast<std::int64_t>(route.maxAttempts)});
  }
  return table;
}

query::Table shardsTable(config::Configuration const& configuration) {
  query::Table table{"shards", {"search", "service", "cut"}, {}};
  for (config::Search const& search : configuration.searches) {
    for (config::Shard const& shard : search.shards) {
      table.rows.push_back({search.name, shard.service, shard.partition});
    }
  }
  return table;
}

}  // namespace

std::string nameOf(distribution::ConfigFreshness freshness) {
  switch (freshness) {
    case distribution::ConfigFreshness::noConfiguration:
      return "unknown";
    case distribution::ConfigFreshness::notMember:
      return "unlisted";
    case distribution::ConfigFreshness::stale:
      return "stale";
    case distribution::ConfigFreshness::confirmedByPrimary:
      return "current";
    case distribution::ConfigFreshness::confirmedByMajority:
      return "upheld";
  }
  return "unknown";
}

std::string GatewayServer::Impl::notReadyReason(Clock::time_point now) const {
  distribution::DeliveryStatus const status = delivery.status(now);
  if (draining) {
    return "draining";
  }
  if (!distribution::mayServe(status.freshness)) {
    return "configuration " + nameOf(status.freshness);
  }
  if (documentUnreadable) {
    return "configuration unreadable";
  }
  if (requestManager.snapshot() == nullptr) {
    return "no configuration yet";
  }
  if (requestManager.snapshot()->configuration.evacuatedZones.contains(settings.zone)) {
    return "zone evacuated";
  }
  for (std::string const& service : services) {
    if (!directory.ageMs(now, service) && now - startedAt < serverDiscoveryGraceMs) {
      return "servers of " + service + " unknown";
    }
  }
  return "";
}

net::Answer GatewayServer::Impl::readinessPage() const {
  std::string const reason = notReadyReason(Clock::now());
  return control::plain(reason.empty() ? 200 : 503, std::string("{\"ready\":") + (reason.empty() ? "true" : "false") +
                                                        ",\"reason\":" + json(reason) +
                                                        ",\"node\":" + json(settings.node) + "}");
}

net::Answer GatewayServer::Impl::currentConfiguration() const {
  distribution::ConfigFreshness const freshness = delivery.status(Clock::now()).freshness;
  if (!distribution::mayServe(freshness)) {
    return control::plain(503, "{\"reason\":\"configuration " + nameOf(freshness) + "\"}");
  }
  config::SnapshotPtr const snapshot = requestManager.snapshot();
  net::Answer answer = control::plain(200, snapshot == nullptr ? "{}" : snapshot->text);
  answer.headers.emplace_back("limeramp-version", (snapshot == nullptr ? config::Version{} : snapshot->version).text());
  return answer;
}

net::Answer GatewayServer::Impl::statusPage() const {
  Clock::time_point const now = Clock::now();
  distribution::DeliveryStatus const status = delivery.status(now);
  std::string const reason = notReadyReason(now);
  messages::State const state = delivery.state().value_or(messages::State{});
  std::string body =
      "{\"node\":" + json(settings.node) + ",\"role\":\"gateway\",\"zone\":" + json(settings.zone) +
      ",\"fleet\":" + json(fleet) + ",\"ready\":" + (reason.empty() ? "true" : "false") +
      ",\"reason\":" + json(reason) + ",\"standing\":" + json(nameOf(status.freshness)) +
      ",\"age_ms\":" + (status.ageMs == Ms::max() ? "null" : std::to_string(status.ageMs.count())) +
      ",\"state\":" + json(config::Version{state.epoch, state.sequence}.text()) +
      ",\"versions_behind\":" + std::to_string(status.versionsBehind) + ",\"version\":" +
      json((requestManager.snapshot() == nullptr ? config::Version{} : requestManager.snapshot()->version).text()) +
      ",\"primary_address\":" + json(delivery.primaryAddress()) + ",\"roster\":" + std::to_string(state.roster.size()) +
      ",\"requests\":" + std::to_string(requestManager.requests()) + ",\"peers\":[";
  body +=
      joinJson(peerViews.peers(now), peerJson) + "],\"servers\":[" + joinJson(requestManager.servers(now), serverJson);
  return control::plain(200, body + "]}");
}

net::Answer GatewayServer::Impl::metricsPage() const {
  dispatch::Counters const counters = requestManager.counters();
  std::string body;
  for (std::pair<char const*, std::uint64_t> const& entry :
       {std::pair<char const*, std::uint64_t>("arrivals_total", counters.arrivals),
        std::pair<char const*, std::uint64_t>("attempts_total", counters.attempts),
        std::pair<char const*, std::uint64_t>("extra_attempts_total", counters.hedgedAttempts),
        std::pair<char const*, std::uint64_t>("retries_total", counters.retries),
        std::pair<char const*, std::uint64_t>("lost_races_total", counters.supersededAttempts),
        std::pair<char const*, std::uint64_t>("missing_shards_total", counters.missingShards),
        std::pair<char const*, std::uint64_t>("refused_total", counters.rejected + refusedStale),
        std::pair<char const*, std::uint64_t>("budget_spent_total", counters.retryBudgetExhausted)}) {
    body += std::string("# TYPE limeramp_") + entry.first + " counter\nlimeramp_" + entry.first + " " +
            std::to_string(entry.second) + "\n";
  }
  body += "# TYPE limeramp_requests gauge\nlimeramp_requests " + std::to_string(requestManager.requests()) + "\n";
  body += std::string("# TYPE limeramp_ready gauge\nlimeramp_ready ") +
          (notReadyReason(Clock::now()).empty() ? "1" : "0") + "\n";
  return {200, {{"content-type", "text/plain; version=0.0.4"}}, body};
}

std::vector<query::Table> GatewayServer::Impl::tables() const {
  Clock::time_point const now = Clock::now();
  std::vector<messages::Peer> const peers = peerViews.peers(now);
  config::SnapshotPtr const snapshot = requestManager.snapshot();
  config::Configuration const configuration = snapshot == nullptr ? config::Configuration{} : snapshot->configuration;
  return {nodesTable(delivery.state().value_or(messages::State{}), peers, settings.node), controllersTable(peers),
          serversTable(requestManager.servers(now)), entriesTable(configuration), shardsTable(configuration)};
}

}  // namespace limeramp::gateway
