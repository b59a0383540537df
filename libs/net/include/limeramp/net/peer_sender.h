#pragma once

#include "limeramp/net/http.h"

#include <memory>
#include <string>

namespace limeramp::net {

class Mail {
 public:
  Mail(Network& network, std::string const& from);
  ~Mail();
  Mail(Mail const&) = delete;
  Mail& operator=(Mail const&) = delete;

  void send(std::string const& address, std::string body);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeramp::net
