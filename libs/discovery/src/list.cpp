#include "limeramp/discovery/list.h"

#include "limeramp/config/reader.h"
#include "limeramp/net/http.h"

#include <set>

namespace limeramp::discovery {
namespace {

constexpr std::size_t maxTokenBytes = 1024;

}

absl::StatusOr<List> readList(std::string_view body) {
  absl::StatusOr<picojson::value> parsed = config::parseJson(body, {4u << 20, 6, 200'000});
  if (!parsed.ok()) {
    return parsed.status();
  }
  if (!parsed->is<picojson::object>() || !parsed->get<picojson::object>().contains("servers") ||
      !parsed->get("servers").is<picojson::array>()) {
    return absl::InvalidArgumentError("the list has no array 'servers'");
  }
  List out;
  if (parsed->get<picojson::object>().contains("next_page") && parsed->get("next_page").is<std::string>()) {
    out.nextPage = parsed->get("next_page").get<std::string>();
    if (out.nextPage.size() > maxTokenBytes) {
      return absl::InvalidArgumentError("the list's next_page is too long");
    }
  }
  std::set<std::pair<std::string, std::string>> seenEndpoints;
  std::size_t index = 0;
  for (picojson::value const& item : parsed->get("servers").get<picojson::array>()) {
    std::vector<config::Problem> problems;
    config::Reader reader(item, "/servers/" + std::to_string(index++), problems);
    dispatch::ServerEndpoint row;
    row.address = reader.text("address", std::nullopt);
    std::string const service = reader.text("service", std::nullopt);
    row.zone = reader.text("zone", std::nullopt);
    row.capacity = reader.number("capacity", std::nullopt, 0.1, 1e6);
    row.draining = reader.flag("leaving", false);
    row.slowStartMs = reader.durationMs("slow_start_ms", std::chrono::milliseconds(0), std::chrono::milliseconds(0),
                                        std::chrono::minutes(60));
    row.incarnation = reader.text("life", "");
    row.warmupMs = reader.durationMs("cold_ms", std::chrono::milliseconds(0), std::chrono::milliseconds(0),
                                     std::chrono::minutes(60));
    if (problems.empty() && !net::Address::parse(row.address)) {
      reader.complain("address", "must be an IP number and a port");
    }
    if (problems.empty() && !seenEndpoints.emplace(service, row.address).second) {
      reader.complain("address", "stands twice in the service");
    }
    if (!problems.empty()) {
      out.dropped.push_back(problems.front().path + ": " + problems.front().reason);
      continue;
    }
    out.services[service].push_back(std::move(row));
    ++out.rows;
  }
  return out;
}

}  // namespace limeramp::discovery
