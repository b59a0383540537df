#pragma once

#include <absl/status/statusor.h>
#include <picojson.h>

#include <cstddef>
#include <string>
#include <string_view>

/// Strict, bounded reading of JSON.
namespace limeramp::config {

/// What is refused before it costs memory.
struct JsonBounds {
  std::size_t maxBytes = 1 << 20;
  std::size_t maxDepth = 24;
  std::size_t maxItems = 200'000;
};

/// Reads one value. InvalidArgument with the place, also for what picojson alone lets pass: duplicate keys, text after
/// the value, numbers that are not finite.
absl::StatusOr<picojson::value> parseJson(std::string_view text, JsonBounds const& bounds = {});

/// Applies a merge patch (RFC 7386).
picojson::value mergePatch(picojson::value const& target, picojson::value const& patch);

}  // namespace limeramp::config
