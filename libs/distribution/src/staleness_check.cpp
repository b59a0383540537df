#include "limeramp/distribution/staleness_check.h"

#include <algorithm>

namespace limeramp::distribution {
namespace {

/// For every so many answers needed, one node more is asked, to make up for nodes that do not answer.
constexpr std::size_t neededPerReserve = 8;

}  // namespace

bool StalenessCheck::askedWithin(TimePoint now, std::string const& node, std::chrono::milliseconds interval) const {
  std::map<std::string, TimePoint>::const_iterator const found = askedAt_.find(node);
  return found != askedAt_.end() && now - found->second < interval;
}

std::size_t StalenessCheck::requestCount(TimePoint now, std::vector<messages::RosterEntry> const& roster,
                                         std::size_t needed, Answered const& answered) const {
  std::size_t const targetCount = needed + needed / neededPerReserve + 1;
  std::size_t const answeredOrPending =
      static_cast<std::size_t>(std::count_if(roster.begin(), roster.end(), [&](messages::RosterEntry const& entry) {
        return entry.node != self_ && (answered(entry.node) || askedWithin(now, entry.node, options_.replyMs));
      }));
  std::size_t const maxBatch = roster.size() / options_.minBatches + 1;
  return std::min(targetCount - std::min(targetCount, answeredOrPending), maxBatch);
}

std::vector<messages::RosterEntry> StalenessCheck::due(TimePoint now, std::vector<messages::RosterEntry> const& roster,
                                                       std::size_t needed, Answered const& answered) {
  std::vector<messages::RosterEntry> out;
  if (now < nextBatchAt_) {
    return out;
  }
  nextBatchAt_ = now + options_.batchIntervalMs;
  std::erase_if(askedAt_, [&](std::pair<std::string const, TimePoint> const& entry) {
    return now - entry.second >= options_.repeatMs;
  });
  std::size_t const count = requestCount(now, roster, needed, answered);
  for (std::size_t step = 0; step < roster.size() && out.size() < count; ++step) {
    messages::RosterEntry const& entry = roster[cursor_++ % roster.size()];
    if (entry.node == self_ || answered(entry.node) || askedAt_.contains(entry.node)) {
      continue;
    }
    askedAt_[entry.node] = now;
    out.push_back(entry);
  }
  return out;
}

}  // namespace limeramp::distribution
