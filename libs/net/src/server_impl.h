#pragma once

/// Implementation of HttpServer. A connection handles one request at a time (server_connection.cpp). An answer is
/// matched to its request by a token, so that a late or second answer is discarded. Only complete requests reach the
/// handler.

#include "deadline_sweep.h"
#include "request_reader.h"
#include "sockets.h"

#include <array>
#include <atomic>

namespace limeramp::net {

/// State of a connection from a caller. `lingering`: the answer was sent, and further input is read and discarded.
enum class ServerPhase { idle, reading, handling, writing, lingering, closed };

struct HttpServer::Impl {
  struct Connection;
  struct AnswerHandle;
  using ConnectionPtr = std::shared_ptr<Connection>;

  Impl(std::shared_ptr<Network::Impl> const& networkIn, ServerOptions optionsIn, Handler handlerIn);

  Network::Impl& network;
  std::weak_ptr<Network::Impl> networkAlive;
  asio::ip::tcp::acceptor acceptor;
  bool opened = false;
  ServerOptions options;
  Handler handler;
  std::atomic<std::size_t> openConnections{0};
  /// Number of connections in a phase for which `isBusy` is true.
  std::atomic<std::size_t> busyConnections{0};
  std::atomic<bool> stopping{false};
  std::atomic<bool> draining{false};
  Address address;
  asio::ip::tcp::endpoint remote;
  ConnectionSet<Connection> connections;
  DeadlineSweep sweep;
  std::weak_ptr<Impl> self;

  // server.cpp
  boost::system::error_code bind(Address const& requested);
  void accept();
  void accepted(Socket socket);
  void closeIdle();
  void applyBounds(ServerBounds const& bounds);
  void setDeadline(Connection& connection, TimePoint deadline);
  TimePoint expire(TimePoint now);

  // server_connection.cpp
  void setPhase(Connection& connection, ServerPhase phase);
  void removeConnection(Connection& connection);
  void close(ConnectionPtr const& connection);
  void expire(ConnectionPtr const& connection);
  void read(ConnectionPtr const& connection);
  void received(ConnectionPtr const& connection, boost::system::error_code const& error, std::size_t bytes);
  void consume(ConnectionPtr const& connection, std::string_view bytes);
  void processInput(ConnectionPtr const& connection, std::string_view received);
  bool advance(ConnectionPtr const& connection, std::string_view bytes, std::size_t& used);
  bool beginRequest(ConnectionPtr const& connection, std::string_view bytes, std::size_t& used);
  void sendContinue(ConnectionPtr const& connection);
  void handle(ConnectionPtr const& connection);
  void peerClosed(ConnectionPtr const& connection, bool reset);
  void release(ConnectionPtr const& connection);
  void deliver(ConnectionPtr const& connection, std::uint64_t token, std::optional<Answer> answer);
  void refuse(ConnectionPtr const& connection, int status, std::string const& reason);
  void send(ConnectionPtr const& connection);
  void written(ConnectionPtr const& connection);
  void linger(ConnectionPtr const& connection);
};

/// One connection from a caller, and the request that it carries.
struct HttpServer::Impl::Connection {
  Connection(std::shared_ptr<Impl> serverIn, Socket socketIn)
      : server(std::move(serverIn)), socket(std::move(socketIn)) {}
  Connection(Connection const&) = delete;
  Connection& operator=(Connection const&) = delete;
  ~Connection() { server->removeConnection(*this); }

  std::shared_ptr<Impl> server;
  Socket socket;
  std::weak_ptr<Connection> self;
  std::string peer;
  std::size_t index = std::string::npos;
  ServerPhase phase = ServerPhase::idle;
  TimePoint since;
  TimePoint deadline = TimePoint::max();
  RequestReader reader;
  std::string input;
  std::string output;
  /// Identifies the request being handled. An answer with another token is discarded.
  std::uint64_t token = 0;
  std::size_t lingeredBytes = 0;
  Framing framing;
  bool reading = false;
  bool processingInput = false;
  /// The caller has closed its sending side, or reset the connection.
  bool inputEnded = false;
  /// Network::Impl::keptAlive holds a reference, because a request is being handled and no read is pending to hold one.
  bool keptAlive = false;
  /// The connection is closed after the answer that is being written.
  bool closeAfterAnswer = false;
  std::array<char, readBufferBytes> readBuffer;
};

/// Submits the answer to one request, once. If it is destroyed unused, the connection is closed.
struct HttpServer::Impl::AnswerHandle {
  AnswerHandle(ConnectionPtr const& connectionIn, std::uint64_t tokenIn)
      : connection(connectionIn), networkAlive(connectionIn->server->networkAlive), token(tokenIn) {}
  AnswerHandle(AnswerHandle const&) = delete;
  AnswerHandle& operator=(AnswerHandle const&) = delete;
  ~AnswerHandle() { submit(std::nullopt); }

  void submit(std::optional<Answer> answer);
  static void deliverTo(std::weak_ptr<Connection> const& to, std::uint64_t number, std::optional<Answer> answer);

  std::weak_ptr<Connection> connection;
  std::weak_ptr<Network::Impl> networkAlive;
  std::uint64_t token;
  std::atomic<bool> used{false};
};

}  // namespace limeramp::net
