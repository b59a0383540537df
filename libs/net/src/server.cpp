/// HttpServer: listens, accepts connections within its bounds, and closes connections whose deadline has passed.

#include "server_impl.h"

namespace limeramp::net {
namespace {

constexpr Ms minSweepPauseMs{50};
constexpr Ms acceptRetryMs{20};
constexpr int backlog = 512;

}  // namespace

HttpServer::Impl::Impl(std::shared_ptr<Network::Impl> const& networkIn, ServerOptions optionsIn, Handler handlerIn)
    : network(*networkIn),
      networkAlive(networkIn),
      acceptor(networkIn->context),
      options(std::move(optionsIn)),
      handler(std::move(handlerIn)),
      sweep(network, minSweepPauseMs, [this](TimePoint now) { return expire(now); }) {}

boost::system::error_code HttpServer::Impl::bind(Address const& requested) {
  boost::system::error_code failure;
  asio::ip::tcp::endpoint const endpoint(asio::ip::make_address_v4(requested.host, failure), requested.port);
  if (!failure) {
    acceptor.open(asio::ip::tcp::v4(), failure);
  }
  if (!failure) {
    acceptor.set_option(asio::socket_base::reuse_address(true), failure);
  }
  if (!failure) {
    acceptor.set_option(asio::ip::tcp::no_delay(true), failure);
  }
  if (!failure) {
    acceptor.set_option(UserTimeout(static_cast<int>(options.userTimeoutMs.count())), failure);
  }
  if (!failure) {
    acceptor.bind(endpoint, failure);
  }
  if (!failure) {
    acceptor.listen(backlog, failure);
  }
  return failure;
}

void HttpServer::Impl::accept() {
  if (stopping || !acceptor.is_open()) {
    return;
  }
  acceptor.async_accept(remote, [me = self.lock()](boost::system::error_code const& error, Socket socket) {
    if (me->stopping) {
      return;
    }
    if (error) {
      std::weak_ptr<Impl> const weakServer = me;
      me->network.schedule(Clock::now() + acceptRetryMs,
                           {[weakServer] {
                              if (std::shared_ptr<Impl> const server = weakServer.lock()) {
                                server->accept();
                              }
                            },
                            {}});
      return;
    }
    me->accepted(std::move(socket));
    me->accept();
  });
}

void HttpServer::Impl::accepted(Socket socket) {
  if (openConnections >= options.bounds.maxConnections) {
    return;
  }
  boost::system::error_code error;
  socket.non_blocking(true, error);
  ConnectionPtr const connection = std::make_shared<Connection>(self.lock(), std::move(socket));
  connection->self = connection;
  connection->peer = Address{remote.address().to_string(error), remote.port()}.text();
  connection->since = Clock::now();
  connections.add(*connection);
  ++openConnections;
  setDeadline(*connection, connection->since + options.bounds.idleMs);
  read(connection);
}

void HttpServer::Impl::closeIdle() {
  for (ConnectionPtr const& connection : connections.select(
           [](Connection const& one) { return one.phase == ServerPhase::idle && !one.processingInput; })) {
    close(connection);
  }
}

void HttpServer::Impl::applyBounds(ServerBounds const& bounds) {
  options.bounds = bounds;
  for (Connection* const connection : connections) {
    if (connection->phase == ServerPhase::idle) {
      setDeadline(*connection, connection->since + bounds.idleMs);
    } else if (connection->phase == ServerPhase::reading) {
      setDeadline(*connection, connection->since + bounds.headerMs);
    }
  }
}

void HttpServer::Impl::setDeadline(Connection& connection, TimePoint deadline) {
  connection.deadline = deadline;
  sweep.require(deadline);
}

TimePoint HttpServer::Impl::expire(TimePoint now) {
  for (ConnectionPtr const& connection :
       connections.select([now](Connection const& one) { return one.deadline <= now; })) {
    expire(connection);
  }
  return connections.soonestDeadline();
}

HttpServer::HttpServer() = default;

std::unique_ptr<HttpServer> HttpServer::listen(Network& network, Address const& address, ServerOptions options,
                                               Handler handler, std::string& error) {
  std::unique_ptr<HttpServer> server(new HttpServer());
  server->impl_ = std::make_shared<Impl>(network.impl(), std::move(options), std::move(handler));
  std::shared_ptr<Impl> const impl = server->impl_;
  impl->self = impl;
  impl->sweep.setOwner(impl);
  boost::system::error_code const failure = impl->bind(address);
  if (failure) {
    error = "cannot listen on " + address.text() + ": " + failure.message();
    return nullptr;
  }
  impl->address = {address.host, impl->acceptor.local_endpoint().port()};
  if (!impl->options.opensLater) {
    server->open();
  }
  return server;
}

void HttpServer::open() {
  std::shared_ptr<Impl> const impl = impl_;
  runOn(impl->networkAlive, [impl] {
    if (!std::exchange(impl->opened, true)) {
      impl->accept();
    }
  });
}

HttpServer::~HttpServer() { stopAccepting(); }

Address HttpServer::address() const { return impl_->address; }

void HttpServer::setBounds(ServerBounds const& bounds) {
  runOn(impl_->networkAlive, [impl = impl_, bounds] { impl->applyBounds(bounds); });
}

void HttpServer::drain() { impl_->draining = true; }

void HttpServer::stopAccepting() {
  impl_->stopping = true;
  runOn(impl_->networkAlive, [impl = impl_] {
    boost::system::error_code ignored;
    impl->acceptor.close(ignored);
    impl->closeIdle();
  });
}

std::size_t HttpServer::connections() const { return impl_->openConnections; }
std::size_t HttpServer::busyConnections() const { return impl_->busyConnections; }

}  // namespace limeramp::net
