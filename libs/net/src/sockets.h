#pragma once

/// What HttpClient and HttpServer have in common: names of the socket types, sizes of buffers, the set of connections.

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

/// Bytes that a connection reads into before the network's larger buffer is used.
constexpr std::size_t landingBytes = 2048;
/// Capacity that an empty buffer of a connection may keep.
constexpr std::size_t keptBytes = 4096;
/// Capacity that the network's shared buffer for output may keep.
constexpr std::size_t keptOutputBytes = 256 << 10;
/// Reads of one connection before the others have their turn.
constexpr std::size_t readsAtOnce = 16;

inline bool wouldBlock(boost::system::error_code const& error) {
  return error == asio::error::would_block || error == asio::error::try_again;
}

/// The open connections of a client or server. Each connection knows its place, so that it leaves in constant time.
template <typename Connection>
class ConnectionSet {
 public:
  static constexpr std::size_t nowhere = std::string::npos;

  void add(Connection& connection) {
    connection.place = connections_.size();
    connections_.push_back(&connection);
  }

  /// False if the connection had left before.
  bool remove(Connection& connection) {
    if (connection.place == nowhere) {
      return false;
    }
    connections_[connection.place] = connections_.back();
    connections_[connection.place]->place = connection.place;
    connections_.pop_back();
    connection.place = nowhere;
    return true;
  }

  /// Those for which `holds` is true, kept alive by the result.
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
