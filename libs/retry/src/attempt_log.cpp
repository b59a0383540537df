#include "limeramp/retry/attempt_log.h"

#include <algorithm>

namespace limeramp::retry {

void AttemptLog::assign(std::uint64_t attempt, std::uint64_t server, TimePoint now) {
  attempts_.push_back({attempt, server, now, AttemptState::assigned, Verdict::mayHaveRun, true});
}

void AttemptLog::close(std::uint64_t attempt, AttemptState state, Verdict verdict, bool reached) {
  for (Attempt& entry : attempts_) {
    if (entry.id == attempt && entry.state == AttemptState::assigned) {
      entry.state = state;
      entry.verdict = verdict;
      entry.reached = reached;
    }
  }
}

void AttemptLog::complete(std::uint64_t attempt) { close(attempt, AttemptState::complete, Verdict::ran, true); }
void AttemptLog::fail(std::uint64_t attempt, Verdict verdict, bool reached) {
  close(attempt, AttemptState::failed, verdict, reached);
}
void AttemptLog::cancel(std::uint64_t attempt) { close(attempt, AttemptState::cancelled, Verdict::mayHaveRun, true); }

bool AttemptLog::hasOpen() const {
  return std::any_of(attempts_.begin(), attempts_.end(),
                     [](Attempt const& entry) { return entry.state == AttemptState::assigned; });
}

bool AttemptLog::isComplete() const {
  return std::any_of(attempts_.begin(), attempts_.end(),
                     [](Attempt const& entry) { return entry.state == AttemptState::complete; });
}

bool AttemptLog::hasTried(std::uint64_t server) const {
  return std::any_of(attempts_.begin(), attempts_.end(), [&](Attempt const& entry) { return entry.server == server; });
}

bool AttemptLog::mayHaveRun() const {
  return std::any_of(attempts_.begin(), attempts_.end(),
                     [](Attempt const& entry) { return entry.verdict != Verdict::notRun; });
}

bool AttemptLog::hasReached() const {
  return std::any_of(attempts_.begin(), attempts_.end(), [](Attempt const& entry) { return entry.reached; });
}

bool AttemptLog::mayAttemptAgain(std::size_t maxAttempts, bool idempotent) const {
  std::size_t const reached = static_cast<std::size_t>(
      std::count_if(attempts_.begin(), attempts_.end(), [](Attempt const& entry) { return entry.reached; }));
  return !isComplete() && reached < maxAttempts && attempts_.size() - reached <= maxUnreached &&
         (idempotent || !mayHaveRun());
}

TimePoint AttemptLog::lastBegan() const { return attempts_.empty() ? TimePoint{} : attempts_.back().began; }

}  // namespace limeramp::retry
