#pragma once

#include "epoch_proposal.h"

#include "limeramp/replication/replication_group.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace limeramp::replication {

/// Tells operators that votes are missing: while all is well otherwise, and while ballots for the next epoch fail.
///
/// It decides nothing: its results are entries for the log, and no step of the group depends on them.
class VoteMonitor {
 public:
  /// The witnesses of the decided epoch that cannot vote now.
  /// @return an entry if they are others than those that were reported last
  std::optional<LogEntry> witnessesChecked(std::vector<std::string> const& unusable);

  /// A ballot has gone without a majority. The first few are ordinary, since rivals delay one another.
  /// @return an entry that names the voters which did not answer, once in a number of ballots
  std::optional<LogEntry> ballotLost(EpochProposal const& proposal, std::uint64_t nextEpoch, std::size_t quorum);

  /// An epoch was decided, so the ballots before it count no longer.
  void epochDecided() { lostBallots_ = 0; }

 private:
  std::vector<std::string> reportedUnusable_;
  /// Ballots of this member without a majority since the last decided epoch.
  std::size_t lostBallots_ = 0;
};

}  // namespace limeramp::replication
