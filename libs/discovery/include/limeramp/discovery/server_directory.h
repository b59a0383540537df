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

/// The servers of each service, as a node knows them. Of each zone one node reads the platform's list and owns its
/// tables; the others follow it (docs/servers.md).
namespace limeramp::discovery {

/// The steady clock of this machine.
using TimePoint = std::chrono::steady_clock::time_point;

/// How often tables are asked for and the list is read.
struct ServerDirectoryOptions {
  /// Between two requests for tables.
  std::chrono::milliseconds pollMs{250};
  /// An owner that does not answer within this time is passed over for `suspectMs`.
  std::chrono::milliseconds replyMs{500};
  std::chrono::milliseconds suspectMs{3000};
  /// Tables that nobody confirms for so long (longer where the list is read seldom) make other nodes read the list.
  std::chrono::milliseconds staleAfterMs{1000};
  /// For so long after its start a node asks for all tables, whatever it holds.
  std::chrono::milliseconds startupMs{2000};
  /// Between two readings of the list, and between two of its pages.
  std::chrono::milliseconds listMs{400};
  std::chrono::milliseconds pageMs{100};
  /// First readings of a zone's nodes are spread over this time.
  std::chrono::milliseconds firstReadMs{200};
  /// How long a node that starts waits to hear of others in its zone before it reads the list for itself.
  std::chrono::milliseconds firstPeersMs{300};
  /// How long a node without tables leaves the list to the first node of its zone.
  std::chrono::milliseconds firstReaderMs{1000};
  /// The longest pause after failed readings; pauses double.
  std::chrono::milliseconds backOffMaxMs{2000};
  /// While tables are stale, nodes begin to read the list one after another, at this interval.
  std::chrono::milliseconds stepInMs{200};
  /// A warm-up that ends later than known by less than this is not handed on: it only runs down.
  std::chrono::milliseconds warmupRiseMs{500};
  /// A list with more pages is given up.
  std::size_t maxPages = 64;
  /// A list that becomes empty at once is believed only after this time.
  std::chrono::milliseconds emptyListIgnoredMs{10'000};
  /// A follower that has not asked for so long is sent no pushes.
  std::chrono::milliseconds followerMs{2000};
};

/// The nodes of this node's zone, itself among them, and the services that it needs.
struct ZoneView {
  std::vector<std::string> zoneAddresses;
  std::set<std::string> services;
};

/// What to do: messages to send, services whose servers changed, and whether to read a page of the list now.
struct DirectoryStep {
  std::vector<distribution::Outgoing> sends;
  std::vector<std::string> changed;
  bool readList = false;
  std::string page{};
  bool emptyListIgnored = false;
};

/// A pure state machine. A table that nobody confirms stays in use: old servers are better than none. Not safe for use
/// by several threads.
class ServerDirectory {
 public:
  ServerDirectory(ServerDirectoryOptions const& options, std::string const& node, std::string const& address,
                  std::string const& zone);
  ~ServerDirectory();
  ServerDirectory(ServerDirectory&&) noexcept;
  ServerDirectory& operator=(ServerDirectory&&) noexcept;

  /// Changes how often the platform's list is read, from the next reading on.
  void setListRate(std::chrono::milliseconds listMs, std::chrono::milliseconds pageMs);

  /// To be called every 50 ms or so.
  DirectoryStep tick(TimePoint now, ZoneView const& zoneView);
  /// Takes in a message from `address`; the answer, if there is one, is among the sends.
  DirectoryStep onMessage(TimePoint now, std::string const& address, messages::TableRequest const& message);
  DirectoryStep onMessage(TimePoint now, std::string const& address, messages::TableResponse const& message);
  /// A page of the list was read.
  DirectoryStep onListPage(TimePoint now, List const& list);
  /// The page could not be read: without a time, the process could not ask at all; `overRate`: the platform refused.
  void listFailed();
  void listFailed(TimePoint now, bool overRate);

  /// The servers of a service as of now.
  std::vector<dispatch::ServerEndpoint> rows(TimePoint now, std::string const& service) const;
  /// Since the table was last confirmed; nothing if none is known.
  std::optional<std::chrono::milliseconds> ageMs(TimePoint now, std::string const& service) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeramp::discovery
