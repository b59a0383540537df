#include "epoch_proposal.h"

namespace limeramp::replication {

void EpochProposal::prepare(messages::Ballot const& newBallot, TimePoint retry) {
  stage = ProposalStage::preparing;
  ballot = newBallot;
  highestAccepted.reset();
  highestAcceptedBallot = {};
  grantedBy.clear();
  retryAt = retry;
}

void EpochProposal::countPrepareResponse(std::string const& from, messages::PrepareResponse const& response) {
  if (response.accepted && (!highestAccepted || response.acceptedBallot > highestAcceptedBallot)) {
    highestAccepted = response.accepted;
    highestAcceptedBallot = response.acceptedBallot;
  }
  grantedBy.insert(from);
}

void EpochProposal::accept() {
  stage = ProposalStage::accepting;
  grantedBy.clear();
  if (highestAccepted) {
    record = *highestAccepted;
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
  digest.add(highestAcceptedBallot);
  digest.add(highestAccepted);
  digest.add(voters);
  digest.add(grantedBy);
  digest.add(retryAt);
}

}  // namespace limeramp::replication
