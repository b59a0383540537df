#pragma once

#include <cstdint>
#include <string>

namespace limeramp::net {

std::uint64_t randomWord();

}  // namespace limeramp::net
