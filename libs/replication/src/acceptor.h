#pragma once

#include "limeramp/messages/messages.h"

#include <cstdint>
#include <optional>

namespace limeramp::replication {

/// What a member keeps on its disk about epochs: the last decided record, and its vote on the next one. It is the
/// acceptor of single-decree Paxos, with one decision for each epoch.
///
/// Guarantees, as long as every change is synced before its answer is sent: it promises ballots in rising order,
/// accepts nothing below its promise, and reports the record that it accepted last, with that record's ballot. So a
/// majority of the decided record's witnesses decides at most one next record.
struct Acceptor {
  static constexpr char const* name = "Vote";
  messages::EpochRecord decided;
  /// The highest epoch under which this member acknowledges and confirms nothing more.
  std::uint64_t fenced = 0;
  messages::Ballot promisedBallot;
  messages::Ballot acceptedBallot;
  std::optional<messages::EpochRecord> accepted;

  std::uint64_t nextEpoch() const { return decided.epoch + 1; }
  bool isFenced() const { return decided.epoch > 0 && fenced >= decided.epoch; }
  std::uint64_t highestRound() const;

  /// Promises to take part in no lower ballot. Where the answer is granted, sync this before sending it.
  messages::PrepareResponse prepare(messages::Ballot const& ballot);
  /// Accepts the record unless a higher ballot was promised. Where the answer is granted, sync this before sending it.
  messages::AcceptResponse accept(messages::Ballot const& ballot, messages::EpochRecord const& record);
  /// Takes over a record that was decided; the vote on it is settled and a vote on the next one begins.
  void adopt(messages::EpochRecord const& record);
  /// Gives up the decided epoch for good.
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
