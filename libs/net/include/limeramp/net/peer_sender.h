#pragma once

#include "limeramp/net/http.h"

#include <memory>
#include <string>

/// Sends messages to other processes of the fleet.
namespace limeramp::net {

/// Sends one-way messages in order over one connection to each peer. At most 32 messages to one peer are outstanding.
/// Further messages are dropped, as are messages that the peer does not answer within 0.8 s: senders repeat what must
/// arrive. May be called from any thread.
class PeerSender {
 public:
  /// @param from the name by which this process identifies itself to its peers
  PeerSender(Network& network, std::string const& from);
  ~PeerSender();
  PeerSender(PeerSender const&) = delete;
  PeerSender& operator=(PeerSender const&) = delete;

  /// Sends a message to `address` ("IP:PORT"). The message may be dropped without notice.
  void send(std::string const& address, std::string body);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeramp::net
