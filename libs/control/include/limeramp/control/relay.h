#pragma once

#include "limeramp/control/config_service.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

/// Hands an operator's order on from any node to the primary, again and again until it is decided or its deadline
/// passes.
namespace limeramp::control {

/// Bounds of the relay.
struct RelayOptions {
  std::size_t maxRelays = 256;
  std::chrono::milliseconds againMs{200};
};

/// An order that must be decided by the primary.
struct RelayRequested {
  std::uint64_t ticket = 0;
  TimePoint deadline;
};
/// Where the primary is now; empty if it is not known.
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
/// What came of an attempt.
struct RelayAttemptFinished {
  std::uint64_t ticket = 0;
  std::uint64_t attempt = 0;
  RelayOutcome outcome = RelayOutcome::mayHaveRun;
};

/// All that can happen to relayed orders. CallerLeft: the attempt under way is cancelled, and none follows.
using RelayEvent = std::variant<RelayRequested, RelayPrimary, RelayAttemptFinished, CallerLeft, Tick>;

/// Send the order there. It names its key, so that it is carried out once however often it is sent.
struct RelaySend {
  std::uint64_t ticket = 0;
  std::uint64_t attempt = 0;
  std::string address;
  TimePoint deadline;
};
/// The attempt is no longer wanted.
struct RelayCancel {
  std::uint64_t attempt = 0;
};
/// The last attempt's answer decides the order: hand it to the caller.
struct RelayDone {
  std::uint64_t ticket = 0;
};

/// All that a step can ask for.
using RelayEffect = std::variant<RelaySend, RelayCancel, RelayDone, OrderOutcome>;

/// A pure state machine. Each order ends with RelayDone or with an OrderOutcome; `notRun` only if no attempt may have
/// run. Not safe for use by several threads.
class Relay {
 public:
  Relay(RelayOptions const& options, std::uint64_t firstAttempt);
  ~Relay();
  Relay(Relay&&) noexcept;
  Relay& operator=(Relay&&) noexcept;

  /// Takes one event; effects are to be carried out in their order.
  std::vector<RelayEffect> step(TimePoint now, RelayEvent const& event);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeramp::control
