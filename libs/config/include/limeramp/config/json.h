#pragma once

#include <absl/status/statusor.h>
#include <picojson.h>

#include <cstddef>
#include <string>
#include <string_view>

/// Strict parsing of JSON with bounds on its size.
namespace limeramp::config {

/// Bounds that the parser enforces before it allocates for what exceeds them.
struct JsonBounds {
  std::size_t maxBytes = 1 << 20;
  std::size_t maxDepth = 24;
  std::size_t maxItems = 200'000;
};

/// Parses one value. InvalidArgument if it is malformed, out of bounds, or has what picojson alone accepts: duplicate
/// keys and numbers that are not finite (the message names their path), or text after the value.
absl::StatusOr<picojson::value> parseJson(std::string_view text, JsonBounds const& bounds = {});

/// Applies a JSON merge patch (RFC 7386) and returns the result.
picojson::value mergePatch(picojson::value const& target, picojson::value const& patch);

}  // namespace limeramp::config
