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

/// An HTTP/1.1 client and server that run on one thread (Boost.Beast and Asio). docs/exchanges.md describes how answers
/// are matched to requests and when a call may be sent again.
namespace limeramp::net {

/// Header names and values in the order received. Names are compared without regard to case.
using Headers = std::vector<std::pair<std::string, std::string>>;

/// Returns the value of the first header with this name.
std::optional<std::string> findHeader(Headers const& headers, std::string const& name);
/// Returns the headers without the hop-by-hop headers, including those that a Connection header lists.
Headers withoutHopByHop(Headers const& headers);
/// Removes every header with this name.
void dropHeader(Headers& headers, std::string_view name);
/// Percent-encodes one segment of a path.
std::string percentEncoded(std::string const& text);
/// Returns the host in lower case and without its port.
std::string plainHost(std::string_view host);

/// The headers by which the client matches an answer to its request. The names must outlive the request. An empty
/// `answerHeader` disables the check.
struct AnswerIdentity {
  /// Name of the request header that holds the request id.
  std::string_view requestHeader;
  /// Name of the answer header that repeats the id. The client rejects an answer with another id.
  std::string_view answerHeader;
  /// Whether the client also rejects an answer without that header.
  bool required = false;
};

/// A complete request. The server sets `peer` (address of the caller), `token` (unique among all requests of a Network;
/// passed to ServerOptions::gone) and `callerLeft`.
struct Request {
  std::string method;
  std::string target;
  Headers headers;
  std::string body;
  std::string peer;
  std::uint64_t token = 0;
  AnswerIdentity identity{};
  /// Whether the caller had closed its side of the connection before the handler was called. Reliable only for requests
  /// for which ServerOptions::watchesCaller returned true.
  bool callerLeft = false;
};

/// A complete answer.
struct Answer {
  int status = 200;
  Headers headers;
  std::string body;
  /// The answer carried no length: only the end of the connection marked its end, so a truncated body goes undetected.
  bool endedByClose = false;
};

/// An IPv4 address and a port.
struct Address {
  std::string host;
  std::uint16_t port = 0;
  /// Returns "IP:PORT".
  std::string text() const;
  /// Parses "IP:PORT". Returns nothing if the text is malformed.
  static std::optional<Address> parse(std::string const& text);
};

/// Sends the answer to one request. May be called from any thread; calls after the first have no effect.
using Responder = std::function<void(Answer)>;

/// Selects the constructor of Network that starts no thread.
struct RunOnCallerThread {};

/// The event loop of servers, clients and timers. By default it runs on a thread of its own; with RunOnCallerThread it
/// runs on the thread that calls run(). A Network must outlive all servers and clients that use it.
class Network {
 public:
  using TimerId = std::uint64_t;

  Network();
  explicit Network(RunOnCallerThread);
  ~Network();
  Network(Network const&) = delete;
  Network& operator=(Network const&) = delete;

  /// Queues `work` for the network's thread. May be called from any thread; never runs `work` before it returns.
  void post(std::function<void()> work);
  /// Runs the event loop until stop() is called.
  void run();
  void stop();
  /// Whether the calling thread is the network's thread.
  bool onThread() const;

  /// Timers call `work` on the network's thread. Set timers from that thread or before run().
  TimerId at(std::chrono::steady_clock::time_point when, std::function<void()> work);
  TimerId after(std::chrono::steady_clock::duration delay, std::function<void()> work);
  TimerId every(std::chrono::steady_clock::duration period, std::function<void()> work);
  /// Cancels a timer. From the network's thread, its work does not run again after this call.
  void cancel(TimerId timer);

  struct Impl;
  /// Internal: for the servers and clients on this network.
  std::shared_ptr<Impl> const& impl() { return impl_; }

 private:
  std::shared_ptr<Impl> impl_;
};

/// Limits of a listener on connections and requests.
struct ServerBounds {
  /// Further connections are closed as soon as they are accepted.
  std::size_t maxConnections = 2000;
  /// A request with a longer head is refused with status 431.
  std::size_t maxHeaderBytes = 16 << 10;
  /// A request with a longer body is refused with status 413.
  std::size_t maxBodyBytes = 1 << 20;
  /// Time from the first byte of a request to its last, body included. A slower request is refused with status 408.
  std::chrono::milliseconds headerMs{10'000};
  /// How long a connection may stay idle, and how long the rest of an answer that the socket did not take at once may
  /// take.
  std::chrono::milliseconds idleMs{30'000};
};

/// Options of a listener.
struct ServerOptions {
  ServerOptions() = default;
  ServerOptions(ServerBounds const& boundsIn) : bounds(boundsIn) {}

  ServerBounds bounds;
  /// Builds the answer to a request that is malformed or exceeds the bounds. Default: a JSON body with a verdict.
  std::function<Answer(int status, std::string const& reason)> refuse;
  /// Called on the network's thread when the caller closes its side before the request is answered, also for a request
  /// that reached the handler with `callerLeft` set.
  std::function<void(std::uint64_t token)> gone;
  /// Selects the requests for which the server checks, right before it calls the handler, whether the caller has closed
  /// its side. The check costs one system call. It is needed because a process that was suspended finds a request and
  /// the end of its connection at the same time.
  std::function<bool(Request const&)> watchesCaller;
  /// TCP_USER_TIMEOUT of the connections.
  std::chrono::milliseconds userTimeoutMs{3'000};
  /// Bind and listen at once, but accept connections only after HttpServer::open() was called. Default: false.
  bool opensLater = false;
};

/// A listener. It calls its handler on the network's thread, with complete requests only.
class HttpServer {
 public:
  using Handler = std::function<void(Request, Responder)>;
  /// Binds the address and listens. Returns null, with the reason in `error`, if that fails.
  static std::unique_ptr<HttpServer> listen(Network& network, Address const& address, ServerOptions options,
                                            Handler handler, std::string& error);
  ~HttpServer();
  HttpServer(HttpServer const&) = delete;
  HttpServer& operator=(HttpServer const&) = delete;
  Address address() const;
  void setBounds(ServerBounds const& bounds);
  void open();
  /// Closes every connection after its next answer. New connections are still accepted.
  void drain();
  /// Stops accepting connections and closes the idle ones. Requests in progress are still answered.
  void stopAccepting();
  std::size_t connections() const;
  /// Number of connections on which a request is being read or handled, or its answer being written. May be called from
  /// any thread.
  std::size_t busyConnections() const;

 private:
  HttpServer();
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

/// The outcome of a call. If there is no answer, `verdict` says whether the server may have run the request.
struct Exchange {
  std::optional<Answer> answer;
  retry::Verdict verdict = retry::Verdict::notRun;
  std::string reason;
  /// The connection was refused: no process listens at that address.
  bool refused = false;
};

/// Limits of a client for each server.
struct ClientBounds {
  /// An answer with a longer body fails the call.
  std::size_t maxAnswerBytes = 4 << 20;
  /// Beyond this number the connection that has been idle longest is closed.
  std::size_t maxIdlePerServer = 16;
  /// How long an idle connection is kept.
  std::chrono::milliseconds idleMs{2'000};
  /// 0: unlimited.
  std::size_t maxConnectionsPerServer = 0;
  /// Calls that may wait for a connection. Further calls fail at once with the verdict `notRun`.
  std::size_t maxWaitingPerServer = 1024;
  /// Time limit for establishing a connection.
  std::chrono::milliseconds connectMs{1'000};
  /// TCP_USER_TIMEOUT of the connections.
  std::chrono::milliseconds userTimeoutMs{3'000};
};

/// The maximum number of connections to one server (0: unlimited) and how long an idle connection is kept.
struct ConnectionLimit {
  std::size_t maximum = 0;
  std::chrono::milliseconds idleMs{2'000};
};

/// Counters of the connections to one server, and of the attempts that wait for one.
struct ServerCounters {
  std::uint64_t opened = 0;
  std::uint64_t reused = 0;
  std::size_t inUse = 0;
  std::size_t idle = 0;
  std::size_t waiting = 0;
};

/// Counters summed over all servers, and those of each server that has a pool, by address.
struct ClientCounters {
  ServerCounters all;
  std::map<std::string, ServerCounters> servers;
};

/// Calls servers over pooled connections. `done` is called once for each call, on the network's thread, and never from
/// within begin() or cancel(). The client sends each request at most once; retries are up to the caller.
class HttpClient {
 public:
  using Done = std::function<void(Exchange)>;
  HttpClient(Network& network, ClientBounds const& bounds);
  ~HttpClient();
  HttpClient(HttpClient const&) = delete;
  HttpClient& operator=(HttpClient const&) = delete;

  /// Starts a call. May be called from any thread. `done` receives an Exchange by the deadline at the latest.
  void begin(std::uint64_t attempt, Address const& server, Request request,
             std::chrono::steady_clock::time_point deadline, Done done);
  void cancel(std::uint64_t attempt);
  /// Sets the connection limit of one server.
  void allow(Address const& server, ConnectionLimit const& connectionLimit);
  ClientCounters counters() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace limeramp::net
