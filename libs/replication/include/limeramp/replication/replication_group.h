#pragma once

#include "limeramp/logging/logging.h"
#include "limeramp/messages/messages.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace limeramp::replication {

using TimePoint = std::chrono::steady_clock::time_point;
using Puts = std::vector<std::pair<std::string, std::string>>;

struct ReplicationOptions {
  std::chrono::milliseconds heartbeatMs{250};
  std::chrono::milliseconds idleHeartbeatMs{400};
  std::chrono::milliseconds lostMs{1200};
  std::chrono::milliseconds takeoverMs{1500};
  std::chrono::milliseconds ballotMs{350};
  std::chrono::milliseconds resendMs{200};
  std::chrono::milliseconds repairMs{300};
  std::chrono::milliseconds witnessGoneMs{2000};
  std::chrono::milliseconds spreadMs{5000};
  std::chrono::milliseconds diskSlowMs{1000};
  std::chrono::milliseconds founderStaggerMs{700};
  std::chrono::milliseconds successorStaggerMs{500};
  /// A member that is told to end waits no longer than this for its successors; below the platform's grace time of 6 s.
  std::chrono::milliseconds shutdownGraceMs{5000};
  std::size_t minReplicas = 2;
  std::size_t maxReplicas = 2;
  std::size_t maxWitnesses = 3;
};

ReplicationOptions optionsFor(std::size_t machineLosses);

struct Member {
  std::string id;
  std::string address;
  std::string zone;
};

struct Start {
  Member self;
  std::map<std::string, std::string> stored;
  std::uint64_t seed = 0;
  bool diskless = false;
  std::vector<std::string> founders{};
};
struct KnownMembers {
  std::vector<Member> members;
  bool mayFound = false;
};
struct MessageReceived {
  std::string from;
  std::string address;
  messages::Message message;
};
struct PersistFinished {
  std::uint64_t token = 0;
  bool good = false;
};
struct Proposal {
  std::uint64_t ticket = 0;
  messages::State state;
};
struct Tick {};
struct BeginShutdown {};
struct ForceNewGroup {
  std::string fleet;
  messages::State state;
};

using GroupEvent =
    std::variant<Start, KnownMembers, MessageReceived, PersistFinished, Proposal, Tick, BeginShutdown, ForceNewGroup>;

struct Send {
  std::string to;
  std::string address;
  messages::Message message;
};
struct Persist {
  std::uint64_t token = 0;
  Puts puts;
};
struct Committed {
  std::uint64_t ticket = 0;
  messages::State state;
};
struct OutcomeUnknown {
  std::uint64_t ticket = 0;
};
struct BecamePrimary {
  std::uint64_t epoch = 0;
  messages::State state;
};
struct SteppedDown {};
struct LogEntry {
  logging::Event event;
  std::string about;
};

struct NewGroupForced {
  std::string refusal;
};

using GroupEffect =
    std::variant<Send, Persist, Committed, OutcomeUnknown, BecamePrimary, SteppedDown, NewGroupForced, LogEntry>;

/// How far a member that was told to end (Retire) has come with its leave.
enum class ShutdownProgress {
  /// It was not told to end.
  notRequested,
  /// It is primary or backup, and no decided epoch names another one in its place yet.
  replicaNotReplaced,
  /// It is a witness, another machine is heard that could vote in its place, and no decided epoch says so yet.
  voteNotReplaced,
  /// The epoch without it is decided, but its primary and a majority of its witnesses have not stored it yet.
  epochNotSpread,
  /// Nothing is lost with it: it may end.
  done,
  /// The grace time is over, with the leave incomplete: it ends anyway.
  graceTimeOver,
};

/// The words that the status page shows.
std::string_view nameOf(ShutdownProgress progress);

class ReplicationGroup {
 public:
  explicit ReplicationGroup(ReplicationOptions const& options);
  ~ReplicationGroup();
  ReplicationGroup(ReplicationGroup const&);
  ReplicationGroup(ReplicationGroup&&) noexcept;
  ReplicationGroup& operator=(ReplicationGroup const&);
  ReplicationGroup& operator=(ReplicationGroup&&) noexcept;

  std::vector<GroupEffect> step(TimePoint now, GroupEvent const& event);

  bool active() const;
  bool busy() const;
  bool unhealthy() const;
  /// What a leave still waits for, as of the last step.
  ShutdownProgress shutdownProgress() const;
  /// True once a member that was told to end may do so: its leave is done, or its grace time is over.
  bool mayShutDown() const;
  std::string const& id() const;
  messages::EpochRecord const& decided() const;
  messages::State const& state() const;
  std::uint64_t fenced() const;
  std::optional<TimePoint> leadershipConfirmedAt() const;
  std::string primaryAddress() const;
  std::optional<std::chrono::milliseconds> sinceHeartbeatMs(TimePoint now, std::string const& member) const;

  /// A hash of everything that decides what later steps do, for the model checker. Times count as differences from now;
  /// the random source and the numbers of past disk writes are left out.
  std::uint64_t digest(TimePoint now) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeramp::replication
