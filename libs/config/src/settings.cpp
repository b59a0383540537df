#include "limeramp/config/settings.h"

#include "limeramp/config/reader.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace limeramp::config {
namespace {

bool isAddress(std::string const& text) {
  int dots = 0;
  std::size_t at = 0;
  for (; at < text.size() && text[at] != ':';) {
    int part = -1;
    std::from_chars_result const read = std::from_chars(text.data() + at, text.data() + text.size(), part);
    if (read.ec != std::errc() || part < 0 || part > 255) {
      return false;
    }
    at = static_cast<std::size_t>(read.ptr - text.data());
    if (at < text.size() && text[at] == '.') {
      ++dots;
      ++at;
    }
  }
  int port = -1;
  if (dots != 3 || at >= text.size()) {
    return false;
  }
  std::from_chars_result const read = std::from_chars(text.data() + at + 1, text.data() + text.size(), port);
  return read.ec == std::errc() && read.ptr == text.data() + text.size() && port >= 0 && port <= 65535;
}

}  // namespace

CheckedSettings checkSettings(picojson::value const& document, SettingsNeeds const& needs) {
  CheckedSettings out;
  Settings settings;
  Reader reader(document, "", out.problems);
  settings.node = reader.text("node", std::nullopt, 64);
  settings.listen = reader.text("listen", std::nullopt);
  settings.advertise = reader.text("advertise", settings.listen);
  settings.zone = reader.text("zone", std::nullopt, 64);
  settings.seeds = reader.texts("seeds", 3);
  settings.platform = reader.text("platform", needs.platform ? std::nullopt : std::optional<std::string>(""));
  settings.data = reader.text("data", needs.data ? std::nullopt : std::optional<std::string>(""), 1024);
  settings.logLevel = reader.text("log_level", settings.logLevel);
  settings.workerThreads = reader.integer("hands", settings.workerThreads, 1, 64);
  settings.maxConnections = reader.integer("max_connections", settings.maxConnections, 1, 50'000);
  settings.maxRequests = reader.integer("max_requests", settings.maxRequests, 1, 50'000);
  settings.rerun = reader.flag("rerun", settings.rerun);
  reader.rejectUnknown();
  for (std::pair<char const*, std::string const*> const& entry :
       {std::pair<char const*, std::string const*>("listen", &settings.listen),
        std::pair<char const*, std::string const*>("advertise", &settings.advertise),
        std::pair<char const*, std::string const*>("platform", &settings.platform)}) {
    if (!entry.second->empty() && !isAddress(*entry.second) &&
        (entry.second != &settings.advertise || settings.advertise != settings.listen)) {
      reader.complain(entry.first, "must be an IP number and a port, as in 10.0.0.1:7000");
    }
  }
  for (std::string const& seed : settings.seeds) {
    if (!isAddress(seed)) {
      reader.complain("seeds", "'" + seed + "' must be an IP number and a port");
    }
  }
  if (settings.seeds.empty()) {
    reader.complain("seeds", "must name one to three addresses");
  }
  static constexpr std::array<std::string_view, 4> levels{"debug", "info", "warning", "error"};
  if (std::find(levels.begin(), levels.end(), settings.logLevel) == levels.end()) {
    reader.complain("log_level", "must be debug, info, warning or error");
  }
  if (out.problems.empty()) {
    out.settings = std::move(settings);
  }
  return out;
}

}  // namespace limeramp::config
