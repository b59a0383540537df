#include "limeramp/node/peer_link.h"

#include "limeramp/logging/logging.h"

namespace limeramp::node {

PeerLink::PeerLink(net::Network& network, std::string const& node, std::string const& address)
    : sender_(network, address), node_(node), address_(address) {}

void PeerLink::send(std::string const& fleet, std::string const& address, messages::Message message) {
  sender_.send(address, messages::encodeEnvelope({fleet, node_, address_, std::move(message)}));
}

void PeerLink::sendAll(std::string const& fleet, std::vector<distribution::Outgoing> const& sends) {
  for (distribution::Outgoing const& outgoing : sends) {
    send(fleet, outgoing.address, outgoing.message);
  }
}

std::optional<messages::PeerMessage> PeerLink::open(std::string const& fleet, std::string const& envelope) {
  absl::StatusOr<messages::PeerMessage> received = messages::decodeEnvelope(envelope);
  if (!received.ok()) {
    logging::raise(logging::Event::peerUnexpected, {{"reason", std::string(received.status().message())}});
    return std::nullopt;
  }
  if (!fleet.empty() && !received->fleet.empty() && received->fleet != fleet) {
    logging::raise(logging::Event::peerUnexpected, {{"fleet", received->fleet}, {"from", received->from}});
    return std::nullopt;
  }
  return *std::move(received);
}

}  // namespace limeramp::node
