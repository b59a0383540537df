#include "explorer/action.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace limeramp::explorer {
namespace {

constexpr std::array<char const*, 16> kindNames{"deliver", "duplicate", "drop",    "sync", "fail",    "tick",
                                                "jump",    "crash",     "restart", "wipe", "replace", "cut",
                                                "heal",    "retire",    "offer",   "read"};

std::vector<std::string_view> split(std::string_view text, char separator) {
  std::vector<std::string_view> out;
  while (true) {
    std::size_t const end = text.find(separator);
    out.push_back(text.substr(0, end));
    if (end == std::string_view::npos) {
      return out;
    }
    text.remove_prefix(end + 1);
  }
}

bool parseNumber(std::string_view text, std::uint8_t& out) {
  std::from_chars_result const result = std::from_chars(text.data(), text.data() + text.size(), out);
  return result.ec == std::errc() && result.ptr == text.data() + text.size();
}

std::optional<Action> parseAction(std::string_view text) {
  std::vector<std::string_view> const parts = split(text, ':');
  std::array<char const*, kindNames.size()>::const_iterator const name =
      std::find(kindNames.begin(), kindNames.end(), parts[0]);
  if (name == kindNames.end() || parts.size() > 3) {
    return std::nullopt;
  }
  Action action{static_cast<ActionKind>(name - kindNames.begin())};
  if ((parts.size() > 1 && !parseNumber(parts[1], action.subject)) ||
      (parts.size() > 2 && !parseNumber(parts[2], action.detail))) {
    return std::nullopt;
  }
  return action;
}

}  // namespace

std::string actionText(Action const& action) {
  std::string out = kindNames[static_cast<std::size_t>(action.kind)];
  out += ":" + std::to_string(action.subject);
  return action.detail == 0 ? out : out + ":" + std::to_string(action.detail);
}

std::string traceText(Trace const& trace) {
  std::string out;
  for (Action const& action : trace) {
    out += (out.empty() ? "" : ",") + actionText(action);
  }
  return out;
}

std::optional<Trace> parseTrace(std::string_view text) {
  Trace trace;
  if (text.empty()) {
    return trace;
  }
  for (std::string_view const part : split(text, ',')) {
    std::optional<Action> const action = parseAction(part);
    if (!action) {
      return std::nullopt;
    }
    trace.push_back(*action);
  }
  return trace;
}

}  // namespace limeramp::explorer
