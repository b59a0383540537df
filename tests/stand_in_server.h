#pragma once

#include "raw_socket.h"

#include <fcntl.h>
#include <poll.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace limeramp {

/// What a stand-in server does with a connection after its last byte was sent.
enum class Ending { stays, closes, resets };

/// How a stand-in server reacts to one request. It depends on the request only, not on time.
struct Reaction {
  /// The bytes sent as the answer; a prefix of it if the answer is truncated.
  std::string bytes;
  Ending ending = Ending::stays;
  /// A surplus answer that is sent before the answer to the next request on this connection.
  std::string beforeNext;
  /// Whether the request runs. A declined request is read but not run.
  bool runs = true;
  /// Whether the answer is sent as soon as the head of the request was read.
  bool answersAtHead = false;
  /// Whether the caller must not reuse this connection.
  bool spoils = false;
  /// The connection is reset after this many bytes of the request, before the request is complete.
  std::optional<std::size_t> resetsAt;
  /// Called when the complete request was read.
  std::function<void()> whenRead;
};

/// One request as a stand-in server received it.
struct SeenRequest {
  std::string target;
  std::string head;

  std::string header(std::string const& name) const {
    std::size_t const at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos) {
      return {};
    }
    std::size_t const begin = at + name.size() + 4;
    return head.substr(begin, head.find("\r\n", begin) - begin);
  }
};

/// A server on the loopback that sends exactly the bytes that its script returns. One thread serves all its
/// connections.
class StandInServer {
 public:
  using Script = std::function<Reaction(SeenRequest const&)>;

  /// @param idHeader name of the header that holds the id of a request
  StandInServer(std::string idHeader, Script script) : idHeader_(std::move(idHeader)), script_(std::move(script)) {
    if (::pipe2(wake_, O_CLOEXEC) != 0) {
      std::abort();
    }
    thread_ = std::thread([this] { run(); });
  }
  StandInServer(StandInServer const&) = delete;
  StandInServer& operator=(StandInServer const&) = delete;
  ~StandInServer() { stop(); }

  void stop() {
    if (thread_.joinable()) {
      char const byte = 0;
      if (::write(wake_[1], &byte, 1) != 1) {
        std::abort();
      }
      thread_.join();
      ::close(wake_[0]);
      ::close(wake_[1]);
    }
  }

  net::Address address() const { return listener_.address(); }

  /// How often each request was read completely, whether it ran or not, by id.
  std::map<std::string, int> read() const { return copyOf(read_); }
  /// How often each request ran, by id.
  std::map<std::string, int> ran() const { return copyOf(ran_); }
  /// Number of requests received on a connection that the caller must not reuse.
  std::size_t onSpoiltConnections() const { return onSpoilt_; }
  std::size_t connections() const { return connections_; }

 private:
  struct Connection {
    explicit Connection(int descriptorIn) : descriptor(descriptorIn), socket(descriptorIn) {}
    int descriptor;
    RawSocket socket;
    std::string input;
    std::optional<Reaction> reaction;
    std::string id;
    std::size_t headBytes = 0;
    std::size_t wholeBytes = 0;
    std::string beforeNext;
    bool spoilt = false;
    bool answered = false;
    bool closed = false;
  };

  std::map<std::string, int> copyOf(std::map<std::string, int> const& counts) const {
    std::unique_lock<std::mutex> const lock(mutex_);
    return counts;
  }

  void run() {
    for (;;) {
      std::vector<pollfd> waits{{wake_[0], POLLIN, 0}, {listener_.descriptor(), POLLIN, 0}};
      std::vector<Connection*> order;
      for (Connection& connection : open_) {
        waits.push_back({connection.descriptor, POLLIN, 0});
        order.push_back(&connection);
      }
      if (::poll(waits.data(), waits.size(), -1) < 0) {
        continue;
      }
      if (waits[0].revents != 0) {
        return;
      }
      if (waits[1].revents != 0) {
        open_.emplace_back(::accept(listener_.descriptor(), nullptr, nullptr));
        ++connections_;
      }
      for (std::size_t index = 0; index < order.size(); ++index) {
        if (waits[index + 2].revents != 0) {
          receive(*order[index]);
        }
      }
      open_.remove_if([](Connection const& connection) { return connection.closed; });
    }
  }

  void receive(Connection& connection) {
    std::array<char, 65536> bytes{};
    ssize_t const got = ::recv(connection.descriptor, bytes.data(), bytes.size(), 0);
    if (got <= 0) {
      connection.socket.close();
      connection.closed = true;
      return;
    }
    if (connection.input.empty()) {
      onSpoilt_ += connection.spoilt ? 1 : 0;
      if (!connection.beforeNext.empty()) {
        connection.socket.send(std::exchange(connection.beforeNext, {}));
        connection.spoilt = true;
      }
    }
    connection.input.append(bytes.data(), static_cast<std::size_t>(got));
    while (!connection.closed && advance(connection)) {
    }
  }

  bool advance(Connection& connection) {
    if (!connection.reaction && !readHead(connection)) {
      return false;
    }
    Reaction& reaction = *connection.reaction;
    if (reaction.resetsAt && connection.input.size() >= *reaction.resetsAt) {
      connection.socket.reset();
      connection.closed = true;
      return false;
    }
    if (reaction.answersAtHead && !std::exchange(connection.answered, true)) {
      connection.socket.send(reaction.bytes);
    }
    if (connection.input.size() < connection.wholeBytes) {
      return false;
    }
    connection.input.erase(0, connection.wholeBytes);
    finish(connection, *std::exchange(connection.reaction, std::nullopt));
    return !connection.input.empty();
  }

  bool readHead(Connection& connection) {
    std::size_t const end = connection.input.find("\r\n\r\n");
    if (end == std::string::npos) {
      return false;
    }
    SeenRequest seen;
    seen.head = connection.input.substr(0, end + 4);
    std::size_t const space = seen.head.find(' ');
    seen.target = seen.head.substr(space + 1, seen.head.find(' ', space + 1) - space - 1);
    connection.id = seen.header(idHeader_);
    connection.headBytes = seen.head.size();
    connection.wholeBytes = seen.head.size() + std::strtoul(seen.header("Content-Length").c_str(), nullptr, 10);
    connection.answered = false;
    connection.reaction = script_(seen);
    return true;
  }

  void finish(Connection& connection, Reaction const& reaction) {
    {
      std::unique_lock<std::mutex> const lock(mutex_);
      ++read_[connection.id];
      ran_[connection.id] += reaction.runs ? 1 : 0;
    }
    if (reaction.whenRead) {
      reaction.whenRead();
    }
    if (!connection.answered) {
      connection.socket.send(reaction.bytes);
    }
    connection.beforeNext = reaction.beforeNext;
    connection.spoilt = connection.spoilt || reaction.spoils;
    if (reaction.ending == Ending::stays) {
      return;
    }
    if (reaction.ending == Ending::resets) {
      connection.socket.reset();
    }
    connection.socket.close();
    connection.closed = true;
  }

  std::string idHeader_;
  Script script_;
  RawListener listener_;
  int wake_[2] = {-1, -1};
  std::list<Connection> open_;
  mutable std::mutex mutex_;
  std::map<std::string, int> read_;
  std::map<std::string, int> ran_;
  std::atomic<std::size_t> onSpoilt_{0};
  std::atomic<std::size_t> connections_{0};
  std::thread thread_;
};

}  // namespace limeramp
