// Callers' requests: admission, attempts at servers and at other nodes, and answers.
#include "gateway_server_impl.h"

#include "limeramp/control/operator_api.h"
#include "limeramp/logging/logging.h"

#include <algorithm>

namespace limeramp::gateway {
namespace {

/// Limit on a request's body until a configuration is in force.
constexpr std::size_t defaultMaxBodyBytes = 1 << 20;
constexpr std::uint64_t maxForwardedMs = 60'000;
constexpr Ms staleRetryAfterMs{1'000};
/// Short, because another node can serve the request at once.
constexpr Ms terminatingRetryAfterMs{50};
constexpr char const* forwardPath = "/limeramp/carry";
constexpr char const* avroContentType = "avro/binary";

std::vector<messages::HeaderLine> toLines(net::Headers const& headers) {
  std::vector<messages::HeaderLine> out;
  for (std::pair<std::string, std::string> const& header : headers) {
    out.push_back({header.first, header.second});
  }
  return out;
}

net::Headers fromLines(std::vector<messages::HeaderLine> const& lines) {
  net::Headers out;
  for (messages::HeaderLine const& line : lines) {
    out.emplace_back(line.key, line.value);
  }
  return out;
}

/// Wraps a caller's request in a message to a node that owns the tenant's cell.
net::Request toForwardRequest(SendRequest const& effect, std::string const& from) {
  messages::ForwardRequest forward;
  forward.remainingMs = static_cast<std::uint64_t>(std::max<long>(1, effect.remainingMs.count()));
  forward.method = effect.content.method;
  forward.target = effect.content.target;
  forward.headers = toLines(effect.content.headers);
  forward.body = effect.content.body;
  return {"POST",
          forwardPath,
          {{"content-type", avroContentType}, {"limeramp-from", from}},
          messages::withChecksum(messages::pack(forward)),
          ""};
}

/// Unwraps the answer to the caller from the other node's reply. If the reply holds none, the request may have run.
net::Exchange fromForwardReply(net::Exchange exchange) {
  if (!exchange.answer) {
    return exchange;
  }
  absl::StatusOr<messages::ForwardReply> const reply =
      messages::unpack<messages::ForwardReply>(messages::verifyChecksum(exchange.answer->body).value_or(""));
  if (exchange.answer->status == 200 && reply.ok() && reply->status >= 200 && reply->status <= 599) {
    exchange.answer = net::Answer{static_cast<int>(reply->status), fromLines(reply->headers), reply->body};
  } else {
    exchange.answer.reset();
    exchange.verdict = retry::Verdict::mayHaveRun;
  }
  return exchange;
}

}  // namespace

void GatewayServer::Impl::admit(net::Request content, net::Responder respond, bool forwarded,
                                std::optional<Ms> remainingMs) {
  if (terminating) {
    respond(adapter.writeRefusal(
        {RefusalReason::overloaded, "this node ends", retry::Verdict::notRun, terminatingRetryAfterMs, "", ""}));
    return;
  }
  distribution::ConfigFreshness const freshness = delivery.status(Clock::now()).freshness;
  if (!distribution::mayServe(freshness)) {
    ++refusedStale;
    respond(adapter.writeRefusal({RefusalReason::stale, "this node's configuration is " + nameOf(freshness),
                                  retry::Verdict::notRun, staleRetryAfterMs, "", ""}));
    return;
  }
  if (content.body.size() > (requestManager.snapshot() == nullptr
                                 ? defaultMaxBodyBytes
                                 : requestManager.snapshot()->configuration.limits.maxBodyBytes)) {
    respond(adapter.writeRefusal(
        {RefusalReason::tooLong, "the body is longer than the limit", retry::Verdict::notRun, {}, "", ""}));
    return;
  }
  std::uint64_t const request = ++lastRequest;
  responders.emplace(request, std::move(respond));
  countUnanswered(1);
  step(RequestReceived{request, std::move(content), forwarded, remainingMs});
}

void GatewayServer::Impl::serveForwarded(IncomingRequest& inbound) {
  absl::StatusOr<messages::ForwardRequest> const received =
      messages::unpack<messages::ForwardRequest>(messages::verifyChecksum(inbound.content.body).value_or(""));
  if (!received.ok()) {
    inbound.respond(control::plain(400, "{\"reason\":\"not a carried request\"}"));
    return;
  }
  net::Request content{received->method, received->target, fromLines(received->headers), received->body,
                       inbound.content.peer};
  admit(
      std::move(content),
      [respond = std::move(inbound.respond)](net::Answer const& answer) {
        messages::ForwardReply const forwardReply{static_cast<std::uint64_t>(answer.status), toLines(answer.headers),
                                                  answer.body};
        respond({200, {{"content-type", avroContentType}}, messages::withChecksum(messages::pack(forwardReply))});
      },
      true, Ms(static_cast<long>(std::min<std::uint64_t>(received->remainingMs, maxForwardedMs))));
}

void GatewayServer::Impl::step(RequestEvent const& event) {
  for (RequestEffect const& effect : requestManager.step(Clock::now(), event)) {
    std::visit([this](auto const& concrete) { apply(concrete); }, effect);
  }
}

void GatewayServer::Impl::apply(Reply const& effect) {
  std::unordered_map<std::uint64_t, net::Responder>::iterator const found = responders.find(effect.request);
  if (found != responders.end()) {
    found->second(effect.answer);
    responders.erase(found);
    countUnanswered(-1);
  }
}

void GatewayServer::Impl::apply(SendRequest const& effect) {
  net::Address const address = net::Address::parse(effect.server).value_or(net::Address{});
  std::uint64_t const attempt = effect.attempt;
  bool const forwarded = effect.toCellOwner;
  net::Request content = forwarded ? toForwardRequest(effect, settings.advertise) : effect.content;
  client.begin(
      attempt, address, std::move(content), effect.deadline, [this, attempt, forwarded](net::Exchange exchange) {
        post(RequestEvent(
            ExchangeFinished{attempt, forwarded ? fromForwardReply(std::move(exchange)) : std::move(exchange)}));
      });
}

void GatewayServer::Impl::apply(ParseShardResult const& effect) {
  std::uint64_t const attempt = effect.attempt;
  std::optional<double> const load = effect.load;
  workers.read(effect.body, effect.expected, effect.resultSize,
               [this, attempt, load](absl::StatusOr<dispatch::ShardResult> shardResult) {
                 post(RequestEvent(ShardResultParsed{attempt, std::move(shardResult), load}));
               });
}

void GatewayServer::Impl::apply(MergeShardResults const& effect) {
  std::uint64_t const request = effect.request;
  workers.merge(effect.shardResults, effect.resultSize, [this, request](std::vector<std::string> records) {
    post(RequestEvent(MergeFinished{request, std::move(records)}));
  });
}

void GatewayServer::Impl::apply(dispatch::LogEntry const& entry) {
  logging::raise(entry.event, {{"service", entry.service}, {"about", entry.server}});
}

void GatewayServer::Impl::countUnanswered(int change) {
  std::unique_lock<std::mutex> const lock(unansweredMutex);
  unanswered += static_cast<std::size_t>(change);
  unansweredChanged.notify_all();
}

}  // namespace limeramp::gateway
