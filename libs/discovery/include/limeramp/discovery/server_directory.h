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

/// Keeps the table of servers of each service. In each zone one node, the owner, reads the platform's list; the others
/// are its followers and poll it for tables (docs/servers.md).
namespace limeramp::discovery {

/// The steady clock of this machine.
using TimePoint = std::chrono::steady_clock::time_point;

/// Timing and bounds of polling for tables and reading the list.
struct ServerDirectoryOptions {
  /// Interval between two polls of the owner.
  std::chrono::milliseconds pollMs{250};
  /// An owner that does not answer within this time is suspected, and not polled, for `suspectMs`.
  std::chrono::milliseconds replyMs{500};
  std::chrono::milliseconds suspectMs{3000};
  /// A table that was not confirmed for this time, or for 2.5 list intervals if that is longer, is stale: other nodes
  /// then begin to read the list.
  std::chrono::milliseconds staleAfterMs{1000};
  /// Time after its start during which a node requests complete tables, whatever it holds.
  std::chrono::milliseconds startupMs{2000};
  /// Interval between two reads of the list, and between two of its pages.
  std::chrono::milliseconds listMs{400};
  std::chrono::milliseconds pageMs{100};
  /// The first reads of a zone's nodes are spread over this time.
  std::chrono::milliseconds firstReadMs{200};
  /// How long a starting node that knows no other node of its zone waits before it reads the list itself.
  std::chrono::milliseconds firstPeersMs{300};
  /// How long a node without tables waits for the first-ranked node of its zone to read the list.
  std::chrono::milliseconds firstReaderMs{1000};
  /// Upper bound, before jitter, of the backoff after failed reads; it doubles with each failure.
  std::chrono::milliseconds backOffMaxMs{2000};
  /// While a table is stale, the nodes begin to read the list one after another in rank order, at this interval.
  std::chrono::milliseconds takeoverStepMs{200};
  /// If the end of a warm-up moves later by less than this, the known end stays: the remaining time only runs down.
  std::chrono::milliseconds warmupRiseMs{500};
  /// A list with more pages than this is discarded.
  std::size_t maxPages = 64;
  /// A list that had rows and becomes empty takes effect only once it has been empty for this time.
  std::chrono::milliseconds emptyListIgnoredMs{10'000};
  /// A follower that has not polled for this time is sent no pushes.
  std::chrono::milliseconds followerMs{2000};
};

/// The addresses of the nodes in this node's zone, its own included, and the services that this node needs.
struct ZoneView {
  std::vector<std::string> zoneAddresses;
  std::set<std::string> services;
};

/// What the caller does next: send messages, apply the changed tables of services, and read a page of the list if told.
struct DirectoryStep {
  std::vector<distribution::Outgoing> sends;
  std::vector<std::string> changed;
  bool readList = false;
  std::string page{};
  bool emptyListIgnored = false;
};

/// State machine without I/O. A table that is no longer confirmed stays in use, since outdated servers are better than
/// none. Not thread-safe.
class ServerDirectory {
 public:
  ServerDirectory(ServerDirectoryOptions const& options, std::string const& node, std::string const& address,
                  std::string const& zone);
  ~ServerDirectory();
  ServerDirectory(ServerDirectory&&) noexcept;
  ServerDirectory& operator=(ServerDirectory&&) noexcept;

  /// Changes how often the platform's list is read, from the next read on.
  void setListRate(std::chrono::milliseconds listMs, std::chrono::milliseconds pageMs);

  /// Polls the owner and reads the list when they are due. Call it about every 50 ms.
  DirectoryStep tick(TimePoint now, ZoneView const& zoneView);
  /// Handles a message from `address`; a reply, if any, is among the sends.
  DirectoryStep onMessage(TimePoint now, std::string const& address, messages::TableRequest const& message);
  DirectoryStep onMessage(TimePoint now, std::string const& address, messages::TableResponse const& message);
  /// Handles a page of the list that was read.
  DirectoryStep onListPage(TimePoint now, List const& list);
  /// Handles a failed read. The form without a time: the process could not send the request. `rateLimited`: the
  /// platform refused it for its rate.
  void listFailed();
  void listFailed(TimePoint now, bool rateLimited);

  /// The servers of a service, with ages and warm-up times as of `now`.
  std::vector<dispatch::ServerEndpoint> rows(TimePoint now, std::string const& service) const;
  /// Time since the table was last confirmed, or since the last list if the service has none; nothing without either.
  std::optional<std::chrono::milliseconds> ageMs(TimePoint now, std::string const& service) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeramp::discovery
