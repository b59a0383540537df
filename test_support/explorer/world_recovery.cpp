#include "explorer/world.h"

/// The recovery schedule: rounds without faults, after which a leader must acknowledge a change.
namespace limeramp::explorer {
namespace {

/// How long a member that is shutting down waits for a successor before it is restarted.
constexpr Ms leaveGraceMs{3000};
constexpr std::size_t maxDeliveriesInRound = 400;

char const* kindOf(messages::Message const& message) {
  return std::visit([](auto const& concrete) { return std::decay_t<decltype(concrete)>::name; }, message);
}

}  // namespace

std::optional<std::size_t> World::leader() const {
  std::optional<std::size_t> best;
  for (std::size_t index = 0; index < members_.size(); ++index) {
    Member const& member = *members_[index];
    if (member.up && !member.shuttingDown && member.group.active() &&
        (!best || member.group.decided().epoch > members_[*best]->group.decided().epoch)) {
      best = index;
    }
  }
  return best;
}

void World::run(Round const& round) {
  now_ += round.time;
  for (std::size_t index = 0; index < nodes_.size(); ++index) {
    if (nodes_[index].up) {
      tickNode(index);
    }
  }
  for (std::size_t index = 0; index < members_.size(); ++index) {
    if (members_[index]->up && !round.frozen.contains(index)) {
      tick(index, round.time);
    }
  }
  std::size_t skipped = 0;
  for (std::size_t delivered = 0; skipped < packets_.size() && delivered < maxDeliveriesInRound; ++delivered) {
    std::optional<std::size_t> const to = indexAt(packets_[skipped]->toAddress);
    bool const reaches = !to || !round.frozen.contains(*to);
    if (!reaches || (round.delivers != nullptr && !round.delivers(*packets_[skipped]))) {
      ++skipped;
    } else {
      deliver(skipped);
    }
    for (std::size_t index = 0; index < members_.size(); ++index) {
      while (members_[index]->up && !members_[index]->unsynced.empty()) {
        syncOldest(index);
      }
    }
  }
}

std::string World::recover(Ms bound) {
  healLinks();
  setup_.heartbeats = true;
  setup_.maxPackets = maxDeliveriesInRound;
  std::size_t const before = history_->acknowledged.size();
  for (Ms passed{0}; passed < bound && violation().empty(); passed += Round{}.time) {
    for (std::size_t index = 0; index < members_.size(); ++index) {
      Member const& member = *members_[index];
      if (!member.up || (member.shuttingDown && (member.group.mayShutDown() || passed >= leaveGraceMs))) {
        crash(index, member.unsynced.size());
        start(index);
      }
    }
    for (std::size_t index = 0; index < nodes_.size(); ++index) {
      if (!nodes_[index].up) {
        startNode(index);
      }
    }
    run({});
    if (std::optional<std::size_t> const active = idleLeader()) {
      offer(*active, operatorCount);
      run({});
    }
    if (history_->acknowledged.size() > before && allServeNewest()) {
      return "";
    }
  }
  return violation().empty() ? "no leader acknowledges a change within " + std::to_string(bound.count()) +
                                   " ms after the last fault" + describeState()
                             : "";
}

std::string World::describeState() const {
  std::string out;
  for (std::shared_ptr<Member> const& member : members_) {
    messages::EpochRecord const& decided = member->group.decided();
    out += "\n  " + member->id + (member->up ? "" : " down") + (member->shuttingDown ? " retiring" : "") + " at " +
           member->address + ", epoch " + std::to_string(decided.epoch) + " fenced " +
           std::to_string(member->group.fenced()) + (member->group.active() ? " active" : "") + " primary " +
           decided.primary + " backups";
    for (std::string const& backup : decided.backups) {
      out += " " + backup;
    }
    out += " witnesses";
    for (std::string const& witness : decided.witnesses) {
      out += " " + witness;
    }
    out += " state " + std::to_string(member->group.state().epoch) + "." +
           std::to_string(member->group.state().sequence) + " '" + member->group.state().document + "'";
  }
  for (Node const& node : nodes_) {
    out += "\n  " + node.name + (node.up ? "" : " down") + " at " + node.address + ", version " + node.version.text();
  }
  return out;
}

std::string World::describe(Action const& action) const {
  std::string out = actionText(action) + "  ";
  if (action.kind == ActionKind::deliver || action.kind == ActionKind::duplicate || action.kind == ActionKind::drop) {
    Packet const& packet = *packets_[action.subject];
    std::optional<std::size_t> const to = indexAt(packet.toAddress);
    return out + kindOf(packet.message) + " from " + packet.from + " to " + (to ? nameOf(*to) : packet.toAddress);
  }
  return action.kind == ActionKind::heal ? out : out + nameOf(action.subject);
}

}  // namespace limeramp::explorer
