#pragma once

#include <string_view>

namespace limeramp::retry {

enum class Verdict { notRun, mayHaveRun, ran };

constexpr std::string_view nameOf(Verdict verdict) {
  switch (verdict) {
    case Verdict::notRun:
      return "not_run";
    case Verdict::mayHaveRun:
      return "may_have_run";
    case Verdict::ran:
      return "ran";
  }
  return "may_have_run";
}

}  // namespace limeramp::retry
