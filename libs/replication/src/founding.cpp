#include "replication_group_impl.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace limeramp::replication {
namespace {

/// The epochs of a forced group begin above the next multiple of this stride, above all epochs that the old group can
/// still decide.
constexpr std::uint64_t forcedEpochStride = 1'000'000;

/// A fleet with at least this many controllers has this many seeds; fewer seeds are all the controllers of the fleet.
constexpr std::size_t seedsOfAFleet = 3;

}  // namespace

std::size_t ReplicationGroup::Impl::membersToFound() const {
  std::size_t const ofASmallFleet = std::min(options.maxWitnesses, founders.size());
  bool const mayBeSmall = founders.size() < seedsOfAFleet || now - startedAt >= options.foundingWaitMs;
  return std::max(options.minReplicas, mayBeSmall ? ofASmallFleet : options.maxWitnesses);
}

void ReplicationGroup::Impl::tryFounding() {
  std::vector<std::string>::const_iterator const ownPosition =
      std::lower_bound(founders.begin(), founders.end(), self.address);
  if (!mayVote() || shuttingDown() ||
      now - epochStableSince < options.lostMs + options.founderStaggerMs * (ownPosition - founders.begin())) {
    return;
  }
  std::map<std::string, std::pair<TimePoint, std::string>> voters{{self.address, {now, self.id}}};
  std::size_t aliveMembers = 1;
  for (std::pair<std::string const, MemberStatus> const& entry : detector.members()) {
    std::string const& address = entry.second.member.address;
    aliveMembers += isAlive(entry.first, options.lostMs) ? 1 : 0;
    if (entry.second.heartbeatReceived && std::binary_search(founders.begin(), founders.end(), address)) {
      voters[address] = std::max(voters[address], {entry.second.lastHeartbeatAt, entry.first});
    }
  }
  if (aliveMembers < membersToFound() || !planner().canFormGroup()) {
    if (now - startedAt >= options.foundingWaitMs) {
      appendLogEntry(voteMonitor.redundancyChecked("no group is founded: " + std::to_string(aliveMembers) + " of " +
                                                   std::to_string(membersToFound()) + " controllers are heard"));
    }
    return;
  }
  proposal.record = {1, "", self.id, planner().backupsFor(self.id), {}};
  char fleet[20];
  std::snprintf(fleet, sizeof fleet, "%016llx", static_cast<unsigned long long>(random()));
  proposal.record.fleet = fleet;
  proposal.record.witnesses = planner().witnessesFor(self.id, proposal.record.backups);
  proposal.voters.clear();
  for (std::pair<std::string const, std::pair<TimePoint, std::string>> const& entry : voters) {
    proposal.voters.push_back(entry.second.second);
  }
  beginBallot();
}

void ReplicationGroup::Impl::on(ForceNewGroup const& event) {
  std::string refusal;
  std::vector<std::string> const backups = planner().backupsFor(self.id);
  if (storageUnusable() || shuttingDown()) {
    refusal = "this controller's disk failed, or it is ending";
  } else if (acceptor.decided.epoch > 0 && event.fleet != acceptor.decided.fleet) {
    refusal = "this controller is of another fleet";
  } else if (acceptor.decided.epoch > 0 && isAlive(acceptor.decided.primary, options.lostMs) &&
             detector.allAlive(now, acceptor.decided.backups, options.lostMs)) {
    refusal = "primary and backup are alive";
  } else if (!planner().canFormGroup()) {
    refusal = std::to_string(options.minReplicas - 1) + " other controllers that could be backups are needed, " +
              std::to_string(backups.size()) + " are heard";
  }
  if (!refusal.empty()) {
    effects.emplace_back(NewGroupForced{refusal});
    return;
  }
  if (event.state.version() > state.version()) {
    state = event.state;
  }
  std::uint64_t const generation = std::max(acceptor.decided.epoch, state.epoch) / forcedEpochStride + 1;
  messages::EpochRecord record{generation * forcedEpochStride + random() % (forcedEpochStride / 2), event.fleet,
                               self.id, backups, planner().witnessesFor(self.id, backups)};
  adoptEpoch(record, true);
  effects.emplace_back(NewGroupForced{});
  heartbeatAll();
}

}  // namespace limeramp::replication
