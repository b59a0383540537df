#include "limeramp/harbour/desk.h"

#include <charconv>

namespace limeramp::harbour {
namespace {

std::string json(std::string const& text) { return picojson::value(text).serialize(); }

rigging::Answer refused(std::string const& path, std::string const& reason) {
  return plain(400, "{\"outcome\":\"refused\",\"problems\":[{\"path\":" + json(path) + ",\"reason\":" + json(reason) + "}]}");
}

}

rigging::Answer plain(int status, std::string body) {
  rigging::Answer answer;
  answer.status = status;
  answer.headers.emplace_back("content-type", "application/json");
  if (status == 503) {
    answer.headers.emplace_back("retry-after", "1");
  }
  answer.body = std::move(body) + "\n";
  return answer;
}

std::variant<Change, rigging::Answer> readChange(rigging::Request const& request, TimePoint now,
                                                 std::string const& freshId) {
  Change change;
  change.patch = request.method == "PATCH";
  change.id = rigging::findHeader(request.headers, "limeramp-change").value_or(freshId);
  if (change.id.empty() || change.id.size() > 128) {
    return refused("limeramp-change", "must have 1 to 128 bytes");
  }
  if (std::optional<std::string> const base = rigging::findHeader(request.headers, "limeramp-base")) {
    change.base = manifest::Version::parse(*base);
    if (!change.base) {
      return refused("limeramp-base", "must be a version, as in 3.14");
    }
  } else if (change.patch) {
    return refused("limeramp-base", "a patch must name the version it changes");
  }
  long waitMs = 10'000;
  if (std::optional<std::string> const text = rigging::findHeader(request.headers, "limeramp-deadline-ms")) {
    char const* const last = text->data() + text->size();
    std::from_chars_result const read = std::from_chars(text->data(), last, waitMs);
    if (read.ec != std::errc() || read.ptr != last || waitMs <= 0 || waitMs > 60'000) {
      return refused("limeramp-deadline-ms", "must be a whole number from 1 to 60000");
    }
  }
  change.deadline = now + std::chrono::milliseconds(waitMs);
  change.body = request.body;
  return change;
}

rigging::Answer answerOf(Decided const& decided, std::string const& change) {
  std::string const tail =
      ",\"version\":" + json(decided.version.text()) + ",\"change\":" + json(change) +
      (decided.reason.empty() ? "" : ",\"reason\":" + json(decided.reason)) + "}";
  switch (decided.verdict) {
    case Verdict::taken:
      return plain(200, "{\"outcome\":\"taken\"" + tail);
    case Verdict::conflict:
      return plain(409, "{\"outcome\":\"conflict\"" + tail);
    case Verdict::notRun:
      return plain(503, "{\"outcome\":\"not_run\"" + tail);
    case Verdict::unknown:
      return plain(504, "{\"outcome\":\"unknown\"" + tail);
    case Verdict::refused:
      break;
  }
  std::string problems;
  for (manifest::Problem const& problem : decided.problems) {
    problems += (problems.empty() ? "" : ",") + std::string("{\"path\":") + json(problem.path) +
                ",\"reason\":" + json(problem.reason) + "}";
  }
  return plain(400, "{\"outcome\":\"refused\",\"problems\":[" + problems + "]" + tail);
}

rigging::Answer relayAnswer(rigging::Exchange const& exchange, std::string const& change) {
  if (exchange.answer) {
    rigging::Answer answer = *exchange.answer;
    answer.headers = rigging::withoutHopByHop(answer.headers);
    return answer;
  }
  Decided decided;
  decided.verdict = exchange.verdict == tally::Verdict::notRun ? Verdict::notRun : Verdict::unknown;
  decided.reason = exchange.verdict == tally::Verdict::notRun ? "the primary cannot be reached" : "the primary did not answer";
  return answerOf(decided, change);
}

}
