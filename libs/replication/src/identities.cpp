#include "identities.h"

namespace limeramp::replication {

std::string joined(std::vector<std::string> const& ids) {
  std::string out;
  for (std::string const& id : ids) {
    out += (out.empty() ? "" : " ") + id;
  }
  return out;
}

}  // namespace limeramp::replication
