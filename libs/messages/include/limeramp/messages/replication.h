#pragma once

#include "limeramp/messages/state.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Messages between controllers: heartbeats, the Paxos ballots that decide an epoch, and replication of the state.
namespace limeramp::messages {

/// Orders the attempts to decide one epoch: by round, then by proposer, so that no two proposers share a ballot.
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

/// The members of one epoch. Decided once, by a majority of the previous epoch's witnesses; never changed afterwards.
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

/// Paxos phase 1a: asks a witness to promise to take part in no lower ballot for the epoch after `decided`.
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

/// Paxos phase 1b. Granted or not, it carries the promised ballot and the last accepted record with its ballot.
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

/// Paxos phase 2a: asks a witness to accept `record` as the epoch after `decided`.
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

/// Paxos phase 2b. Sent only after the acceptance is synced to the witness's disk.
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

/// Sent by every controller to every other. Feeds the failure detector, confirms leadership (the receiver returns
/// `token` as `echoed`) and spreads later epochs.
struct Heartbeat {
  static constexpr char const* name = "Hail";
  EpochRecord decided;
  std::uint64_t token = 0;
  std::uint64_t echoed = 0;
  bool unhealthy = false;
  std::uint64_t epoch = 0;
  /// The highest epoch whose record the sender has synced to its disk; 0 from versions without this field.
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

/// Sends a replica the state of the primary, or with `fenced` that of a proposer of the next epoch, to sync to its
/// disk.
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

/// Acknowledges a Sync: the state sent under `token` is on the replica's disk.
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

}  // namespace limeramp::messages
