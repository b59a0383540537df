#pragma once

#include "limeramp/messages/messages.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace limeramp::distribution {

/// The current incarnation (start) of each node, as recorded by other nodes; at most one record for each node. See
/// docs/control.md, "Recovery without control".
///
/// A set only grows: merging is commutative, associative and idempotent, so two nodes that have received the same
/// records hold the same set in whatever order they arrived. The digest identifies a set; two nodes with equal digests
/// need not send each other the records again.
class IncarnationRecords {
 public:
  /// The digest of the empty set. No set has the digest 0, which on the wire means "none given".
  static constexpr std::uint64_t emptyDigest = 1;

  /// Merges records from any sender.
  void merge(std::vector<messages::IncarnationRecord> const& received);

  /// Merges the records of a sender whose set has `senderDigest` (0 from versions that give none). The sender leaves
  /// `received` empty if it believes that this node has its records. Returns false if the sender's set may hold a
  /// record that this one lacks: no confirmation from the sender may be counted then, since that record might overrule
  /// it.
  bool learn(std::uint64_t senderDigest, std::vector<messages::IncarnationRecord> const& received);

  /// Records `boot` as the incarnation of `node`, with a higher rank than any recorded for it before.
  void record(std::string const& node, std::uint64_t boot);

  /// Whether no record overrules the incarnation `boot` of `node`.
  bool trusts(std::string const& node, std::uint64_t boot) const;

  /// Whether `boot` is the incarnation recorded for `node`.
  bool holds(std::string const& node, std::uint64_t boot) const;

  /// Identifies the set: equal sets have equal digests.
  std::uint64_t digest() const { return digest_; }
  /// The records, ordered by node.
  std::vector<messages::IncarnationRecord> list() const;

 private:
  void refreshDigest();

  std::map<std::string, messages::IncarnationRecord> records_;
  std::uint64_t digest_ = emptyDigest;
};

}  // namespace limeramp::distribution
