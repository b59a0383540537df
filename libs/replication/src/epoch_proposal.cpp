#include "epoch_proposal.h"

namespace limeramp::replication {

void EpochProposal::prepare(messages::Ballot const& newBallot, TimePoint retry) {
  stage = ProposalStage::preparing;
  ballot = newBallot;
  best.reset();
  bestBallot = {};
  grantedBy.clear();
  retryAt = retry;
}

void EpochProposal::countPrepareResponse(std::string const& from, messages::PrepareResponse const& response) {
  if (response.accepted && (!best || response.acceptedBallot > bestBallot)) {
    best = response.accepted;
    bestBallot = response.acceptedBallot;
  }
  grantedBy.insert(from);
}

void EpochProposal::accept() {
  stage = ProposalStage::accepting;
  grantedBy.clear();
  if (best) {
    record = *best;
  }
}

void EpochProposal::digest(messages::StateDigest& digest) const {
  digest.add(stage);
  if (stage == ProposalStage::none) {
    return;
  }
  digest.add(primary);
  digest.add(backups);
  digest.add(toSync);
  digest.add(syncToken);
  digest.add(sentAt);
  digest.add(ballot);
  digest.add(record);
  digest.add(bestBallot);
  digest.add(best);
  digest.add(voters);
  digest.add(grantedBy);
  digest.add(retryAt);
}

}  // namespace limeramp::replication
