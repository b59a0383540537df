#pragma once

#include "limeramp/harbour/plane.h"
#include "limeramp/rigging/http.h"

#include <string>
#include <variant>

namespace limeramp::harbour {

constexpr char const* configurationPath = "/limeramp/configuration";
constexpr char const* forgetPath = "/limeramp/forget";
constexpr char const* deadlineHeader = "limeramp-deadline-ms";
constexpr char const* revisionHeader = "limeramp-revision";
constexpr std::chrono::milliseconds operatorWaitMs{900};

enum class Errand { none, change, read, forget };

Errand errandOf(rigging::Request const& request);
std::variant<TimePoint, rigging::Answer> readDeadline(rigging::Request const& request, TimePoint now);
std::variant<Change, rigging::Answer> readChange(rigging::Request const& request, TimePoint now,
                                                 std::string const& freshId);
std::variant<std::vector<std::string>, rigging::Answer> readForget(std::string const& body);
std::variant<std::string, rigging::Answer> readSalvage(std::string const& body);
bool provesGone(rigging::Exchange const& exchange, std::string const& node);
rigging::Answer answerOf(Decided const& decided, std::string const& change);
rigging::Answer answerOf(ReadBack const& back);
rigging::Answer relayAnswer(rigging::Exchange const& exchange, std::string const& change);
rigging::Answer plain(int status, std::string body);

}
