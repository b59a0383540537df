#pragma once

#include "limeramp/config/configuration.h"
#include "limeramp/messages/messages.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Operators' orders, and the results of their evaluation.
namespace limeramp::control {

/// The steady clock of this machine.
using TimePoint = std::chrono::steady_clock::time_point;

/// An order to evacuate a zone (send it no work), or to use it again.
struct ZoneOrder {
  std::string zone;
  bool evacuated = false;
};

/// An operator's order: a whole document, a patch of the current document, or a zone order.
struct Change {
  std::uint64_t ticket = 0;
  /// The idempotency key, equal for all repetitions of an order at all nodes. The caller names it, or it is derived
  /// from the content.
  std::string id;
  /// The version that must be current for the change to be taken, if the caller names one.
  std::optional<config::Version> base;
  bool patch = false;
  std::string body;
  TimePoint deadline;
  /// The revision that must be current for the change to be taken, if the caller names one.
  std::optional<std::uint64_t> baseRevision{};
  std::optional<ZoneOrder> zone{};
  /// True if the key was derived from a content that names no base. Such a key does not distinguish a repetition from a
  /// new order with the same content.
  bool keyedByContentOnly = false;
};

/// The outcome of an order. `taken`, `refused` and `conflict` are definite and linearizable. `notRun`: this call
/// changed nothing and will change nothing. `unknown`: the order may have taken effect, or may still do so.
enum class OrderStatus { taken, refused, conflict, notRun, unknown };

/// The order is new and valid: `next` is the state to replicate.
struct NewState {
  messages::State next;
};

/// Nothing is left to do: this change was already taken as `version`, or the zone is already in the ordered state.
struct AlreadyTaken {
  config::Version version;
};

/// The order is not carried out. `conflict` and `refused` state that it was never taken and is not in force; `unknown`
/// states that the receipts no longer show whether it was taken.
struct Rejection {
  OrderStatus verdict = OrderStatus::refused;
  std::string reason;
  std::vector<config::Problem> problems;
};

/// The result of evaluating an order on one state.
using Evaluation = std::variant<NewState, AlreadyTaken, Rejection>;

}  // namespace limeramp::control
