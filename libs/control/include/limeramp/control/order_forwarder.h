#pragma once

#include "limeramp/control/relay.h"
#include "limeramp/net/http.h"

#include <functional>
#include <memory>
#include <string>

/// Executes the effects of a Relay over HTTP.
namespace limeramp::control {

/// The caller of a request left before the request was answered.
struct RequestAbandoned {
  /// `net::Request::token` of the request.
  std::uint64_t requestToken = 0;
};

/// The result of one attempt, to be passed to `onFinished` on the forwarder's thread.
struct ForwardFinished {
  std::uint64_t ticket = 0;
  std::uint64_t attempt = 0;
  net::Exchange exchange;
};

/// Forwards operators' calls to the primary. Confined to one thread. `post` is called on the network thread with the
/// result of each attempt, and must bring it to the forwarder's thread.
class OrderForwarder {
 public:
  using Post = std::function<void(ForwardFinished)>;
  /// Ids of attempts in `client` count up from `firstAttempt`.
  OrderForwarder(net::HttpClient& client, std::string const& advertise, std::uint64_t firstAttempt, Post post);
  ~OrderForwarder();
  OrderForwarder(OrderForwarder const&) = delete;
  OrderForwarder& operator=(OrderForwarder const&) = delete;

  /// Forwards an order or a read that arrived at `arrivedAt`, from which its deadline counts. Answers a malformed call,
  /// and one that another node has forwarded already.
  void take(TimePoint now, TimePoint arrivedAt, net::Request content, net::Responder respond);
  void onFinished(TimePoint now, ForwardFinished& finished);
  /// The caller of the request with this token has left. An order that needs its caller is not sent again, and the
  /// connection of its attempt in flight is closed, which tells the primary.
  void onCallerLeft(TimePoint now, std::uint64_t requestToken);
  /// To be called periodically. `primaryAddress` is empty while no primary is known.
  void tick(TimePoint now, std::string const& primaryAddress);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeramp::control
