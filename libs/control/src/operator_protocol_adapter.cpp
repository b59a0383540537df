#include "limeramp/control/operator_protocol_adapter.h"

#include "limeramp/control/operator_api.h"

namespace limeramp::control {

bool mayBeOrder(net::Request const& original) { return original.method != "GET" && original.method != "HEAD"; }

void serveOperator(OperatorProtocolAdapter const& adapter, net::Request original, net::Responder respond,
                   OperatorHandler const& serveNative) {
  std::optional<net::Request> native = adapter.toNative ? adapter.toNative(original) : original;
  if (!native) {
    respond(plain(404, "{\"reason\":\"no such page\"}"));
    return;
  }
  if (!net::findHeader(native->headers, deadlineHeader)) {
    native->headers.emplace_back(deadlineHeader, std::to_string(defaultOperatorDeadlineMs.count()));
  }
  if (adapter.fromNative) {
    respond = [translate = adapter.fromNative, original = std::move(original), respondOriginal = std::move(respond)](
                  net::Answer answer) { respondOriginal(translate(original, std::move(answer))); };
  }
  serveNative(*std::move(native), std::move(respond));
}

}  // namespace limeramp::control
