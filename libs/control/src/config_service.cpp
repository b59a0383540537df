// The public interface of ConfigService, and the handling of the beginning and the end of a leadership.
#include "config_service_impl.h"

#include "limeramp/messages/state_digest.h"

#include <utility>

namespace limeramp::control {

std::string textOf(OrderObstacle obstacle) {
  switch (obstacle) {
    case OrderObstacle::notPrimary:
      return "this node is not the primary";
    case OrderObstacle::backupUnresponsive:
      return "the backup is not heard";
    case OrderObstacle::shuttingDown:
      return "this node is leaving";
  }
  return "";
}

void ConfigService::Impl::on(replication::ReplicationGroup const&, replication::BecamePrimary const& event) {
  active = true;
  activeAt = now;
  rosterStable = false;
  tracker.leadershipBegan(now);
  publish(event.state);
}

void ConfigService::Impl::on(replication::ReplicationGroup const&, replication::SteppedDown const&) {
  active = false;
  rejectQueued("the primary changed before the change was begun");
  for (PendingAcknowledgement const& entry : acknowledgements.takeAll()) {
    emitOutcome(entry.ticket, OrderStatus::unknown, "the primary changed while the change was carried out");
  }
  for (AnswerGate* const gate : {&reads, &refusals}) {
    for (PendingAnswer const& pending : gate->takeAll()) {
      emitOutcome(pending.ticket, OrderStatus::notRun, textOf(OrderObstacle::notPrimary));
    }
  }
  for (NodeRemoval const& entry : removals.takeAll()) {
    emitOutcome(entry.ticket, OrderStatus::unknown,
                "the primary changed before the roster was known to be without these nodes");
  }
  tracker.leadershipEnded();
}

void ConfigService::Impl::on(replication::ReplicationGroup const&, BeginShutdown const&) {
  shuttingDown = true;
  rejectQueued(textOf(OrderObstacle::shuttingDown));
}

void ConfigService::Impl::on(replication::ReplicationGroup const& group, Tick const&) {
  tracker.expire(now);
  probe();
  completeAcknowledged();
  releaseConfirmed();
  answerExpired();
  startNext(group);
}

ConfigService::ConfigService(ConfigServiceOptions const& options, std::string const& id, config::ConfigSchema schema)
    : impl_(std::make_unique<Impl>(options, id, std::move(schema))) {}

ConfigService::~ConfigService() = default;
ConfigService::ConfigService(ConfigService const& other) : impl_(std::make_unique<Impl>(*other.impl_)) {}
ConfigService::ConfigService(ConfigService&&) noexcept = default;
ConfigService& ConfigService::operator=(ConfigService const& other) {
  impl_ = std::make_unique<Impl>(*other.impl_);
  return *this;
}
ConfigService& ConfigService::operator=(ConfigService&&) noexcept = default;

std::vector<ConfigServiceEffect> ConfigService::step(TimePoint now, replication::ReplicationGroup const& group,
                                                     ConfigServiceEvent const& event) {
  impl_->now = now;
  impl_->confirmedAt = group.leadershipConfirmedAt();
  impl_->effects.clear();
  std::visit([&](auto const& concrete) { impl_->on(group, concrete); }, event);
  return std::move(impl_->effects);
}

bool ConfigService::active() const { return impl_->active; }
messages::State const& ConfigService::published() const { return impl_->published; }
std::size_t ConfigService::pending() const {
  bool const evaluating = impl_->evaluation && !impl_->evaluation->answered && !impl_->evaluation->cancelled;
  return impl_->queue.size() + impl_->waitingAnswers() + (evaluating ? 1 : 0);
}

OrderEvaluator const& ConfigService::evaluator() const { return impl_->evaluator; }

void ConfigService::Impl::digestOrders(messages::StateDigest& digest) const {
  queue.digest(digest);
  digest.add(evaluation.has_value());
  if (evaluation) {
    digestOrder(digest, evaluation->queued.order);
    digest.add(evaluation->queued.arrivedAt);
    digest.add(evaluation->answered);
    digest.add(evaluation->cancelled);
  }
  digest.add(proposedOrder.has_value());
  if (proposedOrder) {
    digestOrder(digest, *proposedOrder);
    digest.add(proposedOrderAnswered);
  }
  digest.add(proposalTicket);
  acknowledgements.digest(digest);
  removals.digest(digest);
}

std::uint64_t ConfigService::digest(TimePoint now) const {
  Impl const& impl = *impl_;
  messages::StateDigest digest(now, std::chrono::seconds(5));
  digest.add(impl.id);
  digest.add(impl.active);
  impl.feed.digest(digest);
  digest.add(impl.shuttingDown);
  digest.add(impl.activeAt);
  digest.add(impl.published);
  digest.add(impl.publishedAt);
  digest.add(impl.rosterStable);
  digest.add(impl.rosterNotAwaited);
  digest.addDeadline(impl.nextRosterChangeAt);
  impl.digestOrders(digest);
  impl.reads.digest(digest);
  impl.refusals.digest(digest);
  impl.tracker.digest(digest);
  return digest.finish();
}

std::vector<NodeView> ConfigService::nodes(TimePoint now) const {
  std::vector<NodeView> out;
  for (messages::RosterEntry const& entry : impl_->published.roster) {
    NodeView view{entry.node, entry.address, entry.zone, entry.slot,
                  {},         Ms(0),         false,      impl_->tracker.persistentlyGone(now, entry.node)};
    if (TrackedNode const* const found = impl_->tracker.find(entry.node)) {
      view.confirmed = {found->confirmed.epoch, found->confirmed.sequence};
      view.sinceReportMs = std::chrono::duration_cast<Ms>(now - found->lastReceivedAt);
      view.everReported = true;
    }
    out.push_back(std::move(view));
  }
  return out;
}

}  // namespace limeramp::control
