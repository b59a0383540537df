#pragma once

#include "limeramp/net/http.h"

#include <functional>
#include <optional>

/// Translates operators' calls between another protocol and limeramp's own, so that control/ knows only its own.
namespace limeramp::control {

/// Empty functions: operators speak limeramp's own protocol.
struct OperatorProtocolAdapter {
  /// The call in limeramp's own protocol; nothing if the other protocol has no such call (answered with 404).
  std::function<std::optional<net::Request>(net::Request const& asked)> toNative;
  /// The answer in the other protocol.
  std::function<net::Answer(net::Request const& asked, net::Answer own)> fromNative;
};

/// Whether a call of an operator, in whatever protocol, may be an order: all but reads are looked at as such.
bool mayBeOrder(net::Request const& asked);

/// Serves a call of limeramp's own protocol.
using OperatorHandler = std::function<void(net::Request, net::Responder)>;

/// Serves a call through the adapter. The responder is called once, on any thread.
void serveOperator(OperatorProtocolAdapter const& adapter, net::Request asked, net::Responder respond,
                   OperatorHandler const& own);

}  // namespace limeramp::control
