#include "limeramp/cargo/messages.h"

#include <gtest/gtest.h>

#include <random>

namespace {

using namespace limeramp::cargo;

Parcel sample() {
  Sync sync;
  sync.decided = {7, "fleet", "a", "b", {"a", "b", "c"}};
  sync.token = 99;
  sync.state.document = std::string("{\"x\":\0}", 7);
  sync.state.roster = {{"m01", "127.0.0.1:1", "z1", 3}};
  return {"fleet", "a", "127.0.0.1:9", sync};
}

TEST(Cargo, MessagesComeBackWhole) {
  Parcel const parcel = sample();
  absl::StatusOr<Parcel> const back = unseal(seal(parcel));
  ASSERT_TRUE(back.ok()) << back.status();
  EXPECT_EQ(back->from, "a");
  Sync const& sync = std::get<Sync>(back->message);
  EXPECT_EQ(sync.decided, std::get<Sync>(parcel.message).decided);
  EXPECT_EQ(sync.state, std::get<Sync>(parcel.message).state);
  News news;
  news.state = State{};
  news.state->sequence = 12;
  absl::StatusOr<Parcel> const second = unseal(seal({"f", "n", "x", news}));
  ASSERT_TRUE(second.ok());
  EXPECT_EQ(std::get<News>(second->message).state->sequence, 12u);
}

TEST(Cargo, SpoiltBytesAreRefusedAndNeverCrash) {
  std::string const whole = seal(sample());
  for (std::size_t length = 0; length < whole.size(); ++length) {
    EXPECT_FALSE(unseal(std::string_view(whole).substr(0, length)).ok()) << length;
  }
  std::mt19937_64 dice(11);
  std::size_t refused = 0;
  for (int round = 0; round < 20'000; ++round) {
    std::string spoilt = whole;
    for (std::uint64_t left = 1 + dice() % 4; left > 0; --left) {
      spoilt[dice() % spoilt.size()] ^= static_cast<char>(1 + dice() % 255);
    }
    if (spoilt == whole) {
      spoilt.pop_back();
    }
    refused += unseal(spoilt).ok() ? 0 : 1;
  }
  EXPECT_EQ(refused, 20'000u);
}

}
