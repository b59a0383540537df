#pragma once

#include "sockets.h"

#include <boost/beast/http.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace limeramp::net {

/// Parses the answer to one request from the bytes of a connection. It skips interim (1xx) answers, enforces size
/// limits and rejects an answer that belongs to another request.
class AnswerReader {
 public:
  enum class Progress { partial, complete, invalid };

  /// Resets the reader for the answer to `request`, which must stay valid until that answer is read.
  void expect(Request const& request, std::size_t maxBodyBytes);

  Progress consume(std::string_view received);
  /// Called when the server closed the connection in order. Returns whether that completes the answer.
  bool finishAtEof();

  /// Moves the complete answer out of the reader.
  Answer answer();
  /// Whether the connection may carry another exchange: no bytes followed the answer and the server keeps it open.
  bool leavesConnectionClean() const { return clean_; }
  /// The timeout from the server's Keep-Alive header, if it sent one.
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
  std::size_t interimAnswers_ = 0;
  Headers headers_;
  std::optional<Ms> keepAliveMs_;
  bool clean_ = false;
  std::string unread_;
  std::string error_;
};

}  // namespace limeramp::net
