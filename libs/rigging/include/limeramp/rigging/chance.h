#pragma once

#include <cstdint>
#include <string>

namespace limeramp::rigging {

std::uint64_t randomWord();
std::string randomName();

}
