#pragma once

#include "wire.h"

#include <boost/beast/http.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace limeramp::net {

/// Parses consecutive requests from the bytes of a connection, within the server's bounds. A refused request never
/// reaches the handler.
class RequestReader {
 public:
  enum class Progress { partial, complete, refused };

  /// Status and reason of the answer to a refused request.
  struct Refusal {
    int status = 400;
    std::string reason;
  };

  void begin();
  /// Parses further bytes and adds those parsed to `used`. Until the head is complete, each call must pass `bytes` from
  /// the first byte of the request on.
  Progress consume(std::string_view bytes, std::size_t& used, ServerBounds const& bounds);
  void reset() { parser_.reset(); }

  /// Whether the caller expects "100 Continue" before it sends the body. Returns true only once per request.
  bool takeExpectation() { return std::exchange(expecting_, false); }
  Refusal const& refusal() const { return refusal_; }
  /// How the answer to the complete request must be framed.
  Framing framing() const;
  /// Moves the complete request out of the reader.
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
