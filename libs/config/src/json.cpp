#include "limeramp/config/json.h"

#include <cmath>
#include <map>

namespace limeramp::config {
namespace {

/// Counts the parsed values against the bounds and keeps the reason of the first violation.
struct ParseState {
  JsonBounds bounds;
  std::size_t items = 0;
  std::string reason;

  bool countValue(std::size_t depth) {
    if (depth > bounds.maxDepth) {
      reason = "nested deeper than " + std::to_string(bounds.maxDepth);
      return false;
    }
    if (++items > bounds.maxItems) {
      reason = "more than " + std::to_string(bounds.maxItems) + " values";
      return false;
    }
    return true;
  }
};

/// Parse context for picojson that refuses duplicate keys, numbers that are not finite and what exceeds the bounds.
class StrictContext {
 public:
  StrictContext(picojson::value& out, ParseState& state, std::size_t depth, std::string path)
      : out_(out), state_(state), depth_(depth), path_(std::move(path)) {}

  bool set_null() {
    out_ = picojson::value();
    return state_.countValue(depth_);
  }
  bool set_bool(bool value) {
    out_ = picojson::value(value);
    return state_.countValue(depth_);
  }
  bool set_number(double value) {
    if (!std::isfinite(value)) {
      state_.reason = path_ + ": number out of range";
      return false;
    }
    out_ = picojson::value(value);
    return state_.countValue(depth_);
  }
  template <typename Iter>
  bool parse_string(picojson::input<Iter>& in) {
    out_ = picojson::value(picojson::string_type, false);
    return state_.countValue(depth_) && picojson::_parse_string(out_.get<std::string>(), in);
  }
  bool parse_array_start() {
    out_ = picojson::value(picojson::array_type, false);
    return state_.countValue(depth_);
  }
  template <typename Iter>
  bool parse_array_item(picojson::input<Iter>& in, std::size_t index) {
    picojson::array& items = out_.get<picojson::array>();
    items.emplace_back();
    StrictContext inner(items.back(), state_, depth_ + 1, path_ + "/" + std::to_string(index));
    return picojson::_parse(inner, in);
  }
  bool parse_array_stop(std::size_t) { return true; }
  bool parse_object_start() {
    out_ = picojson::value(picojson::object_type, false);
    return state_.countValue(depth_);
  }
  template <typename Iter>
  bool parse_object_item(picojson::input<Iter>& in, std::string const& key) {
    picojson::object& fields = out_.get<picojson::object>();
    if (fields.contains(key)) {
      state_.reason = path_ + "/" + key + ": key given twice";
      return false;
    }
    StrictContext inner(fields[key], state_, depth_ + 1, path_ + "/" + key);
    return picojson::_parse(inner, in);
  }
  bool parse_object_stop() { return true; }

 private:
  picojson::value& out_;
  ParseState& state_;
  std::size_t depth_;
  std::string path_;
};

}  // namespace

absl::StatusOr<picojson::value> parseJson(std::string_view text, JsonBounds const& bounds) {
  if (text.size() > bounds.maxBytes) {
    return absl::InvalidArgumentError("longer than " + std::to_string(bounds.maxBytes) + " bytes");
  }
  picojson::value out;
  ParseState state{bounds, 0, {}};
  StrictContext context(out, state, 1, "");
  std::string error;
  char const* const last = text.data() + text.size();
  char const* end = picojson::_parse(context, text.data(), last, &error);
  if (!state.reason.empty()) {
    return absl::InvalidArgumentError(state.reason);
  }
  if (!error.empty()) {
    return absl::InvalidArgumentError(error);
  }
  for (; end != last; ++end) {
    if (*end != ' ' && *end != '\t' && *end != '\r' && *end != '\n') {
      return absl::InvalidArgumentError("bytes after the end of the value");
    }
  }
  return out;
}

picojson::value mergePatch(picojson::value const& target, picojson::value const& patch) {
  if (!patch.is<picojson::object>()) {
    return patch;
  }
  picojson::object merged;
  if (target.is<picojson::object>()) {
    merged = target.get<picojson::object>();
  }
  for (std::pair<std::string const, picojson::value> const& field : patch.get<picojson::object>()) {
    if (field.second.is<picojson::null>()) {
      merged.erase(field.first);
    } else {
      picojson::object::const_iterator const old = merged.find(field.first);
      picojson::value const before = old == merged.end() ? picojson::value() : old->second;
      merged[field.first] = mergePatch(before, field.second);
    }
  }
  return picojson::value(merged);
}

}  // namespace limeramp::config
