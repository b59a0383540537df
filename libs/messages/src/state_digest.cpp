#include "limeramp/messages/state_digest.h"

#include <xxhash.h>

namespace limeramp::messages {

std::uint64_t StateDigest::finish() const { return XXH3_64bits(bytes_.data(), bytes_.size()); }

}  // namespace limeramp::messages
