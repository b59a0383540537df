#include "limeramp/control/relay.h"

#include <map>

namespace limeramp::control {
namespace {

/// An order that is not decided yet.
struct RelayedOrder {
  TimePoint deadline;
  /// The next attempt at the same primary starts no earlier.
  TimePoint retryAt{};
  /// The primary that the last attempt was sent to.
  std::string primary;
  /// The attempt in flight; 0 for none.
  std::uint64_t attempt = 0;
  /// Whether any attempt so far may have run.
  bool mayHaveRun = false;
};

}  // namespace

struct Relay::Impl {
  RelayOptions options;
  std::uint64_t lastAttempt = 0;
  std::string primary;
  std::map<std::uint64_t, RelayedOrder> orders;
  std::vector<RelayEffect> effects;
  TimePoint now{};

  void on(RelayRequested const& event) {
    if (orders.size() >= options.maxRelays) {
      effects.emplace_back(OrderOutcome{event.ticket, OrderStatus::notRun, {}, {}, "too many changes wait"});
      return;
    }
    orders.emplace(event.ticket, RelayedOrder{event.deadline, now, "", 0, false});
    sendAndExpire();
  }

  void on(RelayPrimary const& event) {
    primary = event.address;
    sendAndExpire();
  }

  void on(RelayAttemptFinished const& event) {
    std::map<std::uint64_t, RelayedOrder>::iterator const found = orders.find(event.ticket);
    if (found == orders.end() || found->second.attempt != event.attempt) {
      return;
    }
    if (event.outcome == RelayOutcome::final) {
      effects.emplace_back(RelayDone{event.ticket});
      orders.erase(found);
      return;
    }
    RelayedOrder& order = found->second;
    order.attempt = 0;
    order.retryAt = now + options.retryDelayMs;
    order.mayHaveRun = order.mayHaveRun || event.outcome == RelayOutcome::mayHaveRun;
  }

  void on(CallerLeft const& event) {
    std::map<std::uint64_t, RelayedOrder>::iterator const found = orders.find(event.ticket);
    if (found == orders.end()) {
      return;
    }
    cancelAttempt(found->second);
    OrderStatus const status = found->second.mayHaveRun ? OrderStatus::unknown : OrderStatus::notRun;
    effects.emplace_back(OrderOutcome{event.ticket, status, {}, {}, callerLeftReason});
    orders.erase(found);
  }

  void on(Tick const&) { sendAndExpire(); }

  /// A cancelled attempt may have run already.
  void cancelAttempt(RelayedOrder& order) {
    if (order.attempt != 0) {
      effects.emplace_back(RelayCancel{order.attempt});
      order.mayHaveRun = true;
    }
  }

  /// Ends expired orders, and sends an attempt for each order that is due or whose primary has changed.
  void sendAndExpire() {
    for (std::map<std::uint64_t, RelayedOrder>::iterator position = orders.begin(); position != orders.end();) {
      RelayedOrder& order = position->second;
      bool const inFlight = order.attempt != 0;
      bool const expired = now >= order.deadline;
      bool const keepWaiting = inFlight ? order.primary == primary : order.primary == primary && now < order.retryAt;
      if (expired || !(keepWaiting || primary.empty())) {
        cancelAttempt(order);
      }
      if (expired) {
        effects.emplace_back(
            OrderOutcome{position->first,
                         order.mayHaveRun ? OrderStatus::unknown : OrderStatus::notRun,
                         {},
                         {},
                         primary.empty() ? "no primary is known here" : "the primary gave no answer in time"});
        position = orders.erase(position);
        continue;
      }
      if (!keepWaiting && !primary.empty()) {
        order.primary = primary;
        order.attempt = ++lastAttempt;
        effects.emplace_back(RelaySend{position->first, order.attempt, primary, order.deadline});
      }
      ++position;
    }
  }
};

Relay::Relay(RelayOptions const& options, std::uint64_t firstAttempt) : impl_(std::make_unique<Impl>()) {
  impl_->options = options;
  impl_->lastAttempt = firstAttempt;
}

Relay::~Relay() = default;
Relay::Relay(Relay&&) noexcept = default;
Relay& Relay::operator=(Relay&&) noexcept = default;

std::vector<RelayEffect> Relay::step(TimePoint now, RelayEvent const& event) {
  impl_->now = now;
  impl_->effects.clear();
  std::visit([this](auto const& concrete) { impl_->on(concrete); }, event);
  return std::move(impl_->effects);
}

}  // namespace limeramp::control
