#pragma once

#include "limeramp/discovery/list.h"
#include "limeramp/distribution/peer_views.h"
#include "limeramp/messages/messages.h"

#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace limeramp::discovery {

using TimePoint = std::chrono::steady_clock::time_point;

struct DeskPolicy {
  std::chrono::milliseconds pollMs{250};
  std::chrono::milliseconds replyMs{500};
  std::chrono::milliseconds suspectMs{3000};
  std::chrono::milliseconds oldNewsMs{1000};
  std::chrono::milliseconds youngMs{2000};
  std::chrono::milliseconds listMs{400};
  std::chrono::milliseconds pageMs{100};
  std::chrono::milliseconds firstReadMs{200};
  /// How long a node that starts waits to hear of others in its zone before it reads the list for itself.
  std::chrono::milliseconds firstPeersMs{300};
  /// How long a node without tables leaves the list to the first node of its zone.
  std::chrono::milliseconds firstReaderMs{1000};
  std::chrono::milliseconds backOffMaxMs{2000};
  std::chrono::milliseconds stepInMs{200};
  std::chrono::milliseconds coldRiseMs{500};
  std::size_t maxPages = 64;
  std::chrono::milliseconds emptyHeldMs{10'000};
  std::chrono::milliseconds followerMs{2000};
};

struct Around {
  std::vector<std::string> zoneAddresses;
  std::set<std::string> services;
};

struct DeskStep {
  std::vector<distribution::Outgoing> sends;
  std::vector<std::string> changed;
  bool readList = false;
  std::string page{};
  bool emptyHeld = false;
};

class Desk {
 public:
  Desk(DeskPolicy const& options, std::string const& node, std::string const& address, std::string const& zone);
  ~Desk();
  Desk(Desk&&) noexcept;
  Desk& operator=(Desk&&) noexcept;

  /// Changes how often the platform's list is read, from the next reading on.
  void setListRate(std::chrono::milliseconds listMs, std::chrono::milliseconds pageMs);

  DeskStep tick(TimePoint now, Around const& around);
  DeskStep onMessage(TimePoint now, std::string const& address, messages::TableRequest const& message);
  DeskStep onMessage(TimePoint now, std::string const& address, messages::TableResponse const& message);
  DeskStep listed(TimePoint now, List const& list);
  void listFailed();
  void listFailed(TimePoint now, bool overRate);

  std::vector<dispatch::ServerEndpoint> rows(TimePoint now, std::string const& service) const;
  std::optional<std::chrono::milliseconds> ageMs(TimePoint now, std::string const& service) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeramp::discovery
