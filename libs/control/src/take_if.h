#pragma once

#include <iterator>
#include <utility>
#include <vector>

namespace limeramp::control {

/// Takes the elements for which `wanted` is true out of a sequence; both keep their order.
template <typename Sequence, typename Predicate>
std::vector<typename Sequence::value_type> takeIf(Sequence& sequence, Predicate const& wanted) {
  std::vector<typename Sequence::value_type> taken;
  std::erase_if(sequence, [&](typename Sequence::value_type& element) {
    bool const take = wanted(element);
    if (take) {
      taken.push_back(std::move(element));
    }
    return take;
  });
  return taken;
}

}  // namespace limeramp::control
