// Messages of other processes of the fleet, and the configuration that they deliver.
#include "gateway_server_impl.h"

namespace limeramp::gateway {

void GatewayServer::Impl::receivePeerMessage(std::string const& body) {
  std::optional<messages::PeerMessage> const received = node::PeerLink::open(fleet, body);
  if (!received) {
    return;
  }
  Clock::time_point const now = Clock::now();
  if (messages::Shuffle const* const shuffle = std::get_if<messages::Shuffle>(&received->message)) {
    peerLink.sendAll(fleet, views.hear(now, received->from, received->address, *shuffle));
  } else if (messages::Poll const* const poll = std::get_if<messages::Poll>(&received->message)) {
    apply(delivery.hear(now, received->address, *poll));
  } else if (messages::News const* const news = std::get_if<messages::News>(&received->message)) {
    if (fleet.empty() && news->state) {
      fleet = received->fleet;
    }
    apply(delivery.hear(now, received->address, *news));
  } else if (messages::StateUpdate const* const update = std::get_if<messages::StateUpdate>(&received->message)) {
    if (fleet.empty()) {
      fleet = received->fleet;
    }
    apply(delivery.hear(now, received->address, *update));
  } else if (messages::TablePoll const* const tablePoll = std::get_if<messages::TablePoll>(&received->message)) {
    apply(directory.hear(now, received->address, *tablePoll));
  } else if (messages::TableNews const* const tableNews = std::get_if<messages::TableNews>(&received->message)) {
    apply(directory.hear(now, received->address, *tableNews));
  }
}

void GatewayServer::Impl::apply(distribution::ConfigDeliveryStep const& step) {
  peerLink.sendAll(fleet, step.sends);
  if (step.changed) {
    putInForce();
  }
}

}  // namespace limeramp::gateway
