#pragma once

#include "limeramp/control/config_service.h"

#include <cstdint>
#include <string>
#include <variant>

/// What an operator's order means on top of one replicated state. A pure function of both: it changes nothing, and the
/// caller decides when its result may be told (see answer_gate.h).
namespace limeramp::control {

/// Holds nothing but its options and the schema. May be used by several threads at once, as far as the schema may.
class OrderEvaluator {
 public:
  OrderEvaluator(ConfigServiceOptions const& options, config::ConfigSchema schema);

  /// A change of the configuration. Takes as long as reading the documents takes.
  Evaluation evaluate(EvaluateOrder const& wanted) const;
  /// An order for a zone. Takes no longer than copying the state.
  Evaluation evaluateZone(ZoneOrder const& order, messages::State const& state) const;

 private:
  Evaluation evaluateNew(Change const& change, messages::State const& state, std::uint64_t epoch) const;
  std::variant<std::string, Rejection> documentOf(Change const& change, messages::State const& state) const;

  ConfigServiceOptions options_;
  config::ConfigSchema schema_;
};

}  // namespace limeramp::control
