#include "limeramp/control/order_forwarder.h"

#include "limeramp/control/operator_api.h"

#include <algorithm>
#include <unordered_map>

namespace limeramp::control {
namespace {

using Ms = std::chrono::milliseconds;

/// Marks a forwarded call. A node that is not the primary answers it instead of forwarding it again.
constexpr char const* relayedHeader = "limeramp-relayed";

/// A call from its arrival to its answer.
struct ForwardedCall {
  net::Request content;
  /// The id of the order; empty for a read.
  std::string changeId;
  net::Responder respond;
  bool isRead = false;
  /// Token of a request that must not outlive its caller (`needsCaller`); 0 for all others.
  std::uint64_t callerToken = 0;
};

RelayOutcome outcomeOfRead(net::Answer const& answer) {
  bool const isDocument = answer.status == 200 && net::findHeader(answer.headers, versionHeader).has_value();
  return isDocument ? RelayOutcome::final : RelayOutcome::mayHaveRun;
}

RelayOutcome outcomeOfChange(net::Answer const& answer, std::string const& change) {
  std::optional<std::string> const decidedId = decidedChange(answer);
  if (answer.status == 503 && decidedId.value_or(change) == change) {
    return RelayOutcome::notRun;
  }
  return decidedId == change ? RelayOutcome::final : RelayOutcome::mayHaveRun;
}

RelayOutcome outcomeOf(net::Exchange const& exchange, ForwardedCall const& call) {
  if (!exchange.answer || exchange.answer->endedByClose) {
    return exchange.verdict == retry::Verdict::notRun ? RelayOutcome::notRun : RelayOutcome::mayHaveRun;
  }
  net::Answer const& answer = *exchange.answer;
  if (answer.status == 504) {
    return RelayOutcome::mayHaveRun;
  }
  if (call.isRead) {
    return answer.status == 503 ? RelayOutcome::notRun : outcomeOfRead(answer);
  }
  return outcomeOfChange(answer, call.changeId);
}

}  // namespace

struct OrderForwarder::Impl {
  Impl(net::HttpClient& clientIn, std::string const& advertiseIn, std::uint64_t firstAttempt, Post postIn)
      : client(clientIn), advertise(advertiseIn), post(std::move(postIn)), relay({}, firstAttempt) {}

  net::HttpClient& client;
  std::string advertise;
  Post post;
  Relay relay;
  std::string primary;
  std::uint64_t lastTicket = 0;
  std::unordered_map<std::uint64_t, ForwardedCall> calls;

  void finish(std::uint64_t ticket, net::Answer answer) {
    std::unordered_map<std::uint64_t, ForwardedCall>::iterator const found = calls.find(ticket);
    found->second.respond(std::move(answer));
    calls.erase(found);
  }

  void stepRelay(TimePoint now, RelayEvent const& event, net::Exchange const* exchange = nullptr) {
    for (RelayEffect const& effect : relay.step(now, event)) {
      if (RelaySend const* const send = std::get_if<RelaySend>(&effect)) {
        sendAttempt(now, *send);
      } else if (RelayCancel const* const cancel = std::get_if<RelayCancel>(&effect)) {
        client.cancel(cancel->attempt);
      } else if (RelayDone const* const done = std::get_if<RelayDone>(&effect)) {
        finish(done->ticket, relayAnswer(*exchange, calls.at(done->ticket).changeId));
      } else if (OrderOutcome const* const failed = std::get_if<OrderOutcome>(&effect)) {
        OrderOutcome outcome = *failed;
        outcome.verdict = calls.at(outcome.ticket).isRead ? OrderStatus::notRun : outcome.verdict;
        finish(outcome.ticket, answerOf(outcome, calls.at(outcome.ticket).changeId));
      }
    }
  }

  void sendAttempt(TimePoint now, RelaySend const& send) {
    net::Request request = calls.at(send.ticket).content;
    long const remainingMs = std::chrono::duration_cast<Ms>(send.deadline - now).count();
    request.headers.emplace_back(deadlineHeader, std::to_string(std::max<long>(1, remainingMs)));
    std::uint64_t const ticket = send.ticket;
    std::uint64_t const attempt = send.attempt;
    client.begin(attempt, net::Address::parse(send.address).value_or(net::Address{}), std::move(request), send.deadline,
                 [report = post, ticket, attempt](net::Exchange exchange) {
                   report({ticket, attempt, std::move(exchange)});
                 });
  }
};

OrderForwarder::OrderForwarder(net::HttpClient& client, std::string const& advertise, std::uint64_t firstAttempt,
                               Post post)
    : impl_(std::make_unique<Impl>(client, advertise, firstAttempt, std::move(post))) {}

OrderForwarder::~OrderForwarder() = default;

void OrderForwarder::take(TimePoint now, TimePoint arrivedAt, net::Request content, net::Responder respond) {
  bool const isRead = operatorCallOf(content) == OperatorCall::read;
  std::variant<Change, net::Answer> change = isRead ? Change{} : readChange(content, arrivedAt);
  std::variant<TimePoint, net::Answer> deadline = readDeadline(content, arrivedAt);
  std::variant<std::vector<std::string>, net::Answer> nodes;
  if (operatorCallOf(content) == OperatorCall::removeNodes) {
    nodes = readRemoveNodes(content.body);
  }
  for (net::Answer* const errorAnswer :
       {std::get_if<net::Answer>(&change), std::get_if<net::Answer>(&deadline), std::get_if<net::Answer>(&nodes)}) {
    if (errorAnswer != nullptr) {
      respond(std::move(*errorAnswer));
      return;
    }
  }
  std::string const& id = std::get<Change>(change).id;
  if (net::findHeader(content.headers, relayedHeader)) {
    respond(answerOf(OrderOutcome{0, OrderStatus::notRun, {}, {}, "this node is not the primary"}, id));
    return;
  }
  content.headers = net::withoutHopByHop(content.headers);
  for (char const* const name : {changeHeader, deadlineHeader, "host"}) {
    net::dropHeader(content.headers, name);
  }
  if (!isRead) {
    content.headers.emplace_back(changeHeader, id);
    content.identity = {changeHeader, changeHeader, false};
  }
  content.headers.emplace_back(relayedHeader, "1");
  content.headers.emplace_back("limeramp-from", impl_->advertise);
  std::uint64_t const ticket = ++impl_->lastTicket;
  std::uint64_t const callerToken = needsCaller(content) ? content.token : 0;
  impl_->calls.emplace(ticket, ForwardedCall{std::move(content), id, std::move(respond), isRead, callerToken});
  impl_->stepRelay(now, RelayRequested{ticket, std::get<TimePoint>(deadline)});
}

void OrderForwarder::onFinished(TimePoint now, ForwardFinished& finished) {
  std::unordered_map<std::uint64_t, ForwardedCall>::const_iterator const call = impl_->calls.find(finished.ticket);
  if (call != impl_->calls.end()) {
    RelayOutcome const outcome = outcomeOf(finished.exchange, call->second);
    impl_->stepRelay(now, RelayAttemptFinished{finished.ticket, finished.attempt, outcome}, &finished.exchange);
  }
}

void OrderForwarder::onCallerLeft(TimePoint now, std::uint64_t requestToken) {
  std::unordered_map<std::uint64_t, ForwardedCall>::const_iterator const found =
      std::find_if(impl_->calls.begin(), impl_->calls.end(),
                   [&](auto const& entry) { return requestToken != 0 && entry.second.callerToken == requestToken; });
  if (found != impl_->calls.end()) {
    impl_->stepRelay(now, CallerLeft{found->first});
  }
}

void OrderForwarder::tick(TimePoint now, std::string const& primaryAddress) {
  if (primaryAddress != impl_->primary) {
    impl_->primary = primaryAddress;
    impl_->stepRelay(now, RelayPrimary{primaryAddress});
  }
  impl_->stepRelay(now, Tick{});
}

}  // namespace limeramp::control
