#pragma once

#include "limeramp/messages/codec.h"

#include <cstdint>
#include <string>
#include <vector>

/// Messages by which processes discover one another: they exchange samples of their partial views of the fleet.
namespace limeramp::messages {

/// Values of Peer::role. Nodes of earlier versions send and expect exactly these words, so they must not change.
constexpr char const* gatewayRole = "quay";
constexpr char const* controllerRole = "harbourmaster";

/// An entry of a partial view: one process of the fleet as others know it.
struct Peer {
  static constexpr char const* name = "Peer";
  std::string node;
  std::string address;
  std::string zone;
  std::string role;
  std::uint64_t boot = 0;
  std::uint64_t ageMs = 0;
  template <typename V, typename T>
  static void describe(V& visit, T& self) {
    visit("node", self.node);
    visit("address", self.address);
    visit("zone", self.zone);
    visit("role", self.role);
    visit("boot", self.boot);
    visit("ageMs", self.ageMs);
  }
};

/// A sample of the sender's partial view, answered with one of the receiver's (see distribution/peer_views.h).
struct Shuffle {
  static constexpr char const* name = "Shuffle";
  bool reply = false;
  std::vector<Peer> peers;
  template <typename V, typename T>
  static void describe(V& visit, T& self) {
    visit("reply", self.reply);
    visit("peers", self.peers);
  }
};

}  // namespace limeramp::messages
