#pragma once

#include "limeramp/control/config_service.h"

#include <cstdint>
#include <string>
#include <variant>

/// Evaluates an operator's order against one replicated state. A pure function of both, without side effects. The
/// caller decides when the result may be given to the operator (see answer_gate.h).
namespace limeramp::control {

/// Stateless apart from its options and the schema. Safe for concurrent use if the schema is.
class OrderEvaluator {
 public:
  OrderEvaluator(ConfigServiceOptions const& options, config::ConfigSchema schema);

  /// Evaluates a change of the configuration. Parses whole documents, so it can take long.
  Evaluation evaluate(EvaluateOrder const& request) const;
  /// Evaluates an order for a zone. Takes no longer than copying the state.
  Evaluation evaluateZone(ZoneOrder const& order, messages::State const& state) const;

 private:
  Evaluation evaluateNew(Change const& change, messages::State const& state, std::uint64_t epoch) const;
  std::variant<std::string, Rejection> resultingDocument(Change const& change, messages::State const& state) const;

  ConfigServiceOptions options_;
  config::ConfigSchema schema_;
};

}  // namespace limeramp::control
