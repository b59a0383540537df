#include "membership_planner.h"

#include <algorithm>
#include <functional>
#include <set>

namespace limeramp::replication {
namespace {

// The id of the member with the highest score, on a tie the lowest id; empty if all scores are below 0.
std::string highestScoring(std::map<std::string, MemberStatus> const& members,
                           std::function<int(std::string const&)> const& score) {
  std::string best;
  int bestScore = -1;
  for (std::pair<std::string const, MemberStatus> const& entry : members) {
    int const memberScore = score(entry.first);
    if (memberScore > bestScore) {
      best = entry.first;
      bestScore = memberScore;
    }
  }
  return best;
}

constexpr int notEligible = -1;

}  // namespace

bool contains(std::vector<std::string> const& ids, std::string const& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

std::vector<std::string> replicasOf(std::string const& primary, std::vector<std::string> const& backups) {
  std::vector<std::string> out{primary};
  out.insert(out.end(), backups.begin(), backups.end());
  return out;
}

std::string MembershipPlanner::zoneOf(std::string const& id) const {
  if (id == self.id) {
    return self.zone;
  }
  MemberStatus const* const found = detector.find(id);
  return found == nullptr ? "" : found->member.zone;
}

bool MembershipPlanner::inDifferentZones(std::string const& left, std::string const& right) const {
  return !zoneOf(left).empty() && !zoneOf(right).empty() && zoneOf(left) != zoneOf(right);
}

bool MembershipPlanner::inNewZone(std::vector<std::string> const& chosen, std::string const& id) const {
  return std::all_of(chosen.begin(), chosen.end(),
                     [&](std::string const& other) { return inDifferentZones(other, id); });
}

std::size_t MembershipPlanner::zoneCount(std::vector<std::string> const& ids) const {
  std::set<std::string> zones;
  for (std::string const& id : ids) {
    zones.insert(zoneOf(id));
  }
  return zones.size() - zones.count("");
}

std::vector<std::string> MembershipPlanner::backupsFor(std::string const& primary) const {
  std::vector<std::string> out;
  while (1 + out.size() < options.maxReplicas) {
    std::vector<std::string> const replicas = replicasOf(primary, out);
    std::string const best = highestScoring(detector.members(), [&](std::string const& id) {
      if (id == self.id || contains(replicas, id) || !detector.isAlive(now, id, options.lostMs)) {
        return notEligible;
      }
      return (inNewZone(replicas, id) ? 4 : 0) + (contains(decided.backups, id) ? 2 : 0) +
             (contains(decided.witnesses, id) ? 1 : 0);
    });
    if (best.empty()) {
      break;
    }
    out.push_back(best);
  }
  return out;
}

std::vector<std::string> MembershipPlanner::witnessesFor(std::string const& primary,
                                                         std::vector<std::string> const& backups) const {
  std::vector<std::string> out = replicasOf(primary, backups);
  out.resize(std::min(out.size(), options.maxWitnesses));
  while (out.size() < options.maxWitnesses) {
    std::string const best = highestScoring(detector.members(), [&](std::string const& id) {
      if (contains(out, id) || !detector.isAlive(now, id, options.lostMs) ||
          detector.superseded(now, id, options.lostMs)) {
        return notEligible;
      }
      return (inNewZone(out, id) ? 2 : 0) + (contains(decided.witnesses, id) ? 1 : 0);
    });
    if (best.empty()) {
      break;
    }
    out.push_back(best);
  }
  for (std::string const& id : decided.witnesses) {
    if (out.size() < options.maxWitnesses && !contains(out, id)) {
      out.push_back(id);
    }
  }
  if (out.size() > 2 && out.size() % 2 == 0) {
    out.pop_back();
  }
  std::sort(out.begin(), out.end());
  return out;
}

bool MembershipPlanner::canFormGroup() const { return 1 + backupsFor(self.id).size() >= options.minReplicas; }

MembershipChoice MembershipPlanner::preferred() const {
  std::vector<std::string> const backups = backupsFor(self.id);
  return {backups, witnessesFor(self.id, backups)};
}

bool MembershipPlanner::repairWanted(MembershipChoice const& choice) const {
  std::vector<std::string> const& currentWitnesses = decided.witnesses;
  bool const replaceable = std::any_of(choice.witnesses.begin(), choice.witnesses.end(),
                                       [&](std::string const& id) { return !contains(currentWitnesses, id); });
  bool const anySuperseded = std::any_of(currentWitnesses.begin(), currentWitnesses.end(), [&](std::string const& id) {
    return detector.superseded(now, id, options.lostMs);
  });
  bool const anyLost = !detector.allAlive(now, currentWitnesses, options.witnessGoneMs);
  bool const redundancyGrows =
      choice.backups.size() > decided.backups.size() || choice.witnesses.size() > currentWitnesses.size();
  return (replaceable && (anySuperseded || anyLost)) || redundancyGrows;
}

bool MembershipPlanner::spreadWanted(MembershipChoice const& choice) const {
  return zoneCount(choice.witnesses) > zoneCount(decided.witnesses) ||
         zoneCount(replicasOf(self.id, choice.backups)) > zoneCount(replicasOf(self.id, decided.backups));
}

bool MembershipPlanner::replacementAvailable(std::vector<std::string> const& excluded) const {
  return !highestScoring(detector.members(), [&](std::string const& id) {
            bool const eligible = !contains(excluded, id) && detector.isAlive(now, id, options.lostMs) &&
                                  !detector.superseded(now, id, options.lostMs);
            return eligible ? 0 : notEligible;
          }).empty();
}

}  // namespace limeramp::replication
