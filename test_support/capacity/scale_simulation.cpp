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

std::string formatNumber(double value) {
  char text[40];
  std::snprintf(text, sizeof text, "%.6g", value);
  return text;
}

std::string json(Spread const& spread) {
  return "{\"least\":" + formatNumber(spread.least) + ",\"median\":" + formatNumber(spread.median) +
         ",\"most\":" + formatNumber(spread.most) + "}";
}

std::string json(Measurement const& measurement) {
  std::map<std::string, std::vector<MemberLoad>> roles;
  std::size_t readers = 0;
  double listReads = 0;
  for (MemberLoad const& load : measurement.members) {
    roles[load.role].push_back(load);
    readers += load.listReads > 0 ? 1 : 0;
    listReads += static_cast<double>(load.listReads);
  }
  std::ostringstream out;
  out << "{\"seconds\":" << formatNumber(measurement.seconds) << ",\"restarts\":" << measurement.restarts
      << ",\"failures\":" << measurement.failures << ",\"changes\":" << measurement.changes
      << ",\"taken\":" << measurement.taken << ",\"roster_changes\":" << measurement.rosterChanges
      << ",\"least_serving\":" << measurement.minServing << ",\"list_readers\":" << readers
      << ",\"list_reads_per_s\":" << formatNumber(listReads / measurement.seconds) << ",\"roles\":{";
  bool first = true;
  for (std::pair<std::string const, std::vector<MemberLoad>> const& role : roles) {
    std::function<Spread(std::function<double(MemberLoad const&)> const&)> const perSecond =
        [&](std::function<double(MemberLoad const&)> const& pick) {
          std::vector<double> values;
          for (MemberLoad const& load : role.second) {
            values.push_back(pick(load) / measurement.seconds);
          }
          return spreadOf(std::move(values));
        };
    out << (first ? "" : ",") << "\"" << role.first << "\":{\"count\":" << role.second.size()
        << ",\"sent_per_s\":" << json(perSecond([](MemberLoad const& load) { return static_cast<double>(load.sent); }))
        << ",\"received_per_s\":"
        << json(perSecond([](MemberLoad const& load) { return static_cast<double>(load.received); }))
        << ",\"sent_bytes_per_s\":"
        << json(perSecond([](MemberLoad const& load) { return static_cast<double>(load.sentBytes); }))
        << ",\"received_bytes_per_s\":"
        << json(perSecond([](MemberLoad const& load) { return static_cast<double>(load.receivedBytes); }))
        << ",\"processor_share\":"
        << json(perSecond([](MemberLoad const& load) { return std::chrono::duration<double>(load.busy).count(); }))
        << ",\"peers\":" << json(perSecond([&](MemberLoad const& load) {
             return static_cast<double>(load.peers) * measurement.seconds;
           }))
        << "}";
    first = false;
  }
  out << "},\"kinds\":{";
  first = true;
  for (std::pair<std::string const, MessageLoad> const& kind : measurement.kinds) {
    MessageLoad const& load = kind.second;
    double const sent = static_cast<double>(std::max<std::uint64_t>(1, load.sent));
    double const received = static_cast<double>(std::max<std::uint64_t>(1, load.received));
    out << (first ? "" : ",") << "\"" << kind.first
        << "\":{\"sent_per_s\":" << formatNumber(static_cast<double>(load.sent) / measurement.seconds)
        << ",\"bytes_per_s\":" << formatNumber(static_cast<double>(load.bytes) / measurement.seconds)
        << ",\"bytes_each\":" << formatNumber(static_cast<double>(load.bytes) / sent)
        << ",\"seal_us_each\":" << formatNumber(static_cast<double>(load.encodeTime.count()) / 1e3 / sent)
        << ",\"hear_us_each\":" << formatNumber(static_cast<double>(load.handleTime.count()) / 1e3 / received) << "}";
    first = false;
  }
  out << "}}";
  return out.str();
}

double heapBytes() {
  struct mallinfo2 const info = mallinfo2();
  return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

std::set<std::string> splitAtCommas(std::string const& text) {
  std::set<std::string> out;
  std::istringstream words(text);
  for (std::string word; std::getline(words, word, ',');) {
    out.insert(word);
  }
  return out;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("scale_simulation",
                           "simulates nodes in virtual time and measures what the control plane costs at a fleet size");
  options.add_options()("nodes", "", cxxopts::value<std::size_t>()->default_value("100"))(
      "servers", "", cxxopts::value<std::size_t>()->default_value("500"))(
      "shards", "", cxxopts::value<std::size_t>()->default_value("4"))(
      "zones", "", cxxopts::value<std::size_t>()->default_value("18"))(
      "regions", "", cxxopts::value<std::size_t>()->default_value("6"))(
      "seed", "", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "most-nodes", "limit of nodes that the primary puts on the roster; 0: the default",
      cxxopts::value<std::size_t>()->default_value("0"))("document", "size of the configuration in bytes",
                                                         cxxopts::value<std::size_t>()->default_value("0"))(
      "phases", "steady,changes,churn,loss,zone,region,primary",
      cxxopts::value<std::string>()->default_value("steady,changes,churn,loss"))(
      "seconds", "duration of the steady and of the zone measurement", cxxopts::value<double>()->default_value("10"))(
      "churn-seconds", "", cxxopts::value<double>()->default_value("30"))(
      "start", "cold: all nodes start within 2 s; calm: within 0.1 s, after the fleet is founded",
      cxxopts::value<std::string>()->default_value("calm"))("speed",
                                                            "factor by which the churn of a day is accelerated",
                                                            cxxopts::value<double>()->default_value("20"))("help", "");
  cxxopts::ParseResult const flags = options.parse(argc, argv);
  if (flags.count("help") > 0) {
    std::cout << options.help();
    return 0;
  }
  FleetShape shape;
  shape.nodes = flags["nodes"].as<std::size_t>();
  shape.servers = flags["servers"].as<std::size_t>();
  shape.shards = flags["shards"].as<std::size_t>();
  shape.zones = flags["zones"].as<std::size_t>();
  shape.regions = flags["regions"].as<std::size_t>();
  shape.seed = flags["seed"].as<std::uint64_t>();
  shape.maxNodes = flags["most-nodes"].as<std::size_t>();
  shape.documentBytes = flags["document"].as<std::size_t>();
  std::set<std::string> const phases = splitAtCommas(flags["phases"].as<std::string>());
  Ms const measurementMs(static_cast<long>(flags["seconds"].as<double>() * 1000));
  double const speed = flags["speed"].as<double>();

  double const heapBefore = heapBytes();
  Fleet fleet(shape);
  bool const cold = flags["start"].as<std::string>() == "cold";
  fleet.startAll(cold ? Ms(0) : Ms(4000), cold ? Ms(2000) : Ms(100));
  bool warm = false;
  std::map<std::string, double> startSent;
  double startBytes = 0;
  int warmSeconds = 0;
  for (; warmSeconds < 40 && !warm; ++warmSeconds) {
    Measurement const measurement = fleet.measure(Ms(1000));
    for (std::pair<std::string const, MessageLoad> const& kind : measurement.kinds) {
      startSent[kind.first] += static_cast<double>(kind.second.sent);
      startBytes += static_cast<double>(kind.second.bytes);
    }
    warm = fleet.serving() >= shape.nodes;
    std::fprintf(stderr, "%d s: %zu serve, %zu listed, %.0f bytes sent so far\n", warmSeconds + 1, fleet.serving(),
                 fleet.rosterSize(), startBytes);
  }
  ChangeOutcome const firstChange = fleet.change(Ms(10'000));
  fleet.run(Ms(3000));
  warm = warm && firstChange.verdict == "taken";
  std::fprintf(stderr, "seed %llu: %zu of %zu nodes serve after the warm-up\n",
               static_cast<unsigned long long>(shape.seed), fleet.serving(), shape.nodes);
  std::ostream& out = std::cout;
  out << "{\"nodes\":" << shape.nodes << ",\"servers\":" << shape.servers << ",\"shards\":" << shape.shards
      << ",\"zones\":" << shape.zones << ",\"regions\":" << shape.regions << ",\"seed\":" << shape.seed
      << ",\"most_nodes\":" << shape.maxNodes << ",\"document\":" << shape.documentBytes
      << ",\"speed\":" << formatNumber(speed) << ",\"warm\":" << (warm ? "true" : "false")
      << ",\"serving\":" << fleet.serving() << ",\"listed\":" << fleet.rosterSize()
      << ",\"state_bytes\":" << fleet.stateBytes()
      << ",\"heap_per_node\":" << formatNumber((heapBytes() - heapBefore) / static_cast<double>(shape.nodes))
      << ",\"start\":{\"cold\":" << (cold ? 1 : 0) << ",\"seconds\":" << warmSeconds
      << ",\"bytes\":" << formatNumber(startBytes);
  for (std::pair<std::string const, double> const& kind : startSent) {
    out << ",\"" << kind.first << "\":" << formatNumber(kind.second);
  }
  out << "},\"first_change\":{\"acknowledged_ms\":" << firstChange.acknowledgedMs.count()
      << ",\"everywhere_ms\":" << firstChange.everywhereMs.count() << "}";
  if (phases.contains("steady")) {
    out << ",\"steady\":" << json(fleet.measure(measurementMs));
  }
  out.flush();
  if (phases.contains("changes")) {
    std::vector<double> acknowledged;
    std::vector<double> everywhere;
    std::size_t taken = 0;
    for (int round = 0; round < 4; ++round) {
      ChangeOutcome const outcome = fleet.change(Ms(15'000));
      taken += outcome.verdict == "taken" ? 1 : 0;
      acknowledged.push_back(static_cast<double>(outcome.acknowledgedMs.count()));
      everywhere.push_back(static_cast<double>(outcome.everywhereMs.count()));
      fleet.run(Ms(500));
    }
    out << ",\"changes\":{\"asked\":4,\"taken\":" << taken << ",\"acknowledged_ms\":" << json(spreadOf(acknowledged))
        << ",\"everywhere_ms\":" << json(spreadOf(everywhere)) << "}";
  }
  out.flush();
  if (phases.contains("churn")) {
    double const share = static_cast<double>(shape.nodes) / 1300;
    ChurnRates const rates{1400.0 / 86'400 * share * speed, 22.0 / 86'400 * share * speed, 1500.0 / 86'400 * speed};
    out << ",\"churn\":" << json(fleet.churn(Ms(static_cast<long>(flags["churn-seconds"].as<double>() * 1000)), rates));
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
    Measurement const measurement = fleet.measure(measurementMs);
    ChangeOutcome const outcome = fleet.change(Ms(15'000));
    Ms const removalMs = fleet.awaitZoneRemoval(Ms(70'000));
    double const knownMs =
        removalMs < Ms(0)
            ? -1
            : static_cast<double>(measurementMs.count() +
                                  std::max(outcome.acknowledgedMs, outcome.everywhereMs).count() + removalMs.count());
    out << ",\"zone\":{\"stretch\":" << json(measurement) << ",\"acknowledged_ms\":" << outcome.acknowledgedMs.count()
        << ",\"everywhere_ms\":" << outcome.everywhereMs.count() << ",\"known_ms\":" << formatNumber(knownMs)
        << ",\"serving\":" << fleet.serving() << ",\"alive\":" << fleet.alive() << "}";
  }
  out.flush();
  if (phases.contains("region")) {
    std::size_t const before = fleet.serving();
    fleet.cutRegion(true);
    std::size_t const servingAtCut = fleet.servingInCutRegion();
    fleet.run(Ms(3000));
    std::size_t const servingAfterCut = fleet.servingInCutRegion();
    Measurement const measurement = fleet.measure(Ms(1000));
    ChangeOutcome const outcome = fleet.change(Ms(3000));
    std::size_t const serving = fleet.serving();
    fleet.cutRegion(false);
    bool const healed = fleet.awaitServing(before, Ms(10'000));
    out << ",\"region\":{\"before\":" << before << ",\"in_region\":" << servingAtCut
        << ",\"in_region_after_3s\":" << servingAfterCut << ",\"serving\":" << serving << ",\"verdict\":\""
        << outcome.verdict << "\",\"healed\":" << (healed ? "true" : "false") << ",\"stretch\":" << json(measurement)
        << "}";
  }
  out.flush();
  if (phases.contains("primary")) {
    fleet.killPrimary();
    Measurement const measurement = fleet.measure(Ms(2500));
    ChangeOutcome outcome;
    for (int round = 0; round < 20 && outcome.verdict != "taken"; ++round) {
      outcome = fleet.change(Ms(10'000));
      fleet.run(Ms(100));
    }
    out << ",\"primary\":{\"stretch\":" << json(measurement) << ",\"verdict\":\"" << outcome.verdict
        << "\",\"serving\":" << fleet.serving() << "}";
  }
  out << "}\n";
  return 0;
}
