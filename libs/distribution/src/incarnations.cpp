#include "limeramp/distribution/incarnations.h"

#include <xxhash.h>

namespace limeramp::distribution {
namespace {

constexpr std::size_t maxRecords = 2000;

}

void IncarnationRecords::merge(std::vector<messages::IncarnationRecord> const& received) {
  bool changed = false;
  for (messages::IncarnationRecord const& incarnation : received) {
    if (records_.size() >= maxRecords && !records_.contains(incarnation.node)) {
      continue;
    }
    messages::IncarnationRecord& entry = records_[incarnation.node];
    if (incarnation.rank > entry.rank) {
      entry = incarnation;
      changed = true;
    } else if (incarnation.rank == entry.rank && incarnation.boot != entry.boot && entry.boot != 0) {
      entry.boot = 0;
      changed = true;
    }
  }
  if (changed) {
    refreshDigest();
  }
}

bool IncarnationRecords::learn(std::uint64_t senderDigest, std::vector<messages::IncarnationRecord> const& received) {
  bool const sentInFull = senderDigest == 0 || senderDigest == emptyDigest || !received.empty();
  bool const known = sentInFull || senderDigest == digest_;
  merge(received);
  return known;
}

void IncarnationRecords::record(std::string const& node, std::uint64_t boot) {
  messages::IncarnationRecord& entry = records_[node];
  if (entry.boot != boot || entry.rank == 0) {
    entry = {node, boot, entry.rank + 1};
    refreshDigest();
  }
}

bool IncarnationRecords::trusts(std::string const& node, std::uint64_t boot) const {
  std::map<std::string, messages::IncarnationRecord>::const_iterator const found = records_.find(node);
  return found == records_.end() || found->second.boot == boot;
}

bool IncarnationRecords::holds(std::string const& node, std::uint64_t boot) const {
  std::map<std::string, messages::IncarnationRecord>::const_iterator const found = records_.find(node);
  return found != records_.end() && found->second.boot == boot;
}

std::vector<messages::IncarnationRecord> IncarnationRecords::list() const {
  std::vector<messages::IncarnationRecord> out;
  out.reserve(records_.size());
  for (std::pair<std::string const, messages::IncarnationRecord> const& entry : records_) {
    out.push_back(entry.second);
  }
  return out;
}

void IncarnationRecords::refreshDigest() {
  std::uint64_t digest = emptyDigest;
  for (std::pair<std::string const, messages::IncarnationRecord> const& entry : records_) {
    std::string const bytes = messages::pack(entry.second);
    digest = XXH64(bytes.data(), bytes.size(), digest);
  }
  digest_ = digest == 0 ? emptyDigest + 1 : digest;
}

}  // namespace limeramp::distribution
