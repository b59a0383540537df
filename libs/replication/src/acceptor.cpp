#include "acceptor.h"

#include <algorithm>

namespace limeramp::replication {

std::uint64_t Acceptor::highestRound() const { return std::max(promised.round, acceptedBallot.round); }

messages::Promise Acceptor::promise(messages::Ballot const& ballot) {
  messages::Promise answer{nextEpoch(), ballot, ballot >= promised, promised, acceptedBallot, accepted};
  promised = std::max(promised, ballot);
  return answer;
}

messages::Accepted Acceptor::accept(messages::Ballot const& ballot, messages::EpochRecord const& record) {
  messages::Accepted answer{nextEpoch(), ballot, ballot >= promised, promised};
  if (answer.granted) {
    promised = ballot;
    acceptedBallot = ballot;
    accepted = record;
  }
  return answer;
}

void Acceptor::adopt(messages::EpochRecord const& record) {
  decided = record;
  promised = {};
  acceptedBallot = {};
  accepted.reset();
}

void Acceptor::fence() { fenced = std::max(fenced, decided.epoch); }

}  // namespace limeramp::replication
