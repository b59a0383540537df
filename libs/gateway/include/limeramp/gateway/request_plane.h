#pragma once

#include "limeramp/config/configuration.h"
#include "limeramp/dispatch/dispatcher.h"
#include "limeramp/dispatch/shard_result.h"
#include "limeramp/gateway/dialect.h"
#include "limeramp/net/http.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace limeramp::gateway {

using retry::TimePoint;

struct Self {
  std::string node;
  std::string address;
  std::string zone;
  std::uint64_t boot = 0;
};

struct Arrived {
  std::uint64_t request = 0;
  net::Request content;
  bool passed = false;
  std::optional<std::chrono::milliseconds> remainingMs;
};
struct Exchanged {
  std::uint64_t attempt = 0;
  net::Exchange exchange;
};
struct Ground {
  std::uint64_t attempt = 0;
  absl::StatusOr<dispatch::ShardResult> part;
  std::optional<double> load;
};
struct Merged {
  std::uint64_t request = 0;
  std::vector<std::string> records;
};
struct InForce {
  config::SnapshotPtr snapshot;
};
struct Tables {
  dispatch::ServersUpdated servers;
};
struct Owners {
  std::string cell;
  std::vector<std::string> addresses;
};
struct Placed {
  dispatch::FleetPosition place;
};
struct Tick {};

using Event = std::variant<Arrived, Exchanged, Ground, Merged, InForce, Tables, Owners, Placed, Tick>;

struct Reply {
  std::uint64_t request = 0;
  net::Answer answer;
};
struct SendOut {
  std::uint64_t attempt = 0;
  std::string server;
  net::Request content;
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
  dispatch::ShardStamp expected;
  std::size_t resultSize = 0;
  std::optional<double> load;
};
struct Merge {
  std::uint64_t request = 0;
  std::vector<dispatch::ShardResultPtr> parts;
  std::size_t resultSize = 0;
};

using Effect = std::variant<Reply, SendOut, CancelOut, Grind, Merge, dispatch::LogEntry>;

class Plane {
 public:
  Plane(Self const& self, dispatch::DispatchOptions const& policy, Dialect dialect = ownDialect());
  ~Plane();
  Plane(Plane&&) noexcept;
  Plane& operator=(Plane&&) noexcept;

  std::vector<Effect> step(TimePoint now, Event const& event);
  std::optional<TimePoint> nextWake(TimePoint now) const;
  config::SnapshotPtr snapshot() const;
  std::vector<dispatch::ServerStatus> servers(TimePoint now) const;
  dispatch::Counters counters() const;
  std::size_t requests() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeramp::gateway
