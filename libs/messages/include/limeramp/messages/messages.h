#pragma once

#include "limeramp/messages/forwarding.h"
#include "limeramp/messages/membership.h"
#include "limeramp/messages/replication.h"
#include "limeramp/messages/service_tables.h"
#include "limeramp/messages/state.h"
#include "limeramp/messages/state_delivery.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

/// All messages between the processes of a fleet, and the envelope in which they are sent.
///
/// Each message is one Avro record; `describe` lists its fields for schema, encoding and decoding. The quoted names are
/// part of the protocol: neighbouring versions match each other's fields by them, so they must not change.
namespace limeramp::messages {

/// Version of the envelope. A process ignores envelopes of any other version.
constexpr std::int64_t protocol = 1;

/// Any message between two processes. Types may be added or reordered, since a message is identified by its name.
using Message = std::variant<Shuffle, Prepare, PrepareResponse, Accept, AcceptResponse, Heartbeat, Sync, Synced,
                             StateRequest, StateResponse, TableRequest, TableResponse, StateUpdate>;

/// An encoded message with its sender and what the receiver needs to decode it.
struct Envelope {
  static constexpr char const* name = "Envelope";
  std::int64_t protocol = messages::protocol;
  std::string fleet;
  std::string from;
  std::string address;
  std::string kind;
  std::string body;
  std::string schema;
  template <typename V, typename T>
  static void describe(V& visit, T& self) {
    visit("protocol", self.protocol);
    visit("fleet", self.fleet);
    visit("from", self.from);
    visit("address", self.address);
    visit("kind", self.kind);
    visit("body", self.body);
    visit("schema", self.schema);
  }
};

/// A message with its sender, before encoding and after decoding.
struct PeerMessage {
  std::string fleet;
  std::string from;
  std::string address;
  Message message;
};

/// Encodes a message. The first messages of each kind and some of the later ones carry their schema; the others name it
/// by digest in `kind`. Thread-safe.
std::string encodeEnvelope(PeerMessage const& outgoing);

/// Decodes an envelope of this or a neighbouring version. DataLoss: damaged in transit; Unimplemented: another protocol
/// version or an unknown kind; Unavailable: its schema has not arrived yet, but a later message will carry it;
/// InvalidArgument: malformed. Thread-safe.
absl::StatusOr<PeerMessage> decodeEnvelope(std::string_view bytes);

}  // namespace limeramp::messages
