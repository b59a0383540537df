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

/// The stages of an epoch change, in their order.
enum class ProposalStage {
  /// No epoch change is in progress.
  none,
  /// The proposer is fenced and chooses the members of the next epoch.
  choosing,
  /// The proposer sends its state to the replicas that it will name and waits until all of them have synced it.
  syncing,
  /// Phase 1 of a ballot: the proposer collects promises from a majority of the witnesses.
  preparing,
  /// Phase 2: the proposer collects acceptances from a majority of the witnesses.
  accepting,
};

/// The proposer of single-decree Paxos: a replica's attempt to have the next epoch decided.
struct EpochProposal {
  ProposalStage stage = ProposalStage::none;
  /// The replicas that this member wants in the next epoch.
  std::string primary;
  std::vector<std::string> backups;
  /// Replicas that have not yet synced the state sent under `syncToken`.
  std::set<std::string> toSync;
  std::uint64_t syncToken = 0;
  TimePoint sentAt{};
  messages::Ballot ballot;
  /// The record that phase 2 asks the witnesses to accept.
  messages::EpochRecord record;
  /// The accepted record of the highest ballot that the promises report.
  messages::Ballot highestAcceptedBallot;
  std::optional<messages::EpochRecord> highestAccepted;
  std::vector<std::string> voters;
  /// Voters that granted the current phase.
  std::set<std::string> grantedBy;
  TimePoint retryAt{};

  /// Begins phase 1 of a new ballot. A ballot without a majority by `retry` is replaced by a higher one.
  void prepare(messages::Ballot const& newBallot, TimePoint retry);
  /// Counts a promise and keeps the accepted record of the highest ballot, which may already have been decided.
  void countPrepareResponse(std::string const& from, messages::PrepareResponse const& response);
  /// Begins phase 2, with the accepted record from the promises if there is one.
  void accept();

  void digest(messages::StateDigest& digest) const;
};

}  // namespace limeramp::replication
