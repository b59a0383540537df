#pragma once

#include "limeramp/messages/messages.h"
#include "limeramp/messages/state_digest.h"
#include "limeramp/replication/replication_group.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace limeramp::replication {

enum class ProposalStage {
  none,
  /// The proposer is fenced and chooses the members of the next epoch.
  choosing,
  /// It hands its state to the replicas that it will name, and waits until they have synced it.
  syncing,
  /// First phase of a ballot: the witnesses promise.
  preparing,
  /// Second phase: they accept.
  accepting,
};

/// A replica's attempt to have the next epoch decided: the members that it wants, and the ballot under way.
struct EpochProposal {
  ProposalStage stage = ProposalStage::none;
  std::string primary;
  std::vector<std::string> backups;
  std::set<std::string> toSync;
  std::uint64_t syncToken = 0;
  TimePoint sentAt{};
  messages::Ballot ballot;
  messages::EpochRecord record;
  messages::Ballot bestBallot;
  std::optional<messages::EpochRecord> best;
  std::vector<std::string> voters;
  std::set<std::string> grantedBy;
  TimePoint retryAt{};

  /// Begins the first phase of a new ballot.
  void prepare(messages::Ballot const& newBallot, TimePoint retry);
  /// Counts a promise, and keeps the accepted record of the highest ballot: that one may have been decided already.
  void countPrepareResponse(std::string const& from, messages::PrepareResponse const& response);
  /// Begins the second phase, with the record that was found accepted if there is one.
  void accept();

  void digest(messages::StateDigest& digest) const;
};

}  // namespace limeramp::replication
