#pragma once

#include "limeramp/retry/verdict.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

/// The attempts of one subrequest, and whether another one is allowed.
namespace limeramp::retry {

/// A time of this machine's steady clock.
using TimePoint = std::chrono::steady_clock::time_point;

/// State of an attempt. Only an `assigned` one is still open.
enum class AttemptState { assigned, complete, failed, cancelled };

/// One request to one server. `reached` is false only if certainly no byte of the request arrived at the server.
struct Attempt {
  std::uint64_t id = 0;
  std::uint64_t server = 0;
  TimePoint began;
  AttemptState state = AttemptState::assigned;
  Verdict verdict = Verdict::mayHaveRun;
  bool reached = true;
};

/// The attempts of one subrequest, in the order in which they began. mayAttemptAgain() bounds their number.
/// Not thread-safe.
class AttemptLog {
 public:
  /// Attempts that reached no server do not count towards `maxAttempts`; once more than this many of them have been
  /// made, no further attempt is allowed.
  static constexpr std::size_t maxUnreached = 4;

  /// Adds an open attempt: the request is sent to `server` at `now`.
  void assign(std::uint64_t attempt, std::uint64_t server, TimePoint now);
  /// The attempt brought the answer that is used. This and the two calls below change only an open attempt.
  void complete(std::uint64_t attempt);
  /// The attempt brought no usable answer; `verdict` says whether the request may have run.
  void fail(std::uint64_t attempt, Verdict verdict, bool reached = true);
  /// The answer of the attempt is no longer awaited; the request may have run.
  void cancel(std::uint64_t attempt);

  /// Whether an attempt is still open.
  bool hasOpen() const;
  bool isComplete() const;
  /// Whether an attempt was sent to this server.
  bool hasTried(std::uint64_t server) const;
  /// Whether another attempt is allowed: no attempt is complete, fewer than `maxAttempts` reached a server, at most
  /// `maxUnreached` reached none, and the request is idempotent or certainly has not run.
  bool mayAttemptAgain(std::size_t maxAttempts, bool idempotent) const;
  /// Whether the request may have run in any attempt.
  bool mayHaveRun() const;
  /// Whether any attempt may have reached a server. If so, a further one is paid from the retry budget.
  bool hasReached() const;
  /// When the last attempt began; the epoch of the clock if there was none.
  TimePoint lastBegan() const;
  std::vector<Attempt> const& attempts() const { return attempts_; }

 private:
  void close(std::uint64_t attempt, AttemptState state, Verdict verdict, bool reached);

  std::vector<Attempt> attempts_;
};

}  // namespace limeramp::retry
