#pragma once

#include "limeramp/tally/verdict.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace limeramp::rigging {

using Headers = std::vector<std::pair<std::string, std::string>>;

std::optional<std::string> findHeader(Headers const& headers, std::string const& name);
Headers withoutHopByHop(Headers const& headers);
void dropHeader(Headers& headers, std::string_view name);

struct Request {
  std::string method;
  std::string target;
  Headers headers;
  std::string body;
  std::string peer;
};

struct Answer {
  int status = 200;
  Headers headers;
  std::string body;
};

struct Address {
  std::string host;
  std::uint16_t port = 0;
  std::string text() const;
  static std::optional<Address> parse(std::string const& text);
};

using Responder = std::function<void(Answer)>;

class Network {
 public:
  Network();
  ~Network();
  Network(Network const&) = delete;
  Network& operator=(Network const&) = delete;

  void post(std::function<void()> work);
  void at(std::chrono::steady_clock::time_point when, std::function<void()> work);
  bool onThread() const;
  void stop();

  struct Impl;
  Impl& impl() { return *impl_; }

 private:
  std::unique_ptr<Impl> impl_;
};

struct ServerBounds {
  std::size_t maxConnections = 2000;
  std::size_t maxBodyBytes = 1 << 20;
  std::chrono::milliseconds idleMs{30'000};
};

class HttpServer {
 public:
  using Handler = std::function<void(Request, Responder)>;
  static std::unique_ptr<HttpServer> listen(Network& network, Address const& address, ServerBounds const& bounds,
                                            Handler handler, std::string& error);
  ~HttpServer();
  Address address() const;
  void stopAccepting();
  std::size_t connections() const;

 private:
  HttpServer();
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

struct Exchange {
  std::optional<Answer> answer;
  tally::Verdict verdict = tally::Verdict::notRun;
  std::string reason;
  bool refused = false;
};

struct ClientBounds {
  std::size_t maxAnswerBytes = 4 << 20;
  std::size_t maxIdlePerServer = 16;
  std::chrono::milliseconds idleMs{2'000};
};

class HttpClient {
 public:
  using Done = std::function<void(Exchange)>;
  HttpClient(Network& network, ClientBounds const& bounds);
  ~HttpClient();

  void begin(std::uint64_t attempt, Address const& server, Request request,
             std::chrono::steady_clock::time_point deadline, Done done);
  void cancel(std::uint64_t attempt);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}
