#include "network.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <sys/socket.h>

#include <deque>
#include <unordered_map>

namespace limeramp::rigging {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Clock = std::chrono::steady_clock;

struct Connection {
  explicit Connection(asio::io_context& context) : stream(context) {}
  beast::tcp_stream stream;
  Clock::time_point idleSince;
  bool cancelled = false;

  bool quiet() {
    char byte = 0;
    ssize_t const got = ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }
};

using ConnectionPtr = std::shared_ptr<Connection>;

}

struct HttpClient::Impl {
  Impl(asio::io_context& contextIn, ClientBounds const& boundsIn) : context(contextIn), bounds(boundsIn) {}

  asio::io_context& context;
  ClientBounds bounds;
  std::unordered_map<std::string, std::deque<ConnectionPtr>> idle;
  std::unordered_map<std::uint64_t, ConnectionPtr> active;

  ConnectionPtr reuse(std::string const& server) {
    std::unordered_map<std::string, std::deque<ConnectionPtr>>::iterator const found = idle.find(server);
    if (found == idle.end()) {
      return nullptr;
    }
    std::deque<ConnectionPtr>& waiting = found->second;
    Clock::time_point const now = Clock::now();
    while (!waiting.empty()) {
      ConnectionPtr connection = std::move(waiting.back());
      waiting.pop_back();
      if (now - connection->idleSince < bounds.idleMs && connection->quiet()) {
        return connection;
      }
      if (now - connection->idleSince >= bounds.idleMs) {
        waiting.clear();
      }
    }
    idle.erase(found);
    return nullptr;
  }

  void park(std::string const& server, ConnectionPtr connection) {
    std::deque<ConnectionPtr>& waiting = idle[server];
    connection->idleSince = Clock::now();
    connection->stream.expires_never();
    waiting.push_back(std::move(connection));
    if (waiting.size() > bounds.maxIdlePerServer) {
      waiting.pop_front();
    }
    if (idle.size() > 1000) {
      idle.erase(idle.begin());
    }
  }

  static asio::awaitable<void> run(std::shared_ptr<Impl> self, std::uint64_t attempt, Address server, Request request,
                                   Clock::time_point deadline, Done done) {
    Exchange exchange = co_await exchangeWith(self, attempt, server, std::move(request), deadline);
    self->active.erase(attempt);
    done(std::move(exchange));
  }

  static asio::awaitable<Exchange> exchangeWith(std::shared_ptr<Impl> self, std::uint64_t attempt, Address server,
                                                Request request, Clock::time_point deadline) {
    Exchange out;
    boost::system::error_code error;
    std::string const name = server.text();
    ConnectionPtr connection = self->reuse(name);
    if (connection == nullptr) {
      connection = std::make_shared<Connection>(self->context);
      self->active[attempt] = connection;
      asio::ip::tcp::endpoint const endpoint(asio::ip::make_address_v4(server.host, error), server.port);
      connection->stream.expires_at(deadline);
      co_await connection->stream.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
      if (error || connection->cancelled) {
        out.reason = "connect: " + error.message();
        out.refused = error == boost::system::errc::connection_refused;
        co_return out;
      }
      connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
    }
    self->active[attempt] = connection;
    connection->stream.expires_at(deadline);
    http::request<http::string_body> message;
    message.method_string(request.method);
    message.target(request.target);
    message.version(11);
    for (std::pair<std::string, std::string> const& header : request.headers) {
      message.insert(header.first, header.second);
    }
    if (message.find(http::field::host) == message.end()) {
      message.set(http::field::host, name);
    }
    message.keep_alive(true);
    bool const mayHaveBody = !request.body.empty() || message.method() == http::verb::post ||
                             message.method() == http::verb::put || message.method() == http::verb::patch;
    message.body() = std::move(request.body);
    if (mayHaveBody) {
      message.content_length(message.body().size());
    }
    http::request_serializer<http::string_body> serializer(message);
    std::size_t const written =
        co_await http::async_write(connection->stream, serializer, asio::redirect_error(asio::use_awaitable, error));
    if (error || connection->cancelled) {
      out.verdict = written == 0 && !connection->cancelled ? tally::Verdict::notRun : tally::Verdict::mayHaveRun;
      out.reason = "send: " + error.message();
      co_return out;
    }
    out.verdict = tally::Verdict::mayHaveRun;
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(self->bounds.maxAnswerBytes);
    parser.skip(message.method() == http::verb::head);
    co_await http::async_read(connection->stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    if (error || connection->cancelled) {
      out.reason = "receive: " + (connection->cancelled ? std::string("cancelled") : error.message());
      co_return out;
    }
    bool const clean = parser.keep_alive() && parser.is_done() && buffer.size() == 0;
    http::response<http::string_body> got = parser.release();
    Answer answer;
    answer.status = static_cast<int>(got.result_int());
    if (answer.status < 200 || answer.status > 599) {
      out.reason = "receive: status " + std::to_string(answer.status);
      co_return out;
    }
    for (http::response<http::string_body>::value_type const& field : got) {
      answer.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    answer.body = std::move(got.body());
    out.answer = std::move(answer);
    out.verdict = tally::Verdict::ran;
    if (clean) {
      self->park(name, connection);
    }
    co_return out;
  }
};

HttpClient::HttpClient(Network& network, ClientBounds const& bounds)
    : impl_(std::make_shared<Impl>(network.impl().context, bounds)) {}

HttpClient::~HttpClient() = default;

void HttpClient::begin(std::uint64_t attempt, Address const& server, Request request, Clock::time_point deadline,
                       Done done) {
  asio::co_spawn(impl_->context,
                 Impl::run(impl_, attempt, server, std::move(request), deadline, std::move(done)), asio::detached);
}

void HttpClient::cancel(std::uint64_t attempt) {
  std::shared_ptr<Impl> const impl = impl_;
  asio::post(impl->context, [impl, attempt] {
    std::unordered_map<std::uint64_t, ConnectionPtr>::iterator const found = impl->active.find(attempt);
    if (found != impl->active.end()) {
      found->second->cancelled = true;
      found->second->stream.close();
    }
  });
}

}
