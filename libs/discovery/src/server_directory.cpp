#include "limeramp/discovery/server_directory.h"

#include <xxhash.h>

#include <algorithm>

namespace limeramp::discovery {
namespace {

using Ms = std::chrono::milliseconds;

constexpr std::size_t maxSheets = 2000;

struct Listener {
  std::string address;
  TimePoint at{};
  std::map<std::string, std::uint64_t> has;
};

struct Sheet {
  std::vector<messages::TableRow> rows;
  std::uint64_t digest = 0;
  std::optional<TimePoint> asOf;
  TimePoint servedUntil{};
};

struct Seen {
  TimePoint firstAt{};
  TimePoint coldUntil{};
  std::uint64_t coldToldMs = 0;
};

using SeenKey = std::pair<std::string, std::string>;

SeenKey seenKey(std::string const& service, messages::TableRow const& row) {
  return {service, row.address + ' ' + row.incarnation};
}

std::uint64_t digestOf(std::string const& service, std::vector<messages::TableRow> const& rows,
                       std::map<SeenKey, Seen> const& seen) {
  std::uint64_t digest = XXH64("table", 5, 0);
  for (messages::TableRow row : rows) {
    row.ageMs = 0;
    row.warmupMs = seen.at(seenKey(service, row)).coldToldMs;
    std::string const bytes = messages::pack(row);
    digest = XXH64(bytes.data(), bytes.size(), digest);
  }
  return digest;
}

}  // namespace

struct Desk::Impl {
  DeskPolicy options;
  std::string node;
  std::string address;
  std::string zone;
  std::map<std::string, Sheet> sheets;
  std::map<SeenKey, Seen> seen;
  std::map<std::string, Listener> listeners;
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
  std::set<SeenKey> absent;
  std::optional<TimePoint> emptySince;

  messages::Table tableOf(TimePoint now, std::string const& service, bool whole) const {
    messages::Table table;
    table.service = service;
    std::map<std::string, Sheet>::const_iterator const found = sheets.find(service);
    if (found == sheets.end()) {
      return table;
    }
    table.digest = found->second.digest;
    table.whole = whole;
    if (whole) {
      table.rows = found->second.rows;
      for (messages::TableRow& row : table.rows) {
        std::map<SeenKey, Seen>::const_iterator const known = seen.find(seenKey(service, row));
        if (known != seen.end()) {
          row.ageMs = millisBetween(known->second.firstAt, now);
          row.warmupMs = millisBetween(now, known->second.coldUntil);
        }
      }
    }
    return table;
  }

  static std::uint64_t millisBetween(TimePoint from, TimePoint to) {
    return static_cast<std::uint64_t>(std::max<long>(0, std::chrono::duration_cast<Ms>(to - from).count()));
  }

  bool adopt(TimePoint now, std::string const& service, std::vector<messages::TableRow> const& rows,
             std::optional<std::uint64_t> toldDigest) {
    bool older = false;
    std::set<SeenKey> listed;
    for (messages::TableRow const& row : rows) {
      TimePoint const firstAt = now - Ms(static_cast<long>(row.ageMs));
      TimePoint const coldUntil = now + Ms(static_cast<long>(row.warmupMs));
      SeenKey const key = seenKey(service, row);
      listed.insert(key);
      std::map<SeenKey, Seen>::iterator const known = seen.find(key);
      if (known == seen.end()) {
        seen.emplace(key, Seen{firstAt, coldUntil, row.warmupMs});
        continue;
      }
      Seen& entry = known->second;
      older = older || firstAt + options.listMs < entry.firstAt;
      entry.firstAt = std::min(entry.firstAt, firstAt);
      if (row.warmupMs == 0 || entry.coldToldMs == 0 || coldUntil > entry.coldUntil + options.coldRiseMs) {
        entry.coldToldMs = row.warmupMs;
        entry.coldUntil = coldUntil;
      }
    }
    std::erase_if(seen, [&](std::pair<SeenKey const, Seen> const& entry) {
      return entry.first.first == service && !listed.contains(entry.first);
    });
    Sheet& sheet = sheets[service];
    std::uint64_t const digest = toldDigest.value_or(digestOf(service, rows, seen));
    bool const changed = !sheet.asOf || sheet.digest != digest || older;
    sheet.rows = rows;
    sheet.digest = digest;
    sheet.asOf = now;
    return changed;
  }

  std::vector<messages::TableRow> rowsOf(List const& list, std::string const& service, bool whole) {
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
    if (whole) {
      return rows;
    }
    std::set<SeenKey> listed;
    for (messages::TableRow const& row : rows) {
      listed.insert(seenKey(service, row));
      absent.erase(seenKey(service, row));
    }
    for (messages::TableRow const& row : sheets[service].rows) {
      SeenKey const key = seenKey(service, row);
      if (listed.contains(key)) {
        continue;
      }
      if (absent.insert(key).second) {
        messages::TableRow held = row;
        held.draining = true;
        held.warmupMs = 0;
        rows.push_back(std::move(held));
      } else {
        absent.erase(key);
      }
    }
    return rows;
  }

  void mayRead(TimePoint now, DeskStep& out) {
    bool const own = std::any_of(sheets.begin(), sheets.end(), [&](std::pair<std::string const, Sheet> const& entry) {
      return now <= entry.second.servedUntil;
    });
    bool const blank = mayReadBlank(now);
    if ((own || blank || !page.empty()) && !listPending && now >= nextListAt) {
      listPending = true;
      if (page.empty()) {
        nextListAt = now + std::max(options.listMs, options.pageMs * static_cast<long>(lastPages));
      }
      out.readList = true;
      out.page = page;
    }
  }

  Ms oldNewsMs() const {
    return std::max(options.oldNewsMs, std::max(options.listMs, options.pageMs * static_cast<long>(lastPages)) * 5 / 2);
  }

  /// Before this node knows its services it may read the list all the same, so that it has their servers once it does.
  /// In a zone whose nodes start together only the first of them does, since the platform takes few calls a second.
  bool mayReadBlank(TimePoint now) const {
    bool const hasTables =
        lastRows > 0 || std::any_of(sheets.begin(), sheets.end(), [](std::pair<std::string const, Sheet> const& entry) {
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
    for (std::pair<std::string const, Listener>& entry : listeners) {
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

Desk::Desk(DeskPolicy const& options, std::string const& node, std::string const& address, std::string const& zone)
    : impl_(std::make_unique<Impl>()) {
  impl_->options = options;
  impl_->node = node;
  impl_->address = address;
  impl_->zone = zone;
}

Desk::~Desk() = default;
Desk::Desk(Desk&&) noexcept = default;
Desk& Desk::operator=(Desk&&) noexcept = default;

void Desk::setListRate(std::chrono::milliseconds listMs, std::chrono::milliseconds pageMs) {
  impl_->options.listMs = listMs;
  impl_->options.pageMs = pageMs;
}

DeskStep Desk::tick(TimePoint now, Around const& around) {
  Impl& impl = *impl_;
  DeskStep out;
  impl.startedAt = impl.startedAt.value_or(now);
  if (now < impl.nextPollAt && around.services == impl.services) {
    impl.mayRead(now, out);
    return out;
  }
  impl.services = around.services;
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
  std::erase_if(impl.listeners, [&](std::pair<std::string const, Listener> const& entry) {
    return now - entry.second.at > impl.options.followerMs;
  });
  std::map<std::string, messages::TableRequest> polls;
  std::string first;
  std::string elder;
  std::size_t position = 0;
  std::size_t place = 0;
  for (std::string const& candidate : distribution::rankByRendezvousHash("list/" + impl.zone, around.zoneAddresses)) {
    if (candidate == impl.address) {
      position = place;
    }
    ++place;
    if (candidate == impl.address || !impl.suspects.contains(candidate)) {
      first = first.empty() ? candidate : first;
      elder = elder.empty() && candidate != impl.address ? candidate : elder;
    }
  }
  first = first.empty() ? impl.address : first;
  impl.knowsZone = around.zoneAddresses.size() > 1;
  impl.isFirstOfZone = first == impl.address;
  for (std::string const& service : around.services) {
    Sheet& sheet = impl.sheets[service];
    bool const old = !sheet.asOf || now - *sheet.asOf > impl.oldNewsMs();
    TimePoint const oldSince = sheet.asOf ? *sheet.asOf + impl.oldNewsMs() : *impl.startedAt;
    if (first == impl.address || (old && now - oldSince >= impl.options.stepInMs * position)) {
      sheet.servedUntil = std::max(sheet.servedUntil, now + impl.options.pollMs * 2);
    }
    std::string home = first;
    bool const young = now - *impl.startedAt <= impl.options.youngMs;
    if (home == impl.address && young) {
      home = elder;
    }
    if (!home.empty() && home != impl.address) {
      messages::TableRequest& poll = polls[home];
      poll.node = impl.node;
      poll.address = impl.address;
      messages::Table has;
      has.service = service;
      has.digest = sheet.asOf && !young ? sheet.digest : 0;
      poll.have.push_back(std::move(has));
    }
  }
  for (std::pair<std::string const, messages::TableRequest>& entry : polls) {
    impl.askedAt.try_emplace(entry.first, now);
    out.sends.push_back({entry.first, std::move(entry.second)});
  }
  impl.mayRead(now, out);
  return out;
}

DeskStep Desk::onMessage(TimePoint now, std::string const&, messages::TableRequest const& message) {
  Impl& impl = *impl_;
  DeskStep out;
  Listener& listener = impl.listeners[message.node];
  listener.address = message.address;
  listener.at = now;
  listener.has.clear();
  messages::TableResponse response;
  response.node = impl.node;
  for (messages::Table const& has : message.have) {
    if (impl.sheets.size() >= maxSheets && !impl.sheets.contains(has.service)) {
      continue;
    }
    Sheet& sheet = impl.sheets[has.service];
    sheet.servedUntil = now + impl.options.followerMs;
    listener.has[has.service] = has.digest;
    if (sheet.asOf && now - *sheet.asOf <= impl.oldNewsMs()) {
      response.tables.push_back(impl.tableOf(now, has.service, sheet.digest != has.digest));
    }
  }
  out.sends.push_back({message.address, std::move(response)});
  return out;
}

DeskStep Desk::onMessage(TimePoint now, std::string const& address, messages::TableResponse const& message) {
  Impl& impl = *impl_;
  DeskStep out;
  impl.askedAt.erase(address);
  impl.suspects.erase(address);
  for (messages::Table const& table : message.tables) {
    Sheet& sheet = impl.sheets[table.service];
    if (table.whole) {
      if (impl.adopt(now, table.service, table.rows, table.digest)) {
        out.changed.push_back(table.service);
      }
    } else if (sheet.asOf && sheet.digest == table.digest) {
      sheet.asOf = now;
    }
  }
  bool const settled = impl.startedAt && now - *impl.startedAt > impl.options.youngMs;
  bool const stale =
      std::any_of(impl.sheets.begin(), impl.sheets.end(), [&](std::pair<std::string const, Sheet> const& entry) {
        return entry.second.asOf && now - *entry.second.asOf > impl.oldNewsMs();
      });
  if (settled && stale && message.tables.empty()) {
    impl.suspects[address] = now + impl.options.suspectMs;
  }
  return out;
}

DeskStep Desk::listed(TimePoint now, List const& page) {
  Impl& impl = *impl_;
  DeskStep out;
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
  bool const whole = impl.pages == 1;
  impl.lastPages = impl.pages;
  impl.restartList();
  if (list.rows == 0 && impl.lastRows > 0) {
    impl.emptySince = impl.emptySince.value_or(now);
    if (now - *impl.emptySince < impl.options.emptyHeldMs) {
      out.emptyHeld = true;
      for (std::pair<std::string const, Sheet>& entry : impl.sheets) {
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
    if (impl.sheets.size() < maxSheets) {
      impl.sheets.try_emplace(entry.first);
    }
  }
  for (std::pair<std::string const, Sheet>& entry : impl.sheets) {
    if (now > entry.second.servedUntil && entry.second.asOf) {
      continue;
    }
    if (impl.adopt(now, entry.first, impl.rowsOf(list, entry.first, whole), std::nullopt)) {
      out.changed.push_back(entry.first);
    }
  }
  impl.push(now, out.changed, out.sends);
  return out;
}

void Desk::listFailed() {
  impl_->listPending = false;
  impl_->restartList();
}

void Desk::listFailed(TimePoint now, bool overRate) {
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

std::vector<dispatch::ServerEndpoint> Desk::rows(TimePoint now, std::string const& service) const {
  std::vector<dispatch::ServerEndpoint> out;
  std::map<std::string, Sheet>::const_iterator const found = impl_->sheets.find(service);
  if (found == impl_->sheets.end()) {
    return out;
  }
  for (messages::TableRow const& row : impl_->tableOf(now, service, true).rows) {
    out.push_back({row.address, row.zone, row.capacity, row.draining, Ms(static_cast<long>(row.slowStartMs)),
                   Ms(static_cast<long>(row.ageMs)), row.incarnation, Ms(static_cast<long>(row.warmupMs)), 0});
  }
  return out;
}

std::optional<Ms> Desk::ageMs(TimePoint now, std::string const& service) const {
  std::map<std::string, Sheet>::const_iterator const found = impl_->sheets.find(service);
  std::optional<TimePoint> const asOf =
      found == impl_->sheets.end() || !found->second.asOf ? impl_->listedAt : found->second.asOf;
  return asOf ? std::optional<Ms>(std::chrono::duration_cast<Ms>(now - *asOf)) : std::nullopt;
}

}  // namespace limeramp::discovery
