#include "explorer/history.h"

#include "limeramp/messages/state_digest.h"

#include <algorithm>

namespace limeramp::explorer {
namespace {

bool oneContinuesOther(std::string const& left, std::string const& right) {
  return left.starts_with(right) || right.starts_with(left);
}

}  // namespace

void History::fail(std::string text) {
  if (violation.empty()) {
    violation = std::move(text);
  }
}

void History::onDecided(std::string const& member, messages::EpochRecord const& record) {
  if (record.epoch > 0 && !(records.emplace(record.epoch, record).first->second == record)) {
    fail(member + " holds a second record of epoch " + std::to_string(record.epoch));
  }
}

void History::onActive(std::string const& member, std::uint64_t epoch, std::string const& document) {
  begunWith.emplace(epoch, document);
  for (std::pair<std::uint64_t const, std::string> const& entry : acknowledgedIn) {
    if (entry.first < epoch && !document.starts_with(entry.second)) {
      fail(member + " begins epoch " + std::to_string(epoch) + " with '" + document + "' without '" + entry.second +
           "', acknowledged in epoch " + std::to_string(entry.first));
    }
  }
}

void History::onCommitted(std::string const& member, messages::State const& state) {
  std::string const epoch = std::to_string(state.epoch);
  if (acknowledgers.emplace(state.epoch, member).first->second != member) {
    fail(member + " acknowledges in epoch " + epoch + " after " + acknowledgers[state.epoch]);
  }
  std::map<std::uint64_t, messages::EpochRecord>::const_iterator const record = records.find(state.epoch);
  if (record == records.end() || record->second.primary != member) {
    fail(member + " acknowledges in epoch " + epoch + ", which does not name it as primary");
  }
  if (changes.emplace(std::pair(state.epoch, state.sequence), state.document).first->second != state.document) {
    fail(member + " acknowledges a second change as " + epoch + "." + std::to_string(state.sequence));
  }
  if (!oneContinuesOther(state.document, acknowledged)) {
    fail(member + " acknowledges '" + state.document + "' against '" + acknowledged + "'");
  }
  for (std::pair<std::uint64_t const, std::string> const& entry : begunWith) {
    if (entry.first > state.epoch && !entry.second.starts_with(state.document)) {
      fail(member + " acknowledges '" + state.document + "' in epoch " + epoch + " after epoch " +
           std::to_string(entry.first) + " began with '" + entry.second + "'");
    }
  }
  std::string& newest = acknowledgedIn[state.epoch];
  newest = state.document.size() > newest.size() ? state.document : newest;
  acknowledged = state.document.size() > acknowledged.size() ? state.document : acknowledged;
}

void History::onVote(std::string const& member, bool mayFound, std::uint64_t slot) {
  if (slot <= 1) {
    if (!mayFound) {
      fail(member + " votes in a founding without the memory of its earlier votes");
    }
    return;
  }
  std::map<std::uint64_t, messages::EpochRecord>::const_iterator const record = records.find(slot - 1);
  if (record == records.end() ||
      std::count(record->second.witnesses.begin(), record->second.witnesses.end(), member) == 0) {
    fail(member + " votes on epoch " + std::to_string(slot) + " and is no witness of the one before");
  }
}

std::uint64_t History::digest() const {
  messages::StateDigest digest({}, std::chrono::microseconds(0));
  digest.add(acknowledged);
  digest.add(records);
  digest.add(acknowledgers);
  digest.add(acknowledgedIn);
  digest.add(begunWith);
  digest.add(changes);
  return digest.finish();
}

}  // namespace limeramp::explorer
