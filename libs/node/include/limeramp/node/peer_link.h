#pragma once

#include "limeramp/distribution/peer_views.h"
#include "limeramp/messages/messages.h"
#include "limeramp/net/peer_sender.h"

#include <optional>
#include <string>
#include <vector>

/// The way between the processes of one fleet.
namespace limeramp::node {

/// The messages between the processes of one fleet: puts them into envelopes, sends them, and opens those that arrive.
///
/// Sending is one way and may lose any message; senders repeat what matters. A process learns its fleet only once it
/// holds a configuration or an epoch, so each call names the fleet that the process belongs to now; empty for none yet.
class PeerLink {
 public:
  /// @param node how this process is named to others
  /// @param address where others reach it
  PeerLink(net::Network& network, std::string const& node, std::string const& address);

  /// Sends messages; any may be lost.
  void send(std::string const& fleet, std::string const& address, messages::Message message);
  void sendAll(std::string const& fleet, std::vector<distribution::Outgoing> const& sends);

  /// Opens an envelope that arrived.
  /// @return nothing, after logging E601, if it is malformed or from another fleet
  static std::optional<messages::PeerMessage> open(std::string const& fleet, std::string const& envelope);

 private:
  net::PeerSender sender_;
  std::string node_;
  std::string address_;
};

}  // namespace limeramp::node
