#include "network.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace limeramp::rigging {

Network::Network() : impl_(std::make_unique<Impl>()) {
  impl_->thread = std::thread([this] { impl_->context.run(); });
}

Network::~Network() { stop(); }

void Network::post(std::function<void()> work) { boost::asio::post(impl_->context, std::move(work)); }

void Network::at(std::chrono::steady_clock::time_point when, std::function<void()> work) {
  std::shared_ptr<boost::asio::steady_timer> const timer = std::make_shared<boost::asio::steady_timer>(impl_->context, when);
  timer->async_wait([timer, work = std::move(work)](boost::system::error_code const& error) {
    if (!error) {
      work();
    }
  });
}

bool Network::onThread() const { return std::this_thread::get_id() == impl_->thread.get_id(); }

void Network::stop() {
  impl_->context.stop();
  if (impl_->thread.joinable()) {
    impl_->thread.join();
  }
}

std::string Address::text() const { return host + ":" + std::to_string(port); }

std::optional<Address> Address::parse(std::string const& text) {
  std::size_t const colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    return std::nullopt;
  }
  Address out;
  out.host = text.substr(0, colon);
  char const* const last = text.data() + text.size();
  std::from_chars_result const read = std::from_chars(text.data() + colon + 1, last, out.port);
  boost::system::error_code error;
  boost::asio::ip::make_address_v4(out.host, error);
  if (error || read.ec != std::errc() || read.ptr != last) {
    return std::nullopt;
  }
  return out;
}

std::optional<std::string> findHeader(Headers const& headers, std::string const& name) {
  for (std::pair<std::string, std::string> const& header : headers) {
    if (boost::beast::iequals(header.first, name)) {
      return header.second;
    }
  }
  return std::nullopt;
}

void dropHeader(Headers& headers, std::string_view name) {
  std::erase_if(headers, [&](std::pair<std::string, std::string> const& header) {
    return boost::beast::iequals(header.first, name);
  });
}

Headers withoutHopByHop(Headers const& headers) {
  static constexpr std::array<std::string_view, 10> hop{
      "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "te",
      "trailer",    "upgrade",    "transfer-encoding",  "content-length",      "proxy-connection"};
  std::string listed;
  for (std::pair<std::string, std::string> const& header : headers) {
    if (boost::beast::iequals(header.first, "connection")) {
      listed += "," + header.second;
    }
  }
  std::vector<std::string> named;
  for (std::size_t at = 0; at < listed.size();) {
    std::size_t const comma = std::min(listed.find(',', at), listed.size());
    std::string name = listed.substr(at, comma - at);
    std::erase_if(name, [](char letter) { return letter == ' ' || letter == '\t'; });
    named.push_back(std::move(name));
    at = comma + 1;
  }
  Headers out;
  for (std::pair<std::string, std::string> const& header : headers) {
    bool const fixed = std::any_of(hop.begin(), hop.end(),
                                   [&](std::string_view name) { return boost::beast::iequals(header.first, name); });
    bool const asked = std::any_of(named.begin(), named.end(), [&](std::string const& name) {
      return !name.empty() && boost::beast::iequals(header.first, name);
    });
    if (!fixed && !asked) {
      out.push_back(header);
    }
  }
  return out;
}

}
