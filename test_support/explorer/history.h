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

/// The outcome of one operator's order over all its calls.
struct OrderOutcome {
  std::uint64_t baseRevision = 0;
  std::size_t calls = 0;
  std::size_t callsNotRun = 0;
  bool refused = false;
  std::optional<config::Version> takenAs;
};

/// An outstanding call: of an order, or of a read if the order is empty.
struct Call {
  std::string order;
  std::size_t acknowledgedBefore = 0;
};

/// The history of a world as a global observer sees it, and the safety invariants over it. A document is the sequence
/// of all changes in it, so that document A starts with document B if and only if A holds every change of B in the same
/// order. `violation` keeps the first violated invariant.
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
  /// Invariant: each epoch has one record.
  void onDecided(std::string const& member, messages::EpochRecord const& record);
  /// Invariant: a leader begins with every change that was acknowledged in an earlier epoch.
  void onActive(std::string const& member, std::uint64_t epoch, std::string const& document);
  /// Invariants: only the primary that the record of an epoch names acknowledges in that epoch; each version holds one
  /// change; no acknowledged change is lost or reordered.
  void onCommitted(std::string const& member, messages::State const& state);
  /// Invariant: only the witnesses of an epoch vote on the next one.
  void onVote(std::string const& member, bool mayFound, std::uint64_t slot);
  void onCall(std::uint64_t ticket, std::string const& order, std::uint64_t baseRevision);
  void onRead(std::uint64_t ticket);
  /// Invariants: a repeated order has the outcome of its first call; no order is both taken and refused; an order
  /// reported as not run is not in force.
  void onAnswer(std::string const& member, control::OrderOutcome const& answer, messages::State const& published);
  /// Invariant: a read returns every change acknowledged before it began, and what it returns is never lost.
  void onReadBack(std::string const& member, std::uint64_t epoch, control::ConfigurationRead const& answer);
  /// Records that a client was told that this document is in force: none of its changes may be lost from now on.
  void noteInForce(std::string const& member, std::uint64_t epoch, std::string const& document);
  /// Invariant: this document holds each order at most once and none that was refused or has not run.
  void checkOrdersIn(std::string const& document);
  std::uint64_t digest() const;
};

/// Returns the changes of a document in order.
std::vector<std::string> changesOf(std::string const& document);

}  // namespace limeramp::explorer
