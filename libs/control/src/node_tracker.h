#pragma once

#include "limeramp/control/config_service.h"
#include "limeramp/distribution/config_delivery.h"
#include "limeramp/messages/state_digest.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// The primary's view of the nodes that follow it: which version each has confirmed, when it last reported, and whether
/// the process of a node that does not report is proved to have ended. Evaluates the majority rule of docs/control.md,
/// "When nodes hear nothing". Uses no clock and no socket; the caller passes the time.
namespace limeramp::control {

using messages::StateVersion;

/// The last report of one node, in its own poll or in the poll of a peer that reports for it.
struct TrackedNode {
  messages::Follower follower;
  /// Identifies the start of the node's process; 0 if unknown.
  std::uint64_t boot = 0;
  /// The boot that last reported that it is draining. Later relayed reports of it that do not say so are outdated.
  std::uint64_t drainedBoot = 0;
  bool draining = false;
  StateVersion confirmed;
  TimePoint lastReceivedAt{};
  /// The last report came in the node's own poll.
  bool direct = false;
};

/// What probes and operators have told about the end of a node's process.
struct ExitRecord {
  /// The token and the start of the newest probe.
  std::uint64_t token = 0;
  TimePoint probedAt{};
  /// When the first probe since the last report and the newest probe that proved the end of the process were started. A
  /// probe without that proof resets `firstGoneAt`.
  TimePoint firstGoneAt{};
  TimePoint goneAt{};
  bool removedByOperator = false;
};

/// How many nodes of a roster have a state in force, as far as the primary knows.
struct ConfirmationCount {
  std::size_t listed = 0;
  /// Nodes that have confirmed the state.
  std::size_t confirmed = 0;
  /// Other nodes that are proved gone.
  std::size_t gone = 0;
  /// Other nodes that have not reported within `nodeCurrentMs`. No confirmation of the primary that such a node was
  /// given is still valid.
  std::size_t unresponsive = 0;

  /// Nodes that have reported lately or confirmed the state; the primary exchanges messages with them.
  std::size_t inContact() const { return listed - gone - unresponsive; }
  /// True if a majority of the roster has the state in force. True for an empty roster.
  bool byMajority() const { return listed == 0 || 2 * (confirmed + gone) > listed; }
  /// True if a majority of the nodes in contact has confirmed the state. False if there are none.
  bool byMajorityInContact() const { return 2 * confirmed > inContact(); }
  /// The nodes that an acknowledgement leaves out: 0 if a majority of the roster has the state in force.
  std::size_t notAwaited() const { return byMajority() ? 0 : listed - confirmed - gone; }
  /// True if every node in contact has confirmed the state.
  bool byAllInContact() const { return confirmed == inContact(); }
};

/// Tracks the reports and probes of all nodes. Not safe for use by several threads.
class NodeTracker {
 public:
  explicit NodeTracker(ConfigServiceOptions const& options) : options_(options) {}

  /// Called when a leadership begins. Publication times of earlier leaderships are dropped, since they prove nothing,
  /// and the time without reports counts from `now`.
  void leadershipBegan(TimePoint now);
  /// Called when the leadership ends. Operators' statements that a node is gone hold for one leadership only.
  void leadershipEnded();
  /// Records that the state of this version is sent to the nodes.
  void recordPublished(TimePoint now, StateVersion const& version);

  /// Merges the incarnations that the sender of a poll knows. False if the sender knows incarnations that are not known
  /// here and might invalidate what the poll confirms.
  bool learnIncarnations(messages::StateRequest const& poll);

  /// Records one node's report. False if the node reported from another address within `nodeCurrentMs`; the report is
  /// then ignored.
  bool report(TimePoint now, messages::Follower const& follower, messages::PeerStatus const& status, bool direct);

  /// True if the current incarnation of this node has reported `version` or a later one, of no later epoch than
  /// `epoch`.
  bool confirmed(std::string const& node, StateVersion const& version, std::uint64_t epoch) const;
  /// True if any process that confirms under this node's name from now on is known to have started after `version` was
  /// published: a probe that began after the publication proved the node's process to have ended, or an operator stated
  /// that the node is gone.
  bool provedGone(std::string const& node, StateVersion const& version) const;
  /// True if the node has been proved gone for long enough to be removed from the roster.
  bool persistentlyGone(TimePoint now, std::string const& node) const;
  /// True if the node reported within `nodeCurrentMs`.
  bool isAlive(TimePoint now, std::string const& node) const;
  /// True if the node has not reported for longer than `nodeCurrentMs`, counted from the beginning of the leadership at
  /// the earliest.
  bool isUnresponsive(TimePoint now, std::string const& node) const;
  /// The time of the last report, or the beginning of the leadership if that is later.
  TimePoint lastReceivedAt(std::string const& node) const;

  /// Counts the nodes of the roster that have confirmed `version`, in a state of no later epoch than `epoch`, and those
  /// that cannot be expected to.
  ConfirmationCount countConfirmations(TimePoint now, std::vector<messages::RosterEntry> const& roster,
                                       StateVersion const& version, std::uint64_t epoch) const;

  /// Starts and returns the probes that are due of nodes that do not report.
  std::vector<Probe> probesDue(TimePoint now, std::vector<messages::RosterEntry> const& roster);
  /// Records the result of a probe.
  void recordProbe(ProbeFinished const& answer);
  /// Records an operator's statement that a node is gone. It holds until the node reports again, or the leadership
  /// ends.
  void markRemoved(std::string const& node) { exitRecords_[node].removedByOperator = true; }
  /// Drops the records of nodes that have not reported, or not been probed, for twice `rosterForgetMs`.
  void expire(TimePoint now);

  std::map<std::string, TrackedNode> const& nodes() const { return nodes_; }
  TrackedNode const* find(std::string const& node) const;
  distribution::IncarnationRecords const& incarnations() const { return incarnations_; }

  void digest(messages::StateDigest& digest) const;

 private:
  ConfigServiceOptions options_;
  TimePoint leadershipBeganAt_{};
  std::map<std::string, TrackedNode> nodes_;
  std::map<std::string, ExitRecord> exitRecords_;
  distribution::IncarnationRecords incarnations_;
  std::map<StateVersion, TimePoint> publishedAt_;
  std::uint64_t lastProbeToken_ = 0;
};

}  // namespace limeramp::control
