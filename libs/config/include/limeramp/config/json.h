#pragma once

#include <absl/status/statusor.h>
#include <picojson.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace limeramp::config {

struct JsonBounds {
  std::size_t maxBytes = 1 << 20;
  std::size_t maxDepth = 24;
  std::size_t maxItems = 200'000;
};

absl::StatusOr<picojson::value> parseJson(std::string_view text, JsonBounds const& bounds = {});

picojson::value mergePatch(picojson::value const& target, picojson::value const& patch);

}  // namespace limeramp::config
