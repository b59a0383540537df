#pragma once

#include "limeramp/net/http.h"

#include <csignal>
#include <iostream>
#include <string>

namespace limeramp::test_support {

inline int serveUntilSignal(std::string const& program, std::string const& listen, net::HttpServer::Handler handler) {
  std::optional<net::Address> const address = net::Address::parse(listen);
  if (!address) {
    std::cerr << program << ": --listen must be IP:PORT\n";
    return 2;
  }
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  net::Network network;
  std::string error;
  std::unique_ptr<net::HttpServer> const server =
      net::HttpServer::listen(network, *address, {}, std::move(handler), error);
  if (server == nullptr) {
    std::cerr << program << ": " << error << '\n';
    return 1;
  }
  int receivedSignal = 0;
  sigwait(&signals, &receivedSignal);
  network.stop();
  return 0;
}

}  // namespace limeramp::test_support
