#pragma once

/// Implementation of HttpClient. Connections are pooled per server (connection_pool.cpp) and carry one exchange at a
/// time (client_exchange.cpp). A connection returns to its pool only after a clean exchange: the whole request was
/// sent, the matching answer was read completely, and no bytes followed it.

#include "answer_reader.h"
#include "deadline_sweep.h"
#include "sockets.h"

#include <array>
#include <deque>
#include <mutex>
#include <unordered_map>

namespace limeramp::net {

/// State of a connection to a server.
enum class ClientPhase { connecting, busy, idle, closed };

struct HttpClient::Impl {
  struct Connection;
  struct Pool;
  using ConnectionPtr = std::shared_ptr<Connection>;

  /// One call in progress: it waits for a connection or is assigned to one.
  struct Attempt {
    std::uint64_t number = 0;
    Request request;
    TimePoint deadline;
    Done done;
    Pool* pool = nullptr;
    Connection* connection = nullptr;
  };
  using AttemptPtr = std::shared_ptr<Attempt>;

  /// The connections to one server and the attempts that wait for one.
  struct Pool {
    std::string name;
    Address server;
    ConnectionLimit connectionLimit;
    std::size_t open = 0;
    std::deque<Connection*> idle;
    std::deque<AttemptPtr> waiting;
    ServerCounters counters;

    bool mayOpen() const { return connectionLimit.maximum == 0 || open < connectionLimit.maximum; }
  };

  Impl(std::shared_ptr<Network::Impl> const& networkIn, ClientBounds const& boundsIn);

  Network::Impl& network;
  std::weak_ptr<Network::Impl> networkAlive;
  ClientBounds bounds;
  std::weak_ptr<Impl> self;
  std::unordered_map<std::string, std::unique_ptr<Pool>> pools;
  std::unordered_map<std::uint64_t, AttemptPtr> attempts;
  ConnectionSet<Connection> connections;
  std::map<std::string, ConnectionLimit> connectionLimits;
  std::size_t waiting = 0;
  /// While over zero, finish() posts `done` to the network's thread: begin() and cancel() never call back from within.
  std::size_t callbackDeferrals = 0;
  bool shuttingDown = false;
  DeadlineSweep sweep;
  mutable std::mutex countersMutex;
  ServerCounters prunedPoolCounters;

  // connection_pool.cpp
  Pool& poolOf(Address const& server);
  void prunePools();
  void updateCounters(Pool& pool, std::uint64_t opened, std::uint64_t reused);
  void assignConnection(AttemptPtr const& attempt);
  void reuse(Pool& pool, AttemptPtr const& attempt);
  void serveWaiting(Pool& pool);
  void returnToPool(ConnectionPtr const& connection);
  void close(ConnectionPtr const& connection);
  void removeConnection(Connection& connection);

  // client_exchange.cpp
  void connect(AttemptPtr const& attempt);
  void connected(ConnectionPtr const& connection, boost::system::error_code const& error);
  void send(ConnectionPtr const& connection);
  void sendRest(ConnectionPtr const& connection);
  void read(ConnectionPtr const& connection);
  void received(ConnectionPtr const& connection, boost::system::error_code const& error, std::size_t bytes);
  void peerClosed(ConnectionPtr const& connection, boost::system::error_code const& error);
  bool consume(ConnectionPtr const& connection, std::string_view received);
  void answered(ConnectionPtr const& connection);
  void fail(ConnectionPtr const& connection, std::string const& reason, bool refused = false);

  // client.cpp
  void begin(Address const& server, AttemptPtr const& attempt);
  void cancel(std::uint64_t number);
  void finish(AttemptPtr const& attempt, Exchange exchange);
  void abandon(AttemptPtr const& attempt, std::string const& reason);
  std::vector<AttemptPtr> expiredWaiting(TimePoint now) const;
  TimePoint expire(TimePoint now);
  void shutDown();
};

/// One connection to a server and the exchange that it carries.
struct HttpClient::Impl::Connection {
  Connection(std::shared_ptr<Impl> clientIn, Pool& poolIn)
      : client(std::move(clientIn)), pool(&poolIn), socket(client->network.context) {}
  Connection(Connection const&) = delete;
  Connection& operator=(Connection const&) = delete;
  ~Connection() { client->removeConnection(*this); }

  std::shared_ptr<Impl> client;
  Pool* pool;
  Socket socket;
  std::weak_ptr<Connection> self;
  std::size_t index = std::string::npos;
  ClientPhase phase = ClientPhase::connecting;
  TimePoint deadline;
  AttemptPtr attempt;
  AnswerReader reader;
  std::string output;
  /// Bytes of the request that the socket has accepted. If none are, and no write is pending, the request cannot run.
  std::size_t sentBytes = 0;
  bool sending = false;
  bool sendFailed = false;
  bool reading = false;
  std::array<char, readBufferBytes> readBuffer;

  bool nothingSent() const { return sentBytes == 0 && !sending; }
  bool endedCleanly() const { return reader.leavesConnectionClean() && !sending && !sendFailed; }
};

}  // namespace limeramp::net
