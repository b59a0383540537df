#include "limeramp/control/change_receipts.h"

#include <xxhash.h>

#include <algorithm>
#include <array>

namespace limeramp::control {
namespace {

constexpr std::size_t keyBytes = 16;
constexpr std::size_t digestBytes = 8;

template <std::size_t Bytes>
std::string textOf(unsigned char const (&bytes)[Bytes]) {
  return {reinterpret_cast<char const*>(bytes), Bytes};
}

std::string keyOf(Change const& change) {
  XXH128_canonical_t canonical;
  XXH128_canonicalFromHash(&canonical, XXH3_128bits(change.id.data(), change.id.size()));
  return textOf(canonical.digest);
}

std::string digestOf(Change const& change) {
  XXH64_canonical_t canonical;
  XXH64_canonicalFromHash(&canonical, XXH64(change.body.data(), change.body.size(), change.patch ? 1 : 0));
  return textOf(canonical.digest);
}

/// The digest of the change in the textual receipts of versions before 0.2.
std::string legacyDigestOf(Change const& change) {
  return std::to_string(XXH64(change.body.data(), change.body.size(), 0)) + "/" + std::to_string(change.body.size()) +
         (change.patch ? "/patch" : "/whole");
}

bool isCompact(messages::Receipt const& receipt) {
  return receipt.change.size() == keyBytes && receipt.digest.size() == digestBytes;
}

config::Version versionOf(messages::Receipt const& receipt) { return {receipt.epoch, receipt.sequence}; }

/// The version and revision of the newest change whose receipt was dropped.
struct ForgottenChange {
  config::Version version;
  std::uint64_t revision = 0;
};

ForgottenChange newestForgotten(messages::State const& state, std::size_t maximum) {
  bool const isFullLegacyList =
      state.forgottenEpoch == 0 && state.receipts.size() >= maximum && !isCompact(state.receipts.front());
  if (isFullLegacyList) {
    return {versionOf(state.receipts.front()), state.revision};
  }
  return {{state.forgottenEpoch, state.forgottenSequence}, state.forgottenRevision};
}

void dropOldest(messages::State& state) {
  messages::Receipt const& oldest = state.receipts.front();
  std::uint64_t const revision = isCompact(oldest) ? oldest.revision : state.revision;
  state.forgottenEpoch = oldest.epoch;
  state.forgottenSequence = oldest.sequence;
  state.forgottenRevision = std::max(state.forgottenRevision, revision);
  state.receipts.erase(state.receipts.begin());
}

}  // namespace

ReceiptLookup findReceipt(messages::State const& state, Change const& change) {
  std::string const key = keyOf(change);
  for (messages::Receipt const& receipt : state.receipts) {
    bool const compact = isCompact(receipt);
    if (receipt.change != (compact ? key : change.id)) {
      continue;
    }
    bool const same = receipt.digest == (compact ? digestOf(change) : legacyDigestOf(change));
    return {same ? ReceiptMatch::same : ReceiptMatch::otherContent, versionOf(receipt), receipt.revision};
  }
  return {};
}

void addReceipt(messages::State& state, Change const& change, std::uint64_t revision, std::size_t maximum) {
  state.receipts.push_back(
      {keyOf(change), state.configurationEpoch, state.configurationSequence, digestOf(change), revision});
  while (state.receipts.size() > maximum) {
    dropOldest(state);
  }
}

bool mayBeForgotten(messages::State const& state, Change const& change, std::uint64_t revision, std::size_t maximum) {
  ForgottenChange const forgotten = newestForgotten(state, maximum);
  if (change.base) {
    return *change.base < forgotten.version;
  }
  if (change.baseRevision) {
    return *change.baseRevision < forgotten.revision;
  }
  return revision > 0 && revision <= forgotten.revision;
}

}  // namespace limeramp::control
