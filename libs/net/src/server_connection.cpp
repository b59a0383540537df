/// One connection of an HttpServer: requests are read, handed on one at a time, and answered in order.

#include "server_impl.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace limeramp::net {
namespace {

/// Bytes that may wait behind a request in hand.
constexpr std::size_t pipelinedBytes = 16 << 10;
/// Bytes that are read and dropped after a refusal, so that the caller can read it.
constexpr std::size_t lingerBytes = 1 << 20;
constexpr Ms lingerMs{1000};

/// Whether the peer has closed its side, or the whole connection, behind all that it sent. Takes no bytes.
bool hasLeft(Socket& socket) {
  char next = 0;
  boost::system::error_code error;
  socket.receive(asio::buffer(&next, 1), Socket::message_peek, error);
  return error == asio::error::eof || error == asio::error::connection_reset;
}

bool isBusy(ServerPhase phase) {
  return phase == ServerPhase::reading || phase == ServerPhase::handling || phase == ServerPhase::writing;
}

Answer refusalInJson(int status, std::string const& reason) {
  Answer out;
  out.status = status;
  out.headers.emplace_back("content-type", "application/json");
  out.headers.emplace_back("limeramp-verdict", "not_run");
  out.body = R"({"verdict":"not_run","reason":")";
  out.body.append(reason).append("\"}");
  return out;
}

}  // namespace

void HttpServer::Impl::Ticket::give(std::optional<Answer> answer) {
  if (used.exchange(true)) {
    return;
  }
  std::shared_ptr<Network::Impl> const loop = networkAlive.lock();
  if (loop == nullptr) {
    return;
  }
  if (loop->onThread()) {
    hand(connection, token, std::move(answer));
  } else {
    asio::post(loop->context, [to = connection, number = token, answer = std::move(answer)]() mutable {
      hand(to, number, std::move(answer));
    });
  }
}

void HttpServer::Impl::Ticket::hand(std::weak_ptr<Connection> const& to, std::uint64_t number,
                                    std::optional<Answer> answer) {
  if (ConnectionPtr const found = to.lock()) {
    found->server->deliver(found, number, std::move(answer));
  }
}

void HttpServer::Impl::forget(Connection& connection) {
  if (connections.remove(connection)) {
    --open;
  }
}

void HttpServer::Impl::enter(Connection& connection, ServerPhase phase) {
  busy += isBusy(phase) ? 1 : 0;
  busy -= isBusy(connection.phase) ? 1 : 0;
  connection.phase = phase;
}

void HttpServer::Impl::release(ConnectionPtr const& connection) {
  if (connection->registered) {
    connection->registered = false;
    network.registered.erase(connection);
  }
}

void HttpServer::Impl::close(ConnectionPtr const& connection) {
  if (connection->phase == ServerPhase::closed) {
    return;
  }
  enter(*connection, ServerPhase::closed);
  connection->reader.reset();
  boost::system::error_code ignored;
  connection->socket.close(ignored);
  forget(*connection);
  release(connection);
}

void HttpServer::Impl::expire(ConnectionPtr const& connection) {
  connection->deadline = TimePoint::max();
  if (connection->phase == ServerPhase::reading) {
    refuse(connection, 408, "the request came too slowly");
  } else if (connection->phase != ServerPhase::handling) {
    close(connection);
  }
}

void HttpServer::Impl::read(ConnectionPtr const& connection) {
  ServerPhase const phase = connection->phase;
  if (phase == ServerPhase::closed || connection->reading) {
    return;
  }
  if (phase == ServerPhase::idle && stopping) {
    close(connection);
    return;
  }
  bool const answering = phase == ServerPhase::handling || phase == ServerPhase::writing;
  if (connection->ended || (answering && connection->input.size() >= pipelinedBytes)) {
    if (phase == ServerPhase::handling && !connection->registered) {
      connection->registered = true;
      network.registered.insert(connection);
    }
    return;
  }
  connection->reading = true;
  connection->socket.async_read_some(asio::buffer(connection->landing),
                                     [connection](boost::system::error_code const& error, std::size_t bytes) {
                                       connection->reading = false;
                                       connection->server->received(connection, error, bytes);
                                     });
}

void HttpServer::Impl::received(ConnectionPtr const& connection, boost::system::error_code const& error,
                                std::size_t bytes) {
  if (connection->phase == ServerPhase::closed) {
    return;
  }
  if (error) {
    hungUp(connection, error != asio::error::eof);
    return;
  }
  take(connection, std::string_view(connection->landing.data(), bytes));
  bool more = bytes == connection->landing.size();
  for (std::size_t reads = 0; more && reads < readsAtOnce && connection->input.size() < pipelinedBytes; ++reads) {
    if (connection->phase == ServerPhase::closed) {
      return;
    }
    boost::system::error_code failure;
    std::size_t const got = connection->socket.read_some(asio::buffer(network.landing), failure);
    if (wouldBlock(failure)) {
      break;
    }
    if (failure) {
      hungUp(connection, failure != asio::error::eof);
      return;
    }
    take(connection, std::string_view(network.landing.data(), got));
    more = got == network.landing.size();
  }
  read(connection);
}

void HttpServer::Impl::take(ConnectionPtr const& connection, std::string_view bytes) {
  switch (connection->phase) {
    case ServerPhase::idle:
    case ServerPhase::reading:
      pump(connection, bytes);
      break;
    case ServerPhase::handling:
    case ServerPhase::writing:
      if (!connection->closing) {
        connection->input.append(bytes);
      }
      break;
    case ServerPhase::lingering:
      connection->lingered += bytes.size();
      if (connection->lingered > lingerBytes) {
        close(connection);
      }
      break;
    case ServerPhase::closed:
      break;
  }
}

void HttpServer::Impl::pump(ConnectionPtr const& connection, std::string_view received) {
  bool const own = !connection->input.empty();
  if (own) {
    connection->input.append(received);
  }
  std::string_view bytes = own ? std::string_view(connection->input) : received;
  connection->pumping = true;
  while (!bytes.empty() && (connection->phase == ServerPhase::idle || connection->phase == ServerPhase::reading)) {
    std::size_t used = 0;
    bool const complete = advance(connection, bytes, used);
    bytes.remove_prefix(used);
    if (!complete) {
      break;
    }
  }
  connection->pumping = false;
  if (connection->phase == ServerPhase::closed || connection->phase == ServerPhase::lingering || connection->closing) {
    bytes = {};
  }
  if (own) {
    connection->input.erase(0, connection->input.size() - bytes.size());
  } else {
    connection->input.assign(bytes);
  }
  if (connection->input.empty()) {
    relax(connection->input, keptBytes);
  }
}

/// Reads on in the request at the beginning of `bytes`. Returns whether it was whole and has been handed on.
bool HttpServer::Impl::advance(ConnectionPtr const& connection, std::string_view bytes, std::size_t& used) {
  if (connection->phase == ServerPhase::idle && !beginRequest(connection, bytes, used)) {
    return false;
  }
  RequestReader& reader = connection->reader;
  switch (reader.take(bytes, used, options.bounds)) {
    case RequestReader::Progress::complete:
      handle(connection);
      return true;
    case RequestReader::Progress::refused:
      refuse(connection, reader.refusal().status, reader.refusal().reason);
      return false;
    case RequestReader::Progress::partial:
      break;
  }
  if (reader.takeExpectation()) {
    tellToContinue(connection);
  }
  TimePoint const headBy = connection->since + options.bounds.headerMs;
  if (connection->phase == ServerPhase::reading && connection->deadline != headBy) {
    setDeadline(*connection, headBy);
  }
  return false;
}

/// Skips empty lines. Returns whether a request begins in `bytes`.
bool HttpServer::Impl::beginRequest(ConnectionPtr const& connection, std::string_view bytes, std::size_t& used) {
  while (bytes.substr(used, 2) == "\r\n") {
    used += 2;
  }
  if (used == bytes.size() || bytes.substr(used) == "\r") {
    return false;
  }
  enter(*connection, ServerPhase::reading);
  connection->since = Clock::now();
  connection->reader.begin();
  return true;
}

void HttpServer::Impl::tellToContinue(ConnectionPtr const& connection) {
  static constexpr std::string_view interimAnswer = "HTTP/1.1 100 Continue\r\n\r\n";
  boost::system::error_code error;
  std::size_t const sent =
      connection->socket.write_some(asio::buffer(interimAnswer.data(), interimAnswer.size()), error);
  if (!error && sent < interimAnswer.size()) {
    close(connection);
  }
}

void HttpServer::Impl::handle(ConnectionPtr const& connection) {
  connection->framing = connection->reader.framing();
  enter(*connection, ServerPhase::handling);
  connection->deadline = TimePoint::max();
  connection->token = ++network.lastRequestToken;
  Request request = connection->reader.request();
  request.peer = connection->peer;
  request.token = connection->token;
  bool const watched = options.watchesCaller && options.watchesCaller(request);
  request.callerLeft = connection->ended || (watched && hasLeft(connection->socket));
  std::uint64_t const token = request.token;
  std::shared_ptr<Ticket> ticket = std::make_shared<Ticket>(connection, token);
  handler(std::move(request), [ticket = std::move(ticket)](Answer answer) { ticket->give(std::move(answer)); });
  if (connection->ended && connection->phase == ServerPhase::handling && connection->token == token && options.gone) {
    options.gone(token);
  }
}

void HttpServer::Impl::hungUp(ConnectionPtr const& connection, bool reset) {
  connection->ended = true;
  ServerPhase const phase = connection->phase;
  if (phase == ServerPhase::handling) {
    std::uint64_t const token = connection->token;
    read(connection);
    if (options.gone) {
      options.gone(token);
    }
  }
  if (reset || phase == ServerPhase::idle || phase == ServerPhase::lingering) {
    close(connection);
  } else if (phase == ServerPhase::reading) {
    refuse(connection, 400, "the request ends too early");
  }
}

void HttpServer::Impl::deliver(ConnectionPtr const& connection, std::uint64_t token, std::optional<Answer> answer) {
  if (connection->phase != ServerPhase::handling || connection->token != token) {
    return;
  }
  release(connection);
  if (!answer) {
    close(connection);
    return;
  }
  bool const keepsAlive = connection->framing.keepAlive;
  connection->framing.keepAlive = keepsAlive && !stopping && !draining;
  connection->closing = !connection->framing.keepAlive;
  writeAnswer(network.output, *answer, connection->framing);
  connection->framing.keepAlive = keepsAlive;
  send(connection);
}

void HttpServer::Impl::refuse(ConnectionPtr const& connection, int status, std::string const& reason) {
  connection->reader.reset();
  connection->closing = true;
  connection->framing = {11, false, false};
  writeAnswer(network.output, options.refuse ? options.refuse(status, reason) : refusalInJson(status, reason),
              connection->framing);
  connection->framing.keepAlive = true;
  send(connection);
}

void HttpServer::Impl::send(ConnectionPtr const& connection) {
  enter(*connection, ServerPhase::writing);
  boost::system::error_code error;
  std::size_t const sent = connection->socket.write_some(asio::buffer(network.output), error);
  bool const blocked = wouldBlock(error);
  if (error && !blocked) {
    relax(network.output, keptOutputBytes);
    close(connection);
    return;
  }
  if (sent == network.output.size()) {
    relax(network.output, keptOutputBytes);
    written(connection);
    return;
  }
  connection->output = network.output.substr(sent);
  relax(network.output, keptOutputBytes);
  setDeadline(*connection, Clock::now() + options.bounds.idleMs);
  asio::async_write(connection->socket, asio::buffer(connection->output),
                    [connection](boost::system::error_code const& failure, std::size_t) {
                      Impl& server = *connection->server;
                      relax(connection->output, 0);
                      if (connection->phase == ServerPhase::closed) {
                        return;
                      }
                      if (failure) {
                        server.close(connection);
                      } else {
                        server.written(connection);
                      }
                    });
}

void HttpServer::Impl::written(ConnectionPtr const& connection) {
  if (connection->closing) {
    bool const callersWish = !connection->framing.keepAlive && connection->input.empty();
    if (connection->ended || callersWish) {
      close(connection);
    } else {
      linger(connection);
    }
    return;
  }
  enter(*connection, ServerPhase::idle);
  connection->since = Clock::now();
  setDeadline(*connection, connection->since + options.bounds.idleMs);
  if (connection->pumping) {
    return;
  }
  if (!connection->input.empty()) {
    pump(connection, {});
  }
  bool const waiting = connection->phase == ServerPhase::idle || connection->phase == ServerPhase::reading;
  if (connection->ended && waiting) {
    close(connection);
    return;
  }
  read(connection);
}

void HttpServer::Impl::linger(ConnectionPtr const& connection) {
  enter(*connection, ServerPhase::lingering);
  if (!connection->pumping) {
    relax(connection->input, 0);
  }
  boost::system::error_code ignored;
  connection->socket.shutdown(Socket::shutdown_send, ignored);
  setDeadline(*connection, Clock::now() + lingerMs);
  read(connection);
}

}  // namespace limeramp::net
