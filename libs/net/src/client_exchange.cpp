/// One exchange of an HttpClient on its connection: connect, send the request, read the answer, and on failure report
/// whether the request may have run.

#include "client_impl.h"
#include "wire.h"

#include <boost/asio/write.hpp>

namespace limeramp::net {

void HttpClient::Impl::connect(AttemptPtr const& attempt) {
  Pool& pool = *attempt->pool;
  boost::system::error_code error;
  asio::ip::tcp::endpoint const endpoint(asio::ip::make_address_v4(pool.server.host, error), pool.server.port);
  ConnectionPtr const connection = std::make_shared<Connection>(self.lock(), pool);
  if (!error) {
    connection->socket.open(asio::ip::tcp::v4(), error);
  }
  if (error) {
    finish(attempt, {std::nullopt, retry::Verdict::notRun, "connect: " + error.message()});
    return;
  }
  boost::system::error_code ignored;
  connection->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  connection->socket.set_option(UserTimeout(static_cast<int>(bounds.userTimeoutMs.count())), ignored);
  connection->socket.non_blocking(true, ignored);
  connection->self = connection;
  connection->attempt = attempt;
  attempt->connection = connection.get();
  connections.add(*connection);
  ++pool.open;
  updateCounters(pool, 1, 0);
  connection->deadline = std::min(attempt->deadline, Clock::now() + bounds.connectMs);
  sweep.require(connection->deadline);
  connection->socket.async_connect(endpoint, [connection](boost::system::error_code const& failure) {
    connection->client->connected(connection, failure);
  });
}

void HttpClient::Impl::connected(ConnectionPtr const& connection, boost::system::error_code const& error) {
  if (connection->phase != ClientPhase::connecting) {
    return;
  }
  if (error) {
    fail(connection, error.message(), error == boost::system::errc::connection_refused);
    return;
  }
  connection->phase = ClientPhase::busy;
  connection->deadline = connection->attempt->deadline;
  sweep.require(connection->deadline);
  send(connection);
}

void HttpClient::Impl::send(ConnectionPtr const& connection) {
  Request const& request = connection->attempt->request;
  connection->reader.expect(request, bounds.maxAnswerBytes);
  connection->sentBytes = 0;
  connection->sendFailed = false;
  writeRequest(network.output, request, connection->pool->name);
  boost::system::error_code error;
  std::size_t const sent = connection->socket.write_some(asio::buffer(network.output), error);
  bool const failed = error && !wouldBlock(error);
  connection->sentBytes = error ? 0 : sent;
  if (!failed && connection->sentBytes < network.output.size()) {
    connection->output = network.output.substr(connection->sentBytes);
    sendRest(connection);
  }
  clearBuffer(network.output, maxKeptOutputBytes);
  if (failed) {
    fail(connection, error.message());
    return;
  }
  read(connection);
}

void HttpClient::Impl::sendRest(ConnectionPtr const& connection) {
  connection->sending = true;
  asio::async_write(connection->socket, asio::buffer(connection->output),
                    [connection](boost::system::error_code const& failure, std::size_t bytes) {
                      clearBuffer(connection->output, 0);
                      connection->sending = false;
                      connection->sentBytes += bytes;
                      if (!failure || connection->phase != ClientPhase::busy) {
                        return;
                      }
                      connection->sendFailed = true;
                      if (connection->nothingSent()) {
                        connection->client->fail(connection, failure.message());
                      }
                    });
}

void HttpClient::Impl::read(ConnectionPtr const& connection) {
  if (connection->reading || connection->phase == ClientPhase::closed) {
    return;
  }
  connection->reading = true;
  connection->socket.async_read_some(asio::buffer(connection->readBuffer),
                                     [connection](boost::system::error_code const& error, std::size_t bytes) {
                                       connection->reading = false;
                                       connection->client->received(connection, error, bytes);
                                     });
}

void HttpClient::Impl::received(ConnectionPtr const& connection, boost::system::error_code const& error,
                                std::size_t bytes) {
  if (connection->phase == ClientPhase::closed) {
    return;
  }
  if (error || connection->phase == ClientPhase::idle) {
    peerClosed(connection, error);
    return;
  }
  std::string_view received(connection->readBuffer.data(), bytes);
  bool more = bytes == connection->readBuffer.size();
  for (std::size_t reads = 0; consume(connection, received) && more && reads < maxReadsPerTurn; ++reads) {
    boost::system::error_code failure;
    std::size_t const got = connection->socket.read_some(asio::buffer(network.readBuffer), failure);
    if (wouldBlock(failure)) {
      break;
    }
    if (failure) {
      peerClosed(connection, failure);
      return;
    }
    received = std::string_view(network.readBuffer.data(), got);
    more = got == network.readBuffer.size();
  }
  read(connection);
}

/// Handles the end of the connection, and bytes received while it was idle.
void HttpClient::Impl::peerClosed(ConnectionPtr const& connection, boost::system::error_code const& error) {
  if (connection->phase == ClientPhase::idle) {
    Pool& pool = *connection->pool;
    close(connection);
    serveWaiting(pool);
  } else if (error == asio::error::eof && connection->reader.finishAtEof()) {
    answered(connection);
  } else {
    fail(connection, error.message());
  }
}

/// Parses received bytes. Returns whether the answer is still incomplete.
bool HttpClient::Impl::consume(ConnectionPtr const& connection, std::string_view received) {
  switch (connection->reader.consume(received)) {
    case AnswerReader::Progress::partial:
      return true;
    case AnswerReader::Progress::complete:
      answered(connection);
      break;
    case AnswerReader::Progress::invalid:
      fail(connection, connection->reader.error());
      break;
  }
  return false;
}

void HttpClient::Impl::answered(ConnectionPtr const& connection) {
  Exchange exchange;
  exchange.verdict = retry::Verdict::ran;
  exchange.answer = connection->reader.answer();
  AttemptPtr const attempt = std::move(connection->attempt);
  connection->attempt.reset();
  Pool& pool = *connection->pool;
  if (connection->endedCleanly() && !shuttingDown) {
    returnToPool(connection);
  } else {
    close(connection);
  }
  serveWaiting(pool);
  finish(attempt, std::move(exchange));
}

void HttpClient::Impl::fail(ConnectionPtr const& connection, std::string const& reason, bool refused) {
  AttemptPtr const attempt = std::move(connection->attempt);
  connection->attempt.reset();
  Exchange exchange;
  bool const unsent = connection->nothingSent();
  exchange.verdict = unsent ? retry::Verdict::notRun : retry::Verdict::mayHaveRun;
  exchange.refused = refused;
  exchange.reason = connection->phase == ClientPhase::connecting ? "connect: " : unsent ? "send: " : "receive: ";
  exchange.reason.append(reason);
  Pool& pool = *connection->pool;
  close(connection);
  serveWaiting(pool);
  if (attempt != nullptr) {
    finish(attempt, std::move(exchange));
  }
}

}  // namespace limeramp::net
