#include "explorer/scenarios.h"
#include "explorer/search.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <iostream>

namespace {

using namespace limeramp::explorer;

double secondsSince(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

int report(Scenario const& scenario, Finding const& finding, bool shortens) {
  Finding const shortest = shortens ? shorten(scenario.start, finding) : finding;
  std::string stepLog;
  replay(scenario.start, shortest.trace, true, &stepLog);
  std::cout << scenario.name << ": BROKEN: " << shortest.violation << "\n"
            << stepLog << "replay: --scenario " << scenario.name << " --replay " << traceText(shortest.trace) << "\n";
  return 1;
}

int search(Scenario const& scenario, SearchBounds const& bounds) {
  std::chrono::steady_clock::time_point const start = std::chrono::steady_clock::now();
  SearchReport const found = searchAll(scenario.start, bounds);
  std::printf("%s: %zu states, %zu transitions, depth %zu, %zu recoveries, %.1f s, %s\n", scenario.name.c_str(),
              found.states, found.transitions, found.depth, found.recoveries, secondsSince(start),
              found.complete ? "complete" : "bounded");
  std::fflush(stdout);
  return found.finding ? report(scenario, *found.finding, false) : 0;
}

int walk(Scenario const& scenario, WalkBounds const& bounds) {
  std::chrono::steady_clock::time_point const start = std::chrono::steady_clock::now();
  WalkReport const found =
      walkRandomly(scenario.start, {bounds.firstSeed, bounds.walks, bounds.steps == 0 ? scenario.steps : bounds.steps});
  std::printf("%s: %zu walks, %zu steps, %zu epochs, %zu acknowledged, seeds %llu to %llu, %.1f s\n",
              scenario.name.c_str(), found.walks, found.steps, found.epochs, found.acknowledged,
              static_cast<unsigned long long>(bounds.firstSeed), static_cast<unsigned long long>(found.seed),
              secondsSince(start));
  std::fflush(stdout);
  return found.finding ? report(scenario, *found.finding, true) : 0;
}

int replayTrace(Scenario const& scenario, std::string const& text) {
  std::optional<Trace> const trace = parseTrace(text);
  if (!trace) {
    std::cerr << "not a trace: " << text << "\n";
    return 2;
  }
  std::string stepLog;
  std::string const violation = replay(scenario.start, *trace, true, &stepLog);
  std::cout << stepLog << (violation.empty() ? "no invariant is broken" : "BROKEN: " + violation) << "\n";
  return violation.empty() ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("state_explorer", "explores the real state machines of the control plane");
  options.add_options()("scenario", "only this one, by default all", cxxopts::value<std::string>()->default_value(""))(
      "walks", "random walks of each walk scenario", cxxopts::value<std::size_t>()->default_value("1000"))(
      "steps", "steps of a walk, 0 for what its scenario names", cxxopts::value<std::size_t>()->default_value("0"))(
      "seed", "seed of the first walk", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "states", "most states of a search", cxxopts::value<std::size_t>()->default_value("200000"))(
      "depth", "most steps from the start of a search", cxxopts::value<std::size_t>()->default_value("200"))(
      "recover-every", "one of so many states runs the recovery schedule",
      cxxopts::value<std::size_t>()->default_value("500"))(
      "replay", "a trace to run again", cxxopts::value<std::string>())("list", "names the scenarios")("help",
                                                                                                      "this text");
  cxxopts::ParseResult const chosen = options.parse(argc, argv);
  if (chosen.count("help") > 0) {
    std::cout << options.help();
    return 0;
  }
  std::string const only = chosen["scenario"].as<std::string>();
  SearchBounds const searchBounds{chosen["states"].as<std::size_t>(), chosen["depth"].as<std::size_t>(),
                                  chosen["recover-every"].as<std::size_t>()};
  WalkBounds const walkBounds{chosen["seed"].as<std::uint64_t>(), chosen["walks"].as<std::size_t>(),
                              chosen["steps"].as<std::size_t>()};
  std::vector<Scenario> const searches = searchScenarios();
  std::vector<Scenario> const walks = walkScenarios();
  int outcome = 0;
  bool known = only.empty();
  for (std::vector<Scenario> const* const scenarios : {&searches, &walks}) {
    for (Scenario const& scenario : *scenarios) {
      if (!only.empty() && scenario.name != only) {
        continue;
      }
      known = true;
      if (chosen.count("list") > 0) {
        std::cout << scenario.name << ": " << scenario.about << "\n";
      } else if (chosen.count("replay") > 0) {
        outcome = replayTrace(scenario, chosen["replay"].as<std::string>());
      } else {
        outcome =
            std::max(outcome, scenarios == &searches ? search(scenario, searchBounds) : walk(scenario, walkBounds));
      }
    }
  }
  if (!known) {
    std::cerr << "no scenario " << only << "\n";
    return 2;
  }
  return outcome;
}
