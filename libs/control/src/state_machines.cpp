// Steps the replication group and the configuration service, and executes their effects.
#include "control_server_impl.h"

#include "limeramp/control/operator_api.h"
#include "limeramp/logging/logging.h"

namespace limeramp::control {
namespace {

/// Nodes hold no receipts. After the loss of all replicas, those in this replica's own state are the best copy left.
messages::State withReceipts(messages::State state, messages::State const& own) {
  state.receipts = own.receipts;
  state.forgottenEpoch = own.forgottenEpoch;
  state.forgottenSequence = own.forgottenSequence;
  state.forgottenRevision = own.forgottenRevision;
  return state;
}

/// Offset of the probes' attempt ids, which keeps them apart from the forwarder's in the shared HTTP client.
constexpr std::uint64_t firstProbeAttempt = 1ULL << 61;
constexpr Ms probeTimeoutMs{500};

}  // namespace

void ControlServer::Impl::stepGroup(replication::GroupEvent const& event) {
  for (replication::GroupEffect const& effect : group.step(Clock::now(), event)) {
    if (replication::Send const* const outgoing = std::get_if<replication::Send>(&effect)) {
      peerLink.send(group.decided().fleet, outgoing->address, outgoing->message);
    } else if (replication::Persist const* const persist = std::get_if<replication::Persist>(&effect)) {
      this->persist(*persist);
    } else if (replication::LogEntry const* const logEntry = std::get_if<replication::LogEntry>(&effect)) {
      logging::raise(logEntry->event, {{"about", logEntry->about}});
    } else if (replication::Committed const* const committed = std::get_if<replication::Committed>(&effect)) {
      stepService(*committed);
    } else if (replication::OutcomeUnknown const* const outcomeUnknown =
                   std::get_if<replication::OutcomeUnknown>(&effect)) {
      stepService(*outcomeUnknown);
    } else if (replication::BecamePrimary const* const becamePrimary =
                   std::get_if<replication::BecamePrimary>(&effect)) {
      stepService(*becamePrimary);
    } else if (std::holds_alternative<replication::SteppedDown>(effect)) {
      stepService(replication::SteppedDown{});
    } else if (replication::NewGroupForced const* const newGroupForced =
                   std::get_if<replication::NewGroupForced>(&effect)) {
      finishForcingNewGroup(newGroupForced->refusal);
    }
  }
}

void ControlServer::Impl::stepService(ConfigServiceEvent const& event) {
  for (ConfigServiceEffect const& effect : service.step(Clock::now(), group, event)) {
    if (replication::Proposal const* const proposal = std::get_if<replication::Proposal>(&effect)) {
      stepGroup(*proposal);
    } else if (OrderOutcome const* const outcome = std::get_if<OrderOutcome>(&effect)) {
      answerOrder(*outcome);
    } else if (ConfigurationRead const* const read = std::get_if<ConfigurationRead>(&effect)) {
      reply(read->ticket, answerOf(*read));
    } else if (EvaluateOrder const* const order = std::get_if<EvaluateOrder>(&effect)) {
      evaluationThread.evaluate(*order);
    } else if (Probe const* const probeRequest = std::get_if<Probe>(&effect)) {
      probe(*probeRequest);
    } else if (distribution::Outgoing const* const outgoing = std::get_if<distribution::Outgoing>(&effect)) {
      peerLink.send(group.decided().fleet, outgoing->address, outgoing->message);
    } else if (replication::LogEntry const* const logEntry = std::get_if<replication::LogEntry>(&effect)) {
      logging::raise(logEntry->event, {{"about", logEntry->about}});
    }
  }
}

void ControlServer::Impl::persist(replication::Persist const& effect) {
  diskWriter.write({effect.token, effect.puts, effect.rewrite});
}

void ControlServer::Impl::answerOrder(OrderOutcome const& outcome) {
  std::unordered_map<std::uint64_t, WaitingCall>::iterator const found = waitingCalls.find(outcome.ticket);
  if (found == waitingCalls.end()) {
    return;
  }
  std::string const changeId = found->second.changeId;
  if (outcome.verdict == OrderStatus::refused || outcome.verdict == OrderStatus::conflict) {
    logging::raise(logging::Event::configurationRefused, {{"change", changeId}});
  }
  reply(outcome.ticket, answerOf(outcome, changeId));
}

void ControlServer::Impl::reply(std::uint64_t ticket, net::Answer answer) {
  std::unordered_map<std::uint64_t, WaitingCall>::iterator const found = waitingCalls.find(ticket);
  if (found != waitingCalls.end()) {
    found->second.respond(std::move(answer));
    waitingCalls.erase(found);
  }
}

void ControlServer::Impl::probe(Probe const& effect) {
  std::uint64_t const token = effect.token;
  std::string const node = effect.node;
  net::Request request;
  request.method = "GET";
  request.target = "/limeramp/ready";
  client.begin(firstProbeAttempt + token, net::Address::parse(effect.address).value_or(net::Address{}),
               std::move(request), Clock::now() + probeTimeoutMs, [this, token, node](net::Exchange const& exchange) {
                 inboundMessages.push(ProbeFinished{token, provesGone(exchange, node)});
               });
}

void ControlServer::Impl::receivePeerMessage(std::string const& body) {
  std::string const& fleet = group.decided().fleet;
  std::optional<messages::PeerMessage> received = node::PeerLink::open(fleet, body);
  if (!received) {
    return;
  }
  foreignFleetSeen = foreignFleetSeen || (fleet.empty() && !received->fleet.empty());
  Clock::time_point const now = Clock::now();
  if (messages::Shuffle const* const shuffle = std::get_if<messages::Shuffle>(&received->message)) {
    peerLink.sendAll(group.decided().fleet, views.onMessage(now, received->from, received->address, *shuffle));
  } else if (messages::StateRequest const* const stateRequest =
                 std::get_if<messages::StateRequest>(&received->message)) {
    stepService(StateRequestReceived{received->address, *stateRequest});
  } else if (messages::StateResponse const* const response = std::get_if<messages::StateResponse>(&received->message)) {
    if (forcingNewGroup && received->address == forcingNewGroup->sourceAddress && response->state &&
        !received->fleet.empty()) {
      stepGroup(replication::ForceNewGroup{received->fleet, withReceipts(*response->state, group.state())});
    }
  } else {
    stepGroup(replication::MessageReceived{received->from, received->address, std::move(received->message)});
  }
}

}  // namespace limeramp::control
