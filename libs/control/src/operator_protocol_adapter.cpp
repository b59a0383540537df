#include "limeramp/control/operator_protocol_adapter.h"

#include "limeramp/control/operator_api.h"

namespace limeramp::control {

bool mayBeOrder(net::Request const& asked) { return asked.method != "GET" && asked.method != "HEAD"; }

void serveOperator(OperatorProtocolAdapter const& adapter, net::Request asked, net::Responder respond,
                   OperatorHandler const& own) {
  std::optional<net::Request> request = adapter.toNative ? adapter.toNative(asked) : asked;
  if (!request) {
    respond(plain(404, "{\"reason\":\"no such page\"}"));
    return;
  }
  if (!net::findHeader(request->headers, deadlineHeader)) {
    request->headers.emplace_back(deadlineHeader, std::to_string(operatorWaitMs.count()));
  }
  if (adapter.fromNative) {
    respond = [translate = adapter.fromNative, asked = std::move(asked), to = std::move(respond)](net::Answer answer) {
      to(translate(asked, std::move(answer)));
    };
  }
  own(*std::move(request), std::move(respond));
}

}  // namespace limeramp::control
