#pragma once

#include "failure_detector.h"
#include "limeramp/messages/messages.h"
#include "limeramp/replication/replication_group.h"

#include <cstddef>
#include <string>
#include <vector>

namespace limeramp::replication {

/// Whether `ids` contains `id`.
bool contains(std::vector<std::string> const& ids, std::string const& id);

/// The members that a primary would choose for the next epoch.
struct MembershipChoice {
  std::vector<std::string> backups;
  std::vector<std::string> witnesses;
};

/// Chooses the replicas and witnesses of the next epoch and tells when a change is worth its short interruption.
///
/// It only refers to the member's state and modifies nothing. Choices spread over zones first and prefer current
/// members next. Any choice is safe; a bad one costs availability.
struct MembershipPlanner {
  ReplicationOptions const& options;
  FailureDetector const& detector;
  messages::EpochRecord const& decided;
  Member const& self;
  TimePoint now;

  /// Live members that would be backups of `primary`, at most `options.maxReplicas` - 1; never this member.
  std::vector<std::string> backupsFor(std::string const& primary) const;
  /// The replicas and further members, at most `options.maxWitnesses`; an even number above 2 is reduced by one. If too
  /// few members are alive, current witnesses that are silent keep their votes.
  std::vector<std::string> witnessesFor(std::string const& primary, std::vector<std::string> const& backups) const;
  /// The choice that this member would make if it were the primary.
  MembershipChoice preferred() const;
  /// Whether this member and the backups that it would choose are enough replicas to commit changes.
  bool canFormGroup() const;
  /// Whether a witness that is lost or whose disk was wiped can be replaced, or a backup or a missing witness added.
  /// Due after `options.repairMs`.
  bool repairWanted(MembershipChoice const& choice) const;
  /// Whether witnesses or replicas can be spread over more zones. Due only after `options.spreadMs` without an epoch
  /// change.
  bool spreadWanted(MembershipChoice const& choice) const;
  /// Whether a live member outside `excluded` could take the place of one of them.
  bool replacementAvailable(std::vector<std::string> const& excluded) const;

 private:
  /// Empty if the zone is not known.
  std::string zoneOf(std::string const& id) const;
  /// False if one of the zones is not known.
  bool inDifferentZones(std::string const& left, std::string const& right) const;
  bool inNewZone(std::vector<std::string> const& chosen, std::string const& id) const;
  std::size_t zoneCount(std::vector<std::string> const& ids) const;
};

/// The primary and its backups in one list.
std::vector<std::string> replicasOf(std::string const& primary, std::vector<std::string> const& backups);

}  // namespace limeramp::replication
