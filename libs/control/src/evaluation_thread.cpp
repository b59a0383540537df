#include "evaluation_thread.h"

#include <optional>
#include <utility>

namespace limeramp::control {
namespace {

/// The configuration service requests one evaluation at a time.
constexpr std::size_t maxQueuedOrders = 1;

}  // namespace

EvaluationThread::EvaluationThread(OrderEvaluator evaluator, std::function<void(OrderEvaluated)> done)
    : evaluator_(std::move(evaluator)), done_(std::move(done)), queue_(maxQueuedOrders), thread_([this] { run(); }) {}

EvaluationThread::~EvaluationThread() {
  queue_.close();
  thread_.join();
}

void EvaluationThread::evaluate(EvaluateOrder order) { queue_.push(std::move(order)); }

void EvaluationThread::run() {
  while (std::optional<EvaluateOrder> const order = queue_.pop()) {
    done_({order->token, evaluator_.evaluate(*order)});
  }
}

}  // namespace limeramp::control
