#pragma once

#include "limeramp/control/config_service.h"
#include "limeramp/control/relay.h"
#include "limeramp/net/http.h"

#include <string>
#include <variant>

/// Parses operators' calls and formats their answers in limeramp's own protocol (docs/interface.md). Stateless
/// functions.
namespace limeramp::control {

constexpr char const* configurationPath = "/limeramp/configuration";
constexpr char const* removeNodesPath = "/limeramp/forget";
constexpr char const* forceNewGroupPath = "/limeramp/force-new-group";
constexpr char const* deadlineHeader = "limeramp-deadline-ms";
constexpr char const* revisionHeader = "limeramp-revision";
/// Carries the id of an order, its idempotency key. The answer that decides the order repeats it.
constexpr char const* changeHeader = "limeramp-change";
constexpr char const* versionHeader = "limeramp-version";
/// Deadline of an operator's call that names none, counted from its arrival.
constexpr std::chrono::milliseconds defaultOperatorDeadlineMs{900};

/// The calls that operators make. `none`: any other request.
enum class OperatorCall { none, change, read, removeNodes };

/// Classifies a request by method and path.
OperatorCall operatorCallOf(net::Request const& request);
/// Whether a call may be started only while its caller waits for the answer: an order for a zone, the removal of nodes,
/// a forced new group. Such an order names no base version, so only the presence of its caller tells a new order from a
/// delayed copy of one that the caller gave up, sent again through another node, and has reversed since.
bool needsCaller(net::Request const& request);
/// Answers a request with `not_run` if it needs its caller and the caller had left when the server handed it on.
/// @return false, without an answer, for all other requests
bool declineAbandoned(net::Request const& request, net::Responder const& respond);
/// The deadline of a call that arrived at `arrivedAt`, or the answer to a malformed deadline.
std::variant<TimePoint, net::Answer> readDeadline(net::Request const& request, TimePoint arrivedAt);
/// Parses an order that arrived at `arrivedAt`, or returns the answer to a malformed one. If the caller names no
/// idempotency key, it is derived from the content and the base alone, so that a resent order has the same key at every
/// node.
std::variant<Change, net::Answer> readChange(net::Request const& request, TimePoint arrivedAt);
/// The nodes that an order to remove nodes names, or the answer to a malformed order.
std::variant<std::vector<std::string>, net::Answer> readRemoveNodes(std::string const& body);
/// The address of the gateway that holds the configuration, or the answer to a malformed order.
std::variant<std::string, net::Answer> readForceNewGroup(std::string const& body);
/// Whether the result of a probe proves that the process of `node` has ended: the connection is refused, or another
/// node answers.
bool provesGone(net::Exchange const& exchange, std::string const& node);
/// The answer to an order. Statuses: 200 taken, 400 refused, 409 conflict, 503 not run, 504 unknown.
net::Answer answerOf(OrderOutcome const& outcome, std::string const& change);
/// The answer to a read: the document, with its version and revision in headers.
net::Answer answerOf(ConfigurationRead const& read);
/// The id of the order that a primary's answer decides, from its header, or from its body if an older release wrote it.
std::optional<std::string> decidedChange(net::Answer const& answer);
/// The answer to the caller of a relayed call: the primary's, or one built from the verdict if the exchange has no
/// answer.
net::Answer relayAnswer(net::Exchange const& exchange, std::string const& change);
/// An answer with a JSON body and, for status 503, a `retry-after` header.
net::Answer plain(int status, std::string body);

}  // namespace limeramp::control
