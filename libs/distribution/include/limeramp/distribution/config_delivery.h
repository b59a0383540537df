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

/// Bringing the replicated state to every node.
namespace limeramp::distribution {

/// How often a node polls, and how long what it heard stays good. Shorter times bring a change and the loss of a node
/// to light sooner; each costs messages of every node.
struct ConfigDeliveryOptions {
  /// Between two polls of the node that is followed; of a controller in another zone, `remotePollMs`.
  std::chrono::milliseconds pollMs{200};
  std::chrono::milliseconds remotePollMs{350};
  /// A poll that has no answer after this time makes the node that was polled a suspect. Above the round trip between
  /// the farthest zones.
  std::chrono::milliseconds replyMs{450};
  /// For this long a suspect is passed over.
  std::chrono::milliseconds suspectMs{3000};
  /// A state that the primary has not confirmed for this long is checked with other nodes of the roster. Below
  /// `currentMs` by the time that the check takes.
  std::chrono::milliseconds stalenessCheckMs{1300};
  /// A confirmation is good for this long: afterwards the node refuses callers. With the time that the primary waits
  /// for silent nodes it bounds how long after an acknowledgement an older configuration can be in force.
  std::chrono::milliseconds currentMs{2000};
  /// A follower that has not polled for this long is no longer reported.
  std::chrono::milliseconds followerMs{2000};
  /// A node that restarts while no primary answers begins to have its start recorded by others after this time.
  std::chrono::milliseconds recoverAfterMs{1000};
  /// How long the answer of a node that knew nothing newer is good before it is asked again.
  std::chrono::milliseconds peerConfirmationValidMs{1000};
  /// How long a newer state that another node has named may take to come before it is asked for.
  std::chrono::milliseconds fetchAfterMs{150};
};

/// The same report of a node that is alive, confirming nothing.
messages::Follower withoutVersion(messages::Follower follower);

/// What this node knows about the state that it has, and so what may be served under it.
enum class ConfigFreshness {
  /// No state has come yet: nothing may be served.
  noConfiguration,
  /// The state's roster does not name this node at its address: nothing may be served.
  notMember,
  /// Nobody has confirmed the state for `currentMs`: a newer one may be in force elsewhere, nothing may be served.
  stale,
  /// The primary has confirmed it within `currentMs`: callers are served.
  confirmedByPrimary,
  /// The primary is silent, a majority of the roster knows nothing newer: callers are served.
  confirmedByMajority,
};

/// Whether callers may be served under a state of this freshness.
constexpr bool mayServe(ConfigFreshness freshness) {
  return freshness == ConfigFreshness::confirmedByPrimary || freshness == ConfigFreshness::confirmedByMajority;
}

/// How far this node is behind, for readiness and status pages.
struct DeliveryStatus {
  ConfigFreshness freshness = ConfigFreshness::noConfiguration;
  /// Since the primary last confirmed the state; milliseconds::max() if it never did.
  std::chrono::milliseconds ageMs{0};
  /// How many versions the newest one that was heard of is ahead of the one that is here.
  std::uint64_t versionsBehind = 0;
};

/// What a step asks for.
struct ConfigDeliveryStep {
  std::vector<Outgoing> sends;
  /// Whether state() is a newer one than before.
  bool changed = false;
};

/// Keeps one node on the newest replicated state and tells how sure that is.
///
/// A pure state machine: it reads no clock and sends nothing, it returns what to send. The node follows the owner of
/// the configuration in its zone, or the primary if it is the owner; it hands the state on to those that follow it.
/// Guarantees: state() never falls back to an older version; a state counts as confirmed only from the moment at which
/// the question was sent that confirmed it. docs/control.md has the argument. Not safe for use by several threads.
class ConfigDelivery {
 public:
  ConfigDelivery(ConfigDeliveryOptions const& options, messages::Follower const& self, std::uint64_t boot,
                 std::uint64_t seed);
  ~ConfigDelivery();
  ConfigDelivery(ConfigDelivery const&);
  ConfigDelivery(ConfigDelivery&&) noexcept;
  ConfigDelivery& operator=(ConfigDelivery const&);
  ConfigDelivery& operator=(ConfigDelivery&&) noexcept;

  /// To be called every 50 ms or so. `peers`: the partial view of the fleet.
  ConfigDeliveryStep tick(TimePoint now, std::vector<messages::Peer> const& peers);
  /// Takes in a message from `address`; the answer, if there is one, is among the sends.
  ConfigDeliveryStep onMessage(TimePoint now, std::string const& address, messages::StateRequest const& message);
  ConfigDeliveryStep onMessage(TimePoint now, std::string const& address, messages::StateResponse const& message);
  ConfigDeliveryStep onMessage(TimePoint now, std::string const& address, messages::StateUpdate const& message);

  /// The process will end: the next reports say so, and the node asks for its place to be given up.
  void beginShutdown();
  DeliveryStatus status(TimePoint now) const;
  /// The newest state that came here, without receipts; nothing before the first one.
  std::optional<messages::State> const& state() const;
  /// Where the primary was last said to be; empty if nobody says.
  std::string const& primaryAddress() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeramp::distribution
