#include "limeramp/discovery/server_directory.h"
#include "limeramp/distribution/rendezvous_hash.h"

#include <xxhash.h>

#include <algorithm>

namespace limeramp::discovery {
namespace {

using Ms = std::chrono::milliseconds;

constexpr std::size_t maxServiceTables = 2000;

/// A node that polls this one, with the digests of the tables that it holds.
struct Follower {
  std::string address;
  TimePoint at{};
  std::map<std::string, std::uint64_t> held;
};

/// The known servers of one service. While `ownedUntil` is ahead, this node reads the list for the service.
struct ServiceTable {
  std::vector<messages::TableRow> rows;
  std::uint64_t digest = 0;
  std::optional<TimePoint> confirmedAt;
  TimePoint ownedUntil{};
};

/// When an incarnation of a server was first listed and when its warm-up ends.
struct EndpointHistory {
  TimePoint firstSeenAt{};
  TimePoint warmupUntil{};
  std::uint64_t warmupReportedMs = 0;
};

using EndpointKey = std::pair<std::string, std::string>;

EndpointKey endpointKey(std::string const& service, messages::TableRow const& row) {
  return {service, row.address + ' ' + row.incarnation};
}

/// Ignores ages and the running down of warm-up times, so that the passing of time does not change a table's digest.
std::uint64_t tableDigest(std::string const& service, std::vector<messages::TableRow> const& rows,
                          std::map<EndpointKey, EndpointHistory> const& endpointHistory) {
  std::uint64_t digest = XXH64("table", 5, 0);
  for (messages::TableRow row : rows) {
    row.ageMs = 0;
    row.warmupMs = endpointHistory.at(endpointKey(service, row)).warmupReportedMs;
    std::string const bytes = messages::pack(row);
    digest = XXH64(bytes.data(), bytes.size(), digest);
  }
  return digest;
}

}  // namespace

struct ServerDirectory::Impl {
  ServerDirectoryOptions options;
  std::string node;
  std::string address;
  std::string zone;
  std::map<std::string, ServiceTable> serviceTables;
  std::map<EndpointKey, EndpointHistory> endpointHistory;
  std::map<std::string, Follower> followers;
  std::map<std::string, TimePoint> askedAt;
  std::map<std::string, TimePoint> suspects;
  TimePoint nextPollAt{};
  bool knowsOtherNodes = false;
  bool ranksFirstInZone = true;
  std::set<std::string> services;
  std::optional<TimePoint> startedAt;
  TimePoint nextListAt{};
  bool listPending = false;
  std::string page;
  std::size_t pagesRead = 0;
  std::size_t pagesOfLastList = 1;
  List collected;
  std::size_t listFailures = 0;
  std::size_t rowsOfLastList = 0;
  std::optional<TimePoint> listedAt;
  std::set<EndpointKey> missingOnce;
  std::optional<TimePoint> emptySince;

  messages::Table tableOf(TimePoint now, std::string const& service, bool complete) const {
    messages::Table table;
    table.service = service;
    std::map<std::string, ServiceTable>::const_iterator const found = serviceTables.find(service);
    if (found == serviceTables.end()) {
      return table;
    }
    table.digest = found->second.digest;
    table.complete = complete;
    if (complete) {
      table.rows = found->second.rows;
      for (messages::TableRow& row : table.rows) {
        std::map<EndpointKey, EndpointHistory>::const_iterator const known =
            endpointHistory.find(endpointKey(service, row));
        if (known != endpointHistory.end()) {
          row.ageMs = millisBetween(known->second.firstSeenAt, now);
          row.warmupMs = millisBetween(now, known->second.warmupUntil);
        }
      }
    }
    return table;
  }

  /// 0 if `to` is before `from`.
  static std::uint64_t millisBetween(TimePoint from, TimePoint to) {
    return static_cast<std::uint64_t>(std::max<long>(0, std::chrono::duration_cast<Ms>(to - from).count()));
  }

  /// Takes over the rows of a service. Returns whether followers and users of the table have to learn of a change.
  bool updateTable(TimePoint now, std::string const& service, std::vector<messages::TableRow> const& rows,
                   std::optional<std::uint64_t> reportedDigest) {
    bool seenEarlier = false;
    std::set<EndpointKey> listedKeys;
    for (messages::TableRow const& row : rows) {
      TimePoint const firstSeenAt = now - Ms(static_cast<long>(row.ageMs));
      TimePoint const warmupUntil = now + Ms(static_cast<long>(row.warmupMs));
      EndpointKey const key = endpointKey(service, row);
      listedKeys.insert(key);
      std::map<EndpointKey, EndpointHistory>::iterator const known = endpointHistory.find(key);
      if (known == endpointHistory.end()) {
        endpointHistory.emplace(key, EndpointHistory{firstSeenAt, warmupUntil, row.warmupMs});
        continue;
      }
      EndpointHistory& entry = known->second;
      seenEarlier = seenEarlier || firstSeenAt + options.listMs < entry.firstSeenAt;
      entry.firstSeenAt = std::min(entry.firstSeenAt, firstSeenAt);
      if (row.warmupMs == 0 || entry.warmupReportedMs == 0 || warmupUntil > entry.warmupUntil + options.warmupRiseMs) {
        entry.warmupReportedMs = row.warmupMs;
        entry.warmupUntil = warmupUntil;
      }
    }
    std::erase_if(endpointHistory, [&](std::pair<EndpointKey const, EndpointHistory> const& entry) {
      return entry.first.first == service && !listedKeys.contains(entry.first);
    });
    ServiceTable& serviceTable = serviceTables[service];
    std::uint64_t const digest = reportedDigest.value_or(tableDigest(service, rows, endpointHistory));
    bool const changed = !serviceTable.confirmedAt || serviceTable.digest != digest || seenEarlier;
    serviceTable.rows = rows;
    serviceTable.digest = digest;
    serviceTable.confirmedAt = now;
    return changed;
  }

  /// The rows of a service in a list. `complete`: the list came in one page. Between pages a row can be missed, so a
  /// row that is absent from a list of several pages is kept as draining once and removed if it is absent again.
  std::vector<messages::TableRow> listedRows(List const& list, std::string const& service, bool complete) {
    std::vector<messages::TableRow> rows;
    std::map<std::string, std::vector<dispatch::ServerEndpoint>>::const_iterator const found =
        list.services.find(service);
    if (found != list.services.end()) {
      for (dispatch::ServerEndpoint const& row : found->second) {
        rows.push_back({row.address, row.zone, row.capacity, row.draining,
                        static_cast<std::uint64_t>(row.slowStartMs.count()), 0, row.incarnation,
                        static_cast<std::uint64_t>(row.warmupMs.count())});
      }
    }
    if (complete) {
      return rows;
    }
    std::set<EndpointKey> listedKeys;
    for (messages::TableRow const& row : rows) {
      listedKeys.insert(endpointKey(service, row));
      missingOnce.erase(endpointKey(service, row));
    }
    for (messages::TableRow const& row : serviceTables[service].rows) {
      EndpointKey const key = endpointKey(service, row);
      if (listedKeys.contains(key)) {
        continue;
      }
      if (missingOnce.insert(key).second) {
        messages::TableRow kept = row;
        kept.draining = true;
        kept.warmupMs = 0;
        rows.push_back(std::move(kept));
      } else {
        missingOnce.erase(key);
      }
    }
    return rows;
  }

  void readListIfDue(TimePoint now, DirectoryStep& out) {
    bool const ownsTables = std::any_of(
        serviceTables.begin(), serviceTables.end(),
        [&](std::pair<std::string const, ServiceTable> const& entry) { return now <= entry.second.ownedUntil; });
    bool const readWithoutServices = mayReadWithoutServices(now);
    if ((ownsTables || readWithoutServices || !page.empty()) && !listPending && now >= nextListAt) {
      listPending = true;
      if (page.empty()) {
        nextListAt = now + std::max(options.listMs, options.pageMs * static_cast<long>(pagesOfLastList));
      }
      out.readList = true;
      out.page = page;
    }
  }

  Ms staleAfterMs() const {
    return std::max(options.staleAfterMs,
                    std::max(options.listMs, options.pageMs * static_cast<long>(pagesOfLastList)) * 5 / 2);
  }

  /// A node without tables may read the list before it knows its services, so that it has their servers once it does.
  /// If the nodes of a zone start together, only the first-ranked one does, since the platform takes few calls a
  /// second.
  bool mayReadWithoutServices(TimePoint now) const {
    bool const hasTables =
        rowsOfLastList > 0 || std::any_of(serviceTables.begin(), serviceTables.end(),
                                          [](std::pair<std::string const, ServiceTable> const& entry) {
                                            return entry.second.confirmedAt.has_value();
                                          });
    if (hasTables || !startedAt) {
      return false;
    }
    Ms const waitForOthersMs = !knowsOtherNodes   ? options.firstPeersMs
                               : ranksFirstInZone ? Ms(0)
                                                  : options.firstReaderMs;
    return now - *startedAt >= waitForOthersMs + firstReadDelay();
  }

  Ms firstReadDelay() const {
    return options.firstReadMs * static_cast<long>(XXH64(node.data(), node.size(), 1) % 100) / 100;
  }

  void discardPages() {
    page.clear();
    pagesRead = 0;
    collected = List{};
  }

  void pushToFollowers(TimePoint now, std::vector<std::string> const& changed,
                       std::vector<distribution::Outgoing>& sends) {
    for (std::pair<std::string const, Follower>& entry : followers) {
      messages::TableResponse response;
      response.node = node;
      for (std::string const& service : changed) {
        if (entry.second.held.contains(service) && now - entry.second.at <= options.followerMs) {
          response.tables.push_back(tableOf(now, service, true));
        }
      }
      if (!response.tables.empty()) {
        sends.push_back({entry.second.address, std::move(response)});
      }
    }
  }
};

ServerDirectory::ServerDirectory(ServerDirectoryOptions const& options, std::string const& node,
                                 std::string const& address, std::string const& zone)
    : impl_(std::make_unique<Impl>()) {
  impl_->options = options;
  impl_->node = node;
  impl_->address = address;
  impl_->zone = zone;
}

ServerDirectory::~ServerDirectory() = default;
ServerDirectory::ServerDirectory(ServerDirectory&&) noexcept = default;
ServerDirectory& ServerDirectory::operator=(ServerDirectory&&) noexcept = default;

void ServerDirectory::setListRate(std::chrono::milliseconds listMs, std::chrono::milliseconds pageMs) {
  impl_->options.listMs = listMs;
  impl_->options.pageMs = pageMs;
}

DirectoryStep ServerDirectory::tick(TimePoint now, ZoneView const& zoneView) {
  Impl& impl = *impl_;
  DirectoryStep out;
  impl.startedAt = impl.startedAt.value_or(now);
  if (now < impl.nextPollAt && zoneView.services == impl.services) {
    impl.readListIfDue(now, out);
    return out;
  }
  impl.services = zoneView.services;
  impl.nextPollAt = now + impl.options.pollMs;
  std::erase_if(impl.suspects,
                [&](std::pair<std::string const, TimePoint> const& entry) { return now >= entry.second; });
  std::erase_if(impl.askedAt, [&](std::pair<std::string const, TimePoint> const& entry) {
    bool const late = now - entry.second > impl.options.replyMs;
    if (late) {
      impl.suspects[entry.first] = now + impl.options.suspectMs;
    }
    return late;
  });
  std::erase_if(impl.followers, [&](std::pair<std::string const, Follower> const& entry) {
    return now - entry.second.at > impl.options.followerMs;
  });
  std::map<std::string, messages::TableRequest> polls;
  std::string firstRanked;
  std::string firstRankedOther;
  std::size_t position = 0;
  std::size_t rank = 0;
  for (std::string const& candidate : distribution::rankByRendezvousHash("list/" + impl.zone, zoneView.zoneAddresses)) {
    if (candidate == impl.address) {
      position = rank;
    }
    ++rank;
    if (candidate == impl.address || !impl.suspects.contains(candidate)) {
      firstRanked = firstRanked.empty() ? candidate : firstRanked;
      firstRankedOther = firstRankedOther.empty() && candidate != impl.address ? candidate : firstRankedOther;
    }
  }
  firstRanked = firstRanked.empty() ? impl.address : firstRanked;
  impl.knowsOtherNodes = zoneView.zoneAddresses.size() > 1;
  impl.ranksFirstInZone = firstRanked == impl.address;
  for (std::string const& service : zoneView.services) {
    ServiceTable& serviceTable = impl.serviceTables[service];
    bool const stale = !serviceTable.confirmedAt || now - *serviceTable.confirmedAt > impl.staleAfterMs();
    TimePoint const staleSince =
        serviceTable.confirmedAt ? *serviceTable.confirmedAt + impl.staleAfterMs() : *impl.startedAt;
    if (firstRanked == impl.address || (stale && now - staleSince >= impl.options.takeoverStepMs * position)) {
      serviceTable.ownedUntil = std::max(serviceTable.ownedUntil, now + impl.options.pollMs * 2);
    }
    std::string owner = firstRanked;
    bool const starting = now - *impl.startedAt <= impl.options.startupMs;
    if (owner == impl.address && starting) {
      owner = firstRankedOther;
    }
    if (!owner.empty() && owner != impl.address) {
      messages::TableRequest& poll = polls[owner];
      poll.node = impl.node;
      poll.address = impl.address;
      messages::Table held;
      held.service = service;
      held.digest = serviceTable.confirmedAt && !starting ? serviceTable.digest : 0;
      poll.have.push_back(std::move(held));
    }
  }
  for (std::pair<std::string const, messages::TableRequest>& entry : polls) {
    impl.askedAt.try_emplace(entry.first, now);
    out.sends.push_back({entry.first, std::move(entry.second)});
  }
  impl.readListIfDue(now, out);
  return out;
}

DirectoryStep ServerDirectory::onMessage(TimePoint now, std::string const&, messages::TableRequest const& message) {
  Impl& impl = *impl_;
  DirectoryStep out;
  Follower& follower = impl.followers[message.node];
  follower.address = message.address;
  follower.at = now;
  follower.held.clear();
  messages::TableResponse response;
  response.node = impl.node;
  for (messages::Table const& held : message.have) {
    if (impl.serviceTables.size() >= maxServiceTables && !impl.serviceTables.contains(held.service)) {
      continue;
    }
    ServiceTable& serviceTable = impl.serviceTables[held.service];
    serviceTable.ownedUntil = now + impl.options.followerMs;
    follower.held[held.service] = held.digest;
    if (serviceTable.confirmedAt && now - *serviceTable.confirmedAt <= impl.staleAfterMs()) {
      response.tables.push_back(impl.tableOf(now, held.service, serviceTable.digest != held.digest));
    }
  }
  out.sends.push_back({message.address, std::move(response)});
  return out;
}

DirectoryStep ServerDirectory::onMessage(TimePoint now, std::string const& address,
                                         messages::TableResponse const& message) {
  Impl& impl = *impl_;
  DirectoryStep out;
  impl.askedAt.erase(address);
  impl.suspects.erase(address);
  for (messages::Table const& table : message.tables) {
    ServiceTable& serviceTable = impl.serviceTables[table.service];
    if (table.complete) {
      if (impl.updateTable(now, table.service, table.rows, table.digest)) {
        out.changed.push_back(table.service);
      }
    } else if (serviceTable.confirmedAt && serviceTable.digest == table.digest) {
      serviceTable.confirmedAt = now;
    }
  }
  bool const pastStartup = impl.startedAt && now - *impl.startedAt > impl.options.startupMs;
  bool const stale =
      std::any_of(impl.serviceTables.begin(), impl.serviceTables.end(),
                  [&](std::pair<std::string const, ServiceTable> const& entry) {
                    return entry.second.confirmedAt && now - *entry.second.confirmedAt > impl.staleAfterMs();
                  });
  if (pastStartup && stale && message.tables.empty()) {
    impl.suspects[address] = now + impl.options.suspectMs;
  }
  return out;
}

DirectoryStep ServerDirectory::onListPage(TimePoint now, List const& page) {
  Impl& impl = *impl_;
  DirectoryStep out;
  impl.listPending = false;
  impl.listFailures = 0;
  if (!page.nextPage.empty() && impl.pagesRead + 1 >= impl.options.maxPages) {
    impl.discardPages();
    return out;
  }
  for (std::pair<std::string const, std::vector<dispatch::ServerEndpoint>> const& entry : page.services) {
    std::vector<dispatch::ServerEndpoint>& rows = impl.collected.services[entry.first];
    for (dispatch::ServerEndpoint const& row : entry.second) {
      std::vector<dispatch::ServerEndpoint>::iterator const same =
          std::find_if(rows.begin(), rows.end(), [&](dispatch::ServerEndpoint const& known) {
            return known.address == row.address && known.incarnation == row.incarnation;
          });
      if (same == rows.end()) {
        rows.push_back(row);
        ++impl.collected.rows;
      } else {
        *same = row;
      }
    }
  }
  ++impl.pagesRead;
  impl.page = page.nextPage;
  if (!page.nextPage.empty()) {
    impl.listPending = true;
    out.readList = true;
    out.page = impl.page;
    return out;
  }
  List const list = std::move(impl.collected);
  bool const complete = impl.pagesRead == 1;
  impl.pagesOfLastList = impl.pagesRead;
  impl.discardPages();
  if (list.rows == 0 && impl.rowsOfLastList > 0) {
    impl.emptySince = impl.emptySince.value_or(now);
    if (now - *impl.emptySince < impl.options.emptyListIgnoredMs) {
      out.emptyListIgnored = true;
      for (std::pair<std::string const, ServiceTable>& entry : impl.serviceTables) {
        if (now <= entry.second.ownedUntil && entry.second.confirmedAt) {
          entry.second.confirmedAt = now;
        }
      }
      return out;
    }
  }
  impl.emptySince.reset();
  impl.rowsOfLastList = list.rows;
  impl.listedAt = now;
  for (std::pair<std::string const, std::vector<dispatch::ServerEndpoint>> const& entry : list.services) {
    if (impl.serviceTables.size() < maxServiceTables) {
      impl.serviceTables.try_emplace(entry.first);
    }
  }
  for (std::pair<std::string const, ServiceTable>& entry : impl.serviceTables) {
    if (now > entry.second.ownedUntil && entry.second.confirmedAt) {
      continue;
    }
    if (impl.updateTable(now, entry.first, impl.listedRows(list, entry.first, complete), std::nullopt)) {
      out.changed.push_back(entry.first);
    }
  }
  impl.pushToFollowers(now, out.changed, out.sends);
  return out;
}

void ServerDirectory::listFailed() {
  impl_->listPending = false;
  impl_->discardPages();
}

void ServerDirectory::listFailed(TimePoint now, bool rateLimited) {
  Impl& impl = *impl_;
  impl.listPending = false;
  if (!rateLimited) {
    impl.discardPages();
  }
  impl.listFailures = std::min<std::size_t>(impl.listFailures + 1, 4);
  Ms const waitMs = std::min(impl.options.backOffMaxMs, impl.options.listMs * (1L << impl.listFailures) / 2);
  std::uint64_t const spread = XXH64(impl.node.data(), impl.node.size(), impl.listFailures) % 100;
  impl.nextListAt = now + waitMs + waitMs * static_cast<long>(spread) / 200;
}

std::vector<dispatch::ServerEndpoint> ServerDirectory::rows(TimePoint now, std::string const& service) const {
  std::vector<dispatch::ServerEndpoint> out;
  std::map<std::string, ServiceTable>::const_iterator const found = impl_->serviceTables.find(service);
  if (found == impl_->serviceTables.end()) {
    return out;
  }
  for (messages::TableRow const& row : impl_->tableOf(now, service, true).rows) {
    out.push_back({row.address, row.zone, row.capacity, row.draining, Ms(static_cast<long>(row.slowStartMs)),
                   Ms(static_cast<long>(row.ageMs)), row.incarnation, Ms(static_cast<long>(row.warmupMs)), 0});
  }
  return out;
}

std::optional<Ms> ServerDirectory::ageMs(TimePoint now, std::string const& service) const {
  std::map<std::string, ServiceTable>::const_iterator const found = impl_->serviceTables.find(service);
  std::optional<TimePoint> const confirmedAt =
      found == impl_->serviceTables.end() || !found->second.confirmedAt ? impl_->listedAt : found->second.confirmedAt;
  return confirmedAt ? std::optional<Ms>(std::chrono::duration_cast<Ms>(now - *confirmedAt)) : std::nullopt;
}

}  // namespace limeramp::discovery
