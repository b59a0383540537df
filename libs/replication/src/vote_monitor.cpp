#include "vote_monitor.h"

#include "identities.h"

namespace limeramp::replication {
namespace {

/// The number of lost ballots at which the first entry is made, and the number after which it is repeated.
constexpr std::size_t ordinaryLosses = 3;
constexpr std::size_t repeatedAfterLosses = 20;

}  // namespace

std::optional<LogEntry> VoteMonitor::witnessesChecked(std::vector<std::string> const& unusable) {
  if (unusable == reportedUnusable_) {
    return std::nullopt;
  }
  reportedUnusable_ = unusable;
  return unusable.empty() ? LogEntry{logging::Event::votesComplete, ""}
                          : LogEntry{logging::Event::votesMissing, joined(unusable)};
}

std::optional<LogEntry> VoteMonitor::ballotLost(EpochProposal const& proposal, std::uint64_t nextEpoch,
                                                std::size_t quorum) {
  ++lostBallots_;
  if (lostBallots_ < ordinaryLosses || (lostBallots_ - ordinaryLosses) % repeatedAfterLosses != 0) {
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
