#pragma once

#include "limeramp/control/config_service.h"
#include "limeramp/distribution/config_delivery.h"
#include "limeramp/messages/state_digest.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// What the primary knows about the nodes that follow it: which version each has confirmed, when it was last heard, and
/// whether the process behind a silent node is proved to have ended. The majority rule of docs/control.md, "When nodes
/// hear nothing", is counted here. Pure bookkeeping: no clock, no socket.
namespace limeramp::control {

using messages::StateVersion;

/// The last report of one node, in a poll of its own or in that of the home of its zone.
struct TrackedNode {
  messages::Follower follower;
  std::uint64_t boot = 0;
  std::uint64_t leftBoot = 0;
  bool draining = false;
  StateVersion confirmed;
  TimePoint lastReceivedAt{};
  bool direct = false;
};

/// What is known about the death of a silent node.
struct DeathProof {
  std::uint64_t token = 0;
  TimePoint probedAt{};
  TimePoint firstGoneAt{};
  TimePoint goneAt{};
  bool removedByOperator = false;
};

class NodeTracker {
 public:
  explicit NodeTracker(ConfigServiceOptions const& options) : options_(options) {}

  /// A leadership begins: what was published before it proves nothing, and silence counts from now.
  void begin(TimePoint now);
  /// The leadership ends: an operator's word that a node is gone held for it alone.
  void end();
  /// A state of this version goes out to the nodes.
  void published(TimePoint now, StateVersion const& version);

  /// Takes in what the sender of a poll knows of incarnations. False if it knows some that are not known here and that
  /// might overrule what the poll confirms.
  bool learnIncarnations(messages::StateRequest const& poll);

  /// Takes in one node's report. False if the node was heard at another address just before.
  bool report(TimePoint now, messages::Follower const& follower, messages::PeerStatus const& status, bool direct);

  /// Has this node reported `wanted` or later, in its present life, under no later epoch than `epoch`?
  bool confirmed(std::string const& node, StateVersion const& wanted, std::uint64_t epoch) const;
  /// Is it proved that whoever confirms in this node's name has started after `wanted` was published?
  bool gone(std::string const& node, StateVersion const& wanted) const;
  /// Gone for long enough to leave the roster.
  bool persistentlyGone(TimePoint now, std::string const& node) const;
  bool isAlive(TimePoint now, std::string const& node) const;
  TimePoint lastReceivedAt(std::string const& node) const;

  bool majorityConfirmed(std::vector<messages::RosterEntry> const& roster, StateVersion const& wanted,
                         std::uint64_t epoch) const;
  bool allConfirmed(std::vector<messages::RosterEntry> const& roster, StateVersion const& wanted,
                    std::uint64_t epoch) const;

  /// The probes of silent nodes that are due.
  std::vector<Probe> probesDue(TimePoint now, std::vector<messages::RosterEntry> const& roster);
  void probed(ProbeFinished const& answer);
  /// The operator's word that a node is gone; it holds until the node is heard again.
  void markRemoved(std::string const& node) { proofs_[node].removedByOperator = true; }
  /// Drops nodes that have not been heard for long.
  void expire(TimePoint now);

  std::map<std::string, TrackedNode> const& nodes() const { return nodes_; }
  TrackedNode const* find(std::string const& node) const;
  distribution::IncarnationRecords const& incarnations() const { return incarnations_; }

  void digest(messages::StateDigest& digest) const;

 private:
  ConfigServiceOptions options_;
  TimePoint activeAt_{};
  std::map<std::string, TrackedNode> nodes_;
  std::map<std::string, DeathProof> proofs_;
  distribution::IncarnationRecords incarnations_;
  std::map<StateVersion, TimePoint> publishings_;
  std::uint64_t lastProbe_ = 0;
};

}  // namespace limeramp::control
