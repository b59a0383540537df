// Compatibility with records that version 0.1 wrote. Each line of tests/data/records-of-version-0.1.txt holds the name
// of a record, its schema and the bytes of a sample, the last two in hexadecimal. The field names in the schemas are
// part of the protocol and stay the same when C++ members are renamed.
#include "acceptor.h"
#include "limeramp/messages/messages.h"

#include <gtest/gtest.h>

#include <fstream>
#include <map>
#include <sstream>
#include <type_traits>

namespace {

using namespace limeramp;

struct EarlierRecord {
  std::string schema;
  std::string bytes;
};

std::string fromHex(std::string const& text) {
  std::string out;
  for (std::size_t at = 0; at + 1 < text.size(); at += 2) {
    out.push_back(static_cast<char>(std::stoi(text.substr(at, 2), nullptr, 16)));
  }
  return out;
}

std::map<std::string, EarlierRecord> earlierRecords() {
  std::map<std::string, EarlierRecord> out;
  std::ifstream file(EARLIER_RECORDS);
  std::string line;
  while (std::getline(file, line)) {
    std::istringstream fields(line);
    std::string name;
    std::string schema;
    std::string bytes;
    fields >> name >> schema >> bytes;
    out[name] = {fromHex(schema), fromHex(bytes)};
  }
  return out;
}

/// Fills every field of a described record with a distinct value, in the order of the fields. The samples in the file
/// were filled in the same way.
class SampleFiller {
 public:
  template <typename T>
  static T make() {
    SampleFiller filler;
    T out{};
    filler.fill(out);
    return out;
  }

  template <typename T>
  void operator()(char const*, T& value) {
    fill(value);
  }

 private:
  template <typename T>
  void fill(T& value) {
    ++last_;
    if constexpr (std::is_same_v<T, bool>) {
      value = true;
    } else if constexpr (std::is_arithmetic_v<T>) {
      value = static_cast<T>(last_);
    } else if constexpr (std::is_same_v<T, std::string>) {
      value = "text " + std::to_string(last_);
    } else if constexpr (messages::IsVector<T>::value) {
      value.resize(2);
      for (typename T::value_type& entry : value) {
        fill(entry);
      }
    } else if constexpr (messages::IsOptional<T>::value) {
      fill(value.emplace());
    } else {
      T::describe(*this, value);
    }
  }

  std::uint64_t last_ = 0;
};

template <typename T>
class RecordCompatibility : public testing::Test {};

using Records = testing::Types<messages::Shuffle, messages::Prepare, messages::PrepareResponse, messages::Accept,
                               messages::AcceptResponse, messages::Heartbeat, messages::Sync, messages::Synced,
                               messages::StateRequest, messages::StateResponse, messages::TableRequest,
                               messages::TableResponse, messages::StateUpdate, messages::ForwardRequest,
                               messages::ForwardReply, messages::State, replication::Acceptor, messages::Envelope>;
TYPED_TEST_SUITE(RecordCompatibility, Records);

TYPED_TEST(RecordCompatibility, RecordsOfTheEarlierVersionAreReadFieldByField) {
  std::map<std::string, EarlierRecord> const records = earlierRecords();
  ASSERT_TRUE(records.contains(TypeParam::name)) << TypeParam::name;
  EarlierRecord const& earlier = records.at(TypeParam::name);
  absl::StatusOr<TypeParam> const read = messages::unpack<TypeParam>(earlier.bytes, earlier.schema);
  ASSERT_TRUE(read.ok()) << read.status();
  EXPECT_EQ(messages::pack(*read), messages::pack(SampleFiller::make<TypeParam>()));
}

TYPED_TEST(RecordCompatibility, SchemaKeepsAllFieldNamesOfTheEarlierVersion) {
  EarlierRecord const earlier = earlierRecords().at(TypeParam::name);
  // The earlier version could not read a record whose field is renamed or removed, so all its names must still exist.
  std::string const& schema = messages::schemaOf<TypeParam>();
  std::size_t at = 0;
  while ((at = earlier.schema.find("\"name\":\"", at)) != std::string::npos) {
    std::size_t const end = earlier.schema.find('"', at + 8);
    std::string const name = earlier.schema.substr(at, end + 1 - at);
    EXPECT_NE(schema.find(name), std::string::npos) << TypeParam::name << " lacks " << name;
    at = end;
  }
}

TEST(EarlierRecords, AllRecordsInTheFileAreCompared) { EXPECT_EQ(earlierRecords().size(), 18u); }

}  // namespace
