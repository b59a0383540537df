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

#include <atomic>

namespace limeramp::rigging {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Socket = asio::ip::tcp::socket;

struct Pending {
  explicit Pending(asio::io_context& context) : timer(context) {}
  asio::steady_timer timer;
  std::optional<Answer> answer;
};

}

struct HttpServer::Impl {
  Impl(asio::io_context& contextIn, ServerBounds const& boundsIn, Handler handlerIn)
      : context(contextIn), acceptor(contextIn), bounds(boundsIn), handler(std::move(handlerIn)) {}

  asio::io_context& context;
  asio::ip::tcp::acceptor acceptor;
  ServerBounds bounds;
  Handler handler;
  std::atomic<std::size_t> connections{0};
  std::atomic<bool> stopping{false};
  Address address;

  static asio::awaitable<void> accept(std::shared_ptr<Impl> self);
  static asio::awaitable<void> serve(std::shared_ptr<Impl> self, Socket socket);
};

asio::awaitable<void> HttpServer::Impl::accept(std::shared_ptr<Impl> self) {
  while (!self->stopping) {
    boost::system::error_code error;
    Socket socket = co_await self->acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
    if (self->stopping) {
      break;
    }
    if (error) {
      asio::steady_timer pause(self->context, std::chrono::milliseconds(20));
      co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, error));
      continue;
    }
    if (self->connections >= self->bounds.maxConnections) {
      continue;
    }
    ++self->connections;
    asio::co_spawn(self->context, serve(self, std::move(socket)), asio::detached);
  }
}

asio::awaitable<void> HttpServer::Impl::serve(std::shared_ptr<Impl> self, Socket socket) {
  boost::system::error_code error;
  socket.set_option(asio::ip::tcp::no_delay(true), error);
  asio::ip::tcp::endpoint const remote = socket.remote_endpoint(error);
  std::string const peer = error ? "" : remote.address().to_string() + ":" + std::to_string(remote.port());
  beast::tcp_stream stream(std::move(socket));
  beast::flat_buffer buffer;
  for (;;) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(self->bounds.maxBodyBytes);
    parser.header_limit(16 * 1024);
    stream.expires_after(self->bounds.idleMs);
    co_await http::async_read(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    Answer answer;
    bool keep = false;
    unsigned version = 11;
    if (error) {
      if (error == http::error::end_of_stream || error == beast::error::timeout || !parser.got_some()) {
        break;
      }
      answer.status = error == http::error::body_limit ? 413 : error == http::error::header_limit ? 431 : 400;
      answer.headers.emplace_back("content-type", "application/json");
      answer.headers.emplace_back("limeramp-verdict", "not_run");
      answer.body = R"({"verdict":"not_run","reason":")" + error.message() + "\"}";
    } else {
      http::request<http::string_body> message = parser.release();
      keep = message.keep_alive() && !self->stopping;
      version = message.version();
      Request request;
      request.method = std::string(message.method_string());
      request.target = std::string(message.target());
      request.peer = peer;
      for (http::request<http::string_body>::value_type const& field : message) {
        request.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
      }
      request.body = std::move(message.body());
      std::shared_ptr<Pending> const pending = std::make_shared<Pending>(self->context);
      pending->timer.expires_at(std::chrono::steady_clock::time_point::max());
      asio::io_context& context = self->context;
      self->handler(std::move(request), [pending, &context](Answer made) {
        asio::post(context, [pending, made = std::move(made)]() mutable {
          if (!pending->answer) {
            pending->answer = std::move(made);
            pending->timer.cancel();
          }
        });
      });
      if (!pending->answer) {
        co_await pending->timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
      }
      if (!pending->answer) {
        break;
      }
      answer = std::move(*pending->answer);
    }
    http::response<http::string_body> message{static_cast<http::status>(answer.status), version};
    for (std::pair<std::string, std::string> const& header : answer.headers) {
      message.insert(header.first, header.second);
    }
    message.body() = std::move(answer.body);
    message.keep_alive(keep);
    message.prepare_payload();
    stream.expires_after(self->bounds.idleMs);
    co_await http::async_write(stream, message, asio::redirect_error(asio::use_awaitable, error));
    if (error || !keep) {
      break;
    }
  }
  stream.socket().shutdown(Socket::shutdown_send, error);
  --self->connections;
}

HttpServer::HttpServer() = default;

std::unique_ptr<HttpServer> HttpServer::listen(Network& network, Address const& address, ServerBounds const& bounds,
                                               Handler handler, std::string& error) {
  std::unique_ptr<HttpServer> server(new HttpServer());
  server->impl_ = std::make_shared<Impl>(network.impl().context, bounds, std::move(handler));
  Impl& impl = *server->impl_;
  boost::system::error_code failure;
  asio::ip::tcp::endpoint const endpoint(asio::ip::make_address_v4(address.host, failure), address.port);
  if (!failure) {
    impl.acceptor.open(asio::ip::tcp::v4(), failure);
  }
  if (!failure) {
    impl.acceptor.set_option(asio::socket_base::reuse_address(true), failure);
  }
  if (!failure) {
    impl.acceptor.bind(endpoint, failure);
  }
  if (!failure) {
    impl.acceptor.listen(512, failure);
  }
  if (failure) {
    error = "cannot listen on " + address.text() + ": " + failure.message();
    return nullptr;
  }
  impl.address = {address.host, impl.acceptor.local_endpoint().port()};
  asio::co_spawn(impl.context, Impl::accept(server->impl_), asio::detached);
  return server;
}

HttpServer::~HttpServer() { stopAccepting(); }

Address HttpServer::address() const { return impl_->address; }

void HttpServer::stopAccepting() {
  std::shared_ptr<Impl> const impl = impl_;
  impl->stopping = true;
  asio::post(impl->context, [impl] {
    boost::system::error_code ignored;
    impl->acceptor.close(ignored);
  });
}

std::size_t HttpServer::connections() const { return impl_->connections; }

}
