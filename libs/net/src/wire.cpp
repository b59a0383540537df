#include "wire.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>

namespace limeramp::net {
namespace {

namespace beast = boost::beast;

bool isControl(char character) {
  unsigned char const code = static_cast<unsigned char>(character);
  return (code < 0x20 && character != '\t') || code == 0x7f;
}

bool isValidHeadLine(std::string_view line, bool first) {
  if (line.empty() || std::any_of(line.begin(), line.end(), isControl)) {
    return false;
  }
  if (first) {
    return true;
  }
  std::size_t const colon = line.find(':');
  return line.front() != ' ' && line.front() != '\t' && colon != std::string_view::npos && colon > 0 &&
         line[colon - 1] != ' ' && line[colon - 1] != '\t';
}

bool isFramingHeader(std::string_view name) {
  static constexpr std::array<std::string_view, 5> framing{"connection", "content-length", "transfer-encoding",
                                                           "keep-alive", "proxy-connection"};
  return std::any_of(framing.begin(), framing.end(),
                     [&](std::string_view one) { return one.size() == name.size() && beast::iequals(one, name); });
}

bool containsLineBreakOrNul(std::string_view text) {
  return std::any_of(text.begin(), text.end(),
                     [](char character) { return character == '\r' || character == '\n' || character == '\0'; });
}

std::size_t encodedSize(Headers const& headers) {
  std::size_t out = 0;
  for (std::pair<std::string, std::string> const& header : headers) {
    out += header.first.size() + header.second.size() + 4;
  }
  return out;
}

void writeHeader(std::string& out, std::string_view name, std::string_view value) {
  out.append(name).append(": ").append(value).append("\r\n");
}

void writeHeaders(std::string& out, Headers const& headers) {
  for (std::pair<std::string, std::string> const& header : headers) {
    if (!header.first.empty() && !isFramingHeader(header.first) && !containsLineBreakOrNul(header.first) &&
        !containsLineBreakOrNul(header.second)) {
      writeHeader(out, header.first, header.second);
    }
  }
}

}  // namespace

HeadStatus scanHead(HeadScan& scan, std::string_view bytes) {
  for (;;) {
    std::size_t const end = bytes.find('\n', scan.line);
    bool const first = scan.line == 0;
    std::string_view line = bytes.substr(scan.line, end == std::string_view::npos ? end : end - scan.line);
    bool const endsWithCr = !line.empty() && line.back() == '\r';
    if (endsWithCr) {
      line.remove_suffix(1);
    }
    if (end == std::string_view::npos) {
      return std::any_of(line.begin(), line.end(), isControl) ? HeadStatus::malformed : HeadStatus::partial;
    }
    if (!endsWithCr) {
      return HeadStatus::malformed;
    }
    if (line.empty() && !first) {
      scan.size = end + 1;
      return HeadStatus::complete;
    }
    if (!isValidHeadLine(line, first)) {
      return HeadStatus::malformed;
    }
    scan.line = end + 1;
  }
}

void writeAnswer(std::string& out, Answer const& answer, Framing const& framing) {
  bool const bodyForbidden = answer.status / 100 == 1 || answer.status == 204 || answer.status == 304;
  out.reserve(out.size() + encodedSize(answer.headers) + answer.body.size() + 128);
  out.append(framing.version == 10 ? "HTTP/1.0 " : "HTTP/1.1 ").append(std::to_string(answer.status)).append(" ");
  out.append(
      beast::http::obsolete_reason(beast::http::int_to_status(static_cast<unsigned>(std::max(answer.status, 0)))));
  out.append("\r\n");
  writeHeaders(out, answer.headers);
  if (!framing.keepAlive) {
    writeHeader(out, "Connection", "close");
  } else if (framing.version == 10) {
    writeHeader(out, "Connection", "keep-alive");
  }
  if (!bodyForbidden) {
    std::optional<std::string> const declaredLength =
        framing.bodiless && answer.body.empty() ? findHeader(answer.headers, "content-length") : std::nullopt;
    writeHeader(out, "Content-Length",
                declaredLength && !containsLineBreakOrNul(*declaredLength) ? *declaredLength
                                                                           : std::to_string(answer.body.size()));
  }
  out.append("\r\n");
  if (!bodyForbidden && !framing.bodiless) {
    out.append(answer.body);
  }
}

void writeRequest(std::string& out, Request const& request, std::string const& server) {
  out.reserve(out.size() + request.target.size() + encodedSize(request.headers) + request.body.size() + 128);
  out.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
  bool const hasHost = findHeader(request.headers, "host").has_value();
  if (!hasHost) {
    writeHeader(out, "Host", server);
  }
  writeHeaders(out, request.headers);
  if (!request.body.empty() || request.method == "POST" || request.method == "PUT" || request.method == "PATCH") {
    writeHeader(out, "Content-Length", std::to_string(request.body.size()));
  }
  out.append("\r\n").append(request.body);
}

void clearBuffer(std::string& buffer, std::size_t maxBytes) {
  buffer.clear();
  if (buffer.capacity() > maxBytes) {
    std::string().swap(buffer);
  }
}

}  // namespace limeramp::net
