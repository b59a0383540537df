#pragma once

#include "limeramp/net/http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <string>
#include <string_view>
#include <utility>

namespace limeramp {

inline std::string numbered(std::string_view prefix, long number) {
  std::string out(prefix);
  return out.append(std::to_string(number));
}

/// A blocking TCP socket that sends and receives raw bytes. Reads time out after 20 s.
class RawSocket {
 public:
  explicit RawSocket(int descriptor = -1) : descriptor_(descriptor) { setReceiveTimeout(); }
  RawSocket(RawSocket&& other) noexcept
      : descriptor_(std::exchange(other.descriptor_, -1)), unread_(std::move(other.unread_)) {}
  RawSocket& operator=(RawSocket&& other) noexcept {
    std::swap(descriptor_, other.descriptor_);
    std::swap(unread_, other.unread_);
    return *this;
  }
  ~RawSocket() { close(); }

  static RawSocket to(net::Address const& address) {
    RawSocket out(::socket(AF_INET, SOCK_STREAM, 0));
    sockaddr_in const place = placeOf(address);
    static_cast<void>(::connect(out.descriptor_, reinterpret_cast<sockaddr const*>(&place), sizeof place));
    return out;
  }

  /// Starts to connect without waiting for the result.
  static RawSocket dial(net::Address const& address) {
    RawSocket out(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
    sockaddr_in const place = placeOf(address);
    static_cast<void>(::connect(out.descriptor_, reinterpret_cast<sockaddr const*>(&place), sizeof place));
    return out;
  }

  static sockaddr_in placeOf(net::Address const& address) {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(address.port);
    ::inet_pton(AF_INET, address.host.c_str(), &out.sin_addr);
    return out;
  }

  bool send(std::string_view text) {
    while (!text.empty()) {
      ssize_t const sent = ::send(descriptor_, text.data(), text.size(), MSG_NOSIGNAL);
      if (sent <= 0) {
        return false;
      }
      text.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
  }

  /// Sends the text and the FIN in one segment, so that the peer reads both at the same time.
  bool sendAndHalfClose(std::string_view text) {
    bool const sent =
        ::send(descriptor_, text.data(), text.size(), MSG_NOSIGNAL | MSG_MORE) == static_cast<ssize_t>(text.size());
    halfClose();
    return sent;
  }

  /// Reads up to the end of a message head. Empty if the connection ends before.
  std::string head() {
    std::size_t end = std::string::npos;
    while ((end = unread_.find("\r\n\r\n")) == std::string::npos) {
      if (!fill()) {
        return {};
      }
    }
    return take(end + 4);
  }

  /// Reads a head and the body that its content-length announces.
  std::string message() {
    std::string out = head();
    std::string folded = out;
    std::transform(folded.begin(), folded.end(), folded.begin(),
                   [](unsigned char character) { return std::tolower(character); });
    std::size_t const at = folded.find("content-length: ");
    std::size_t const length = at == std::string::npos ? 0 : std::strtoul(folded.c_str() + at + 16, nullptr, 10);
    while (unread_.size() < length && fill()) {
    }
    return out + take(std::min(length, unread_.size()));
  }

  /// Reads this many bytes, or fewer if the connection ends before.
  std::string exactly(std::size_t bytes) {
    while (unread_.size() < bytes && fill(bytes - unread_.size())) {
    }
    return take(bytes);
  }

  /// Reads until the connection ends.
  std::string rest() {
    while (fill()) {
    }
    return take(unread_.size());
  }

  /// Discards all input. Returns whether the connection ended by FIN rather than by a reset or a timeout.
  bool endsInOrder() {
    while (fill()) {
    }
    return lastReceived_ == 0;
  }

  void halfClose() { ::shutdown(descriptor_, SHUT_WR); }

  /// Closes the connection with RST.
  void reset() {
    linger const now{1, 0};
    ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close();
  }

  void close() {
    if (descriptor_ >= 0) {
      ::close(descriptor_);
      descriptor_ = -1;
    }
  }

 private:
  void setReceiveTimeout() {
    timeval const most{20, 0};
    if (descriptor_ >= 0) {
      ::setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &most, sizeof most);
    }
  }

  bool fill(std::size_t most = 4096) {
    char bytes[4096];
    lastReceived_ = ::recv(descriptor_, bytes, std::min(most, sizeof bytes), 0);
    if (lastReceived_ > 0) {
      unread_.append(bytes, static_cast<std::size_t>(lastReceived_));
    }
    return lastReceived_ > 0;
  }

  std::string take(std::size_t bytes) {
    std::string out = unread_.substr(0, bytes);
    unread_.erase(0, bytes);
    return out;
  }

  int descriptor_;
  std::string unread_;
  ssize_t lastReceived_ = 1;
};

/// A TCP listener on a free port of 127.0.0.1.
class RawListener {
 public:
  explicit RawListener(int backlog = 64) : descriptor_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in place = RawSocket::placeOf({"127.0.0.1", 0});
    socklen_t size = sizeof place;
    static_cast<void>(::bind(descriptor_, reinterpret_cast<sockaddr const*>(&place), size));
    ::listen(descriptor_, backlog);
    ::getsockname(descriptor_, reinterpret_cast<sockaddr*>(&place), &size);
    address_ = {"127.0.0.1", ntohs(place.sin_port)};
  }
  RawListener(RawListener const&) = delete;
  RawListener& operator=(RawListener const&) = delete;
  ~RawListener() { ::close(descriptor_); }

  net::Address address() const { return address_; }
  int descriptor() const { return descriptor_; }
  RawSocket accept() { return RawSocket(::accept(descriptor_, nullptr, nullptr)); }

 private:
  int descriptor_;
  net::Address address_;
};

}  // namespace limeramp
