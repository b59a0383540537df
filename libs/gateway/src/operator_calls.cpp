// Calls under /limeramp from operators, from peers and from monitoring.
#include "gateway_server_impl.h"

#include "limeramp/control/operator_api.h"

namespace limeramp::gateway {
namespace {

std::string json(std::string const& text) { return picojson::value(text).serialize(); }

}  // namespace

void GatewayServer::Impl::serveOperator(IncomingRequest& inbound) {
  std::string const& target = inbound.content.target;
  std::string const& method = inbound.content.method;
  if (control::declineAbandoned(inbound.content, inbound.respond)) {
    return;
  }
  if (target == "/limeramp/inner" && method == "POST") {
    receivePeerMessage(inbound.content.body);
    inbound.respond({204, {}, ""});
  } else if (target == "/limeramp/carry" && method == "POST") {
    serveForwarded(inbound);
  } else if (control::operatorCallOf(inbound.content) == control::OperatorCall::read) {
    inbound.respond(currentConfiguration());
  } else if (control::operatorCallOf(inbound.content) != control::OperatorCall::none) {
    forwardOperatorCall(inbound);
  } else if (target == "/limeramp/ready" && method == "GET") {
    inbound.respond(readinessPage());
  } else if (target == "/limeramp/status" && method == "GET") {
    inbound.respond(statusPage());
  } else if (target == "/limeramp/metrics" && method == "GET") {
    inbound.respond(metricsPage());
  } else if (target == "/limeramp/query" && method == "POST") {
    runQuery(inbound);
  } else if (target == "/limeramp/drain" && method == "POST") {
    DrainRequested drainRequest;
    on(drainRequest);
    inbound.respond(control::plain(200, "{\"draining\":true}"));
  } else {
    inbound.respond(control::plain(404, "{\"reason\":\"no such page\"}"));
  }
}

void GatewayServer::Impl::forwardOperatorCall(IncomingRequest& inbound) {
  forwarder.take(Clock::now(), inbound.arrivedAt, std::move(inbound.content), std::move(inbound.respond));
}

void GatewayServer::Impl::runQuery(IncomingRequest& inbound) {
  net::Responder const respond = inbound.respond;
  bool const accepted =
      queries.ask(tables(), inbound.content.body, [respond](absl::StatusOr<std::string> const& answer) {
        respond(answer.ok() ? control::plain(200, *answer)
                            : control::plain(400, "{\"reason\":" + json(std::string(answer.status().message())) + "}"));
      });
  if (!accepted) {
    respond(control::plain(503, "{\"reason\":\"too many queries wait\"}"));
  }
}

}  // namespace limeramp::gateway
