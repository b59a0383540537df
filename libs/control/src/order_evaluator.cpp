#include "limeramp/control/order_evaluator.h"

#include "limeramp/control/change_receipts.h"

#include <algorithm>
#include <optional>

namespace limeramp::control {
namespace {

config::Version versionOf(messages::State const& state) {
  return {state.configurationEpoch, state.configurationSequence};
}

Rejection refusal(std::string path, std::string reason) {
  return {OrderStatus::refused, "", {{std::move(path), std::move(reason)}}};
}

Rejection tooLong(std::size_t maximum) { return refusal("/", "longer than " + std::to_string(maximum) + " bytes"); }

Rejection forgottenRejection() {
  return {OrderStatus::unknown, "the change is older than all that are remembered: it may have been taken", {}};
}

/// True for a change without a base whose key is derived from its content, if other changes were taken since. Nothing
/// then distinguishes a late repetition from an order to return to this configuration.
bool isAmbiguous(Change const& change, ReceiptLookup const& receipt, messages::State const& state) {
  return change.keyedByContentOnly && receipt.revision == 0 && receipt.version != versionOf(state);
}

std::optional<Rejection> baseConflict(Change const& change, messages::State const& state) {
  if (change.base && *change.base != versionOf(state)) {
    return Rejection{OrderStatus::conflict, "the version named is not the current one", {}};
  }
  if (change.baseRevision && *change.baseRevision != state.revision) {
    return Rejection{OrderStatus::conflict, "the revision named is not the current one", {}};
  }
  return std::nullopt;
}

/// Refuses a change that names a revision, as its own or as its base, and does not raise the current one. Otherwise one
/// revision could be the base of two changes.
std::optional<Rejection> staleRevision(Change const& change, std::uint64_t revision, messages::State const& state) {
  bool const namesRevision = revision > 0 || change.baseRevision.has_value();
  if (!namesRevision || revision > state.revision) {
    return std::nullopt;
  }
  return refusal("/revision", "is not above the current one, " + std::to_string(state.revision));
}

}  // namespace

OrderEvaluator::OrderEvaluator(ConfigServiceOptions const& options, config::ConfigSchema schema)
    : options_(options), schema_(std::move(schema)) {}

Evaluation OrderEvaluator::evaluateZone(ZoneOrder const& order, messages::State const& state) const {
  std::vector<std::string> const& zones = state.evacuatedZones;
  bool const evacuated = std::find(zones.begin(), zones.end(), order.zone) != zones.end();
  if (evacuated == order.evacuated) {
    return AlreadyTaken{versionOf(state)};
  }
  if (order.evacuated && zones.size() >= options_.maxEvacuatedZones) {
    return refusal("/", "more than " + std::to_string(options_.maxEvacuatedZones) + " zones would be emptied");
  }
  NewState out{state};
  if (order.evacuated) {
    out.next.evacuatedZones.push_back(order.zone);
  } else {
    std::erase(out.next.evacuatedZones, order.zone);
  }
  return out;
}

Evaluation OrderEvaluator::evaluate(EvaluateOrder const& request) const {
  Change const& change = request.order;
  messages::State const& state = request.state;
  ReceiptLookup const receipt = findReceipt(state, change);
  if (receipt.match == ReceiptMatch::otherContent) {
    return Rejection{OrderStatus::refused, "the change id was used for another change", {}};
  }
  if (receipt.match == ReceiptMatch::same && isAmbiguous(change, receipt, state)) {
    return Rejection{OrderStatus::unknown,
                     "this change was taken as " + receipt.version.text() +
                         ", and others since: name a version or a change id to bring it back",
                     {}};
  }
  if (receipt.match == ReceiptMatch::same) {
    return AlreadyTaken{receipt.version};
  }
  return evaluateNew(change, state, request.epoch);
}

Evaluation OrderEvaluator::evaluateNew(Change const& change, messages::State const& state, std::uint64_t epoch) const {
  if (std::optional<Rejection> const conflict = baseConflict(change, state)) {
    return mayBeForgotten(state, change, 0, options_.maxReceipts) ? forgottenRejection() : *conflict;
  }
  std::variant<std::string, Rejection> document = resultingDocument(change, state);
  if (Rejection* const rejection = std::get_if<Rejection>(&document)) {
    return std::move(*rejection);
  }
  config::CheckedConfiguration checked = schema_.check(std::get<std::string>(document));
  if (!checked.configuration) {
    return Rejection{OrderStatus::refused, "", std::move(checked.problems)};
  }
  std::uint64_t const revision = checked.configuration->revision;
  if (std::optional<Rejection> const stale = staleRevision(change, revision, state)) {
    return mayBeForgotten(state, change, revision, options_.maxReceipts) ? forgottenRejection() : *stale;
  }
  NewState out{state};
  out.next.document = std::get<std::string>(std::move(document));
  out.next.revision = revision > 0 ? revision : state.revision;
  out.next.configurationEpoch = epoch;
  out.next.configurationSequence = state.sequence + 1;
  addReceipt(out.next, change, revision, options_.maxReceipts);
  return out;
}

std::variant<std::string, Rejection> OrderEvaluator::resultingDocument(Change const& change,
                                                                       messages::State const& state) const {
  if (change.body.size() > options_.maxDocumentBytes) {
    return tooLong(options_.maxDocumentBytes);
  }
  if (!change.patch && schema_.verbatim) {
    return change.body;
  }
  if (!change.patch) {
    config::CheckedConfiguration checked = schema_.check(change.body);
    if (!checked.configuration) {
      return Rejection{OrderStatus::refused, "", std::move(checked.problems)};
    }
  }
  absl::StatusOr<std::string> merged = schema_.merge(change.patch ? state.document : "", change.body);
  if (!merged.ok()) {
    return refusal("/", std::string(merged.status().message()));
  }
  if (merged->size() > options_.maxDocumentBytes) {
    return tooLong(options_.maxDocumentBytes);
  }
  return *std::move(merged);
}

}  // namespace limeramp::control
