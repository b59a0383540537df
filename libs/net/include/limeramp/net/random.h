#pragma once

#include <cstdint>
#include <string>

/// Randomness from the system.
namespace limeramp::net {

/// Returns 64 random bits. May be called from any thread.
std::uint64_t randomUint64();

}  // namespace limeramp::net
