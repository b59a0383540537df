#include "network.h"
#include "wire.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <deque>
#include <mutex>

namespace limeramp::net {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Socket = asio::ip::tcp::socket;
using Parser = http::response_parser<http::string_body>;
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Ms = std::chrono::milliseconds;
using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

constexpr std::size_t landingBytes = 2048;
constexpr std::size_t keptBytes = 4096;
constexpr std::size_t keptOutputBytes = 256 << 10;
constexpr std::size_t mostHeaderBytes = 32 << 10;
constexpr std::size_t readsAtOnce = 16;
constexpr std::size_t mostInterim = 16;
constexpr std::size_t mostPools = 1000;
constexpr Ms sweepMs{10};
constexpr Ms keepAliveMarginMs{300};

enum class Phase { connecting, busy, idle, closed };

std::optional<Ms> keepAliveTimeout(std::string_view value) {
  static constexpr std::string_view name = "timeout=";
  for (std::size_t at = 0; at < value.size();) {
    std::size_t const comma = std::min(value.find(',', at), value.size());
    std::string_view word = value.substr(at, comma - at);
    at = comma + 1;
    word.remove_prefix(std::min(word.find_first_not_of(" \t"), word.size()));
    if (word.size() > name.size() && beast::iequals(word.substr(0, name.size()), name)) {
      std::uint32_t seconds = 0;
      char const* const last = word.data() + word.size();
      std::from_chars_result const read = std::from_chars(word.data() + name.size(), last, seconds);
      if (read.ec == std::errc()) {
        return std::chrono::seconds(seconds);
      }
    }
  }
  return std::nullopt;
}

std::string_view valueOf(Headers const& headers, std::string_view name) {
  for (std::pair<std::string, std::string> const& header : headers) {
    if (beast::iequals(header.first, name)) {
      return header.second;
    }
  }
  return {};
}

bool belongsTo(Request const& request, Headers const& answer) {
  AnswerIdentity const& identity = request.identity;
  if (identity.answerHeader.empty()) {
    return true;
  }
  std::string_view const id = valueOf(request.headers, identity.requestHeader);
  bool found = false;
  for (std::pair<std::string, std::string> const& header : answer) {
    if (beast::iequals(header.first, identity.answerHeader)) {
      found = true;
      if (header.second != id) {
        return false;
      }
    }
  }
  return found || !identity.required;
}

}  // namespace

struct HttpClient::Impl {
  struct Connection;
  struct Pool;
  using ConnectionPtr = std::shared_ptr<Connection>;

  struct Attempt {
    std::uint64_t number = 0;
    Request request;
    TimePoint deadline;
    Done done;
    Pool* pool = nullptr;
    Connection* connection = nullptr;
  };
  using AttemptPtr = std::shared_ptr<Attempt>;

  struct Pool {
    std::string name;
    Address server;
    Allowance allowance;
    std::size_t open = 0;
    std::deque<Connection*> idle;
    std::deque<AttemptPtr> waiting;
    ServerCounters counters;
  };

  Impl(std::shared_ptr<Network::Impl> const& networkIn, ClientBounds const& boundsIn)
      : network(*networkIn), life(networkIn), bounds(boundsIn) {}

  Network::Impl& network;
  std::weak_ptr<Network::Impl> life;
  ClientBounds bounds;
  std::weak_ptr<Impl> self;
  std::unordered_map<std::string, std::unique_ptr<Pool>> pools;
  std::unordered_map<std::uint64_t, AttemptPtr> attempts;
  std::vector<Connection*> connections;
  std::map<std::string, Allowance> allowances;
  std::size_t waiting = 0;
  std::size_t beginning = 0;
  bool ending = false;
  TimePoint nextSweep = TimePoint::max();
  Network::TimerId sweepTimer = 0;
  mutable std::mutex countersMutex;
  ServerCounters retired;

  void onNetwork(std::function<void()> work);
  Pool& poolOf(Address const& server);
  void prunePools();
  void count(Pool& pool, std::uint64_t opened, std::uint64_t reused);
  void begin(Address const& server, AttemptPtr const& attempt);
  void place(AttemptPtr const& attempt);
  void serveWaiting(Pool& pool);
  void connect(AttemptPtr const& attempt);
  void connected(ConnectionPtr const& connection, boost::system::error_code const& error);
  void send(ConnectionPtr const& connection);
  void read(ConnectionPtr const& connection);
  void received(ConnectionPtr const& connection, boost::system::error_code const& error, std::size_t bytes);
  void hungUp(ConnectionPtr const& connection, boost::system::error_code const& error);
  bool take(ConnectionPtr const& connection, std::string_view fresh);
  bool parse(ConnectionPtr const& connection, std::string_view bytes, std::size_t& used, bool& whole);
  void answered(ConnectionPtr const& connection, bool clean);
  void park(ConnectionPtr const& connection);
  void fail(ConnectionPtr const& connection, std::string const& reason, bool refused = false);
  void finish(AttemptPtr const& attempt, Exchange exchange);
  void giveUp(AttemptPtr const& attempt, std::string const& reason);
  void close(ConnectionPtr const& connection);
  void forget(Connection& connection);
  void setDeadline(TimePoint deadline);
  void sweep();
  void end();
};

struct HttpClient::Impl::Connection {
  Connection(std::shared_ptr<Impl> clientIn, Pool& poolIn)
      : client(std::move(clientIn)), pool(&poolIn), socket(client->network.context) {}
  Connection(Connection const&) = delete;
  Connection& operator=(Connection const&) = delete;
  ~Connection() { client->forget(*this); }

  std::shared_ptr<Impl> client;
  Pool* pool;
  Socket socket;
  std::weak_ptr<Connection> self;
  std::size_t place = std::string::npos;
  Phase phase = Phase::connecting;
  TimePoint deadline;
  AttemptPtr attempt;
  std::optional<Parser> parser;
  std::size_t interim = 0;
  Headers headers;
  std::optional<Ms> keepAliveMs;
  std::string input;
  std::string output;
  std::size_t sentBytes = 0;
  bool sending = false;
  bool sendBroken = false;
  bool reading = false;
  bool headRequest = false;
  std::array<char, landingBytes> landing;
};

void HttpClient::Impl::onNetwork(std::function<void()> work) {
  std::shared_ptr<Network::Impl> const living = life.lock();
  if (living != nullptr && living->onThread()) {
    work();
  } else if (living != nullptr) {
    asio::post(living->context, std::move(work));
  }
}

HttpClient::Impl::Pool& HttpClient::Impl::poolOf(Address const& server) {
  std::string name = server.text();
  std::unordered_map<std::string, std::unique_ptr<Pool>>::iterator const found = pools.find(name);
  if (found != pools.end()) {
    return *found->second;
  }
  prunePools();
  std::map<std::string, Allowance>::const_iterator const known = allowances.find(name);
  std::unique_ptr<Pool> pool = std::make_unique<Pool>();
  pool->name = name;
  pool->server = server;
  pool->allowance =
      known == allowances.end() ? Allowance{bounds.maxConnectionsPerServer, bounds.idleMs} : known->second;
  std::unique_lock<std::mutex> const lock(countersMutex);
  return *pools.emplace(std::move(name), std::move(pool)).first->second;
}

void HttpClient::Impl::prunePools() {
  if (pools.size() < mostPools) {
    return;
  }
  std::unique_lock<std::mutex> const lock(countersMutex);
  std::erase_if(pools, [this](std::pair<std::string const, std::unique_ptr<Pool>> const& entry) {
    bool const unused = entry.second->open == 0 && entry.second->waiting.empty();
    if (unused) {
      retired.opened += entry.second->counters.opened;
      retired.reused += entry.second->counters.reused;
    }
    return unused;
  });
}

void HttpClient::Impl::count(Pool& pool, std::uint64_t opened, std::uint64_t reused) {
  std::unique_lock<std::mutex> const lock(countersMutex);
  pool.counters.opened += opened;
  pool.counters.reused += reused;
  pool.counters.idle = pool.idle.size();
  pool.counters.inUse = pool.open - pool.idle.size();
  pool.counters.waiting = pool.waiting.size();
}

void HttpClient::Impl::begin(Address const& server, AttemptPtr const& attempt) {
  ++beginning;
  attempt->pool = &poolOf(server);
  attempts[attempt->number] = attempt;
  place(attempt);
  --beginning;
}

void HttpClient::Impl::place(AttemptPtr const& attempt) {
  Pool& pool = *attempt->pool;
  if (!pool.idle.empty()) {
    ConnectionPtr const connection = pool.idle.back()->self.lock();
    pool.idle.pop_back();
    connection->phase = Phase::busy;
    connection->attempt = attempt;
    connection->deadline = attempt->deadline;
    attempt->connection = connection.get();
    count(pool, 0, 1);
    send(connection);
  } else if (pool.allowance.most == 0 || pool.open < pool.allowance.most) {
    connect(attempt);
  } else if (pool.waiting.size() < bounds.maxWaitingPerServer) {
    pool.waiting.push_back(attempt);
    ++waiting;
    count(pool, 0, 0);
  } else {
    finish(attempt, {std::nullopt, retry::Verdict::notRun, "no connection free"});
    return;
  }
  setDeadline(attempt->deadline);
}

void HttpClient::Impl::serveWaiting(Pool& pool) {
  if (pool.waiting.empty()) {
    return;
  }
  TimePoint const now = Clock::now();
  ++beginning;
  while (!pool.waiting.empty() && (!pool.idle.empty() || pool.allowance.most == 0 || pool.open < pool.allowance.most)) {
    AttemptPtr const next = pool.waiting.front();
    pool.waiting.pop_front();
    --waiting;
    if (next->deadline <= now) {
      count(pool, 0, 0);
      finish(next, {std::nullopt, retry::Verdict::notRun, "no connection free"});
    } else {
      place(next);
    }
  }
  --beginning;
}

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
  connection->place = connections.size();
  connections.push_back(connection.get());
  ++pool.open;
  count(pool, 1, 0);
  connection->deadline = std::min(attempt->deadline, Clock::now() + bounds.connectMs);
  setDeadline(connection->deadline);
  connection->socket.async_connect(endpoint, [connection](boost::system::error_code const& failure) {
    connection->client->connected(connection, failure);
  });
}

void HttpClient::Impl::connected(ConnectionPtr const& connection, boost::system::error_code const& error) {
  if (connection->phase != Phase::connecting) {
    return;
  }
  if (error) {
    fail(connection, error.message(), error == boost::system::errc::connection_refused);
    return;
  }
  connection->phase = Phase::busy;
  connection->deadline = connection->attempt->deadline;
  setDeadline(connection->deadline);
  send(connection);
}

void HttpClient::Impl::send(ConnectionPtr const& connection) {
  Request const& request = connection->attempt->request;
  connection->headRequest = request.method == "HEAD";
  connection->interim = 0;
  connection->sentBytes = 0;
  connection->sendBroken = false;
  writeRequest(network.output, request, connection->pool->name);
  boost::system::error_code error;
  std::size_t const sent = connection->socket.write_some(asio::buffer(network.output), error);
  bool const blocked = error == asio::error::would_block || error == asio::error::try_again;
  connection->sentBytes = blocked || error ? 0 : sent;
  if (error && !blocked) {
    relax(network.output, keptOutputBytes);
    fail(connection, error.message());
    return;
  }
  if (connection->sentBytes < network.output.size()) {
    connection->output = network.output.substr(connection->sentBytes);
    connection->sending = true;
    asio::async_write(connection->socket, asio::buffer(connection->output),
                      [connection](boost::system::error_code const& failure, std::size_t bytes) {
                        relax(connection->output, 0);
                        connection->sending = false;
                        connection->sentBytes += bytes;
                        if (!failure || connection->phase != Phase::busy) {
                          return;
                        }
                        connection->sendBroken = true;
                        if (connection->sentBytes == 0) {
                          connection->client->fail(connection, failure.message());
                        }
                      });
  }
  relax(network.output, keptOutputBytes);
  read(connection);
}

void HttpClient::Impl::read(ConnectionPtr const& connection) {
  if (connection->reading || connection->phase == Phase::closed) {
    return;
  }
  connection->reading = true;
  connection->socket.async_read_some(asio::buffer(connection->landing),
                                     [connection](boost::system::error_code const& error, std::size_t bytes) {
                                       connection->reading = false;
                                       connection->client->received(connection, error, bytes);
                                     });
}

void HttpClient::Impl::received(ConnectionPtr const& connection, boost::system::error_code const& error,
                                std::size_t bytes) {
  if (connection->phase == Phase::closed) {
    return;
  }
  if (error || connection->phase == Phase::idle) {
    hungUp(connection, error);
    return;
  }
  std::string_view fresh(connection->landing.data(), bytes);
  bool more = bytes == connection->landing.size();
  for (std::size_t reads = 0; take(connection, fresh) && more && reads < readsAtOnce; ++reads) {
    boost::system::error_code failure;
    std::size_t const got = connection->socket.read_some(asio::buffer(network.landing), failure);
    if (failure == asio::error::would_block || failure == asio::error::try_again) {
      break;
    }
    if (failure) {
      hungUp(connection, failure);
      return;
    }
    fresh = std::string_view(network.landing.data(), got);
    more = got == network.landing.size();
  }
  read(connection);
}

void HttpClient::Impl::hungUp(ConnectionPtr const& connection, boost::system::error_code const& error) {
  if (connection->phase == Phase::idle) {
    Pool& pool = *connection->pool;
    close(connection);
    serveWaiting(pool);
    return;
  }
  if (error == asio::error::eof && connection->parser && connection->parser->is_header_done() &&
      connection->parser->need_eof()) {
    boost::system::error_code failure;
    connection->parser->put_eof(failure);
    if (!failure) {
      answered(connection, false);
      return;
    }
  }
  fail(connection, error.message());
}

bool HttpClient::Impl::take(ConnectionPtr const& connection, std::string_view fresh) {
  bool const own = !connection->input.empty();
  if (own) {
    connection->input.append(fresh);
  }
  std::string_view bytes = own ? std::string_view(connection->input) : fresh;
  bool whole = false;
  bool good = true;
  for (;;) {
    std::size_t used = 0;
    std::size_t const interim = connection->interim;
    good = parse(connection, bytes, used, whole);
    bytes.remove_prefix(used);
    if (!good || whole || bytes.empty() || interim == connection->interim) {
      break;
    }
  }
  if (!good) {
    return false;
  }
  if (whole) {
    bool const clean =
        bytes.empty() && connection->parser->keep_alive() && !connection->sending && !connection->sendBroken;
    relax(connection->input, keptBytes);
    answered(connection, clean);
    return false;
  }
  if (bytes.size() > mostHeaderBytes) {
    fail(connection, "malformed answer");
    return false;
  }
  if (own) {
    connection->input.erase(0, connection->input.size() - bytes.size());
  } else {
    connection->input.assign(bytes);
  }
  return true;
}

bool HttpClient::Impl::parse(ConnectionPtr const& connection, std::string_view bytes, std::size_t& used, bool& whole) {
  boost::system::error_code error;
  if (!connection->parser) {
    connection->parser.emplace();
    connection->parser->header_limit(mostHeaderBytes);
    connection->parser->body_limit(bounds.maxAnswerBytes);
    connection->parser->skip(connection->headRequest);
  }
  Parser& parser = *connection->parser;
  if (!parser.is_header_done()) {
    used = parser.put(asio::buffer(bytes.data(), bytes.size()), error);
    if (error == http::error::need_more) {
      return true;
    }
    unsigned const status = parser.get().result_int();
    if (error || status < 100 || status > 599 || status == 101) {
      fail(connection, error ? error.message() : "status " + std::to_string(status));
      return false;
    }
    if (status < 200) {
      connection->parser.reset();
      if (++connection->interim > mostInterim) {
        fail(connection, "too many interim answers");
        return false;
      }
      return true;
    }
    connection->headers.clear();
    connection->keepAliveMs.reset();
    for (http::response<http::string_body>::value_type const& field : parser.get()) {
      connection->headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
      if (beast::iequals(field.name_string(), "keep-alive")) {
        connection->keepAliveMs = keepAliveTimeout(std::string_view(field.value().data(), field.value().size()));
      }
    }
    if (!belongsTo(connection->attempt->request, connection->headers)) {
      fail(connection, "the answer belongs to another request");
      return false;
    }
    parser.eager(true);
    bytes.remove_prefix(used);
  }
  if (!parser.is_done() && !bytes.empty()) {
    used += parser.put(asio::buffer(bytes.data(), bytes.size()), error);
    if (error && error != http::error::need_more) {
      fail(connection, error.message());
      return false;
    }
  }
  whole = parser.is_done();
  return true;
}

void HttpClient::Impl::answered(ConnectionPtr const& connection, bool clean) {
  http::response<http::string_body>& message = connection->parser->get();
  Exchange exchange;
  exchange.verdict = retry::Verdict::ran;
  Answer& answer = exchange.answer.emplace();
  answer.status = static_cast<int>(message.result_int());
  answer.headers = std::move(connection->headers);
  answer.body = std::move(message.body());
  answer.endedByClose = connection->parser->need_eof();
  connection->headers = {};
  connection->parser.reset();
  AttemptPtr const attempt = std::move(connection->attempt);
  connection->attempt.reset();
  Pool& pool = *connection->pool;
  if (clean && !ending) {
    park(connection);
  } else {
    close(connection);
  }
  serveWaiting(pool);
  finish(attempt, std::move(exchange));
}

void HttpClient::Impl::park(ConnectionPtr const& connection) {
  Ms idleMs = connection->pool->allowance.idleMs;
  if (connection->keepAliveMs) {
    idleMs = std::min(idleMs, *connection->keepAliveMs - keepAliveMarginMs);
  }
  if (idleMs.count() <= 0) {
    close(connection);
    return;
  }
  Pool& pool = *connection->pool;
  connection->phase = Phase::idle;
  connection->deadline = Clock::now() + idleMs;
  pool.idle.push_back(connection.get());
  if (pool.idle.size() > bounds.maxIdlePerServer) {
    close(pool.idle.front()->self.lock());
  }
  if (connection->phase == Phase::idle) {
    count(pool, 0, 0);
    setDeadline(connection->deadline);
    read(connection);
  }
}

void HttpClient::Impl::fail(ConnectionPtr const& connection, std::string const& reason, bool refused) {
  AttemptPtr const attempt = std::move(connection->attempt);
  connection->attempt.reset();
  Exchange exchange;
  bool const unsent = connection->sentBytes == 0 && !connection->sending;
  exchange.verdict = unsent ? retry::Verdict::notRun : retry::Verdict::mayHaveRun;
  exchange.refused = refused;
  exchange.reason = connection->phase == Phase::connecting ? "connect: " : unsent ? "send: " : "receive: ";
  exchange.reason.append(reason);
  Pool& pool = *connection->pool;
  close(connection);
  serveWaiting(pool);
  if (attempt != nullptr) {
    finish(attempt, std::move(exchange));
  }
}

void HttpClient::Impl::finish(AttemptPtr const& attempt, Exchange exchange) {
  attempt->connection = nullptr;
  std::unordered_map<std::uint64_t, AttemptPtr>::iterator const found = attempts.find(attempt->number);
  if (found != attempts.end() && found->second == attempt) {
    attempts.erase(found);
  }
  if (beginning == 0) {
    attempt->done(std::move(exchange));
  } else {
    asio::post(network.context,
               [attempt, exchange = std::move(exchange)]() mutable { attempt->done(std::move(exchange)); });
  }
}

void HttpClient::Impl::giveUp(AttemptPtr const& attempt, std::string const& reason) {
  if (attempt->connection != nullptr) {
    fail(attempt->connection->self.lock(), reason);
    return;
  }
  Pool& pool = *attempt->pool;
  std::deque<AttemptPtr>::iterator const found = std::find(pool.waiting.begin(), pool.waiting.end(), attempt);
  if (found != pool.waiting.end()) {
    pool.waiting.erase(found);
    --waiting;
    count(pool, 0, 0);
    finish(attempt, {std::nullopt, retry::Verdict::notRun, reason});
  }
}

void HttpClient::Impl::close(ConnectionPtr const& connection) {
  if (connection->phase == Phase::closed) {
    return;
  }
  forget(*connection);
  connection->phase = Phase::closed;
  connection->parser.reset();
  boost::system::error_code ignored;
  connection->socket.close(ignored);
}

void HttpClient::Impl::forget(Connection& connection) {
  if (connection.place == std::string::npos) {
    return;
  }
  connections[connection.place] = connections.back();
  connections[connection.place]->place = connection.place;
  connections.pop_back();
  connection.place = std::string::npos;
  Pool& pool = *connection.pool;
  std::erase(pool.idle, &connection);
  --pool.open;
  count(pool, 0, 0);
}

void HttpClient::Impl::setDeadline(TimePoint deadline) {
  if (deadline >= nextSweep) {
    return;
  }
  if (sweepTimer != 0) {
    network.erase(sweepTimer);
  }
  nextSweep = deadline;
  sweepTimer = network.schedule(deadline, {[again = self] {
                                             if (std::shared_ptr<Impl> const client = again.lock()) {
                                               client->sweep();
                                             }
                                           },
                                           {}});
}

void HttpClient::Impl::sweep() {
  TimePoint const now = Clock::now();
  sweepTimer = 0;
  nextSweep = TimePoint::min();
  std::vector<ConnectionPtr> late;
  for (Connection* const connection : connections) {
    if (connection->deadline <= now) {
      late.push_back(connection->self.lock());
    }
  }
  std::vector<AttemptPtr> lateWaiting;
  if (waiting > 0) {
    for (std::pair<std::string const, std::unique_ptr<Pool>> const& entry : pools) {
      std::copy_if(entry.second->waiting.begin(), entry.second->waiting.end(), std::back_inserter(lateWaiting),
                   [now](AttemptPtr const& attempt) { return attempt->deadline <= now; });
    }
  }
  for (AttemptPtr const& attempt : lateWaiting) {
    giveUp(attempt, "no connection free");
  }
  for (ConnectionPtr const& connection : late) {
    if (connection->phase == Phase::idle) {
      hungUp(connection, {});
    } else if (connection->phase != Phase::closed && connection->deadline <= now) {
      fail(connection, "no answer in time");
    }
  }
  TimePoint next = TimePoint::max();
  for (Connection* const connection : connections) {
    next = std::min(next, connection->deadline);
  }
  if (waiting > 0) {
    for (std::pair<std::string const, std::unique_ptr<Pool>> const& entry : pools) {
      for (AttemptPtr const& attempt : entry.second->waiting) {
        next = std::min(next, attempt->deadline);
      }
    }
  }
  nextSweep = TimePoint::max();
  if (next != TimePoint::max()) {
    setDeadline(std::max(next, now + sweepMs));
  }
}

void HttpClient::Impl::end() {
  ending = true;
  std::vector<ConnectionPtr> idle;
  for (Connection* const connection : connections) {
    if (connection->phase == Phase::idle) {
      idle.push_back(connection->self.lock());
    }
  }
  for (ConnectionPtr const& connection : idle) {
    close(connection);
  }
}

HttpClient::HttpClient(Network& network, ClientBounds const& bounds)
    : impl_(std::make_shared<Impl>(network.impl(), bounds)) {
  impl_->self = impl_;
}

HttpClient::~HttpClient() {
  impl_->onNetwork([impl = impl_] { impl->end(); });
}

void HttpClient::begin(std::uint64_t attempt, Address const& server, Request request, Clock::time_point deadline,
                       Done done) {
  std::shared_ptr<Impl::Attempt> const made = std::make_shared<Impl::Attempt>();
  made->number = attempt;
  made->request = std::move(request);
  made->deadline = deadline;
  made->done = std::move(done);
  impl_->onNetwork([impl = impl_, server, made] { impl->begin(server, made); });
}

void HttpClient::cancel(std::uint64_t attempt) {
  impl_->onNetwork([impl = impl_, attempt] {
    std::unordered_map<std::uint64_t, Impl::AttemptPtr>::iterator const found = impl->attempts.find(attempt);
    if (found != impl->attempts.end()) {
      Impl::AttemptPtr const given = found->second;
      ++impl->beginning;
      impl->giveUp(given, "cancelled");
      --impl->beginning;
    }
  });
}

void HttpClient::allow(Address const& server, Allowance const& allowance) {
  impl_->onNetwork([impl = impl_, server, allowance] {
    if (impl->allowances.size() >= mostPools) {
      impl->allowances.clear();
    }
    impl->allowances[server.text()] = allowance;
    Impl::Pool& pool = impl->poolOf(server);
    pool.allowance = allowance;
    impl->serveWaiting(pool);
  });
}

ClientCounters HttpClient::counters() const {
  ClientCounters out;
  std::unique_lock<std::mutex> const lock(impl_->countersMutex);
  out.all = impl_->retired;
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
