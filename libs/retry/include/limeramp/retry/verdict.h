#pragma once

#include <string_view>

/// Whether a request has run, which decides whether it may be sent again.
namespace limeramp::retry {

/// `notRun` is proven: the request has not run and never will. Without such a proof `mayHaveRun` is assumed.
enum class Verdict { notRun, mayHaveRun, ran };

/// The name used on the wire.
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
