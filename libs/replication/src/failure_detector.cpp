#include "failure_detector.h"

#include <algorithm>

namespace limeramp::replication {
namespace {

// Silence after which a member that discovery no longer lists is forgotten.
constexpr std::chrono::seconds forgetAfter{60};

}  // namespace

std::uint64_t epochOf(messages::Heartbeat const& heartbeat) {
  return std::max(heartbeat.epoch, heartbeat.decided.epoch);
}

void FailureDetector::updateMembers(TimePoint now, std::vector<Member> const& discovered,
                                    std::function<bool(std::string const&)> const& keep) {
  for (Member const& member : discovered) {
    if (member.id != self_) {
      members_[member.id].member = member;
    }
  }
  std::erase_if(members_, [&](std::pair<std::string const, MemberStatus> const& entry) {
    bool const isDiscovered = std::any_of(discovered.begin(), discovered.end(),
                                          [&](Member const& member) { return member.id == entry.first; });
    return !isDiscovered && now - entry.second.lastHeartbeatAt > forgetAfter && !keep(entry.first);
  });
}

MemberStatus& FailureDetector::recordHeartbeat(TimePoint now, std::string const& id,
                                               messages::Heartbeat const& heartbeat) {
  MemberStatus& entry = members_[id];
  entry.lastHeartbeatAt = now;
  entry.heartbeatReceived = true;
  entry.heartbeat = heartbeat;
  entry.lastToken = heartbeat.token != 0 ? heartbeat.token : entry.lastToken;
  return entry;
}

MemberStatus const* FailureDetector::find(std::string const& id) const {
  std::map<std::string, MemberStatus>::const_iterator const found = members_.find(id);
  return found == members_.end() ? nullptr : &found->second;
}

bool FailureDetector::isAlive(TimePoint now, std::string const& id, std::chrono::milliseconds within) const {
  if (id == self_) {
    return true;
  }
  MemberStatus const* const found = find(id);
  return found != nullptr && found->heartbeatReceived && !found->heartbeat.unhealthy &&
         now - found->lastHeartbeatAt <= within;
}

bool FailureDetector::allAlive(TimePoint now, std::vector<std::string> const& ids,
                               std::chrono::milliseconds within) const {
  return std::all_of(ids.begin(), ids.end(), [&](std::string const& id) { return isAlive(now, id, within); });
}

bool FailureDetector::superseded(TimePoint now, std::string const& id, std::chrono::milliseconds within) const {
  MemberStatus const* const status = find(id);
  return status != nullptr &&
         std::any_of(members_.begin(), members_.end(), [&](std::pair<std::string const, MemberStatus> const& entry) {
           return entry.first != id && entry.second.member.address == status->member.address &&
                  entry.second.lastHeartbeatAt > status->lastHeartbeatAt && isAlive(now, entry.first, within);
         });
}

void FailureDetector::digest(messages::StateDigest& digest) const {
  digest.add(members_.size());
  for (std::pair<std::string const, MemberStatus> const& entry : members_) {
    digest.add(entry.first);
    digest.add(entry.second.member.address);
    digest.add(entry.second.member.zone);
    digest.add(entry.second.heartbeatReceived);
    digest.add(entry.second.firstHeartbeatHandled);
    digest.add(entry.second.lastToken);
    digest.add(entry.second.heartbeat);
    digest.add(entry.second.lastHeartbeatAt);
    digest.addDeadline(entry.second.nextHeartbeatAt);
  }
}

}  // namespace limeramp::replication
