#include "evaluation_thread.h"

#include <optional>
#include <utility>

namespace limeramp::control {
namespace {

/// The configuration service has one order evaluated at a time.
constexpr std::size_t maxWanted = 1;

}  // namespace

EvaluationThread::EvaluationThread(OrderEvaluator evaluator, std::function<void(OrderEvaluated)> done)
    : evaluator_(std::move(evaluator)), done_(std::move(done)), wanted_(maxWanted), thread_([this] { run(); }) {}

EvaluationThread::~EvaluationThread() {
  wanted_.close();
  thread_.join();
}

void EvaluationThread::evaluate(EvaluateOrder wanted) { wanted_.push(std::move(wanted)); }

void EvaluationThread::run() {
  while (std::optional<EvaluateOrder> const wanted = wanted_.pop()) {
    done_({wanted->token, evaluator_.evaluate(*wanted)});
  }
}

}  // namespace limeramp::control
