#pragma once

#include "limeramp/control/config_service.h"
#include "limeramp/messages/state_digest.h"

#include <optional>
#include <vector>

/// Holds back answers that depend on the primary's local state only and replicate nothing: reads, refusals, conflicts.
/// A primary that was replaced without noticing would give them from a stale state. An answer is therefore released
/// only after every backup has confirmed the leadership by answering a heartbeat that was sent after the call arrived,
/// which makes it linearizable (compare Raft's ReadIndex). The rule compares the order of two events on one machine; it
/// does not depend on clock rates or the length of a time-out.
namespace limeramp::control {

/// An answer that waits for the leadership to be confirmed.
struct PendingAnswer {
  std::uint64_t ticket = 0;
  TimePoint arrivedAt;
  TimePoint deadline;
  /// The answer to give. Empty for a read, which is answered from the published state at its release.
  std::optional<OrderOutcome> outcome;
};

/// Holds each answer until a confirmation of the leadership that began after its call arrived. Not safe for use by
/// several threads.
class AnswerGate {
 public:
  /// Number of answers that are held back.
  std::size_t size() const { return pending_.size(); }
  /// Holds an answer back.
  void add(PendingAnswer answer) { pending_.push_back(std::move(answer)); }

  /// Removes and returns the answers whose calls arrived before the confirmation began.
  std::vector<PendingAnswer> takeConfirmed(std::optional<TimePoint> leadershipConfirmedAt);
  /// Removes and returns the answers whose deadline has passed.
  std::vector<PendingAnswer> takeExpired(TimePoint now);
  /// Removes and returns all answers, when the leadership ends.
  std::vector<PendingAnswer> takeAll();

  /// Adds the pending answers to a digest, for the model checker.
  void digest(messages::StateDigest& digest) const;

 private:
  std::vector<PendingAnswer> pending_;
};

/// True if a confirmation that began at `leadershipConfirmedAt` covers a call that arrived at `arrivedAt`.
inline bool confirmedSince(std::optional<TimePoint> leadershipConfirmedAt, TimePoint arrivedAt) {
  return leadershipConfirmedAt && *leadershipConfirmedAt >= arrivedAt;
}

}  // namespace limeramp::control
