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

/// HTTP/1.1 on one thread (Boost.Beast and Asio). docs/exchanges.md says which answer belongs to which request, and
/// when a call may be sent again.
namespace limeramp::net {

/// Names are compared without case; order is kept.
using Headers = std::vector<std::pair<std::string, std::string>>;

/// The first value of that name.
std::optional<std::string> findHeader(Headers const& headers, std::string const& name);
/// Without the headers that concern one connection only.
Headers withoutHopByHop(Headers const& headers);
/// Removes all headers of that name.
void dropHeader(Headers& headers, std::string_view name);
/// For a part of a path.
std::string percentEncoded(std::string const& text);
/// A host in lower case without port.
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

/// A whole request. `peer`, `token` and `callerLeft` are set by the server: who sent it, what names it in
/// ServerOptions::gone among all requests of a Network, and whether nobody waits for its answer any more.
struct Request {
  std::string method;
  std::string target;
  Headers headers;
  std::string body;
  std::string peer;
  std::uint64_t token = 0;
  AnswerIdentity identity{};
  /// The caller had closed its side of the connection before the request was handed on. Certain only for requests that
  /// ServerOptions::watchesCaller names.
  bool callerLeft = false;
};

/// A whole answer.
struct Answer {
  int status = 200;
  Headers headers;
  std::string body;
  /// It has no length: nothing but the end of its connection shows that it is whole.
  bool endedByClose = false;
};

/// An IPv4 address and a port.
struct Address {
  std::string host;
  std::uint16_t port = 0;
  /// "IP:PORT", and back; nothing if it is malformed.
  std::string text() const;
  static std::optional<Address> parse(std::string const& text);
};

/// Answers a request. Called once, from any thread; further calls do nothing.
using Responder = std::function<void(Answer)>;

/// See Network.
struct RunOnCallerThread {};

/// The thread on which servers, clients and timers run. Without RunOnCallerThread it starts one of its own; with it,
/// whoever calls run() is that thread. It must outlive all servers and clients on it.
class Network {
 public:
  using TimerId = std::uint64_t;

  Network();
  explicit Network(RunOnCallerThread);
  ~Network();
  Network(Network const&) = delete;
  Network& operator=(Network const&) = delete;

  /// Runs `work` on the network's thread. From any thread; never runs it at once.
  void post(std::function<void()> work);
  /// Runs until stop().
  void run();
  void stop();
  /// Whether the caller is the network's thread.
  bool onThread() const;

  /// Timers run on the network's thread. Call these from that thread or before run().
  TimerId at(std::chrono::steady_clock::time_point when, std::function<void()> work);
  TimerId after(std::chrono::steady_clock::duration delay, std::function<void()> work);
  TimerId every(std::chrono::steady_clock::duration period, std::function<void()> work);
  /// The call is not wanted any more; `done` is not called.
  void cancel(TimerId timer);

  struct Impl;
  /// For the servers and clients on this network.
  std::shared_ptr<Impl> const& impl() { return impl_; }

 private:
  std::shared_ptr<Impl> impl_;
};

/// What a listener takes from its callers.
struct ServerBounds {
  std::size_t maxConnections = 2000;
  std::size_t maxHeaderBytes = 16 << 10;
  std::size_t maxBodyBytes = 1 << 20;
  std::chrono::milliseconds headerMs{10'000};
  std::chrono::milliseconds idleMs{30'000};
};

/// How a listener behaves.
struct ServerOptions {
  ServerOptions() = default;
  ServerOptions(ServerBounds const& boundsIn) : bounds(boundsIn) {}

  ServerBounds bounds;
  /// Writes the answer to what is malformed or beyond the bounds.
  std::function<Answer(int status, std::string const& reason)> refuse;
  /// Called when the caller of a request has gone before its answer, also for one that was handed on as `callerLeft`.
  std::function<void(std::uint64_t token)> gone;
  /// Names the requests before whose hand-over the server looks whether the caller is still there: one system call
  /// more. A process that was held up finds both a request and the end of its connection when it reads again.
  std::function<bool(Request const&)> watchesCaller;
  std::chrono::milliseconds userTimeoutMs{3'000};
  /// Connections are taken only after open(): the address is held, callers are refused meanwhile.
  bool opensLater = false;
};

/// A listener. Its handler is called on the network's thread with requests that were read whole.
class HttpServer {
 public:
  using Handler = std::function<void(Request, Responder)>;
  /// Takes the address. Null, with the reason in `error`, if that fails.
  static std::unique_ptr<HttpServer> listen(Network& network, Address const& address, ServerOptions options,
                                            Handler handler, std::string& error);
  ~HttpServer();
  HttpServer(HttpServer const&) = delete;
  HttpServer& operator=(HttpServer const&) = delete;
  Address address() const;
  void setBounds(ServerBounds const& bounds);
  void open();
  /// Every connection ends after its next answer.
  void drain();
  /// Takes no new connections.
  void stopAccepting();
  std::size_t connections() const;
  /// Connections with a request that is being read, is in hand, or has an answer that is not written yet. From any
  /// thread.
  std::size_t busyConnections() const;

 private:
  HttpServer();
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

/// What came of a call. Without an answer, `verdict` says whether the request may have run.
struct Exchange {
  std::optional<Answer> answer;
  retry::Verdict verdict = retry::Verdict::notRun;
  std::string reason;
  /// The connection was refused: nobody listens at that address.
  bool refused = false;
};

/// What a client spends on each server.
struct ClientBounds {
  std::size_t maxAnswerBytes = 4 << 20;
  std::size_t maxIdlePerServer = 16;
  std::chrono::milliseconds idleMs{2'000};
  std::size_t maxConnectionsPerServer = 0;
  std::size_t maxWaitingPerServer = 1024;
  std::chrono::milliseconds connectMs{1'000};
  std::chrono::milliseconds userTimeoutMs{3'000};
};

/// How many connections one server may have, and how long an idle one is kept. 0: as ClientBounds says.
struct ConnectionLimit {
  std::size_t maximum = 0;
  std::chrono::milliseconds idleMs{2'000};
};

/// Connections to one server.
struct ServerCounters {
  std::uint64_t opened = 0;
  std::uint64_t reused = 0;
  std::size_t inUse = 0;
  std::size_t idle = 0;
  std::size_t waiting = 0;
};

/// Connections to all servers, and to each that is known.
struct ClientCounters {
  ServerCounters all;
  std::map<std::string, ServerCounters> servers;
};

/// Calls servers over pooled connections. `done` is called once for each call, on the network's thread. A request is
/// sent once: whether it is sent again is for the caller to decide.
class HttpClient {
 public:
  using Done = std::function<void(Exchange)>;
  HttpClient(Network& network, ClientBounds const& bounds);
  ~HttpClient();
  HttpClient(HttpClient const&) = delete;
  HttpClient& operator=(HttpClient const&) = delete;

  /// From any thread. The call ends with an Exchange by its deadline.
  void begin(std::uint64_t attempt, Address const& server, Request request,
             std::chrono::steady_clock::time_point deadline, Done done);
  void cancel(std::uint64_t attempt);
  /// Changes the bounds for one server.
  void allow(Address const& server, ConnectionLimit const& connectionLimit);
  ClientCounters counters() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace limeramp::net
