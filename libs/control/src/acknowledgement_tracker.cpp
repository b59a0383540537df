#include "acknowledgement_tracker.h"

#include "take_if.h"

#include <utility>

namespace limeramp::control {

std::vector<PendingAcknowledgement> AcknowledgementTracker::takeInForce(InForcePredicate const& inForce) {
  return takeIf(pending_, inForce);
}

std::vector<PendingAcknowledgement> AcknowledgementTracker::takeExpired(TimePoint now) {
  return takeIf(pending_, [now](PendingAcknowledgement const& entry) { return now >= entry.deadline; });
}

std::vector<PendingAcknowledgement> AcknowledgementTracker::takeAll() { return std::exchange(pending_, {}); }

void AcknowledgementTracker::digest(messages::StateDigest& digest) const {
  digest.add(pending_.size());
  for (PendingAcknowledgement const& entry : pending_) {
    digest.add(entry.ticket);
    digest.add(entry.stateVersion.epoch);
    digest.add(entry.stateVersion.sequence);
    digest.add(entry.since);
    digest.add(entry.deadline);
    digest.add(entry.arrivedAt.value_or(TimePoint{}));
  }
}

}  // namespace limeramp::control
