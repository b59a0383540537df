#include "limeramp/messages/messages.h"

#include <xxhash.h>

#include <array>
#include <atomic>
#include <cstdio>
#include <map>
#include <mutex>

namespace limeramp::messages {
namespace {

constexpr std::uint64_t schemaAlwaysSentFirst = 32;
constexpr std::uint64_t schemaSentOneIn = 16;
constexpr std::size_t maxSchemas = 256;

std::string digestOf(std::string const& schema) {
  std::array<char, 20> text{};
  std::snprintf(text.data(), text.size(), "%016llx",
                static_cast<unsigned long long>(XXH64(schema.data(), schema.size(), 0)));
  return text.data();
}

template <typename Kind>
std::string const& digestOfKind() {
  static std::string const digest = digestOf(schemaOf<Kind>());
  return digest;
}

template <typename Kind>
bool carriesSchema() {
  static std::atomic<std::uint64_t> sent = 0;
  std::uint64_t const number = sent++;
  return number < schemaAlwaysSentFirst || XXH64(&number, sizeof number, 0) % schemaSentOneIn == 0;
}

std::mutex schemasMutex;
std::map<std::string, std::string> schemas;

void remember(std::string const& schema) {
  std::unique_lock<std::mutex> const lock(schemasMutex);
  if (schemas.size() < maxSchemas) {
    schemas.emplace(digestOf(schema), schema);
  }
}

std::optional<std::string> recall(std::string const& digest) {
  std::unique_lock<std::mutex> const lock(schemasMutex);
  std::map<std::string, std::string>::const_iterator const found = schemas.find(digest);
  return found == schemas.end() ? std::nullopt : std::optional<std::string>(found->second);
}

std::string const absentTail(64, '\0');

template <typename T>
absl::StatusOr<T> unpackFirstKind(std::string_view bytes) {
  return unpack<T>(std::string(bytes) + absentTail);
}

template <std::size_t Index>
absl::StatusOr<Message> open(std::string const& kind, std::string const& body, std::string const& schema) {
  if constexpr (Index == std::variant_size_v<Message>) {
    return absl::UnimplementedError("unknown kind " + kind.substr(0, 40));
  } else {
    using Kind = std::variant_alternative_t<Index, Message>;
    std::size_t const separator = kind.find('#');
    if (kind.substr(0, separator) != Kind::name) {
      return open<Index + 1>(kind, body, schema);
    }
    if (separator != std::string::npos && kind.substr(separator + 1) != digestOfKind<Kind>()) {
      std::optional<std::string> const known = recall(kind.substr(separator + 1));
      return known ? open<Index>(Kind::name, body, *known) : absl::UnavailableError("a schema not heard yet");
    }
    absl::StatusOr<Kind> value = separator != std::string::npos ? unpack<Kind>(body)
                                 : schema.empty()               ? unpackFirstKind<Kind>(body)
                                                                : unpack<Kind>(body, schema);
    if (value.ok() && !schema.empty() && schema != schemaOf<Kind>()) {
      remember(schema);
    }
    if (!value.ok()) {
      return value.status();
    }
    return Message(*std::move(value));
  }
}

}  // namespace

std::string encodeEnvelope(PeerMessage const& received) {
  Envelope envelope;
  envelope.fleet = received.fleet;
  envelope.from = received.from;
  envelope.address = received.address;
  std::visit(
      [&](auto const& message) {
        using Kind = std::decay_t<decltype(message)>;
        bool const withSchema = carriesSchema<Kind>();
        envelope.kind = withSchema ? std::string(Kind::name) : std::string(Kind::name) + "#" + digestOfKind<Kind>();
        envelope.body = pack(message);
        envelope.schema = withSchema ? schemaOf<Kind>() : "";
      },
      received.message);
  return withChecksum(pack(envelope));
}

absl::StatusOr<PeerMessage> decodeEnvelope(std::string_view bytes) {
  std::optional<std::string_view> const payload = verifyChecksum(bytes);
  if (!payload) {
    return absl::DataLossError("spoilt on the way");
  }
  absl::StatusOr<Envelope> envelope = unpack<Envelope>(*payload);
  if (!envelope.ok()) {
    envelope = unpackFirstKind<Envelope>(*payload);
  }
  if (!envelope.ok()) {
    return envelope.status();
  }
  if (envelope->protocol != protocol) {
    return absl::UnimplementedError("protocol " + std::to_string(envelope->protocol));
  }
  absl::StatusOr<Message> message = open<0>(envelope->kind, envelope->body, envelope->schema);
  if (!message.ok()) {
    return message.status();
  }
  return PeerMessage{envelope->fleet, envelope->from, envelope->address, *std::move(message)};
}

}  // namespace limeramp::messages
