#pragma once

#include "limeramp/net/http.h"

#include <memory>
#include <string>
#include <vector>

/// The listeners of one process.
namespace limeramp::node {

/// The HTTP servers of one process, by the kind of caller that each is for.
class Listeners {
 public:
  /// Whom a listener is for.
  enum class Audience { peers, operators, readiness, callers };

  explicit Listeners(net::Network& network) : network_(network) {}

  /// Listens on each address and logs E103 for it.
  /// @return false, with the reason in `error`, if an address is malformed or cannot be taken
  bool listen(Audience audience, std::vector<std::string> const& addresses, net::ServerOptions const& options,
              net::HttpServer::Handler const& handler, std::string& error);

  /// Lets in those whose listeners were asked to open later.
  void open(Audience audience);
  /// Replaces the bounds on connections and messages; open connections stay.
  void setBounds(Audience audience, net::ServerBounds const& bounds);
  /// Changes how many connections each listener takes; open connections stay.
  void setMaxConnections(std::size_t maxConnections);
  /// Connections of these listeners with a request that is being read, is in hand, or whose answer is being written.
  /// From any thread.
  std::size_t busyConnections(Audience audience) const;
  /// From now on each connection ends after its answer.
  void drain();
  void stopAccepting();

 private:
  struct Listener {
    Audience audience;
    net::ServerBounds bounds;
    std::unique_ptr<net::HttpServer> server;
  };

  net::Network& network_;
  std::vector<Listener> listeners_;
};

}  // namespace limeramp::node
