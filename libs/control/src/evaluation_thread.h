#pragma once

#include "limeramp/control/order_evaluator.h"
#include "limeramp/net/ring.h"

#include <functional>
#include <thread>

namespace limeramp::control {

/// Evaluates orders on a dedicated thread, so that parsing a large document does not delay heartbeats.
///
/// `evaluate` is called by one thread, and only after `done` was called for the previous order; `done` is called on the
/// dedicated thread.
class EvaluationThread {
 public:
  EvaluationThread(OrderEvaluator evaluator, std::function<void(OrderEvaluated)> done);
  /// Waits until the order under evaluation is done.
  ~EvaluationThread();
  EvaluationThread(EvaluationThread const&) = delete;
  EvaluationThread& operator=(EvaluationThread const&) = delete;

  void evaluate(EvaluateOrder order);

 private:
  void run();

  OrderEvaluator const evaluator_;
  std::function<void(OrderEvaluated)> const done_;
  net::Ring<EvaluateOrder> queue_;
  std::thread thread_;
};

}  // namespace limeramp::control
