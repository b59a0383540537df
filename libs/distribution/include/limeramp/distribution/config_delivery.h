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

namespace limeramp::distribution {

struct ConfigDeliveryOptions {
  std::chrono::milliseconds pollMs{200};
  std::chrono::milliseconds remotePollMs{350};
  std::chrono::milliseconds replyMs{450};
  std::chrono::milliseconds suspectMs{3000};
  std::chrono::milliseconds stalenessCheckMs{1300};
  std::chrono::milliseconds currentMs{2000};
  std::chrono::milliseconds followerMs{2000};
  std::chrono::milliseconds recoverAfterMs{1000};
  /// How long the answer of a node that knew nothing newer is good before it is asked again.
  std::chrono::milliseconds peerConfirmationValidMs{1000};
  /// How long a newer state that another node has named may take to come before it is asked for.
  std::chrono::milliseconds fetchAfterMs{150};
};

/// The same report of a node that is alive, confirming nothing.
messages::Follower withoutVersion(messages::Follower follower);

enum class ConfigFreshness { noConfiguration, notMember, stale, confirmedByPrimary, confirmedByMajority };

struct DeliveryStatus {
  ConfigFreshness freshness = ConfigFreshness::noConfiguration;
  std::chrono::milliseconds ageMs{0};
  /// How many versions the newest one that was heard of is ahead of the one that is here.
  std::uint64_t versionsBehind = 0;
};

struct ConfigDeliveryStep {
  std::vector<Outgoing> sends;
  bool changed = false;
};

class ConfigDelivery {
 public:
  ConfigDelivery(ConfigDeliveryOptions const& options, messages::Follower const& self, std::uint64_t boot,
                 std::uint64_t seed);
  ~ConfigDelivery();
  ConfigDelivery(ConfigDelivery const&);
  ConfigDelivery(ConfigDelivery&&) noexcept;
  ConfigDelivery& operator=(ConfigDelivery const&);
  ConfigDelivery& operator=(ConfigDelivery&&) noexcept;

  ConfigDeliveryStep tick(TimePoint now, std::vector<messages::Peer> const& peers);
  ConfigDeliveryStep onMessage(TimePoint now, std::string const& address, messages::StateRequest const& message);
  ConfigDeliveryStep onMessage(TimePoint now, std::string const& address, messages::StateResponse const& message);
  ConfigDeliveryStep onMessage(TimePoint now, std::string const& address, messages::StateUpdate const& message);

  void leave();
  DeliveryStatus status(TimePoint now) const;
  std::optional<messages::State> const& state() const;
  std::string const& primaryAddress() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeramp::distribution
