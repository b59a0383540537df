#include "limeramp/node/listeners.h"

#include "limeramp/logging/logging.h"

namespace limeramp::node {

bool Listeners::listen(Audience audience, std::vector<std::string> const& addresses, net::ServerOptions const& options,
                       net::HttpServer::Handler const& handler, std::string& error) {
  for (std::string const& text : addresses) {
    std::optional<net::Address> const address = net::Address::parse(text);
    if (!address) {
      error = "'" + text + "' is not an IPv4 address and port";
      return false;
    }
    std::unique_ptr<net::HttpServer> server = net::HttpServer::listen(network_, *address, options, handler, error);
    if (server == nullptr) {
      return false;
    }
    logging::raise(logging::Event::listening, {{"address", server->address().text()}});
    listeners_.push_back({audience, options.bounds, std::move(server)});
  }
  return true;
}

void Listeners::open(Audience audience) {
  for (Listener const& listener : listeners_) {
    if (listener.audience == audience) {
      listener.server->open();
    }
  }
}

void Listeners::setBounds(Audience audience, net::ServerBounds const& bounds) {
  for (Listener& listener : listeners_) {
    if (listener.audience == audience) {
      listener.bounds = bounds;
      listener.server->setBounds(bounds);
    }
  }
}

void Listeners::setMaxConnections(std::size_t maxConnections) {
  for (Listener& listener : listeners_) {
    listener.bounds.maxConnections = maxConnections;
    listener.server->setBounds(listener.bounds);
  }
}

std::size_t Listeners::busyConnections(Audience audience) const {
  std::size_t out = 0;
  for (Listener const& listener : listeners_) {
    out += listener.audience == audience ? listener.server->busyConnections() : 0;
  }
  return out;
}

void Listeners::drain() {
  for (Listener const& listener : listeners_) {
    listener.server->drain();
  }
}

void Listeners::stopAccepting() {
  for (Listener const& listener : listeners_) {
    listener.server->stopAccepting();
  }
}

}  // namespace limeramp::node
