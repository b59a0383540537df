#include "request_reader.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>

namespace limeramp::net {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

}  // namespace

void RequestReader::begin() {
  scan_ = {};
  expecting_ = false;
}

RequestReader::Progress RequestReader::consume(std::string_view bytes, std::size_t& used, ServerBounds const& bounds) {
  if (!parser_) {
    Progress const progress = readHead(bytes.substr(used), used, bounds);
    if (progress != Progress::complete) {
      return progress;
    }
  }
  return readBody(bytes.substr(used), used, bounds);
}

RequestReader::Progress RequestReader::readHead(std::string_view head, std::size_t& used, ServerBounds const& bounds) {
  HeadStatus const state = scanHead(scan_, head);
  if (state == HeadStatus::malformed) {
    return refuse(400, "malformed head");
  }
  if ((state == HeadStatus::complete ? scan_.size : head.size()) > bounds.maxHeaderBytes) {
    return refuse(431, "the head is too long");
  }
  if (state == HeadStatus::partial) {
    return Progress::partial;
  }
  parser_.emplace();
  parser_->header_limit(static_cast<std::uint32_t>(scan_.size + 1));
  parser_->body_limit(bounds.maxBodyBytes);
  boost::system::error_code error;
  used += parser_->put(asio::buffer(head.data(), scan_.size), error);
  if (error) {
    return refuse(error == http::error::body_limit ? 413 : 400, error.message());
  }
  return readHeaders();
}

RequestReader::Progress RequestReader::readHeaders() {
  http::request<http::string_body> const& message = parser_->get();
  headers_.clear();
  std::size_t codings = 0;
  for (http::request<http::string_body>::value_type const& field : message) {
    bool const coding = field.name() == http::field::transfer_encoding;
    codings += coding ? 1 : 0;
    if (coding && (codings > 1 || !beast::iequals(field.value(), "chunked") || message.version() != 11)) {
      return refuse(400, "unknown transfer coding");
    }
    expecting_ = expecting_ || (field.name() == http::field::expect && message.version() == 11 &&
                                beast::iequals(field.value(), "100-continue"));
    headers_.emplace_back(std::string(field.name_string()), std::string(field.value()));
  }
  parser_->eager(true);
  return Progress::complete;
}

RequestReader::Progress RequestReader::readBody(std::string_view body, std::size_t& used, ServerBounds const& bounds) {
  if (!parser_->is_done() && !body.empty()) {
    expecting_ = false;
    boost::system::error_code error;
    std::size_t const taken = parser_->put(asio::buffer(body.data(), body.size()), error);
    used += taken;
    if (error && error != http::error::need_more) {
      return refuse(error == http::error::body_limit ? 413 : 400, error.message());
    }
    if (!parser_->is_done() && body.size() - taken > bounds.maxHeaderBytes) {
      return refuse(400, "malformed chunk");
    }
  }
  return parser_->is_done() ? Progress::complete : Progress::partial;
}

RequestReader::Progress RequestReader::refuse(int status, std::string reason) {
  refusal_ = {status, std::move(reason)};
  return Progress::refused;
}

Framing RequestReader::framing() const {
  http::request<http::string_body> const& message = parser_->get();
  return {message.version(), parser_->keep_alive(), message.method() == http::verb::head};
}

Request RequestReader::request() {
  http::request<http::string_body>& message = parser_->get();
  Request out;
  out.method = std::string(message.method_string());
  out.target = std::string(message.target());
  out.headers = std::move(headers_);
  out.body = std::move(message.body());
  headers_ = {};
  parser_.reset();
  return out;
}

}  // namespace limeramp::net
