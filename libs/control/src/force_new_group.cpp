// Forces a new control group on an operator's order, from the configuration that a gateway still holds.
#include "control_server_impl.h"

#include "limeramp/control/operator_api.h"
#include "limeramp/logging/logging.h"

namespace limeramp::control {
namespace {

std::string json(std::string const& text) { return picojson::value(text).serialize(); }

/// How long the gateway has to send the configuration.
constexpr Ms fetchTimeoutMs{5'000};
/// Interval between requests for the configuration.
constexpr Ms fetchRetryMs{300};

}  // namespace

void ControlServer::Impl::forceNewGroup(Incoming& inbound) {
  std::variant<std::string, net::Answer> from = readForceNewGroup(inbound.content.body);
  if (net::Answer* const errorAnswer = std::get_if<net::Answer>(&from)) {
    inbound.respond(std::move(*errorAnswer));
    return;
  }
  if (forcingNewGroup) {
    inbound.respond(plain(409, "{\"outcome\":\"conflict\",\"reason\":\"a new group is already being forced\"}"));
    return;
  }
  Clock::time_point const now = Clock::now();
  forcingNewGroup = PendingForcedGroup{std::get<std::string>(from), std::move(inbound.respond), inbound.content.token,
                                       now + fetchTimeoutMs, now};
  continueForcingNewGroup(now);
}

void ControlServer::Impl::continueForcingNewGroup(Clock::time_point now) {
  if (forcingNewGroup && now >= forcingNewGroup->deadline) {
    finishForcingNewGroup("no configuration came from " + forcingNewGroup->sourceAddress);
  } else if (forcingNewGroup && now >= forcingNewGroup->nextRequestAt) {
    forcingNewGroup->nextRequestAt = now + fetchRetryMs;
    messages::StateRequest request;
    request.token = 1;
    request.self.address = settings.advertise;
    peerLink.send(group.decided().fleet, forcingNewGroup->sourceAddress, std::move(request));
  }
}

void ControlServer::Impl::finishForcingNewGroup(std::string const& refusal) {
  if (!forcingNewGroup) {
    return;
  }
  net::Responder const respond = std::move(forcingNewGroup->respond);
  forcingNewGroup.reset();
  if (!refusal.empty()) {
    respond(plain(409, "{\"outcome\":\"refused\",\"reason\":" + json(refusal) + "}"));
    return;
  }
  logging::raise(logging::Event::newGroupForced, {{"epoch", std::to_string(group.decided().epoch)}});
  respond(plain(200, "{\"outcome\":\"taken\",\"epoch\":" + std::to_string(group.decided().epoch) + ",\"state\":" +
                         json(config::Version{group.state().epoch, group.state().sequence}.text()) + "}"));
}

}  // namespace limeramp::control
