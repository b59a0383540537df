#include "replication_group_impl.h"

#include <algorithm>

namespace limeramp::replication {

void ReplicationGroup::Impl::send(std::string const& to, messages::Message message) {
  if (to == self.id) {
    std::visit([&](auto const& concrete) { onMessage(self.id, concrete); }, message);
    return;
  }
  MemberStatus const* const found = detector.find(to);
  if (found != nullptr) {
    effects.emplace_back(Send{to, found->member.address, std::move(message)});
  }
}

void ReplicationGroup::Impl::on(Start const& event) {
  self = event.self;
  detector.setSelf(self.id);
  random.seed(event.seed);
  lastToken = random() >> 20;
  started = true;
  epochStableSince = now;
  startedAt = now;
  founders = event.founders;
  std::sort(founders.begin(), founders.end());
  founders.erase(std::unique(founders.begin(), founders.end()), founders.end());
  if (event.diskless) {
    storage = StorageState::none;
    return;
  }
  restoreRecords(event.stored);
  if (storageUnusable()) {
    effects.emplace_back(LogEntry{logging::Event::diskDamaged, "the stored records cannot be parsed"});
    return;
  }
  storedEpoch = acceptor.decided.epoch;
  highestRound = acceptor.highestRound();
  skipVersionsInFlight();
  beginLeadership();
}

void ReplicationGroup::Impl::on(KnownMembers const& event) {
  mayFound = event.mayFound;
  detector.updateMembers(now, event.members, [this](std::string const& id) { return isReplica(id); });
}

void ReplicationGroup::Impl::on(MessageReceived const& event) {
  if (event.from == self.id) {
    return;
  }
  Member& sender = detector.members()[event.from].member;
  sender.id = event.from;
  sender.address = event.address;
  if (storageUnusable()) {
    recordHeartbeatOnly(event.from, event.message);
  } else {
    std::visit([&](auto const& concrete) { onMessage(event.from, concrete); }, event.message);
  }
}

// Without a usable disk the member takes no part in the protocol. It only tracks the decided epoch, so that it can name
// the primary, and which members are alive.
void ReplicationGroup::Impl::recordHeartbeatOnly(std::string const& from, messages::Message const& message) {
  messages::Heartbeat const* const heartbeat = std::get_if<messages::Heartbeat>(&message);
  if (heartbeat == nullptr) {
    return;
  }
  detector.recordHeartbeat(now, from, *heartbeat);
  bool const known = acceptor.decided.epoch == 0 || heartbeat->decided.fleet == acceptor.decided.fleet;
  if (known && heartbeat->decided.epoch > acceptor.decided.epoch) {
    acceptor.adopt(heartbeat->decided);
    epochStableSince = now;
  }
}

void ReplicationGroup::Impl::on(Tick const&) {
  heartbeat();
  if (storageUnusable()) {
    rewriteWhenDue();
    return;
  }
  if (acceptor.decided.epoch == 0) {
    if (proposal.stage == ProposalStage::none) {
      tryFounding();
    } else if (now >= proposal.retryAt) {
      // The founding ballot failed: the next attempt waits only for this member's founder stagger.
      proposal = {};
      epochStableSince = now - options.lostMs;
    }
    return;
  }
  if (proposal.stage != ProposalStage::none) {
    advanceProposal();
    return;
  }
  if (isPrimary()) {
    tickPrimary();
  } else if (isBackup()) {
    tickBackup();
  }
  advanceProposal();
}

ReplicationOptions optionsFor(std::size_t machineLosses) {
  std::size_t const losses = std::clamp<std::size_t>(machineLosses, 1, 4);
  ReplicationOptions options;
  options.maxReplicas = losses + 1;
  options.minReplicas = machineLosses == 0 ? 1 : options.maxReplicas;
  options.maxWitnesses = 2 * losses + 1;
  return options;
}

std::string_view nameOf(DiskCondition condition) {
  switch (condition) {
    case DiskCondition::none:
      return "none";
    case DiskCondition::usable:
      return "usable";
    case DiskCondition::overdue:
      return "overdue";
    case DiskCondition::failed:
      return "failed";
  }
  return "";
}

ReplicationGroup::ReplicationGroup(ReplicationOptions const& options) : impl_(std::make_unique<Impl>(options)) {}
ReplicationGroup::~ReplicationGroup() = default;
ReplicationGroup::ReplicationGroup(ReplicationGroup const& other) : impl_(std::make_unique<Impl>(*other.impl_)) {}
ReplicationGroup::ReplicationGroup(ReplicationGroup&&) noexcept = default;
ReplicationGroup& ReplicationGroup::operator=(ReplicationGroup const& other) {
  impl_ = std::make_unique<Impl>(*other.impl_);
  return *this;
}
ReplicationGroup& ReplicationGroup::operator=(ReplicationGroup&&) noexcept = default;

std::vector<GroupEffect> ReplicationGroup::step(TimePoint now, GroupEvent const& event) {
  impl_->now = now;
  impl_->effects.clear();
  if (impl_->started || std::holds_alternative<Start>(event)) {
    std::visit([this](auto const& concrete) { impl_->on(concrete); }, event);
  }
  return std::move(impl_->effects);
}

bool ReplicationGroup::active() const { return impl_->leadership == Leadership::active && !impl_->acceptor.isFenced(); }
bool ReplicationGroup::busy() const { return impl_->ticket.has_value(); }
bool ReplicationGroup::unhealthy() const { return impl_->unhealthy() && impl_->storage != StorageState::none; }

DiskCondition ReplicationGroup::diskCondition() const {
  if (impl_->storage == StorageState::none) {
    return DiskCondition::none;
  }
  if (impl_->storageUnusable()) {
    return DiskCondition::failed;
  }
  return impl_->writeOverdue() ? DiskCondition::overdue : DiskCondition::usable;
}

bool ReplicationGroup::canVote(TimePoint now, std::string const& witness) const {
  return witness == impl_->self.id ? !impl_->unhealthy()
                                   : impl_->detector.isAlive(now, witness, impl_->options.witnessGoneMs);
}

ShutdownProgress ReplicationGroup::shutdownProgress() const { return impl_->shutdownProgress(); }
bool ReplicationGroup::mayShutDown() const {
  ShutdownProgress const progress = shutdownProgress();
  return progress == ShutdownProgress::done || progress == ShutdownProgress::graceTimeOver;
}
std::string const& ReplicationGroup::id() const { return impl_->self.id; }
messages::EpochRecord const& ReplicationGroup::decided() const { return impl_->acceptor.decided; }
messages::State const& ReplicationGroup::state() const { return impl_->state; }
std::uint64_t ReplicationGroup::fenced() const { return impl_->acceptor.fenced; }
std::optional<TimePoint> ReplicationGroup::leadershipConfirmedAt() const { return impl_->confirmation.confirmedAt(); }

std::string ReplicationGroup::primaryAddress() const {
  std::string const& primary = impl_->acceptor.decided.primary;
  if (primary == impl_->self.id) {
    return impl_->unhealthy() ? "" : impl_->self.address;
  }
  MemberStatus const* const found = impl_->detector.find(primary);
  return found == nullptr ? "" : found->member.address;
}

std::optional<std::chrono::milliseconds> ReplicationGroup::sinceHeartbeatMs(TimePoint now,
                                                                            std::string const& member) const {
  MemberStatus const* const found = impl_->detector.find(member);
  if (found == nullptr || !found->heartbeatReceived) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Ms>(now - found->lastHeartbeatAt);
}

std::uint64_t ReplicationGroup::digest(TimePoint now) const {
  Impl const& impl = *impl_;
  messages::StateDigest digest(now, impl.options.spreadMs);
  digest.add(impl.started);
  digest.add(impl.storage);
  digest.addDeadline(impl.rewriteDueAt);
  digest.add(impl.rewriteToken.has_value());
  digest.add(impl.shuttingDown());
  digest.add(impl.shutdownRequestedAt.value_or(TimePoint{}));
  digest.add(impl.storedEpoch);
  digest.add(impl.mayFound);
  digest.add(impl.self.id);
  digest.add(impl.self.address);
  digest.add(impl.self.zone);
  digest.add(impl.founders);
  digest.add(impl.acceptor);
  digest.add(impl.state);
  digest.add(impl.schemasStored);
  digest.add(impl.highestRound);
  digest.add(impl.epochStableSince);
  digest.add(impl.startedAt);
  digest.addDeadline(impl.yieldUntil);
  digest.add(impl.lastToken);
  digest.add(impl.leadership);
  digest.add(impl.membershipChangeDue);
  digest.add(impl.ticket);
  impl.detector.digest(digest);
  impl.digestPendingWrites(digest);
  impl.replicator.digest(digest);
  impl.confirmation.digest(digest);
  impl.proposal.digest(digest);
  return digest.finish();
}

}  // namespace limeramp::replication
