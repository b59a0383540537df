#pragma once

#include <string_view>

/// Whether a request has run: what decides if it may be sent again.
namespace limeramp::retry {

/// `notRun` is a proof: the request has not run and never will. `mayHaveRun` is what is assumed without one.
enum class Verdict { notRun, mayHaveRun, ran };

/// The word on the wire.
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
