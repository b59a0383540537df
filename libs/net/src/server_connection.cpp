/// One connection of an HttpServer: reads requests, passes them to the handler one at a time, and answers in order.

#include "server_impl.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace limeramp::net {
namespace {

/// Reading pauses once this many bytes are buffered behind the request being handled.
constexpr std::size_t maxPipelinedBytes = 16 << 10;
/// Bytes that are read and discarded after the last answer, so that closing does not reset the connection before the
/// caller has read the answer.
constexpr std::size_t maxLingerBytes = 1 << 20;
constexpr Ms lingerMs{1000};

/// Whether the peer has closed or reset the connection and all bytes that it sent have been read. Consumes no bytes.
bool peerHasClosed(Socket& socket) {
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

void HttpServer::Impl::AnswerHandle::submit(std::optional<Answer> answer) {
  if (used.exchange(true)) {
    return;
  }
  std::shared_ptr<Network::Impl> const loop = networkAlive.lock();
  if (loop == nullptr) {
    return;
  }
  if (loop->onThread()) {
    deliverTo(connection, token, std::move(answer));
  } else {
    asio::post(loop->context, [to = connection, number = token, answer = std::move(answer)]() mutable {
      deliverTo(to, number, std::move(answer));
    });
  }
}

void HttpServer::Impl::AnswerHandle::deliverTo(std::weak_ptr<Connection> const& to, std::uint64_t number,
                                               std::optional<Answer> answer) {
  if (ConnectionPtr const found = to.lock()) {
    found->server->deliver(found, number, std::move(answer));
  }
}

void HttpServer::Impl::removeConnection(Connection& connection) {
  if (connections.remove(connection)) {
    --openConnections;
  }
}

void HttpServer::Impl::setPhase(Connection& connection, ServerPhase phase) {
  busyConnections += isBusy(phase) ? 1 : 0;
  busyConnections -= isBusy(connection.phase) ? 1 : 0;
  connection.phase = phase;
}

void HttpServer::Impl::release(ConnectionPtr const& connection) {
  if (connection->keptAlive) {
    connection->keptAlive = false;
    network.keptAlive.erase(connection);
  }
}

void HttpServer::Impl::close(ConnectionPtr const& connection) {
  if (connection->phase == ServerPhase::closed) {
    return;
  }
  setPhase(*connection, ServerPhase::closed);
  connection->reader.reset();
  boost::system::error_code ignored;
  connection->socket.close(ignored);
  removeConnection(*connection);
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
  if (connection->inputEnded || (answering && connection->input.size() >= maxPipelinedBytes)) {
    if (phase == ServerPhase::handling && !connection->keptAlive) {
      connection->keptAlive = true;
      network.keptAlive.insert(connection);
    }
    return;
  }
  connection->reading = true;
  connection->socket.async_read_some(asio::buffer(connection->readBuffer),
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
    peerClosed(connection, error != asio::error::eof);
    return;
  }
  consume(connection, std::string_view(connection->readBuffer.data(), bytes));
  bool more = bytes == connection->readBuffer.size();
  for (std::size_t reads = 0; more && reads < maxReadsPerTurn && connection->input.size() < maxPipelinedBytes;
       ++reads) {
    if (connection->phase == ServerPhase::closed) {
      return;
    }
    boost::system::error_code failure;
    std::size_t const got = connection->socket.read_some(asio::buffer(network.readBuffer), failure);
    if (wouldBlock(failure)) {
      break;
    }
    if (failure) {
      peerClosed(connection, failure != asio::error::eof);
      return;
    }
    consume(connection, std::string_view(network.readBuffer.data(), got));
    more = got == network.readBuffer.size();
  }
  read(connection);
}

void HttpServer::Impl::consume(ConnectionPtr const& connection, std::string_view bytes) {
  switch (connection->phase) {
    case ServerPhase::idle:
    case ServerPhase::reading:
      processInput(connection, bytes);
      break;
    case ServerPhase::handling:
    case ServerPhase::writing:
      if (!connection->closeAfterAnswer) {
        connection->input.append(bytes);
      }
      break;
    case ServerPhase::lingering:
      connection->lingeredBytes += bytes.size();
      if (connection->lingeredBytes > maxLingerBytes) {
        close(connection);
      }
      break;
    case ServerPhase::closed:
      break;
  }
}

void HttpServer::Impl::processInput(ConnectionPtr const& connection, std::string_view received) {
  bool const buffered = !connection->input.empty();
  if (buffered) {
    connection->input.append(received);
  }
  std::string_view bytes = buffered ? std::string_view(connection->input) : received;
  connection->processingInput = true;
  while (!bytes.empty() && (connection->phase == ServerPhase::idle || connection->phase == ServerPhase::reading)) {
    std::size_t used = 0;
    bool const complete = advance(connection, bytes, used);
    bytes.remove_prefix(used);
    if (!complete) {
      break;
    }
  }
  connection->processingInput = false;
  if (connection->phase == ServerPhase::closed || connection->phase == ServerPhase::lingering ||
      connection->closeAfterAnswer) {
    bytes = {};
  }
  if (buffered) {
    connection->input.erase(0, connection->input.size() - bytes.size());
  } else {
    connection->input.assign(bytes);
  }
  if (connection->input.empty()) {
    clearBuffer(connection->input, maxKeptBufferBytes);
  }
}

/// Parses the request at the start of `bytes`. Returns whether it was complete and was passed to the handler.
bool HttpServer::Impl::advance(ConnectionPtr const& connection, std::string_view bytes, std::size_t& used) {
  if (connection->phase == ServerPhase::idle && !beginRequest(connection, bytes, used)) {
    return false;
  }
  RequestReader& reader = connection->reader;
  switch (reader.consume(bytes, used, options.bounds)) {
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
    sendContinue(connection);
  }
  TimePoint const requestDeadline = connection->since + options.bounds.headerMs;
  if (connection->phase == ServerPhase::reading && connection->deadline != requestDeadline) {
    setDeadline(*connection, requestDeadline);
  }
  return false;
}

/// Skips empty lines before a request. Returns whether a request starts in `bytes`.
bool HttpServer::Impl::beginRequest(ConnectionPtr const& connection, std::string_view bytes, std::size_t& used) {
  while (bytes.substr(used, 2) == "\r\n") {
    used += 2;
  }
  if (used == bytes.size() || bytes.substr(used) == "\r") {
    return false;
  }
  setPhase(*connection, ServerPhase::reading);
  connection->since = Clock::now();
  connection->reader.begin();
  return true;
}

void HttpServer::Impl::sendContinue(ConnectionPtr const& connection) {
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
  setPhase(*connection, ServerPhase::handling);
  connection->deadline = TimePoint::max();
  connection->token = ++network.lastRequestToken;
  Request request = connection->reader.request();
  request.peer = connection->peer;
  request.token = connection->token;
  bool const watched = options.watchesCaller && options.watchesCaller(request);
  request.callerLeft = connection->inputEnded || (watched && peerHasClosed(connection->socket));
  std::uint64_t const token = request.token;
  std::shared_ptr<AnswerHandle> answerHandle = std::make_shared<AnswerHandle>(connection, token);
  handler(std::move(request),
          [answerHandle = std::move(answerHandle)](Answer answer) { answerHandle->submit(std::move(answer)); });
  if (connection->inputEnded && connection->phase == ServerPhase::handling && connection->token == token &&
      options.gone) {
    options.gone(token);
  }
}

void HttpServer::Impl::peerClosed(ConnectionPtr const& connection, bool reset) {
  connection->inputEnded = true;
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
  connection->closeAfterAnswer = !connection->framing.keepAlive;
  writeAnswer(network.output, *answer, connection->framing);
  connection->framing.keepAlive = keepsAlive;
  send(connection);
}

void HttpServer::Impl::refuse(ConnectionPtr const& connection, int status, std::string const& reason) {
  connection->reader.reset();
  connection->closeAfterAnswer = true;
  connection->framing = {11, false, false};
  writeAnswer(network.output, options.refuse ? options.refuse(status, reason) : refusalInJson(status, reason),
              connection->framing);
  connection->framing.keepAlive = true;
  send(connection);
}

void HttpServer::Impl::send(ConnectionPtr const& connection) {
  setPhase(*connection, ServerPhase::writing);
  boost::system::error_code error;
  std::size_t const sent = connection->socket.write_some(asio::buffer(network.output), error);
  bool const blocked = wouldBlock(error);
  if (error && !blocked) {
    clearBuffer(network.output, maxKeptOutputBytes);
    close(connection);
    return;
  }
  if (sent == network.output.size()) {
    clearBuffer(network.output, maxKeptOutputBytes);
    written(connection);
    return;
  }
  connection->output = network.output.substr(sent);
  clearBuffer(network.output, maxKeptOutputBytes);
  setDeadline(*connection, Clock::now() + options.bounds.idleMs);
  asio::async_write(connection->socket, asio::buffer(connection->output),
                    [connection](boost::system::error_code const& failure, std::size_t) {
                      Impl& server = *connection->server;
                      clearBuffer(connection->output, 0);
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
  if (connection->closeAfterAnswer) {
    bool const callerAskedToClose = !connection->framing.keepAlive && connection->input.empty();
    if (connection->inputEnded || callerAskedToClose) {
      close(connection);
    } else {
      linger(connection);
    }
    return;
  }
  setPhase(*connection, ServerPhase::idle);
  connection->since = Clock::now();
  setDeadline(*connection, connection->since + options.bounds.idleMs);
  if (connection->processingInput) {
    return;
  }
  if (!connection->input.empty()) {
    processInput(connection, {});
  }
  bool const waiting = connection->phase == ServerPhase::idle || connection->phase == ServerPhase::reading;
  if (connection->inputEnded && waiting) {
    close(connection);
    return;
  }
  read(connection);
}

void HttpServer::Impl::linger(ConnectionPtr const& connection) {
  setPhase(*connection, ServerPhase::lingering);
  if (!connection->processingInput) {
    clearBuffer(connection->input, 0);
  }
  boost::system::error_code ignored;
  connection->socket.shutdown(Socket::shutdown_send, ignored);
  setDeadline(*connection, Clock::now() + lingerMs);
  read(connection);
}

}  // namespace limeramp::net
