#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace limeramp::capacity {

using Ms = std::chrono::milliseconds;

struct Shape {
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

struct Load {
  std::string role;
  std::uint64_t sent = 0;
  std::uint64_t received = 0;
  std::uint64_t sentBytes = 0;
  std::uint64_t receivedBytes = 0;
  std::uint64_t peers = 0;
  std::uint64_t listReads = 0;
  std::chrono::nanoseconds busy{0};
};

struct KindLoad {
  std::uint64_t sent = 0;
  std::uint64_t bytes = 0;
  std::uint64_t heard = 0;
  std::chrono::nanoseconds sealing{0};
  std::chrono::nanoseconds hearing{0};
};

struct Stretch {
  double seconds = 0;
  std::vector<Load> members;
  std::map<std::string, KindLoad> kinds;
  std::size_t restarts = 0;
  std::size_t failures = 0;
  std::size_t changes = 0;
  std::size_t taken = 0;
  std::size_t rosterChanges = 0;
  std::size_t minServing = 0;
};

struct Landing {
  std::string verdict;
  Ms acknowledgedMs{-1};
  Ms everywhereMs{-1};
};

struct Churn {
  double restartsPerSecond = 0;
  double failuresPerSecond = 0;
  double changesPerSecond = 0;
};

class Fleet {
 public:
  explicit Fleet(Shape const& shape);
  ~Fleet();
  Fleet(Fleet const&) = delete;
  Fleet& operator=(Fleet const&) = delete;

  void startAll(Ms wait, Ms over);
  void run(Ms time);
  bool awaitServing(std::size_t wanted, Ms within);
  std::size_t serving() const;
  std::size_t alive() const;
  std::size_t listed() const;
  std::size_t stateBytes() const;

  Stretch measure(Ms time);
  Stretch churn(Ms time, Churn const& churn);
  Landing change(Ms within);
  Ms killNode(Ms within);
  Ms loseNode(Ms within);
  void loseZone();
  Ms untilZoneForgotten(Ms within);
  void cutRegion(bool cut);
  std::size_t servingInCutRegion() const;
  void killPrimary();
  bool hasPrimary() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeramp::capacity
