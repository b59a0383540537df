#pragma once

#include <iterator>
#include <utility>
#include <vector>

namespace limeramp::control {

/// Removes the elements for which `predicate` is true from a sequence and returns them. Both keep their order.
template <typename Sequence, typename Predicate>
std::vector<typename Sequence::value_type> takeIf(Sequence& sequence, Predicate const& predicate) {
  std::vector<typename Sequence::value_type> taken;
  std::erase_if(sequence, [&](typename Sequence::value_type& element) {
    bool const take = predicate(element);
    if (take) {
      taken.push_back(std::move(element));
    }
    return take;
  });
  return taken;
}

}  // namespace limeramp::control
