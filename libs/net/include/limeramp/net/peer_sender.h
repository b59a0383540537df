#pragma once

#include "limeramp/net/http.h"

#include <memory>
#include <string>

namespace limeramp::net {

class PeerSender {
 public:
  PeerSender(Network& network, std::string const& from);
  ~PeerSender();
  PeerSender(PeerSender const&) = delete;
  PeerSender& operator=(PeerSender const&) = delete;

  void send(std::string const& address, std::string body);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeramp::net
