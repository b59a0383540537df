#pragma once

#include "limeramp/dispatch/machine.h"

#include <array>
#include <compare>
#include <deque>
#include <set>
#include <unordered_map>

namespace limeramp::dispatch {

using Ms = std::chrono::milliseconds;
using FineMs = std::chrono::duration<double, std::milli>;

inline double millis(TimePoint::duration length) { return FineMs(length).count(); }
inline TimePoint::duration fine(double lengthMs) {
  return std::chrono::duration_cast<TimePoint::duration>(FineMs(lengthMs));
}

constexpr std::size_t priorities = 16;
constexpr std::size_t maxKinds = 8;

struct LegKey {
  std::uint64_t request = 0;
  std::uint32_t leg = 0;
  std::strong_ordering operator<=>(LegKey const&) const = default;
};

struct Waiting {
  std::size_t priority = 0;
  std::uint64_t order = 0;
  LegKey key;
  std::strong_ordering operator<=>(Waiting const&) const = default;
};

class Latencies {
 public:
  void add(double latencyMs, double quantile);
  bool known() const { return !window_.empty(); }
  double typicalMs() const { return typicalMs_; }
  double tailMs() const { return tailMs_; }

 private:
  std::vector<float> window_;
  std::vector<float> sorted_;
  std::size_t next_ = 0;
  double typicalMs_ = 0;
  double tailMs_ = 0;
};

struct ServerState {
  std::uint64_t id = 0;
  ServerRow row;
  TimePoint startedAt;
  TimePoint backAt{};
  std::vector<TimePoint> open;
  std::deque<TimePoint> ghosts;
  TimePoint answeredAt{};
  double latencyMs = 0;
  TimePoint latencyAt;
  std::size_t failures = 0;
  TimePoint firstFailureAt;
  double badness = 0;
  TimePoint badAt{};
  std::size_t unanswered = 0;
  TimePoint firstUnansweredAt;
  std::optional<TimePoint> quietUntil;
  Ms quietMs{0};
  std::optional<TimePoint> downUntil;
  bool refused = false;
  Ms downMs{0};
  TimePoint trialAt{};
  bool wasAway = false;
  double tokens = 0;
  TimePoint tokensAt;
  double load = 0;
  TimePoint loadAt{};
  TimePoint fullUntil{};
  double limit = 0;
  bool otherLife = false;
  TimePoint coldUntil{};
  TimePoint coldSentAt{};
};

struct TenantState {
  std::string name;
  double window = 0;
  std::size_t inFlight = 0;
  std::size_t legs = 0;
  std::deque<TimePoint> ghosts;
  TimePoint shrunkAt{};
  TimePoint seenAt{};
  bool narrowed = false;
  std::set<Waiting> waiting;
};

struct ServiceState {
  std::string name;
  std::vector<ServerState> servers;
  std::unordered_map<std::string, TenantState> tenants;
  std::deque<TenantState*> rota;
  std::size_t waitingCount = 0;
  std::array<std::size_t, priorities> waitingBy{};
  double baseMs = 0;
  Latencies latencies;
  std::vector<std::pair<std::size_t, Latencies>> kinds;
  retry::Budget budget;
  std::vector<LegKey> overdue;
  std::size_t legs = 0;
  TimePoint wakeAt = TimePoint::max();
  bool dirty = false;
};

struct Leg {
  std::uint32_t service = 0;
  retry::Ledger ledger;
  TenantState* tenant = nullptr;
  std::uint64_t order = 0;
  bool waiting = false;
  bool givenUp = false;
  bool overdue = false;
  bool noted = false;
};

struct RequestState {
  std::uint64_t id = 0;
  std::size_t minimum = 1;
  std::size_t max_attempts = 1;
  bool repeatable = false;
  std::size_t priority = 0;
  std::size_t kind = 0;
  TimePoint arrivedAt;
  TimePoint deadline;
  TimePoint answerBy;
  std::optional<TimePoint> aimBy;
  TimePoint offerBy{};
  bool aimPassed = false;
  std::vector<Leg> legs;
  std::size_t heapAt = 0;
};

struct ShardView {
  bool warm = false;
  bool served = false;
};

class Alarms {
 public:
  void set(RequestState& request, TimePoint at);
  void drop(RequestState& request);
  std::optional<TimePoint> first() const;
  RequestState* firstDue(TimePoint now) const;

 private:
  struct Entry {
    TimePoint at;
    RequestState* request = nullptr;
  };
  void put(std::size_t place, Entry const& entry);
  void rise(std::size_t place);
  void sink(std::size_t place);

  std::vector<Entry> heap_;
};

struct Machine::Impl {
  explicit Impl(Policy const& policyIn) : policy(policyIn) {}

  Policy policy;
  Place place;
  std::deque<std::pair<TimePoint, Place>> places;
  TimePoint firstPlacedAt{};
  std::deque<ServiceState> services;
  std::unordered_map<std::string, std::uint32_t> serviceIndex;
  std::vector<std::uint32_t> freeServices;
  std::unordered_map<std::uint64_t, RequestState> requests;
  std::unordered_map<std::uint64_t, LegKey> attempts;
  Alarms alarms;
  std::vector<std::uint32_t> dirty;
  std::vector<std::uint64_t> review;
  std::uint64_t lastAttempt = 0;
  std::uint64_t lastServer = 0;
  std::uint64_t lastOrder = 0;
  Counters counters;
  std::vector<Effect> effects;
  TimePoint now;

  void on(Servers const& event);
  void on(Place const& event);
  void on(Arrive const& event);
  void on(Returned const& event);
  void on(Tick const&) {}
  void work();

  std::uint32_t serviceOf(std::string const& name);
  void recycle(std::uint32_t index);
  void touch(std::uint32_t index);
  Leg& legOf(LegKey const& key) { return requests.at(key.request).legs[key.leg]; }
  RequestState* find(std::uint64_t request);
  ServerState* findServer(ServiceState& service, std::uint64_t id);
  Latencies const& latenciesOf(ServiceState const& service, std::size_t kind) const;

  double freshness(ServerState const& server) const;
  double tokensPerSecond(ServerState const& server) const;
  void refill(ServerState& server) const;
  bool isDown(ServerState const& server) const { return server.downUntil && now < *server.downUntil; }
  bool isCold(ServerState const& server) const { return now < server.coldUntil; }
  bool isLastResort(ServerState const& server) const { return isCold(server) && server.row.coldPerSecond <= 0; }
  std::size_t coldShare(ServerState const& server) const;
  Ms coldGap(ServerState const& server) const;
  ShardView viewOf(ServiceState const& service) const;
  bool mayTake(ServerState const& server, ShardView const& view) const;
  bool isOnTrial(ServerState const& server) const { return server.downUntil || server.quietUntil; }
  double silentMs(ServiceState const& service) const;
  bool isSilent(ServiceState const& service, ServerState const& server) const;
  bool isIdle(ServiceState const& service, ServerState& server, std::size_t spare, ShardView const& view) const;
  bool hasCandidate(ServiceState const& service, retry::Ledger const& ledger) const;
  bool hasReady(ServiceState const& service) const;
  ServerState* chooseIdle(ServiceState& service, retry::Ledger const& ledger, bool repeatable, std::size_t spare);
  double scoreOf(ServiceState const& service, ServerState const& server, bool repeatable) const;
  TimePoint nextIdleAt(ServerState const& server) const;
  void noteAnswer(ServiceState& service, ServerState& server, Returned const& event, double latencyMs,
                  std::size_t kind);
  void noteUnanswered(ServiceState& service, ServerState& server, TimePoint began, bool lost);
  void markDown(ServiceState const& service, ServerState& server);
  bool mayMarkBad(ServiceState const& service, ServerState const& server) const;

  void enqueue(RequestState& request, std::uint32_t leg);
  void dropWaiting(RequestState& request, std::uint32_t leg);
  bool isCrowded(ServiceState& service, Arrive const& event, RequestState const& request);
  bool pushOut(ServiceState& service, TenantState const* only, std::size_t priority);
  double waitMs(ServiceState const& service, std::size_t before) const;
  bool wouldMissAim(RequestState const& request, std::uint32_t leg) const;
  void dispatch(std::uint32_t index);
  void rerun(ServiceState& service);
  TimePoint rerunAt(RequestState const& request, Leg const& leg) const;
  void assign(ServiceState& service, RequestState& request, std::uint32_t leg, ServerState& server, bool extra);
  TenantState& tenantOf(ServiceState& service, std::string const& tenant);
  void leaveTenant(ServiceState& service, TenantState& tenant);
  void widen(ServiceState& service, TenantState& tenant, RequestState const& request, double latencyMs);
  void narrow(ServiceState& service, TenantState& tenant, double latencyMs);

  void closeOthers(RequestState& request, std::uint32_t leg);
  void closeAttempt(RequestState& request, std::uint32_t leg, retry::Attempt const& attempt, bool lost);
  void settle(RequestState& request);
  void finish(RequestState& request, Ending ending, std::string const& reason);
  void refuse(Arrive const& event, std::string const& reason);
  Ms retryAfter(ServiceState const& service) const;
};

}  // namespace limeramp::dispatch
