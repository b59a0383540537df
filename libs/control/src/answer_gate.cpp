#include "limeramp/control/answer_gate.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace limeramp::control {
namespace {

std::vector<HeldAnswer> takeIf(std::vector<HeldAnswer>& held, std::function<bool(HeldAnswer const&)> const& wanted) {
  std::vector<HeldAnswer>::iterator const first =
      std::stable_partition(held.begin(), held.end(), [&](HeldAnswer const& answer) { return !wanted(answer); });
  std::vector<HeldAnswer> out(std::make_move_iterator(first), std::make_move_iterator(held.end()));
  held.erase(first, held.end());
  return out;
}

}  // namespace

std::vector<HeldAnswer> AnswerGate::takeConfirmed(std::optional<TimePoint> leadershipConfirmedAt) {
  return takeIf(held_,
                [&](HeldAnswer const& answer) { return confirmedSince(leadershipConfirmedAt, answer.arrivedAt); });
}

std::vector<HeldAnswer> AnswerGate::takeExpired(TimePoint now) {
  return takeIf(held_, [&](HeldAnswer const& answer) { return now >= answer.deadline; });
}

std::vector<HeldAnswer> AnswerGate::takeAll() { return std::exchange(held_, {}); }

void AnswerGate::digest(messages::StateDigest& digest) const {
  digest.add(held_.size());
  for (HeldAnswer const& held : held_) {
    digest.add(held.ticket);
    digest.add(held.arrivedAt);
    digest.add(held.deadline);
    digest.add(held.decision.has_value());
  }
}

}  // namespace limeramp::control
