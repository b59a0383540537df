#pragma once

#include "limeramp/control/config_service.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace limeramp::control {

struct RelayOptions {
  std::size_t maxRelays = 256;
  std::chrono::milliseconds againMs{200};
};

struct RelayRequested {
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
struct RelayAttemptFinished {
  std::uint64_t ticket = 0;
  std::uint64_t attempt = 0;
  RelayOutcome outcome = RelayOutcome::mayHaveRun;
};

using RelayEvent = std::variant<RelayRequested, RelayPrimary, RelayAttemptFinished, Tick>;

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

using RelayEffect = std::variant<RelaySend, RelayCancel, RelayDone, OrderOutcome>;

class Relay {
 public:
  Relay(RelayOptions const& options, std::uint64_t firstAttempt);
  ~Relay();
  Relay(Relay&&) noexcept;
  Relay& operator=(Relay&&) noexcept;

  std::vector<RelayEffect> step(TimePoint now, RelayEvent const& event);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeramp::control
