#include "state_fetch.h"

namespace limeramp::distribution {

void StateFetch::recordNewer(TimePoint now, std::string const& address) {
  behindSince_ = behindSince_.value_or(now);
  source_ = address;
}

std::optional<std::string> StateFetch::due(TimePoint now, std::chrono::milliseconds delay,
                                           std::chrono::milliseconds interval) {
  if (!behindSince_ || now - *behindSince_ < delay || now < nextRequestAt_) {
    return std::nullopt;
  }
  nextRequestAt_ = now + interval;
  return source_;
}

}  // namespace limeramp::distribution
