#pragma once

#include "limeramp/retry/verdict.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace limeramp::retry {

using TimePoint = std::chrono::steady_clock::time_point;

enum class AttemptState { assigned, complete, failed, cancelled };

struct Attempt {
  std::uint64_t id = 0;
  std::uint64_t server = 0;
  TimePoint began;
  AttemptState state = AttemptState::assigned;
  Verdict verdict = Verdict::mayHaveRun;
  bool reached = true;
};

class AttemptLog {
 public:
  static constexpr std::size_t maxUnreached = 4;

  void assign(std::uint64_t attempt, std::uint64_t server, TimePoint now);
  void complete(std::uint64_t attempt);
  void fail(std::uint64_t attempt, Verdict verdict, bool reached = true);
  void cancel(std::uint64_t attempt);

  bool hasOpen() const;
  bool isComplete() const;
  bool hasTried(std::uint64_t server) const;
  bool mayAttemptAgain(std::size_t maxAttempts, bool idempotent) const;
  bool mayHaveRun() const;
  bool hasReached() const;
  TimePoint lastBegan() const;
  std::vector<Attempt> const& attempts() const { return attempts_; }

 private:
  void close(std::uint64_t attempt, AttemptState state, Verdict verdict, bool reached);

  std::vector<Attempt> attempts_;
};

class RetryBudget {
 public:
  void set(double depth, double ratio);
  void deposit();
  bool withdraw();
  double balance() const { return balance_; }

 private:
  double depth_ = 0;
  double ratio_ = 0;
  double balance_ = 0;
};

}  // namespace limeramp::retry
