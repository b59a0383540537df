#include "limeramp/distribution/state_update.h"

#include <algorithm>
#include <unordered_map>
#include <unordered_set>

namespace limeramp::distribution {
namespace {

constexpr std::size_t maxRosters = 8;
constexpr std::size_t maxRosterEntries = 4000;

messages::StateVersion rosterVersionOf(messages::PartVersions const& parts) {
  return {parts.rosterEpoch, parts.rosterSequence};
}

messages::StateVersion configurationVersionOf(messages::PartVersions const& parts) {
  return {parts.configurationEpoch, parts.configurationSequence};
}

}  // namespace

messages::PartVersions partVersionsOf(std::optional<messages::State> const& state) {
  if (!state) {
    return {};
  }
  return {state->configurationEpoch, state->configurationSequence, state->rosterEpoch, state->rosterSequence};
}

messages::RosterDifference differenceOf(std::vector<messages::RosterEntry> const& from,
                                        std::vector<messages::RosterEntry> const& to) {
  std::unordered_map<std::string, messages::RosterEntry const*> entriesByNode;
  for (messages::RosterEntry const& entry : from) {
    entriesByNode.emplace(entry.node, &entry);
  }
  messages::RosterDifference out;
  for (messages::RosterEntry const& entry : to) {
    std::unordered_map<std::string, messages::RosterEntry const*>::iterator const found =
        entriesByNode.find(entry.node);
    if (found == entriesByNode.end() || *found->second != entry) {
      out.put.push_back(entry);
    }
    if (found != entriesByNode.end()) {
      entriesByNode.erase(found);
    }
  }
  for (messages::RosterEntry const& entry : from) {
    if (entriesByNode.contains(entry.node)) {
      out.removed.push_back(entry.node);
    }
  }
  return out;
}

std::vector<messages::RosterEntry> applyDifference(std::vector<messages::RosterEntry> roster,
                                                   messages::RosterDifference const& difference) {
  std::unordered_set<std::string> const removed(difference.removed.begin(), difference.removed.end());
  std::erase_if(roster, [&](messages::RosterEntry const& entry) { return removed.contains(entry.node); });
  std::unordered_map<std::string, std::size_t> indexByNode;
  for (std::size_t index = 0; index < roster.size(); ++index) {
    indexByNode.emplace(roster[index].node, index);
  }
  for (messages::RosterEntry const& entry : difference.put) {
    std::unordered_map<std::string, std::size_t>::const_iterator const found = indexByNode.find(entry.node);
    if (found == indexByNode.end()) {
      indexByNode.emplace(entry.node, roster.size());
      roster.push_back(entry);
    } else {
      roster[found->second] = entry;
    }
  }
  return roster;
}

void RosterHistory::remember(messages::State const& state) {
  messages::StateVersion const version{state.rosterEpoch, state.rosterSequence};
  if (!entries_.empty() && entries_.back().version == version) {
    return;
  }
  std::erase_if(entries_, [&](Entry const& entry) { return entry.version == version; });
  entries_.push_back({version, state.roster});
  std::size_t totalEntries = 0;
  for (Entry const& entry : entries_) {
    totalEntries += entry.roster.size();
  }
  while (entries_.size() > 2 && (entries_.size() > maxRosters || totalEntries > maxRosterEntries)) {
    totalEntries -= entries_.front().roster.size();
    entries_.pop_front();
  }
}

std::vector<messages::RosterEntry> const* RosterHistory::find(messages::StateVersion const& version) const {
  static std::vector<messages::RosterEntry> const empty;
  if (version == messages::StateVersion{}) {
    return &empty;
  }
  for (Entry const& entry : entries_) {
    if (entry.version == version) {
      return &entry.roster;
    }
  }
  return nullptr;
}

messages::StateUpdate updateFor(messages::State const& state, messages::PartVersions const& parts,
                                RosterHistory const& history, messages::StateResponse response) {
  messages::StateUpdate update;
  update.response = std::move(response);
  update.response.epoch = state.epoch;
  update.response.sequence = state.sequence;
  update.revision = state.revision;
  update.evacuatedZones = state.evacuatedZones;
  update.parts = partVersionsOf(state);
  if (configurationVersionOf(parts) != configurationVersionOf(update.parts)) {
    update.document = state.document;
  }
  messages::StateVersion const base = rosterVersionOf(parts);
  std::vector<messages::RosterEntry> const* const known =
      base == rosterVersionOf(update.parts) ? &state.roster : history.find(base);
  if (known == nullptr) {
    update.roster = differenceOf({}, state.roster);
  } else {
    update.rosterBaseEpoch = base.epoch;
    update.rosterBaseSequence = base.sequence;
    update.roster = differenceOf(*known, state.roster);
  }
  if (base != rosterVersionOf(update.parts)) {
    update.priorRoster = differenceOf(state.roster, state.priorRoster);
  }
  return update;
}

std::optional<messages::State> applyUpdate(std::optional<messages::State> const& current,
                                           messages::StateUpdate const& update) {
  messages::PartVersions const has = partVersionsOf(current);
  messages::StateVersion const base{update.rosterBaseEpoch, update.rosterBaseSequence};
  bool const rosterKnown = base == messages::StateVersion{} || base == rosterVersionOf(has);
  bool const documentKnown = update.document || configurationVersionOf(has) == configurationVersionOf(update.parts);
  if (!rosterKnown || !documentKnown) {
    return std::nullopt;
  }
  messages::State next;
  next.epoch = update.response.epoch;
  next.sequence = update.response.sequence;
  next.configurationEpoch = update.parts.configurationEpoch;
  next.configurationSequence = update.parts.configurationSequence;
  next.document = update.document ? *update.document : current ? current->document : "";
  next.revision = update.revision;
  next.evacuatedZones = update.evacuatedZones;
  next.rosterEpoch = update.parts.rosterEpoch;
  next.rosterSequence = update.parts.rosterSequence;
  bool const fromEmpty = base == messages::StateVersion{};
  if (!fromEmpty && base == rosterVersionOf(update.parts)) {
    next.roster = current->roster;
    next.priorRoster = current->priorRoster;
    return next;
  }
  next.roster = applyDifference(fromEmpty ? std::vector<messages::RosterEntry>{} : current->roster, update.roster);
  next.priorRoster = applyDifference(next.roster, update.priorRoster);
  return next;
}

}  // namespace limeramp::distribution
