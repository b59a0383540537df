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

/// The control group: one member on each controller. The primary replicates the whole state to its backups before a
/// change is acknowledged. Witnesses store only epoch records and decide, by single-decree Paxos for each epoch, who
/// the replicas of the next epoch are. The epoch is also the fencing token: a replica that has fenced its epoch
/// confirms nothing under it. There is no replicated log. docs/control.md describes the protocol and argues its
/// correctness.
namespace limeramp::replication {

/// A time on this machine's steady clock. Times of two machines are never compared.
using TimePoint = std::chrono::steady_clock::time_point;
/// Keys of the record store and the values to write under them.
using Puts = std::vector<std::pair<std::string, std::string>>;

/// Timeouts and sizes of the control group. Timeouts are measured on each member's own steady clock. Safety depends on
/// none of them; they decide only how soon something is tried.
struct ReplicationOptions {
  /// Interval of the primary's heartbeats to its backups (of all heartbeats before the group is founded), and of all
  /// others.
  std::chrono::milliseconds heartbeatMs{250};
  std::chrono::milliseconds idleHeartbeatMs{400};
  /// A member counts as lost after this time without a heartbeat.
  std::chrono::milliseconds lostMs{1200};
  /// The first backup begins to take over after this time without a heartbeat of the primary; each further backup waits
  /// `successorStaggerMs` more.
  std::chrono::milliseconds takeoverMs{1500};
  /// A ballot without a majority is replaced by a higher one after this time plus a random time of up to as much.
  std::chrono::milliseconds ballotMs{350};
  /// Messages without an answer are sent again at this interval.
  std::chrono::milliseconds resendMs{200};
  /// Minimum time between an epoch change and a membership change that repairs a loss.
  std::chrono::milliseconds repairMs{300};
  /// A witness is replaced after this time without a heartbeat.
  std::chrono::milliseconds witnessGoneMs{2000};
  /// Minimum time without an epoch change before members are spread over more zones.
  std::chrono::milliseconds spreadMs{5000};
  /// A disk write that takes this long or longer makes the member unhealthy.
  std::chrono::milliseconds diskSlowMs{1000};
  /// After a failed write a member writes all its records again at this interval until it succeeds.
  std::chrono::milliseconds diskRetryMs{1000};
  /// At the first start the founders try to found the group one after another, in the order of their addresses and at
  /// this interval.
  std::chrono::milliseconds founderStaggerMs{700};
  /// See `takeoverMs`.
  std::chrono::milliseconds successorStaggerMs{500};
  /// A member that is shutting down waits at most this long to be replaced. Below the platform's grace time of 6 s.
  std::chrono::milliseconds shutdownGraceMs{5000};
  /// For this time after its start a member founds no group that would have fewer than `maxWitnesses` witnesses. All
  /// members that run are heard within it, so a smaller group is founded only where there are no more.
  std::chrono::milliseconds foundingWaitMs{5000};
  /// Number of replicas, the primary included. With fewer than the minimum no epoch is proposed and nothing is
  /// committed, also not under a stored epoch; no more than the maximum are chosen. A change is on the disks of all
  /// replicas when it is committed, so one less than the minimum is how many disks may be lost.
  std::size_t minReplicas = 2;
  std::size_t maxReplicas = 2;
  /// Number of witnesses, unless fewer members are known. A majority of the witnesses must keep its disks.
  std::size_t maxWitnesses = 3;
};

/// Options of a group that tolerates the loss of n = `machineLosses` machines at once, with their disks: n + 1 replicas
/// and 2n + 1 witnesses. Needs as many controllers with a disk as witnesses. More than 4 losses count as 4. With 0 the
/// primary alone may commit changes; a second replica and three witnesses are used where they exist.
ReplicationOptions optionsFor(std::size_t machineLosses);

/// A controller. The id belongs to the disk: a controller that starts with an empty disk is another member at the same
/// address.
struct Member {
  std::string id;
  std::string address;
  std::string zone;
};

/// The first event, with the records on the disk. Events before it are ignored.
struct Start {
  Member self;
  std::map<std::string, std::string> stored;
  /// Seed of the member's random source.
  std::uint64_t seed = 0;
  /// The member stores nothing and takes no part in the protocol; it only tracks the decided epoch.
  bool diskless = false;
  /// Addresses of the members that may found the group. All members must be given the same list.
  std::vector<std::string> founders{};
};
/// The controllers that discovery lists now.
struct KnownMembers {
  std::vector<Member> members;
  /// Whether a member without a decided epoch may vote on the first one.
  bool mayFound = false;
};
/// A message from another member.
struct MessageReceived {
  std::string from;
  std::string address;
  messages::Message message;
};
/// The result of a Persist, or of another write to the same disk (token 0). After a failed write (`good` is false) the
/// member steps down and takes no part in the protocol until it has written all its records again.
struct PersistFinished {
  std::uint64_t token = 0;
  bool good = false;
};
/// Asks the primary to replicate this state. One proposal at a time; see busy().
struct Proposal {
  std::uint64_t ticket = 0;
  messages::State state;
};
/// Lets timeouts expire. The caller sends it about every 20 ms.
struct Tick {};
/// The process will end: the member hands over its leadership and its vote.
struct BeginShutdown {};
/// Forces a new group from this state or the member's own, whichever is newer. For operators, once a majority of the
/// witnesses is lost for good.
struct ForceNewGroup {
  std::string fleet;
  messages::State state;
};

/// The input of a step.
using GroupEvent =
    std::variant<Start, KnownMembers, MessageReceived, PersistFinished, Proposal, Tick, BeginShutdown, ForceNewGroup>;

/// Send a message to another member. It may be lost.
struct Send {
  std::string to;
  std::string address;
  messages::Message message;
};
/// Sync these values to the disk, in the order of the tokens, and answer with PersistFinished. After a failed write the
/// store must refuse all further ones until one with `rewrite` has succeeded.
struct Persist {
  std::uint64_t token = 0;
  Puts puts;
  /// Write these values and all that were synced before to a new place, apart from the present one.
  bool rewrite = false;
};
/// The proposal is committed: the disks of the primary and of all backups have synced it.
struct Committed {
  std::uint64_t ticket = 0;
  messages::State state;
};
/// The proposal was not taken, or leadership ended before it was committed. In the second case a later primary's state
/// may contain it or not.
struct OutcomeUnknown {
  std::uint64_t ticket = 0;
};
/// This member is now the active primary; `state` is the newest committed state.
struct BecamePrimary {
  std::uint64_t epoch = 0;
  messages::State state;
};
/// This member is no longer the active primary.
struct SteppedDown {};
/// An event for the log, with its details.
struct LogEntry {
  logging::Event event;
  std::string about;
};

/// The answer to ForceNewGroup. An empty `refusal` means that the new group is in force.
struct NewGroupForced {
  std::string refusal;
};

/// The output of a step, to be carried out by the caller.
using GroupEffect =
    std::variant<Send, Persist, Committed, OutcomeUnknown, BecamePrimary, SteppedDown, NewGroupForced, LogEntry>;

/// How far the shutdown of a member (BeginShutdown) has come.
enum class ShutdownProgress {
  /// BeginShutdown was not received.
  notRequested,
  /// The member is primary or backup, and no decided epoch names another one in its place yet.
  replicaNotReplaced,
  /// The member is a witness, and no decided epoch names another one in its place yet although one is alive.
  voteNotReplaced,
  /// The epoch without the member is decided, but not yet stored by its primary and a majority of its witnesses.
  epochNotSpread,
  /// The group no longer depends on the member: the process may end.
  done,
  /// `ReplicationOptions::shutdownGraceMs` is over before the shutdown was complete: the process ends anyway.
  graceTimeOver,
};

/// The words that the status page shows.
std::string_view nameOf(ShutdownProgress progress);

/// The condition of a member's disk.
enum class DiskCondition {
  /// The member runs without a disk, and therefore neither votes nor replicates.
  none,
  usable,
  /// A write has been pending for at least `ReplicationOptions::diskSlowMs`.
  overdue,
  /// A write failed or the stored records cannot be parsed: the member neither votes nor replicates.
  failed,
};

/// The words that the status page shows.
std::string_view nameOf(DiskCondition condition);

/// One member of the group as a pure state machine: it reads no clock, disk or socket.
///
/// Invariants, provided that disks keep what they have synced and a majority of the last witnesses keeps its disks:
/// each epoch has at most one primary that commits, and every later primary's state contains all committed changes.
/// Copies are independent, for the model checker. Not thread-safe.
class ReplicationGroup {
 public:
  explicit ReplicationGroup(ReplicationOptions const& options);
  ~ReplicationGroup();
  ReplicationGroup(ReplicationGroup const&);
  ReplicationGroup(ReplicationGroup&&) noexcept;
  ReplicationGroup& operator=(ReplicationGroup const&);
  ReplicationGroup& operator=(ReplicationGroup&&) noexcept;

  /// Handles one event. The caller carries out the effects in their order. Effects that depend on a write are returned
  /// by the step that handles its PersistFinished.
  std::vector<GroupEffect> step(TimePoint now, GroupEvent const& event);

  /// Whether this member is the primary and may commit.
  bool active() const;
  /// Whether a proposal is being replicated.
  bool busy() const;
  /// Whether the disk failed or a write is overdue. False for a member without a disk.
  bool unhealthy() const;
  /// The condition of this member's disk.
  DiskCondition diskCondition() const;
  /// Whether a heartbeat of this witness came within `ReplicationOptions::witnessGoneMs` and said that it is neither
  /// unhealthy nor shutting down. For this member itself, whether its disk is healthy.
  bool canVote(TimePoint now, std::string const& witness) const;
  /// What the shutdown still waits for, as of the last step.
  ShutdownProgress shutdownProgress() const;
  /// Whether the process may end: the shutdown is complete or its grace time is over.
  bool mayShutDown() const;
  /// This member's id.
  std::string const& id() const;
  /// The newest epoch that this member knows to be decided; epoch 0 before the group is founded.
  messages::EpochRecord const& decided() const;
  /// The replicated state as this member holds it; its newest change may not be committed.
  messages::State const& state() const;
  /// The highest epoch that this member has fenced.
  std::uint64_t fenced() const;
  /// The time up to which this member was certainly the only active primary; nothing if it does not lead.
  std::optional<TimePoint> leadershipConfirmedAt() const;
  /// The primary's address; empty if it is not known, or if this member is the primary and unhealthy.
  std::string primaryAddress() const;
  /// Time since the last heartbeat of `member`; nothing if none came.
  std::optional<std::chrono::milliseconds> sinceHeartbeatMs(TimePoint now, std::string const& member) const;

  /// A hash of all state that later steps depend on, for the model checker. Times count as differences from `now`; the
  /// random source and the tokens of past disk writes are left out.
  std::uint64_t digest(TimePoint now) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeramp::replication
