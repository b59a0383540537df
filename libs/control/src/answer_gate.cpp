#include "limeramp/control/answer_gate.h"

#include "take_if.h"

#include <utility>

namespace limeramp::control {

std::vector<PendingAnswer> AnswerGate::takeConfirmed(std::optional<TimePoint> leadershipConfirmedAt) {
  return takeIf(pending_,
                [&](PendingAnswer const& answer) { return confirmedSince(leadershipConfirmedAt, answer.arrivedAt); });
}

std::vector<PendingAnswer> AnswerGate::takeExpired(TimePoint now) {
  return takeIf(pending_, [&](PendingAnswer const& answer) { return now >= answer.deadline; });
}

std::vector<PendingAnswer> AnswerGate::takeAll() { return std::exchange(pending_, {}); }

void AnswerGate::digest(messages::StateDigest& digest) const {
  digest.add(pending_.size());
  for (PendingAnswer const& pending : pending_) {
    digest.add(pending.ticket);
    digest.add(pending.arrivedAt);
    digest.add(pending.deadline);
    digest.add(pending.outcome.has_value());
  }
}

}  // namespace limeramp::control
