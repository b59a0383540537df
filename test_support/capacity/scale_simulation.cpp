#include "capacity/fleet.h"

#include <cxxopts.hpp>

#include <malloc.h>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <iostream>
#include <set>
#include <sstream>

namespace {

using namespace limeramp::capacity;

struct Spread {
  double least = 0;
  double median = 0;
  double most = 0;
};

Spread spreadOf(std::vector<double> values) {
  if (values.empty()) {
    return {};
  }
  std::sort(values.begin(), values.end());
  return {values.front(), values[values.size() / 2], values.back()};
}

std::string number(double value) {
  char text[40];
  std::snprintf(text, sizeof text, "%.6g", value);
  return text;
}

std::string json(Spread const& spread) {
  return "{\"least\":" + number(spread.least) + ",\"median\":" + number(spread.median) +
         ",\"most\":" + number(spread.most) + "}";
}

std::string json(Stretch const& stretch) {
  std::map<std::string, std::vector<Load>> roles;
  std::size_t readers = 0;
  double listReads = 0;
  for (Load const& load : stretch.members) {
    roles[load.role].push_back(load);
    readers += load.listReads > 0 ? 1 : 0;
    listReads += static_cast<double>(load.listReads);
  }
  std::ostringstream out;
  out << "{\"seconds\":" << number(stretch.seconds) << ",\"restarts\":" << stretch.restarts
      << ",\"failures\":" << stretch.failures << ",\"changes\":" << stretch.changes << ",\"taken\":" << stretch.taken
      << ",\"roster_changes\":" << stretch.rosterChanges << ",\"least_serving\":" << stretch.minServing
      << ",\"list_readers\":" << readers << ",\"list_reads_per_s\":" << number(listReads / stretch.seconds)
      << ",\"roles\":{";
  bool first = true;
  for (std::pair<std::string const, std::vector<Load>> const& role : roles) {
    std::function<Spread(std::function<double(Load const&)> const&)> const of =
        [&](std::function<double(Load const&)> const& pick) {
          std::vector<double> values;
          for (Load const& load : role.second) {
            values.push_back(pick(load) / stretch.seconds);
          }
          return spreadOf(std::move(values));
        };
    out << (first ? "" : ",") << "\"" << role.first << "\":{\"count\":" << role.second.size()
        << ",\"sent_per_s\":" << json(of([](Load const& load) { return static_cast<double>(load.sent); }))
        << ",\"received_per_s\":" << json(of([](Load const& load) { return static_cast<double>(load.received); }))
        << ",\"sent_bytes_per_s\":" << json(of([](Load const& load) { return static_cast<double>(load.sentBytes); }))
        << ",\"received_bytes_per_s\":"
        << json(of([](Load const& load) { return static_cast<double>(load.receivedBytes); })) << ",\"processor_share\":"
        << json(of([](Load const& load) { return std::chrono::duration<double>(load.busy).count(); })) << ",\"peers\":"
        << json(of([&](Load const& load) { return static_cast<double>(load.peers) * stretch.seconds; })) << "}";
    first = false;
  }
  out << "},\"kinds\":{";
  first = true;
  for (std::pair<std::string const, KindLoad> const& kind : stretch.kinds) {
    KindLoad const& load = kind.second;
    double const sent = static_cast<double>(std::max<std::uint64_t>(1, load.sent));
    double const heard = static_cast<double>(std::max<std::uint64_t>(1, load.heard));
    out << (first ? "" : ",") << "\"" << kind.first
        << "\":{\"sent_per_s\":" << number(static_cast<double>(load.sent) / stretch.seconds)
        << ",\"bytes_per_s\":" << number(static_cast<double>(load.bytes) / stretch.seconds)
        << ",\"bytes_each\":" << number(static_cast<double>(load.bytes) / sent)
        << ",\"seal_us_each\":" << number(static_cast<double>(load.sealing.count()) / 1e3 / sent)
        << ",\"hear_us_each\":" << number(static_cast<double>(load.hearing.count()) / 1e3 / heard) << "}";
    first = false;
  }
  out << "}}";
  return out.str();
}

double heapBytes() {
  struct mallinfo2 const info = mallinfo2();
  return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

std::set<std::string> wordsOf(std::string const& text) {
  std::set<std::string> out;
  std::istringstream words(text);
  for (std::string word; std::getline(words, word, ',');) {
    out.insert(word);
  }
  return out;
}

}  // namespace

int main(int count, char** words) {
  cxxopts::Options options("scale_simulation", "hollow nodes in virtual time: what control costs at a size");
  options.add_options()("nodes", "", cxxopts::value<std::size_t>()->default_value("100"))(
      "servers", "", cxxopts::value<std::size_t>()->default_value("500"))(
      "shards", "", cxxopts::value<std::size_t>()->default_value("4"))(
      "zones", "", cxxopts::value<std::size_t>()->default_value("18"))(
      "regions", "", cxxopts::value<std::size_t>()->default_value("6"))(
      "seed", "", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "most-nodes", "bound of the primary; 0: as built", cxxopts::value<std::size_t>()->default_value("0"))(
      "document", "bytes of the configuration", cxxopts::value<std::size_t>()->default_value("0"))(
      "phases", "steady,changes,churn,loss,zone,region,primary",
      cxxopts::value<std::string>()->default_value("steady,changes,churn,loss"))(
      "seconds", "of the steady and the zone stretch", cxxopts::value<double>()->default_value("10"))(
      "churn-seconds", "", cxxopts::value<double>()->default_value("30"))(
      "start", "cold: all within 2 s; calm: within 0.1 s, after the founding",
      cxxopts::value<std::string>()->default_value("calm"))("speed", "how much faster than a day churn runs",
                                                            cxxopts::value<double>()->default_value("20"))("help", "");
  cxxopts::ParseResult const given = options.parse(count, words);
  if (given.count("help") > 0) {
    std::cout << options.help();
    return 0;
  }
  Shape shape;
  shape.nodes = given["nodes"].as<std::size_t>();
  shape.servers = given["servers"].as<std::size_t>();
  shape.shards = given["shards"].as<std::size_t>();
  shape.zones = given["zones"].as<std::size_t>();
  shape.regions = given["regions"].as<std::size_t>();
  shape.seed = given["seed"].as<std::uint64_t>();
  shape.maxNodes = given["most-nodes"].as<std::size_t>();
  shape.documentBytes = given["document"].as<std::size_t>();
  std::set<std::string> const phases = wordsOf(given["phases"].as<std::string>());
  Ms const stretchMs(static_cast<long>(given["seconds"].as<double>() * 1000));
  double const speed = given["speed"].as<double>();

  double const heapBefore = heapBytes();
  Fleet fleet(shape);
  bool const cold = given["start"].as<std::string>() == "cold";
  fleet.startAll(cold ? Ms(0) : Ms(4000), cold ? Ms(2000) : Ms(100));
  bool warm = false;
  std::map<std::string, double> startSent;
  double startBytes = 0;
  int warmSeconds = 0;
  for (; warmSeconds < 40 && !warm; ++warmSeconds) {
    Stretch const stretch = fleet.measure(Ms(1000));
    for (std::pair<std::string const, KindLoad> const& kind : stretch.kinds) {
      startSent[kind.first] += static_cast<double>(kind.second.sent);
      startBytes += static_cast<double>(kind.second.bytes);
    }
    warm = fleet.serving() >= shape.nodes;
    std::fprintf(stderr, "%d s: %zu serve, %zu listed, %.0f bytes sent so far\n", warmSeconds + 1, fleet.serving(),
                 fleet.listed(), startBytes);
  }
  Landing const founding = fleet.change(Ms(10'000));
  fleet.run(Ms(3000));
  warm = warm && founding.verdict == "taken";
  std::fprintf(stderr, "seed %llu: %zu of %zu nodes serve after the warm-up\n",
               static_cast<unsigned long long>(shape.seed), fleet.serving(), shape.nodes);
  std::ostream& out = std::cout;
  out << "{\"nodes\":" << shape.nodes << ",\"servers\":" << shape.servers << ",\"shards\":" << shape.shards
      << ",\"zones\":" << shape.zones << ",\"regions\":" << shape.regions << ",\"seed\":" << shape.seed
      << ",\"most_nodes\":" << shape.maxNodes << ",\"document\":" << shape.documentBytes
      << ",\"speed\":" << number(speed) << ",\"warm\":" << (warm ? "true" : "false")
      << ",\"serving\":" << fleet.serving() << ",\"listed\":" << fleet.listed()
      << ",\"state_bytes\":" << fleet.stateBytes()
      << ",\"heap_per_node\":" << number((heapBytes() - heapBefore) / static_cast<double>(shape.nodes))
      << ",\"start\":{\"cold\":" << (cold ? 1 : 0) << ",\"seconds\":" << warmSeconds
      << ",\"bytes\":" << number(startBytes);
  for (std::pair<std::string const, double> const& kind : startSent) {
    out << ",\"" << kind.first << "\":" << number(kind.second);
  }
  out << "},\"first_change\":{\"acknowledged_ms\":" << founding.acknowledgedMs.count()
      << ",\"everywhere_ms\":" << founding.everywhereMs.count() << "}";
  if (phases.contains("steady")) {
    out << ",\"steady\":" << json(fleet.measure(stretchMs));
  }
  out.flush();
  if (phases.contains("changes")) {
    std::vector<double> acknowledged;
    std::vector<double> everywhere;
    std::size_t taken = 0;
    for (int round = 0; round < 4; ++round) {
      Landing const landing = fleet.change(Ms(15'000));
      taken += landing.verdict == "taken" ? 1 : 0;
      acknowledged.push_back(static_cast<double>(landing.acknowledgedMs.count()));
      everywhere.push_back(static_cast<double>(landing.everywhereMs.count()));
      fleet.run(Ms(500));
    }
    out << ",\"changes\":{\"asked\":4,\"taken\":" << taken << ",\"acknowledged_ms\":" << json(spreadOf(acknowledged))
        << ",\"everywhere_ms\":" << json(spreadOf(everywhere)) << "}";
  }
  out.flush();
  if (phases.contains("churn")) {
    double const share = static_cast<double>(shape.nodes) / 1300;
    Churn const rates{1400.0 / 86'400 * share * speed, 22.0 / 86'400 * share * speed, 1500.0 / 86'400 * speed};
    out << ",\"churn\":" << json(fleet.churn(Ms(static_cast<long>(given["churn-seconds"].as<double>() * 1000)), rates));
  }
  out.flush();
  if (phases.contains("loss")) {
    std::vector<double> killed;
    for (int round = 0; round < 2; ++round) {
      killed.push_back(static_cast<double>(fleet.killNode(Ms(20'000)).count()));
      fleet.run(Ms(3000));
    }
    out << ",\"loss\":{\"killed_known_ms\":" << json(spreadOf(killed)) << "}";
  }
  out.flush();
  if (phases.contains("zone")) {
    fleet.loseZone();
    Stretch const stretch = fleet.measure(stretchMs);
    Landing const landing = fleet.change(Ms(15'000));
    Ms const more = fleet.untilZoneForgotten(Ms(70'000));
    double const knownMs =
        more < Ms(0)
            ? -1
            : static_cast<double>(stretchMs.count() + std::max(landing.acknowledgedMs, landing.everywhereMs).count() +
                                  more.count());
    out << ",\"zone\":{\"stretch\":" << json(stretch) << ",\"acknowledged_ms\":" << landing.acknowledgedMs.count()
        << ",\"everywhere_ms\":" << landing.everywhereMs.count() << ",\"known_ms\":" << number(knownMs)
        << ",\"serving\":" << fleet.serving() << ",\"alive\":" << fleet.alive() << "}";
  }
  out.flush();
  if (phases.contains("region")) {
    std::size_t const before = fleet.serving();
    fleet.cutRegion(true);
    std::size_t const there = fleet.servingInCutRegion();
    fleet.run(Ms(3000));
    std::size_t const still = fleet.servingInCutRegion();
    Stretch const stretch = fleet.measure(Ms(1000));
    Landing const landing = fleet.change(Ms(3000));
    std::size_t const serving = fleet.serving();
    fleet.cutRegion(false);
    bool const healed = fleet.awaitServing(before, Ms(10'000));
    out << ",\"region\":{\"before\":" << before << ",\"in_region\":" << there << ",\"in_region_after_3s\":" << still
        << ",\"serving\":" << serving << ",\"verdict\":\"" << landing.verdict
        << "\",\"healed\":" << (healed ? "true" : "false") << ",\"stretch\":" << json(stretch) << "}";
  }
  out.flush();
  if (phases.contains("primary")) {
    fleet.killPrimary();
    Stretch const stretch = fleet.measure(Ms(2500));
    Landing landing;
    for (int round = 0; round < 20 && landing.verdict != "taken"; ++round) {
      landing = fleet.change(Ms(10'000));
      fleet.run(Ms(100));
    }
    out << ",\"primary\":{\"stretch\":" << json(stretch) << ",\"verdict\":\"" << landing.verdict
        << "\",\"serving\":" << fleet.serving() << "}";
  }
  out << "}\n";
  return 0;
}
