#include "replication_group_impl.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace limeramp::replication {
namespace {

/// The epochs of a forced group begin above the next multiple of this stride, above all epochs that the old group can
/// still decide.
constexpr std::uint64_t forcedEpochStride = 1'000'000;

}  // namespace

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
  if (aliveMembers < std::max(options.minReplicas, std::min(options.maxWitnesses, founders.size()))) {
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
    refusal = "no other controller is heard that could be backup";
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
