#pragma once

#include "limeramp/control/config_service.h"
#include "limeramp/messages/state_digest.h"
#include "node_tracker.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

namespace limeramp::control {

/// An order that is carried out, and is acknowledged once enough nodes have it in force.
struct PendingAcknowledgement {
  std::uint64_t ticket = 0;
  /// The state that carries the order; nodes confirm this version or a later one.
  StateVersion stateVersion;
  /// The configuration version that the caller is told.
  config::Version version;
  /// When that state was published.
  TimePoint since{};
  TimePoint deadline{};
  /// Set if nothing was replicated for this order: the leadership must be confirmed as of this time.
  std::optional<TimePoint> arrivedAt;
};

/// Holds the orders that are carried out and not yet acknowledged. When one counts as in force is decided by the
/// configuration service, which knows the roster and the leadership.
class AcknowledgementTracker {
 public:
  using InForce = std::function<bool(PendingAcknowledgement const&)>;

  std::size_t size() const { return pending_.size(); }
  void add(PendingAcknowledgement entry) { pending_.push_back(entry); }

  /// Takes out those that are in force: they are acknowledged.
  std::vector<PendingAcknowledgement> takeInForce(InForce const& inForce);
  /// Takes out those whose deadline has passed: they are kept, and their outcome is unknown to the caller.
  std::vector<PendingAcknowledgement> takeExpired(TimePoint now);
  /// Takes out all: the leadership ended.
  std::vector<PendingAcknowledgement> takeAll();

  void digest(messages::StateDigest& digest) const;

 private:
  std::vector<PendingAcknowledgement> pending_;
};

}  // namespace limeramp::control
