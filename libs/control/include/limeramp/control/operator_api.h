#pragma once

#include "limeramp/control/config_service.h"
#include "limeramp/control/relay.h"
#include "limeramp/net/http.h"

#include <string>
#include <variant>

namespace limeramp::control {

constexpr char const* configurationPath = "/limeramp/configuration";
constexpr char const* removeNodesPath = "/limeramp/forget";
constexpr char const* deadlineHeader = "limeramp-deadline-ms";
constexpr char const* revisionHeader = "limeramp-revision";
/// Names an order; the answer that decides it carries the name back.
constexpr char const* changeHeader = "limeramp-change";
constexpr char const* versionHeader = "limeramp-version";
constexpr std::chrono::milliseconds operatorWaitMs{900};

enum class OperatorCall { none, change, read, removeNodes };

OperatorCall operatorCallOf(net::Request const& request);
std::variant<TimePoint, net::Answer> readDeadline(net::Request const& request, TimePoint arrivedAt);
/// Reads an order that came at `arrivedAt`. Without a key of the caller's, its key is derived from the content and the
/// base alone, so that a repetition has the same one at every node.
std::variant<Change, net::Answer> readChange(net::Request const& request, TimePoint arrivedAt);
std::variant<std::vector<std::string>, net::Answer> readRemoveNodes(std::string const& body);
std::variant<std::string, net::Answer> readForceNewGroup(std::string const& body);
bool provesGone(net::Exchange const& exchange, std::string const& node);
net::Answer answerOf(OrderOutcome const& decided, std::string const& change);
net::Answer answerOf(ConfigurationRead const& back);
/// The order that an answer of a primary decides: by its header, or by its body if an older version wrote it.
std::optional<std::string> decidedChange(net::Answer const& answer);
net::Answer relayAnswer(net::Exchange const& exchange, std::string const& change);
net::Answer plain(int status, std::string body);

}  // namespace limeramp::control
