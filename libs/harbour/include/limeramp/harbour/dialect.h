#pragma once

#include "limeramp/rigging/http.h"

#include <functional>
#include <optional>

namespace limeramp::harbour {

struct OperatorDialect {
  std::function<std::optional<rigging::Request>(rigging::Request const& asked)> toOwn;
  std::function<rigging::Answer(rigging::Request const& asked, rigging::Answer own)> fromOwn;
};

using Serve = std::function<void(rigging::Request, rigging::Responder)>;

void serveOperator(OperatorDialect const& dialect, rigging::Request asked, rigging::Responder respond, Serve const& own);

}
