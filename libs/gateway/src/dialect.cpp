#include "limeramp/gateway/dialect.h"

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
constexpr std::string_view lifeHeader = "limeramp-life";
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
  std::from_chars_result const read = std::from_chars(text->data(), text->data() + text->size(), load);
  if (read.ec != std::errc() || !(load >= 0) || load > 1000) {
    return std::nullopt;
  }
  return load;
}

std::variant<Caller, Refusal> readCaller(net::Request const& request) {
  using retry::Verdict;
  Caller caller;
  std::optional<std::string> const tenant = net::findHeader(request.headers, std::string(tenantHeader));
  if (!tenant) {
    return Refusal{Unserved::malformed, "the header limeramp-tenant is missing", Verdict::notRun, {}, "", ""};
  }
  caller.tenant = *tenant;
  caller.host = net::plainHost(net::findHeader(request.headers, "host").value_or(""));
  if (std::optional<std::string> const text = net::findHeader(request.headers, std::string(deadlineHeader))) {
    long asked = 0;
    char const* const last = text->data() + text->size();
    std::from_chars_result const read = std::from_chars(text->data(), last, asked);
    if (read.ec != std::errc() || read.ptr != last || asked <= 0 || asked > maxDeadlineMs) {
      return Refusal{Unserved::malformed,
                     "limeramp-deadline-ms must be a whole number from 1 to 60000",
                     Verdict::notRun,
                     {},
                     "",
                     ""};
    }
    caller.remainingMs = Ms(asked);
  }
  return caller;
}

int statusOf(Refusal const& refusal) {
  switch (refusal.why) {
    case Unserved::malformed:
      return 400;
    case Unserved::unknownEntry:
      return 404;
    case Unserved::tooLong:
      return 413;
    case Unserved::headTooLong:
      return 431;
    case Unserved::tooSlow:
      return 408;
    case Unserved::overloaded:
    case Unserved::stale:
      return 503;
    case Unserved::deadline:
      return 504;
    case Unserved::failed:
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

void writeAsk(net::Request& request, Asked const& asked) {
  net::Headers& headers = request.headers;
  for (std::string_view const name : {deadlineHeader, requestHeader, shardHeader, versionHeader, lifeHeader}) {
    net::dropHeader(headers, name);
  }
  headers.emplace_back(requestHeader, asked.request);
  request.identity = {requestHeader, answersHeader, false};
  headers.emplace_back(shardHeader, asked.service);
  headers.emplace_back(deadlineHeader, std::to_string(asked.remainingMs.count()));
  headers.emplace_back(versionHeader, asked.version);
  if (!asked.incarnation.empty()) {
    headers.emplace_back(lifeHeader, asked.incarnation);
  }
}

Heard readAnswer(net::Answer const& answer, Asked const& asked) {
  Heard out;
  out.returned.verdict = retry::Verdict::ran;
  out.returned.load = loadOf(answer.headers);
  out.returned.staleIncarnation = answer.status == 421;
  if (out.returned.staleIncarnation) {
    out.returned.verdict = retry::Verdict::notRun;
    return out;
  }
  if (asked.part) {
    out.returned.good = out.returned.healthy = answer.status >= 200 && answer.status <= 299;
    return out;
  }
  out.returned.good = true;
  out.returned.healthy = answer.status < 500;
  return out;
}

net::Answer writeGathered(Gathered const& gathered) {
  std::string body = "{\"request\":" + json(gathered.request) + ",\"version\":\"" + gathered.version +
                     "\",\"missing\":" + std::to_string(gathered.missing.size()) + ",\"missing_shards\":[";
  for (std::size_t index = 0; index < gathered.missing.size(); ++index) {
    body += (index == 0 ? "" : ",") + json(gathered.services[gathered.missing[index]]);
  }
  body += "],\"stamps\":[";
  bool first = true;
  for (dispatch::ShardResultPtr const& part : gathered.parts) {
    body += std::string(first ? "" : ",") + "{\"shard\":" + json(part->stamp.shard) +
            ",\"cut\":" + json(part->stamp.cut) + "}";
    first = false;
  }
  body += "],\"records\":[";
  for (std::size_t index = 0; index < gathered.records.size(); ++index) {
    body += (index == 0 ? "" : ",") + json(gathered.records[index]);
  }
  body += "]}";
  net::Answer answer;
  answer.headers.emplace_back("content-type", "application/json");
  answer.headers.emplace_back(verdictHeader, "ran");
  answer.headers.emplace_back(requestHeader, gathered.request);
  answer.headers.emplace_back(versionHeader, gathered.version);
  answer.body = std::move(body);
  return answer;
}

}  // namespace

Dialect ownDialect() {
  Dialect out;
  out.readCaller = readCaller;
  out.writeGathered = writeGathered;
  out.writeForwarded = writeForwarded;
  out.writeRefusal = writeRefusal;
  out.writeAsk = writeAsk;
  out.readAnswer = readAnswer;
  out.listRequest = [](std::string const& page) {
    return net::Request{"GET", page.empty() ? "/servers" : "/servers?page=" + net::percentEncoded(page), {}, "", ""};
  };
  out.readList = [](std::string const& body) { return discovery::readList(body); };
  out.language = config::ownLanguage();
  return out;
}

}  // namespace limeramp::gateway
