#pragma once

/// Shared by HttpClient and HttpServer: socket types, buffer sizes and the set of connections.

#include "limeramp/net/http.h"

#include <boost/asio/ip/tcp.hpp>

#include <netinet/tcp.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

namespace limeramp::net {

namespace asio = boost::asio;
using Socket = asio::ip::tcp::socket;
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Ms = std::chrono::milliseconds;
using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

/// Size of a connection's own read buffer. When it is filled, further bytes are read into the network's larger buffer.
constexpr std::size_t readBufferBytes = 2048;
/// Maximum capacity in bytes that an empty buffer of a connection keeps.
constexpr std::size_t maxKeptBufferBytes = 4096;
/// Maximum capacity in bytes that the network's shared output buffer keeps.
constexpr std::size_t maxKeptOutputBytes = 256 << 10;
/// Maximum number of consecutive reads on one connection before other connections are served.
constexpr std::size_t maxReadsPerTurn = 16;

inline bool wouldBlock(boost::system::error_code const& error) {
  return error == asio::error::would_block || error == asio::error::try_again;
}

/// The open connections of a client or server. Each connection stores its index, so that removal takes constant time.
template <typename Connection>
class ConnectionSet {
 public:
  static constexpr std::size_t noIndex = std::string::npos;

  void add(Connection& connection) {
    connection.index = connections_.size();
    connections_.push_back(&connection);
  }

  /// Returns false if the connection was already removed.
  bool remove(Connection& connection) {
    if (connection.index == noIndex) {
      return false;
    }
    connections_[connection.index] = connections_.back();
    connections_[connection.index]->index = connection.index;
    connections_.pop_back();
    connection.index = noIndex;
    return true;
  }

  /// Returns the connections for which `holds` is true. The result keeps them alive.
  template <typename Predicate>
  std::vector<std::shared_ptr<Connection>> select(Predicate holds) const {
    std::vector<std::shared_ptr<Connection>> out;
    for (Connection* const connection : connections_) {
      if (holds(*connection)) {
        out.push_back(connection->self.lock());
      }
    }
    return out;
  }

  TimePoint soonestDeadline() const {
    TimePoint out = TimePoint::max();
    for (Connection const* const connection : connections_) {
      out = std::min(out, connection->deadline);
    }
    return out;
  }

  typename std::vector<Connection*>::const_iterator begin() const { return connections_.begin(); }
  typename std::vector<Connection*>::const_iterator end() const { return connections_.end(); }

 private:
  std::vector<Connection*> connections_;
};

}  // namespace limeramp::net
