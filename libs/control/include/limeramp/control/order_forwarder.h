#pragma once

#include "limeramp/control/relay.h"
#include "limeramp/net/http.h"

#include <functional>
#include <memory>
#include <string>

/// Carries a Relay's effects out over HTTP.
namespace limeramp::control {

/// The caller of a request that a listener handed on has left before its answer.
struct RequestAbandoned {
  std::uint64_t requestToken = 0;
};

/// What came of one attempt, on its way back to the thread that owns the forwarder.
struct ForwardFinished {
  std::uint64_t ticket = 0;
  std::uint64_t attempt = 0;
  net::Exchange exchange;
};

/// Forwards operators' calls to the primary. Belongs to one thread; `post` brings results back to it and is called on
/// the network's thread.
class OrderForwarder {
 public:
  using Post = std::function<void(ForwardFinished)>;
  OrderForwarder(net::HttpClient& client, std::string const& advertise, std::uint64_t firstAttempt, Post post);
  ~OrderForwarder();
  OrderForwarder(OrderForwarder const&) = delete;
  OrderForwarder& operator=(OrderForwarder const&) = delete;

  /// Forwards an order or a read that came at `arrivedAt`; its deadline counts from then.
  void take(TimePoint now, TimePoint arrivedAt, net::Request content, net::Responder respond);
  void onFinished(TimePoint now, ForwardFinished& back);
  /// The caller of the request with this token has left: an order that needs its caller is not sent on any more, and
  /// the connection on which it is under way is closed, which tells the primary.
  void onCallerLeft(TimePoint now, std::uint64_t requestToken);
  void tick(TimePoint now, std::string const& primaryAddress);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeramp::control
