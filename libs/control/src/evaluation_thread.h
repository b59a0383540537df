#pragma once

#include "limeramp/control/order_evaluator.h"
#include "limeramp/net/ring.h"

#include <functional>
#include <thread>

namespace limeramp::control {

/// Evaluates orders on a thread of its own, so that heartbeats do not wait while long documents are read.
///
/// `evaluate` is called by one thread, and not before the last order was reported; `done` is called by this one's.
class EvaluationThread {
 public:
  EvaluationThread(OrderEvaluator evaluator, std::function<void(OrderEvaluated)> done);
  /// Waits for the order that is being evaluated.
  ~EvaluationThread();
  EvaluationThread(EvaluationThread const&) = delete;
  EvaluationThread& operator=(EvaluationThread const&) = delete;

  void evaluate(EvaluateOrder wanted);

 private:
  void run();

  OrderEvaluator const evaluator_;
  std::function<void(OrderEvaluated)> const done_;
  net::Ring<EvaluateOrder> wanted_;
  std::thread thread_;
};

}  // namespace limeramp::control
