// Dispatches the HTTP calls under /limeramp: those of operators, of peers and of monitoring.
#include "control_server_impl.h"

#include "limeramp/control/operator_api.h"

#include <algorithm>

namespace limeramp::control {

void ControlServer::Impl::on(Incoming& inbound) {
  std::string const& target = inbound.content.target;
  std::string const& method = inbound.content.method;
  if (declineAbandoned(inbound.content, inbound.respond)) {
    return;
  }
  if (target == "/limeramp/inner" && method == "POST") {
    receivePeerMessage(inbound.content.body);
    inbound.respond({204, {}, ""});
  } else if (operatorCallOf(inbound.content) == OperatorCall::change) {
    changeConfiguration(inbound);
  } else if (operatorCallOf(inbound.content) == OperatorCall::removeNodes) {
    removeNodes(inbound);
  } else if (operatorCallOf(inbound.content) == OperatorCall::read) {
    readConfiguration(inbound);
  } else if (target == forceNewGroupPath && method == "POST") {
    forceNewGroup(inbound);
  } else if (target == "/limeramp/ready" && method == "GET") {
    inbound.respond(readinessPage());
  } else if (target == "/limeramp/status" && method == "GET") {
    inbound.respond(statusPage());
  } else if (target == "/limeramp/drain" && method == "POST") {
    DrainRequested drainRequested;
    on(drainRequested);
    inbound.respond(plain(200, "{\"draining\":true}"));
  } else {
    inbound.respond(plain(404, "{\"reason\":\"no such page\"}"));
  }
}

void ControlServer::Impl::on(RequestAbandoned const& inbound) {
  forwarder.onCallerLeft(Clock::now(), inbound.requestToken);
  if (forcingNewGroup && forcingNewGroup->callerToken == inbound.requestToken) {
    finishForcingNewGroup(callerLeftReason);
  }
  std::unordered_map<std::uint64_t, WaitingCall>::const_iterator const found =
      std::find_if(waitingCalls.begin(), waitingCalls.end(),
                   [&](auto const& entry) { return entry.second.callerToken == inbound.requestToken; });
  if (found != waitingCalls.end()) {
    stepService(CallerLeft{found->first});
  }
}

void ControlServer::Impl::readConfiguration(Incoming& inbound) {
  if (!service.active()) {
    relayCall(inbound);
    return;
  }
  std::variant<TimePoint, net::Answer> deadline = readDeadline(inbound.content, inbound.arrivedAt);
  if (net::Answer* const errorAnswer = std::get_if<net::Answer>(&deadline)) {
    inbound.respond(std::move(*errorAnswer));
    return;
  }
  std::uint64_t const ticket = ++lastTicket;
  waitingCalls.emplace(ticket, WaitingCall{std::move(inbound.respond), "", 0});
  stepService(Read{ticket, std::get<TimePoint>(deadline)});
}

void ControlServer::Impl::changeConfiguration(Incoming& inbound) {
  if (!service.active()) {
    relayCall(inbound);
    return;
  }
  std::variant<Change, net::Answer> read = readChange(inbound.content, inbound.arrivedAt);
  if (net::Answer* const errorAnswer = std::get_if<net::Answer>(&read)) {
    inbound.respond(std::move(*errorAnswer));
    return;
  }
  Change& change = std::get<Change>(read);
  change.ticket = ++lastTicket;
  std::uint64_t const callerToken = needsCaller(inbound.content) ? inbound.content.token : 0;
  waitingCalls.emplace(change.ticket, WaitingCall{std::move(inbound.respond), change.id, callerToken});
  stepService(change);
}

void ControlServer::Impl::removeNodes(Incoming& inbound) {
  std::variant<Change, net::Answer> read = readChange(inbound.content, inbound.arrivedAt);
  std::variant<std::vector<std::string>, net::Answer> nodes = readRemoveNodes(inbound.content.body);
  for (net::Answer* const errorAnswer : {std::get_if<net::Answer>(&read), std::get_if<net::Answer>(&nodes)}) {
    if (errorAnswer != nullptr) {
      inbound.respond(std::move(*errorAnswer));
      return;
    }
  }
  Change const& change = std::get<Change>(read);
  if (!service.active()) {
    relayCall(inbound);
    return;
  }
  std::uint64_t const ticket = ++lastTicket;
  waitingCalls.emplace(ticket, WaitingCall{std::move(inbound.respond), change.id, inbound.content.token});
  stepService(RemoveNodes{ticket, std::get<std::vector<std::string>>(nodes), change.deadline});
}

}  // namespace limeramp::control
