#include "limeramp/control/operator_api.h"

#include "limeramp/logging/logging.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

namespace limeramp::control {
namespace {

std::string json(std::string const& text) { return picojson::value(text).serialize(); }

net::Answer refused(std::string const& path, std::string const& reason) {
  return plain(
      400, "{\"outcome\":\"refused\",\"problems\":[{\"path\":" + json(path) + ",\"reason\":" + json(reason) + "}]}");
}

/// The value of the only field that the object may have, null if it is absent; or the answer to a malformed body.
std::variant<picojson::value, net::Answer> readOneField(std::string const& body, std::string const& name) {
  absl::StatusOr<picojson::value> const read = config::parseJson(body);
  if (!read.ok()) {
    return refused("/", std::string(read.status().message()));
  }
  if (!read->is<picojson::object>()) {
    return refused("/", "must be an object");
  }
  for (std::pair<std::string const, picojson::value> const& entry : read->get<picojson::object>()) {
    if (entry.first != name) {
      return refused("/" + entry.first, "is not known");
    }
  }
  return read->contains(name) ? read->get(name) : picojson::value();
}

constexpr std::string_view zonesPath = "/limeramp/zones/";
constexpr std::string_view evacuatedSuffix = "/emptied";

std::optional<std::string> zoneOf(std::string_view target) {
  if (!target.starts_with(zonesPath) || !target.ends_with(evacuatedSuffix) ||
      target.size() <= zonesPath.size() + evacuatedSuffix.size()) {
    return std::nullopt;
  }
  return std::string(target.substr(zonesPath.size(), target.size() - zonesPath.size() - evacuatedSuffix.size()));
}

bool isZoneName(std::string const& name) {
  return name.size() <= 64 && std::all_of(name.begin(), name.end(), [](char const character) {
           return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
                  (character >= '0' && character <= '9') || character == '-' || character == '_' || character == '.';
         });
}

template <typename Number>
bool readNumber(std::string const& text, Number& value) {
  char const* const end = text.data() + text.size();
  std::from_chars_result const read = std::from_chars(text.data(), end, value);
  return read.ec == std::errc() && read.ptr == end;
}

/// An idempotency key derived from the method and the body of an order, and from its base, or its target if it has
/// none.
std::string derivedId(net::Request const& request, std::string const& base) {
  std::string content;
  for (std::string const* const field : {&request.method, &base, &request.body}) {
    content += std::to_string(field->size()) + ":" + *field;
  }
  XXH128_hash_t const digest = XXH3_128bits(content.data(), content.size());
  std::array<char, 48> text{};
  std::snprintf(text.data(), text.size(), "derived-%016llx%016llx", static_cast<unsigned long long>(digest.high64),
                static_cast<unsigned long long>(digest.low64));
  return text.data();
}

}  // namespace

net::Answer plain(int status, std::string body) {
  net::Answer answer;
  answer.status = status;
  answer.headers.emplace_back("content-type", "application/json");
  if (status == 503) {
    answer.headers.emplace_back("retry-after", "1");
  }
  answer.body = std::move(body) + "\n";
  return answer;
}

OperatorCall operatorCallOf(net::Request const& request) {
  std::string const& method = request.method;
  if (request.target == configurationPath) {
    return method == "PUT" || method == "PATCH" ? OperatorCall::change
           : method == "GET"                    ? OperatorCall::read
                                                : OperatorCall::none;
  }
  if (request.target == removeNodesPath) {
    return method == "POST" ? OperatorCall::removeNodes : OperatorCall::none;
  }
  return zoneOf(request.target) && (method == "PUT" || method == "DELETE") ? OperatorCall::change : OperatorCall::none;
}

bool needsCaller(net::Request const& request) {
  bool const forcesNewGroup = request.target == forceNewGroupPath && request.method == "POST";
  bool const ordersZone = zoneOf(request.target) && operatorCallOf(request) == OperatorCall::change;
  return forcesNewGroup || ordersZone || operatorCallOf(request) == OperatorCall::removeNodes;
}

bool declineAbandoned(net::Request const& request, net::Responder const& respond) {
  if (!request.callerLeft || !needsCaller(request)) {
    return false;
  }
  logging::raise(logging::Event::orderAbandoned, {{"target", request.target}});
  respond(plain(503, "{\"outcome\":\"not_run\",\"reason\":" + json(callerLeftReason) + "}"));
  return true;
}

std::variant<TimePoint, net::Answer> readDeadline(net::Request const& request, TimePoint arrivedAt) {
  long waitMs = 10'000;
  if (std::optional<std::string> const text = net::findHeader(request.headers, deadlineHeader)) {
    if (!readNumber(*text, waitMs) || waitMs <= 0 || waitMs > 60'000) {
      return refused(deadlineHeader, "must be a whole number from 1 to 60000");
    }
  }
  return arrivedAt + std::chrono::milliseconds(waitMs);
}

std::variant<Change, net::Answer> readChange(net::Request const& request, TimePoint arrivedAt) {
  Change change;
  change.patch = request.method == "PATCH";
  std::optional<std::string> const base = net::findHeader(request.headers, "limeramp-base");
  std::optional<std::string> const baseRevision = net::findHeader(request.headers, "limeramp-base-revision");
  if (base) {
    change.base = config::Version::parse(*base);
    if (!change.base) {
      return refused("limeramp-base", "must be a version, as in 3.14");
    }
  }
  if (baseRevision && !readNumber(*baseRevision, change.baseRevision.emplace())) {
    return refused("limeramp-base-revision", "must be a whole number");
  }
  if (change.patch && !base && !baseRevision) {
    return refused("limeramp-base", "a patch must name the version or the revision it changes");
  }
  bool const hasBase = base || baseRevision;
  std::string const derived =
      derivedId(request, hasBase ? base.value_or("") + "/" + baseRevision.value_or("") : request.target);
  change.id = net::findHeader(request.headers, changeHeader).value_or(derived);
  change.keyedByContentOnly = !hasBase && change.id == derived;
  if (change.id.empty() || change.id.size() > 128) {
    return refused(changeHeader, "must have 1 to 128 bytes");
  }
  if (std::optional<std::string> const zone = zoneOf(request.target)) {
    if (!isZoneName(*zone)) {
      return refused("/", "a zone's name has 1 to 64 letters, digits, dots, dashes and underscores");
    }
    change.zone = ZoneOrder{*zone, request.method == "PUT"};
  }
  std::variant<TimePoint, net::Answer> deadline = readDeadline(request, arrivedAt);
  if (net::Answer* const errorAnswer = std::get_if<net::Answer>(&deadline)) {
    return std::move(*errorAnswer);
  }
  change.deadline = std::get<TimePoint>(deadline);
  change.body = request.body;
  return change;
}

std::variant<std::vector<std::string>, net::Answer> readRemoveNodes(std::string const& body) {
  std::variant<picojson::value, net::Answer> read = readOneField(body, "nodes");
  if (net::Answer* const errorAnswer = std::get_if<net::Answer>(&read)) {
    return std::move(*errorAnswer);
  }
  picojson::value const& nodes = std::get<picojson::value>(read);
  if (!nodes.is<picojson::array>() || nodes.get<picojson::array>().empty() ||
      nodes.get<picojson::array>().size() > 1000) {
    return refused("/nodes", "must be an array of 1 to 1000 names of nodes");
  }
  std::vector<std::string> out;
  for (picojson::value const& entry : nodes.get<picojson::array>()) {
    if (!entry.is<std::string>() || entry.get<std::string>().empty()) {
      return refused("/nodes/" + std::to_string(out.size()), "must be the name of a node");
    }
    out.push_back(entry.get<std::string>());
  }
  return out;
}

std::variant<std::string, net::Answer> readForceNewGroup(std::string const& body) {
  std::variant<picojson::value, net::Answer> read = readOneField(body, "from");
  if (net::Answer* const errorAnswer = std::get_if<net::Answer>(&read)) {
    return std::move(*errorAnswer);
  }
  picojson::value const& from = std::get<picojson::value>(read);
  if (!from.is<std::string>() || !net::Address::parse(from.get<std::string>())) {
    return refused("/from", "must be the IP number and port of a node");
  }
  return from.get<std::string>();
}

bool provesGone(net::Exchange const& exchange, std::string const& node) {
  if (!exchange.answer) {
    return exchange.refused;
  }
  absl::StatusOr<picojson::value> const read = config::parseJson(exchange.answer->body);
  return read.ok() && read->is<picojson::object>() && read->contains("node") && read->get("node").is<std::string>() &&
         read->get("node").get<std::string>() != node;
}

namespace {

std::string nodesNotAwaitedField(OrderOutcome const& outcome) {
  return outcome.nodesNotAwaited == 0 ? "" : ",\"nodes_not_awaited\":" + std::to_string(outcome.nodesNotAwaited);
}

net::Answer outcomeAnswer(OrderOutcome const& outcome, std::string const& change) {
  std::string const commonFields = ",\"version\":" + json(outcome.version.text()) + ",\"change\":" + json(change) +
                                   (outcome.reason.empty() ? "" : ",\"reason\":" + json(outcome.reason)) + "}";
  switch (outcome.verdict) {
    case OrderStatus::taken:
      return plain(200, "{\"outcome\":\"taken\"" + nodesNotAwaitedField(outcome) + commonFields);
    case OrderStatus::conflict:
      return plain(409, "{\"outcome\":\"conflict\"" + commonFields);
    case OrderStatus::notRun:
      return plain(503, "{\"outcome\":\"not_run\"" + commonFields);
    case OrderStatus::unknown:
      return plain(504, "{\"outcome\":\"unknown\"" + commonFields);
    case OrderStatus::refused:
      break;
  }
  std::string problems;
  for (config::Problem const& problem : outcome.problems) {
    problems += (problems.empty() ? "" : ",") + std::string("{\"path\":") + json(problem.path) +
                ",\"reason\":" + json(problem.reason) + "}";
  }
  return plain(400, "{\"outcome\":\"refused\",\"problems\":[" + problems + "]" + commonFields);
}

}  // namespace

net::Answer answerOf(OrderOutcome const& outcome, std::string const& change) {
  net::Answer answer = outcomeAnswer(outcome, change);
  answer.headers.emplace_back(changeHeader, change);
  return answer;
}

std::optional<std::string> decidedChange(net::Answer const& answer) {
  if (std::optional<std::string> changeId = net::findHeader(answer.headers, changeHeader)) {
    return changeId;
  }
  absl::StatusOr<picojson::value> const read = config::parseJson(answer.body);
  if (!read.ok() || !read->is<picojson::object>() || !read->contains("change") ||
      !read->get("change").is<std::string>()) {
    return std::nullopt;
  }
  return read->get("change").get<std::string>();
}

net::Answer answerOf(ConfigurationRead const& read) {
  net::Answer answer;
  answer.headers = {{"content-type", "application/json"},
                    {versionHeader, read.version.text()},
                    {revisionHeader, std::to_string(read.revision)}};
  answer.body = read.document.empty() ? "{}" : read.document;
  return answer;
}

net::Answer relayAnswer(net::Exchange const& exchange, std::string const& change) {
  if (exchange.answer) {
    net::Answer answer = *exchange.answer;
    answer.headers = net::withoutHopByHop(answer.headers);
    return answer;
  }
  OrderOutcome outcome;
  outcome.verdict = exchange.verdict == retry::Verdict::notRun ? OrderStatus::notRun : OrderStatus::unknown;
  outcome.reason =
      exchange.verdict == retry::Verdict::notRun ? "the primary cannot be reached" : "the primary did not answer";
  return answerOf(outcome, change);
}

}  // namespace limeramp::control
