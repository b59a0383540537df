#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limeramp::explorer {

/// What the environment can do to a group of state machines in one step.
enum class ActionKind : std::uint8_t {
  deliver,
  duplicate,
  drop,
  sync,
  failWrite,
  tick,
  jump,
  crash,
  restart,
  wipe,
  replace,
  cut,
  heal,
  beginShutdown,
  offer,
  read,
};

/// One step. The subject is the index of a participant or, for deliver, duplicate and drop, of a packet in flight. The
/// detail is the number of unsynced writes that survive a crash, whether a failed write reached the disk nevertheless,
/// the receiving side of a cut link, or the number of an operator.
struct Action {
  ActionKind kind = ActionKind::tick;
  std::uint8_t subject = 0;
  std::uint8_t detail = 0;
  bool operator==(Action const&) const = default;
};

using Trace = std::vector<Action>;

std::string actionText(Action const& action);

/// A trace in one line, as `state_explorer --replay` reads it: "tick:0,deliver:2,crash:1:0".
std::string traceText(Trace const& trace);
std::optional<Trace> parseTrace(std::string_view text);

}  // namespace limeramp::explorer
