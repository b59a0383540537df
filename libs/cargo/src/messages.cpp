#include "limeramp/cargo/messages.h"

namespace limeramp::cargo {
namespace {

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
    if (kind != Kind::name) {
      return open<Index + 1>(kind, body, schema);
    }
    absl::StatusOr<Kind> value = schema.empty() ? unpackFirstKind<Kind>(body) : unpack<Kind>(body, schema);
    if (!value.ok()) {
      return value.status();
    }
    return Message(*std::move(value));
  }
}

}

std::string seal(Parcel const& parcel) {
  Envelope envelope;
  envelope.fleet = parcel.fleet;
  envelope.from = parcel.from;
  envelope.address = parcel.address;
  std::visit(
      [&](auto const& message) {
        envelope.kind = message.name;
        envelope.body = pack(message);
        envelope.schema = schemaOf<std::decay_t<decltype(message)>>();
      },
      parcel.message);
  return enclose(pack(envelope));
}

absl::StatusOr<Parcel> unseal(std::string_view bytes) {
  std::optional<std::string_view> const whole = disclose(bytes);
  if (!whole) {
    return absl::DataLossError("spoilt on the way");
  }
  absl::StatusOr<Envelope> envelope = unpack<Envelope>(*whole);
  if (!envelope.ok()) {
    envelope = unpackFirstKind<Envelope>(*whole);
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
  return Parcel{envelope->fleet, envelope->from, envelope->address, *std::move(message)};
}

}
