#pragma once

#include "limeramp/messages/codec.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace limeramp::messages {

/// Hashes the fields of a state machine to 64 bits, so that a model checker can tell visited states apart. Lengths are
/// hashed as well, so that no two sequences of fields give the same bytes. The hash is stable within one run of one
/// program and is never stored or sent.
class StateDigest {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /// Times are hashed as differences from `now`. Differences beyond `horizon` count as the horizon: the state machine
  /// must make no distinction beyond it.
  StateDigest(TimePoint now, std::chrono::microseconds horizon) : now_(now), horizon_(horizon) {}

  /// Adds a value: containers with their length, records by their fields.
  void add(std::string const& value) {
    add(value.size());
    bytes_ += value;
  }

  template <typename T>
  void add(T const& value) {
    if constexpr (std::is_enum_v<T> || std::is_same_v<T, bool>) {
      add(static_cast<std::uint64_t>(value));
    } else if constexpr (std::is_integral_v<T> || std::is_floating_point_v<T>) {
      bytes_.append(reinterpret_cast<char const*>(&value), sizeof value);
    } else {
      T::describe(*this, value);
    }
  }

  template <typename T>
  void add(std::optional<T> const& value) {
    add(value.has_value());
    if (value) {
      add(*value);
    }
  }

  template <typename T>
  void add(std::vector<T> const& values) {
    addAll(values);
  }

  template <typename T>
  void add(std::set<T> const& values) {
    addAll(values);
  }

  template <typename K, typename T>
  void add(std::map<K, T> const& values) {
    addAll(values);
  }

  template <typename Left, typename Right>
  void add(std::pair<Left, Right> const& value) {
    add(value.first);
    add(value.second);
  }

  template <typename... Types>
  void add(std::variant<Types...> const& value) {
    add(value.index());
    std::visit([this](auto const& concrete) { this->add(concrete); }, value);
  }

  void add(TimePoint at) {
    std::chrono::microseconds const age = std::chrono::duration_cast<std::chrono::microseconds>(now_ - at);
    add(static_cast<std::int64_t>(std::clamp(age, -horizon_, horizon_).count()));
  }

  /// Adds a time that matters only while it is in the future.
  void addDeadline(TimePoint at) { add(std::max(at, now_)); }

  /// Visitor of `describe`.
  template <typename T>
  void operator()(char const*, T const& value) {
    add(value);
  }

  /// Returns the hash of all added values.
  std::uint64_t finish() const;

 private:
  template <typename Sequence>
  void addAll(Sequence const& values) {
    add(values.size());
    for (typename Sequence::value_type const& value : values) {
      add(value);
    }
  }

  TimePoint now_;
  std::chrono::microseconds horizon_;
  std::string bytes_;
};

}  // namespace limeramp::messages
