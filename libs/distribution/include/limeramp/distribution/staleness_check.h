#pragma once

#include "limeramp/messages/messages.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

/// Asks other nodes whether they know a newer state.
namespace limeramp::distribution {

/// A time on the steady clock of this machine.
using TimePoint = std::chrono::steady_clock::time_point;

/// Pace and batch size of the requests.
struct StalenessCheckOptions {
  /// Minimum interval between two batches of requests.
  std::chrono::milliseconds batchIntervalMs{112};
  /// A request that has gone unanswered for longer than this no longer counts as pending.
  std::chrono::milliseconds replyMs{450};
  /// Minimum interval between two requests to the same node.
  std::chrono::milliseconds repeatMs{900};
  /// One batch goes to at most the size of the roster divided by this number, plus one.
  std::size_t minBatches = 4;
};

/// Chooses which nodes to ask for a newer state while the primary does not confirm this node's state.
///
/// Until the primary confirms again, a majority of the roster has to answer over and over. If every node of a large
/// fleet is in this situation, these requests are its main load, so only as many nodes are asked as the majority needs,
/// plus a small reserve for those that do not answer. Each node starts at a different position of the roster, which
/// spreads the requests evenly.
class StalenessCheck {
 public:
  using Answered = std::function<bool(std::string const& node)>;

  StalenessCheck(StalenessCheckOptions const& options, std::string const& self, std::uint64_t seed)
      : options_(options), self_(self), cursor_(seed) {}

  /// The nodes to ask now. `needed` is how many other nodes have to answer; `answered` tells whether a node's last
  /// answer is still valid.
  std::vector<messages::RosterEntry> due(TimePoint now, std::vector<messages::RosterEntry> const& roster,
                                         std::size_t needed, Answered const& answered);

 private:
  std::size_t requestCount(TimePoint now, std::vector<messages::RosterEntry> const& roster, std::size_t needed,
                           Answered const& answered) const;
  bool askedWithin(TimePoint now, std::string const& node, std::chrono::milliseconds interval) const;

  StalenessCheckOptions options_;
  std::string self_;
  std::uint64_t cursor_;
  TimePoint nextBatchAt_{};
  std::map<std::string, TimePoint> askedAt_;
};

}  // namespace limeramp::distribution
