#include "limeramp/tally/ledger.h"

#include <algorithm>

namespace limeramp::tally {

void Ledger::assign(std::uint64_t attempt, std::string const& server, TimePoint now) {
  attempts_.push_back({attempt, server, now, Phase::assigned, Verdict::mayHaveRun});
}

void Ledger::close(std::uint64_t attempt, Phase phase, Verdict verdict) {
  for (Attempt& entry : attempts_) {
    if (entry.id == attempt && entry.phase == Phase::assigned) {
      entry.phase = phase;
      entry.verdict = verdict;
    }
  }
}

void Ledger::complete(std::uint64_t attempt) { close(attempt, Phase::complete, Verdict::ran); }
void Ledger::fail(std::uint64_t attempt, Verdict verdict) { close(attempt, Phase::failed, verdict); }
void Ledger::cancel(std::uint64_t attempt) { close(attempt, Phase::cancelled, Verdict::mayHaveRun); }

bool Ledger::hasOpen() const {
  return std::any_of(attempts_.begin(), attempts_.end(),
                     [](Attempt const& entry) { return entry.phase == Phase::assigned; });
}

bool Ledger::isComplete() const {
  return std::any_of(attempts_.begin(), attempts_.end(),
                     [](Attempt const& entry) { return entry.phase == Phase::complete; });
}

bool Ledger::hasTried(std::string const& server) const {
  return std::any_of(attempts_.begin(), attempts_.end(),
                     [&](Attempt const& entry) { return entry.server == server; });
}

bool Ledger::mayHaveRun() const {
  return std::any_of(attempts_.begin(), attempts_.end(),
                     [](Attempt const& entry) { return entry.verdict != Verdict::notRun; });
}

bool Ledger::mayAttemptAgain(std::size_t mostAttempts, bool repeatable) const {
  return !isComplete() && attempts_.size() < mostAttempts && (repeatable || !mayHaveRun());
}

TimePoint Ledger::lastBegan() const { return attempts_.empty() ? TimePoint{} : attempts_.back().began; }

void Budget::setDepth(double depth) {
  depth_ = depth;
  left_ = std::min(left_, depth_);
}

void Budget::earn() { left_ = std::min(depth_, left_ + earnedPerArrival); }

bool Budget::spend() {
  if (left_ < 1) {
    return false;
  }
  left_ -= 1;
  return true;
}

}
