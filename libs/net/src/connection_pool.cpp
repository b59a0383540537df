/// Connection pools of an HttpClient: assign connections to attempts, limit their number, keep and close idle ones.

#include "client_impl.h"

namespace limeramp::net {
namespace {

constexpr std::size_t maxPools = 1000;
/// An idle connection is closed this long before the keep-alive timeout that the server announced.
constexpr Ms keepAliveMarginMs{300};

}  // namespace

HttpClient::Impl::Pool& HttpClient::Impl::poolOf(Address const& server) {
  std::string name = server.text();
  std::unordered_map<std::string, std::unique_ptr<Pool>>::iterator const found = pools.find(name);
  if (found != pools.end()) {
    return *found->second;
  }
  prunePools();
  std::map<std::string, ConnectionLimit>::const_iterator const known = connectionLimits.find(name);
  std::unique_ptr<Pool> pool = std::make_unique<Pool>();
  pool->name = name;
  pool->server = server;
  pool->connectionLimit =
      known == connectionLimits.end() ? ConnectionLimit{bounds.maxConnectionsPerServer, bounds.idleMs} : known->second;
  std::unique_lock<std::mutex> const lock(countersMutex);
  return *pools.emplace(std::move(name), std::move(pool)).first->second;
}

void HttpClient::Impl::prunePools() {
  if (pools.size() < maxPools) {
    return;
  }
  std::unique_lock<std::mutex> const lock(countersMutex);
  std::erase_if(pools, [this](std::pair<std::string const, std::unique_ptr<Pool>> const& entry) {
    bool const unused = entry.second->open == 0 && entry.second->waiting.empty();
    if (unused) {
      prunedPoolCounters.opened += entry.second->counters.opened;
      prunedPoolCounters.reused += entry.second->counters.reused;
    }
    return unused;
  });
}

void HttpClient::Impl::updateCounters(Pool& pool, std::uint64_t opened, std::uint64_t reused) {
  std::unique_lock<std::mutex> const lock(countersMutex);
  pool.counters.opened += opened;
  pool.counters.reused += reused;
  pool.counters.idle = pool.idle.size();
  pool.counters.inUse = pool.open - pool.idle.size();
  pool.counters.waiting = pool.waiting.size();
}

void HttpClient::Impl::assignConnection(AttemptPtr const& attempt) {
  Pool& pool = *attempt->pool;
  if (!pool.idle.empty()) {
    reuse(pool, attempt);
  } else if (pool.mayOpen()) {
    connect(attempt);
  } else if (pool.waiting.size() < bounds.maxWaitingPerServer) {
    pool.waiting.push_back(attempt);
    ++waiting;
    updateCounters(pool, 0, 0);
  } else {
    finish(attempt, {std::nullopt, retry::Verdict::notRun, "no connection free"});
    return;
  }
  sweep.require(attempt->deadline);
}

void HttpClient::Impl::reuse(Pool& pool, AttemptPtr const& attempt) {
  ConnectionPtr const connection = pool.idle.back()->self.lock();
  pool.idle.pop_back();
  connection->phase = ClientPhase::busy;
  connection->attempt = attempt;
  connection->deadline = attempt->deadline;
  attempt->connection = connection.get();
  updateCounters(pool, 0, 1);
  send(connection);
}

void HttpClient::Impl::serveWaiting(Pool& pool) {
  if (pool.waiting.empty()) {
    return;
  }
  TimePoint const now = Clock::now();
  ++callbackDeferrals;
  while (!pool.waiting.empty() && (!pool.idle.empty() || pool.mayOpen())) {
    AttemptPtr const next = pool.waiting.front();
    pool.waiting.pop_front();
    --waiting;
    if (next->deadline <= now) {
      updateCounters(pool, 0, 0);
      finish(next, {std::nullopt, retry::Verdict::notRun, "no connection free"});
    } else {
      assignConnection(next);
    }
  }
  --callbackDeferrals;
}

void HttpClient::Impl::returnToPool(ConnectionPtr const& connection) {
  Ms idleMs = connection->pool->connectionLimit.idleMs;
  if (std::optional<Ms> const keepAliveMs = connection->reader.keepAliveMs()) {
    idleMs = std::min(idleMs, *keepAliveMs - keepAliveMarginMs);
  }
  if (idleMs.count() <= 0) {
    close(connection);
    return;
  }
  Pool& pool = *connection->pool;
  connection->phase = ClientPhase::idle;
  connection->deadline = Clock::now() + idleMs;
  pool.idle.push_back(connection.get());
  if (pool.idle.size() > bounds.maxIdlePerServer) {
    close(pool.idle.front()->self.lock());
  }
  if (connection->phase == ClientPhase::idle) {
    updateCounters(pool, 0, 0);
    sweep.require(connection->deadline);
    read(connection);
  }
}

void HttpClient::Impl::close(ConnectionPtr const& connection) {
  if (connection->phase == ClientPhase::closed) {
    return;
  }
  removeConnection(*connection);
  connection->phase = ClientPhase::closed;
  boost::system::error_code ignored;
  connection->socket.close(ignored);
}

void HttpClient::Impl::removeConnection(Connection& connection) {
  if (!connections.remove(connection)) {
    return;
  }
  Pool& pool = *connection.pool;
  std::erase(pool.idle, &connection);
  --pool.open;
  updateCounters(pool, 0, 0);
}

}  // namespace limeramp::net
