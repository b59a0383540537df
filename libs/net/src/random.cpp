#include "limeramp/net/random.h"

#include <random>

namespace limeramp::net {

std::uint64_t randomUint64() {
  std::random_device source;
  return (static_cast<std::uint64_t>(source()) << 32) | source();
}

}  // namespace limeramp::net
