#pragma once

#include "limeramp/net/http.h"

#include <functional>
#include <optional>

/// Translates operators' calls between another protocol and limeramp's own, so that the control library implements only
/// the latter.
namespace limeramp::control {

/// A pair of translations. With empty functions, operators use limeramp's own protocol.
struct OperatorProtocolAdapter {
  /// Translates a call to limeramp's own protocol. Returns nothing if the other protocol has no such call, which is
  /// answered with 404.
  std::function<std::optional<net::Request>(net::Request const& original)> toNative;
  /// Translates the answer to the call `original` back to the other protocol.
  std::function<net::Answer(net::Request const& original, net::Answer nativeAnswer)> fromNative;
};

/// Whether an operator's call, in any protocol, may be an order: true for all methods except GET and HEAD.
bool mayBeOrder(net::Request const& original);

/// Serves a call in limeramp's own protocol.
using OperatorHandler = std::function<void(net::Request, net::Responder)>;

/// Serves a call through the adapter with `serveNative`; a call without a deadline gets the default one. `respond` is
/// called once, on any thread.
void serveOperator(OperatorProtocolAdapter const& adapter, net::Request original, net::Responder respond,
                   OperatorHandler const& serveNative);

}  // namespace limeramp::control
