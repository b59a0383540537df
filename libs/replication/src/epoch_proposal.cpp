#include "epoch_proposal.h"

namespace limeramp::replication {

void EpochProposal::prepare(messages::Ballot const& newBallot, TimePoint retry) {
  stage = ProposalStage::preparing;
  ballot = newBallot;
  best.reset();
  bestBallot = {};
  yes.clear();
  retryAt = retry;
}

void EpochProposal::countPromise(std::string const& from, messages::PrepareResponse const& promise) {
  if (promise.accepted && (!best || promise.acceptedBallot > bestBallot)) {
    best = promise.accepted;
    bestBallot = promise.acceptedBallot;
  }
  yes.insert(from);
}

void EpochProposal::accept() {
  stage = ProposalStage::accepting;
  yes.clear();
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
  digest.add(yes);
  digest.add(retryAt);
}

}  // namespace limeramp::replication
