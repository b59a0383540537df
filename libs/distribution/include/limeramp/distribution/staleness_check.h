#pragma once

#include "limeramp/messages/messages.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

/// Asking other nodes whether a newer state is known.
namespace limeramp::distribution {

/// The steady clock of this machine.
using TimePoint = std::chrono::steady_clock::time_point;

/// How often and whom a node asks.
struct StalenessCheckOptions {
  /// Questions go out at most once in this time.
  std::chrono::milliseconds sliceMs{112};
  /// A question that has waited longer than this for its answer no longer counts as under way.
  std::chrono::milliseconds replyMs{450};
  /// The same node is asked again at the earliest after this time.
  std::chrono::milliseconds againMs{900};
  /// In one slice at most the whole roster divided by this number is asked.
  std::size_t slices = 4;
};

/// Chooses whom a node without fresh news asks whether anything newer is known.
///
/// A majority of the roster has to answer again and again for as long as the news stays away. With every node of a
/// large fleet in that state the questions are its main load, so no more nodes are asked than the majority needs, with
/// a small reserve for those that do not answer. Each node begins at another place of the roster, so that the questions
/// of all spread evenly.
class StalenessCheck {
 public:
  using Answered = std::function<bool(std::string const& node)>;

  StalenessCheck(StalenessCheckOptions const& options, std::string const& self, std::uint64_t seed)
      : options_(options), self_(self), cursor_(seed) {}

  /// The nodes to ask now. `needed` answers of other nodes are wanted; `answered` says whose last answer is still good.
  std::vector<messages::RosterEntry> due(TimePoint now, std::vector<messages::RosterEntry> const& roster,
                                         std::size_t needed, Answered const& answered);

 private:
  std::size_t wanted(TimePoint now, std::vector<messages::RosterEntry> const& roster, std::size_t needed,
                     Answered const& answered) const;
  bool askedWithin(TimePoint now, std::string const& node, std::chrono::milliseconds time) const;

  StalenessCheckOptions options_;
  std::string self_;
  std::uint64_t cursor_;
  TimePoint nextAt_{};
  std::map<std::string, TimePoint> askedAt_;
};

}  // namespace limeramp::distribution
