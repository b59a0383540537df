#include "answer_reader.h"

#include "wire.h"

#include <boost/beast/core/string.hpp>

#include <charconv>

namespace limeramp::net {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::size_t maxHeaderBytes = 32 << 10;
constexpr std::size_t maxInterimAnswers = 16;

std::optional<Ms> keepAliveTimeout(std::string_view value) {
  static constexpr std::string_view name = "timeout=";
  for (std::size_t at = 0; at < value.size();) {
    std::size_t const comma = std::min(value.find(',', at), value.size());
    std::string_view parameter = value.substr(at, comma - at);
    at = comma + 1;
    parameter.remove_prefix(std::min(parameter.find_first_not_of(" \t"), parameter.size()));
    if (parameter.size() > name.size() && beast::iequals(parameter.substr(0, name.size()), name)) {
      std::uint32_t seconds = 0;
      char const* const last = parameter.data() + parameter.size();
      std::from_chars_result const read = std::from_chars(parameter.data() + name.size(), last, seconds);
      if (read.ec == std::errc()) {
        return std::chrono::seconds(seconds);
      }
    }
  }
  return std::nullopt;
}

std::string_view valueOf(Headers const& headers, std::string_view name) {
  for (std::pair<std::string, std::string> const& header : headers) {
    if (beast::iequals(header.first, name)) {
      return header.second;
    }
  }
  return {};
}

bool belongsTo(Request const& request, Headers const& answer) {
  AnswerIdentity const& identity = request.identity;
  if (identity.answerHeader.empty()) {
    return true;
  }
  std::string_view const id = valueOf(request.headers, identity.requestHeader);
  bool found = false;
  for (std::pair<std::string, std::string> const& header : answer) {
    if (beast::iequals(header.first, identity.answerHeader)) {
      found = true;
      if (header.second != id) {
        return false;
      }
    }
  }
  return found || !identity.required;
}

}  // namespace

void AnswerReader::expect(Request const& request, std::size_t maxBodyBytes) {
  request_ = &request;
  maxBodyBytes_ = maxBodyBytes;
  parser_.reset();
  interimAnswers_ = 0;
  clean_ = false;
}

AnswerReader::Progress AnswerReader::consume(std::string_view received) {
  bool const buffered = !unread_.empty();
  if (buffered) {
    unread_.append(received);
  }
  std::string_view bytes = buffered ? std::string_view(unread_) : received;
  Progress progress = Progress::partial;
  for (;;) {
    std::size_t used = 0;
    std::size_t const interim = interimAnswers_;
    progress = parse(bytes, used);
    bytes.remove_prefix(used);
    if (progress != Progress::partial || bytes.empty() || interim == interimAnswers_) {
      break;
    }
  }
  if (progress == Progress::invalid) {
    return progress;
  }
  if (progress == Progress::complete) {
    clean_ = bytes.empty() && parser_->keep_alive();
    clearBuffer(unread_, maxKeptBufferBytes);
    return progress;
  }
  if (bytes.size() > maxHeaderBytes) {
    return fail("malformed answer");
  }
  if (buffered) {
    unread_.erase(0, unread_.size() - bytes.size());
  } else {
    unread_.assign(bytes);
  }
  return progress;
}

AnswerReader::Progress AnswerReader::parse(std::string_view bytes, std::size_t& used) {
  if (!parser_) {
    parser_.emplace();
    parser_->header_limit(maxHeaderBytes);
    parser_->body_limit(maxBodyBytes_);
    parser_->skip(request_->method == "HEAD");
  }
  if (!parser_->is_header_done()) {
    Progress const progress = readHead(bytes, used);
    if (progress == Progress::invalid || !parser_ || !parser_->is_header_done()) {
      return progress;
    }
    bytes.remove_prefix(used);
  }
  if (!parser_->is_done() && !bytes.empty()) {
    boost::system::error_code error;
    used += parser_->put(asio::buffer(bytes.data(), bytes.size()), error);
    if (error && error != http::error::need_more) {
      return fail(error.message());
    }
  }
  return parser_->is_done() ? Progress::complete : Progress::partial;
}

AnswerReader::Progress AnswerReader::readHead(std::string_view bytes, std::size_t& used) {
  boost::system::error_code error;
  used = parser_->put(asio::buffer(bytes.data(), bytes.size()), error);
  if (error == http::error::need_more) {
    return Progress::partial;
  }
  unsigned const status = parser_->get().result_int();
  if (error || status < 100 || status > 599 || status == 101) {
    return fail(error ? error.message() : "status " + std::to_string(status));
  }
  if (status < 200) {
    return endInterim();
  }
  headers_.clear();
  keepAliveMs_.reset();
  for (http::response<http::string_body>::value_type const& field : parser_->get()) {
    headers_.emplace_back(std::string(field.name_string()), std::string(field.value()));
    if (beast::iequals(field.name_string(), "keep-alive")) {
      keepAliveMs_ = keepAliveTimeout(std::string_view(field.value().data(), field.value().size()));
    }
  }
  if (!belongsTo(*request_, headers_)) {
    return fail("the answer belongs to another request");
  }
  parser_->eager(true);
  return Progress::partial;
}

AnswerReader::Progress AnswerReader::endInterim() {
  parser_.reset();
  return ++interimAnswers_ > maxInterimAnswers ? fail("too many interim answers") : Progress::partial;
}

bool AnswerReader::finishAtEof() {
  if (!parser_ || !parser_->is_header_done() || !parser_->need_eof()) {
    return false;
  }
  boost::system::error_code error;
  parser_->put_eof(error);
  clean_ = false;
  return !error;
}

Answer AnswerReader::answer() {
  http::response<http::string_body>& message = parser_->get();
  Answer out;
  out.status = static_cast<int>(message.result_int());
  out.headers = std::move(headers_);
  out.body = std::move(message.body());
  out.endedByClose = parser_->need_eof();
  headers_ = {};
  parser_.reset();
  return out;
}

AnswerReader::Progress AnswerReader::fail(std::string error) {
  error_ = std::move(error);
  return Progress::invalid;
}

}  // namespace limeramp::net
