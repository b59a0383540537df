#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace limeramp::capacity {

using Ms = std::chrono::milliseconds;

/// Sizes of a simulated fleet; `nodes` are gateways, and 0 in `maxNodes` or `documentBytes` stands for the default.
struct FleetShape {
  std::size_t nodes = 100;
  std::size_t controllers = 5;
  std::size_t servers = 500;
  std::size_t shards = 4;
  std::size_t zones = 18;
  std::size_t regions = 6;
  std::size_t maxNodes = 0;
  std::size_t documentBytes = 0;
  std::uint64_t seed = 1;
};

/// Traffic and CPU time of one member during a measurement; `peers` counts the members it sent to plus those it
/// received from.
struct MemberLoad {
  std::string role;
  std::uint64_t sent = 0;
  std::uint64_t received = 0;
  std::uint64_t sentBytes = 0;
  std::uint64_t receivedBytes = 0;
  std::uint64_t peers = 0;
  std::uint64_t listReads = 0;
  std::chrono::nanoseconds busy{0};
};

/// Traffic of one kind of message and the CPU time spent to encode and to handle it.
struct MessageLoad {
  std::uint64_t sent = 0;
  std::uint64_t bytes = 0;
  std::uint64_t received = 0;
  std::chrono::nanoseconds encodeTime{0};
  std::chrono::nanoseconds handleTime{0};
};

/// Loads and events of an interval of virtual time; `taken` counts the changes that were accepted.
struct Measurement {
  double seconds = 0;
  std::vector<MemberLoad> members;
  std::map<std::string, MessageLoad> kinds;
  std::size_t restarts = 0;
  std::size_t failures = 0;
  std::size_t changes = 0;
  std::size_t taken = 0;
  std::size_t rosterChanges = 0;
  std::size_t minServing = 0;
};

/// Result of a configuration change, with the time to its acknowledgement and to its arrival at every serving gateway;
/// -1 ms if that did not happen before the timeout.
struct ChangeOutcome {
  std::string verdict;
  Ms acknowledgedMs{-1};
  Ms everywhereMs{-1};
};

struct ChurnRates {
  double restartsPerSecond = 0;
  double failuresPerSecond = 0;
  double changesPerSecond = 0;
};

/// Gateways and controllers on a simulated network in virtual time; CPU time is measured on the calling thread.
class Fleet {
 public:
  explicit Fleet(FleetShape const& shape);
  ~Fleet();
  Fleet(Fleet const&) = delete;
  Fleet& operator=(Fleet const&) = delete;

  /// Starts the controllers at once and each gateway `gatewayDelay` later plus a random part of `spread`.
  void startAll(Ms gatewayDelay, Ms spread);
  void run(Ms time);
  bool awaitServing(std::size_t wanted, Ms timeout);
  std::size_t serving() const;
  std::size_t alive() const;
  std::size_t rosterSize() const;
  std::size_t stateBytes() const;

  Measurement measure(Ms time);
  Measurement churn(Ms time, ChurnRates const& rates);
  ChangeOutcome change(Ms timeout);
  /// Ends the process of a random gateway and restarts it after every serving gateway has a roster without it; returns
  /// the time that this took, or -1 ms after the timeout.
  Ms killNode(Ms timeout);
  /// Like killNode, but the whole host is lost: probes of it stay unanswered and a new node replaces it.
  Ms loseHost(Ms timeout);
  void loseZone();
  Ms awaitZoneRemoval(Ms timeout);
  void cutRegion(bool cut);
  std::size_t servingInCutRegion() const;
  void killPrimary();
  bool hasPrimary() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeramp::capacity
