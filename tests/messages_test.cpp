#include "limeramp/messages/messages.h"

#include <gtest/gtest.h>

#include <random>

namespace {

using namespace limeramp::messages;

PeerMessage sample() {
  Sync sync;
  sync.decided = {7, "fleet", "a", {"b", "d"}, {"a", "b", "c"}};
  sync.token = 99;
  sync.state.document = std::string("{\"x\":\0}", 7);
  sync.state.roster = {{"m01", "127.0.0.1:1", "z1", 3}};
  return {"fleet", "a", "127.0.0.1:9", sync};
}

TEST(Messages, MessagesAreUnchangedByEncodingAndDecoding) {
  PeerMessage const outgoing = sample();
  absl::StatusOr<PeerMessage> const decoded = decodeEnvelope(encodeEnvelope(outgoing));
  ASSERT_TRUE(decoded.ok()) << decoded.status();
  EXPECT_EQ(decoded->from, "a");
  Sync const& sync = std::get<Sync>(decoded->message);
  EXPECT_EQ(sync.decided, std::get<Sync>(outgoing.message).decided);
  EXPECT_EQ(sync.state, std::get<Sync>(outgoing.message).state);
  StateResponse response;
  response.state = State{};
  response.state->sequence = 12;
  absl::StatusOr<PeerMessage> const second = decodeEnvelope(encodeEnvelope({"f", "n", "x", response}));
  ASSERT_TRUE(second.ok());
  EXPECT_EQ(std::get<StateResponse>(second->message).state->sequence, 12u);
}

struct OlderFollower {
  static constexpr char const* name = "Follower";
  std::string node;
  std::string address;
  std::uint64_t epoch = 0;
  bool gone = false;
  template <typename V, typename T>
  static void describe(V& visit, T& self) {
    visit("node", self.node);
    visit("gone", self.gone);
    visit("epoch", self.epoch);
    visit("address", self.address);
  }
};

struct OlderStateRequest {
  static constexpr char const* name = "Poll";
  std::vector<OlderFollower> followers;
  OlderFollower self;
  std::uint64_t token = 0;
  template <typename V, typename T>
  static void describe(V& visit, T& self) {
    visit("followers", self.followers);
    visit("self", self.self);
    visit("token", self.token);
  }
};

struct FirstVersionEnvelope {
  static constexpr char const* name = "Envelope";
  std::int64_t protocol = limeramp::messages::protocol;
  std::string fleet;
  std::string from;
  std::string address;
  std::string kind;
  std::string body;
  template <typename V, typename T>
  static void describe(V& visit, T& self) {
    visit("protocol", self.protocol);
    visit("fleet", self.fleet);
    visit("from", self.from);
    visit("address", self.address);
    visit("kind", self.kind);
    visit("body", self.body);
  }
};

Envelope envelopeOf(std::string const& kind, std::string const& body, std::string const& schema) {
  Envelope envelope;
  envelope.fleet = "f";
  envelope.kind = kind;
  envelope.body = body;
  envelope.schema = schema;
  return envelope;
}

TEST(Versions, AddedRemovedAndMovedFieldsAreResolvedByName) {
  OlderStateRequest older;
  older.token = 7;
  older.self = {"m01", "127.0.0.1:1", 3, true};
  older.followers = {{"m02", "127.0.0.1:2", 4, false}, {"m03", "127.0.0.1:3", 5, true}};
  absl::StatusOr<PeerMessage> const decoded =
      decodeEnvelope(withChecksum(pack(envelopeOf("Poll", pack(older), schemaOf<OlderStateRequest>()))));
  ASSERT_TRUE(decoded.ok()) << decoded.status();
  StateRequest const& request = std::get<StateRequest>(decoded->message);
  EXPECT_EQ(request.token, 7u);
  EXPECT_EQ(request.self.address, "127.0.0.1:1");
  EXPECT_EQ(request.self.zone, "");
  ASSERT_EQ(request.followers.size(), 2u);
  EXPECT_EQ(request.followers[1].node, "m03");
  EXPECT_EQ(request.followers[1].epoch, 5u);
  absl::StatusOr<OlderStateRequest> const readByOlder =
      unpack<OlderStateRequest>(pack(request), schemaOf<StateRequest>());
  ASSERT_TRUE(readByOlder.ok());
  EXPECT_EQ(readByOlder->followers[0].address, "127.0.0.1:2");
  EXPECT_FALSE(readByOlder->self.gone);
}

TEST(Versions, EnvelopeOfTheFirstVersionWithoutSchemaIsRead) {
  Heartbeat heartbeat;
  heartbeat.token = 41;
  heartbeat.unhealthy = true;
  FirstVersionEnvelope first;
  first.fleet = "f";
  first.kind = "Hail";
  first.body = pack(heartbeat);
  absl::StatusOr<PeerMessage> const decoded = decodeEnvelope(withChecksum(pack(first)));
  ASSERT_TRUE(decoded.ok()) << decoded.status();
  EXPECT_EQ(std::get<Heartbeat>(decoded->message).token, 41u);
  EXPECT_TRUE(std::get<Heartbeat>(decoded->message).unhealthy);
}

TEST(Versions, MismatchedAndUnboundedSchemasAreRefused) {
  std::string nested = "\"long\"";
  for (int depth = 0; depth < 40; ++depth) {
    nested.insert(0, "{\"type\":\"array\",\"items\":").append("}");
  }
  for (
      std::string const& schema :
      {std::string(R"({"type":"record","name":"Poll","fields":[{"name":"self","type":"Poll"}]})"),
       std::string(
           R"({"type":"record","name":"Poll","fields":[{"name":"followers","type":{"type":"array","items":"null"}}]})"),
       std::string(
           R"({"type":"record","name":"Poll","fields":[{"name":"followers","type":{"type":"array","items":"long"}}]})"),
       std::string(R"({"type":"record","name":"Poll","fields":[{"name":"token","type":"bytes"}]})"),
       std::string(R"({"type":"record","name":"Poll","fields":[]})"), std::string("[\"long\"]"),
       std::string("nonsense"),
       "{\"type\":\"record\",\"name\":\"Poll\",\"fields\":[{\"name\":\"followers\",\"type\":" + nested + "}]}"}) {
    EXPECT_FALSE(decodeEnvelope(withChecksum(pack(envelopeOf("Poll", std::string(40, '\x02'), schema)))).ok())
        << schema;
  }
}

TEST(Messages, BytesThatViolateTheirSchemaAreRefusedWithoutAChecksum) {
  std::string const intact = pack(std::get<Sync>(sample().message));
  std::mt19937_64 random(12);
  std::size_t refused = 0;
  for (int round = 0; round < 20'000; ++round) {
    std::string corrupted = intact;
    for (std::uint64_t left = 1 + random() % 3; left > 0; --left) {
      corrupted[random() % corrupted.size()] = static_cast<char>(random() % 256);
    }
    refused += unpack<Sync>(corrupted).ok() ? 0 : 1;
  }
  EXPECT_GT(refused, 5'000u);
  EXPECT_LT(refused, 19'900u);
}

TEST(Messages, CorruptedBytesAreRefusedWithoutACrash) {
  std::string const intact = encodeEnvelope(sample());
  for (std::size_t length = 0; length < intact.size(); ++length) {
    EXPECT_FALSE(decodeEnvelope(std::string_view(intact).substr(0, length)).ok()) << length;
  }
  std::mt19937_64 random(11);
  std::size_t refused = 0;
  for (int round = 0; round < 20'000; ++round) {
    std::string corrupted = intact;
    for (std::uint64_t left = 1 + random() % 4; left > 0; --left) {
      corrupted[random() % corrupted.size()] ^= static_cast<char>(1 + random() % 255);
    }
    if (corrupted == intact) {
      corrupted.pop_back();
    }
    refused += decodeEnvelope(corrupted).ok() ? 0 : 1;
  }
  EXPECT_EQ(refused, 20'000u);
}

TEST(Codec, EpochRecordWithOneBackupIsReadFromItsFormerSchema) {
  std::string const schema =
      R"({"type":"record","name":"EpochRecord","fields":[{"name":"epoch","type":"long"},{"name":"fleet","type":"bytes"},)"
      R"({"name":"primary","type":"bytes"},{"name":"backup","type":"bytes"},)"
      R"({"name":"witnesses","type":{"type":"array","items":"bytes"}}]})";
  std::string const bytes = std::string(
                                "\x0e\x02"
                                "f\x02"
                                "a\x02"
                                "b\x04\x02"
                                "a\x02"
                                "b",
                                12) +
                            std::string(2, '\0');
  absl::StatusOr<EpochRecord> const read = unpack<EpochRecord>(bytes, schema);
  ASSERT_TRUE(read.ok());
  EXPECT_EQ(*read, (EpochRecord{7, "f", "a", {"b"}, {"a", "b"}}));
}

}  // namespace
