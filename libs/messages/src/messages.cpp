#include "limeramp/messages/messages.h"

#include <xxhash.h>

#include <array>
#include <atomic>
#include <cstdio>
#include <map>
#include <mutex>

namespace limeramp::messages {
namespace {

constexpr std::uint64_t firstMessagesWithSchema = 32;
constexpr std::uint64_t schemaInterval = 16;
constexpr std::size_t maxPeerSchemas = 256;

std::string digestOf(std::string const& schema) {
  std::array<char, 20> text{};
  std::snprintf(text.data(), text.size(), "%016llx",
                static_cast<unsigned long long>(XXH64(schema.data(), schema.size(), 0)));
  return text.data();
}

template <typename Kind>
std::string const& schemaDigestOf() {
  static std::string const digest = digestOf(schemaOf<Kind>());
  return digest;
}

// Whether the next message of the kind carries its schema. Counts the messages of all threads.
template <typename Kind>
bool nextCarriesSchema() {
  static std::atomic<std::uint64_t> sent = 0;
  std::uint64_t const number = sent++;
  return number < firstMessagesWithSchema || XXH64(&number, sizeof number, 0) % schemaInterval == 0;
}

// Schemas received from peers, by digest.
std::mutex peerSchemasMutex;
std::map<std::string, std::string> peerSchemas;

void storeSchema(std::string const& schema) {
  std::unique_lock<std::mutex> const lock(peerSchemasMutex);
  if (peerSchemas.size() < maxPeerSchemas) {
    peerSchemas.emplace(digestOf(schema), schema);
  }
}

std::optional<std::string> findSchema(std::string const& digest) {
  std::unique_lock<std::mutex> const lock(peerSchemasMutex);
  std::map<std::string, std::string>::const_iterator const found = peerSchemas.find(digest);
  return found == peerSchemas.end() ? std::nullopt : std::optional<std::string>(found->second);
}

// Fields added since the first version are absent from its records; zero bytes at the end read as their empty values.
std::string const absentFields(64, '\0');

// Decodes a record of the first version, which sent no schemas.
template <typename T>
absl::StatusOr<T> unpackFirstVersion(std::string_view bytes) {
  return unpack<T>(std::string(bytes) + absentFields);
}

template <std::size_t Index>
absl::StatusOr<Message> unpackMessage(std::string const& kind, std::string const& body, std::string const& schema) {
  if constexpr (Index == std::variant_size_v<Message>) {
    return absl::UnimplementedError("unknown kind " + kind.substr(0, 40));
  } else {
    using Kind = std::variant_alternative_t<Index, Message>;
    std::size_t const separator = kind.find('#');
    if (kind.substr(0, separator) != Kind::name) {
      return unpackMessage<Index + 1>(kind, body, schema);
    }
    if (separator != std::string::npos && kind.substr(separator + 1) != schemaDigestOf<Kind>()) {
      std::optional<std::string> const known = findSchema(kind.substr(separator + 1));
      return known ? unpackMessage<Index>(Kind::name, body, *known) : absl::UnavailableError("a schema not heard yet");
    }
    absl::StatusOr<Kind> value = separator != std::string::npos ? unpack<Kind>(body)
                                 : schema.empty()               ? unpackFirstVersion<Kind>(body)
                                                                : unpack<Kind>(body, schema);
    if (value.ok() && !schema.empty() && schema != schemaOf<Kind>()) {
      storeSchema(schema);
    }
    if (!value.ok()) {
      return value.status();
    }
    return Message(*std::move(value));
  }
}

}  // namespace

std::string encodeEnvelope(PeerMessage const& outgoing) {
  Envelope envelope;
  envelope.fleet = outgoing.fleet;
  envelope.from = outgoing.from;
  envelope.address = outgoing.address;
  std::visit(
      [&](auto const& message) {
        using Kind = std::decay_t<decltype(message)>;
        bool const withSchema = nextCarriesSchema<Kind>();
        envelope.kind = withSchema ? std::string(Kind::name) : std::string(Kind::name) + "#" + schemaDigestOf<Kind>();
        envelope.body = pack(message);
        envelope.schema = withSchema ? schemaOf<Kind>() : "";
      },
      outgoing.message);
  return withChecksum(pack(envelope));
}

absl::StatusOr<PeerMessage> decodeEnvelope(std::string_view bytes) {
  std::optional<std::string_view> const payload = verifyChecksum(bytes);
  if (!payload) {
    return absl::DataLossError("spoilt on the way");
  }
  absl::StatusOr<Envelope> envelope = unpack<Envelope>(*payload);
  if (!envelope.ok()) {
    envelope = unpackFirstVersion<Envelope>(*payload);
  }
  if (!envelope.ok()) {
    return envelope.status();
  }
  if (envelope->protocol != protocol) {
    return absl::UnimplementedError("protocol " + std::to_string(envelope->protocol));
  }
  absl::StatusOr<Message> message = unpackMessage<0>(envelope->kind, envelope->body, envelope->schema);
  if (!message.ok()) {
    return message.status();
  }
  return PeerMessage{envelope->fleet, envelope->from, envelope->address, *std::move(message)};
}

}  // namespace limeramp::messages
