#pragma once

#include "sockets.h"

#include <boost/beast/http.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace limeramp::net {

/// Reads the answer to one request from the bytes of a connection: interim answers are skipped, limits are kept, and an
/// answer that belongs to another request is an error.
class AnswerReader {
 public:
  enum class Progress { partial, complete, wrong };

  /// Forgets the last answer and expects the one to `request`, which must outlive it.
  void expect(Request const& request, std::size_t maxBodyBytes);

  Progress take(std::string_view received);
  /// The connection ended in order. Whether that is the end of the answer.
  bool endsHere();

  /// Hands over what was read, once it is whole.
  Answer answer();
  /// Whether the connection may carry another exchange: nothing came after the answer and the server keeps it open.
  bool leavesConnectionClean() const { return clean_; }
  /// How long the server keeps the connection open, if it said so.
  std::optional<Ms> keepAliveMs() const { return keepAliveMs_; }
  std::string const& error() const { return error_; }

 private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

  Progress fail(std::string error);
  Progress parse(std::string_view bytes, std::size_t& used);
  Progress readHead(std::string_view bytes, std::size_t& used);
  Progress endInterim();

  Request const* request_ = nullptr;
  std::size_t maxBodyBytes_ = 0;
  std::optional<Parser> parser_;
  std::size_t interim_ = 0;
  Headers headers_;
  std::optional<Ms> keepAliveMs_;
  bool clean_ = false;
  std::string unread_;
  std::string error_;
};

}  // namespace limeramp::net
