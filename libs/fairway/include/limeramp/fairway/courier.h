#pragma once

#include "limeramp/cargo/messages.h"
#include "limeramp/fairway/views.h"

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace limeramp::fairway {

struct CourierPolicy {
  std::chrono::milliseconds pollMs{200};
  std::chrono::milliseconds afarPollMs{350};
  std::chrono::milliseconds replyMs{450};
  std::chrono::milliseconds suspectMs{3000};
  std::chrono::milliseconds worriedMs{1300};
  std::chrono::milliseconds currentMs{2000};
  std::chrono::milliseconds followerMs{2000};
};

using Vouches = std::map<std::string, cargo::Vouch>;

void mergeVouches(Vouches& known, std::vector<cargo::Vouch> const& heard);

enum class Standing { unknown, unlisted, stale, current, upheld };

struct Footing {
  Standing standing = Standing::unknown;
  std::chrono::milliseconds ageMs{0};
};

struct CourierStep {
  std::vector<Outgoing> sends;
  bool changed = false;
};

class Courier {
 public:
  Courier(CourierPolicy const& policy, cargo::Follower const& self, std::uint64_t boot, std::uint64_t seed);
  ~Courier();
  Courier(Courier&&) noexcept;
  Courier& operator=(Courier&&) noexcept;

  CourierStep tick(TimePoint now, std::vector<cargo::Peer> const& peers);
  CourierStep hear(TimePoint now, std::string const& address, cargo::Poll const& message);
  CourierStep hear(TimePoint now, std::string const& address, cargo::News const& message);

  void leave();
  Footing footing(TimePoint now) const;
  std::optional<cargo::State> const& state() const;
  std::string const& primaryAddress() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}
