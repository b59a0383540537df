#pragma once

#include "limeramp/retry/verdict.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace limeramp::net {

using Headers = std::vector<std::pair<std::string, std::string>>;

std::optional<std::string> findHeader(Headers const& headers, std::string const& name);
Headers withoutHopByHop(Headers const& headers);
void dropHeader(Headers& headers, std::string_view name);
std::string percentEncoded(std::string const& text);
std::string plainHost(std::string_view host);

/// How an answer shows which request it belongs to. The names must outlive the request; empty names ask for nothing.
struct AnswerIdentity {
  /// The header of the request that holds its id.
  std::string_view requestHeader;
  /// The header in which the answer carries that id back. An answer with another id belongs to nobody.
  std::string_view answerHeader;
  /// Whether an answer without the header belongs to nobody either.
  bool required = false;
};

struct Request {
  std::string method;
  std::string target;
  Headers headers;
  std::string body;
  std::string peer;
  std::uint64_t token = 0;
  AnswerIdentity identity{};
};

struct Answer {
  int status = 200;
  Headers headers;
  std::string body;
  bool endedByClose = false;
};

struct Address {
  std::string host;
  std::uint16_t port = 0;
  std::string text() const;
  static std::optional<Address> parse(std::string const& text);
};

using Responder = std::function<void(Answer)>;

struct RunOnCallerThread {};

class Network {
 public:
  using TimerId = std::uint64_t;

  Network();
  explicit Network(RunOnCallerThread);
  ~Network();
  Network(Network const&) = delete;
  Network& operator=(Network const&) = delete;

  void post(std::function<void()> work);
  void run();
  void stop();
  bool onThread() const;

  TimerId at(std::chrono::steady_clock::time_point when, std::function<void()> work);
  TimerId after(std::chrono::steady_clock::duration delay, std::function<void()> work);
  TimerId every(std::chrono::steady_clock::duration period, std::function<void()> work);
  void cancel(TimerId timer);

  struct Impl;
  std::shared_ptr<Impl> const& impl() { return impl_; }

 private:
  std::shared_ptr<Impl> impl_;
};

struct ServerBounds {
  std::size_t maxConnections = 2000;
  std::size_t maxHeaderBytes = 16 << 10;
  std::size_t maxBodyBytes = 1 << 20;
  std::chrono::milliseconds headerMs{10'000};
  std::chrono::milliseconds idleMs{30'000};
};

struct ServerOptions {
  ServerOptions() = default;
  ServerOptions(ServerBounds const& boundsIn) : bounds(boundsIn) {}

  ServerBounds bounds;
  std::function<Answer(int status, std::string const& reason)> refuse;
  std::function<void(std::uint64_t token)> gone;
  std::chrono::milliseconds userTimeoutMs{3'000};
  bool opensLater = false;
};

class HttpServer {
 public:
  using Handler = std::function<void(Request, Responder)>;
  static std::unique_ptr<HttpServer> listen(Network& network, Address const& address, ServerOptions options,
                                            Handler handler, std::string& error);
  ~HttpServer();
  HttpServer(HttpServer const&) = delete;
  HttpServer& operator=(HttpServer const&) = delete;
  Address address() const;
  void setBounds(ServerBounds const& bounds);
  void open();
  void drain();
  void stopAccepting();
  std::size_t connections() const;

 private:
  HttpServer();
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

struct Exchange {
  std::optional<Answer> answer;
  retry::Verdict verdict = retry::Verdict::notRun;
  std::string reason;
  bool refused = false;
};

struct ClientBounds {
  std::size_t maxAnswerBytes = 4 << 20;
  std::size_t maxIdlePerServer = 16;
  std::chrono::milliseconds idleMs{2'000};
  std::size_t maxConnectionsPerServer = 0;
  std::size_t maxWaitingPerServer = 1024;
  std::chrono::milliseconds connectMs{1'000};
  std::chrono::milliseconds userTimeoutMs{3'000};
};

struct ConnectionLimit {
  std::size_t maximum = 0;
  std::chrono::milliseconds idleMs{2'000};
};

struct ServerCounters {
  std::uint64_t opened = 0;
  std::uint64_t reused = 0;
  std::size_t inUse = 0;
  std::size_t idle = 0;
  std::size_t waiting = 0;
};

struct ClientCounters {
  ServerCounters all;
  std::map<std::string, ServerCounters> servers;
};

class HttpClient {
 public:
  using Done = std::function<void(Exchange)>;
  HttpClient(Network& network, ClientBounds const& bounds);
  ~HttpClient();
  HttpClient(HttpClient const&) = delete;
  HttpClient& operator=(HttpClient const&) = delete;

  void begin(std::uint64_t attempt, Address const& server, Request request,
             std::chrono::steady_clock::time_point deadline, Done done);
  void cancel(std::uint64_t attempt);
  void allow(Address const& server, ConnectionLimit const& connectionLimit);
  ClientCounters counters() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace limeramp::net
