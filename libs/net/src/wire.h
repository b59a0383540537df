#pragma once

#include "limeramp/net/http.h"

#include <string>
#include <string_view>

namespace limeramp::net {

/// Whether the head of a message (start line and headers) is complete.
enum class HeadStatus { partial, complete, malformed };

/// Progress of scanHead(): offset of the next line to check, and size of the complete head in bytes.
struct HeadScan {
  std::size_t line = 0;
  std::size_t size = 0;
};

/// How an answer is framed. `bodiless`: it answers a HEAD request and is sent without its body.
struct Framing {
  unsigned version = 11;
  bool keepAlive = true;
  bool bodiless = false;
};

/// Checks the lines of a head strictly: CRLF line ends, no control characters, no folded lines, no space before the
/// colon. `bytes` starts at the head; later calls resume at the first unchecked line.
HeadStatus scanHead(HeadScan& scan, std::string_view bytes);
/// Appends an answer to `out`. Framing headers of the answer itself are replaced by those that `framing` requires.
void writeAnswer(std::string& out, Answer const& answer, Framing const& framing);
/// Appends a request to `out`, with `server` as Host unless the request names a host.
void writeRequest(std::string& out, Request const& request, std::string const& server);
/// Empties a buffer, and releases its memory if its capacity exceeds `maxBytes`.
void clearBuffer(std::string& buffer, std::size_t maxBytes);

}  // namespace limeramp::net
