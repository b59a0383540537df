#pragma once

#include "limeramp/manifest/configuration.h"
#include "limeramp/quayside/dialect.h"
#include "limeramp/rigging/http.h"
#include "limeramp/shoal/machine.h"
#include "limeramp/shoal/part.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace limeramp::quayside {

using tally::TimePoint;

struct Self {
  std::string node;
  std::string address;
  std::string zone;
  std::uint64_t boot = 0;
};

struct Arrived {
  std::uint64_t request = 0;
  rigging::Request content;
  bool passed = false;
  std::optional<std::chrono::milliseconds> remainingMs;
};
struct Exchanged {
  std::uint64_t attempt = 0;
  rigging::Exchange exchange;
};
struct Ground {
  std::uint64_t attempt = 0;
  absl::StatusOr<shoal::Part> part;
  std::optional<double> load;
};
struct Merged {
  std::uint64_t request = 0;
  std::vector<std::string> records;
};
struct InForce {
  manifest::SnapshotPtr snapshot;
};
struct Tables {
  shoal::Servers servers;
};
struct Owners {
  std::string cell;
  std::vector<std::string> addresses;
};
struct Placed {
  shoal::Place place;
};
struct Tick {};

using Event = std::variant<Arrived, Exchanged, Ground, Merged, InForce, Tables, Owners, Placed, Tick>;

struct Reply {
  std::uint64_t request = 0;
  rigging::Answer answer;
};
struct SendOut {
  std::uint64_t attempt = 0;
  std::string server;
  rigging::Request content;
  TimePoint deadline;
  bool carried = false;
  std::chrono::milliseconds remainingMs{0};
};
struct CancelOut {
  std::uint64_t attempt = 0;
};
struct Grind {
  std::uint64_t attempt = 0;
  std::string body;
  shoal::Stamp expected;
  std::size_t result_size = 0;
  std::optional<double> load;
};
struct Merge {
  std::uint64_t request = 0;
  std::vector<shoal::PartPtr> parts;
  std::size_t result_size = 0;
};

using Effect = std::variant<Reply, SendOut, CancelOut, Grind, Merge, shoal::Note>;

class Plane {
 public:
  Plane(Self const& self, shoal::Policy const& policy, Dialect dialect = ownDialect());
  ~Plane();
  Plane(Plane&&) noexcept;
  Plane& operator=(Plane&&) noexcept;

  std::vector<Effect> step(TimePoint now, Event const& event);
  std::optional<TimePoint> nextWake(TimePoint now) const;
  manifest::SnapshotPtr snapshot() const;
  std::vector<shoal::ServerView> servers(TimePoint now) const;
  shoal::Counters counters() const;
  std::size_t requests() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}
