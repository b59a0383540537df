#pragma once

#include "limeramp/messages/messages.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace limeramp::explorer {

/// What an observer who sees everything has noted, and the invariants that it checks. A document is the sequence of all
/// changes in it, so "document A starts with document B" reads "every change of B, in the same order, is in A".
/// The first broken invariant is kept in violation.
struct History {
  std::string violation;
  std::string acknowledged;
  std::map<std::uint64_t, messages::EpochRecord> records;
  std::map<std::uint64_t, std::string> acknowledgers;
  std::map<std::uint64_t, std::string> acknowledgedIn;
  std::map<std::uint64_t, std::string> begunWith;
  std::map<std::pair<std::uint64_t, std::uint64_t>, std::string> changes;

  void fail(std::string text);
  /// One record for one epoch.
  void onDecided(std::string const& member, messages::EpochRecord const& record);
  /// A leader begins with every change acknowledged in an earlier epoch.
  void onActive(std::string const& member, std::uint64_t epoch, std::string const& document);
  /// One acknowledger for one epoch, which its record names; one change for one number; none lost, none reordered.
  void onCommitted(std::string const& member, messages::State const& state);
  /// Only the witnesses of an epoch vote on the next.
  void onVote(std::string const& member, bool mayFound, std::uint64_t slot);
  std::uint64_t digest() const;
};

}  // namespace limeramp::explorer
