#include "vote_monitor.h"

#include "identities.h"

namespace limeramp::replication {
namespace {

/// The first entry is made at this number of lost ballots, and repeated after each further `lostBallotsBetweenReports`.
constexpr std::size_t lostBallotsAtFirstReport = 3;
constexpr std::size_t lostBallotsBetweenReports = 20;

}  // namespace

std::optional<LogEntry> VoteMonitor::witnessesChecked(std::vector<std::string> const& unavailable) {
  if (unavailable == reportedUnavailable_) {
    return std::nullopt;
  }
  reportedUnavailable_ = unavailable;
  return unavailable.empty() ? LogEntry{logging::Event::votesComplete, ""}
                             : LogEntry{logging::Event::votesMissing, joined(unavailable)};
}

std::optional<LogEntry> VoteMonitor::redundancyChecked(std::string const& shortage) {
  if (shortage == reportedShortage_) {
    return std::nullopt;
  }
  reportedShortage_ = shortage;
  return shortage.empty() ? std::nullopt : std::optional(LogEntry{logging::Event::redundancyLow, shortage});
}

std::optional<LogEntry> VoteMonitor::ballotLost(EpochProposal const& proposal, std::uint64_t nextEpoch,
                                                std::size_t quorum) {
  ++lostBallots_;
  if (lostBallots_ < lostBallotsAtFirstReport ||
      (lostBallots_ - lostBallotsAtFirstReport) % lostBallotsBetweenReports != 0) {
    return std::nullopt;
  }
  std::vector<std::string> unanswered;
  for (std::string const& voter : proposal.voters) {
    if (!proposal.grantedBy.contains(voter)) {
      unanswered.push_back(voter);
    }
  }
  return LogEntry{logging::Event::epochChangeStalled,
                  std::to_string(nextEpoch) + " votes " + std::to_string(proposal.grantedBy.size()) + " of " +
                      std::to_string(quorum) + " needed, none from " + joined(unanswered)};
}

}  // namespace limeramp::replication
