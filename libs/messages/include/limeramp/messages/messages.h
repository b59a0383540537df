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

/// All messages between the processes of a fleet, and the envelope in which they travel.
///
/// Each message is one Avro record; `describe` names its fields once for schema, writing and reading. The names in
/// quotes are part of the protocol: neighbouring versions read each other by them, so they outlive renames in the code.
namespace limeramp::messages {

/// The version of the envelope. A process leaves out envelopes of another one.
constexpr std::int64_t protocol = 1;

/// Any message between two processes. Order and number of the kinds may change: a message is known by its name.
using Message = std::variant<Shuffle, Prepare, PrepareResponse, Accept, AcceptResponse, Heartbeat, Sync, Synced,
                             StateRequest, StateResponse, TableRequest, TableResponse, StateUpdate>;

/// What travels between two processes: the message, packed, with what is needed to read it.
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

/// A message with its sender, as it is before it is packed and after it was read.
struct PeerMessage {
  std::string fleet;
  std::string from;
  std::string address;
  Message message;
};

/// Packs a message. Its schema goes along with the first ones of each kind and with some later ones; otherwise the
/// kind names the schema by digest. Safe to call from any thread.
std::string encodeEnvelope(PeerMessage const& received);

/// Reads what encodeEnvelope made, also by a neighbouring version. DataLoss: damaged on the way; Unimplemented: another
/// protocol or an unknown kind; Unavailable: its schema has not arrived yet, a later message brings it;
/// InvalidArgument: malformed. Safe to call from any thread.
absl::StatusOr<PeerMessage> decodeEnvelope(std::string_view bytes);

}  // namespace limeramp::messages
