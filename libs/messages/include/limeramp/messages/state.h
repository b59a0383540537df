#pragma once

#include "limeramp/messages/codec.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

/// The replicated state and its versions. Controllers store the same records on disk.
namespace limeramp::messages {

/// One node of the roster, which shares the fleet's duties. `slot` is the number of its share of the retry budget.
struct RosterEntry {
  static constexpr char const* name = "RosterEntry";
  std::string node;
  std::string address;
  std::string zone;
  std::uint64_t slot = 0;
  bool operator==(RosterEntry const&) const = default;
  template <typename V, typename T>
  static void describe(V& visit, T& self) {
    visit("node", self.node);
    visit("address", self.address);
    visit("zone", self.zone);
    visit("slot", self.slot);
  }
};

/// Whether the roster has a node of this name, at any address.
bool isListed(std::vector<RosterEntry> const& roster, std::string const& node);

/// Records one change that was applied, so that every later primary recognises a repetition of it.
struct Receipt {
  static constexpr char const* name = "Receipt";
  std::string change;
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
  std::string digest;
  std::uint64_t revision = 0;
  bool operator==(Receipt const&) const = default;
  template <typename V, typename T>
  static void describe(V& visit, T& self) {
    visit("change", self.change);
    visit("epoch", self.epoch);
    visit("sequence", self.sequence);
    visit("digest", self.digest);
    visit("revision", self.revision);
  }
};

/// Orders replicated states: by the epoch whose primary wrote them, then by their sequence within it. Versions are
/// unique, since an epoch has one primary, which numbers its changes without gaps.
struct StateVersion {
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
  auto operator<=>(StateVersion const&) const = default;
};

/// The state that the controllers replicate: the configuration, the roster, evacuated zones and receipts of changes.
/// Invariant: `epoch` and `sequence` are the state's version; configuration and roster carry the version that last
/// changed them.
struct State {
  static constexpr char const* name = "State";
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
  std::uint64_t configurationEpoch = 0;
  std::uint64_t configurationSequence = 0;
  std::string document;
  std::vector<RosterEntry> roster;
  std::vector<RosterEntry> priorRoster;
  std::uint64_t rosterEpoch = 0;
  std::uint64_t rosterSequence = 0;
  std::vector<Receipt> receipts;
  std::uint64_t revision = 0;
  std::vector<std::string> evacuatedZones;
  std::uint64_t forgottenEpoch = 0;
  std::uint64_t forgottenSequence = 0;
  std::uint64_t forgottenRevision = 0;
  /// Version of the whole state.
  StateVersion version() const { return {epoch, sequence}; }
  bool operator==(State const&) const = default;
  template <typename V, typename T>
  static void describe(V& visit, T& self) {
    visit("epoch", self.epoch);
    visit("sequence", self.sequence);
    visit("configurationEpoch", self.configurationEpoch);
    visit("configurationSequence", self.configurationSequence);
    visit("document", self.document);
    visit("roster", self.roster);
    visit("priorRoster", self.priorRoster);
    visit("rosterEpoch", self.rosterEpoch);
    visit("rosterSequence", self.rosterSequence);
    visit("receipts", self.receipts);
    visit("revision", self.revision);
    visit("emptiedZones", self.evacuatedZones);
    visit("forgottenEpoch", self.forgottenEpoch);
    visit("forgottenSequence", self.forgottenSequence);
    visit("forgottenRevision", self.forgottenRevision);
  }
};

/// The versions of the parts of a State that change independently.
struct PartVersions {
  static constexpr char const* name = "PartVersions";
  std::uint64_t configurationEpoch = 0;
  std::uint64_t configurationSequence = 0;
  std::uint64_t rosterEpoch = 0;
  std::uint64_t rosterSequence = 0;
  bool operator==(PartVersions const&) const = default;
  template <typename V, typename T>
  static void describe(V& visit, T& self) {
    visit("configurationEpoch", self.configurationEpoch);
    visit("configurationSequence", self.configurationSequence);
    visit("rosterEpoch", self.rosterEpoch);
    visit("rosterSequence", self.rosterSequence);
  }
};

}  // namespace limeramp::messages
