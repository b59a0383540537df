#pragma once

#include "limeramp/net/http.h"

#include <functional>
#include <optional>

namespace limeramp::control {

struct OperatorDialect {
  std::function<std::optional<net::Request>(net::Request const& asked)> toOwn;
  std::function<net::Answer(net::Request const& asked, net::Answer own)> fromOwn;
};

using Serve = std::function<void(net::Request, net::Responder)>;

void serveOperator(OperatorDialect const& dialect, net::Request asked, net::Responder respond, Serve const& own);

}  // namespace limeramp::control
