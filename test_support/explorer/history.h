#pragma once

#include "limeramp/control/config_service.h"
#include "limeramp/messages/messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace limeramp::explorer {

/// What is known of one operator's order over all its calls.
struct OrderOutcome {
  std::uint64_t baseRevision = 0;
  std::size_t calls = 0;
  std::size_t callsNotRun = 0;
  bool refused = false;
  std::optional<config::Version> takenAs;
};

/// A call under way: of an order, or of a read if the order is empty.
struct Call {
  std::string order;
  std::size_t acknowledgedBefore = 0;
};

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

  std::map<std::string, OrderOutcome> orders;
  std::map<std::uint64_t, Call> calls;

  void fail(std::string text);
  /// One record for one epoch.
  void onDecided(std::string const& member, messages::EpochRecord const& record);
  /// A leader begins with every change acknowledged in an earlier epoch.
  void onActive(std::string const& member, std::uint64_t epoch, std::string const& document);
  /// One acknowledger for one epoch, which its record names; one change for one number; none lost, none reordered.
  void onCommitted(std::string const& member, messages::State const& state);
  /// Only the witnesses of an epoch vote on the next.
  void onVote(std::string const& member, bool mayFound, std::uint64_t slot);
  void onCall(std::uint64_t ticket, std::string const& order, std::uint64_t baseRevision);
  void onRead(std::uint64_t ticket);
  /// A repetition has the outcome of the first; nothing is refused that was taken, or taken that was refused; what is
  /// said not to have run is not in force.
  void onAnswer(std::string const& member, control::OrderOutcome const& answer, messages::State const& published);
  /// A read returns at least what was acknowledged before it began, and what it returns stays.
  void onReadBack(std::string const& member, std::uint64_t epoch, control::ConfigurationRead const& answer);
  /// A client has been told that this document is in force: none of it may be lost from now on.
  void noteInForce(std::string const& member, std::uint64_t epoch, std::string const& document);
  /// Every order of this document is in it once, and none was refused.
  void checkOrdersIn(std::string const& document);
  std::uint64_t digest() const;
};

/// The changes of a document, in their order.
std::vector<std::string> changesOf(std::string const& document);

}  // namespace limeramp::explorer
