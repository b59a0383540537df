#pragma once

#include "limeramp/net/http.h"

#include <memory>
#include <string>
#include <vector>

/// The listeners of one process.
namespace limeramp::node {

/// The HTTP servers of one process, grouped by the kind of caller that they serve.
class Listeners {
 public:
  /// The kind of caller that a listener serves.
  enum class Audience { peers, operators, readiness, callers };

  explicit Listeners(net::Network& network) : network_(network) {}

  /// Listens on each address and logs E103 for each.
  /// @return false, with the reason in `error`, if an address is malformed or cannot be bound
  bool listen(Audience audience, std::vector<std::string> const& addresses, net::ServerOptions const& options,
              net::HttpServer::Handler const& handler, std::string& error);

  /// Starts accepting on listeners that were created with ServerOptions::opensLater.
  void open(Audience audience);
  /// Replaces the bounds on connections and messages; open connections stay.
  void setBounds(Audience audience, net::ServerBounds const& bounds);
  /// Changes the maximum number of connections of each listener; open connections stay.
  void setMaxConnections(std::size_t maxConnections);
  /// Number of connections of these listeners on which a request is being read or handled, or its answer being written.
  /// May be called from any thread.
  std::size_t busyConnections(Audience audience) const;
  /// Closes every connection after its next answer. New connections are still accepted.
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
