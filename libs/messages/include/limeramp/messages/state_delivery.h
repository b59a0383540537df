#pragma once

#include "limeramp/messages/state.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Messages that bring the state from the primary to every node and the confirmations back.
namespace limeramp::messages {

/// A node and the version of the state that it has in force.
struct Follower {
  static constexpr char const* name = "Follower";
  std::string node;
  std::string address;
  std::string zone;
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
  template <typename V, typename T>
  static void describe(V& visit, T& self) {
    visit("node", self.node);
    visit("address", self.address);
    visit("zone", self.zone);
    visit("epoch", self.epoch);
    visit("sequence", self.sequence);
  }
};

/// Records that `node` runs as the start `boot`. A record of a higher rank overrules those of the same node below it.
struct IncarnationRecord {
  static constexpr char const* name = "Vouch";
  std::string node;
  std::uint64_t boot = 0;
  std::uint64_t rank = 0;
  template <typename V, typename T>
  static void describe(V& visit, T& self) {
    visit("node", self.node);
    visit("boot", self.boot);
    visit("rank", self.rank);
  }
};

/// What a node says of itself beside its version: its start, and whether it is shutting down.
struct PeerStatus {
  static constexpr char const* name = "Bearing";
  std::string node;
  std::uint64_t boot = 0;
  bool draining = false;
  std::vector<IncarnationRecord> incarnations;
  template <typename V, typename T>
  static void describe(V& visit, T& self) {
    visit("node", self.node);
    visit("boot", self.boot);
    visit("leaving", self.draining);
    visit("vouched", self.incarnations);
  }
};

/// A node asks for the newest state and says which it has.
struct StateRequest {
  static constexpr char const* name = "Poll";
  std::uint64_t token = 0;
  Follower self;
  std::vector<Follower> followers;
  std::vector<PeerStatus> peerStatuses;
  bool recover = false;
  /// Absent from nodes that know no StateUpdate; they are sent the whole State in News.
  std::optional<PartVersions> parts;
  /// False: the node asks which version is known, and wants neither the state nor later pushes.
  bool follows = true;
  /// Names the sender's incarnation records; 0 from nodes that always send them all.
  std::uint64_t incarnationsDigest = 0;
  template <typename V, typename T>
  static void describe(V& visit, T& self) {
    visit("token", self.token);
    visit("self", self.self);
    visit("followers", self.followers);
    visit("bearings", self.peerStatuses);
    visit("recover", self.recover);
    visit("parts", self.parts);
    visit("follows", self.follows);
    visit("incarnationsDigest", self.incarnationsDigest);
  }
};

/// Answers a StateRequest, or is pushed with token 0. It names the newest version that the sender knows. `hasAge`: the
/// sender knew that version to be the newest `ageMs` before it sent this.
struct StateResponse {
  static constexpr char const* name = "News";
  std::uint64_t token = 0;
  std::string node;
  bool caughtUp = false;
  bool hasAge = false;
  std::uint64_t ageMs = 0;
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
  std::optional<State> state;
  std::string primaryAddress;
  std::uint64_t boot = 0;
  std::vector<IncarnationRecord> incarnations;
  /// Names the sender's incarnation records; 0 from nodes that always send them all.
  std::uint64_t incarnationsDigest = 0;
  template <typename V, typename T>
  static void describe(V& visit, T& self) {
    visit("token", self.token);
    visit("node", self.node);
    visit("settled", self.caughtUp);
    visit("hasAge", self.hasAge);
    visit("ageMs", self.ageMs);
    visit("epoch", self.epoch);
    visit("sequence", self.sequence);
    visit("state", self.state);
    visit("primaryAddress", self.primaryAddress);
    visit("boot", self.boot);
    visit("vouched", self.incarnations);
    visit("incarnationsDigest", self.incarnationsDigest);
  }
};

/// What turns one roster into another.
struct RosterDifference {
  static constexpr char const* name = "RosterDifference";
  std::vector<std::string> removed;
  std::vector<RosterEntry> put;
  template <typename V, typename T>
  static void describe(V& visit, T& self) {
    visit("removed", self.removed);
    visit("put", self.put);
  }
};

/// Brings a follower to the state that `news` names: the parts it lacks, and nothing that only replicas need.
struct StateUpdate {
  static constexpr char const* name = "StateUpdate";
  StateResponse response;
  std::uint64_t revision = 0;
  std::vector<std::string> evacuatedZones;
  /// The versions of the parts of the new state.
  PartVersions parts;
  /// Absent if the follower named the configuration of the new state.
  std::optional<std::string> document;
  /// The roster that `roster` builds on; 0, 0 is the empty one.
  std::uint64_t rosterBaseEpoch = 0;
  std::uint64_t rosterBaseSequence = 0;
  RosterDifference roster;
  /// From the new roster back to the one before it.
  RosterDifference priorRoster;
  template <typename V, typename T>
  static void describe(V& visit, T& self) {
    visit("news", self.response);
    visit("revision", self.revision);
    visit("evacuatedZones", self.evacuatedZones);
    visit("parts", self.parts);
    visit("document", self.document);
    visit("rosterBaseEpoch", self.rosterBaseEpoch);
    visit("rosterBaseSequence", self.rosterBaseSequence);
    visit("roster", self.roster);
    visit("priorRoster", self.priorRoster);
  }
};

}  // namespace limeramp::messages
