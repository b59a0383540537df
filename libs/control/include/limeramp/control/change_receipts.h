#pragma once

#include "limeramp/control/config_service.h"

#include <cstddef>
#include <cstdint>

/// Idempotency keys of the changes that were taken last. They are part of the replicated state, so every later primary
/// recognises the repetition of a change whose answer was lost.
///
/// A receipt holds digests of the change's key and content, never the texts: its size does not depend on what a caller
/// sends. Receipts in the textual form of earlier versions are still recognised. When the oldest receipt is dropped,
/// the state keeps the version and the revision of that change. A change built on an older base may have been taken and
/// forgotten, so it must not be refused as if it had not been.
namespace limeramp::control {

/// `otherContent`: the key was used before for another order.
enum class ReceiptMatch { none, same, otherContent };

/// What the receipts say about an order.
struct ReceiptLookup {
  ReceiptMatch match = ReceiptMatch::none;
  /// The version that the change got, and its revision if it named one.
  config::Version version;
  std::uint64_t revision = 0;
};

/// Looks an order up by its key.
ReceiptLookup findReceipt(messages::State const& state, Change const& change);

/// Notes in `state` that the change was taken as the state's current configuration. Keeps `most` receipts.
void addReceipt(messages::State& state, Change const& change, std::uint64_t revision, std::size_t maximum);

/// May the change have been taken although no receipt of it is left? `revision` is the one that its document names, 0
/// if none. `most` is the number of receipts kept.
bool mayBeForgotten(messages::State const& state, Change const& change, std::uint64_t revision, std::size_t maximum);

}  // namespace limeramp::control
