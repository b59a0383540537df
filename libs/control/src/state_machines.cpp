// Feeds the replication group and the configuration service, and carries their effects out.
#include "control_server_impl.h"

#include "limeramp/control/operator_api.h"
#include "limeramp/logging/logging.h"

namespace limeramp::control {
namespace {

/// Nodes hold no receipts: those of this replica's own state are the best that is left after a total loss.
messages::State withReceipts(messages::State state, messages::State const& own) {
  state.receipts = own.receipts;
  state.forgottenEpoch = own.forgottenEpoch;
  state.forgottenSequence = own.forgottenSequence;
  state.forgottenRevision = own.forgottenRevision;
  return state;
}

constexpr std::uint64_t probeAttempts = 1ULL << 61;
constexpr Ms probeWaitMs{500};

}  // namespace

void ControlServer::Impl::stepGroup(replication::GroupEvent const& event) {
  for (replication::GroupEffect const& effect : group.step(Clock::now(), event)) {
    if (replication::Send const* const outgoing = std::get_if<replication::Send>(&effect)) {
      peerLink.send(group.decided().fleet, outgoing->address, outgoing->message);
    } else if (replication::Persist const* const persist = std::get_if<replication::Persist>(&effect)) {
      this->persist(*persist);
    } else if (replication::LogEntry const* const recordReport = std::get_if<replication::LogEntry>(&effect)) {
      logging::raise(recordReport->event, {{"about", recordReport->about}});
    } else if (replication::Committed const* const committed = std::get_if<replication::Committed>(&effect)) {
      stepService(*committed);
    } else if (replication::OutcomeUnknown const* const outcomeUnknown =
                   std::get_if<replication::OutcomeUnknown>(&effect)) {
      stepService(*outcomeUnknown);
    } else if (replication::BecamePrimary const* const active = std::get_if<replication::BecamePrimary>(&effect)) {
      stepService(*active);
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
    } else if (OrderOutcome const* const decided = std::get_if<OrderOutcome>(&effect)) {
      apply(*decided);
    } else if (ConfigurationRead const* const back = std::get_if<ConfigurationRead>(&effect)) {
      reply(back->ticket, answerOf(*back));
    } else if (EvaluateOrder const* const evaluated = std::get_if<EvaluateOrder>(&effect)) {
      evaluations.evaluate(*evaluated);
    } else if (Probe const* const wanted = std::get_if<Probe>(&effect)) {
      probe(*wanted);
    } else if (distribution::Outgoing const* const outgoing = std::get_if<distribution::Outgoing>(&effect)) {
      peerLink.send(group.decided().fleet, outgoing->address, outgoing->message);
    } else if (replication::LogEntry const* const recordReport = std::get_if<replication::LogEntry>(&effect)) {
      logging::raise(recordReport->event, {{"about", recordReport->about}});
    }
  }
}

void ControlServer::Impl::persist(replication::Persist const& effect) {
  diskWriter.write({effect.token, effect.puts, effect.rewrite});
}

void ControlServer::Impl::apply(OrderOutcome const& decided) {
  std::unordered_map<std::uint64_t, WaitingCall>::iterator const found = waitingCalls.find(decided.ticket);
  if (found == waitingCalls.end()) {
    return;
  }
  std::string const change = found->second.change;
  if (decided.verdict == OrderStatus::refused || decided.verdict == OrderStatus::conflict) {
    logging::raise(logging::Event::configurationRefused, {{"change", change}});
  }
  reply(decided.ticket, answerOf(decided, change));
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
  client.begin(probeAttempts + token, net::Address::parse(effect.address).value_or(net::Address{}), std::move(request),
               Clock::now() + probeWaitMs, [this, token, node](net::Exchange const& exchange) {
                 inboundMessages.push(ProbeFinished{token, provesGone(exchange, node)});
               });
}

void ControlServer::Impl::receivePeerMessage(std::string const& body) {
  std::string const& fleet = group.decided().fleet;
  std::optional<messages::PeerMessage> received = node::PeerLink::open(fleet, body);
  if (!received) {
    return;
  }
  fleetElsewhere = fleetElsewhere || (fleet.empty() && !received->fleet.empty());
  Clock::time_point const now = Clock::now();
  if (messages::Shuffle const* const shuffle = std::get_if<messages::Shuffle>(&received->message)) {
    peerLink.sendAll(group.decided().fleet, views.onMessage(now, received->from, received->address, *shuffle));
  } else if (messages::StateRequest const* const poll = std::get_if<messages::StateRequest>(&received->message)) {
    stepService(StateRequestReceived{received->address, *poll});
  } else if (messages::StateResponse const* const response = std::get_if<messages::StateResponse>(&received->message)) {
    if (forcingNewGroup && received->address == forcingNewGroup->from && response->state && !received->fleet.empty()) {
      stepGroup(replication::ForceNewGroup{received->fleet, withReceipts(*response->state, group.state())});
    }
  } else {
    stepGroup(replication::MessageReceived{received->from, received->address, std::move(received->message)});
  }
}

}  // namespace limeramp::control
