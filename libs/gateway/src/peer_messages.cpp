// Handles messages from other processes of the fleet, among them the delivered configuration.
#include "gateway_server_impl.h"

namespace limeramp::gateway {

void GatewayServer::Impl::receivePeerMessage(std::string const& body) {
  std::optional<messages::PeerMessage> const received = node::PeerLink::open(fleet, body);
  if (!received) {
    return;
  }
  Clock::time_point const now = Clock::now();
  if (messages::Shuffle const* const shuffle = std::get_if<messages::Shuffle>(&received->message)) {
    peerLink.sendAll(fleet, peerViews.onMessage(now, received->from, received->address, *shuffle));
  } else if (messages::StateRequest const* const poll = std::get_if<messages::StateRequest>(&received->message)) {
    apply(delivery.onMessage(now, received->address, *poll));
  } else if (messages::StateResponse const* const response = std::get_if<messages::StateResponse>(&received->message)) {
    if (fleet.empty() && response->state) {
      fleet = received->fleet;
    }
    apply(delivery.onMessage(now, received->address, *response));
  } else if (messages::StateUpdate const* const update = std::get_if<messages::StateUpdate>(&received->message)) {
    if (fleet.empty()) {
      fleet = received->fleet;
    }
    apply(delivery.onMessage(now, received->address, *update));
  } else if (messages::TableRequest const* const tableRequest =
                 std::get_if<messages::TableRequest>(&received->message)) {
    apply(directory.onMessage(now, received->address, *tableRequest));
  } else if (messages::TableResponse const* const tableResponse =
                 std::get_if<messages::TableResponse>(&received->message)) {
    apply(directory.onMessage(now, received->address, *tableResponse));
  }
}

void GatewayServer::Impl::apply(distribution::ConfigDeliveryStep const& step) {
  peerLink.sendAll(fleet, step.sends);
  if (step.changed) {
    putInForce();
  }
}

}  // namespace limeramp::gateway
