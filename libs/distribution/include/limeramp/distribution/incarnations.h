#pragma once

#include "limeramp/messages/messages.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace limeramp::distribution {

/// The records of starts that nodes have vouched for (see docs/control.md, "Recovery without control"), one for each
/// node.
///
/// A set only grows: merging is commutative, associative and idempotent, so two holders that have heard the same
/// records hold the same set whatever the order. A digest names a set; two holders with one digest need not send each
/// other the records again.
class IncarnationRecords {
 public:
  /// The digest of a set without records. No digest is 0, which on the wire means "none given".
  static constexpr std::uint64_t emptyDigest = 1;

  /// Takes in records, whoever sent them.
  void merge(std::vector<messages::IncarnationRecord> const& received);

  /// Takes in the records of a sender whose set has `senderDigest` (0 from versions that give none). The sender leaves
  /// `heard` empty if it believes its records to be known here. False if its set may hold a record that this one lacks:
  /// then nothing that the sender confirms may be counted, since a record might overrule it.
  bool learn(std::uint64_t senderDigest, std::vector<messages::IncarnationRecord> const& received);

  /// Records that `node` runs as the start `boot`, with a higher rank than any start recorded for it before.
  void record(std::string const& node, std::uint64_t boot);

  /// Whether no record overrules the start `boot` of `node`.
  bool trusts(std::string const& node, std::uint64_t boot) const;

  /// Whether `boot` is the start recorded for `node`.
  bool holds(std::string const& node, std::uint64_t boot) const;

  /// Names the set, and its records by node.
  std::uint64_t digest() const { return digest_; }
  std::vector<messages::IncarnationRecord> list() const;

 private:
  void refreshDigest();

  std::map<std::string, messages::IncarnationRecord> records_;
  std::uint64_t digest_ = emptyDigest;
};

}  // namespace limeramp::distribution
