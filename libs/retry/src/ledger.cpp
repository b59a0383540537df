#include "limeramp/retry/ledger.h"

#include <algorithm>

namespace limeramp::retry {

void Ledger::assign(std::uint64_t attempt, std::uint64_t server, TimePoint now) {
  attempts_.push_back({attempt, server, now, Phase::assigned, Verdict::mayHaveRun, true});
}

void Ledger::close(std::uint64_t attempt, Phase phase, Verdict verdict, bool reached) {
  for (Attempt& entry : attempts_) {
    if (entry.id == attempt && entry.phase == Phase::assigned) {
      entry.phase = phase;
      entry.verdict = verdict;
      entry.reached = reached;
    }
  }
}

void Ledger::complete(std::uint64_t attempt) { close(attempt, Phase::complete, Verdict::ran, true); }
void Ledger::fail(std::uint64_t attempt, Verdict verdict, bool reached) {
  close(attempt, Phase::failed, verdict, reached);
}
void Ledger::cancel(std::uint64_t attempt) { close(attempt, Phase::cancelled, Verdict::mayHaveRun, true); }

bool Ledger::hasOpen() const {
  return std::any_of(attempts_.begin(), attempts_.end(),
                     [](Attempt const& entry) { return entry.phase == Phase::assigned; });
}

bool Ledger::isComplete() const {
  return std::any_of(attempts_.begin(), attempts_.end(),
                     [](Attempt const& entry) { return entry.phase == Phase::complete; });
}

bool Ledger::hasTried(std::uint64_t server) const {
  return std::any_of(attempts_.begin(), attempts_.end(), [&](Attempt const& entry) { return entry.server == server; });
}

bool Ledger::mayHaveRun() const {
  return std::any_of(attempts_.begin(), attempts_.end(),
                     [](Attempt const& entry) { return entry.verdict != Verdict::notRun; });
}

bool Ledger::hasReached() const {
  return std::any_of(attempts_.begin(), attempts_.end(), [](Attempt const& entry) { return entry.reached; });
}

bool Ledger::mayAttemptAgain(std::size_t maxAttempts, bool repeatable) const {
  std::size_t const reached = static_cast<std::size_t>(
      std::count_if(attempts_.begin(), attempts_.end(), [](Attempt const& entry) { return entry.reached; }));
  return !isComplete() && reached < maxAttempts && attempts_.size() - reached <= maxUnreached &&
         (repeatable || !mayHaveRun());
}

TimePoint Ledger::lastBegan() const { return attempts_.empty() ? TimePoint{} : attempts_.back().began; }

void Budget::set(double depth, double ratio) {
  depth_ = depth;
  ratio_ = ratio;
  left_ = std::min(left_, depth_);
}

void Budget::earn() { left_ = std::min(depth_, left_ + ratio_); }

bool Budget::spend() {
  if (left_ < 1) {
    return false;
  }
  left_ -= 1;
  return true;
}

}  // namespace limeramp::retry
