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

struct ServerDirectoryOptions {
  std::chrono::milliseconds pollMs{250};
  std::chrono::milliseconds replyMs{500};
  std::chrono::milliseconds suspectMs{3000};
  std::chrono::milliseconds staleAfterMs{1000};
  std::chrono::milliseconds startupMs{2000};
  std::chrono::milliseconds listMs{400};
  std::chrono::milliseconds pageMs{100};
  std::chrono::milliseconds firstReadMs{200};
  /// How long a node that starts waits to hear of others in its zone before it reads the list for itself.
  std::chrono::milliseconds firstPeersMs{300};
  /// How long a node without tables leaves the list to the first node of its zone.
  std::chrono::milliseconds firstReaderMs{1000};
  std::chrono::milliseconds backOffMaxMs{2000};
  std::chrono::milliseconds stepInMs{200};
  std::chrono::milliseconds warmupRiseMs{500};
  std::size_t maxPages = 64;
  std::chrono::milliseconds emptyListIgnoredMs{10'000};
  std::chrono::milliseconds followerMs{2000};
};

struct ZoneView {
  std::vector<std::string> zoneAddresses;
  std::set<std::string> services;
};

struct DirectoryStep {
  std::vector<distribution::Outgoing> sends;
  std::vector<std::string> changed;
  bool readList = false;
  std::string page{};
  bool emptyListIgnored = false;
};

class ServerDirectory {
 public:
  ServerDirectory(ServerDirectoryOptions const& options, std::string const& node, std::string const& address,
                  std::string const& zone);
  ~ServerDirectory();
  ServerDirectory(ServerDirectory&&) noexcept;
  ServerDirectory& operator=(ServerDirectory&&) noexcept;

  /// Changes how often the platform's list is read, from the next reading on.
  void setListRate(std::chrono::milliseconds listMs, std::chrono::milliseconds pageMs);

  DirectoryStep tick(TimePoint now, ZoneView const& zoneView);
  DirectoryStep onMessage(TimePoint now, std::string const& address, messages::TableRequest const& message);
  DirectoryStep onMessage(TimePoint now, std::string const& address, messages::TableResponse const& message);
  DirectoryStep onListPage(TimePoint now, List const& list);
  void listFailed();
  void listFailed(TimePoint now, bool overRate);

  std::vector<dispatch::ServerEndpoint> rows(TimePoint now, std::string const& service) const;
  std::optional<std::chrono::milliseconds> ageMs(TimePoint now, std::string const& service) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeramp::discovery
