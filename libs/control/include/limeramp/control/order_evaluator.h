#pragma once

#include "limeramp/control/config_service.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// What an operator's order means on top of one replicated state. A pure function of both: it changes nothing, and the
/// caller decides when its result may be told (see answer_gate.h).
namespace limeramp::control {

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

/// Holds nothing but its options and the schema.
class OrderEvaluator {
 public:
  OrderEvaluator(ConfigServiceOptions const& options, config::ConfigSchema schema);

  /// `epoch` is the one under which the primary would write the next state.
  Evaluation evaluate(Change const& order, messages::State const& state, std::uint64_t epoch) const;

 private:
  Evaluation evaluateZone(ZoneOrder const& order, messages::State const& state) const;
  Evaluation evaluateConfiguration(Change const& change, messages::State const& state, std::uint64_t epoch) const;
  Evaluation evaluateNew(Change const& change, messages::State const& state, std::uint64_t epoch) const;
  std::variant<std::string, Rejection> documentOf(Change const& change, messages::State const& state) const;

  ConfigServiceOptions options_;
  config::ConfigSchema schema_;
};

}  // namespace limeramp::control
