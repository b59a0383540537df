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

/// The control group: one member on each controller. A primary replicates the state to its backups before anything is
/// acknowledged; witnesses keep only epochs and decide, by single-decree Paxos for each epoch, who replicates next. An
/// epoch is also the fencing token: a replica that has given its epoch up confirms nothing under it. There is no
/// replicated log. docs/control.md has the protocol and its argument.
namespace limeramp::replication {

/// The steady clock of this machine; no two clocks are compared.
using TimePoint = std::chrono::steady_clock::time_point;
/// Keys of the record store with their new values.
using Puts = std::vector<std::pair<std::string, std::string>>;

/// Times and sizes of the control group. The times count on each member's own steady clock; none of them decides over
/// safety, only over how soon something is tried.
struct ReplicationOptions {
  /// Between heartbeats of primary and backups, and between all others.
  std::chrono::milliseconds heartbeatMs{250};
  std::chrono::milliseconds idleHeartbeatMs{400};
  /// A member counts as lost after this silence.
  std::chrono::milliseconds lostMs{1200};
  /// A backup begins to take over after this silence of the primary; each further one waits `successorStaggerMs` more.
  std::chrono::milliseconds takeoverMs{1500};
  /// A ballot that has no majority after this time, and a random part of it more, is begun again.
  std::chrono::milliseconds ballotMs{350};
  /// Messages that are not answered are sent again.
  std::chrono::milliseconds resendMs{200};
  /// Between two changes of membership that repair a loss.
  std::chrono::milliseconds repairMs{300};
  /// A witness is replaced after this silence.
  std::chrono::milliseconds witnessGoneMs{2000};
  /// Members are spread over more zones after so long a calm.
  std::chrono::milliseconds spreadMs{5000};
  /// A write that takes longer makes the member unhealthy.
  std::chrono::milliseconds diskSlowMs{1000};
  /// A member whose write failed writes all that it keeps anew after this time, and again until it succeeds.
  std::chrono::milliseconds diskRetryMs{1000};
  /// At the first start founders begin one after another, at this interval.
  std::chrono::milliseconds founderStaggerMs{700};
  std::chrono::milliseconds successorStaggerMs{500};
  /// A member that is told to end waits no longer than this for its successors; below the platform's grace time of 6 s.
  std::chrono::milliseconds shutdownGraceMs{5000};
  /// Copies of the state: with fewer, nothing is acknowledged; more than the second number are not made.
  std::size_t minReplicas = 2;
  std::size_t maxReplicas = 2;
  /// Members that vote. A majority of them must keep its disks.
  std::size_t maxWitnesses = 3;
};

/// For a group that bears the loss of so many machines at once: n + 1 replicas, 2n + 1 witnesses, n from 1 to 4.
ReplicationOptions optionsFor(std::size_t machineLosses);

/// A controller. The id belongs to its disk: an empty disk is another member at the same address.
struct Member {
  std::string id;
  std::string address;
  std::string zone;
};

/// The first event: what the disk holds.
struct Start {
  Member self;
  std::map<std::string, std::string> stored;
  std::uint64_t seed = 0;
  /// The member keeps nothing; it only learns who leads.
  bool diskless = false;
  /// Addresses of the members that may found the group, the same at all of them.
  std::vector<std::string> founders{};
};
/// The controllers that discovery knows now.
struct KnownMembers {
  std::vector<Member> members;
  bool mayFound = false;
};
/// A message of another member.
struct MessageReceived {
  std::string from;
  std::string address;
  messages::Message message;
};
/// What came of a Persist, or of another write to the same disk (token 0). Not good: the member steps down and takes no
/// part until it has written all that it keeps anew.
struct PersistFinished {
  std::uint64_t token = 0;
  bool good = false;
};
/// On the primary: replicate this state. One at a time; see busy().
struct Proposal {
  std::uint64_t ticket = 0;
  messages::State state;
};
/// Time has passed. To be sent every 20 ms or so.
struct Tick {};
/// The process will end: hand leadership and vote over.
struct BeginShutdown {};
/// An operator's word that the witnesses' majority is gone for good: begin a group from this state.
struct ForceNewGroup {
  std::string fleet;
  messages::State state;
};

/// All that can happen to a member.
using GroupEvent =
    std::variant<Start, KnownMembers, MessageReceived, PersistFinished, Proposal, Tick, BeginShutdown, ForceNewGroup>;

/// A message for another member. It may be lost.
struct Send {
  std::string to;
  std::string address;
  messages::Message message;
};
/// Sync these values to the disk, in the order of the tokens, and answer with PersistFinished. After a write that
/// failed, all are refused until one with `rewrite` has succeeded.
struct Persist {
  std::uint64_t token = 0;
  Puts puts;
  /// Write these together with all values that were synced before, apart from where those stand.
  bool rewrite = false;
};
/// The proposal is on the disks of the primary and of all backups.
struct Committed {
  std::uint64_t ticket = 0;
  messages::State state;
};
/// The leadership ended before the proposal was committed: a later primary may have it or not.
struct OutcomeUnknown {
  std::uint64_t ticket = 0;
};
/// This member leads; `state` is the newest committed one.
struct BecamePrimary {
  std::uint64_t epoch = 0;
  messages::State state;
};
/// This member leads no longer.
struct SteppedDown {};
/// An event for the log.
struct LogEntry {
  logging::Event event;
  std::string about;
};

/// The answer to ForceNewGroup; an empty refusal means that it was done.
struct NewGroupForced {
  std::string refusal;
};

/// All that a step can ask for.
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

/// What a member knows of its own disk.
enum class DiskCondition {
  /// It keeps nothing, and therefore neither votes nor replicates.
  none,
  usable,
  /// A write takes longer than `ReplicationOptions::diskSlowMs`.
  overdue,
  /// A write failed: the member neither votes nor replicates.
  failed,
};

/// The words that the status page shows.
std::string_view nameOf(DiskCondition condition);

/// One member, as a pure state machine: it reads no clock, disk or socket.
///
/// Guarantees, as long as disks keep what they have synced and a majority of the last witnesses keeps its disks: of one
/// epoch there is at most one primary that commits; what was committed is part of every later primary's state. Copies
/// are independent, for the model checker. Not safe for use by several threads.
class ReplicationGroup {
 public:
  explicit ReplicationGroup(ReplicationOptions const& options);
  ~ReplicationGroup();
  ReplicationGroup(ReplicationGroup const&);
  ReplicationGroup(ReplicationGroup&&) noexcept;
  ReplicationGroup& operator=(ReplicationGroup const&);
  ReplicationGroup& operator=(ReplicationGroup&&) noexcept;

  /// Takes one event. Effects are carried out in their order; what depends on the disk comes after PersistFinished.
  std::vector<GroupEffect> step(TimePoint now, GroupEvent const& event);

  /// Whether this member is the primary and may commit.
  bool active() const;
  /// Whether a proposal is under way.
  bool busy() const;
  /// Whether the disk failed or hangs.
  bool unhealthy() const;
  DiskCondition diskCondition() const;
  /// Whether this witness was heard lately and says that it is neither unhealthy nor leaving.
  bool canVote(TimePoint now, std::string const& witness) const;
  /// What a leave still waits for, as of the last step.
  ShutdownProgress shutdownProgress() const;
  /// True once a member that was told to end may do so: its leave is done, or its grace time is over.
  bool mayShutDown() const;
  std::string const& id() const;
  /// The newest epoch that this member knows to be decided; epoch 0 before the group is founded.
  messages::EpochRecord const& decided() const;
  messages::State const& state() const;
  /// The highest epoch that this member has given up.
  std::uint64_t fenced() const;
  /// Up to this moment this member was certainly the only primary.
  std::optional<TimePoint> leadershipConfirmedAt() const;
  /// Where the primary is reached; empty if it is not known.
  std::string primaryAddress() const;
  /// Since the member's last heartbeat; nothing if none came.
  std::optional<std::chrono::milliseconds> sinceHeartbeatMs(TimePoint now, std::string const& member) const;

  /// A hash of everything that decides what later steps do, for the model checker. Times count as differences from now;
  /// the random source and the numbers of past disk writes are left out.
  std::uint64_t digest(TimePoint now) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeramp::replication
