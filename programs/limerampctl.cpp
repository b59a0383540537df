#include "limeramp/config/configuration.h"
#include "limeramp/config/json.h"
#include "limeramp/net/http.h"

#include <cxxopts.hpp>

#include <fstream>
#include <future>
#include <iostream>
#include <random>
#include <sstream>

namespace {

using namespace limeramp;
using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

enum Exit { done = 0, problem = 1, usage = 2, refused = 3, conflict = 4, notRun = 5, unknown = 6, notReady = 7 };

char const* const purpose = R"(limerampctl talks to any node of a limeramp fleet.

  limerampctl [flags] show                  the configuration in force, its version on stderr
  limerampctl [flags] put FILE              send a whole configuration
  limerampctl [flags] patch FILE            send a merge patch on --base VERSION
  limerampctl [flags] status                the node's own view
  limerampctl [flags] ready                 exit 0 if the node is ready, 7 if not
  limerampctl [flags] drain                 ask the node to finish and take nothing new
  limerampctl [flags] --yes forget NODE...  nodes that are gone for good and cannot prove it leave the roster at once
  limerampctl [flags] --yes force-new-group IP:PORT begin a new control group at this controller, from the newest
                                       configuration that any of --nodes holds

FILE may be - for standard input. Exit: 0 taken or answered, 1 no answer, 2 wrong usage, 3 refused,
4 the version is no longer current, 5 not carried out, 6 not known (ask again with the same --change).
)";

char const* const removeNodesWarning =
    "limerampctl: these nodes are then counted as dead. If one of them lives on, cut off from here together with "
    "others,\n"
    "limerampctl: it may serve callers under an old configuration for as long as the cut lasts. Say --yes if they are "
    "gone.\n";

char const* const forceNewGroupWarning =
    "limerampctl: only when most of the control group's disks are gone for good. Changes that none of --nodes has are "
    "lost,\n"
    "limerampctl: what is left of the old group is overruled when it returns. Do it at one controller only, once, and\n"
    "limerampctl: name all nodes you can reach. Say --yes if that is wanted.\n";

std::string json(std::string const& text) { return picojson::value(text).serialize(); }

struct Outcome {
  net::Exchange exchange;
  std::string node;
};

/// Asks the nodes in turn until one answers or may have carried out the request.
Outcome ask(std::vector<net::Address> const& nodes, net::Request const& request, Ms waitMs);

/// The gateway among the nodes that holds the newest configuration, if any does.
std::optional<std::string> findNewestHolder(std::vector<net::Address> const& nodes) {
  std::optional<std::string> newestHolder;
  config::Version newest;
  for (net::Address const& node : nodes) {
    Outcome const outcome = ask({node}, {"GET", "/limeramp/status", {}, "", ""}, Ms(2000));
    absl::StatusOr<picojson::value> const body =
        outcome.exchange.answer ? config::parseJson(outcome.exchange.answer->body, {4u << 20, 24, 400'000})
                                : absl::UnavailableError("no answer");
    bool const isGateway = body.ok() && body->is<picojson::object>() && body->get("role").to_str() == "gateway";
    std::optional<config::Version> const state =
        isGateway ? config::Version::parse(body->get("state").to_str()) : std::nullopt;
    std::cerr << "limerampctl: " << node.text() << (state ? " holds " + state->text() : " gives no state") << '\n';
    if (state && *state > newest) {
      newest = *state;
      newestHolder = node.text();
    }
  }
  return newestHolder;
}

Outcome ask(std::vector<net::Address> const& nodes, net::Request const& request, Ms waitMs) {
  net::Network network;
  net::HttpClient client(network, {});
  Outcome outcome;
  std::uint64_t requestId = 0;
  for (net::Address const& node : nodes) {
    std::promise<net::Exchange> promise;
    std::future<net::Exchange> future = promise.get_future();
    client.begin(++requestId, node, request, Clock::now() + waitMs,
                 [&promise](net::Exchange exchange) { promise.set_value(std::move(exchange)); });
    outcome = {future.get(), node.text()};
    if (outcome.exchange.answer || outcome.exchange.verdict != retry::Verdict::notRun) {
      break;
    }
  }
  network.stop();
  return outcome;
}

bool readFile(std::string const& path, std::string& text) {
  std::stringstream all;
  if (path == "-") {
    all << std::cin.rdbuf();
  } else {
    std::ifstream file(path);
    if (!file) {
      return false;
    }
    all << file.rdbuf();
  }
  text = all.str();
  return true;
}

/// Prints the outcome and returns the exit code.
int report(Outcome const& outcome, std::string const& verb, std::string const& change) {
  if (!outcome.exchange.answer) {
    bool const knownNotRun = outcome.exchange.verdict == retry::Verdict::notRun;
    std::cerr << "limerampctl: " << outcome.node << ": " << outcome.exchange.reason << '\n';
    if (verb == "put" || verb == "patch" || verb == "forget") {
      std::cerr << "limerampctl: change " << change
                << (knownNotRun ? " was not carried out" : " may have been taken; ask again with --change") << '\n';
      return knownNotRun ? Exit::notRun : Exit::unknown;
    }
    return Exit::problem;
  }
  net::Answer const& answer = *outcome.exchange.answer;
  std::cout << answer.body;
  if (verb == "show") {
    std::cerr << "version " << net::findHeader(answer.headers, "limeramp-version").value_or("unknown") << '\n';
  }
  switch (answer.status) {
    case 200:
      return Exit::done;
    case 400:
    case 413:
      return Exit::refused;
    case 409:
      return Exit::conflict;
    case 503:
      return verb == "ready" ? Exit::notReady : Exit::notRun;
    case 504:
      return Exit::unknown;
    default:
      return Exit::problem;
  }
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("limerampctl", purpose);
  options.add_options()("nodes", "IP:PORT of one or more nodes, tried in turn",
                        cxxopts::value<std::vector<std::string>>())(
      "base", "version that a patch, or a whole configuration, replaces", cxxopts::value<std::string>())(
      "change", "id of the change; the same id never takes effect twice", cxxopts::value<std::string>())(
      "wait-ms", "how long to wait", cxxopts::value<long>()->default_value("10000"))(
      "yes", "the consequence was read and is wanted")("verb", "", cxxopts::value<std::string>())(
      "rest", "", cxxopts::value<std::vector<std::string>>())("version", "print the version")("help",
                                                                                              "print this text");
  options.parse_positional({"verb", "rest"});
  options.positional_help("VERB [FILE | NODE...]");
  try {
    cxxopts::ParseResult const flags = options.parse(argc, argv);
    if (flags.count("help") > 0) {
      std::cout << options.help();
      return Exit::done;
    }
    if (flags.count("version") > 0) {
      std::cout << "limerampctl 0.1.0\n";
      return Exit::done;
    }
    std::vector<net::Address> nodes;
    if (flags.count("nodes") > 0) {
      for (std::string const& text : flags["nodes"].as<std::vector<std::string>>()) {
        std::optional<net::Address> const address = net::Address::parse(text);
        if (!address) {
          std::cerr << "limerampctl: '" << text << "' must be an IP number and a port\n";
          return Exit::usage;
        }
        nodes.push_back(*address);
      }
    }
    std::string const verb = flags.count("verb") > 0 ? flags["verb"].as<std::string>() : "";
    long const waitMs = flags["wait-ms"].as<long>();
    std::vector<std::string> const arguments =
        flags.count("rest") > 0 ? flags["rest"].as<std::vector<std::string>>() : std::vector<std::string>{};
    bool const sendsDocument = verb == "put" || verb == "patch";
    bool const carriesChangeId = sendsDocument || verb == "forget";
    bool const forcesNewGroup = verb == "force-new-group";
    bool const argumentsFit = forcesNewGroup     ? arguments.size() == 1 && net::Address::parse(arguments.front())
                              : verb == "forget" ? !arguments.empty()
                                                 : arguments.size() == (sendsDocument ? 1u : 0u);
    if (nodes.empty() || !flags.unmatched().empty() || waitMs <= 0 || waitMs > 60'000 || !argumentsFit ||
        (verb == "patch" && flags.count("base") == 0)) {
      std::cerr << "limerampctl: " << (nodes.empty() ? "--nodes is needed" : "wrong usage")
                << "; see limerampctl --help\n";
      return Exit::usage;
    }
    net::Request request;
    std::string change;
    if ((verb == "forget" || forcesNewGroup) && flags.count("yes") == 0) {
      std::cerr << (forcesNewGroup ? forceNewGroupWarning : removeNodesWarning);
      return Exit::usage;
    }
    if (forcesNewGroup) {
      std::optional<std::string> const from = findNewestHolder(nodes);
      if (!from) {
        std::cerr << "limerampctl: none of the nodes holds a configuration\n";
        return Exit::notRun;
      }
      request = {"POST",
                 "/limeramp/force-new-group",
                 {{"content-type", "application/json"}},
                 "{\"from\":" + json(*from) + "}",
                 ""};
      return report(ask({*net::Address::parse(arguments.front())}, request, Ms(8000)), verb, "");
    }
    if (sendsDocument && !readFile(arguments.front(), request.body)) {
      std::cerr << "limerampctl: " << arguments.front() << " cannot be read\n";
      return Exit::usage;
    }
    for (std::string const& node : verb == "forget" ? arguments : std::vector<std::string>{}) {
      request.body += (request.body.empty() ? "{\"nodes\":[" : ",") + json(node);
    }
    request.body += verb == "forget" ? "]}" : "";
    if (carriesChangeId) {
      std::random_device source;
      char generated[24];
      std::snprintf(generated, sizeof generated, "%08x%08x", source(), source());
      change = flags.count("change") > 0 ? flags["change"].as<std::string>() : generated;
      request.method = verb == "put" ? "PUT" : verb == "patch" ? "PATCH" : "POST";
      request.target = verb == "forget" ? "/limeramp/forget" : "/limeramp/configuration";
      request.headers = {{"content-type", "application/json"},
                         {"limeramp-change", change},
                         {"limeramp-deadline-ms", std::to_string(waitMs)}};
      if (flags.count("base") > 0) {
        request.headers.emplace_back("limeramp-base", flags["base"].as<std::string>());
      }
    } else if (verb == "show") {
      request.method = "GET";
      request.target = "/limeramp/configuration";
    } else if (verb == "status" || verb == "ready") {
      request.method = "GET";
      request.target = "/limeramp/" + verb;
    } else if (verb == "drain") {
      request.method = "POST";
      request.target = "/limeramp/drain";
    } else {
      std::cerr << "limerampctl: '" << verb << "' is not a verb; see limerampctl --help\n";
      return Exit::usage;
    }
    return report(ask(nodes, request, Ms(waitMs + (carriesChangeId ? 1000 : 0))), verb, change);
  } catch (cxxopts::exceptions::exception const& error) {
    std::cerr << "limerampctl: " << error.what() << '\n';
    return Exit::usage;
  }
}
