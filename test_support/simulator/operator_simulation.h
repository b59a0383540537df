#pragma once

#include "limeramp/control/relay.h"
#include "simulator/fleet_simulation.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace limeramp::simulator {

/// The outcome of one call as its caller sees it; none if no reply arrived in time.
enum class Reply { taken, refused, conflict, notRun, unknown, none };

/// One call of an operator: the order, the machine that it goes to, and what the network does to the answer.
struct OperatorCall {
  std::size_t machine = 0;
  control::Change order;
  bool answerLost = false;
};

/// A call and its reply.
struct CallRecord {
  std::string order;
  std::size_t machine = 0;
  TimePoint began{};
  std::optional<Reply> reply{};
  TimePoint repliedAt{};
};

/// Operators of a simulated fleet. Any machine can be called: the primary executes the order, the others forward it
/// through control::Relay. Calls and forwarded calls need both directions of the link between two machines; an
/// operator itself reaches every running machine at all times, on either side of a cut.
///
/// Orders are identified by Change::id. `checkInvariants` compares the history of all calls with every published state.
class OperatorSimulation {
 public:
  explicit OperatorSimulation(FleetSimulation& fleet);

  /// Makes one call that waits `wait` for its answer; returns its index in `calls`.
  std::size_t call(OperatorCall const& wanted, Ms wait);
  /// Runs the fleet until the call has a reply or has timed out.
  Reply await(std::size_t call);
  /// Retries the order round robin over the machines until the reply is taken, refused or conflict, or until `within`
  /// has passed.
  Reply retryUntilDecided(control::Change const& order, Ms within);

  /// Returns every violation in the history of calls: an acknowledged order was never in force; two changes on one
  /// base revision were both acknowledged; an order was refused although it was in force before or after; an order was
  /// refused in one answer and acknowledged in another.
  std::vector<std::string> checkInvariants() const;
  bool wasPublished(std::string const& order) const { return published_.contains(order); }

  std::vector<CallRecord> calls;

 private:
  /// The destination of the answer to an order: the caller, or the machine that forwarded the order.
  struct ReplyRoute {
    std::size_t primary = 0;
    std::size_t from = 0;
    std::uint64_t fromIncarnation = 0;
    std::uint64_t relayTicket = 0;
    std::uint64_t attempt = 0;
    std::optional<std::size_t> call;
    bool answerLost = false;
  };
  struct Forwarder {
    std::uint64_t incarnation = 0;
    std::optional<control::Relay> relay;
    std::map<std::uint64_t, std::size_t> calls;
    std::map<std::uint64_t, OperatorCall> orders;
  };

  void arrive(std::size_t call, OperatorCall const& wanted, TimePoint deadline);
  void carryOut(std::size_t machine, control::Change order, ReplyRoute const& route);
  void forward(std::size_t machine, std::size_t call, OperatorCall const& wanted, TimePoint deadline);
  void driveRelay(std::size_t machine, control::RelayEvent const& event, std::optional<Reply> reply = {});
  void send(std::size_t machine, control::RelaySend const& wanted);
  void sendReply(ReplyRoute const& route, Reply reply, std::size_t answering);
  void decided(control::OrderOutcome const& decided);
  void finish(std::size_t call, Reply reply);
  void tick();
  void atMachine(std::size_t machine, std::function<void()> work);
  Forwarder& forwarderOf(std::size_t machine);
  std::string primaryAddress(std::size_t machine) const;
  std::chrono::microseconds delay() { return std::chrono::microseconds(200 + fleet_.network.roll(3'000)); }

  FleetSimulation& fleet_;
  std::map<std::uint64_t, ReplyRoute> routes_;
  std::map<std::size_t, Forwarder> forwarders_;
  std::map<std::string, control::Change> orders_;
  std::set<std::string> published_;
};

}  // namespace limeramp::simulator
