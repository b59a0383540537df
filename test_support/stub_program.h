#pragma once

#include "limeramp/net/http.h"

#include <csignal>
#include <iostream>
#include <string>

namespace limeramp::test_support {

inline int standUntilEnded(std::string const& program, std::string const& listen, net::HttpServer::Handler handler) {
  std::optional<net::Address> const address = net::Address::parse(listen);
  if (!address) {
    std::cerr << program << ": --listen must be IP:PORT\n";
    return 2;
  }
  sigset_t ends;
  sigemptyset(&ends);
  sigaddset(&ends, SIGTERM);
  sigaddset(&ends, SIGINT);
  pthread_sigmask(SIG_BLOCK, &ends, nullptr);
  net::Network network;
  std::string error;
  std::unique_ptr<net::HttpServer> const server =
      net::HttpServer::listen(network, *address, {}, std::move(handler), error);
  if (server == nullptr) {
    std::cerr << program << ": " << error << '\n';
    return 1;
  }
  int number = 0;
  sigwait(&ends, &number);
  network.stop();
  return 0;
}

}  // namespace limeramp::test_support
