#pragma once

#include "limeramp/retry/verdict.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

/// What has been tried for one subrequest; from it follows what may be tried next.
namespace limeramp::retry {

/// The steady clock of this machine.
using TimePoint = std::chrono::steady_clock::time_point;

/// How far an attempt has come. Only `assigned` ones are still open.
enum class AttemptState { assigned, complete, failed, cancelled };

/// One request to one server. `reached` is false only if it is certain that no byte of it came to the server.
struct Attempt {
  std::uint64_t id = 0;
  std::uint64_t server = 0;
  TimePoint began;
  AttemptState state = AttemptState::assigned;
  Verdict verdict = Verdict::mayHaveRun;
  bool reached = true;
};

/// The attempts of one subrequest, in the order in which they began. Bounded: mayAttemptAgain allows only so many.
/// Not safe for use by several threads.
class AttemptLog {
 public:
  /// Attempts that reached no server, and so cost none, are bounded by this besides.
  static constexpr std::size_t maxUnreached = 4;

  /// A server gets the request now.
  void assign(std::uint64_t attempt, std::uint64_t server, TimePoint now);
  /// Its answer is the one that counts.
  void complete(std::uint64_t attempt);
  /// It brought no usable answer; `verdict` says whether it may have run.
  void fail(std::uint64_t attempt, Verdict verdict, bool reached = true);
  /// Nobody waits for its answer any more; it may have run.
  void cancel(std::uint64_t attempt);

  /// An attempt is under way.
  bool hasOpen() const;
  bool isComplete() const;
  /// That server has had an attempt.
  bool hasTried(std::uint64_t server) const;
  /// Whether another attempt is allowed: fewer than `maxAttempts` reached a server, none is complete, and the request
  /// is idempotent or certainly has not run.
  bool mayAttemptAgain(std::size_t maxAttempts, bool idempotent) const;
  /// Some attempt may have run.
  bool mayHaveRun() const;
  /// Some attempt may have come to a server: a further one is paid from the retry budget.
  bool hasReached() const;
  /// The epoch of the clock if there was no attempt.
  TimePoint lastBegan() const;
  std::vector<Attempt> const& attempts() const { return attempts_; }

 private:
  void close(std::uint64_t attempt, AttemptState state, Verdict verdict, bool reached);

  std::vector<Attempt> attempts_;
};

}  // namespace limeramp::retry
