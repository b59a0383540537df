#include "poll_targets.h"

#include "limeramp/distribution/rendezvous_hash.h"

#include <utility>

namespace limeramp::distribution {
namespace {

/// Addresses of the zone's nodes by name: those of the roster or, before one is known, the gateways in `peers`.
std::map<std::string, std::string> addressesOfZone(messages::Peer const& self,
                                                   std::vector<messages::RosterEntry> const& roster,
                                                   std::vector<messages::Peer> const& peers) {
  std::map<std::string, std::string> addresses;
  for (messages::RosterEntry const& entry : roster) {
    if (entry.zone == self.zone) {
      addresses[entry.node] = entry.address;
    }
  }
  for (messages::Peer const& peer : peers) {
    if (addresses.empty() && peer.role == messages::gatewayRole && peer.zone == self.zone) {
      addresses[peer.node] = peer.address;
    }
  }
  addresses[self.node] = self.address;
  return addresses;
}

}  // namespace

void PollTargets::expire(TimePoint now) {
  std::erase_if(suspectedUntil_,
                [&](std::pair<std::string const, TimePoint> const& entry) { return now >= entry.second; });
}

std::string PollTargets::zoneOwner(messages::Peer const& self, std::vector<messages::RosterEntry> const& roster,
                                   std::vector<messages::Peer> const& peers) const {
  std::map<std::string, std::string> const addresses = addressesOfZone(self, roster, peers);
  std::vector<std::string> names;
  names.reserve(addresses.size());
  for (std::pair<std::string const, std::string> const& entry : addresses) {
    names.push_back(entry.first);
  }
  for (std::string const& name : rankByRendezvousHash("configuration/" + self.zone, std::move(names))) {
    std::string const& address = addresses.at(name);
    if (address == self.address) {
      return "";
    }
    if (!isSuspected(address)) {
      return address;
    }
  }
  return "";
}

std::string PollTargets::controller(std::string const& primaryAddress, std::vector<messages::Peer> const& peers) {
  if (!primaryAddress.empty() && !isSuspected(primaryAddress)) {
    return primaryAddress;
  }
  std::vector<std::string> known;
  for (messages::Peer const& peer : peers) {
    if (peer.role == messages::controllerRole) {
      known.push_back(peer.address);
    }
  }
  return known.empty() ? primaryAddress : known[++nextController_ % known.size()];
}

}  // namespace limeramp::distribution
