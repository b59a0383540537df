#pragma once

#include "limeramp/distribution/incarnations.h"
#include "limeramp/distribution/peer_views.h"
#include "limeramp/messages/messages.h"

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Delivers the replicated state to every node.
namespace limeramp::distribution {

/// Poll intervals and timeouts of one node, in milliseconds. Shorter values detect a change or the loss of a node
/// sooner and cost more messages from every node.
struct ConfigDeliveryOptions {
  /// Interval between two polls of the node that is followed. `remotePollMs` applies instead to a controller in another
  /// zone, unless the confirmation of the state is overdue.
  std::chrono::milliseconds pollMs{200};
  std::chrono::milliseconds remotePollMs{350};
  /// A node that has not answered a poll after this time is suspected to be down. Must exceed the round trip between
  /// the farthest zones.
  std::chrono::milliseconds replyMs{450};
  /// A suspected node is not polled for this long.
  std::chrono::milliseconds suspectMs{3000};
  /// If the primary has not confirmed the state for this long, the node asks other nodes of the roster whether they
  /// know a newer one. Must be below `currentMs` by at least the time that this check takes.
  std::chrono::milliseconds stalenessCheckMs{1300};
  /// Validity of a confirmation; once it has expired, the node refuses callers. Together with the time that the primary
  /// waits for silent nodes it bounds how long an older configuration stays in force after an acknowledgement.
  std::chrono::milliseconds currentMs{2000};
  /// A follower that has not polled for this long is no longer reported to the primary. Added to the time after which
  /// the primary stops waiting for a node; above several polls.
  std::chrono::milliseconds followerMs{1000};
  /// A restarted node that no primary answers asks other nodes to record its new incarnation after this time.
  std::chrono::milliseconds recoverAfterMs{1000};
  /// Validity of a peer's answer that it knows no newer state; the peer is not asked again before it expires.
  std::chrono::milliseconds peerConfirmationValidMs{1000};
  /// If a newer state that another node has named has not arrived after this time, it is requested from that node.
  std::chrono::milliseconds fetchAfterMs{150};
};

/// Returns `follower` with version 0: the node is reported as alive, but confirms no state.
messages::Follower withoutVersion(messages::Follower follower);

/// How well the state of this node is confirmed, which decides whether the node may serve callers.
enum class ConfigFreshness {
  /// No state has been received yet: nothing may be served.
  noConfiguration,
  /// The state's roster does not name this node at its address: nothing may be served.
  notMember,
  /// Neither the primary nor a majority has confirmed the state within `currentMs`. A newer one may be in force
  /// elsewhere: nothing may be served.
  stale,
  /// The primary has confirmed the state within `currentMs`: callers are served.
  confirmedByPrimary,
  /// The primary does not answer, but a majority of the roster knows no newer state: callers are served.
  confirmedByMajority,
};

/// Whether callers may be served under a state of this freshness.
constexpr bool mayServe(ConfigFreshness freshness) {
  return freshness == ConfigFreshness::confirmedByPrimary || freshness == ConfigFreshness::confirmedByMajority;
}

/// How far this node is behind, for readiness and status pages.
struct DeliveryStatus {
  ConfigFreshness freshness = ConfigFreshness::noConfiguration;
  /// Time since the primary last confirmed the state; milliseconds::max() if it never did.
  std::chrono::milliseconds ageMs{0};
  /// How many versions this node's state is behind the newest version that any node has named.
  std::uint64_t versionsBehind = 0;
};

/// The result of one step of ConfigDelivery.
struct ConfigDeliveryStep {
  std::vector<Outgoing> sends;
  /// Whether state() returns a newer state than before the step.
  bool changed = false;
};

/// Keeps one node on the newest replicated state and reports how recently that state was confirmed.
///
/// A pure state machine: it reads no clock and returns the messages to send. The node polls the owner of the
/// configuration in its zone, or the primary if it is the owner itself, and passes the state on to its own followers.
/// Guarantees: state() never returns to an older version; a confirmation is dated to the moment at which the request
/// for it was sent, not to its arrival. docs/control.md has the argument. Not thread-safe.
class ConfigDelivery {
 public:
  ConfigDelivery(ConfigDeliveryOptions const& options, messages::Follower const& self, std::uint64_t boot,
                 std::uint64_t seed);
  ~ConfigDelivery();
  ConfigDelivery(ConfigDelivery const&);
  ConfigDelivery(ConfigDelivery&&) noexcept;
  ConfigDelivery& operator=(ConfigDelivery const&);
  ConfigDelivery& operator=(ConfigDelivery&&) noexcept;

  /// Must be called about every 50 ms. `peers` is the partial view of the fleet.
  ConfigDeliveryStep tick(TimePoint now, std::vector<messages::Peer> const& peers);
  /// Processes a message from `address`; the returned `sends` include the response, if there is one.
  ConfigDeliveryStep onMessage(TimePoint now, std::string const& address, messages::StateRequest const& message);
  ConfigDeliveryStep onMessage(TimePoint now, std::string const& address, messages::StateResponse const& message);
  ConfigDeliveryStep onMessage(TimePoint now, std::string const& address, messages::StateUpdate const& message);

  /// Marks the node as draining: its next reports say so, and ask the primary to remove it from the roster.
  void beginShutdown();
  DeliveryStatus status(TimePoint now) const;
  /// The newest state received, without receipts; nullopt before the first one.
  std::optional<messages::State> const& state() const;
  /// The last known address of the primary; empty if none is known.
  std::string const& primaryAddress() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeramp::distribution
