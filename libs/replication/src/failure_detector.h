#pragma once

#include "limeramp/messages/messages.h"
#include "limeramp/messages/state_digest.h"
#include "limeramp/replication/replication_group.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace limeramp::replication {

/// What is known of another member: its address and zone, and the last heartbeat heard from it.
struct MemberStatus {
  Member member;
  TimePoint lastHeartbeatAt{};
  messages::Heartbeat heartbeat;
  std::uint64_t lastToken = 0;
  bool ever = false;
  bool reached = false;
  TimePoint nextHeartbeatAt{};
};

/// The highest epoch that a heartbeat tells of.
std::uint64_t epochOf(messages::Heartbeat const& heartbeat);

/// Tells the living members from the lost ones, by silence on this machine's own steady clock alone.
///
/// It may be wrong in either direction: after a freeze of this process all others seem silent, and a cut-off member
/// seems lost. Its answers decide only when a change of membership is tried and whom it names, never whether it is
/// safe.
class FailureDetector {
 public:
  void setSelf(std::string const& id) { self_ = id; }
  /// Takes addresses and zones from discovery, and forgets whoever is not listed, long silent and not to be kept.
  void know(TimePoint now, std::vector<Member> const& listed, std::function<bool(std::string const&)> const& keep);
  /// Counts a sign of life.
  MemberStatus& recordHeartbeat(TimePoint now, std::string const& id, messages::Heartbeat const& heartbeat);

  std::map<std::string, MemberStatus>& members() { return members_; }
  std::map<std::string, MemberStatus> const& members() const { return members_; }
  MemberStatus const* find(std::string const& id) const;

  /// Heard within the given time, and neither ailing nor leaving. This member itself always is.
  bool isAlive(TimePoint now, std::string const& id, std::chrono::milliseconds within) const;
  bool allAlive(TimePoint now, std::vector<std::string> const& ids, std::chrono::milliseconds within) const;
  /// Another identity has been heard more lately at the member's address: its disk, and its vote, are gone.
  bool superseded(TimePoint now, std::string const& id, std::chrono::milliseconds within) const;

  void digest(messages::StateDigest& digest) const;

 private:
  std::string self_;
  std::map<std::string, MemberStatus> members_;
};

}  // namespace limeramp::replication
