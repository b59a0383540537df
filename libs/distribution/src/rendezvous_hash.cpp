#include "limeramp/distribution/rendezvous_hash.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>

namespace limeramp::distribution {

std::vector<std::string> rankByRendezvousHash(std::string const& topic, std::vector<std::string> nodes) {
  std::uint64_t const topicHash = XXH64(topic.data(), topic.size(), 0);
  std::sort(nodes.begin(), nodes.end(), [&](std::string const& left, std::string const& right) {
    std::uint64_t const first = XXH64(left.data(), left.size(), topicHash);
    std::uint64_t const second = XXH64(right.data(), right.size(), topicHash);
    return first != second ? first > second : left < right;
  });
  return nodes;
}

}  // namespace limeramp::distribution
