#pragma once

#include "epoch_proposal.h"

#include "limeramp/replication/replication_group.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace limeramp::replication {

/// Reports missing votes to operators: witnesses that cannot vote while an epoch is in force, members that are missing
/// for the tolerated losses, and voters that do not answer while ballots for the next epoch fail.
///
/// It only produces log entries; no step of the group depends on them.
class VoteMonitor {
 public:
  /// Takes the witnesses of the decided epoch that cannot vote now.
  /// @return a log entry if they differ from those that were reported last
  std::optional<LogEntry> witnessesChecked(std::vector<std::string> const& unavailable);

  /// Takes a description of the replicas or witnesses that the group lacks for the tolerated losses; empty if it has
  /// all of them.
  /// @return a log entry if it differs from what was reported last and is not empty
  std::optional<LogEntry> redundancyChecked(std::string const& shortage);

  /// Counts a ballot that got no majority. The first few are normal, since competing proposers preempt one another.
  /// @return at the third lost ballot and every 20th after it, a log entry with the voters that did not grant it
  std::optional<LogEntry> ballotLost(EpochProposal const& proposal, std::uint64_t nextEpoch, std::size_t quorum);

  /// Resets the count of lost ballots.
  void epochDecided() { lostBallots_ = 0; }

 private:
  std::vector<std::string> reportedUnavailable_;
  std::string reportedShortage_;
  /// Ballots of this member that got no majority since the last decided epoch.
  std::size_t lostBallots_ = 0;
};

}  // namespace limeramp::replication
