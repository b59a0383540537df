#include "simulator/operator_simulation.h"

#include <algorithm>

namespace limeramp::simulator {
namespace {

constexpr Ms tickMs{20};
constexpr Ms refusedConnectionMs{2};

Reply replyOf(control::OrderStatus verdict) {
  switch (verdict) {
    case control::OrderStatus::taken:
      return Reply::taken;
    case control::OrderStatus::refused:
      return Reply::refused;
    case control::OrderStatus::conflict:
      return Reply::conflict;
    case control::OrderStatus::notRun:
      return Reply::notRun;
    case control::OrderStatus::unknown:
      return Reply::unknown;
  }
  return Reply::unknown;
}

bool isDefinite(Reply reply) { return reply == Reply::taken || reply == Reply::refused || reply == Reply::conflict; }

control::RelayOutcome outcomeOf(Reply reply) {
  if (isDefinite(reply)) {
    return control::RelayOutcome::final;
  }
  return reply == Reply::notRun ? control::RelayOutcome::notRun : control::RelayOutcome::mayHaveRun;
}

}  // namespace

OperatorSimulation::OperatorSimulation(FleetSimulation& fleet) : fleet_(fleet) {
  fleet_.onDecided = [this](control::OrderOutcome const& answer) { decided(answer); };
  fleet_.onPublished = [this](messages::State const& state) {
    for (std::pair<std::string const, control::Change> const& order : orders_) {
      if (!order.second.zone && order.second.body == state.document) {
        published_.insert(order.first);
      }
    }
  };
  tick();
}

std::size_t OperatorSimulation::call(OperatorCall const& wanted, Ms wait) {
  std::size_t const place = calls.size();
  TimePoint const now = fleet_.network.now();
  orders_.emplace(wanted.order.id, wanted.order);
  calls.push_back({wanted.order.id, wanted.machine, now});
  fleet_.network.after(delay(), [this, place, wanted, wait] {
    if (!fleet_.machines[wanted.machine].up) {
      fleet_.network.after(refusedConnectionMs, [this, place] { finish(place, Reply::notRun); });
      return;
    }
    atMachine(wanted.machine, [this, place, wanted, wait] { arrive(place, wanted, fleet_.network.now() + wait); });
  });
  fleet_.network.after(wait + Ms(100), [this, place] { finish(place, Reply::none); });
  return place;
}

Reply OperatorSimulation::await(std::size_t call) {
  while (!calls[call].reply) {
    fleet_.run(Ms(10));
  }
  return *calls[call].reply;
}

Reply OperatorSimulation::retryUntilDecided(control::Change const& order, Ms within) {
  TimePoint const end = fleet_.network.now() + within;
  Reply reply = Reply::none;
  for (std::size_t turn = 0; fleet_.network.now() < end && !isDefinite(reply); ++turn) {
    reply = await(call({turn % fleet_.machines.size(), order}, Ms(900)));
    fleet_.run(Ms(50));
  }
  return reply;
}

void OperatorSimulation::atMachine(std::size_t machine, std::function<void()> work) {
  if (fleet_.machines[machine].frozen) {
    fleet_.machines[machine].deferredWork.push_back(std::move(work));
  } else {
    work();
  }
}

void OperatorSimulation::arrive(std::size_t call, OperatorCall const& wanted, TimePoint deadline) {
  Machine const& machine = fleet_.machines[wanted.machine];
  if (machine.controller && machine.controller->configService->active()) {
    control::Change order = wanted.order;
    order.deadline = deadline;
    ReplyRoute route;
    route.call = call;
    route.answerLost = wanted.answerLost;
    carryOut(wanted.machine, order, route);
  } else {
    forward(wanted.machine, call, wanted, deadline);
  }
}

void OperatorSimulation::carryOut(std::size_t machine, control::Change order, ReplyRoute const& route) {
  order.ticket = fleet_.nextTicket();
  routes_.emplace(order.ticket, route).first->second.primary = machine;
  fleet_.submit(machine, order);
}

OperatorSimulation::Forwarder& OperatorSimulation::forwarderOf(std::size_t machine) {
  Forwarder& forwarder = forwarders_[machine];
  if (!forwarder.relay || forwarder.incarnation != fleet_.machines[machine].incarnation) {
    forwarder = {};
    forwarder.incarnation = fleet_.machines[machine].incarnation;
    forwarder.relay.emplace(control::RelayOptions{}, 0);
  }
  return forwarder;
}

std::string OperatorSimulation::primaryAddress(std::size_t machine) const {
  Machine const& here = fleet_.machines[machine];
  if (here.gateway) {
    return here.gateway->delivery->primaryAddress();
  }
  return here.controller->group->decided().epoch == 0 ? "" : here.controller->group->primaryAddress();
}

void OperatorSimulation::forward(std::size_t machine, std::size_t call, OperatorCall const& wanted,
                                 TimePoint deadline) {
  Forwarder& forwarder = forwarderOf(machine);
  std::uint64_t const ticket = fleet_.nextTicket();
  forwarder.calls.emplace(ticket, call);
  forwarder.orders.emplace(ticket, wanted);
  driveRelay(machine, control::RelayPrimary{primaryAddress(machine)});
  driveRelay(machine, control::RelayRequested{ticket, deadline});
}

void OperatorSimulation::driveRelay(std::size_t machine, control::RelayEvent const& event, std::optional<Reply> reply) {
  Forwarder& forwarder = forwarderOf(machine);
  std::function<void(std::uint64_t, Reply)> const answer = [&](std::uint64_t ticket, Reply said) {
    std::size_t const call = forwarder.calls.at(ticket);
    if (!forwarder.orders.at(ticket).answerLost) {
      fleet_.network.after(delay(), [this, call, said] { finish(call, said); });
    }
  };
  for (control::RelayEffect const& effect : forwarder.relay->step(fleet_.network.now(), event)) {
    if (control::RelaySend const* const wanted = std::get_if<control::RelaySend>(&effect)) {
      send(machine, *wanted);
    } else if (control::RelayDone const* const done = std::get_if<control::RelayDone>(&effect)) {
      answer(done->ticket, reply.value());
    } else if (control::OrderOutcome const* const decided = std::get_if<control::OrderOutcome>(&effect)) {
      answer(decided->ticket, replyOf(decided->verdict));
    }
  }
}

void OperatorSimulation::send(std::size_t machine, control::RelaySend const& wanted) {
  control::Change order = forwarderOf(machine).orders.at(wanted.ticket).order;
  ReplyRoute const route{
      0, machine, fleet_.machines[machine].incarnation, wanted.ticket, wanted.attempt, std::nullopt, false};
  Ms const left = std::chrono::duration_cast<Ms>(wanted.deadline - fleet_.network.now());
  for (std::size_t to = 0; to < fleet_.machines.size(); ++to) {
    if (fleet_.machines[to].address() != wanted.address || fleet_.isCut(machine, to)) {
      continue;
    }
    fleet_.network.after(delay(), [this, to, order, route, left] {
      if (!fleet_.machines[to].up) {
        sendReply(route, Reply::notRun, to);
        return;
      }
      atMachine(to, [this, to, order, route, left]() mutable {
        if (fleet_.machines[to].controller && fleet_.machines[to].controller->configService->active()) {
          order.deadline = fleet_.network.now() + left;
          carryOut(to, order, route);
        } else {
          sendReply(route, Reply::notRun, to);
        }
      });
    });
  }
}

void OperatorSimulation::sendReply(ReplyRoute const& route, Reply reply, std::size_t answering) {
  if (fleet_.isCut(answering, route.from)) {
    return;
  }
  fleet_.network.after(delay(), [this, route, reply] {
    if (!fleet_.machines[route.from].up || fleet_.machines[route.from].incarnation != route.fromIncarnation) {
      return;
    }
    atMachine(route.from, [this, route, reply] {
      driveRelay(route.from, control::RelayAttemptFinished{route.relayTicket, route.attempt, outcomeOf(reply)}, reply);
    });
  });
}

void OperatorSimulation::decided(control::OrderOutcome const& decided) {
  std::map<std::uint64_t, ReplyRoute>::iterator const found = routes_.find(decided.ticket);
  if (found == routes_.end()) {
    return;
  }
  ReplyRoute const route = found->second;
  routes_.erase(found);
  Reply const reply = replyOf(decided.verdict);
  if (!route.call) {
    sendReply(route, reply, route.primary);
  } else if (!route.answerLost) {
    fleet_.network.after(delay(), [this, call = *route.call, reply] { finish(call, reply); });
  }
}

void OperatorSimulation::finish(std::size_t call, Reply reply) {
  CallRecord& made = calls[call];
  if (!made.reply) {
    made.reply = reply;
    made.repliedAt = fleet_.network.now();
  }
}

void OperatorSimulation::tick() {
  for (std::size_t machine = 0; machine < fleet_.machines.size(); ++machine) {
    Machine const& here = fleet_.machines[machine];
    if (here.up && !here.frozen && forwarders_.contains(machine)) {
      driveRelay(machine, control::RelayPrimary{primaryAddress(machine)});
      driveRelay(machine, control::Tick{});
    }
  }
  fleet_.network.after(tickMs, [this] { tick(); });
}

std::vector<std::string> OperatorSimulation::checkInvariants() const {
  std::vector<std::string> out;
  std::set<std::string> acknowledged;
  std::set<std::string> refused;
  for (CallRecord const& made : calls) {
    if (made.reply == Reply::taken) {
      acknowledged.insert(made.order);
    } else if (made.reply == Reply::refused || made.reply == Reply::conflict) {
      refused.insert(made.order);
    }
  }
  for (std::string const& order : acknowledged) {
    if (!orders_.at(order).zone && !published_.contains(order)) {
      out.push_back(order + " was acknowledged, and never in force");
    }
  }
  for (std::string const& order : refused) {
    if (acknowledged.contains(order)) {
      out.push_back(order + " was acknowledged in one answer and refused in another");
    }
    if (published_.contains(order)) {
      out.push_back(order + " was refused, and was in force");
    }
  }
  std::map<std::uint64_t, std::string> winners;
  for (std::string const& order : acknowledged) {
    control::Change const& change = orders_.at(order);
    if (!change.baseRevision) {
      continue;
    }
    std::pair<std::map<std::uint64_t, std::string>::iterator, bool> const added =
        winners.emplace(*change.baseRevision, order);
    if (!added.second) {
      out.push_back(order + " and " + added.first->second + " were both acknowledged on revision " +
                    std::to_string(*change.baseRevision));
    }
  }
  return out;
}

}  // namespace limeramp::simulator
