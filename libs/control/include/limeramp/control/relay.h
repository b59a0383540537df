#pragma once

#include "limeramp/control/config_service.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

/// Relays an operator's order from any node to the primary, and retries until it is decided or its deadline passes.
namespace limeramp::control {

/// Options of the relay.
struct RelayOptions {
  /// Orders relayed at a time; further ones end with `notRun`.
  std::size_t maxRelays = 256;
  /// Pause between the end of an attempt that did not decide the order and the next attempt at the same primary.
  std::chrono::milliseconds retryDelayMs{200};
};

/// An order to be relayed to the primary.
struct RelayRequested {
  std::uint64_t ticket = 0;
  TimePoint deadline;
};
/// The primary's current address; empty if no primary is known.
struct RelayPrimary {
  std::string address;
};
/// The result of one attempt to send an order to the primary.
enum class RelayOutcome {
  /// The answer names this order and decides it.
  final,
  /// The attempt did not run and never will.
  notRun,
  /// There is no answer, or one that does not decide the order.
  mayHaveRun
};
/// An attempt has ended.
struct RelayAttemptFinished {
  std::uint64_t ticket = 0;
  std::uint64_t attempt = 0;
  RelayOutcome outcome = RelayOutcome::mayHaveRun;
};

/// Input of the relay. CallerLeft cancels the order's attempt in flight and ends the order.
using RelayEvent = std::variant<RelayRequested, RelayPrimary, RelayAttemptFinished, CallerLeft, Tick>;

/// Sends the order to `address`. Each attempt carries the order's idempotency key, so that the order is executed once
/// however often it is sent.
struct RelaySend {
  std::uint64_t ticket = 0;
  std::uint64_t attempt = 0;
  std::string address;
  TimePoint deadline;
};
/// Cancels an attempt.
struct RelayCancel {
  std::uint64_t attempt = 0;
};
/// Passes the answer of the attempt that just finished to the caller: it decides the order.
struct RelayDone {
  std::uint64_t ticket = 0;
};

/// Output of the relay. OrderOutcome ends an order that no answer has decided.
using RelayEffect = std::variant<RelaySend, RelayCancel, RelayDone, OrderOutcome>;

/// The state machine of the relay, without I/O. Not thread-safe. Invariants: each order has at most one attempt in
/// flight and ends exactly once, with RelayDone or with an OrderOutcome, whose status is `notRun` only if no attempt
/// may have run.
class Relay {
 public:
  /// The first attempt gets the id `firstAttempt` + 1.
  Relay(RelayOptions const& options, std::uint64_t firstAttempt);
  ~Relay();
  Relay(Relay&&) noexcept;
  Relay& operator=(Relay&&) noexcept;

  /// Handles one event. The caller executes the effects in their order.
  std::vector<RelayEffect> step(TimePoint now, RelayEvent const& event);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeramp::control
