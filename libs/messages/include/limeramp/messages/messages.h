#pragma once

#include "limeramp/messages/codec.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace limeramp::messages {

constexpr std::int64_t protocol = 1;

/// Values of Peer::role. Nodes of earlier versions send and expect exactly these words, so they outlive renames in the
/// code.
constexpr char const* gatewayRole = "quay";
constexpr char const* controllerRole = "harbourmaster";

struct Peer {
  static constexpr char const* name = "Peer";
  std::string node;
  std::string address;
  std::string zone;
  std::string role;
  std::uint64_t boot = 0;
  std::uint64_t ageMs = 0;
  template <typename V, typename T>
  static void describe(V& visit, T& self) {
    visit("node", self.node);
    visit("address", self.address);
    visit("zone", self.zone);
    visit("role", self.role);
    visit("boot", self.boot);
    visit("ageMs", self.ageMs);
  }
};

struct Shuffle {
  static constexpr char const* name = "Shuffle";
  bool reply = false;
  std::vector<Peer> peers;
  template <typename V, typename T>
  static void describe(V& visit, T& self) {
    visit("reply", self.reply);
    visit("peers", self.peers);
  }
};

struct Ballot {
  static constexpr char const* name = "Ballot";
  std::uint64_t round = 0;
  std::string by;
  auto operator<=>(Ballot const&) const = default;
  template <typename V, typename T>
  static void describe(V& visit, T& self) {
    visit("round", self.round);
    visit("by", self.by);
  }
};

struct EpochRecord {
  static constexpr char const* name = "EpochRecord";
  std::uint64_t epoch = 0;
  std::string fleet;
  std::string primary;
  std::vector<std::string> backups;
  std::vector<std::string> witnesses;
  bool operator==(EpochRecord const&) const = default;
  template <typename V, typename T>
  static void describe(V& visit, T& self) {
    visit("epoch", self.epoch);
    visit("fleet", self.fleet);
    visit("primary", self.primary);
    if constexpr (requires { V::reads; }) {
      std::string backup;
      visit("backup", backup);
      self.backups.assign(backup.empty() ? 0 : 1, backup);
    }
    visit("witnesses", self.witnesses);
    visit("backups", self.backups);
  }
};

struct Prepare {
  static constexpr char const* name = "Prepare";
  EpochRecord decided;
  Ballot ballot;
  template <typename V, typename T>
  static void describe(V& visit, T& self) {
    visit("decided", self.decided);
    visit("ballot", self.ballot);
  }
};

struct PrepareResponse {
  static constexpr char const* name = "Promise";
  std::uint64_t nextEpoch = 0;
  Ballot ballot;
  bool granted = false;
  Ballot promisedBallot;
  Ballot acceptedBallot;
  std::optional<EpochRecord> accepted;
  template <typename V, typename T>
  static void describe(V& visit, T& self) {
    visit("slot", self.nextEpoch);
    visit("ballot", self.ballot);
    visit("granted", self.granted);
    visit("promised", self.promisedBallot);
    visit("acceptedBallot", self.acceptedBallot);
    visit("accepted", self.accepted);
  }
};

struct Accept {
  static constexpr char const* name = "Accept";
  EpochRecord decided;
  Ballot ballot;
  EpochRecord record;
  template <typename V, typename T>
  static void describe(V& visit, T& self) {
    visit("decided", self.decided);
    visit("ballot", self.ballot);
    visit("record", self.record);
  }
};

struct AcceptResponse {
  static constexpr char const* name = "Accepted";
  std::uint64_t nextEpoch = 0;
  Ballot ballot;
  bool granted = false;
  Ballot promisedBallot;
  template <typename V, typename T>
  static void describe(V& visit, T& self) {
    visit("slot", self.nextEpoch);
    visit("ballot", self.ballot);
    visit("granted", self.granted);
    visit("promised", self.promisedBallot);
  }
};

struct Heartbeat {
  static constexpr char const* name = "Hail";
  EpochRecord decided;
  std::uint64_t token = 0;
  std::uint64_t echoed = 0;
  bool unhealthy = false;
  std::uint64_t epoch = 0;
  /// The highest epoch whose record the sender has synced to its disk; 0 from versions that do not say it.
  std::uint64_t storedEpoch = 0;
  template <typename V, typename T>
  static void describe(V& visit, T& self) {
    visit("decided", self.decided);
    visit("token", self.token);
    visit("echoed", self.echoed);
    visit("ailing", self.unhealthy);
    visit("epoch", self.epoch);
    visit("storedEpoch", self.storedEpoch);
  }
};

struct RosterEntry {
  static constexpr char const* name = "RosterEntry";
  std::string node;
  std::string address;
  std::string zone;
  std::uint64_t slot = 0;
  bool operator==(RosterEntry const&) const = default;
  template <typename V, typename T>
  static void describe(V& visit, T& self) {
    visit("node", self.node);
    visit("address", self.address);
    visit("zone", self.zone);
    visit("slot", self.slot);
  }
};

struct Receipt {
  static constexpr char const* name = "Receipt";
  std::string change;
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
  std::string digest;
  std::uint64_t revision = 0;
  bool operator==(Receipt const&) const = default;
  template <typename V, typename T>
  static void describe(V& visit, T& self) {
    visit("change", self.change);
    visit("epoch", self.epoch);
    visit("sequence", self.sequence);
    visit("digest", self.digest);
    visit("revision", self.revision);
  }
};

/// Orders replicated states: first by the epoch whose primary wrote them, then by their sequence within it. Versions
/// are unique: one primary leads an epoch, and it numbers its changes without gaps.
struct StateVersion {
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
  auto operator<=>(StateVersion const&) const = default;
};

struct State {
  static constexpr char const* name = "State";
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
  std::uint64_t configurationEpoch = 0;
  std::uint64_t configurationSequence = 0;
  std::string document;
  std::vector<RosterEntry> roster;
  std::vector<RosterEntry> priorRoster;
  std::uint64_t rosterEpoch = 0;
  std::uint64_t rosterSequence = 0;
  std::vector<Receipt> receipts;
  std::uint64_t revision = 0;
  std::vector<std::string> evacuatedZones;
  std::uint64_t forgottenEpoch = 0;
  std::uint64_t forgottenSequence = 0;
  std::uint64_t forgottenRevision = 0;
  StateVersion version() const { return {epoch, sequence}; }
  bool operator==(State const&) const = default;
  template <typename V, typename T>
  static void describe(V& visit, T& self) {
    visit("epoch", self.epoch);
    visit("sequence", self.sequence);
    visit("configurationEpoch", self.configurationEpoch);
    visit("configurationSequence", self.configurationSequence);
    visit("document", self.document);
    visit("roster", self.roster);
    visit("priorRoster", self.priorRoster);
    visit("rosterEpoch", self.rosterEpoch);
    visit("rosterSequence", self.rosterSequence);
    visit("receipts", self.receipts);
    visit("revision", self.revision);
    visit("emptiedZones", self.evacuatedZones);
    visit("forgottenEpoch", self.forgottenEpoch);
    visit("forgottenSequence", self.forgottenSequence);
    visit("forgottenRevision", self.forgottenRevision);
  }
};

struct Sync {
  static constexpr char const* name = "Sync";
  EpochRecord decided;
  std::uint64_t token = 0;
  bool fenced = false;
  State state;
  template <typename V, typename T>
  static void describe(V& visit, T& self) {
    visit("decided", self.decided);
    visit("token", self.token);
    visit("sealed", self.fenced);
    visit("state", self.state);
  }
};

struct Synced {
  static constexpr char const* name = "Synced";
  std::uint64_t epoch = 0;
  std::uint64_t token = 0;
  template <typename V, typename T>
  static void describe(V& visit, T& self) {
    visit("epoch", self.epoch);
    visit("token", self.token);
  }
};

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

/// The versions of the parts of a State that change apart from each other.
struct PartVersions {
  static constexpr char const* name = "PartVersions";
  std::uint64_t configurationEpoch = 0;
  std::uint64_t configurationSequence = 0;
  std::uint64_t rosterEpoch = 0;
  std::uint64_t rosterSequence = 0;
  bool operator==(PartVersions const&) const = default;
  template <typename V, typename T>
  static void describe(V& visit, T& self) {
    visit("configurationEpoch", self.configurationEpoch);
    visit("configurationSequence", self.configurationSequence);
    visit("rosterEpoch", self.rosterEpoch);
    visit("rosterSequence", self.rosterSequence);
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

struct TableRow {
  static constexpr char const* name = "TableRow";
  std::string address;
  std::string zone;
  double capacity = 0;
  bool draining = false;
  std::uint64_t slowStartMs = 0;
  std::uint64_t ageMs = 0;
  std::string incarnation{};
  std::uint64_t warmupMs = 0;
  template <typename V, typename T>
  static void describe(V& visit, T& self) {
    visit("address", self.address);
    visit("zone", self.zone);
    visit("capacity", self.capacity);
    visit("leaving", self.draining);
    visit("slowStartMs", self.slowStartMs);
    visit("ageMs", self.ageMs);
    visit("life", self.incarnation);
    visit("coldMs", self.warmupMs);
  }
};

struct Table {
  static constexpr char const* name = "Table";
  std::string service;
  std::uint64_t digest = 0;
  bool complete = false;
  std::vector<TableRow> rows;
  template <typename V, typename T>
  static void describe(V& visit, T& self) {
    visit("service", self.service);
    visit("digest", self.digest);
    visit("whole", self.complete);
    visit("rows", self.rows);
  }
};

struct TableRequest {
  static constexpr char const* name = "TablePoll";
  std::string node;
  std::string address;
  std::vector<Table> have;
  template <typename V, typename T>
  static void describe(V& visit, T& self) {
    visit("node", self.node);
    visit("address", self.address);
    visit("have", self.have);
  }
};

struct TableResponse {
  static constexpr char const* name = "TableNews";
  std::string node;
  std::vector<Table> tables;
  template <typename V, typename T>
  static void describe(V& visit, T& self) {
    visit("node", self.node);
    visit("tables", self.tables);
  }
};

struct HeaderLine {
  static constexpr char const* name = "HeaderLine";
  std::string key;
  std::string value;
  template <typename V, typename T>
  static void describe(V& visit, T& self) {
    visit("key", self.key);
    visit("value", self.value);
  }
};

struct ForwardRequest {
  static constexpr char const* name = "Carry";
  std::uint64_t remainingMs = 0;
  std::string method;
  std::string target;
  std::vector<HeaderLine> headers;
  std::string body;
  template <typename V, typename T>
  static void describe(V& visit, T& self) {
    visit("remainingMs", self.remainingMs);
    visit("method", self.method);
    visit("target", self.target);
    visit("headers", self.headers);
    visit("body", self.body);
  }
};

struct ForwardReply {
  static constexpr char const* name = "Carried";
  std::uint64_t status = 0;
  std::vector<HeaderLine> headers;
  std::string body;
  template <typename V, typename T>
  static void describe(V& visit, T& self) {
    visit("status", self.status);
    visit("headers", self.headers);
    visit("body", self.body);
  }
};

using Message = std::variant<Shuffle, Prepare, PrepareResponse, Accept, AcceptResponse, Heartbeat, Sync, Synced,
                             StateRequest, StateResponse, TableRequest, TableResponse, StateUpdate>;

struct Envelope {
  static constexpr char const* name = "Envelope";
  std::int64_t protocol = messages::protocol;
  std::string fleet;
  std::string from;
  std::string address;
  std::string kind;
  std::string body;
  std::string schema;
  template <typename V, typename T>
  static void describe(V& visit, T& self) {
    visit("protocol", self.protocol);
    visit("fleet", self.fleet);
    visit("from", self.from);
    visit("address", self.address);
    visit("kind", self.kind);
    visit("body", self.body);
    visit("schema", self.schema);
  }
};

struct PeerMessage {
  std::string fleet;
  std::string from;
  std::string address;
  Message message;
};

std::string encodeEnvelope(PeerMessage const& received);
absl::StatusOr<PeerMessage> decodeEnvelope(std::string_view bytes);

}  // namespace limeramp::messages
