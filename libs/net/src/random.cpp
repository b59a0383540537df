#include "limeramp/net/random.h"

#include <cstdio>
#include <random>

namespace limeramp::net {

std::uint64_t randomWord() {
  std::random_device source;
  return (static_cast<std::uint64_t>(source()) << 32) | source();
}

std::string randomName() {
  char name[24];
  std::snprintf(name, sizeof name, "%016llx", static_cast<unsigned long long>(randomWord()));
  return name;
}

}  // namespace limeramp::net
