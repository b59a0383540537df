#pragma once

#include "limeramp/messages/messages.h"

#include <cstdint>
#include <optional>

namespace limeramp::replication {

/// The acceptor of single-decree Paxos, with one instance for each epoch. Holds what a member stores about epochs: the
/// last decided record and its vote on the next one.
///
/// Invariants, provided that every change is synced before the answer is sent: the acceptor promises ballots in
/// ascending order, accepts no ballot below its promise, and reports the last record that it accepted with that
/// record's ballot. So a majority of the decided record's witnesses decides at most one next record.
struct Acceptor {
  static constexpr char const* name = "Vote";
  /// The last decided record; epoch 0 before the group is founded.
  messages::EpochRecord decided;
  /// The highest epoch under which this member acknowledges and confirms nothing more. Never decreases.
  std::uint64_t fenced = 0;
  /// The highest ballot promised for the next epoch.
  messages::Ballot promisedBallot;
  /// The last accepted record of the next epoch, and the ballot under which it was accepted.
  messages::Ballot acceptedBallot;
  std::optional<messages::EpochRecord> accepted;

  std::uint64_t nextEpoch() const { return decided.epoch + 1; }
  bool isFenced() const { return decided.epoch > 0 && fenced >= decided.epoch; }
  std::uint64_t highestRound() const;

  /// Phase 1: promises to take part in no lower ballot. A granted answer is sent only after the acceptor is synced.
  messages::PrepareResponse prepare(messages::Ballot const& ballot);
  /// Phase 2: accepts the record unless a higher ballot was promised. A granted answer is sent only after the acceptor
  /// is synced.
  messages::AcceptResponse accept(messages::Ballot const& ballot, messages::EpochRecord const& record);
  /// Adopts a decided record and clears the vote, which now applies to the epoch after it.
  void adopt(messages::EpochRecord const& record);
  /// Fences the decided epoch. It cannot be undone.
  void fence();

  template <typename V, typename T>
  static void describe(V& visit, T& self) {
    visit("decided", self.decided);
    visit("sealed", self.fenced);
    visit("promised", self.promisedBallot);
    visit("acceptedBallot", self.acceptedBallot);
    visit("accepted", self.accepted);
  }
};

}  // namespace limeramp::replication
