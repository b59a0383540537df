#include "limeramp/discovery/server_directory.h"
#include "limeramp/distribution/rendezvous_hash.h"

#include <xxhash.h>

#include <algorithm>

namespace limeramp::discovery {
namespace {

using Ms = std::chrono::milliseconds;

constexpr std::size_t maxServiceTables = 2000;

struct Follower {
  std::string address;
  TimePoint at{};
  std::map<std::string, std::uint64_t> has;
};

struct ServiceTable {
  std::vector<messages::TableRow> rows;
  std::uint64_t digest = 0;
  std::optional<TimePoint> asOf;
  TimePoint servedUntil{};
};

struct EndpointHistory {
  TimePoint firstAt{};
  TimePoint warmupUntil{};
  std::uint64_t warmupReportedMs = 0;
};

using EndpointKey = std::pair<std::string, std::string>;

EndpointKey endpointKey(std::string const& service, messages::TableRow const& row) {
  return {service, row.address + ' ' + row.incarnation};
}

std::uint64_t digestOf(std::string const& service, std::vector<messages::TableRow> const& rows,
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
  bool knowsZone = false;
  bool isFirstOfZone = true;
  std::set<std::string> services;
  std::optional<TimePoint> startedAt;
  TimePoint nextListAt{};
  bool listPending = false;
  std::string page;
  std::size_t pages = 0;
  std::size_t lastPages = 1;
  List collected;
  std::size_t listFailures = 0;
  std::size_t lastRows = 0;
  std::optional<TimePoint> listedAt;
  std::set<EndpointKey> absent;
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
          row.ageMs = millisBetween(known->second.firstAt, now);
          row.warmupMs = millisBetween(now, known->second.warmupUntil);
        }
      }
    }
    return table;
  }

  static std::uint64_t millisBetween(TimePoint from, TimePoint to) {
    return static_cast<std::uint64_t>(std::max<long>(0, std::chrono::duration_cast<Ms>(to - from).count()));
  }

  bool adopt(TimePoint now, std::string const& service, std::vector<messages::TableRow> const& rows,
             std::optional<std::uint64_t> reportedDigest) {
    bool olderThanKnown = false;
    std::set<EndpointKey> listedKeys;
    for (messages::TableRow const& row : rows) {
      TimePoint const firstAt = now - Ms(static_cast<long>(row.ageMs));
      TimePoint const warmupUntil = now + Ms(static_cast<long>(row.warmupMs));
      EndpointKey const key = endpointKey(service, row);
      listedKeys.insert(key);
      std::map<EndpointKey, EndpointHistory>::iterator const known = endpointHistory.find(key);
      if (known == endpointHistory.end()) {
        endpointHistory.emplace(key, EndpointHistory{firstAt, warmupUntil, row.warmupMs});
        continue;
      }
      EndpointHistory& entry = known->second;
      olderThanKnown = olderThanKnown || firstAt + options.listMs < entry.firstAt;
      entry.firstAt = std::min(entry.firstAt, firstAt);
      if (row.warmupMs == 0 || entry.warmupReportedMs == 0 || warmupUntil > entry.warmupUntil + options.warmupRiseMs) {
        entry.warmupReportedMs = row.warmupMs;
        entry.warmupUntil = warmupUntil;
      }
    }
    std::erase_if(endpointHistory, [&](std::pair<EndpointKey const, EndpointHistory> const& entry) {
      return entry.first.first == service && !listedKeys.contains(entry.first);
    });
    ServiceTable& serviceTable = serviceTables[service];
    std::uint64_t const digest = reportedDigest.value_or(digestOf(service, rows, endpointHistory));
    bool const changed = !serviceTable.asOf || serviceTable.digest != digest || olderThanKnown;
    serviceTable.rows = rows;
    serviceTable.digest = digest;
    serviceTable.asOf = now;
    return changed;
  }

  std::vector<messages::TableRow> rowsOf(List const& list, std::string const& service, bool complete) {
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
      absent.erase(endpointKey(service, row));
    }
    for (messages::TableRow const& row : serviceTables[service].rows) {
      EndpointKey const key = endpointKey(service, row);
      if (listedKeys.contains(key)) {
        continue;
      }
      if (absent.insert(key).second) {
        messages::TableRow kept = row;
        kept.draining = true;
        kept.warmupMs = 0;
        rows.push_back(std::move(kept));
      } else {
        absent.erase(key);
      }
    }
    return rows;
  }

  void readListIfDue(TimePoint now, DirectoryStep& out) {
    bool const own = std::any_of(
        serviceTables.begin(), serviceTables.end(),
        [&](std::pair<std::string const, ServiceTable> const& entry) { return now <= entry.second.servedUntil; });
    bool const withoutServices = mayReadWithoutServices(now);
    if ((own || withoutServices || !page.empty()) && !listPending && now >= nextListAt) {
      listPending = true;
      if (page.empty()) {
        nextListAt = now + std::max(options.listMs, options.pageMs * static_cast<long>(lastPages));
      }
      out.readList = true;
      out.page = page;
    }
  }

  Ms staleAfterMs() const {
    return std::max(options.staleAfterMs,
                    std::max(options.listMs, options.pageMs * static_cast<long>(lastPages)) * 5 / 2);
  }

  /// Before this node knows its services it may read the list all the same, so that it has their servers once it does.
  /// In a zone whose nodes start together only the first of them does, since the platform takes few calls a second.
  bool mayReadWithoutServices(TimePoint now) const {
    bool const hasTables = lastRows > 0 || std::any_of(serviceTables.begin(), serviceTables.end(),
                                                       [](std::pair<std::string const, ServiceTable> const& entry) {
                                                         return entry.second.asOf.has_value();
                                                       });
    if (hasTables || !startedAt) {
      return false;
    }
    Ms const leaveToOthersMs = !knowsZone ? options.firstPeersMs : isFirstOfZone ? Ms(0) : options.firstReaderMs;
    return now - *startedAt >= leaveToOthersMs + spreadOfFirstRead();
  }

  Ms spreadOfFirstRead() const {
    return options.firstReadMs * static_cast<long>(XXH64(node.data(), node.size(), 1) % 100) / 100;
  }

  void restartList() {
    page.clear();
    pages = 0;
    collected = List{};
  }

  void push(TimePoint now, std::vector<std::string> const& changed, std::vector<distribution::Outgoing>& sends) {
    for (std::pair<std::string const, Follower>& entry : followers) {
      messages::TableResponse response;
      response.node = node;
      for (std::string const& service : changed) {
        if (entry.second.has.contains(service) && now - entry.second.at <= options.followerMs) {
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
  std::string first;
  std::string firstOther;
  std::size_t position = 0;
  std::size_t rank = 0;
  for (std::string const& candidate : distribution::rankByRendezvousHash("list/" + impl.zone, zoneView.zoneAddresses)) {
    if (candidate == impl.address) {
      position = rank;
    }
    ++rank;
    if (candidate == impl.address || !impl.suspects.contains(candidate)) {
      first = first.empty() ? candidate : first;
      firstOther = firstOther.empty() && candidate != impl.address ? candidate : firstOther;
    }
  }
  first = first.empty() ? impl.address : first;
  impl.knowsZone = zoneView.zoneAddresses.size() > 1;
  impl.isFirstOfZone = first == impl.address;
  for (std::string const& service : zoneView.services) {
    ServiceTable& serviceTable = impl.serviceTables[service];
    bool const stale = !serviceTable.asOf || now - *serviceTable.asOf > impl.staleAfterMs();
    TimePoint const staleSince = serviceTable.asOf ? *serviceTable.asOf + impl.staleAfterMs() : *impl.startedAt;
    if (first == impl.address || (stale && now - staleSince >= impl.options.stepInMs * position)) {
      serviceTable.servedUntil = std::max(serviceTable.servedUntil, now + impl.options.pollMs * 2);
    }
    std::string owner = first;
    bool const starting = now - *impl.startedAt <= impl.options.startupMs;
    if (owner == impl.address && starting) {
      owner = firstOther;
    }
    if (!owner.empty() && owner != impl.address) {
      messages::TableRequest& poll = polls[owner];
      poll.node = impl.node;
      poll.address = impl.address;
      messages::Table has;
      has.service = service;
      has.digest = serviceTable.asOf && !starting ? serviceTable.digest : 0;
      poll.have.push_back(std::move(has));
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
  follower.has.clear();
  messages::TableResponse response;
  response.node = impl.node;
  for (messages::Table const& has : message.have) {
    if (impl.serviceTables.size() >= maxServiceTables && !impl.serviceTables.contains(has.service)) {
      continue;
    }
    ServiceTable& serviceTable = impl.serviceTables[has.service];
    serviceTable.servedUntil = now + impl.options.followerMs;
    follower.has[has.service] = has.digest;
    if (serviceTable.asOf && now - *serviceTable.asOf <= impl.staleAfterMs()) {
      response.tables.push_back(impl.tableOf(now, has.service, serviceTable.digest != has.digest));
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
      if (impl.adopt(now, table.service, table.rows, table.digest)) {
        out.changed.push_back(table.service);
      }
    } else if (serviceTable.asOf && serviceTable.digest == table.digest) {
      serviceTable.asOf = now;
    }
  }
  bool const pastStartup = impl.startedAt && now - *impl.startedAt > impl.options.startupMs;
  bool const stale = std::any_of(impl.serviceTables.begin(), impl.serviceTables.end(),
                                 [&](std::pair<std::string const, ServiceTable> const& entry) {
                                   return entry.second.asOf && now - *entry.second.asOf > impl.staleAfterMs();
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
  if (!page.nextPage.empty() && impl.pages + 1 >= impl.options.maxPages) {
    impl.restartList();
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
  ++impl.pages;
  impl.page = page.nextPage;
  if (!page.nextPage.empty()) {
    impl.listPending = true;
    out.readList = true;
    out.page = impl.page;
    return out;
  }
  List const list = std::move(impl.collected);
  bool const complete = impl.pages == 1;
  impl.lastPages = impl.pages;
  impl.restartList();
  if (list.rows == 0 && impl.lastRows > 0) {
    impl.emptySince = impl.emptySince.value_or(now);
    if (now - *impl.emptySince < impl.options.emptyListIgnoredMs) {
      out.emptyListIgnored = true;
      for (std::pair<std::string const, ServiceTable>& entry : impl.serviceTables) {
        if (now <= entry.second.servedUntil && entry.second.asOf) {
          entry.second.asOf = now;
        }
      }
      return out;
    }
  }
  impl.emptySince.reset();
  impl.lastRows = list.rows;
  impl.listedAt = now;
  for (std::pair<std::string const, std::vector<dispatch::ServerEndpoint>> const& entry : list.services) {
    if (impl.serviceTables.size() < maxServiceTables) {
      impl.serviceTables.try_emplace(entry.first);
    }
  }
  for (std::pair<std::string const, ServiceTable>& entry : impl.serviceTables) {
    if (now > entry.second.servedUntil && entry.second.asOf) {
      continue;
    }
    if (impl.adopt(now, entry.first, impl.rowsOf(list, entry.first, complete), std::nullopt)) {
      out.changed.push_back(entry.first);
    }
  }
  impl.push(now, out.changed, out.sends);
  return out;
}

void ServerDirectory::listFailed() {
  impl_->listPending = false;
  impl_->restartList();
}

void ServerDirectory::listFailed(TimePoint now, bool overRate) {
  Impl& impl = *impl_;
  impl.listPending = false;
  if (!overRate) {
    impl.restartList();
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
  std::optional<TimePoint> const asOf =
      found == impl_->serviceTables.end() || !found->second.asOf ? impl_->listedAt : found->second.asOf;
  return asOf ? std::optional<Ms>(std::chrono::duration_cast<Ms>(now - *asOf)) : std::nullopt;
}

}  // namespace limeramp::discovery
