#pragma once

#include "limeramp/net/http.h"

#include <functional>
#include <optional>

namespace limeramp::control {

struct OperatorProtocolAdapter {
  std::function<std::optional<net::Request>(net::Request const& asked)> toNative;
  std::function<net::Answer(net::Request const& asked, net::Answer own)> fromNative;
};

using OperatorHandler = std::function<void(net::Request, net::Responder)>;

void serveOperator(OperatorProtocolAdapter const& adapter, net::Request asked, net::Responder respond,
                   OperatorHandler const& own);

}  // namespace limeramp::control
