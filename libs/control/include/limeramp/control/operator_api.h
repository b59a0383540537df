#pragma once

#include "limeramp/control/config_service.h"
#include "limeramp/control/relay.h"
#include "limeramp/net/http.h"

#include <string>
#include <variant>

/// Reads and writes operators' calls in limeramp's own protocol (docs/interface.md). Pure functions.
namespace limeramp::control {

constexpr char const* configurationPath = "/limeramp/configuration";
constexpr char const* removeNodesPath = "/limeramp/forget";
constexpr char const* forceNewGroupPath = "/limeramp/force-new-group";
constexpr char const* deadlineHeader = "limeramp-deadline-ms";
constexpr char const* revisionHeader = "limeramp-revision";
/// Names an order; the answer that decides it carries the name back.
constexpr char const* changeHeader = "limeramp-change";
constexpr char const* versionHeader = "limeramp-version";
/// How long an order waits whose caller names no deadline.
constexpr std::chrono::milliseconds operatorWaitMs{900};

/// The calls of operators. `none`: another call, or none of ours.
enum class OperatorCall { none, change, read, removeNodes };

/// Which call a request is, by method and path.
OperatorCall operatorCallOf(net::Request const& request);
/// Whether a call may be begun only while its caller waits for the answer: an order for a zone, the removal of nodes, a
/// forced new group. Such an order names no version that it builds on, so nothing but its caller's presence tells a new
/// one from a late copy of one that was given up, sent again elsewhere, and overtaken by its opposite.
bool needsCaller(net::Request const& request);
/// Answers a request that needs its caller, and whose caller left before it was handed on, as not run. False, without
/// an answer, for all others.
bool declineAbandoned(net::Request const& request, net::Responder const& respond);
/// The deadline of a call that came at `arrivedAt`, or the answer to a malformed one.
std::variant<TimePoint, net::Answer> readDeadline(net::Request const& request, TimePoint arrivedAt);
/// Reads an order that came at `arrivedAt`. Without a key of the caller's, its key is derived from the content and the
/// base alone, so that a repetition has the same one at every node.
std::variant<Change, net::Answer> readChange(net::Request const& request, TimePoint arrivedAt);
/// The nodes that an order names.
std::variant<std::vector<std::string>, net::Answer> readRemoveNodes(std::string const& body);
/// The gateway that holds the configuration.
std::variant<std::string, net::Answer> readForceNewGroup(std::string const& body);
/// Whether a probe's result proves that the process of `node` has ended: the port refuses, or another node answers.
bool provesGone(net::Exchange const& exchange, std::string const& node);
/// Statuses: 200 taken, 400 refused, 409 conflict, 503 not run, 504 unknown.
net::Answer answerOf(OrderOutcome const& decided, std::string const& change);
net::Answer answerOf(ConfigurationRead const& back);
/// The order that an answer of a primary decides: by its header, or by its body if an older version wrote it.
std::optional<std::string> decidedChange(net::Answer const& answer);
/// The answer to a caller whose order was relayed.
net::Answer relayAnswer(net::Exchange const& exchange, std::string const& change);
/// An answer with a JSON body.
net::Answer plain(int status, std::string body);

}  // namespace limeramp::control
