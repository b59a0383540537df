#include "network.h"
#include "wire.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>

#include <array>

namespace limeramp::net {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Socket = asio::ip::tcp::socket;
using Parser = http::request_parser<http::string_body>;
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Ms = std::chrono::milliseconds;
using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

constexpr std::size_t landingBytes = 2048;
constexpr std::size_t keptBytes = 4096;
constexpr std::size_t pipelinedBytes = 16 << 10;
constexpr std::size_t keptOutputBytes = 256 << 10;
constexpr std::size_t lingerBytes = 1 << 20;
constexpr std::size_t readsAtOnce = 16;
constexpr Ms lingerMs{1000};
constexpr Ms sweepMs{50};
constexpr Ms acceptAgainMs{20};

enum class Phase { idle, reading, handling, writing, lingering, closed };

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

struct HttpServer::Impl {
  struct Connection;
  struct Ticket;
  using ConnectionPtr = std::shared_ptr<Connection>;

  Impl(std::shared_ptr<Network::Impl> const& networkIn, ServerOptions optionsIn, Handler handlerIn)
      : network(*networkIn),
        life(networkIn),
        acceptor(networkIn->context),
        options(std::move(optionsIn)),
        handler(std::move(handlerIn)) {}

  Network::Impl& network;
  std::weak_ptr<Network::Impl> life;
  asio::ip::tcp::acceptor acceptor;
  bool opened = false;
  ServerOptions options;
  Handler handler;
  std::atomic<std::size_t> open{0};
  std::atomic<bool> stopping{false};
  std::atomic<bool> draining{false};
  Address address;
  asio::ip::tcp::endpoint remote;
  std::vector<Connection*> connections;
  std::uint64_t lastToken = 0;
  TimePoint nextSweep = TimePoint::max();
  Network::TimerId sweepTimer = 0;
  std::weak_ptr<Impl> self;

  void onNetwork(std::function<void()> work);
  void accept();
  void accepted(Socket socket);
  void forget(Connection& connection);
  void close(ConnectionPtr const& connection);
  void closeIdle();
  void rebound(ServerBounds const& bounds);
  void setDeadline(Connection& connection, TimePoint deadline);
  void sweep();
  void expire(ConnectionPtr const& connection);
  void read(ConnectionPtr const& connection);
  void received(ConnectionPtr const& connection, boost::system::error_code const& error, std::size_t bytes);
  void take(ConnectionPtr const& connection, std::string_view bytes);
  void pump(ConnectionPtr const& connection, std::string_view fresh);
  bool advance(ConnectionPtr const& connection, std::string_view bytes, std::size_t& used);
  bool readHead(ConnectionPtr const& connection, std::string_view bytes, std::size_t& used);
  bool readBody(ConnectionPtr const& connection, std::string_view bytes, std::size_t& used);
  void handle(ConnectionPtr const& connection);
  void hungUp(ConnectionPtr const& connection, bool reset);
  void deliver(ConnectionPtr const& connection, std::uint64_t token, std::optional<Answer> answer);
  void refuse(ConnectionPtr const& connection, int status, std::string const& reason);
  void send(ConnectionPtr const& connection);
  void written(ConnectionPtr const& connection);
  void linger(ConnectionPtr const& connection);
};

struct HttpServer::Impl::Connection {
  Connection(std::shared_ptr<Impl> serverIn, Socket socketIn)
      : server(std::move(serverIn)), socket(std::move(socketIn)) {}
  Connection(Connection const&) = delete;
  Connection& operator=(Connection const&) = delete;
  ~Connection() { server->forget(*this); }

  std::shared_ptr<Impl> server;
  Socket socket;
  std::weak_ptr<Connection> self;
  std::string peer;
  std::size_t place = std::string::npos;
  Phase phase = Phase::idle;
  TimePoint since;
  TimePoint deadline = TimePoint::max();
  std::optional<Parser> parser;
  HeadScan scan;
  Headers headers;
  std::string input;
  std::string output;
  std::uint64_t token = 0;
  std::size_t lingered = 0;
  Framing framing;
  bool reading = false;
  bool pumping = false;
  bool ended = false;
  bool held = false;
  bool expecting = false;
  bool closing = false;
  std::array<char, landingBytes> landing;
};

struct HttpServer::Impl::Ticket {
  Ticket(ConnectionPtr const& connectionIn, std::uint64_t tokenIn)
      : connection(connectionIn), life(connectionIn->server->life), token(tokenIn) {}
  Ticket(Ticket const&) = delete;
  Ticket& operator=(Ticket const&) = delete;
  ~Ticket() { give(std::nullopt); }

  std::weak_ptr<Connection> connection;
  std::weak_ptr<Network::Impl> life;
  std::uint64_t token;
  std::atomic<bool> used{false};

  void give(std::optional<Answer> answer) {
    if (used.exchange(true)) {
      return;
    }
    std::shared_ptr<Network::Impl> const network = life.lock();
    if (network == nullptr) {
      return;
    }
    if (network->onThread()) {
      hand(connection, token, std::move(answer));
    } else {
      asio::post(network->context, [to = connection, number = token, answer = std::move(answer)]() mutable {
        hand(to, number, std::move(answer));
      });
    }
  }

  static void hand(std::weak_ptr<Connection> const& to, std::uint64_t number, std::optional<Answer> answer) {
    if (ConnectionPtr const found = to.lock()) {
      found->server->deliver(found, number, std::move(answer));
    }
  }
};

void HttpServer::Impl::onNetwork(std::function<void()> work) {
  std::shared_ptr<Network::Impl> const living = life.lock();
  if (living != nullptr && living->onThread()) {
    work();
  } else if (living != nullptr) {
    asio::post(living->context, std::move(work));
  }
}

void HttpServer::Impl::accept() {
  if (stopping || !acceptor.is_open()) {
    return;
  }
  acceptor.async_accept(remote, [me = self.lock()](boost::system::error_code const& error, Socket socket) {
    if (me->stopping) {
      return;
    }
    if (error) {
      std::weak_ptr<Impl> const again = me;
      me->network.schedule(Clock::now() + acceptAgainMs, {[again] {
                                                            if (std::shared_ptr<Impl> const server = again.lock()) {
                                                              server->accept();
                                                            }
                                                          },
                                                          {}});
      return;
    }
    me->accepted(std::move(socket));
    me->accept();
  });
}

void HttpServer::Impl::accepted(Socket socket) {
  if (open >= options.bounds.maxConnections) {
    return;
  }
  boost::system::error_code error;
  socket.non_blocking(true, error);
  ConnectionPtr const connection = std::make_shared<Connection>(self.lock(), std::move(socket));
  connection->self = connection;
  connection->peer = Address{remote.address().to_string(error), remote.port()}.text();
  connection->place = connections.size();
  connection->since = Clock::now();
  connections.push_back(connection.get());
  ++open;
  setDeadline(*connection, connection->since + options.bounds.idleMs);
  read(connection);
}

void HttpServer::Impl::forget(Connection& connection) {
  if (connection.place == std::string::npos) {
    return;
  }
  connections[connection.place] = connections.back();
  connections[connection.place]->place = connection.place;
  connections.pop_back();
  connection.place = std::string::npos;
  --open;
}

void HttpServer::Impl::close(ConnectionPtr const& connection) {
  if (connection->phase == Phase::closed) {
    return;
  }
  connection->phase = Phase::closed;
  connection->parser.reset();
  boost::system::error_code ignored;
  connection->socket.close(ignored);
  forget(*connection);
  if (connection->held) {
    connection->held = false;
    network.held.erase(connection);
  }
}

void HttpServer::Impl::closeIdle() {
  std::vector<ConnectionPtr> idle;
  for (Connection* const connection : connections) {
    if (connection->phase == Phase::idle && !connection->pumping) {
      idle.push_back(connection->self.lock());
    }
  }
  for (ConnectionPtr const& connection : idle) {
    close(connection);
  }
}

void HttpServer::Impl::rebound(ServerBounds const& bounds) {
  options.bounds = bounds;
  for (Connection* const connection : connections) {
    if (connection->phase == Phase::idle) {
      setDeadline(*connection, connection->since + bounds.idleMs);
    } else if (connection->phase == Phase::reading) {
      setDeadline(*connection, connection->since + bounds.headerMs);
    }
  }
}

void HttpServer::Impl::setDeadline(Connection& connection, TimePoint deadline) {
  connection.deadline = deadline;
  if (deadline >= nextSweep) {
    return;
  }
  if (sweepTimer != 0) {
    network.erase(sweepTimer);
  }
  nextSweep = deadline;
  sweepTimer = network.schedule(deadline, {[again = self] {
                                             if (std::shared_ptr<Impl> const server = again.lock()) {
                                               server->sweep();
                                             }
                                           },
                                           {}});
}

void HttpServer::Impl::sweep() {
  TimePoint const now = Clock::now();
  TimePoint const soonest = now + sweepMs;
  TimePoint next = TimePoint::max();
  std::vector<ConnectionPtr> late;
  sweepTimer = 0;
  nextSweep = TimePoint::min();
  for (Connection* const connection : connections) {
    if (connection->deadline <= now) {
      late.push_back(connection->self.lock());
    }
  }
  for (ConnectionPtr const& connection : late) {
    expire(connection);
  }
  for (Connection* const connection : connections) {
    next = std::min(next, connection->deadline);
  }
  nextSweep = TimePoint::max();
  if (next == TimePoint::max()) {
    return;
  }
  nextSweep = std::max(next, soonest);
  sweepTimer = network.schedule(nextSweep, {[again = self] {
                                              if (std::shared_ptr<Impl> const server = again.lock()) {
                                                server->sweep();
                                              }
                                            },
                                            {}});
}

void HttpServer::Impl::expire(ConnectionPtr const& connection) {
  connection->deadline = TimePoint::max();
  if (connection->phase == Phase::reading) {
    refuse(connection, 408, "the request came too slowly");
  } else if (connection->phase != Phase::handling) {
    close(connection);
  }
}

void HttpServer::Impl::read(ConnectionPtr const& connection) {
  Phase const phase = connection->phase;
  if (phase == Phase::closed || connection->reading) {
    return;
  }
  if (phase == Phase::idle && stopping) {
    close(connection);
    return;
  }
  bool const busy = phase == Phase::handling || phase == Phase::writing;
  if (connection->ended || (busy && connection->input.size() >= pipelinedBytes)) {
    if (phase == Phase::handling && !connection->held) {
      connection->held = true;
      network.held.insert(connection);
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
  if (connection->phase == Phase::closed) {
    return;
  }
  if (error) {
    hungUp(connection, error != asio::error::eof);
    return;
  }
  take(connection, std::string_view(connection->landing.data(), bytes));
  bool more = bytes == connection->landing.size();
  for (std::size_t reads = 0; more && reads < readsAtOnce && connection->input.size() < pipelinedBytes; ++reads) {
    if (connection->phase == Phase::closed) {
      return;
    }
    boost::system::error_code failure;
    std::size_t const got = connection->socket.read_some(asio::buffer(network.landing), failure);
    if (failure == asio::error::would_block || failure == asio::error::try_again) {
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
    case Phase::idle:
    case Phase::reading:
      pump(connection, bytes);
      break;
    case Phase::handling:
    case Phase::writing:
      if (!connection->closing) {
        connection->input.append(bytes);
      }
      break;
    case Phase::lingering:
      connection->lingered += bytes.size();
      if (connection->lingered > lingerBytes) {
        close(connection);
      }
      break;
    case Phase::closed:
      break;
  }
}

void HttpServer::Impl::pump(ConnectionPtr const& connection, std::string_view fresh) {
  bool const own = !connection->input.empty();
  if (own) {
    connection->input.append(fresh);
  }
  std::string_view bytes = own ? std::string_view(connection->input) : fresh;
  connection->pumping = true;
  while (!bytes.empty() && (connection->phase == Phase::idle || connection->phase == Phase::reading)) {
    std::size_t used = 0;
    bool const whole = advance(connection, bytes, used);
    bytes.remove_prefix(used);
    if (!whole) {
      break;
    }
  }
  connection->pumping = false;
  if (connection->phase == Phase::closed || connection->phase == Phase::lingering || connection->closing) {
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

bool HttpServer::Impl::advance(ConnectionPtr const& connection, std::string_view bytes, std::size_t& used) {
  if (connection->phase == Phase::idle) {
    while (bytes.substr(used, 2) == "\r\n") {
      used += 2;
    }
    if (used == bytes.size() || bytes.substr(used) == "\r") {
      return false;
    }
    connection->phase = Phase::reading;
    connection->since = Clock::now();
    connection->scan = {};
    connection->expecting = false;
  }
  bool const whole = (connection->parser || readHead(connection, bytes, used)) && readBody(connection, bytes, used);
  if (whole) {
    handle(connection);
  } else if (connection->phase == Phase::reading &&
             connection->deadline != connection->since + options.bounds.headerMs) {
    setDeadline(*connection, connection->since + options.bounds.headerMs);
  }
  return whole;
}

bool HttpServer::Impl::readHead(ConnectionPtr const& connection, std::string_view bytes, std::size_t& used) {
  std::string_view const head = bytes.substr(used);
  Head const state = scanHead(connection->scan, head);
  if (state == Head::wrong) {
    refuse(connection, 400, "malformed head");
    return false;
  }
  if ((state == Head::whole ? connection->scan.size : head.size()) > options.bounds.maxHeaderBytes) {
    refuse(connection, 431, "the head is too long");
    return false;
  }
  if (state == Head::partial) {
    return false;
  }
  connection->parser.emplace();
  Parser& parser = *connection->parser;
  parser.header_limit(static_cast<std::uint32_t>(connection->scan.size + 1));
  parser.body_limit(options.bounds.maxBodyBytes);
  boost::system::error_code error;
  used += parser.put(asio::buffer(head.data(), connection->scan.size), error);
  if (error) {
    refuse(connection, error == http::error::body_limit ? 413 : 400, error.message());
    return false;
  }
  http::request<http::string_body> const& message = parser.get();
  connection->headers.clear();
  std::size_t codings = 0;
  for (http::request<http::string_body>::value_type const& field : message) {
    bool const coding = field.name() == http::field::transfer_encoding;
    codings += coding ? 1 : 0;
    if (coding && (codings > 1 || !beast::iequals(field.value(), "chunked") || message.version() != 11)) {
      refuse(connection, 400, "unknown transfer coding");
      return false;
    }
    connection->expecting = connection->expecting || (field.name() == http::field::expect && message.version() == 11 &&
                                                      beast::iequals(field.value(), "100-continue"));
    connection->headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
  }
  parser.eager(true);
  return true;
}

bool HttpServer::Impl::readBody(ConnectionPtr const& connection, std::string_view bytes, std::size_t& used) {
  Parser& parser = *connection->parser;
  std::string_view const body = bytes.substr(used);
  if (!parser.is_done() && !body.empty()) {
    connection->expecting = false;
    boost::system::error_code error;
    std::size_t const taken = parser.put(asio::buffer(body.data(), body.size()), error);
    used += taken;
    bool const more = error == http::error::need_more;
    if (error && !more) {
      refuse(connection, error == http::error::body_limit ? 413 : 400, error.message());
      return false;
    }
    if (!parser.is_done() && body.size() - taken > options.bounds.maxHeaderBytes) {
      refuse(connection, 400, "malformed chunk");
      return false;
    }
  }
  if (!parser.is_done() && connection->expecting) {
    static constexpr std::string_view go = "HTTP/1.1 100 Continue\r\n\r\n";
    connection->expecting = false;
    boost::system::error_code ignored;
    connection->socket.write_some(asio::buffer(go.data(), go.size()), ignored);
  }
  return parser.is_done();
}

void HttpServer::Impl::handle(ConnectionPtr const& connection) {
  Parser& parser = *connection->parser;
  http::request<http::string_body>& message = parser.get();
  connection->framing = {message.version(), parser.keep_alive(), message.method() == http::verb::head};
  connection->phase = Phase::handling;
  connection->deadline = TimePoint::max();
  connection->token = ++lastToken;
  Request request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  request.headers = std::move(connection->headers);
  request.body = std::move(message.body());
  request.peer = connection->peer;
  request.token = connection->token;
  connection->headers = {};
  connection->parser.reset();
  std::uint64_t const token = request.token;
  std::shared_ptr<Ticket> ticket = std::make_shared<Ticket>(connection, token);
  handler(std::move(request), [ticket = std::move(ticket)](Answer answer) { ticket->give(std::move(answer)); });
  if (connection->ended && connection->phase == Phase::handling && connection->token == token && options.gone) {
    options.gone(token);
  }
}

void HttpServer::Impl::hungUp(ConnectionPtr const& connection, bool reset) {
  connection->ended = true;
  Phase const phase = connection->phase;
  if (phase == Phase::handling) {
    std::uint64_t const token = connection->token;
    read(connection);
    if (options.gone) {
      options.gone(token);
    }
  }
  if (reset || phase == Phase::idle || phase == Phase::lingering) {
    close(connection);
  } else if (phase == Phase::reading) {
    refuse(connection, 400, "the request ends too early");
  }
}

void HttpServer::Impl::deliver(ConnectionPtr const& connection, std::uint64_t token, std::optional<Answer> answer) {
  if (connection->phase != Phase::handling || connection->token != token) {
    return;
  }
  if (connection->held) {
    connection->held = false;
    network.held.erase(connection);
  }
  if (!answer) {
    close(connection);
    return;
  }
  bool const wished = connection->framing.keep;
  connection->framing.keep = wished && !stopping && !draining;
  connection->closing = !connection->framing.keep;
  writeAnswer(network.output, *answer, connection->framing);
  connection->framing.keep = wished;
  send(connection);
}

void HttpServer::Impl::refuse(ConnectionPtr const& connection, int status, std::string const& reason) {
  connection->parser.reset();
  connection->closing = true;
  connection->framing = {11, false, false};
  writeAnswer(network.output, options.refuse ? options.refuse(status, reason) : refusalInJson(status, reason),
              connection->framing);
  connection->framing.keep = true;
  send(connection);
}

void HttpServer::Impl::send(ConnectionPtr const& connection) {
  connection->phase = Phase::writing;
  boost::system::error_code error;
  std::size_t const sent = connection->socket.write_some(asio::buffer(network.output), error);
  bool const blocked = error == asio::error::would_block || error == asio::error::try_again;
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
                      if (connection->phase == Phase::closed) {
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
    bool const callersWish = !connection->framing.keep && connection->input.empty();
    if (connection->ended || callersWish) {
      close(connection);
    } else {
      linger(connection);
    }
    return;
  }
  connection->phase = Phase::idle;
  connection->since = Clock::now();
  setDeadline(*connection, connection->since + options.bounds.idleMs);
  if (connection->pumping) {
    return;
  }
  if (!connection->input.empty()) {
    pump(connection, {});
  }
  bool const waiting = connection->phase == Phase::idle || connection->phase == Phase::reading;
  if (connection->ended && waiting) {
    close(connection);
    return;
  }
  read(connection);
}

void HttpServer::Impl::linger(ConnectionPtr const& connection) {
  connection->phase = Phase::lingering;
  if (!connection->pumping) {
    relax(connection->input, 0);
  }
  boost::system::error_code ignored;
  connection->socket.shutdown(Socket::shutdown_send, ignored);
  setDeadline(*connection, Clock::now() + lingerMs);
  read(connection);
}

HttpServer::HttpServer() = default;

std::unique_ptr<HttpServer> HttpServer::listen(Network& network, Address const& address, ServerOptions options,
                                               Handler handler, std::string& error) {
  std::unique_ptr<HttpServer> server(new HttpServer());
  server->impl_ = std::make_shared<Impl>(network.impl(), std::move(options), std::move(handler));
  std::shared_ptr<Impl> const impl = server->impl_;
  impl->self = impl;
  boost::system::error_code failure;
  asio::ip::tcp::endpoint const endpoint(asio::ip::make_address_v4(address.host, failure), address.port);
  if (!failure) {
    impl->acceptor.open(asio::ip::tcp::v4(), failure);
  }
  if (!failure) {
    impl->acceptor.set_option(asio::socket_base::reuse_address(true), failure);
  }
  if (!failure) {
    impl->acceptor.set_option(asio::ip::tcp::no_delay(true), failure);
  }
  if (!failure) {
    impl->acceptor.set_option(UserTimeout(static_cast<int>(impl->options.userTimeoutMs.count())), failure);
  }
  if (!failure) {
    impl->acceptor.bind(endpoint, failure);
  }
  if (!failure) {
    impl->acceptor.listen(512, failure);
  }
  if (failure) {
    error = "cannot listen on " + address.text() + ": " + failure.message();
    return nullptr;
  }
  impl->address = {address.host, impl->acceptor.local_endpoint().port()};
  if (!impl->options.opensLater) {
    server->open();
  }
  return server;
}

void HttpServer::open() {
  std::shared_ptr<Impl> const impl = impl_;
  impl->onNetwork([impl] {
    if (!std::exchange(impl->opened, true)) {
      impl->accept();
    }
  });
}

HttpServer::~HttpServer() { stopAccepting(); }

Address HttpServer::address() const { return impl_->address; }

void HttpServer::setBounds(ServerBounds const& bounds) {
  impl_->onNetwork([impl = impl_, bounds] { impl->rebound(bounds); });
}

void HttpServer::drain() { impl_->draining = true; }

void HttpServer::stopAccepting() {
  impl_->stopping = true;
  impl_->onNetwork([impl = impl_] {
    boost::system::error_code ignored;
    impl->acceptor.close(ignored);
    impl->closeIdle();
  });
}

std::size_t HttpServer::connections() const { return impl_->open; }

}  // namespace limeramp::net
