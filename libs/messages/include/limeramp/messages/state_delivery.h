#pragma once

#include "limeramp/messages/state.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Messages that deliver the state from the primary to every node and return the nodes' confirmations.
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

/// States that incarnation `boot` of `node` is running. A record of higher rank overrides lower ones of the same node.
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

/// What a node reports of itself besides its version: its incarnation, and whether it is draining.
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

/// Asks for the newest state and reports which one the sender has.
struct StateRequest {
  static constexpr char const* name = "Poll";
  std::uint64_t token = 0;
  Follower self;
  std::vector<Follower> followers;
  std::vector<PeerStatus> peerStatuses;
  bool recover = false;
  /// Absent from nodes that do not know StateUpdate; they are sent the whole State in a StateResponse.
  std::optional<PartVersions> parts;
  /// False: the sender only asks which version is known and wants neither the state nor pushes.
  bool follows = true;
  /// Digest of the sender's incarnation records; 0 from nodes that always send all of them.
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

/// Answers a StateRequest, or is pushed with token 0. Names the newest version that the sender knows. `hasAge`: that
/// version was confirmed as the newest `ageMs` before sending.
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
  /// Digest of the sender's incarnation records; 0 from nodes that always send all of them.
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

/// The difference between two rosters: the nodes removed, and the entries added or changed.
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

/// Brings a follower to the state that `response` names. Holds the parts that the follower lacks, and nothing that only
/// replicas need.
struct StateUpdate {
  static constexpr char const* name = "StateUpdate";
  StateResponse response;
  std::uint64_t revision = 0;
  std::vector<std::string> evacuatedZones;
  /// Versions of the parts of the new state.
  PartVersions parts;
  /// Absent if the follower already has the configuration of the new state.
  std::optional<std::string> document;
  /// Version of the roster that `roster` is a difference to; 0, 0 is the empty one.
  std::uint64_t rosterBaseEpoch = 0;
  std::uint64_t rosterBaseSequence = 0;
  RosterDifference roster;
  /// The difference from the new roster back to the previous one.
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
