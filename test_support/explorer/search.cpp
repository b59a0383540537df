#include "explorer/search.h"

#include <algorithm>
#include <random>
#include <unordered_set>

namespace limeramp::explorer {
namespace {

/// After the last fault a leader must have acknowledged a new change within this time.
constexpr Ms recoveryBoundMs{20'000};

struct Visited {
  std::uint32_t parent = 0;
  Action action;
};

struct Unexpanded {
  World world;
  std::uint32_t visited = 0;
};

Trace traceTo(std::vector<Visited> const& visited, std::uint32_t index) {
  Trace out;
  for (; index != 0; index = visited[index].parent) {
    out.push_back(visited[index].action);
  }
  std::reverse(out.begin(), out.end());
  return out;
}

/// The relative weight of a kind of step in a random walk. Deliveries and syncs must be more frequent than ticks;
/// otherwise every walk consists of time-outs only.
unsigned weightOf(ActionKind kind) {
  switch (kind) {
    case ActionKind::deliver:
      return 600;
    case ActionKind::sync:
      return 250;
    case ActionKind::tick:
      return 150;
    case ActionKind::offer:
      return 60;
    case ActionKind::read:
      return 30;
    case ActionKind::restart:
      return 40;
    case ActionKind::heal:
    case ActionKind::drop:
      return 20;
    default:
      return 8;
  }
}

/// Draws a kind by weight and then one of its steps uniformly.
Action draw(std::vector<Action> const& actions, std::mt19937_64& random) {
  std::vector<ActionKind> kinds;
  std::uint64_t total = 0;
  for (Action const& action : actions) {
    if (std::find(kinds.begin(), kinds.end(), action.kind) == kinds.end()) {
      kinds.push_back(action.kind);
      total += weightOf(action.kind);
    }
  }
  std::uint64_t roll = random() % total;
  std::vector<ActionKind>::const_iterator kind = kinds.begin();
  while (roll >= weightOf(*kind)) {
    roll -= weightOf(*kind++);
  }
  std::vector<Action> chosen;
  std::copy_if(actions.begin(), actions.end(), std::back_inserter(chosen),
               [&](Action const& action) { return action.kind == *kind; });
  return chosen[random() % chosen.size()];
}

}  // namespace

SearchReport searchAll(World const& start, SearchBounds const& bounds) {
  SearchReport report;
  MemberPool pool;
  std::unordered_set<std::uint64_t> seen;
  std::vector<Visited> visited{{}};
  std::vector<Unexpanded> level{{start, 0}};
  seen.insert(level.front().world.digest(&pool));
  bool withinBounds = true;
  if (!start.violation().empty()) {
    report.states = 1;
    report.finding = Finding{start.violation(), {}};
    return report;
  }
  while (!level.empty() && report.depth < bounds.maxDepth) {
    ++report.depth;
    std::vector<Unexpanded> next;
    for (Unexpanded const& from : level) {
      for (Action const& action : from.world.actions()) {
        World world = from.world;
        world.apply(action);
        ++report.transitions;
        bool const broken = !world.violation().empty();
        if (!broken && !seen.insert(world.digest(&pool)).second) {
          continue;
        }
        visited.push_back({from.visited, action});
        std::uint32_t const index = static_cast<std::uint32_t>(visited.size() - 1);
        std::string violation = world.violation();
        if (!broken && bounds.recoverEvery != 0 && visited.size() % bounds.recoverEvery == 0) {
          World recovered = world;
          violation = recovered.recover(recoveryBoundMs);
          violation = recovered.violation().empty() ? violation : recovered.violation();
          ++report.recoveries;
        }
        if (!violation.empty()) {
          report.states = visited.size();
          report.finding = Finding{violation, traceTo(visited, index)};
          return report;
        }
        if (visited.size() < bounds.maxStates) {
          next.push_back({std::move(world), index});
        } else {
          withinBounds = false;
        }
      }
      if (!withinBounds) {
        report.states = visited.size();
        return report;
      }
    }
    level = std::move(next);
  }
  report.states = visited.size();
  report.complete = level.empty();
  return report;
}

WalkReport walkRandomly(World const& start, WalkBounds const& bounds) {
  WalkReport report;
  for (std::uint64_t seed = bounds.firstSeed; seed < bounds.firstSeed + bounds.walks; ++seed) {
    std::mt19937_64 random(seed);
    World world = start;
    Trace trace;
    ++report.walks;
    report.seed = seed;
    for (std::size_t step = 0; step < bounds.steps && world.violation().empty(); ++step) {
      std::vector<Action> const actions = world.actions();
      if (actions.empty()) {
        break;
      }
      trace.push_back(draw(actions, random));
      world.apply(trace.back());
      ++report.steps;
    }
    std::string violation = world.violation();
    if (violation.empty()) {
      violation = world.recover(recoveryBoundMs);
      violation = world.violation().empty() ? violation : world.violation();
    }
    report.acknowledged += world.acknowledgedChanges();
    report.epochs += world.epochs();
    if (!violation.empty()) {
      report.finding = Finding{violation, trace};
      return report;
    }
  }
  return report;
}

std::string replay(World world, Trace const& trace, bool thenRecover, std::string* stepLog) {
  for (Action const& action : trace) {
    if (!world.enabled(action)) {
      continue;
    }
    if (stepLog != nullptr) {
      *stepLog += world.describe(action) + "\n";
    }
    world.apply(action);
    if (!world.violation().empty()) {
      return world.violation();
    }
  }
  if (!thenRecover) {
    return "";
  }
  std::string const missing = world.recover(recoveryBoundMs);
  return world.violation().empty() ? missing : world.violation();
}

Finding shorten(World const& start, Finding const& finding) {
  Finding shortest = finding;
  for (std::size_t chunk = std::max<std::size_t>(1, shortest.trace.size() / 2); chunk > 0; chunk /= 2) {
    for (std::size_t at = 0; at < shortest.trace.size();) {
      Trace candidate = shortest.trace;
      std::size_t const end = std::min(at + chunk, candidate.size());
      candidate.erase(candidate.begin() + static_cast<std::ptrdiff_t>(at),
                      candidate.begin() + static_cast<std::ptrdiff_t>(end));
      std::string const violation = replay(start, candidate, true);
      if (violation.empty()) {
        at += chunk;
      } else {
        shortest = {violation, std::move(candidate)};
      }
    }
  }
  return shortest;
}

}  // namespace limeramp::explorer
