#pragma once

#include "limeramp/control/config_service.h"
#include "limeramp/messages/state_digest.h"
#include "node_tracker.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

namespace limeramp::control {

/// A committed order that is acknowledged once enough nodes have it in force.
struct PendingAcknowledgement {
  std::uint64_t ticket = 0;
  /// The version of the state that contains the order. Nodes confirm this version or a later one.
  StateVersion stateVersion;
  /// The configuration version given to the caller.
  config::Version version;
  /// When that state was published.
  TimePoint since{};
  TimePoint deadline{};
  /// The time of arrival, set if nothing was replicated for this order: the leadership must then be confirmed as of
  /// this time before the order is acknowledged.
  std::optional<TimePoint> arrivedAt;
};

/// Holds the committed orders that are not yet acknowledged. The configuration service decides whether an order is in
/// force, since it knows the roster and the leadership.
class AcknowledgementTracker {
 public:
  using InForcePredicate = std::function<bool(PendingAcknowledgement const&)>;

  std::size_t size() const { return pending_.size(); }
  void add(PendingAcknowledgement entry) { pending_.push_back(entry); }

  /// Removes and returns the orders that are in force, to be acknowledged.
  std::vector<PendingAcknowledgement> takeInForce(InForcePredicate const& inForce);
  /// Removes and returns the orders whose deadline has passed. Their changes stay in the state; their callers are told
  /// that the outcome is unknown.
  std::vector<PendingAcknowledgement> takeExpired(TimePoint now);
  /// Removes and returns all orders, when the leadership ends.
  std::vector<PendingAcknowledgement> takeAll();

  void digest(messages::StateDigest& digest) const;

 private:
  std::vector<PendingAcknowledgement> pending_;
};

}  // namespace limeramp::control
