#pragma once

#include "wire.h"

#include <boost/beast/http.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace limeramp::net {

/// Reads one request after the other from the bytes of a connection, within the server's bounds. A request that is
/// refused has not been handed to anybody.
class RequestReader {
 public:
  enum class Progress { partial, complete, refused };

  /// What is answered to a request that is refused.
  struct Refusal {
    int status = 400;
    std::string reason;
  };

  void begin();
  /// Reads on. While no head is whole, `bytes` begins with the first byte of the request each time.
  Progress take(std::string_view bytes, std::size_t& used, ServerBounds const& bounds);
  void reset() { parser_.reset(); }

  /// Whether the caller waits for a word before it sends the body; true once.
  bool takeExpectation() { return std::exchange(expecting_, false); }
  Refusal const& refusal() const { return refusal_; }
  /// How the answer to the whole request is to be framed.
  Framing framing() const;
  /// Hands over the whole request.
  Request request();

 private:
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  Progress refuse(int status, std::string reason);
  Progress readHead(std::string_view head, std::size_t& used, ServerBounds const& bounds);
  Progress readHeaders();
  Progress readBody(std::string_view body, std::size_t& used, ServerBounds const& bounds);

  std::optional<Parser> parser_;
  HeadScan scan_;
  Headers headers_;
  bool expecting_ = false;
  Refusal refusal_;
};

}  // namespace limeramp::net
