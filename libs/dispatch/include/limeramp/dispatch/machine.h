#pragma once

#include "limeramp/logging/logging.h"
#include "limeramp/retry/ledger.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace limeramp::dispatch {

using retry::TimePoint;

struct Policy {
  std::size_t concurrentPerServer = 4;
  double limitGrowth = 0.05;
  double limitShrink = 0.7;
  double windowGrowth = 0.1;
  double windowShrink = 0.7;
  double queueShareOfDeadline = 0.15;
  double baseDrift = 1.001;
  std::chrono::milliseconds rivalMs{3000};
  std::size_t maxWaitingPerService = 512;
  std::size_t maxWaitingPerTenant = 128;
  std::size_t maxRequests = 4000;
  double stragglerFactor = 1.5;
  double stragglerQuantile = 0.95;
  std::chrono::milliseconds stragglerMinMs{15};
  double stragglerShareOfDeadline = 0.4;
  double marginShareOfDeadline = 0.06;
  std::chrono::milliseconds marginMinMs{8};
  std::chrono::milliseconds marginMaxMs{30};
  std::chrono::milliseconds aimMarginMs{8};
  double lateShare = 0.4;
  double offerShareOfAim = 0.25;
  std::chrono::milliseconds blockedMs{5};
  std::chrono::milliseconds waitWakeMs{50};
  std::chrono::milliseconds ghostMaxMs{1000};
  std::chrono::milliseconds downFirstMs{500};
  std::chrono::milliseconds downMaxMs{4000};
  std::chrono::milliseconds stallMs{1000};
  std::chrono::milliseconds silentFirstMs{100};
  std::chrono::milliseconds quietFirstMs{100};
  std::chrono::milliseconds quietMaxMs{1000};
  std::chrono::milliseconds trialMs{350};
  double zoneBias = 0.9;
  double zoneLoadCalm = 1;
  double zoneLoadMost = 1.7;
  double zoneLatencyFactor = 3;
  std::size_t zoneMostOpen = 3;
  double freshShare = 0.2;
  double coldOverrun = 1.25;
  double coldSlack = 4;
  std::chrono::milliseconds coldWindowMs{1100};
  std::chrono::milliseconds placeSettleMs{3200};
  std::chrono::milliseconds retryMinMs{20};
  std::chrono::milliseconds retryMaxMs{300};
  bool rerun = true;
};

struct ServerRow {
  std::string address;
  std::string zone;
  double capacity = 50;
  bool leaving = false;
  std::chrono::milliseconds slowStartMs{0};
  std::chrono::milliseconds ageMs{0};
  std::string life{};
  std::chrono::milliseconds coldMs{0};
  double coldPerSecond = 0;
};

struct Servers {
  std::string service;
  std::vector<ServerRow> rows;
};

struct Place {
  std::size_t fronts = 1;
  std::size_t rank = 0;
  double budgetDepth = 0;
  double budgetRatio = 0.2;
  std::string zone{};
};

struct Arrive {
  std::uint64_t request = 0;
  std::string tenant;
  std::vector<std::string> services;
  std::size_t minimum = 1;
  std::size_t max_attempts = 1;
  bool repeatable = false;
  TimePoint deadline;
  TimePoint aim{};
  std::size_t priority = 0;
  std::size_t kind = 0;
};

struct Returned {
  std::uint64_t attempt = 0;
  bool good = false;
  bool healthy = false;
  retry::Verdict verdict = retry::Verdict::mayHaveRun;
  std::optional<double> load;
  bool otherLife = false;
  bool full = false;
  std::optional<std::chrono::milliseconds> coldMs{};
};

struct Tick {};

using Event = std::variant<Servers, Place, Arrive, Returned, Tick>;

struct Send {
  std::uint64_t attempt = 0;
  std::uint64_t request = 0;
  std::size_t leg = 0;
  std::string server;
  std::string life;
  TimePoint deadline;
  bool extra = false;
};

struct Cancel {
  std::uint64_t attempt = 0;
};

struct Keep {
  std::uint64_t attempt = 0;
  std::uint64_t request = 0;
  std::size_t leg = 0;
};

enum class Ending { complete, partial, refused, failed };

struct Finish {
  std::uint64_t request = 0;
  Ending ending = Ending::failed;
  retry::Verdict verdict = retry::Verdict::mayHaveRun;
  std::vector<std::size_t> missing;
  std::string reason;
  std::optional<std::chrono::milliseconds> retryAfter;
};

struct Note {
  logging::Event event;
  std::string service;
  std::string server;
};

using Effect = std::variant<Send, Cancel, Keep, Finish, Note>;

struct ServerView {
  std::string service;
  std::string address;
  std::string zone;
  std::size_t inFlight = 0;
  double latencyMs = 0;
  bool down = false;
  bool leaving = false;
  bool fresh = false;
  double load = 0;
};

struct Counters {
  std::uint64_t arrivals = 0;
  std::uint64_t attempts = 0;
  std::uint64_t extras = 0;
  std::uint64_t retries = 0;
  std::uint64_t lostRaces = 0;
  std::uint64_t missing = 0;
  std::uint64_t refused = 0;
  std::uint64_t budgetSpent = 0;
};

class Machine {
 public:
  explicit Machine(Policy const& policy);
  ~Machine();
  Machine(Machine&&) noexcept;
  Machine& operator=(Machine&&) noexcept;

  std::vector<Effect> step(TimePoint now, Event const& event);
  std::optional<TimePoint> nextWake(TimePoint now) const;
  std::vector<ServerView> servers(TimePoint now) const;
  Counters counters() const;
  std::size_t requests() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeramp::dispatch
