#include "limeramp/config/json.h"
#include "limeramp/net/http.h"
#include "stub_program.h"

#include <cxxopts.hpp>

#include <atomic>
#include <fstream>
#include <map>
#include <mutex>
#include <set>
#include <sstream>
#include <vector>

namespace {

using namespace limeramp;
using Clock = std::chrono::steady_clock;

/// Forwards requests except over blocked links; a request over such a link stays unanswered for at least 3 s.
struct FaultProxy {
  std::mutex mutex;
  std::set<std::pair<std::string, std::string>> blockedLinks;
  std::vector<std::pair<Clock::time_point, net::Responder>> droppedRequests;
  std::atomic<std::uint64_t> lastExchange{0};
  std::atomic<std::uint64_t> forwarded{0};

  void failExpired() {
    std::erase_if(droppedRequests, [](std::pair<Clock::time_point, net::Responder> const& entry) {
      bool const old = Clock::now() - entry.first > std::chrono::seconds(3);
      if (old) {
        entry.second({503, {}, ""});
      }
      return old;
    });
  }

  net::Answer replaceBlockedLinks(std::string const& body) {
    absl::StatusOr<picojson::value> const parsed = config::parseJson(body, {4u << 20, 5, 100'000});
    if (!parsed.ok() || !parsed->is<picojson::array>()) {
      return {400, {}, "an array of [from, to] is needed\n"};
    }
    std::set<std::pair<std::string, std::string>> next;
    for (picojson::value const& pair : parsed->get<picojson::array>()) {
      if (!pair.is<picojson::array>() || pair.get<picojson::array>().size() != 2) {
        return {400, {}, "an array of [from, to] is needed\n"};
      }
      next.emplace(pair.get(0).to_str(), pair.get(1).to_str());
    }
    std::unique_lock<std::mutex> const lock(mutex);
    blockedLinks = std::move(next);
    return {200,
            {},
            "{\"cuts\":" + std::to_string(blockedLinks.size()) + ",\"passed\":" + std::to_string(forwarded) + "}\n"};
  }

  void relay(net::HttpClient& client, std::string const& listenAddress, net::Address const& upstream,
             net::Request request, net::Responder respond) {
    std::string const from = net::findHeader(request.headers, "limeramp-from").value_or("");
    {
      std::unique_lock<std::mutex> const lock(mutex);
      failExpired();
      if (blockedLinks.contains({from, listenAddress})) {
        droppedRequests.emplace_back(Clock::now(), std::move(respond));
        return;
      }
    }
    ++forwarded;
    client.begin(++lastExchange, upstream, std::move(request), Clock::now() + std::chrono::seconds(15),
                 [respond = std::move(respond)](net::Exchange const& exchange) {
                   respond(exchange.answer.value_or(net::Answer{502, {}, ""}));
                 });
  }
};

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("fault_proxy", "simulates the network between nodes: forwards their messages or drops them");
  options.add_options()("listen", "address for control", cxxopts::value<std::string>())(
      "map", "JSON file: an object that maps each address to listen on to its upstream address",
      cxxopts::value<std::string>())("help", "this text");
  try {
    cxxopts::ParseResult const flags = options.parse(argc, argv);
    if (flags.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    std::ifstream file(flags["map"].as<std::string>());
    std::stringstream text;
    text << file.rdbuf();
    absl::StatusOr<picojson::value> const map = config::parseJson(text.str());
    if (!map.ok() || !map->is<picojson::object>()) {
      std::cerr << "fault_proxy: --map must be an object of addresses\n";
      return 2;
    }
    FaultProxy proxy;
    net::Network network;
    net::HttpClient client(network, {8 << 20, 16, std::chrono::seconds(2)});
    std::vector<std::unique_ptr<net::HttpServer>> servers;
    net::ServerBounds bounds;
    bounds.maxBodyBytes = 8 << 20;
    for (std::pair<std::string const, picojson::value> const& entry : map->get<picojson::object>()) {
      std::optional<net::Address> const listenAddress = net::Address::parse(entry.first);
      std::optional<net::Address> const upstream = net::Address::parse(entry.second.to_str());
      if (!listenAddress || !upstream || !listenAddress->host.starts_with("127.") ||
          !upstream->host.starts_with("127.")) {
        std::cerr << "fault_proxy: " << entry.first << " is not a pair of loopback addresses\n";
        return 2;
      }
      std::string error;
      servers.push_back(net::HttpServer::listen(
          network, *listenAddress, bounds,
          [&proxy, &client, name = entry.first, upstream](net::Request request, net::Responder respond) {
            proxy.relay(client, name, *upstream, std::move(request), std::move(respond));
          },
          error));
      if (servers.back() == nullptr) {
        std::cerr << "fault_proxy: " << error << '\n';
        return 1;
      }
    }
    return test_support::serveUntilSignal(
        "fault_proxy", flags["listen"].as<std::string>(),
        [&proxy](net::Request request, net::Responder respond) { respond(proxy.replaceBlockedLinks(request.body)); });
  } catch (cxxopts::exceptions::exception const& error) {
    std::cerr << "fault_proxy: " << error.what() << '\n';
    return 2;
  }
}
