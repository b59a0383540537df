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

/// What is known of another member: its address and zone, and the last heartbeat received from it.
struct MemberStatus {
  Member member;
  TimePoint lastHeartbeatAt{};
  messages::Heartbeat heartbeat;
  /// The token of its last heartbeat that had one; sent back as the echo.
  std::uint64_t lastToken = 0;
  /// Whether any heartbeat was received.
  bool heartbeatReceived = false;
  /// Whether a heartbeat was handled while this member's disk was usable. At the first one from a backup, a joining
  /// primary sends its Sync again at once.
  bool firstHeartbeatHandled = false;
  /// When the next heartbeat is sent to it.
  TimePoint nextHeartbeatAt{};
};

/// The highest epoch that a heartbeat names, as a number or with the record.
std::uint64_t epochOf(messages::Heartbeat const& heartbeat);

/// Unreliable failure detector: a member is suspected after a time without heartbeats, measured on this machine's own
/// steady clock.
///
/// It may be wrong in either direction: after a freeze of this process all others seem silent, and a member that is cut
/// off seems lost. Its answers decide when a membership change is tried and which members it names; safety never
/// depends on them.
class FailureDetector {
 public:
  void setSelf(std::string const& id) { self_ = id; }
  /// Takes addresses and zones from discovery. Forgets a member that discovery does not list, that has been silent for
  /// 60 s and for which `keep` returns false.
  void updateMembers(TimePoint now, std::vector<Member> const& discovered,
                     std::function<bool(std::string const&)> const& keep);
  /// Records a heartbeat that was received from `id` at `now`.
  MemberStatus& recordHeartbeat(TimePoint now, std::string const& id, messages::Heartbeat const& heartbeat);

  std::map<std::string, MemberStatus>& members() { return members_; }
  std::map<std::string, MemberStatus> const& members() const { return members_; }
  MemberStatus const* find(std::string const& id) const;

  /// Whether a heartbeat came within the given time and the last one said that the member is neither unhealthy nor
  /// shutting down. Always true for this member.
  bool isAlive(TimePoint now, std::string const& id, std::chrono::milliseconds within) const;
  bool allAlive(TimePoint now, std::vector<std::string> const& ids, std::chrono::milliseconds within) const;
  /// Whether a live member with another id has been heard more recently at the member's address. The id belongs to the
  /// disk, so the member's disk and with it its vote are gone.
  bool superseded(TimePoint now, std::string const& id, std::chrono::milliseconds within) const;

  void digest(messages::StateDigest& digest) const;

 private:
  std::string self_;
  std::map<std::string, MemberStatus> members_;
};

}  // namespace limeramp::replication
