#include "explorer/world.h"

/// The members of the group: their disks, their packets, and the checks of what they send.
namespace limeramp::explorer {
void World::start(std::size_t index) {
  Member& member = mutableMember(index);
  ++member.incarnation;
  member.up = true;
  member.shuttingDown = false;
  member.group = replication::ReplicationGroup(replication::optionsFor(setup_.machineLosses));
  if (setup_.services) {
    startConfigService(member);
  }
  member.acknowledgedMarks = {{member.clock, history_->acknowledged.size()}};
  step(index,
       replication::Start{
           {member.id, member.address, member.zone}, member.disk, 1000 * member.incarnation + index, false, founders_});
}

void World::crash(std::size_t index, std::size_t writesKept) {
  Member& member = mutableMember(index);
  for (std::size_t write = 0; write < std::min(writesKept, member.unsynced.size()) && !member.storeFailed; ++write) {
    for (std::pair<std::string, std::string> const& put : member.unsynced[write].puts) {
      member.disk[put.first] = put.second;
    }
  }
  member.unsynced.clear();
  member.storeFailed = false;
  member.up = false;
  member.group = replication::ReplicationGroup(replication::ReplicationOptions{});
  member.configService.reset();
}

void World::wipe(std::size_t index, bool atNewAddress) {
  crash(index, 0);
  Member& member = mutableMember(index);
  member.disk.clear();
  member.mayFound = false;
  ++renamed_;
  member.id = std::string(1, member.id.front()) + std::to_string(renamed_);
  if (atNewAddress) {
    member.address = "10.0.1." + std::to_string(renamed_) + ":1";
  }
}

void World::syncOldest(std::size_t index) {
  Member& member = mutableMember(index);
  replication::Persist const write = std::move(member.unsynced.front());
  member.unsynced.erase(member.unsynced.begin());
  member.storeFailed = member.storeFailed && !write.rewrite;
  if (!member.storeFailed) {
    for (std::pair<std::string, std::string> const& put : write.puts) {
      member.disk[put.first] = put.second;
    }
  }
  bool const good = !member.storeFailed;
  step(index, replication::PersistFinished{write.token, good});
}

// A write that the disk fails may have reached the disk; one that the store rejects has not.
void World::failOldest(std::size_t index, bool onDisk) {
  Member& member = mutableMember(index);
  replication::Persist const write = std::move(member.unsynced.front());
  member.unsynced.erase(member.unsynced.begin());
  if (onDisk && (write.rewrite || !member.storeFailed)) {
    for (std::pair<std::string, std::string> const& put : write.puts) {
      member.disk[put.first] = put.second;
    }
  }
  member.storeFailed = true;
  step(index, replication::PersistFinished{write.token, false});
}

void World::tick(std::size_t index, Ms time) {
  Member& member = mutableMember(index);
  member.clock += hasOneClock() ? Ms(0) : time;
  replication::KnownMembers known;
  known.mayFound = member.mayFound;
  for (std::shared_ptr<Member> const& other : members_) {
    known.members.push_back({other->id, other->address, other->zone});
  }
  step(index, known);
  step(index, replication::Tick{});
  driveConfigService(index, control::Tick{});
}

void World::deliver(std::size_t packet) {
  std::shared_ptr<Packet const> const taken = packets_[packet];
  packets_.erase(packets_.begin() + static_cast<std::ptrdiff_t>(packet));
  std::optional<std::size_t> const to = indexAt(taken->toAddress);
  if (!to || !isUp(*to)) {
    return;
  }
  if (*to >= members_.size()) {
    deliverToNode(*to - members_.size(), *taken);
  } else if (messages::StateRequest const* const poll = std::get_if<messages::StateRequest>(&taken->message)) {
    driveConfigService(*to, control::StateRequestReceived{taken->fromAddress, *poll});
  } else {
    step(*to, replication::MessageReceived{taken->from, taken->fromAddress, taken->message});
  }
}

void World::step(std::size_t index, replication::GroupEvent const& event) {
  Member& member = mutableMember(index);
  for (replication::GroupEffect const& effect : member.group.step(member.clock, event)) {
    execute(index, effect);
  }
  Member const& after = *members_[index];
  messages::EpochRecord const& decided = after.group.decided();
  std::map<std::uint64_t, messages::EpochRecord>::const_iterator const known = history_->records.find(decided.epoch);
  if (decided.epoch > 0 && (known == history_->records.end() || !(known->second == decided))) {
    mutableHistory().onDecided(after.id, decided);
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
      mutableHistory().fail(member.id + " may answer a read with '" + document + "' after '" +
                            history_->acknowledged.substr(0, mark.size) + "' was acknowledged");
    }
  }
}

void World::checkVote(std::size_t index, messages::Message const& message) {
  Member const& member = *members_[index];
  if (messages::PrepareResponse const* const promise = std::get_if<messages::PrepareResponse>(&message);
      promise && promise->granted) {
    mutableHistory().onVote(member.id, member.mayFound, promise->nextEpoch);
  }
  if (messages::AcceptResponse const* const accepted = std::get_if<messages::AcceptResponse>(&message);
      accepted && accepted->granted) {
    mutableHistory().onVote(member.id, member.mayFound, accepted->nextEpoch);
  }
}

void World::execute(std::size_t index, replication::GroupEffect const& effect) {
  if (replication::Send const* const message = std::get_if<replication::Send>(&effect)) {
    checkVote(index, message->message);
    sendTo(index, message->address, message->message);
  } else if (replication::Persist const* const persist = std::get_if<replication::Persist>(&effect)) {
    mutableMember(index).unsynced.push_back(*persist);
  } else if (replication::Committed const* const committed = std::get_if<replication::Committed>(&effect)) {
    mutableHistory().onCommitted(members_[index]->id, committed->state);
    for (std::size_t other = 0; other < members_.size(); ++other) {
      Member& member = mutableMember(other);
      member.acknowledgedMarks.push_back({member.clock, history_->acknowledged.size()});
    }
    driveConfigService(index, *committed);
  } else if (replication::BecamePrimary const* const active = std::get_if<replication::BecamePrimary>(&effect)) {
    mutableHistory().onActive(members_[index]->id, active->epoch, active->state.document);
    driveConfigService(index, *active);
  } else if (std::holds_alternative<replication::SteppedDown>(effect)) {
    driveConfigService(index, replication::SteppedDown{});
  } else if (replication::OutcomeUnknown const* const outcomeUnknown =
                 std::get_if<replication::OutcomeUnknown>(&effect)) {
    driveConfigService(index, *outcomeUnknown);
  }
}

void World::sendTo(std::size_t from, std::string const& address, messages::Message const& message) {
  std::optional<std::size_t> const to = indexAt(address);
  bool const heartbeat = std::holds_alternative<messages::Heartbeat>(message);
  if (!to || cuts_.contains({from, *to}) || (heartbeat && !setup_.heartbeats)) {
    return;
  }
  std::shared_ptr<Packet> const packet =
      std::make_shared<Packet>(Packet{nameOf(from), addressOf(from), address, message, 0});
  packet->digest = digestOf(*packet);
  if (heartbeat) {
    std::erase_if(packets_, [&](std::shared_ptr<Packet const> const& other) {
      return other->from == packet->from && other->toAddress == packet->toAddress &&
             std::holds_alternative<messages::Heartbeat>(other->message);
    });
  }
  packets_.push_back(packet);
  if (packets_.size() > setup_.maxPackets) {
    packets_.erase(packets_.begin());
  }
}

}  // namespace limeramp::explorer
