#pragma once

#include "limeramp/retry/verdict.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace limeramp::retry {

using TimePoint = std::chrono::steady_clock::time_point;

enum class Phase { assigned, complete, failed, cancelled };

struct Attempt {
  std::uint64_t id = 0;
  std::uint64_t server = 0;
  TimePoint began;
  Phase phase = Phase::assigned;
  Verdict verdict = Verdict::mayHaveRun;
  bool reached = true;
};

class Ledger {
 public:
  static constexpr std::size_t maxUnreached = 4;

  void assign(std::uint64_t attempt, std::uint64_t server, TimePoint now);
  void complete(std::uint64_t attempt);
  void fail(std::uint64_t attempt, Verdict verdict, bool reached = true);
  void cancel(std::uint64_t attempt);

  bool hasOpen() const;
  bool isComplete() const;
  bool hasTried(std::uint64_t server) const;
  bool mayAttemptAgain(std::size_t maxAttempts, bool repeatable) const;
  bool mayHaveRun() const;
  bool hasReached() const;
  TimePoint lastBegan() const;
  std::vector<Attempt> const& attempts() const { return attempts_; }

 private:
  void close(std::uint64_t attempt, Phase phase, Verdict verdict, bool reached);

  std::vector<Attempt> attempts_;
};

class Budget {
 public:
  void set(double depth, double ratio);
  void earn();
  bool spend();
  double left() const { return left_; }

 private:
  double depth_ = 0;
  double ratio_ = 0;
  double left_ = 0;
};

}  // namespace limeramp::retry
