#include "explorer/world.h"

#include <algorithm>

namespace limeramp::explorer {
namespace {

/// Longer than every time-out of a group with two backups.
constexpr Ms jumpMs{2100};
/// The longest heartbeat interval: a member sends a heartbeat to every other member at each tick.
constexpr Ms tickMs{400};

bool spend(std::size_t& budget) {
  if (budget == 0) {
    return false;
  }
  --budget;
  return true;
}

}  // namespace

World::World(Setup const& setup, Budget const& budget)
    : setup_(setup), budget_(budget), history_(std::make_shared<History>()) {
  for (std::size_t index = 0; index < setup.members; ++index) {
    std::shared_ptr<Member> const member = std::make_shared<Member>();
    member->id = std::string(1, static_cast<char>('a' + index));
    member->address = "10.0.0." + std::to_string(index + 1) + ":1";
    member->zone = "z" + std::to_string(index % 4);
    if (index < 3) {
      founders_.push_back(member->address);
    }
    members_.push_back(member);
  }
  for (std::size_t index = 0; index < setup.nodes; ++index) {
    Node node;
    node.name = "n" + std::to_string(index);
    node.address = "10.0.2." + std::to_string(index + 1) + ":1";
    node.zone = "z" + std::to_string(index % 3);
    nodes_.push_back(std::move(node));
  }
  for (std::size_t index = 0; index < setup.members; ++index) {
    start(index);
  }
  for (std::size_t index = 0; index < setup.nodes; ++index) {
    startNode(index);
  }
}

Member& World::mutableMember(std::size_t index) {
  if (members_[index].use_count() > 1) {
    members_[index] = std::make_shared<Member>(*members_[index]);
  }
  members_[index]->digest.reset();
  if (hasOneClock()) {
    members_[index]->clock = now_;
  }
  return *members_[index];
}

History& World::mutableHistory() {
  if (history_.use_count() > 1) {
    history_ = std::make_shared<History>(*history_);
  }
  return *history_;
}

std::optional<std::size_t> World::indexAt(std::string const& address) const {
  for (std::size_t index = 0; index < members_.size(); ++index) {
    if (members_[index]->address == address) {
      return index;
    }
  }
  for (std::size_t index = 0; index < nodes_.size(); ++index) {
    if (nodes_[index].address == address) {
      return members_.size() + index;
    }
  }
  return std::nullopt;
}

bool World::isUp(std::size_t participant) const {
  return participant < members_.size() ? members_[participant]->up : nodes_[participant - members_.size()].up;
}

std::string const& World::addressOf(std::size_t participant) const {
  return participant < members_.size() ? members_[participant]->address : nodes_[participant - members_.size()].address;
}

std::string const& World::nameOf(std::size_t participant) const {
  return participant < members_.size() ? members_[participant]->id : nodes_[participant - members_.size()].name;
}

bool World::enabled(Action const& action) const {
  if (action.kind == ActionKind::deliver || action.kind == ActionKind::duplicate || action.kind == ActionKind::drop) {
    if (action.subject >= packets_.size()) {
      return false;
    }
    std::optional<std::size_t> const to = indexAt(packets_[action.subject]->toAddress);
    bool const reaches = to && isUp(*to);
    return action.kind == ActionKind::deliver     ? reaches
           : action.kind == ActionKind::duplicate ? reaches && budget_.duplicates > 0
                                                  : budget_.drops > 0;
  }
  if (action.kind == ActionKind::heal) {
    return !cuts_.empty();
  }
  std::size_t const participants = members_.size() + nodes_.size();
  if (action.subject >= participants) {
    return false;
  }
  if (action.kind == ActionKind::cut) {
    return budget_.cuts > 0 && action.detail < participants && action.detail != action.subject &&
           !cuts_.contains({action.subject, action.detail});
  }
  if (action.subject >= members_.size()) {
    return enabledAtNode(action);
  }
  Member const& member = *members_[action.subject];
  switch (action.kind) {
    case ActionKind::sync:
      return member.up && !member.unsynced.empty();
    case ActionKind::failWrite:
      return member.up && !member.unsynced.empty() && budget_.writeFailures > 0;
    case ActionKind::tick:
      return member.up && budget_.ticks > 0;
    case ActionKind::jump:
      return member.up && budget_.jumps > 0;
    case ActionKind::crash:
      return member.up && budget_.crashes > 0 && action.detail <= member.unsynced.size();
    case ActionKind::restart:
      return !member.up || (member.shuttingDown && member.group.mayShutDown());
    case ActionKind::wipe:
      return budget_.wipes > 0;
    case ActionKind::replace:
      return budget_.replacements > 0;
    case ActionKind::beginShutdown:
      return member.up && !member.shuttingDown && budget_.shutdowns > 0;
    case ActionKind::offer:
      return budget_.offers > 0 && mayCall(action.subject, action.detail);
    case ActionKind::read:
      return member.up && budget_.reads > 0 && member.configService && member.configService->active();
    default:
      return false;
  }
}

std::vector<Action> World::actions() const {
  std::vector<Action> out;
  std::vector<std::uint64_t> seen;
  for (std::size_t index = 0; index < packets_.size(); ++index) {
    std::uint64_t const digest = packets_[index]->digest;
    if (std::find(seen.begin(), seen.end(), digest) != seen.end()) {
      continue;
    }
    seen.push_back(digest);
    for (ActionKind const kind : {ActionKind::deliver, ActionKind::duplicate, ActionKind::drop}) {
      out.push_back({kind, static_cast<std::uint8_t>(index), 0});
    }
  }
  for (std::size_t index = 0; index < members_.size(); ++index) {
    std::uint8_t const subject = static_cast<std::uint8_t>(index);
    for (std::size_t caller = 0; caller < operatorCount; ++caller) {
      out.push_back({ActionKind::offer, subject, static_cast<std::uint8_t>(caller)});
    }
    for (ActionKind const kind :
         {ActionKind::sync, ActionKind::read, ActionKind::tick, ActionKind::jump, ActionKind::restart,
          ActionKind::beginShutdown, ActionKind::wipe, ActionKind::replace}) {
      out.push_back({kind, subject, 0});
    }
    for (std::uint8_t const onDisk : {0, 1}) {
      out.push_back({ActionKind::failWrite, subject, onDisk});
    }
    for (std::size_t kept = 0; kept <= members_[index]->unsynced.size(); ++kept) {
      out.push_back({ActionKind::crash, subject, static_cast<std::uint8_t>(kept)});
    }
  }
  for (std::size_t from = 0; from < members_.size() + nodes_.size(); ++from) {
    for (std::size_t to = 0; to < members_.size() + nodes_.size(); ++to) {
      out.push_back({ActionKind::cut, static_cast<std::uint8_t>(from), static_cast<std::uint8_t>(to)});
    }
  }
  for (std::size_t node = 0; node < nodes_.size(); ++node) {
    for (ActionKind const kind :
         {ActionKind::tick, ActionKind::crash, ActionKind::restart, ActionKind::beginShutdown}) {
      out.push_back({kind, static_cast<std::uint8_t>(members_.size() + node), 0});
    }
  }
  out.push_back({ActionKind::heal, 0, 0});
  std::erase_if(out, [this](Action const& action) { return !enabled(action); });
  return out;
}

void World::apply(Action const& action) {
  std::size_t const index = action.subject;
  bool const isOfPacket = action.kind == ActionKind::deliver || action.kind == ActionKind::duplicate ||
                          action.kind == ActionKind::drop || action.kind == ActionKind::cut;
  if (!isOfPacket && index >= members_.size()) {
    applyAtNode(action);
    return;
  }
  switch (action.kind) {
    case ActionKind::deliver:
      deliver(index);
      return;
    case ActionKind::duplicate:
      spend(budget_.duplicates);
      packets_.push_back(packets_[index]);
      deliver(index);
      return;
    case ActionKind::drop:
      spend(budget_.drops);
      packets_.erase(packets_.begin() + static_cast<std::ptrdiff_t>(index));
      return;
    case ActionKind::sync:
      syncOldest(index);
      return;
    case ActionKind::failWrite:
      spend(budget_.writeFailures);
      failOldest(index, action.detail != 0);
      return;
    case ActionKind::tick:
      spend(budget_.ticks);
      now_ += hasOneClock() ? sharedTickMs : Ms(0);
      tick(index, tickMs);
      return;
    case ActionKind::jump:
      spend(budget_.jumps);
      now_ += jumpMs;
      mutableMember(index).clock += hasOneClock() ? Ms(0) : jumpMs;
      return;
    case ActionKind::crash:
      spend(budget_.crashes);
      crash(index, action.detail);
      return;
    case ActionKind::restart:
      crash(index, members_[index]->unsynced.size());
      start(index);
      return;
    case ActionKind::wipe:
      spend(budget_.wipes);
      wipe(index, false);
      return;
    case ActionKind::replace:
      spend(budget_.replacements);
      wipe(index, true);
      return;
    case ActionKind::cut:
      spend(budget_.cuts);
      cutLink(index, action.detail);
      return;
    case ActionKind::heal:
      healLinks();
      return;
    case ActionKind::beginShutdown:
      spend(budget_.shutdowns);
      mutableMember(index).shuttingDown = true;
      driveConfigService(index, control::BeginShutdown{});
      step(index, replication::BeginShutdown{});
      return;
    case ActionKind::offer:
      spend(budget_.offers);
      offer(index, action.detail);
      return;
    case ActionKind::read:
      spend(budget_.reads);
      read(index);
      return;
  }
}

}  // namespace limeramp::explorer
