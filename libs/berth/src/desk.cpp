#include "limeramp/berth/desk.h"

#include <xxhash.h>

#include <algorithm>

namespace limeramp::berth {
namespace {

using Ms = std::chrono::milliseconds;

constexpr std::size_t mostSheets = 2000;

struct Listener {
  std::string address;
  TimePoint at{};
  std::map<std::string, std::uint64_t> has;
};

struct Sheet {
  std::vector<cargo::TableRow> rows;
  std::uint64_t digest = 0;
  std::optional<TimePoint> asOf;
  TimePoint servedUntil{};
};

std::uint64_t digestOf(std::vector<cargo::TableRow> const& rows) {
  std::uint64_t digest = XXH64("table", 5, 0);
  for (cargo::TableRow row : rows) {
    row.ageMs = 0;
    std::string const bytes = cargo::pack(row);
    digest = XXH64(bytes.data(), bytes.size(), digest);
  }
  return digest;
}

}

struct Desk::Impl {
  DeskPolicy policy;
  std::string node;
  std::string address;
  std::string zone;
  std::map<std::string, Sheet> sheets;
  std::map<std::pair<std::string, std::string>, TimePoint> firstSeen;
  std::map<std::string, Listener> listeners;
  std::map<std::string, TimePoint> askedAt;
  std::map<std::string, TimePoint> suspects;
  TimePoint nextPollAt{};
  std::optional<TimePoint> startedAt;
  TimePoint nextListAt{};
  bool listPending = false;
  std::size_t lastRows = 0;
  std::optional<TimePoint> emptySince;

  cargo::Table tableOf(TimePoint now, std::string const& service, bool whole) const {
    cargo::Table table;
    table.service = service;
    std::map<std::string, Sheet>::const_iterator const found = sheets.find(service);
    if (found == sheets.end()) {
      return table;
    }
    table.digest = found->second.digest;
    table.whole = whole;
    if (whole) {
      table.rows = found->second.rows;
      for (cargo::TableRow& row : table.rows) {
        std::map<std::pair<std::string, std::string>, TimePoint>::const_iterator const seen =
            firstSeen.find({service, row.address});
        row.ageMs = seen == firstSeen.end()
                        ? 0
                        : static_cast<std::uint64_t>(std::chrono::duration_cast<Ms>(now - seen->second).count());
      }
    }
    return table;
  }

  bool adopt(TimePoint now, std::string const& service, std::vector<cargo::TableRow> const& rows) {
    bool older = false;
    for (cargo::TableRow const& row : rows) {
      TimePoint const at = now - Ms(static_cast<long>(row.ageMs));
      std::pair<std::string, std::string> const key(service, row.address);
      std::map<std::pair<std::string, std::string>, TimePoint>::iterator const seen = firstSeen.find(key);
      if (seen == firstSeen.end()) {
        firstSeen.emplace(key, at);
      } else {
        older = older || at + policy.listMs < seen->second;
        seen->second = std::min(seen->second, at);
      }
    }
    std::erase_if(firstSeen, [&](std::pair<std::pair<std::string, std::string> const, TimePoint> const& entry) {
      return entry.first.first == service &&
             std::none_of(rows.begin(), rows.end(),
                          [&](cargo::TableRow const& row) { return row.address == entry.first.second; });
    });
    Sheet& sheet = sheets[service];
    std::uint64_t const digest = digestOf(rows);
    bool const changed = !sheet.asOf || sheet.digest != digest || older;
    sheet.rows = rows;
    sheet.digest = digest;
    sheet.asOf = now;
    return changed;
  }

  void push(TimePoint now, std::vector<std::string> const& changed, std::vector<fairway::Outgoing>& sends) {
    for (std::pair<std::string const, Listener>& entry : listeners) {
      cargo::TableNews news;
      news.node = node;
      for (std::string const& service : changed) {
        if (entry.second.has.contains(service) && now - entry.second.at <= policy.followerMs) {
          news.tables.push_back(tableOf(now, service, true));
        }
      }
      if (!news.tables.empty()) {
        sends.push_back({entry.second.address, std::move(news)});
      }
    }
  }
};

Desk::Desk(DeskPolicy const& policy, std::string const& node, std::string const& address, std::string const& zone)
    : impl_(std::make_unique<Impl>()) {
  impl_->policy = policy;
  impl_->node = node;
  impl_->address = address;
  impl_->zone = zone;
}

Desk::~Desk() = default;
Desk::Desk(Desk&&) noexcept = default;
Desk& Desk::operator=(Desk&&) noexcept = default;

DeskStep Desk::tick(TimePoint now, Around const& around) {
  Impl& impl = *impl_;
  DeskStep out;
  if (now < impl.nextPollAt) {
    return out;
  }
  impl.nextPollAt = now + impl.policy.pollMs;
  impl.startedAt = impl.startedAt.value_or(now);
  std::erase_if(impl.suspects, [&](std::pair<std::string const, TimePoint> const& entry) { return now >= entry.second; });
  std::erase_if(impl.askedAt, [&](std::pair<std::string const, TimePoint> const& entry) {
    bool const late = now - entry.second > impl.policy.replyMs;
    if (late) {
      impl.suspects[entry.first] = now + impl.policy.suspectMs;
    }
    return late;
  });
  std::erase_if(impl.listeners, [&](std::pair<std::string const, Listener> const& entry) {
    return now - entry.second.at > impl.policy.followerMs;
  });
  std::map<std::string, cargo::TablePoll> polls;
  bool own = false;
  for (std::string const& service : around.services) {
    Sheet& sheet = impl.sheets[service];
    std::string home;
    std::string elder;
    for (std::string const& candidate : fairway::rankHomes("service/" + service + "/" + impl.zone, around.zoneAddresses)) {
      if (candidate == impl.address || !impl.suspects.contains(candidate)) {
        home = home.empty() ? candidate : home;
        elder = elder.empty() && candidate != impl.address ? candidate : elder;
      }
    }
    home = home.empty() ? impl.address : home;
    bool const old = !sheet.asOf || now - *sheet.asOf > impl.policy.oldNewsMs;
    if (home == impl.address || old) {
      sheet.servedUntil = std::max(sheet.servedUntil, now + impl.policy.pollMs * 2);
    }
    bool const young = now - *impl.startedAt <= impl.policy.youngMs;
    if (home == impl.address && young) {
      home = elder;
    }
    if (!home.empty() && home != impl.address) {
      cargo::TablePoll& poll = polls[home];
      poll.node = impl.node;
      poll.address = impl.address;
      cargo::Table has;
      has.service = service;
      has.digest = sheet.asOf && !young ? sheet.digest : 0;
      poll.have.push_back(std::move(has));
    }
  }
  for (std::pair<std::string const, cargo::TablePoll>& entry : polls) {
    impl.askedAt.try_emplace(entry.first, now);
    out.sends.push_back({entry.first, std::move(entry.second)});
  }
  for (std::pair<std::string const, Sheet> const& entry : impl.sheets) {
    own = own || now <= entry.second.servedUntil;
  }
  if (own && !impl.listPending && now >= impl.nextListAt) {
    impl.listPending = true;
    impl.nextListAt = now + impl.policy.listMs;
    out.readList = true;
  }
  return out;
}

DeskStep Desk::hear(TimePoint now, std::string const&, cargo::TablePoll const& message) {
  Impl& impl = *impl_;
  DeskStep out;
  Listener& listener = impl.listeners[message.node];
  listener.address = message.address;
  listener.at = now;
  listener.has.clear();
  cargo::TableNews news;
  news.node = impl.node;
  for (cargo::Table const& has : message.have) {
    if (impl.sheets.size() >= mostSheets && !impl.sheets.contains(has.service)) {
      continue;
    }
    Sheet& sheet = impl.sheets[has.service];
    sheet.servedUntil = now + impl.policy.followerMs;
    listener.has[has.service] = has.digest;
    if (sheet.asOf && now - *sheet.asOf <= impl.policy.oldNewsMs) {
      news.tables.push_back(impl.tableOf(now, has.service, sheet.digest != has.digest));
    }
  }
  out.sends.push_back({message.address, std::move(news)});
  return out;
}

DeskStep Desk::hear(TimePoint now, std::string const& address, cargo::TableNews const& message) {
  Impl& impl = *impl_;
  DeskStep out;
  impl.askedAt.erase(address);
  impl.suspects.erase(address);
  for (cargo::Table const& table : message.tables) {
    Sheet& sheet = impl.sheets[table.service];
    if (table.whole) {
      if (impl.adopt(now, table.service, table.rows)) {
        out.changed.push_back(table.service);
      }
    } else if (sheet.asOf && sheet.digest == table.digest) {
      sheet.asOf = now;
    }
  }
  return out;
}

DeskStep Desk::listed(TimePoint now, List const& list) {
  Impl& impl = *impl_;
  DeskStep out;
  impl.listPending = false;
  if (list.rows == 0 && impl.lastRows > 0) {
    impl.emptySince = impl.emptySince.value_or(now);
    if (now - *impl.emptySince < impl.policy.emptyHeldMs) {
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
  for (std::pair<std::string const, Sheet>& entry : impl.sheets) {
    if (now > entry.second.servedUntil) {
      continue;
    }
    std::vector<cargo::TableRow> rows;
    std::map<std::string, std::vector<shoal::ServerRow>>::const_iterator const found = list.services.find(entry.first);
    if (found != list.services.end()) {
      for (shoal::ServerRow const& row : found->second) {
        rows.push_back({row.address, row.zone, row.capacity, row.leaving,
                        static_cast<std::uint64_t>(row.slowStartMs.count()), 0, row.life,
                        static_cast<std::uint64_t>(row.coldMs.count())});
      }
    }
    if (impl.adopt(now, entry.first, rows)) {
      out.changed.push_back(entry.first);
    }
  }
  impl.push(now, out.changed, out.sends);
  return out;
}

void Desk::listFailed() { impl_->listPending = false; }

std::vector<shoal::ServerRow> Desk::rows(TimePoint now, std::string const& service) const {
  std::vector<shoal::ServerRow> out;
  std::map<std::string, Sheet>::const_iterator const found = impl_->sheets.find(service);
  if (found == impl_->sheets.end()) {
    return out;
  }
  for (cargo::TableRow const& row : impl_->tableOf(now, service, true).rows) {
    out.push_back({row.address, row.zone, row.capacity, row.leaving, Ms(static_cast<long>(row.slowStartMs)),
                   Ms(static_cast<long>(row.ageMs)), row.life, Ms(static_cast<long>(row.coldMs)), 0});
  }
  return out;
}

std::optional<Ms> Desk::ageMs(TimePoint now, std::string const& service) const {
  std::map<std::string, Sheet>::const_iterator const found = impl_->sheets.find(service);
  if (found == impl_->sheets.end() || !found->second.asOf) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Ms>(now - *found->second.asOf);
}

}
