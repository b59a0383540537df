#include "limeramp/config/configuration.h"
#include "limeramp/config/json.h"
#include "limeramp/net/http.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <condition_variable>
#include <functional>
#include <iostream>
#include <map>
#include <mutex>
#include <set>
#include <thread>

namespace {

using namespace limeramp;
using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

char const* const purpose = R"(limeramp-trace follows one change through all nodes of a fleet.

  limeramp-trace --nodes IP:PORT[,...] [--want VERSION] [--wait-ms N] [--every-ms N]

It asks the nodes given, finds the others through them, and prints for each node when the version was first seen
there: stored (in the node's state) and in force. Without --want it follows the newest version that any node knows at
the start; with --next, the first newer one. Times count from the first sight of the version. Exit: 0 everywhere in force, 1 some node lags or was not heard,
2 wrong usage.
)";

/// What the status pages of one node have shown so far.
struct NodeView {
  std::string node;
  std::string role;
  std::string zone;
  bool answered = false;
  bool replica = true;
  bool ready = false;
  std::string freshness;
  config::Version version;
  std::optional<Clock::time_point> stored;
  std::optional<Clock::time_point> inForce;
  bool pending = false;
};

/// The nodes that are watched and the version that is followed; `mutex` guards every field.
struct Watch {
  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, NodeView> nodes;
  std::optional<config::Version> want;
  bool next = false;
  bool baselineKnown = false;
  config::Version newest;
};

std::string textOf(picojson::value const& body, std::string const& key) {
  return body.contains(key) && body.get(key).is<std::string>() ? body.get(key).get<std::string>() : "";
}

/// Records a status page and adds the nodes that it names. The caller holds the mutex.
void readStatus(Watch& watch, std::string const& address, picojson::value const& body) {
  Clock::time_point const now = Clock::now();
  NodeView& node = watch.nodes[address];
  node.node = textOf(body, "node");
  node.role = textOf(body, "role");
  node.zone = textOf(body, "zone");
  node.freshness = textOf(body, "standing");
  node.answered = true;
  node.ready = body.contains("ready") && body.get("ready").evaluate_as_boolean();
  node.version = config::Version::parse(textOf(body, "version")).value_or(config::Version{});
  node.replica = node.role == "gateway" || (body.contains("replica") && body.get("replica").evaluate_as_boolean());
  if (!watch.baselineKnown) {
    watch.newest = std::max(watch.newest, node.version);
  } else if (watch.next && !watch.want && node.version > watch.newest) {
    watch.want = node.version;
  }
  if (watch.want && node.version >= *watch.want) {
    node.stored = node.stored.value_or(now);
    bool const serves = node.role != "gateway" || node.freshness == "current" || node.freshness == "upheld";
    if (serves) {
      node.inForce = node.inForce.value_or(now);
    }
  }
  for (char const* const list : {"peers", "nodes"}) {
    if (!body.contains(list) || !body.get(list).is<picojson::array>()) {
      continue;
    }
    for (picojson::value const& peer : body.get(list).get<picojson::array>()) {
      std::string const peerAddress = textOf(peer, "address");
      if (net::Address::parse(peerAddress) && watch.nodes.size() < 2000 && !watch.nodes.contains(peerAddress)) {
        NodeView discovered;
        discovered.node = textOf(peer, "node");
        discovered.role = textOf(peer, "role");
        discovered.zone = textOf(peer, "zone");
        watch.nodes.emplace(peerAddress, discovered);
      }
    }
  }
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("limeramp-trace", purpose);
  options.add_options()("nodes", "IP:PORT of one or more nodes", cxxopts::value<std::vector<std::string>>())(
      "want", "version to follow", cxxopts::value<std::string>())(
      "next", "follow the first version newer than those known at the start")(
      "wait-ms", "how long to watch", cxxopts::value<long>()->default_value("10000"))(
      "every-ms", "how often each node is asked", cxxopts::value<long>()->default_value("20"))(
      "version", "print the version")("help", "print this text");
  try {
    cxxopts::ParseResult const flags = options.parse(argc, argv);
    if (flags.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    if (flags.count("version") > 0) {
      std::cout << "limeramp-trace 0.1.0\n";
      return 0;
    }
    Watch watch;
    if (flags.count("nodes") > 0) {
      for (std::string const& text : flags["nodes"].as<std::vector<std::string>>()) {
        if (!net::Address::parse(text)) {
          std::cerr << "limeramp-trace: '" << text << "' must be an IP number and a port\n";
          return 2;
        }
        watch.nodes.emplace(text, NodeView{});
      }
    }
    long const waitMs = flags["wait-ms"].as<long>();
    long const everyMs = flags["every-ms"].as<long>();
    if (flags.count("want") > 0) {
      watch.want = config::Version::parse(flags["want"].as<std::string>());
    }
    if (watch.nodes.empty() || !flags.unmatched().empty() || waitMs < 1 || waitMs > 600'000 || everyMs < 5 ||
        (flags.count("want") > 0 && !watch.want)) {
      std::cerr << "limeramp-trace: --nodes is needed, --want is a version as in 3.14; see limeramp-trace --help\n";
      return 2;
    }
    watch.next = flags.count("next") > 0;
    net::Network network;
    net::HttpClient client(network, {4 << 20, 2, Ms(5000)});
    Clock::time_point const start = Clock::now();
    std::uint64_t requestId = 0;
    std::unique_lock<std::mutex> lock(watch.mutex);
    bool done = false;
    for (Clock::time_point round = start; !done && round < start + Ms(waitMs); round += Ms(everyMs)) {
      std::vector<std::string> due;
      for (std::pair<std::string const, NodeView>& entry : watch.nodes) {
        if (!entry.second.pending && !entry.second.inForce) {
          entry.second.pending = true;
          due.push_back(entry.first);
        }
      }
      for (std::string const& address : due) {
        net::Request request{"GET", "/limeramp/status", {}, "", ""};
        client.begin(++requestId, *net::Address::parse(address), request, Clock::now() + Ms(1000),
                     [&watch, address](net::Exchange const& exchange) {
                       std::unique_lock<std::mutex> const guard(watch.mutex);
                       watch.nodes[address].pending = false;
                       if (exchange.answer && exchange.answer->status == 200) {
                         absl::StatusOr<picojson::value> const body =
                             config::parseJson(exchange.answer->body, {4u << 20, 24, 400'000});
                         if (body.ok() && body->is<picojson::object>()) {
                           readStatus(watch, address, *body);
                         }
                       }
                     });
      }
      watch.changed.wait_until(lock, round + Ms(everyMs), [] { return false; });
      if (!watch.baselineKnown && Clock::now() - start > Ms(500)) {
        watch.baselineKnown = true;
        if (!watch.next && !watch.want) {
          watch.want = watch.newest;
        }
      }
      bool const inForceEverywhere =
          std::all_of(watch.nodes.begin(), watch.nodes.end(), [](std::pair<std::string const, NodeView> const& entry) {
            return entry.second.inForce.has_value() || (entry.second.answered && !entry.second.replica);
          });
      done = watch.want && inForceEverywhere && Clock::now() - start > Ms(1000);
    }
    lock.unlock();
    network.stop();
    if (!watch.want) {
      std::cout << "no newer version was seen\n";
      return 1;
    }
    std::optional<Clock::time_point> firstSeen;
    for (std::pair<std::string const, NodeView> const& entry : watch.nodes) {
      if (entry.second.stored && (!firstSeen || *entry.second.stored < *firstSeen)) {
        firstSeen = entry.second.stored;
      }
    }
    std::cout << "version " << watch.want->text() << ", times in ms after it was first seen, looked at every "
              << everyMs << " ms\n";
    std::printf("%-22s %-14s %-14s %-6s %8s %9s  %s\n", "address", "node", "role", "zone", "stored", "in force",
                "state");
    long maxDelayMs = 0;
    std::size_t lagging = 0;
    std::size_t unresponsive = 0;
    for (std::pair<std::string const, NodeView> const& entry : watch.nodes) {
      NodeView const& node = entry.second;
      std::function<std::string(std::optional<Clock::time_point> const&)> const delayText =
          [&](std::optional<Clock::time_point> const& moment) {
            return moment ? std::to_string(std::chrono::duration_cast<Ms>(*moment - *firstSeen).count())
                          : std::string("-");
          };
      bool const lags = node.answered && node.replica && !node.inForce;
      std::string const state = !node.answered  ? "not heard"
                                : !node.replica ? "keeps no copy"
                                : node.inForce  ? "in force"
                                                : "at " + node.version.text() + " " + node.freshness;
      unresponsive += node.answered ? 0 : 1;
      lagging += lags ? 1 : 0;
      if (node.inForce) {
        maxDelayMs = std::max<long>(maxDelayMs, std::chrono::duration_cast<Ms>(*node.inForce - *firstSeen).count());
      }
      std::printf("%-22s %-14s %-14s %-6s %8s %9s  %s\n", entry.first.c_str(), node.node.c_str(), node.role.c_str(),
                  node.zone.c_str(), delayText(node.stored).c_str(), delayText(node.inForce).c_str(), state.c_str());
    }
    std::printf("nodes %zu, lagging %zu, not heard %zu, last in force after %ld ms\n", watch.nodes.size(), lagging,
                unresponsive, maxDelayMs);
    return lagging + unresponsive == 0 ? 0 : 1;
  } catch (cxxopts::exceptions::exception const& error) {
    std::cerr << "limeramp-trace: " << error.what() << '\n';
    return 2;
  }
}
