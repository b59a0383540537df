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
      std::string text = member;
      text.append(" begins epoch ").append(std::to_string(epoch)).append(" with '").append(document);
      text.append("' without '").append(entry.second);
      text.append("', acknowledged in epoch ").append(std::to_string(entry.first));
      fail(text);
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
  for (std::pair<std::uint64_t const, std::string> const& entry : begunWith) {
    if (entry.first > state.epoch && !entry.second.starts_with(state.document)) {
      std::string text = member;
      text.append(" acknowledges '").append(state.document).append("' in epoch ").append(epoch);
      text.append(" after epoch ").append(std::to_string(entry.first));
      text.append(" began with '").append(entry.second).append("'");
      fail(text);
    }
  }
  noteInForce(member, state.epoch, state.document);
}

void History::onCall(std::uint64_t ticket, std::string const& order, std::uint64_t baseRevision) {
  OrderOutcome& outcome = orders[order];
  outcome.baseRevision = baseRevision;
  ++outcome.calls;
  calls[ticket] = {order, acknowledged.size()};
}

void History::onRead(std::uint64_t ticket) { calls[ticket] = {"", acknowledged.size()}; }

void History::noteInForce(std::string const& member, std::uint64_t epoch, std::string const& document) {
  if (!oneContinuesOther(document, acknowledged)) {
    fail(member + " acknowledges '" + document + "' against '" + acknowledged + "'");
  }
  checkOrdersIn(document);
  std::string& newest = acknowledgedIn[epoch];
  newest = document.size() > newest.size() ? document : newest;
  acknowledged = document.size() > acknowledged.size() ? document : acknowledged;
}

void History::onAnswer(std::string const& member, control::OrderOutcome const& answer,
                       messages::State const& published) {
  std::map<std::uint64_t, Call>::const_iterator const call = calls.find(answer.ticket);
  if (call == calls.end()) {
    fail(member + " answers a call twice");
    return;
  }
  std::string const order = call->second.order;
  calls.erase(call);
  if (order.empty()) {
    return;
  }
  OrderOutcome& outcome = orders[order];
  if (answer.verdict == control::OrderStatus::taken) {
    noteInForce(member, published.epoch, published.document);
  }
  std::vector<std::string> const inForce = changesOf(acknowledged);
  std::vector<std::string>::const_iterator const place = std::find(inForce.begin(), inForce.end(), order);
  bool const isTaken = place != inForce.end();
  if (answer.verdict == control::OrderStatus::taken) {
    if (!isTaken || outcome.refused) {
      fail(member + " acknowledges order " + order + (isTaken ? " after it was refused" : " and does not hold it"));
    } else if (static_cast<std::uint64_t>(place - inForce.begin()) != outcome.baseRevision) {
      fail(member + " acknowledges order " + order + " on another base than it names");
    }
    if (outcome.takenAs.value_or(answer.version) != answer.version) {
      fail(member + " acknowledges a repetition of order " + order + " as " + answer.version.text() + ", not as " +
           outcome.takenAs->text());
    }
    outcome.takenAs = answer.version;
  } else if (answer.verdict == control::OrderStatus::refused || answer.verdict == control::OrderStatus::conflict) {
    if (isTaken) {
      fail(member + " refuses order " + order + ", which was taken: " + answer.reason);
    }
    outcome.refused = true;
  } else if (answer.verdict == control::OrderStatus::notRun) {
    ++outcome.callsNotRun;
    if (isTaken && outcome.callsNotRun == outcome.calls) {
      fail(member + " says that order " + order + " has not run, and it is in force");
    }
  }
}

void History::onReadBack(std::string const& member, std::uint64_t epoch, control::ConfigurationRead const& answer) {
  std::map<std::uint64_t, Call>::const_iterator const call = calls.find(answer.ticket);
  if (call == calls.end()) {
    fail(member + " answers a read twice");
    return;
  }
  std::string const before = acknowledged.substr(0, call->second.acknowledgedBefore);
  calls.erase(call);
  if (!answer.document.starts_with(before)) {
    fail(member + " reads '" + answer.document + "' back, '" + before + "' was acknowledged before and '" +
         acknowledged + "' since");
  }
  noteInForce(member, epoch, answer.document);
}

void History::checkOrdersIn(std::string const& document) {
  std::vector<std::string> const changesInIt = changesOf(document);
  for (std::pair<std::string const, OrderOutcome> const& entry : orders) {
    std::ptrdiff_t const times = std::count(changesInIt.begin(), changesInIt.end(), entry.first);
    if (times > 1) {
      fail("order " + entry.first + " is carried out twice in '" + document + "'");
    } else if (times == 1 && entry.second.refused) {
      fail("order " + entry.first + " was refused and is in force in '" + document + "'");
    } else if (times == 1 && entry.second.calls == entry.second.callsNotRun) {
      fail("no call of order " + entry.first + " has run, and it is in force in '" + document + "'");
    }
  }
}

void History::onVote(std::string const& member, bool mayFound, std::uint64_t slot) {
  if (slot <= 1) {
    if (!mayFound) {
      fail(member + " votes in the first epoch without the record of its earlier votes");
    }
    return;
  }
  std::map<std::uint64_t, messages::EpochRecord>::const_iterator const record = records.find(slot - 1);
  if (record == records.end() ||
      std::count(record->second.witnesses.begin(), record->second.witnesses.end(), member) == 0) {
    fail(member + " votes on epoch " + std::to_string(slot) + " and is no witness of the one before");
  }
}

std::vector<std::string> changesOf(std::string const& document) {
  std::vector<std::string> out;
  for (std::size_t at = 0; at < document.size();) {
    std::size_t const end = document.find(',', at);
    out.push_back(document.substr(at, end - at));
    at = end + 1;
  }
  return out;
}

std::uint64_t History::digest() const {
  messages::StateDigest digest({}, std::chrono::microseconds(0));
  digest.add(acknowledged);
  digest.add(records);
  digest.add(acknowledgers);
  digest.add(acknowledgedIn);
  digest.add(begunWith);
  digest.add(changes);
  for (std::pair<std::string const, OrderOutcome> const& entry : orders) {
    digest.add(entry.first);
    digest.add(entry.second.baseRevision);
    digest.add(entry.second.calls);
    digest.add(entry.second.callsNotRun);
    digest.add(entry.second.refused);
    digest.add(entry.second.takenAs.has_value());
  }
  for (std::pair<std::uint64_t const, Call> const& entry : calls) {
    digest.add(entry.first);
    digest.add(entry.second.order);
    digest.add(entry.second.acknowledgedBefore);
  }
  return digest.finish();
}

}  // namespace limeramp::explorer
