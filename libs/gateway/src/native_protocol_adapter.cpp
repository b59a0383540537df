#include "limeramp/gateway/protocol_adapter.h"

#include <charconv>

namespace limeramp::gateway {
namespace {

using Ms = std::chrono::milliseconds;

constexpr std::string_view tenantHeader = "limeramp-tenant";
constexpr std::string_view deadlineHeader = "limeramp-deadline-ms";
constexpr std::string_view requestHeader = "limeramp-request";
constexpr std::string_view shardHeader = "limeramp-shard";
constexpr std::string_view versionHeader = "limeramp-version";
constexpr std::string_view loadHeader = "limeramp-load";
constexpr std::string_view incarnationHeader = "limeramp-life";
constexpr std::string_view verdictHeader = "limeramp-verdict";
constexpr std::string_view answersHeader = "limeramp-answers";
constexpr long maxDeadlineMs = 60'000;

std::string json(std::string const& text) { return picojson::value(text).serialize(); }

std::optional<double> loadOf(net::Headers const& headers) {
  std::optional<std::string> const text = net::findHeader(headers, std::string(loadHeader));
  if (!text) {
    return std::nullopt;
  }
  double load = 0;
  std::from_chars_result const parsed = std::from_chars(text->data(), text->data() + text->size(), load);
  if (parsed.ec != std::errc() || !(load >= 0) || load > 1000) {
    return std::nullopt;
  }
  return load;
}

std::variant<Caller, Refusal> readCaller(net::Request const& request) {
  using retry::Verdict;
  Caller caller;
  std::optional<std::string> const tenant = net::findHeader(request.headers, std::string(tenantHeader));
  if (!tenant) {
    return Refusal{RefusalReason::malformed, "the header limeramp-tenant is missing", Verdict::notRun, {}, "", ""};
  }
  caller.tenant = *tenant;
  caller.host = net::plainHost(net::findHeader(request.headers, "host").value_or(""));
  if (std::optional<std::string> const text = net::findHeader(request.headers, std::string(deadlineHeader))) {
    long deadlineMs = 0;
    char const* const end = text->data() + text->size();
    std::from_chars_result const parsed = std::from_chars(text->data(), end, deadlineMs);
    if (parsed.ec != std::errc() || parsed.ptr != end || deadlineMs <= 0 || deadlineMs > maxDeadlineMs) {
      return Refusal{RefusalReason::malformed,
                     "limeramp-deadline-ms must be a whole number from 1 to 60000",
                     Verdict::notRun,
                     {},
                     "",
                     ""};
    }
    caller.remainingMs = Ms(deadlineMs);
  }
  return caller;
}

int statusOf(Refusal const& refusal) {
  switch (refusal.kind) {
    case RefusalReason::malformed:
      return 400;
    case RefusalReason::unknownEntry:
      return 404;
    case RefusalReason::tooLong:
      return 413;
    case RefusalReason::headTooLong:
      return 431;
    case RefusalReason::tooSlow:
      return 408;
    case RefusalReason::overloaded:
    case RefusalReason::stale:
      return 503;
    case RefusalReason::deadline:
      return 504;
    case RefusalReason::failed:
      return 502;
  }
  return 502;
}

net::Answer writeRefusal(Refusal const& refusal) {
  net::Answer answer;
  answer.status = statusOf(refusal);
  std::string const name(retry::nameOf(refusal.verdict));
  answer.headers.emplace_back("content-type", "application/json");
  answer.headers.emplace_back(verdictHeader, name);
  if (refusal.retryAfter) {
    answer.headers.emplace_back("retry-after", std::to_string((refusal.retryAfter->count() + 999) / 1000));
  }
  if (!refusal.request.empty()) {
    answer.headers.emplace_back(requestHeader, refusal.request);
    answer.headers.emplace_back(versionHeader, refusal.version);
  }
  answer.body = "{\"verdict\":\"" + name + "\",\"reason\":" + json(refusal.reason) + "}";
  return answer;
}

void writeForwarded(net::Answer& answer, std::string const& request, std::string const& version) {
  for (std::string_view const name : {verdictHeader, requestHeader, versionHeader, loadHeader, answersHeader}) {
    net::dropHeader(answer.headers, name);
  }
  answer.headers.emplace_back(verdictHeader, "ran");
  answer.headers.emplace_back(requestHeader, request);
  answer.headers.emplace_back(versionHeader, version);
}

void writeAsk(net::Request& request, SubrequestContext const& context) {
  net::Headers& headers = request.headers;
  for (std::string_view const name : {deadlineHeader, requestHeader, shardHeader, versionHeader, incarnationHeader}) {
    net::dropHeader(headers, name);
  }
  headers.emplace_back(requestHeader, context.request);
  request.identity = {requestHeader, answersHeader, false};
  headers.emplace_back(shardHeader, context.service);
  headers.emplace_back(deadlineHeader, std::to_string(context.remainingMs.count()));
  headers.emplace_back(versionHeader, context.version);
  if (!context.incarnation.empty()) {
    headers.emplace_back(incarnationHeader, context.incarnation);
  }
}

ParsedAnswer readAnswer(net::Answer const& answer, SubrequestContext const& context) {
  ParsedAnswer out;
  out.finished.verdict = retry::Verdict::ran;
  out.finished.load = loadOf(answer.headers);
  out.finished.staleIncarnation = answer.status == 421;
  if (out.finished.staleIncarnation) {
    out.finished.verdict = retry::Verdict::notRun;
    return out;
  }
  if (context.expectsShardResult) {
    out.finished.good = out.finished.healthy = answer.status >= 200 && answer.status <= 299;
    return out;
  }
  out.finished.good = true;
  out.finished.healthy = answer.status < 500;
  return out;
}

net::Answer writeMerged(MergedResult const& merged) {
  std::string body = "{\"request\":" + json(merged.request) + ",\"version\":\"" + merged.version +
                     "\",\"missing\":" + std::to_string(merged.missing.size()) + ",\"missing_shards\":[";
  for (std::size_t index = 0; index < merged.missing.size(); ++index) {
    body += (index == 0 ? "" : ",") + json(merged.services[merged.missing[index]]);
  }
  body += "],\"stamps\":[";
  bool first = true;
  for (dispatch::ShardResultPtr const& shardResult : merged.shardResults) {
    body += std::string(first ? "" : ",") + "{\"shard\":" + json(shardResult->stamp.shard) +
            ",\"cut\":" + json(shardResult->stamp.partition) + "}";
    first = false;
  }
  body += "],\"records\":[";
  for (std::size_t index = 0; index < merged.records.size(); ++index) {
    body += (index == 0 ? "" : ",") + json(merged.records[index]);
  }
  body += "]}";
  net::Answer answer;
  answer.headers.emplace_back("content-type", "application/json");
  answer.headers.emplace_back(verdictHeader, "ran");
  answer.headers.emplace_back(requestHeader, merged.request);
  answer.headers.emplace_back(versionHeader, merged.version);
  answer.body = std::move(body);
  return answer;
}

}  // namespace

ProtocolAdapter nativeProtocolAdapter() {
  ProtocolAdapter out;
  out.readCaller = readCaller;
  out.writeMerged = writeMerged;
  out.writeForwarded = writeForwarded;
  out.writeRefusal = writeRefusal;
  out.writeAsk = writeAsk;
  out.readAnswer = readAnswer;
  out.listRequest = [](std::string const& page) {
    return net::Request{"GET", page.empty() ? "/servers" : "/servers?page=" + net::percentEncoded(page), {}, "", ""};
  };
  out.readList = [](std::string const& body) { return discovery::readList(body); };
  out.schema = config::nativeConfigSchema();
  return out;
}

}  // namespace limeramp::gateway
