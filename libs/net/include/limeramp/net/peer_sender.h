#pragma once

#include "limeramp/net/http.h"

#include <memory>
#include <string>

/// Sends messages to other processes of the fleet.
namespace limeramp::net {

/// One way, over one connection to each peer, in order. At most 32 messages are on the way to one peer; further ones
/// are dropped, as are those that a peer does not take within 0.8 s: every sender repeats what matters. Safe to call
/// from any thread.
class PeerSender {
 public:
  /// `from`: how this process is named to its peers.
  PeerSender(Network& network, std::string const& from);
  ~PeerSender();
  PeerSender(PeerSender const&) = delete;
  PeerSender& operator=(PeerSender const&) = delete;

  /// Hands a message over; it may be dropped.
  void send(std::string const& address, std::string body);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeramp::net
