#include "limeramp/control/relay.h"

#include <map>

namespace limeramp::control {
namespace {

struct Entry {
  TimePoint deadline;
  TimePoint nextAt{};
  std::string primary;
  std::uint64_t attempt = 0;
  bool mayHaveRun = false;
};

}  // namespace

struct Relay::Impl {
  RelayOptions options;
  std::uint64_t lastAttempt = 0;
  std::string primary;
  std::map<std::uint64_t, Entry> entries;
  std::vector<RelayEffect> effects;
  TimePoint now{};

  void on(RelayRequested const& event) {
    if (entries.size() >= options.maxRelays) {
      effects.emplace_back(OrderOutcome{event.ticket, OrderStatus::notRun, {}, {}, "too many changes wait"});
      return;
    }
    entries.emplace(event.ticket, Entry{event.deadline, now, "", 0, false});
    push();
  }

  void on(RelayPrimary const& event) {
    primary = event.address;
    push();
  }

  void on(RelayAttemptFinished const& event) {
    std::map<std::uint64_t, Entry>::iterator const found = entries.find(event.ticket);
    if (found == entries.end() || found->second.attempt != event.attempt) {
      return;
    }
    if (event.outcome == RelayOutcome::final) {
      effects.emplace_back(RelayDone{event.ticket});
      entries.erase(found);
      return;
    }
    Entry& entry = found->second;
    entry.attempt = 0;
    entry.nextAt = now + options.againMs;
    entry.mayHaveRun = entry.mayHaveRun || event.outcome == RelayOutcome::mayHaveRun;
  }

  void on(CallerLeft const& event) {
    std::map<std::uint64_t, Entry>::iterator const found = entries.find(event.ticket);
    if (found == entries.end()) {
      return;
    }
    cancelAttempt(found->second);
    OrderStatus const status = found->second.mayHaveRun ? OrderStatus::unknown : OrderStatus::notRun;
    effects.emplace_back(OrderOutcome{event.ticket, status, {}, {}, callerLeftReason});
    entries.erase(found);
  }

  void on(Tick const&) { push(); }

  void cancelAttempt(Entry& entry) {
    if (entry.attempt != 0) {
      effects.emplace_back(RelayCancel{entry.attempt});
      entry.mayHaveRun = true;
    }
  }

  void push() {
    for (std::map<std::uint64_t, Entry>::iterator row = entries.begin(); row != entries.end();) {
      Entry& entry = row->second;
      bool const open = entry.attempt != 0;
      bool const ended = now >= entry.deadline;
      bool const waits = open ? entry.primary == primary : entry.primary == primary && now < entry.nextAt;
      if (ended || !(waits || primary.empty())) {
        cancelAttempt(entry);
      }
      if (ended) {
        effects.emplace_back(
            OrderOutcome{row->first,
                         entry.mayHaveRun ? OrderStatus::unknown : OrderStatus::notRun,
                         {},
                         {},
                         primary.empty() ? "no primary is known here" : "the primary gave no answer in time"});
        row = entries.erase(row);
        continue;
      }
      if (!waits && !primary.empty()) {
        entry.primary = primary;
        entry.attempt = ++lastAttempt;
        effects.emplace_back(RelaySend{row->first, entry.attempt, primary, entry.deadline});
      }
      ++row;
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
