#pragma once

#include <cstdint>
#include <string>

/// Randomness from the system.
namespace limeramp::net {

/// Safe to call from any thread.
std::uint64_t randomUint64();

}  // namespace limeramp::net
