#pragma once

#include <cstdint>
#include <string>

namespace limeramp::net {

std::uint64_t randomUint64();

}  // namespace limeramp::net
