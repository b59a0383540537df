#pragma once

#include "limeramp/control/relay.h"
#include "simulator/fleet_simulation.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace limeramp::simulator {

/// What the caller of an order has seen of one call.
enum class Reply { taken, refused, conflict, notRun, unknown, silence };

/// One call of an operator: the order, the machine that it goes to, and what the network does to the answer.
struct OperatorCall {
  std::size_t machine = 0;
  control::Change order;
  bool answerLost = false;
};

/// A call that was made and what came of it.
struct MadeCall {
  std::string order;
  std::size_t machine = 0;
  TimePoint began{};
  std::optional<Reply> reply{};
  TimePoint repliedAt{};
};

/// Operators of a simulated fleet. Any machine can be called: the primary carries the order out, the others forward it
/// with the product's own relay. Calls and forwarded calls need both directions of the link between two machines; an
/// operator itself reaches every running machine at all times, on either side of a cut.
///
/// Orders are compared by Change::id. `judge` checks the history of all calls against what was ever published.
class OperatorSimulation {
 public:
  explicit OperatorSimulation(FleetSimulation& fleet);

  /// Makes one call that waits `wait` for its answer; returns its place in `calls`.
  std::size_t call(OperatorCall const& wanted, Ms wait);
  /// Runs the fleet until the call has its reply.
  Reply await(std::size_t call);
  /// Repeats the order at one machine after the other until one takes it or refuses it definitely.
  Reply insist(control::Change const& order, Ms within);

  /// Every rule that the history of calls breaks: of two changes on one revision both were acknowledged; an order was
  /// refused although it was taken, before or after; an order was refused in one answer and acknowledged in another.
  std::vector<std::string> judge() const;
  bool wasPublished(std::string const& order) const { return published_.contains(order); }

  std::vector<MadeCall> calls;

 private:
  /// Where the answer of an order that a primary carries out goes: to a caller, or to the machine that forwarded it.
  struct Visit {
    std::size_t primary = 0;
    std::size_t from = 0;
    std::uint64_t fromLife = 0;
    std::uint64_t relayTicket = 0;
    std::uint64_t attempt = 0;
    std::optional<std::size_t> call;
    bool answerLost = false;
  };
  struct Forwarder {
    std::uint64_t life = 0;
    std::optional<control::Relay> relay;
    std::map<std::uint64_t, std::size_t> calls;
    std::map<std::uint64_t, OperatorCall> orders;
  };

  void arrive(std::size_t call, OperatorCall const& wanted, TimePoint deadline);
  void carryOut(std::size_t machine, control::Change order, Visit const& visit);
  void forward(std::size_t machine, std::size_t call, OperatorCall const& wanted, TimePoint deadline);
  void driveRelay(std::size_t machine, control::RelayEvent const& event, std::optional<Reply> reply = {});
  void send(std::size_t machine, control::RelaySend const& wanted);
  void returnTo(Visit const& visit, Reply reply, std::size_t answering);
  void decided(control::OrderOutcome const& decided);
  void finish(std::size_t call, Reply reply);
  void tick();
  void atMachine(std::size_t machine, std::function<void()> work);
  Forwarder& forwarderOf(std::size_t machine);
  std::string primaryAddress(std::size_t machine) const;
  std::chrono::microseconds delay() { return std::chrono::microseconds(200 + fleet_.network.roll(3'000)); }

  FleetSimulation& fleet_;
  std::map<std::uint64_t, Visit> visits_;
  std::map<std::size_t, Forwarder> forwarders_;
  std::map<std::string, control::Change> orders_;
  std::set<std::string> published_;
};

}  // namespace limeramp::simulator
