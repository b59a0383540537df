#include "limeramp/quayside/plane.h"

#include <charconv>
#include <map>
#include <unordered_map>

namespace limeramp::quayside {
namespace {

using Ms = std::chrono::milliseconds;

constexpr std::string_view tenantHeader = "limeramp-tenant";
constexpr std::string_view deadlineHeader = "limeramp-deadline-ms";
constexpr std::string_view requestHeader = "limeramp-request";
constexpr std::string_view shardHeader = "limeramp-shard";
constexpr std::string_view versionHeader = "limeramp-version";
constexpr std::string_view loadHeader = "limeramp-load";
constexpr long mostDeadlineMs = 60'000;

struct Outgoing {
  std::uint64_t request = 0;
  std::size_t leg = 0;
};

struct Open {
  rigging::Request content;
  manifest::SnapshotPtr snapshot;
  manifest::Search const* search = nullptr;
  bool carried = false;
  std::string id;
  TimePoint deadline;
  std::vector<std::string> services;
  std::vector<std::string> cuts;
  std::vector<shoal::PartPtr> parts;
  std::optional<rigging::Answer> answer;
  std::vector<std::size_t> missing;
};

std::optional<double> loadOf(rigging::Headers const& headers) {
  std::optional<std::string> const text = rigging::findHeader(headers, std::string(loadHeader));
  if (!text) {
    return std::nullopt;
  }
  double load = 0;
  std::from_chars_result const read = std::from_chars(text->data(), text->data() + text->size(), load);
  if (read.ec != std::errc() || !(load >= 0) || load > 1000) {
    return std::nullopt;
  }
  return load;
}

std::string json(std::string const& text) { return picojson::value(text).serialize(); }

}

rigging::Answer refusal(int status, std::string const& reason, tally::Verdict verdict,
                        std::optional<std::chrono::milliseconds> retryAfter) {
  rigging::Answer answer;
  answer.status = status;
  std::string const name(tally::nameOf(verdict));
  answer.headers.emplace_back("content-type", "application/json");
  answer.headers.emplace_back("limeramp-verdict", name);
  if (retryAfter) {
    answer.headers.emplace_back("retry-after", std::to_string((retryAfter->count() + 999) / 1000));
  }
  answer.body = "{\"verdict\":\"" + name + "\",\"reason\":" + json(reason) + "}";
  return answer;
}

struct Plane::Impl {
  Impl(Self const& selfIn, shoal::Policy const& policy) : self(selfIn), machine(policy) {}

  Self self;
  shoal::Machine machine;
  manifest::SnapshotPtr snapshot;
  std::unordered_map<std::uint64_t, Open> open;
  std::unordered_map<std::uint64_t, Outgoing> outgoing;
  std::unordered_map<std::uint64_t, shoal::PartPtr> ground;
  std::unordered_map<std::uint64_t, rigging::Answer> answers;
  std::map<std::string, std::vector<std::string>> owners;
  std::vector<Effect> effects;
  TimePoint now;

  void on(Arrived const& event);
  void on(Exchanged const& event);
  void on(Ground const& event);
  void on(Merged const& event);
  void on(InForce const& event);
  void on(Tables const& event) { drive(event.servers); }
  void on(Owners const& event);
  void on(Placed const& event) { drive(event.place); }
  void on(Tick const&) { drive(shoal::Tick{}); }

  void drive(shoal::Event const& event);
  void carry(shoal::Send const& send);
  void carry(shoal::Cancel const& cancel);
  void carry(shoal::Keep const& keep);
  void carry(shoal::Finish const& finish);
  void carry(shoal::Note const& note) { effects.emplace_back(note); }
  void reply(std::uint64_t request, rigging::Answer answer);
};

void Plane::Impl::reply(std::uint64_t request, rigging::Answer answer) {
  effects.emplace_back(Reply{request, std::move(answer)});
}

void Plane::Impl::drive(shoal::Event const& event) {
  for (shoal::Effect const& effect : machine.step(now, event)) {
    std::visit([this](auto const& concrete) { carry(concrete); }, effect);
  }
}

void Plane::Impl::on(InForce const& event) { snapshot = event.snapshot; }

void Plane::Impl::on(Owners const& event) {
  owners[event.cell] = event.addresses;
  shoal::Servers servers;
  servers.service = "@" + event.cell;
  for (std::string const& address : event.addresses) {
    shoal::ServerRow row;
    row.address = address;
    row.capacity = 1e6;
    servers.rows.push_back(row);
  }
  drive(servers);
}

void Plane::Impl::on(Arrived const& event) {
  using tally::Verdict;
  if (snapshot == nullptr) {
    reply(event.request, refusal(503, "no configuration is known yet", Verdict::notRun, std::chrono::seconds(1)));
    return;
  }
  rigging::Headers const& headers = event.content.headers;
  std::optional<std::string> const tenant = rigging::findHeader(headers, std::string(tenantHeader));
  if (!tenant) {
    reply(event.request, refusal(400, "the header limeramp-tenant is missing", Verdict::notRun));
    return;
  }
  std::string const& target = event.content.target;
  std::string_view const path = std::string_view(target).substr(0, target.find('?'));
  manifest::Configuration const& configuration = snapshot->configuration;
  std::string const host = rigging::findHeader(headers, "host").value_or("");
  manifest::Target const found = manifest::findTarget(configuration, host, *tenant, path);
  if (std::holds_alternative<std::monostate>(found)) {
    reply(event.request, refusal(404, "no entry or route of this tenant has this path", Verdict::notRun));
    return;
  }
  Open entry;
  entry.content = event.content;
  entry.snapshot = snapshot;
  Ms waitMs{0};
  shoal::Arrive arrive;
  arrive.request = event.request;
  arrive.tenant = *tenant;
  if (manifest::Search const* const* const search = std::get_if<manifest::Search const*>(&found)) {
    entry.search = *search;
    waitMs = (*search)->deadlineMs;
    for (manifest::Shard const& shard : (*search)->shards) {
      entry.services.push_back(shard.service);
      entry.cuts.push_back(shard.cut);
    }
    arrive.minimum = (*search)->minimum_shards;
    arrive.max_attempts = (*search)->max_attempts;
    arrive.repeatable = true;
  } else {
    manifest::Route const* const route = std::get<manifest::Route const*>(found);
    waitMs = route->deadlineMs;
    entry.services.push_back(manifest::chooseService(*route, entry.id));
    arrive.max_attempts = route->max_attempts;
    arrive.repeatable = route->repeatable;
  }
  if (std::optional<std::string> const text = rigging::findHeader(headers, std::string(deadlineHeader))) {
    long asked = 0;
    char const* const last = text->data() + text->size();
    std::from_chars_result const read = std::from_chars(text->data(), last, asked);
    if (read.ec != std::errc() || read.ptr != last || asked <= 0 || asked > mostDeadlineMs) {
      reply(event.request, refusal(400, "limeramp-deadline-ms must be a whole number from 1 to 60000", Verdict::notRun));
      return;
    }
    waitMs = Ms(asked);
  }
  if (event.remainingMs) {
    waitMs = std::min(waitMs, *event.remainingMs);
  }
  entry.deadline = now + waitMs;
  manifest::Cell const* const cell = configuration.cellOf(*tenant);
  if (cell != nullptr && !cell->nodes.contains(self.node)) {
    if (event.passed) {
      reply(event.request, refusal(503, "this node does not own the tenant", Verdict::notRun, std::chrono::seconds(1)));
      return;
    }
    entry.carried = true;
    entry.search = nullptr;
    entry.services = {"@" + cell->name};
    arrive.minimum = 1;
    arrive.max_attempts = 2;
    arrive.repeatable = false;
  }
  char id[64];
  std::snprintf(id, sizeof id, "%s-%08llx-%llx", self.node.c_str(), static_cast<unsigned long long>(self.boot & 0xffffffff),
                static_cast<unsigned long long>(event.request));
  entry.id = id;
  entry.parts.resize(entry.services.size());
  arrive.services = entry.services;
  arrive.deadline = entry.deadline;
  open.emplace(event.request, std::move(entry));
  drive(arrive);
}

void Plane::Impl::carry(shoal::Send const& send) {
  Open const& entry = open.at(send.request);
  SendOut out;
  out.attempt = send.attempt;
  out.server = send.server;
  out.deadline = send.deadline;
  out.content = entry.content;
  out.remainingMs = std::chrono::duration_cast<Ms>(send.deadline - now);
  out.carried = entry.carried;
  if (!entry.carried) {
    rigging::Headers& headers = out.content.headers;
    headers = rigging::withoutHopByHop(headers);
    for (std::string_view const name : {deadlineHeader, requestHeader, shardHeader, versionHeader}) {
      rigging::dropHeader(headers, name);
    }
    headers.emplace_back(requestHeader, entry.id);
    headers.emplace_back(shardHeader, entry.services[send.leg]);
    headers.emplace_back(deadlineHeader, std::to_string(std::max<long>(1, out.remainingMs.count())));
    headers.emplace_back(versionHeader, entry.snapshot->version.text());
  }
  outgoing.emplace(send.attempt, Outgoing{send.request, send.leg});
  effects.emplace_back(std::move(out));
}

void Plane::Impl::carry(shoal::Cancel const& cancel) {
  outgoing.erase(cancel.attempt);
  effects.emplace_back(CancelOut{cancel.attempt});
}

void Plane::Impl::carry(shoal::Keep const& keep) {
  Open& entry = open.at(keep.request);
  if (entry.search != nullptr) {
    entry.parts[keep.leg] = ground.at(keep.attempt);
    ground.erase(keep.attempt);
  } else {
    entry.answer = std::move(answers.at(keep.attempt));
    answers.erase(keep.attempt);
  }
  outgoing.erase(keep.attempt);
}

void Plane::Impl::carry(shoal::Finish const& finish) {
  std::unordered_map<std::uint64_t, Open>::iterator const found = open.find(finish.request);
  Open& entry = found->second;
  bool const answered = finish.ending == shoal::Ending::complete || finish.ending == shoal::Ending::partial;
  if (answered && entry.search != nullptr) {
    entry.missing = finish.missing;
    std::vector<shoal::PartPtr> parts;
    for (shoal::PartPtr const& part : entry.parts) {
      if (part != nullptr) {
        parts.push_back(part);
      }
    }
    effects.emplace_back(Merge{finish.request, std::move(parts), entry.search->result_size});
    return;
  }
  if (answered) {
    rigging::Answer answer = std::move(*entry.answer);
    if (!entry.carried) {
      answer.headers = rigging::withoutHopByHop(answer.headers);
      rigging::dropHeader(answer.headers, "limeramp-verdict");
      rigging::dropHeader(answer.headers, requestHeader);
      rigging::dropHeader(answer.headers, versionHeader);
      rigging::dropHeader(answer.headers, loadHeader);
      answer.headers.emplace_back("limeramp-verdict", "ran");
      answer.headers.emplace_back(requestHeader, entry.id);
      answer.headers.emplace_back(versionHeader, entry.snapshot->version.text());
    }
    reply(finish.request, std::move(answer));
  } else {
    int const status = finish.reason == "deadline" ? 504 : finish.verdict == tally::Verdict::notRun ? 503 : 502;
    rigging::Answer answer = refusal(status, finish.reason, finish.verdict, finish.retryAfter);
    answer.headers.emplace_back(requestHeader, entry.id);
    answer.headers.emplace_back(versionHeader, entry.snapshot->version.text());
    reply(finish.request, std::move(answer));
  }
  open.erase(found);
}

void Plane::Impl::on(Exchanged const& event) {
  std::unordered_map<std::uint64_t, Outgoing>::iterator const found = outgoing.find(event.attempt);
  if (found == outgoing.end()) {
    return;
  }
  Open const& entry = open.at(found->second.request);
  rigging::Exchange const& exchange = event.exchange;
  shoal::Returned returned;
  returned.attempt = event.attempt;
  returned.verdict = exchange.verdict;
  if (!exchange.answer) {
    outgoing.erase(found);
    drive(returned);
    return;
  }
  returned.load = loadOf(exchange.answer->headers);
  if (entry.search == nullptr) {
    if (entry.carried) {
      std::optional<std::string> const verdict = rigging::findHeader(exchange.answer->headers, "limeramp-verdict");
      returned.healthy = true;
      returned.good = true;
      if (verdict && *verdict == "not_run" && exchange.answer->status == 503) {
        returned.good = false;
        returned.verdict = tally::Verdict::notRun;
      }
    } else {
      returned.good = true;
      returned.healthy = exchange.answer->status < 500;
    }
    if (returned.good) {
      answers.emplace(event.attempt, *exchange.answer);
    }
    drive(returned);
    answers.erase(event.attempt);
    return;
  }
  if (exchange.answer->status < 200 || exchange.answer->status > 299) {
    outgoing.erase(found);
    drive(returned);
    return;
  }
  std::size_t const leg = found->second.leg;
  effects.emplace_back(Grind{event.attempt, exchange.answer->body,
                             shoal::Stamp{entry.services[leg], entry.cuts[leg], entry.id}, entry.search->result_size,
                             returned.load});
}

void Plane::Impl::on(Ground const& event) {
  std::unordered_map<std::uint64_t, Outgoing>::iterator const found = outgoing.find(event.attempt);
  if (found == outgoing.end()) {
    return;
  }
  shoal::Returned returned;
  returned.attempt = event.attempt;
  returned.verdict = tally::Verdict::ran;
  returned.load = event.load;
  returned.good = returned.healthy = event.part.ok();
  if (event.part.ok()) {
    ground.emplace(event.attempt, std::make_shared<shoal::Part const>(*event.part));
  } else {
    Outgoing const place = found->second;
    effects.emplace_back(shoal::Note{signal::Event::partRefused, open.at(place.request).services[place.leg],
                                     std::string(event.part.status().message())});
    outgoing.erase(found);
  }
  drive(returned);
  ground.erase(event.attempt);
}

void Plane::Impl::on(Merged const& event) {
  std::unordered_map<std::uint64_t, Open>::iterator const found = open.find(event.request);
  if (found == open.end()) {
    return;
  }
  Open const& entry = found->second;
  std::string body = "{\"request\":" + json(entry.id) + ",\"version\":\"" + entry.snapshot->version.text() +
                     "\",\"missing\":" + std::to_string(entry.missing.size()) + ",\"missing_shards\":[";
  for (std::size_t index = 0; index < entry.missing.size(); ++index) {
    body += (index == 0 ? "" : ",") + json(entry.services[entry.missing[index]]);
  }
  body += "],\"stamps\":[";
  bool first = true;
  for (shoal::PartPtr const& part : entry.parts) {
    if (part != nullptr) {
      body += std::string(first ? "" : ",") + "{\"shard\":" + json(part->stamp.shard) +
              ",\"cut\":" + json(part->stamp.cut) + "}";
      first = false;
    }
  }
  body += "],\"records\":[";
  for (std::size_t index = 0; index < event.records.size(); ++index) {
    body += (index == 0 ? "" : ",") + json(event.records[index]);
  }
  body += "]}";
  rigging::Answer answer;
  answer.headers.emplace_back("content-type", "application/json");
  answer.headers.emplace_back("limeramp-verdict", "ran");
  answer.headers.emplace_back(requestHeader, entry.id);
  answer.headers.emplace_back(versionHeader, entry.snapshot->version.text());
  answer.body = std::move(body);
  reply(event.request, std::move(answer));
  open.erase(found);
}

Plane::Plane(Self const& self, shoal::Policy const& policy) : impl_(std::make_unique<Impl>(self, policy)) {}
Plane::~Plane() = default;
Plane::Plane(Plane&&) noexcept = default;
Plane& Plane::operator=(Plane&&) noexcept = default;

std::vector<Effect> Plane::step(TimePoint now, Event const& event) {
  impl_->now = now;
  impl_->effects.clear();
  std::visit([this](auto const& concrete) { impl_->on(concrete); }, event);
  return std::move(impl_->effects);
}

std::optional<TimePoint> Plane::nextWake(TimePoint now) const { return impl_->machine.nextWake(now); }
manifest::SnapshotPtr Plane::snapshot() const { return impl_->snapshot; }
std::vector<shoal::ServerView> Plane::servers(TimePoint now) const { return impl_->machine.servers(now); }
shoal::Counters Plane::counters() const { return impl_->machine.counters(); }
std::size_t Plane::requests() const { return impl_->open.size(); }

}
