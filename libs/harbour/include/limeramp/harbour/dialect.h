#pragma once

#include "limeramp/rigging/http.h"

#include <functional>
#include <optional>

namespace limeramp::harbour {

struct OperatorDialect {
  std::function<std::optional<rigging::Request>(rigging::Request const& request)> toOwn;
  std::function<rigging::Answer(rigging::Request const& asked, rigging::Answer own)> fromOwn;
};

}
