#pragma once

#include "limeramp/cargo/messages.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace limeramp::fairway {

using TimePoint = std::chrono::steady_clock::time_point;

struct Outgoing {
  std::string address;
  cargo::Message message;
};

struct ViewPolicy {
  std::size_t mostPeers = 32;
  std::size_t mostShuffled = 10;
  std::size_t mostShuffledAfar = 6;
  std::size_t afarEvery = 6;
  std::size_t fewPeers = 3;
  std::chrono::milliseconds shuffleMs{300};
  std::chrono::milliseconds forgetMs{6000};
  std::chrono::milliseconds seedHeardMs{5000};
  std::chrono::milliseconds loneFoundingMs{4000};
};

class Views {
 public:
  Views(ViewPolicy const& policy, cargo::Peer const& self, std::vector<std::string> const& seeds, std::uint64_t seed);
  ~Views();
  Views(Views&&) noexcept;
  Views& operator=(Views&&) noexcept;

  std::vector<Outgoing> tick(TimePoint now, bool eager = false);
  std::vector<Outgoing> hear(TimePoint now, std::string const& from, std::string const& address,
                             cargo::Shuffle const& message);
  std::vector<cargo::Peer> peers(TimePoint now) const;
  bool mayFound(TimePoint now) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

std::vector<std::string> rankHomes(std::string const& topic, std::vector<std::string> nodes);

}
