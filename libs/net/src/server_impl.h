#pragma once

/// The parts of HttpServer. A connection carries one request at a time (server_connection.cpp); its answer is matched
/// by a token, so that one given late or twice goes nowhere. A request counts as read only when it is whole.

#include "deadline_sweep.h"
#include "request_reader.h"
#include "sockets.h"

#include <array>
#include <atomic>

namespace limeramp::net {

/// What a connection of a caller does.
enum class ServerPhase { idle, reading, handling, writing, lingering, closed };

struct HttpServer::Impl {
  struct Connection;
  struct Ticket;
  using ConnectionPtr = std::shared_ptr<Connection>;

  Impl(std::shared_ptr<Network::Impl> const& networkIn, ServerOptions optionsIn, Handler handlerIn);

  Network::Impl& network;
  std::weak_ptr<Network::Impl> networkAlive;
  asio::ip::tcp::acceptor acceptor;
  bool opened = false;
  ServerOptions options;
  Handler handler;
  std::atomic<std::size_t> open{0};
  /// Connections in a phase for which `isBusy` is true.
  std::atomic<std::size_t> busy{0};
  std::atomic<bool> stopping{false};
  std::atomic<bool> draining{false};
  Address address;
  asio::ip::tcp::endpoint remote;
  ConnectionSet<Connection> connections;
  DeadlineSweep sweep;
  std::weak_ptr<Impl> self;

  // server.cpp
  boost::system::error_code bind(Address const& wanted);
  void accept();
  void accepted(Socket socket);
  void closeIdle();
  void rebound(ServerBounds const& bounds);
  void setDeadline(Connection& connection, TimePoint deadline);
  TimePoint expire(TimePoint now);

  // server_connection.cpp
  void enter(Connection& connection, ServerPhase phase);
  void forget(Connection& connection);
  void close(ConnectionPtr const& connection);
  void expire(ConnectionPtr const& connection);
  void read(ConnectionPtr const& connection);
  void received(ConnectionPtr const& connection, boost::system::error_code const& error, std::size_t bytes);
  void take(ConnectionPtr const& connection, std::string_view bytes);
  void pump(ConnectionPtr const& connection, std::string_view received);
  bool advance(ConnectionPtr const& connection, std::string_view bytes, std::size_t& used);
  bool beginRequest(ConnectionPtr const& connection, std::string_view bytes, std::size_t& used);
  void tellToContinue(ConnectionPtr const& connection);
  void handle(ConnectionPtr const& connection);
  void hungUp(ConnectionPtr const& connection, bool reset);
  void release(ConnectionPtr const& connection);
  void deliver(ConnectionPtr const& connection, std::uint64_t token, std::optional<Answer> answer);
  void refuse(ConnectionPtr const& connection, int status, std::string const& reason);
  void send(ConnectionPtr const& connection);
  void written(ConnectionPtr const& connection);
  void linger(ConnectionPtr const& connection);
};

/// One connection of a caller and the request that it carries.
struct HttpServer::Impl::Connection {
  Connection(std::shared_ptr<Impl> serverIn, Socket socketIn)
      : server(std::move(serverIn)), socket(std::move(socketIn)) {}
  Connection(Connection const&) = delete;
  Connection& operator=(Connection const&) = delete;
  ~Connection() { server->forget(*this); }

  std::shared_ptr<Impl> server;
  Socket socket;
  std::weak_ptr<Connection> self;
  std::string peer;
  std::size_t place = std::string::npos;
  ServerPhase phase = ServerPhase::idle;
  TimePoint since;
  TimePoint deadline = TimePoint::max();
  RequestReader reader;
  std::string input;
  std::string output;
  /// Names the request in hand. An answer with another token goes nowhere.
  std::uint64_t token = 0;
  std::size_t lingered = 0;
  Framing framing;
  bool reading = false;
  bool pumping = false;
  /// The caller sends nothing more.
  bool ended = false;
  /// Kept alive by the network while nothing is read and a request is in hand.
  bool registered = false;
  /// The connection ends after the answer that is being written.
  bool closing = false;
  std::array<char, landingBytes> landing;
};

/// The right to answer one request, once. If it is dropped unused, the connection is closed.
struct HttpServer::Impl::Ticket {
  Ticket(ConnectionPtr const& connectionIn, std::uint64_t tokenIn)
      : connection(connectionIn), networkAlive(connectionIn->server->networkAlive), token(tokenIn) {}
  Ticket(Ticket const&) = delete;
  Ticket& operator=(Ticket const&) = delete;
  ~Ticket() { give(std::nullopt); }

  void give(std::optional<Answer> answer);
  static void hand(std::weak_ptr<Connection> const& to, std::uint64_t number, std::optional<Answer> answer);

  std::weak_ptr<Connection> connection;
  std::weak_ptr<Network::Impl> networkAlive;
  std::uint64_t token;
  std::atomic<bool> used{false};
};

}  // namespace limeramp::net
