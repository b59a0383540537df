#include "limeramp/distribution/staleness_check.h"

#include <algorithm>

namespace limeramp::distribution {
namespace {

/// One node more than needed is asked for each so many, in place of those that do not answer.
constexpr std::size_t neededPerReserve = 8;

}  // namespace

bool StalenessCheck::askedWithin(TimePoint now, std::string const& node, std::chrono::milliseconds time) const {
  std::map<std::string, TimePoint>::const_iterator const found = askedAt_.find(node);
  return found != askedAt_.end() && now - found->second < time;
}

std::size_t StalenessCheck::wanted(TimePoint now, std::vector<messages::RosterEntry> const& roster, std::size_t needed,
                                   Answered const& answered) const {
  std::size_t const goal = needed + needed / neededPerReserve + 1;
  std::size_t const good =
      static_cast<std::size_t>(std::count_if(roster.begin(), roster.end(), [&](messages::RosterEntry const& entry) {
        return entry.node != self_ && (answered(entry.node) || askedWithin(now, entry.node, options_.replyMs));
      }));
  std::size_t const inOneSlice = roster.size() / options_.slices + 1;
  return std::min(goal - std::min(goal, good), inOneSlice);
}

std::vector<messages::RosterEntry> StalenessCheck::due(TimePoint now, std::vector<messages::RosterEntry> const& roster,
                                                       std::size_t needed, Answered const& answered) {
  std::vector<messages::RosterEntry> out;
  if (now < nextAt_) {
    return out;
  }
  nextAt_ = now + options_.sliceMs;
  std::erase_if(askedAt_, [&](std::pair<std::string const, TimePoint> const& entry) {
    return now - entry.second >= options_.againMs;
  });
  std::size_t const wantedCount = wanted(now, roster, needed, answered);
  for (std::size_t step = 0; step < roster.size() && out.size() < wantedCount; ++step) {
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
