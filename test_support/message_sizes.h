#pragma once

#include <xxhash.h>

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <string>

namespace limeramp::test_support {

/// Record `index` of a shard for a request target: stub_server returns it and load_generator expects it.
inline std::string recordOf(std::string const& target, std::string const& shard, std::size_t index) {
  std::uint64_t const seed = XXH64(target.data(), target.size(), XXH64(shard.data(), shard.size(), 0));
  char record[24];
  std::snprintf(record, sizeof record, "%016llx",
                static_cast<unsigned long long>((seed + index * 7919) * 0x9e3779b97f4a7c15ULL));
  return record + std::string("/") + shard;
}

}  // namespace limeramp::test_support
