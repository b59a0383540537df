#include "acceptor.h"

#include <algorithm>

namespace limeramp::replication {

std::uint64_t Acceptor::highestRound() const { return std::max(promisedBallot.round, acceptedBallot.round); }

messages::PrepareResponse Acceptor::prepare(messages::Ballot const& ballot) {
  messages::PrepareResponse answer{nextEpoch(),    ballot,         ballot >= promisedBallot,
                                   promisedBallot, acceptedBallot, accepted};
  promisedBallot = std::max(promisedBallot, ballot);
  return answer;
}

messages::AcceptResponse Acceptor::accept(messages::Ballot const& ballot, messages::EpochRecord const& record) {
  messages::AcceptResponse answer{nextEpoch(), ballot, ballot >= promisedBallot, promisedBallot};
  if (answer.granted) {
    promisedBallot = ballot;
    acceptedBallot = ballot;
    accepted = record;
  }
  return answer;
}

void Acceptor::adopt(messages::EpochRecord const& record) {
  decided = record;
  promisedBallot = {};
  acceptedBallot = {};
  accepted.reset();
}

void Acceptor::fence() { fenced = std::max(fenced, decided.epoch); }

}  // namespace limeramp::replication
