/// HttpClient: starts and cancels attempts from any thread, enforces their deadlines and completes them.

#include "client_impl.h"

#include <boost/asio/post.hpp>

namespace limeramp::net {
namespace {

constexpr std::size_t maxConnectionLimits = 1000;
constexpr Ms minSweepPauseMs{10};

}  // namespace

HttpClient::Impl::Impl(std::shared_ptr<Network::Impl> const& networkIn, ClientBounds const& boundsIn)
    : network(*networkIn),
      networkAlive(networkIn),
      bounds(boundsIn),
      sweep(network, minSweepPauseMs, [this](TimePoint now) { return expire(now); }) {}

void HttpClient::Impl::begin(Address const& server, AttemptPtr const& attempt) {
  ++callbackDeferrals;
  attempt->pool = &poolOf(server);
  attempts[attempt->number] = attempt;
  assignConnection(attempt);
  --callbackDeferrals;
}

void HttpClient::Impl::cancel(std::uint64_t number) {
  std::unordered_map<std::uint64_t, AttemptPtr>::iterator const found = attempts.find(number);
  if (found != attempts.end()) {
    AttemptPtr const attempt = found->second;
    ++callbackDeferrals;
    abandon(attempt, "cancelled");
    --callbackDeferrals;
  }
}

void HttpClient::Impl::finish(AttemptPtr const& attempt, Exchange exchange) {
  attempt->connection = nullptr;
  std::unordered_map<std::uint64_t, AttemptPtr>::iterator const found = attempts.find(attempt->number);
  if (found != attempts.end() && found->second == attempt) {
    attempts.erase(found);
  }
  if (callbackDeferrals == 0) {
    attempt->done(std::move(exchange));
  } else {
    asio::post(network.context,
               [attempt, exchange = std::move(exchange)]() mutable { attempt->done(std::move(exchange)); });
  }
}

void HttpClient::Impl::abandon(AttemptPtr const& attempt, std::string const& reason) {
  if (attempt->connection != nullptr) {
    fail(attempt->connection->self.lock(), reason);
    return;
  }
  Pool& pool = *attempt->pool;
  std::deque<AttemptPtr>::iterator const found = std::find(pool.waiting.begin(), pool.waiting.end(), attempt);
  if (found != pool.waiting.end()) {
    pool.waiting.erase(found);
    --waiting;
    updateCounters(pool, 0, 0);
    finish(attempt, {std::nullopt, retry::Verdict::notRun, reason});
  }
}

/// Returns the attempts whose deadline has passed while they waited for a connection.
std::vector<HttpClient::Impl::AttemptPtr> HttpClient::Impl::expiredWaiting(TimePoint now) const {
  std::vector<AttemptPtr> out;
  if (waiting == 0) {
    return out;
  }
  for (std::pair<std::string const, std::unique_ptr<Pool>> const& entry : pools) {
    std::copy_if(entry.second->waiting.begin(), entry.second->waiting.end(), std::back_inserter(out),
                 [now](AttemptPtr const& attempt) { return attempt->deadline <= now; });
  }
  return out;
}

TimePoint HttpClient::Impl::expire(TimePoint now) {
  std::vector<ConnectionPtr> const expired =
      connections.select([now](Connection const& connection) { return connection.deadline <= now; });
  for (AttemptPtr const& attempt : expiredWaiting(now)) {
    abandon(attempt, "no connection free");
  }
  for (ConnectionPtr const& connection : expired) {
    if (connection->phase == ClientPhase::idle) {
      peerClosed(connection, {});
    } else if (connection->phase != ClientPhase::closed && connection->deadline <= now) {
      fail(connection, "no answer in time");
    }
  }
  TimePoint next = connections.soonestDeadline();
  if (waiting > 0) {
    for (std::pair<std::string const, std::unique_ptr<Pool>> const& entry : pools) {
      for (AttemptPtr const& attempt : entry.second->waiting) {
        next = std::min(next, attempt->deadline);
      }
    }
  }
  return next;
}

void HttpClient::Impl::shutDown() {
  shuttingDown = true;
  for (ConnectionPtr const& connection :
       connections.select([](Connection const& one) { return one.phase == ClientPhase::idle; })) {
    close(connection);
  }
}

HttpClient::HttpClient(Network& network, ClientBounds const& bounds)
    : impl_(std::make_shared<Impl>(network.impl(), bounds)) {
  impl_->self = impl_;
  impl_->sweep.setOwner(impl_);
}

HttpClient::~HttpClient() {
  runOn(impl_->networkAlive, [impl = impl_] { impl->shutDown(); });
}

void HttpClient::begin(std::uint64_t attempt, Address const& server, Request request, Clock::time_point deadline,
                       Done done) {
  std::shared_ptr<Impl::Attempt> const created = std::make_shared<Impl::Attempt>();
  created->number = attempt;
  created->request = std::move(request);
  created->deadline = deadline;
  created->done = std::move(done);
  runOn(impl_->networkAlive, [impl = impl_, server, created] { impl->begin(server, created); });
}

void HttpClient::cancel(std::uint64_t attempt) {
  runOn(impl_->networkAlive, [impl = impl_, attempt] { impl->cancel(attempt); });
}

void HttpClient::allow(Address const& server, ConnectionLimit const& connectionLimit) {
  runOn(impl_->networkAlive, [impl = impl_, server, connectionLimit] {
    if (impl->connectionLimits.size() >= maxConnectionLimits) {
      impl->connectionLimits.clear();
    }
    impl->connectionLimits[server.text()] = connectionLimit;
    Impl::Pool& pool = impl->poolOf(server);
    pool.connectionLimit = connectionLimit;
    impl->serveWaiting(pool);
  });
}

ClientCounters HttpClient::counters() const {
  ClientCounters out;
  std::unique_lock<std::mutex> const lock(impl_->countersMutex);
  out.all = impl_->prunedPoolCounters;
  for (std::pair<std::string const, std::unique_ptr<Impl::Pool>> const& entry : impl_->pools) {
    ServerCounters const& one = entry.second->counters;
    out.servers[entry.first] = one;
    out.all.opened += one.opened;
    out.all.reused += one.reused;
    out.all.inUse += one.inUse;
    out.all.idle += one.idle;
    out.all.waiting += one.waiting;
  }
  return out;
}

}  // namespace limeramp::net
