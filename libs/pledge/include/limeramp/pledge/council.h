#pragma once

#include "limeramp/cargo/messages.h"
#include "limeramp/signal/signal.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace limeramp::pledge {

using TimePoint = std::chrono::steady_clock::time_point;
using Puts = std::vector<std::pair<std::string, std::string>>;

struct Policy {
  std::chrono::milliseconds hailMs{250};
  std::chrono::milliseconds idleHailMs{400};
  std::chrono::milliseconds lostMs{1200};
  std::chrono::milliseconds takeoverMs{1500};
  std::chrono::milliseconds ballotMs{350};
  std::chrono::milliseconds resendMs{200};
  std::chrono::milliseconds repairMs{300};
  std::chrono::milliseconds witnessGoneMs{2000};
  std::chrono::milliseconds spreadMs{5000};
  std::chrono::milliseconds diskSlowMs{1000};
  std::chrono::milliseconds founderTurnMs{700};
  std::chrono::milliseconds heirTurnMs{500};
  std::size_t leastReplicas = 2;
  std::size_t mostReplicas = 2;
  std::size_t mostWitnesses = 3;
};

Policy policyFor(std::size_t machineLosses);

struct Member {
  std::string id;
  std::string address;
  std::string zone;
};

struct Start {
  Member self;
  std::map<std::string, std::string> stored;
  std::uint64_t seed = 0;
  bool diskless = false;
  std::vector<std::string> founders{};
};
struct Known {
  std::vector<Member> members;
  bool mayFound = false;
};
struct Received {
  std::string from;
  std::string address;
  cargo::Message message;
};
struct Persisted {
  std::uint64_t token = 0;
  bool good = false;
};
struct Offer {
  std::uint64_t ticket = 0;
  cargo::State state;
};
struct Tick {};
struct Retire {};
struct Salvage {
  std::string fleet;
  cargo::State state;
};

using Event = std::variant<Start, Known, Received, Persisted, Offer, Tick, Retire, Salvage>;

struct Send {
  std::string to;
  std::string address;
  cargo::Message message;
};
struct Persist {
  std::uint64_t token = 0;
  Puts puts;
};
struct Committed {
  std::uint64_t ticket = 0;
  cargo::State state;
};
struct Doubtful {
  std::uint64_t ticket = 0;
};
struct Active {
  std::uint64_t epoch = 0;
  cargo::State state;
};
struct Inactive {};
struct Note {
  signal::Event event;
  std::string about;
};

struct Salvaged {
  std::string refusal;
};

using Effect = std::variant<Send, Persist, Committed, Doubtful, Active, Inactive, Salvaged, Note>;

class Council {
 public:
  explicit Council(Policy const& policy);
  ~Council();
  Council(Council&&) noexcept;
  Council& operator=(Council&&) noexcept;

  std::vector<Effect> step(TimePoint now, Event const& event);

  bool active() const;
  bool busy() const;
  bool ailing() const;
  bool retired() const;
  std::string const& id() const;
  cargo::EpochRecord const& decided() const;
  cargo::State const& state() const;
  std::uint64_t sealed() const;
  std::optional<TimePoint> authority() const;
  std::string primaryAddress() const;
  std::optional<std::chrono::milliseconds> heardMs(TimePoint now, std::string const& member) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}
