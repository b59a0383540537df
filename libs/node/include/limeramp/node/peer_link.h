#pragma once

#include "limeramp/distribution/peer_views.h"
#include "limeramp/messages/messages.h"
#include "limeramp/net/peer_sender.h"

#include <optional>
#include <string>
#include <vector>

/// Messages between the processes of one fleet.
namespace limeramp::node {

/// Exchanges messages between the processes of one fleet: encodes and sends envelopes, and decodes those received.
///
/// Sending is one-way and any message may be lost; senders repeat what must arrive. A process learns its fleet only
/// once it holds a configuration or an epoch, so each call passes the current fleet of the process; empty if not known
/// yet.
class PeerLink {
 public:
  /// @param node the name of this process in its envelopes
  /// @param address the address at which other processes reach it
  PeerLink(net::Network& network, std::string const& node, std::string const& address);

  /// Sends a message to one process; it may be lost.
  void send(std::string const& fleet, std::string const& address, messages::Message message);
  void sendAll(std::string const& fleet, std::vector<distribution::Outgoing> const& sends);

  /// Decodes a received envelope.
  /// @return nothing, after logging E601, if it is malformed or from another fleet
  static std::optional<messages::PeerMessage> open(std::string const& fleet, std::string const& envelope);

 private:
  net::PeerSender sender_;
  std::string node_;
  std::string address_;
};

}  // namespace limeramp::node
