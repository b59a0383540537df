#include "limeramp/control/state_bounds.h"

namespace limeramp::control {
namespace {

/// The longest encoding of a number, or of the length before a text or an array.
constexpr std::size_t maxNumberBytes = 10;
constexpr std::size_t rosterTexts = 3;
constexpr std::size_t maxRosterEntryBytes = rosterTexts * (maxRosterTextBytes + maxNumberBytes) + maxNumberBytes;
/// A state holds the current roster and the prior one.
constexpr std::size_t rosters = 2;
/// A receipt holds two digests and three numbers; receipts of versions before 0.2 hold the change's id of up to 128
/// bytes.
constexpr std::size_t maxReceiptBytes = 256;
constexpr std::size_t maxZoneNameBytes = 64;
/// The numbers of a state and the lengths of its fields.
constexpr std::size_t fixedStateBytes = 256;
/// The records of the controller's identity, its vote and its known members, and the schemas of all records.
constexpr std::size_t otherRecordsBytes = 128 << 10;

}  // namespace

std::size_t maxStateBytes(ConfigServiceOptions const& options) {
  return fixedStateBytes + options.maxDocumentBytes + rosters * options.maxNodes * maxRosterEntryBytes +
         options.maxReceipts * maxReceiptBytes + options.maxEvacuatedZones * (maxZoneNameBytes + maxNumberBytes);
}

std::size_t minStoreFileBytes(ConfigServiceOptions const& options) {
  return maxStateBytes(options) + otherRecordsBytes;
}

}  // namespace limeramp::control
