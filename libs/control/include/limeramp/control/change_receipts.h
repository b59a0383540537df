#pragma once

#include "limeramp/control/config_service.h"

#include <cstddef>
#include <cstdint>

/// Idempotency keys of the newest changes. They are part of the replicated state, so every later primary recognises the
/// repetition of a change whose answer was lost.
///
/// A receipt holds digests of the change's key and content, never the texts, so its size does not depend on what a
/// caller sends. Receipts in the textual form of versions before 0.2 are still recognised. When the oldest receipt is
/// dropped, the state keeps the version and the revision of that change: a change on an older base may have been taken
/// without a receipt being left, so it must not be refused as never taken.
namespace limeramp::control {

/// How an order compares with the receipts. `otherContent`: its key was used for an order with another content.
enum class ReceiptMatch { none, same, otherContent };

/// The result of looking up an order among the receipts.
struct ReceiptLookup {
  ReceiptMatch match = ReceiptMatch::none;
  /// The version as which the change was taken, and the revision that it named; 0 if none.
  config::Version version;
  std::uint64_t revision = 0;
};

/// Looks up an order by its key.
ReceiptLookup findReceipt(messages::State const& state, Change const& change);

/// Records in `state` that the change was taken as the state's current configuration. `revision` is the one that its
/// document names, 0 if none. Drops the oldest receipts beyond `maximum`.
void addReceipt(messages::State& state, Change const& change, std::uint64_t revision, std::size_t maximum);

/// True if the change may have been taken although no receipt of it is left. `revision` is the one that its document
/// names, 0 if none. `maximum` is the number of receipts kept.
bool mayBeForgotten(messages::State const& state, Change const& change, std::uint64_t revision, std::size_t maximum);

}  // namespace limeramp::control
