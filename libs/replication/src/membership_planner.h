#pragma once

#include "failure_detector.h"
#include "limeramp/messages/messages.h"
#include "limeramp/replication/replication_group.h"

#include <cstddef>
#include <string>
#include <vector>

namespace limeramp::replication {

bool isOf(std::vector<std::string> const& ids, std::string const& id);

/// The members that a primary would choose beside itself.
struct MembershipChoice {
  std::vector<std::string> backups;
  std::vector<std::string> witnesses;
};

/// Chooses who replicates and who votes in the next epoch, and says when a change is worth its short interruption.
/// A view on the current knowledge: it holds nothing of its own and changes nothing. Choices spread over zones first,
/// then keep to the members of today. Any choice is safe; a bad one costs availability.
struct MembershipPlanner {
  ReplicationOptions const& options;
  FailureDetector const& detector;
  messages::EpochRecord const& decided;
  Member const& self;
  TimePoint now;

  /// Living members to replicate beside the primary, at most policy.maxReplicas - 1 of them; never this member.
  std::vector<std::string> backupsFor(std::string const& primary) const;
  /// The replicas and further members, an odd number of at most policy.maxWitnesses. Where too few are alive, silent
  /// witnesses of today keep their votes.
  std::vector<std::string> witnessesFor(std::string const& primary, std::vector<std::string> const& backups) const;
  /// What this member would choose as the primary.
  MembershipChoice preferred() const;
  /// This member and the backups that it would choose are enough to acknowledge changes.
  bool canFormGroup() const;
  /// A lost or wiped witness can be replaced, or a missing backup be made up for. Worth doing at once.
  bool repairWanted(MembershipChoice const& choice) const;
  /// Witnesses or replicas can be spread over more zones, or there can be more witnesses. Worth doing in calm.
  bool spreadWanted(MembershipChoice const& choice) const;
  /// Somebody is heard who has none of these seats and could take one.
  bool successorKnown(std::vector<std::string> const& seats) const;

 private:
  std::string zoneOf(std::string const& id) const;
  bool apart(std::string const& left, std::string const& right) const;
  bool inNewZone(std::vector<std::string> const& chosen, std::string const& id) const;
  std::size_t zoneCount(std::vector<std::string> const& ids) const;
};

/// The primary and its backups in one list.
std::vector<std::string> replicasOf(std::string const& primary, std::vector<std::string> const& backups);

}  // namespace limeramp::replication
