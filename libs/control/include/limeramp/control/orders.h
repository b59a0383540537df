#pragma once

#include "limeramp/config/configuration.h"
#include "limeramp/messages/messages.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// An operator's order and what it comes to.
namespace limeramp::control {

/// The steady clock of this machine.
using TimePoint = std::chrono::steady_clock::time_point;

/// An order that a zone be evacuated, or used again.
struct ZoneOrder {
  std::string zone;
  bool evacuated = false;
};

/// An operator's order. Exactly one of a document, a patch and a zone order.
struct Change {
  std::uint64_t ticket = 0;
  /// The idempotency key: the same at each repetition, at every node. Named by the caller, or derived from the content.
  std::string id;
  /// The version that it must replace, if the caller names one.
  std::optional<config::Version> base;
  bool patch = false;
  std::string body;
  TimePoint deadline;
  std::optional<std::uint64_t> baseRevision{};
  std::optional<ZoneOrder> zone{};
  /// The key was derived from a content that names no base: it does not tell a repetition from a new wish.
  bool keyedByContentOnly = false;
};

/// How an order ended. `taken`, `refused` and `conflict` are definite and linearizable. `notRun`: this call changed
/// nothing and will change nothing. `unknown`: it may have taken effect, or may still do so.
enum class OrderStatus { taken, refused, conflict, notRun, unknown };

/// The order is new and valid here: this state is to be replicated.
struct NewState {
  messages::State next;
};

/// Nothing is left to do: this very change was taken as `version`, or the zone is already as ordered.
struct AlreadyTaken {
  config::Version version;
};

/// The order is not carried out. `conflict` and `refused` say that it never was and is not in force; `unknown` says
/// that the state does not tell any more.
struct Rejection {
  OrderStatus verdict = OrderStatus::refused;
  std::string reason;
  std::vector<config::Problem> problems;
};

/// What is to be done about an order.
using Evaluation = std::variant<NewState, AlreadyTaken, Rejection>;

}  // namespace limeramp::control
