#include "membership_planner.h"

#include <algorithm>
#include <functional>
#include <set>

namespace limeramp::replication {
namespace {

// The member with the highest score; the first of them in the order of identities. Empty if all scores are below 0.
std::string bestOf(std::map<std::string, MemberStatus> const& members,
                   std::function<int(std::string const&)> const& score) {
  std::string best;
  int bestScore = -1;
  for (std::pair<std::string const, MemberStatus> const& entry : members) {
    int const own = score(entry.first);
    if (own > bestScore) {
      best = entry.first;
      bestScore = own;
    }
  }
  return best;
}

constexpr int notEligible = -1;

}  // namespace

bool isOf(std::vector<std::string> const& ids, std::string const& id) {
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

bool MembershipPlanner::apart(std::string const& left, std::string const& right) const {
  return !zoneOf(left).empty() && !zoneOf(right).empty() && zoneOf(left) != zoneOf(right);
}

bool MembershipPlanner::inNewZone(std::vector<std::string> const& chosen, std::string const& id) const {
  return std::all_of(chosen.begin(), chosen.end(), [&](std::string const& other) { return apart(other, id); });
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
    std::string const best = bestOf(detector.members(), [&](std::string const& id) {
      if (id == self.id || isOf(replicas, id) || !detector.isAlive(now, id, options.lostMs)) {
        return notEligible;
      }
      return (inNewZone(replicas, id) ? 4 : 0) + (isOf(decided.backups, id) ? 2 : 0) +
             (isOf(decided.witnesses, id) ? 1 : 0);
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
    std::string const best = bestOf(detector.members(), [&](std::string const& id) {
      if (isOf(out, id) || !detector.isAlive(now, id, options.lostMs) || detector.superseded(now, id, options.lostMs)) {
        return notEligible;
      }
      return (inNewZone(out, id) ? 2 : 0) + (isOf(decided.witnesses, id) ? 1 : 0);
    });
    if (best.empty()) {
      break;
    }
    out.push_back(best);
  }
  for (std::string const& id : decided.witnesses) {
    if (out.size() < options.maxWitnesses && !isOf(out, id)) {
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
  std::vector<std::string> const& listed = decided.witnesses;
  bool const replaceable = std::any_of(choice.witnesses.begin(), choice.witnesses.end(),
                                       [&](std::string const& id) { return !isOf(listed, id); });
  bool const wiped = std::any_of(listed.begin(), listed.end(),
                                 [&](std::string const& id) { return detector.superseded(now, id, options.lostMs); });
  bool const lost = !detector.allAlive(now, listed, options.witnessGoneMs);
  return (replaceable && (wiped || lost)) || choice.backups.size() > decided.backups.size();
}

bool MembershipPlanner::spreadWanted(MembershipChoice const& choice) const {
  return choice.witnesses.size() > decided.witnesses.size() ||
         zoneCount(choice.witnesses) > zoneCount(decided.witnesses) ||
         zoneCount(replicasOf(self.id, choice.backups)) > zoneCount(replicasOf(self.id, decided.backups));
}

bool MembershipPlanner::successorKnown(std::vector<std::string> const& seats) const {
  return !bestOf(detector.members(), [&](std::string const& id) {
            bool const eligible = !isOf(seats, id) && detector.isAlive(now, id, options.lostMs) &&
                                  !detector.superseded(now, id, options.lostMs);
            return eligible ? 0 : notEligible;
          }).empty();
}

}  // namespace limeramp::replication
