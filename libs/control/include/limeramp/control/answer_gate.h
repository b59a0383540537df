#pragma once

#include "limeramp/control/config_service.h"
#include "limeramp/messages/state_digest.h"

#include <optional>
#include <vector>

/// Answers that rest on the primary's own state and on nothing that was replicated since the call came: reads,
/// refusals, conflicts. A primary that has been replaced without knowing it would give them from an old state. Each is
/// therefore held back until every backup has confirmed the leadership by answering a heartbeat sent after the call
/// came, which makes it linearizable (the "read index" of other systems). The order of two events on one machine
/// decides, never the length of a time.
namespace limeramp::control {

/// An answer that is held back.
struct PendingAnswer {
  std::uint64_t ticket = 0;
  TimePoint arrivedAt;
  TimePoint deadline;
  /// What to answer; empty for a read, which is answered from the state at its release.
  std::optional<OrderOutcome> decision;
};

/// Holds answers until the leadership is confirmed as of their calls. Not safe for use by several threads.
class AnswerGate {
 public:
  /// Answers that are held back.
  std::size_t size() const { return pending_.size(); }
  void add(PendingAnswer answer) { pending_.push_back(std::move(answer)); }

  /// Takes out the answers of calls that came before the confirmation began.
  std::vector<PendingAnswer> takeConfirmed(std::optional<TimePoint> leadershipConfirmedAt);
  /// Takes out the answers whose deadline has passed.
  std::vector<PendingAnswer> takeExpired(TimePoint now);
  /// Takes out all: the leadership ended.
  std::vector<PendingAnswer> takeAll();

  /// For the model checker.
  void digest(messages::StateDigest& digest) const;

 private:
  std::vector<PendingAnswer> pending_;
};

/// True if a confirmation that began at `leadershipConfirmedAt` covers a call that came at `arrivedAt`.
inline bool confirmedSince(std::optional<TimePoint> leadershipConfirmedAt, TimePoint arrivedAt) {
  return leadershipConfirmedAt && *leadershipConfirmedAt >= arrivedAt;
}

}  // namespace limeramp::control
