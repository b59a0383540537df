#include "limeramp/retry/retry_budget.h"

#include <algorithm>

namespace limeramp::retry {

void RetryBudget::set(double depth, double ratio) {
  depth_ = depth;
  ratio_ = ratio;
  balance_ = std::min(balance_, depth_);
}

void RetryBudget::deposit() { balance_ = std::min(depth_, balance_ + ratio_); }

bool RetryBudget::withdraw() {
  if (balance_ < 1) {
    return false;
  }
  balance_ -= 1;
  return true;
}

}  // namespace limeramp::retry
