#include "state_fetch.h"

namespace limeramp::distribution {

void StateFetch::newerKnown(TimePoint now, std::string const& address) {
  behindSince_ = behindSince_.value_or(now);
  from_ = address;
}

std::optional<std::string> StateFetch::due(TimePoint now, std::chrono::milliseconds patience,
                                           std::chrono::milliseconds interval) {
  if (!behindSince_ || now - *behindSince_ < patience || now < nextAt_) {
    return std::nullopt;
  }
  nextAt_ = now + interval;
  return from_;
}

}  // namespace limeramp::distribution
