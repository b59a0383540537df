#pragma once

#include "limeramp/control/config_service.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace limeramp::control {

struct RelayPolicy {
  std::size_t mostRelays = 256;
  std::chrono::milliseconds againMs{200};
};

struct RelayAsked {
  std::uint64_t ticket = 0;
  TimePoint deadline;
};
struct RelayPrimary {
  std::string address;
};
/// What came back of one attempt to hand an order to the primary.
enum class RelayOutcome {
  /// An answer that names this order and decides it.
  final,
  /// This attempt did not run and never will.
  notRun,
  /// No answer, or one that decides nothing.
  mayHaveRun
};
struct RelayReturned {
  std::uint64_t ticket = 0;
  std::uint64_t attempt = 0;
  RelayOutcome outcome = RelayOutcome::mayHaveRun;
};

using RelayEvent = std::variant<RelayAsked, RelayPrimary, RelayReturned, Tick>;

struct RelaySend {
  std::uint64_t ticket = 0;
  std::uint64_t attempt = 0;
  std::string address;
  TimePoint deadline;
};
struct RelayCancel {
  std::uint64_t attempt = 0;
};
struct RelayDone {
  std::uint64_t ticket = 0;
};

using RelayEffect = std::variant<RelaySend, RelayCancel, RelayDone, Decided>;

class Relay {
 public:
  Relay(RelayPolicy const& policy, std::uint64_t firstAttempt);
  ~Relay();
  Relay(Relay&&) noexcept;
  Relay& operator=(Relay&&) noexcept;

  std::vector<RelayEffect> step(TimePoint now, RelayEvent const& event);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeramp::control
