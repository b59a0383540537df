#include "explorer/world.h"

#include "limeramp/messages/state_digest.h"

#include <algorithm>
#include <array>

namespace limeramp::explorer {
namespace {

/// One tick takes the longest interval between heartbeats: a member greets everybody at each.
constexpr Ms tickMs{400};
/// A freeze outlasts every time-out of a group of two backups at once.
constexpr Ms jumpMs{2100};
/// How long a member that was told to end waits for its successor.
constexpr Ms leaveGraceMs{3000};
constexpr std::size_t mostDeliveriesInRound = 400;
constexpr Ms callMs{3000};
/// The operator who asks for a change while the group recovers.
constexpr std::size_t lastOperator = 2;

std::uint64_t digestOf(Packet const& packet) {
  messages::StateDigest digest({}, Ms(0));
  digest.add(packet.from);
  digest.add(packet.fromAddress);
  digest.add(packet.toAddress);
  digest.add(packet.message);
  return digest.finish();
}

std::uint64_t digestOf(Member const& member) {
  messages::StateDigest digest(member.clock, Ms(5000));
  digest.add(member.id);
  digest.add(member.address);
  digest.add(member.up);
  digest.add(member.mayFound);
  digest.add(member.retiring);
  digest.add(member.life);
  digest.add(member.disk);
  for (PendingWrite const& write : member.unsynced) {
    digest.add(write.puts);
  }
  digest.add(member.up ? member.group.digest(member.clock) : 0);
  digest.add(member.plane ? member.plane->digest(member.clock) : 0);
  for (AcknowledgedMark const& mark : member.acknowledgedMarks) {
    digest.add(mark.at);
    digest.add(mark.size);
  }
  return digest.finish();
}

/// A language of changes alone: a patch is appended, the revision is the number of changes.
config::Language appendingLanguage() {
  config::Language language;
  language.check = [](std::string const& document) {
    config::Checked checked;
    checked.configuration.emplace();
    checked.configuration->revision = changesOf(document).size();
    return checked;
  };
  language.merge = [](std::string const& document, std::string const& patch) -> absl::StatusOr<std::string> {
    return document + patch;
  };
  return language;
}

char const* nameOf(messages::Message const& message) {
  return std::visit([](auto const& concrete) { return std::decay_t<decltype(concrete)>::name; }, message);
}

bool spend(std::size_t& budget) {
  if (budget == 0) {
    return false;
  }
  --budget;
  return true;
}

}  // namespace

std::shared_ptr<Member> MemberPool::intern(std::shared_ptr<Member> member) {
  std::weak_ptr<Member>& known = members_[*member->digest];
  if (std::shared_ptr<Member> same = known.lock()) {
    return same;
  }
  known = member;
  prune();
  return member;
}

void MemberPool::prune() {
  if (members_.size() < pruneAt_) {
    return;
  }
  std::erase_if(members_, [](std::pair<std::uint64_t const, std::weak_ptr<Member>> const& entry) {
    return entry.second.expired();
  });
  pruneAt_ = std::max<std::size_t>(1 << 16, members_.size() * 2);
}

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
  for (std::size_t index = 0; index < setup.members; ++index) {
    start(index);
  }
}

Member& World::change(std::size_t index) {
  if (members_[index].use_count() > 1) {
    members_[index] = std::make_shared<Member>(*members_[index]);
  }
  members_[index]->digest.reset();
  return *members_[index];
}

History& World::changeHistory() {
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
  return std::nullopt;
}

bool World::enabled(Action const& action) const {
  if (action.kind == ActionKind::deliver || action.kind == ActionKind::duplicate || action.kind == ActionKind::drop) {
    if (action.subject >= packets_.size()) {
      return false;
    }
    std::optional<std::size_t> const to = indexAt(packets_[action.subject]->toAddress);
    bool const reaches = to && members_[*to]->up;
    return action.kind == ActionKind::deliver     ? reaches
           : action.kind == ActionKind::duplicate ? reaches && budget_.duplicates > 0
                                                  : budget_.drops > 0;
  }
  if (action.kind == ActionKind::heal) {
    return !cuts_.empty();
  }
  if (action.subject >= members_.size()) {
    return false;
  }
  Member const& member = *members_[action.subject];
  switch (action.kind) {
    case ActionKind::sync:
      return member.up && !member.unsynced.empty();
    case ActionKind::tick:
      return member.up && budget_.ticks > 0;
    case ActionKind::jump:
      return member.up && budget_.jumps > 0;
    case ActionKind::crash:
      return member.up && budget_.crashes > 0 && action.detail <= member.unsynced.size();
    case ActionKind::restart:
      return !member.up || (member.retiring && member.group.retired());
    case ActionKind::wipe:
      return budget_.wipes > 0;
    case ActionKind::replace:
      return budget_.replacements > 0;
    case ActionKind::cut:
      return budget_.cuts > 0 && action.detail < members_.size() && action.detail != action.subject &&
             !cuts_.contains({action.subject, action.detail});
    case ActionKind::retire:
      return member.up && !member.retiring && budget_.retirements > 0;
    case ActionKind::offer:
      return budget_.offers > 0 && mayCall(action.subject, action.detail);
    case ActionKind::read:
      return member.up && budget_.reads > 0 && member.plane && member.plane->active();
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
    for (std::size_t caller = 0; caller < lastOperator; ++caller) {
      out.push_back({ActionKind::offer, subject, static_cast<std::uint8_t>(caller)});
    }
    for (ActionKind const kind : {ActionKind::sync, ActionKind::read, ActionKind::tick, ActionKind::jump,
                                  ActionKind::restart, ActionKind::retire, ActionKind::wipe, ActionKind::replace}) {
      out.push_back({kind, subject, 0});
    }
    for (std::size_t kept = 0; kept <= members_[index]->unsynced.size(); ++kept) {
      out.push_back({ActionKind::crash, subject, static_cast<std::uint8_t>(kept)});
    }
    for (std::size_t to = 0; to < members_.size(); ++to) {
      out.push_back({ActionKind::cut, subject, static_cast<std::uint8_t>(to)});
    }
  }
  out.push_back({ActionKind::heal, 0, 0});
  std::erase_if(out, [this](Action const& action) { return !enabled(action); });
  return out;
}

void World::apply(Action const& action) {
  std::size_t const index = action.subject;
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
    case ActionKind::tick:
      spend(budget_.ticks);
      tick(index, tickMs);
      return;
    case ActionKind::jump:
      spend(budget_.jumps);
      change(index).clock += jumpMs;
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
    case ActionKind::retire:
      spend(budget_.retirements);
      change(index).retiring = true;
      drivePlane(index, control::Retire{});
      step(index, replication::Retire{});
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

void World::start(std::size_t index) {
  Member& member = change(index);
  ++member.life;
  member.up = true;
  member.retiring = false;
  member.group = replication::ReplicationGroup(replication::policyFor(setup_.machineLosses));
  if (setup_.services) {
    control::Policy policy;
    policy.mostReceipts = setup_.mostReceipts;
    member.plane.emplace(policy, member.id, appendingLanguage());
  }
  member.acknowledgedMarks = {{member.clock, history_->acknowledged.size()}};
  step(index, replication::Start{
                  {member.id, member.address, member.zone}, member.disk, 1000 * member.life + index, false, founders_});
}

void World::crash(std::size_t index, std::size_t writesKept) {
  Member& member = change(index);
  for (std::size_t write = 0; write < std::min(writesKept, member.unsynced.size()); ++write) {
    for (std::pair<std::string, std::string> const& put : member.unsynced[write].puts) {
      member.disk[put.first] = put.second;
    }
  }
  member.unsynced.clear();
  member.up = false;
  member.group = replication::ReplicationGroup(replication::Policy{});
  member.plane.reset();
}

void World::wipe(std::size_t index, bool atNewAddress) {
  crash(index, 0);
  Member& member = change(index);
  member.disk.clear();
  member.mayFound = false;
  ++renamed_;
  member.id = std::string(1, member.id.front()) + std::to_string(renamed_);
  if (atNewAddress) {
    member.address = "10.0.1." + std::to_string(renamed_) + ":1";
  }
}

void World::syncOldest(std::size_t index) {
  Member& member = change(index);
  PendingWrite const write = std::move(member.unsynced.front());
  member.unsynced.erase(member.unsynced.begin());
  for (std::pair<std::string, std::string> const& put : write.puts) {
    member.disk[put.first] = put.second;
  }
  step(index, replication::Persisted{write.token, true});
}

void World::tick(std::size_t index, Ms time) {
  Member& member = change(index);
  member.clock += time;
  replication::KnownMembers known;
  known.mayFound = member.mayFound;
  for (std::shared_ptr<Member> const& other : members_) {
    known.members.push_back({other->id, other->address, other->zone});
  }
  step(index, known);
  step(index, replication::Tick{});
  drivePlane(index, control::Tick{});
}

void World::deliver(std::size_t packet) {
  std::shared_ptr<Packet const> const taken = packets_[packet];
  packets_.erase(packets_.begin() + static_cast<std::ptrdiff_t>(packet));
  if (std::optional<std::size_t> const to = indexAt(taken->toAddress); to && members_[*to]->up) {
    step(*to, replication::Received{taken->from, taken->fromAddress, taken->message});
  }
}

void World::step(std::size_t index, replication::Event const& event) {
  Member& member = change(index);
  for (replication::Effect const& effect : member.group.step(member.clock, event)) {
    carry(index, effect);
  }
  Member const& after = *members_[index];
  messages::EpochRecord const& decided = after.group.decided();
  std::map<std::uint64_t, messages::EpochRecord>::const_iterator const known = history_->records.find(decided.epoch);
  if (decided.epoch > 0 && (known == history_->records.end() || !(known->second == decided))) {
    changeHistory().onDecided(after.id, decided);
  }
  checkReads(index);
  while (setup_.syncsAtOnce && !members_[index]->unsynced.empty()) {
    syncOldest(index);
  }
}

void World::checkReads(std::size_t index) {
  Member const& member = *members_[index];
  std::optional<TimePoint> const confirmedAt = member.group.leadershipConfirmedAt();
  if (!confirmedAt || !member.group.active()) {
    return;
  }
  std::string const& document = member.group.state().document;
  for (AcknowledgedMark const& mark : member.acknowledgedMarks) {
    if (mark.at < *confirmedAt && !document.starts_with(history_->acknowledged.substr(0, mark.size))) {
      changeHistory().fail(member.id + " may answer a read with '" + document + "' after '" +
                           history_->acknowledged.substr(0, mark.size) + "' was acknowledged");
    }
  }
}

void World::checkVote(std::size_t index, messages::Message const& message) {
  Member const& member = *members_[index];
  if (messages::Promise const* const promise = std::get_if<messages::Promise>(&message); promise && promise->granted) {
    changeHistory().onVote(member.id, member.mayFound, promise->nextEpoch);
  }
  if (messages::Accepted const* const accepted = std::get_if<messages::Accepted>(&message);
      accepted && accepted->granted) {
    changeHistory().onVote(member.id, member.mayFound, accepted->nextEpoch);
  }
}

void World::carry(std::size_t index, replication::Effect const& effect) {
  if (replication::Send const* const message = std::get_if<replication::Send>(&effect)) {
    checkVote(index, message->message);
    send(index, *message);
  } else if (replication::Persist const* const persist = std::get_if<replication::Persist>(&effect)) {
    change(index).unsynced.push_back({persist->token, persist->puts});
  } else if (replication::Committed const* const committed = std::get_if<replication::Committed>(&effect)) {
    changeHistory().onCommitted(members_[index]->id, committed->state);
    for (std::size_t other = 0; other < members_.size(); ++other) {
      Member& member = change(other);
      member.acknowledgedMarks.push_back({member.clock, history_->acknowledged.size()});
    }
    drivePlane(index, *committed);
  } else if (replication::Active const* const active = std::get_if<replication::Active>(&effect)) {
    changeHistory().onActive(members_[index]->id, active->epoch, active->state.document);
    drivePlane(index, *active);
  } else if (std::holds_alternative<replication::Inactive>(effect)) {
    drivePlane(index, replication::Inactive{});
  } else if (replication::Doubtful const* const doubtful = std::get_if<replication::Doubtful>(&effect)) {
    drivePlane(index, *doubtful);
  }
}

void World::send(std::size_t index, replication::Send const& send) {
  std::optional<std::size_t> const to = indexAt(send.address);
  bool const heartbeat = std::holds_alternative<messages::Heartbeat>(send.message);
  if (!to || cuts_.contains({index, *to}) || (heartbeat && !setup_.heartbeats)) {
    return;
  }
  std::shared_ptr<Packet> const packet =
      std::make_shared<Packet>(Packet{members_[index]->id, members_[index]->address, send.address, send.message, 0});
  packet->digest = digestOf(*packet);
  if (heartbeat) {
    std::erase_if(packets_, [&](std::shared_ptr<Packet const> const& other) {
      return other->from == packet->from && other->toAddress == packet->toAddress &&
             std::holds_alternative<messages::Heartbeat>(other->message);
    });
  }
  packets_.push_back(packet);
  if (packets_.size() > setup_.mostPackets) {
    packets_.erase(packets_.begin());
  }
}

void World::offer(std::size_t index, std::size_t operatorNumber) {
  if (setup_.services) {
    call(index, operatorNumber);
    return;
  }
  messages::State state = members_[index]->group.state();
  std::uint64_t const ticket = ++lastTicket_;
  state.document += std::to_string(ticket) + ",";
  propose(index, {ticket, std::move(state)});
}

void World::propose(std::size_t index, replication::Offer offer) {
  bool const retiring = members_[index]->retiring;
  std::string const before = members_[index]->group.state().document;
  step(index, std::move(offer));
  if (retiring && members_[index]->group.state().document != before) {
    changeHistory().fail(members_[index]->id + " is told to end and takes a new change");
  }
}

bool World::mayCall(std::size_t index, std::size_t operatorNumber) const {
  Member const& member = *members_[index];
  if (!setup_.services) {
    return operatorNumber == 0 && member.up && member.group.active() && !member.group.busy();
  }
  bool const inTurn = operatorNumber == 0 || !operators_[operatorNumber].open.empty() ||
                      operators_[operatorNumber].started < operators_[operatorNumber - 1].started;
  return operatorNumber < lastOperator && inTurn && member.up && member.plane && member.plane->active();
}

void World::call(std::size_t index, std::size_t operatorNumber) {
  Operator& caller = operators_[operatorNumber];
  std::map<std::string, OrderOutcome>::const_iterator const open = history_->orders.find(caller.open);
  if (open == history_->orders.end() || open->second.refused || open->second.takenAs) {
    caller.open = std::string(1, static_cast<char>('A' + operatorNumber)) + std::to_string(++caller.started);
    messages::State const& seen = members_[index]->plane->published();
    caller.baseRevision = seen.revision;
    caller.base = {seen.configurationEpoch, seen.configurationSequence};
  }
  Member& member = change(index);
  member.clock += std::chrono::microseconds(1);
  control::Change order;
  order.ticket = ++lastTicket_;
  order.id = caller.open;
  order.patch = true;
  order.body = caller.open + ",";
  if (operatorNumber == 1) {
    order.base = caller.base;
  } else {
    order.baseRevision = caller.baseRevision;
  }
  order.deadline = member.clock + callMs;
  changeHistory().onCall(order.ticket, order.id, caller.baseRevision);
  drivePlane(index, order);
}

void World::read(std::size_t index) {
  Member& member = change(index);
  member.clock += std::chrono::microseconds(1);
  std::uint64_t const ticket = ++lastTicket_;
  changeHistory().onRead(ticket);
  drivePlane(index, control::Read{ticket, member.clock + callMs});
}

void World::drivePlane(std::size_t index, control::Event const& event) {
  if (!members_[index]->plane) {
    return;
  }
  Member& member = change(index);
  std::vector<control::Effect> const effects = member.plane->step(member.clock, member.group, event);
  for (control::Effect const& effect : effects) {
    if (replication::Offer const* const offer = std::get_if<replication::Offer>(&effect)) {
      propose(index, *offer);
    } else if (control::Decided const* const decided = std::get_if<control::Decided>(&effect)) {
      changeHistory().onAnswer(members_[index]->id, *decided, members_[index]->plane->published());
    } else if (control::ReadBack const* const readBack = std::get_if<control::ReadBack>(&effect)) {
      changeHistory().onReadBack(members_[index]->id, members_[index]->group.decided().epoch, *readBack);
    }
  }
}

std::optional<std::size_t> World::idleLeader() const {
  std::optional<std::size_t> const index = leader();
  if (!index) {
    return std::nullopt;
  }
  Member const& member = *members_[*index];
  bool const idle = !member.group.busy() && (!member.plane || (member.plane->active() && member.plane->pending() == 0));
  return idle ? index : std::nullopt;
}

std::optional<std::size_t> World::leader() const {
  std::optional<std::size_t> best;
  for (std::size_t index = 0; index < members_.size(); ++index) {
    Member const& member = *members_[index];
    if (member.up && !member.retiring && member.group.active() &&
        (!best || member.group.decided().epoch > members_[*best]->group.decided().epoch)) {
      best = index;
    }
  }
  return best;
}

void World::run(Round const& round) {
  for (std::size_t index = 0; index < members_.size(); ++index) {
    if (members_[index]->up && !round.frozen.contains(index)) {
      tick(index, round.time);
    }
  }
  std::size_t skipped = 0;
  for (std::size_t delivered = 0; skipped < packets_.size() && delivered < mostDeliveriesInRound; ++delivered) {
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
  setup_.mostPackets = mostDeliveriesInRound;
  std::size_t const before = history_->acknowledged.size();
  for (Ms passed{0}; passed < bound && violation().empty(); passed += Round{}.time) {
    for (std::size_t index = 0; index < members_.size(); ++index) {
      Member const& member = *members_[index];
      if (!member.up || (member.retiring && (member.group.retired() || passed >= leaveGraceMs))) {
        crash(index, member.unsynced.size());
        start(index);
      }
    }
    run({});
    if (std::optional<std::size_t> const active = idleLeader()) {
      offer(*active, lastOperator);
      run({});
    }
    if (history_->acknowledged.size() > before) {
      return "";
    }
  }
  return violation().empty() ? "no leader acknowledges a change within " + std::to_string(bound.count()) +
                                   " ms after the last fault" + picture()
                             : "";
}

std::string World::picture() const {
  std::string out;
  for (std::shared_ptr<Member> const& member : members_) {
    messages::EpochRecord const& decided = member->group.decided();
    out += "\n  " + member->id + (member->up ? "" : " down") + (member->retiring ? " retiring" : "") + " at " +
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
  return out;
}

std::string World::describe(Action const& action) const {
  std::string out = actionText(action) + "  ";
  if (action.kind == ActionKind::deliver || action.kind == ActionKind::duplicate || action.kind == ActionKind::drop) {
    Packet const& packet = *packets_[action.subject];
    std::optional<std::size_t> const to = indexAt(packet.toAddress);
    return out + nameOf(packet.message) + " from " + packet.from + " to " + (to ? members_[*to]->id : packet.toAddress);
  }
  return action.kind == ActionKind::heal ? out : out + members_[action.subject]->id;
}

std::uint64_t World::digest(MemberPool* pool) {
  messages::StateDigest digest({}, Ms(0));
  for (std::shared_ptr<Member>& member : members_) {
    if (!member->digest) {
      member->digest = digestOf(*member);
      if (pool != nullptr) {
        member = pool->intern(std::move(member));
      }
    }
    digest.add(*member->digest);
  }
  std::uint64_t packets = 0;
  for (std::shared_ptr<Packet const> const& packet : packets_) {
    packets += packet->digest * 0x9e3779b97f4a7c15ULL;
  }
  digest.add(packets);
  digest.add(cuts_);
  for (Operator const& caller : operators_) {
    digest.add(caller.started);
    digest.add(caller.open);
    digest.add(caller.baseRevision);
  }
  digest.add(history_->digest());
  for (std::size_t const left :
       {budget_.offers, budget_.reads, budget_.ticks, budget_.jumps, budget_.crashes, budget_.wipes,
        budget_.replacements, budget_.retirements, budget_.duplicates, budget_.drops, budget_.cuts}) {
    digest.add(left);
  }
  return digest.finish();
}

}  // namespace limeramp::explorer
