#include "limeramp/gateway/request_plane.h"

#include <cstdio>
#include <map>
#include <unordered_map>

namespace limeramp::gateway {
namespace {

using Ms = std::chrono::milliseconds;

struct Outgoing {
  std::uint64_t request = 0;
  std::size_t leg = 0;
};

struct Open {
  net::Request content;
  config::SnapshotPtr snapshot;
  config::Search const* search = nullptr;
  bool carried = false;
  bool idempotent = false;
  std::string id;
  TimePoint deadline;
  std::vector<std::string> services;
  std::vector<std::string> cuts;
  std::vector<dispatch::ShardResultPtr> parts;
  std::optional<net::Answer> answer;
  std::vector<std::size_t> missing;
};

}  // namespace

struct Plane::Impl {
  Impl(Self const& selfIn, dispatch::DispatchOptions const& policy, Dialect dialectIn)
      : self(selfIn), dialect(std::move(dialectIn)), machine(policy) {}

  Self self;
  Dialect dialect;
  dispatch::Dispatcher machine;
  config::SnapshotPtr snapshot;
  std::unordered_map<std::uint64_t, Open> open;
  std::unordered_map<std::uint64_t, Outgoing> outgoing;
  std::unordered_map<std::uint64_t, dispatch::ShardResultPtr> ground;
  std::unordered_map<std::uint64_t, net::Answer> answers;
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
  void on(Tick const&) { drive(dispatch::Tick{}); }

  void drive(dispatch::DispatchEvent const& event);
  void carry(dispatch::SendAttempt const& send);
  void carry(dispatch::CancelAttempt const& cancel);
  void carry(dispatch::AcceptShardResult const& keep);
  void carry(dispatch::FinishRequest const& finish);
  void carry(dispatch::LogEntry const& note) { effects.emplace_back(note); }
  void reply(std::uint64_t request, net::Answer answer);
  void refuse(std::uint64_t request, Refusal const& refusal);
  void keepAnswer(Exchanged const& event, dispatch::AttemptFinished const& returned);
  void onMessage(std::uint64_t attempt, dispatch::AttemptFinished const& returned, dispatch::ShardResult part);
  Asked askedOf(Open const& entry, std::size_t leg) const;
};

void Plane::Impl::reply(std::uint64_t request, net::Answer answer) {
  effects.emplace_back(Reply{request, std::move(answer)});
}

void Plane::Impl::drive(dispatch::DispatchEvent const& event) {
  for (dispatch::DispatchEffect const& effect : machine.step(now, event)) {
    std::visit([this](auto const& concrete) { carry(concrete); }, effect);
  }
}

void Plane::Impl::on(InForce const& event) { snapshot = event.snapshot; }

void Plane::Impl::on(Owners const& event) {
  owners[event.cell] = event.addresses;
  dispatch::ServersUpdated servers;
  servers.service = "@" + event.cell;
  for (std::string const& address : event.addresses) {
    dispatch::ServerEndpoint row;
    row.address = address;
    row.capacity = 1e6;
    servers.rows.push_back(row);
  }
  drive(servers);
}

void Plane::Impl::refuse(std::uint64_t request, Refusal const& refusal) {
  reply(request, dialect.writeRefusal(refusal));
}

Asked Plane::Impl::askedOf(Open const& entry, std::size_t leg) const {
  Asked asked;
  asked.request = entry.id;
  asked.service = entry.services[leg];
  asked.cut = entry.cuts.empty() ? "" : entry.cuts[leg];
  asked.version = entry.snapshot->version.text();
  asked.part = entry.search != nullptr;
  asked.resultSize = entry.search == nullptr ? 0 : entry.search->resultSize;
  return asked;
}

void Plane::Impl::on(Arrived const& event) {
  using retry::Verdict;
  if (snapshot == nullptr) {
    refuse(event.request, {Unserved::stale, "no configuration is known yet", Verdict::notRun, Ms(1000), "", ""});
    return;
  }
  std::variant<Caller, Refusal> read = dialect.readCaller(event.content);
  if (Refusal const* const wrong = std::get_if<Refusal>(&read)) {
    refuse(event.request, *wrong);
    return;
  }
  Caller const& caller = std::get<Caller>(read);
  std::string const& target = event.content.target;
  std::string_view const path = std::string_view(target).substr(0, target.find('?'));
  config::Configuration const& configuration = snapshot->configuration;
  config::Target const found = config::findTarget(configuration, caller.host, caller.tenant, path);
  if (std::holds_alternative<std::monostate>(found)) {
    refuse(event.request,
           {Unserved::unknownEntry, "no entry or route of this tenant has this path", Verdict::notRun, {}, "", ""});
    return;
  }
  Open entry;
  entry.content = event.content;
  entry.snapshot = snapshot;
  entry.id = caller.id;
  if (entry.id.empty()) {
    char id[64];
    std::snprintf(id, sizeof id, "-%08llx-%llx", static_cast<unsigned long long>(self.boot & 0xffffffff),
                  static_cast<unsigned long long>(event.request));
    entry.id = self.node + id;
  }
  Ms waitMs{0};
  Ms aimMs{0};
  dispatch::RequestArrived arrive;
  arrive.request = event.request;
  arrive.tenant = caller.tenant;
  if (config::Search const* const* const search = std::get_if<config::Search const*>(&found)) {
    entry.search = *search;
    waitMs = (*search)->deadlineMs;
    aimMs = (*search)->aimMs;
    arrive.priority = (*search)->priority;
    arrive.kind = static_cast<std::size_t>(*search - configuration.searches.data());
    for (config::Shard const& shard : (*search)->shards) {
      entry.services.push_back(shard.service);
      entry.cuts.push_back(shard.cut);
    }
    arrive.minimum = (*search)->minimumShards;
    arrive.maxAttempts = (*search)->maxAttempts;
    arrive.idempotent = true;
  } else {
    config::Route const* const route = std::get<config::Route const*>(found);
    waitMs = route->deadlineMs;
    aimMs = route->aimMs;
    arrive.priority = route->priority;
    arrive.kind = configuration.searches.size() + static_cast<std::size_t>(route - configuration.routes.data());
    entry.idempotent = route->idempotent;
    entry.services.push_back(config::chooseService(*route, entry.id));
    arrive.maxAttempts = route->maxAttempts;
    arrive.idempotent = route->idempotent;
  }
  if (caller.remainingMs) {
    waitMs = std::min(waitMs, *caller.remainingMs);
  }
  if (event.remainingMs) {
    waitMs = std::min(waitMs, *event.remainingMs);
  }
  entry.deadline = now + waitMs;
  config::Cell const* const cell = configuration.cellOf(caller.tenant);
  if (cell != nullptr && !cell->nodes.contains(self.node)) {
    if (event.passed) {
      refuse(event.request, {Unserved::stale, "this node does not own the tenant", Verdict::notRun, Ms(1000), "", ""});
      return;
    }
    entry.carried = true;
    entry.search = nullptr;
    entry.services = {"@" + cell->name};
    arrive.minimum = 1;
    arrive.maxAttempts = 2;
    arrive.idempotent = false;
  }
  entry.parts.resize(entry.services.size());
  arrive.services = entry.services;
  arrive.deadline = entry.deadline;
  arrive.latencyTarget = aimMs.count() == 0 ? entry.deadline : std::min(entry.deadline, now + aimMs);
  open.emplace(event.request, std::move(entry));
  drive(arrive);
}

void Plane::Impl::carry(dispatch::SendAttempt const& send) {
  Open const& entry = open.at(send.request);
  SendOut out;
  out.attempt = send.attempt;
  out.server = send.server;
  out.deadline = send.deadline;
  out.content = entry.content;
  out.remainingMs = std::chrono::duration_cast<Ms>(send.deadline - now);
  out.carried = entry.carried;
  if (!entry.carried) {
    out.content.headers = net::withoutHopByHop(out.content.headers);
    Asked asked = askedOf(entry, send.shard);
    asked.incarnation = send.incarnation;
    asked.remainingMs = std::max(Ms(1), out.remainingMs);
    dialect.writeAsk(out.content, asked);
  }
  outgoing.emplace(send.attempt, Outgoing{send.request, send.shard});
  effects.emplace_back(std::move(out));
}

void Plane::Impl::carry(dispatch::CancelAttempt const& cancel) {
  outgoing.erase(cancel.attempt);
  effects.emplace_back(CancelOut{cancel.attempt});
}

void Plane::Impl::carry(dispatch::AcceptShardResult const& keep) {
  Open& entry = open.at(keep.request);
  if (entry.search != nullptr) {
    entry.parts[keep.shard] = ground.at(keep.attempt);
    ground.erase(keep.attempt);
  } else {
    entry.answer = std::move(answers.at(keep.attempt));
    answers.erase(keep.attempt);
  }
  outgoing.erase(keep.attempt);
}

void Plane::Impl::carry(dispatch::FinishRequest const& finish) {
  std::unordered_map<std::uint64_t, Open>::iterator const found = open.find(finish.request);
  Open& entry = found->second;
  bool const answered =
      finish.outcome == dispatch::RequestOutcome::complete || finish.outcome == dispatch::RequestOutcome::partial;
  if (answered && entry.search != nullptr) {
    entry.missing = finish.missing;
    std::vector<dispatch::ShardResultPtr> parts;
    for (dispatch::ShardResultPtr const& part : entry.parts) {
      if (part != nullptr) {
        parts.push_back(part);
      }
    }
    effects.emplace_back(Merge{finish.request, std::move(parts), entry.search->resultSize});
    return;
  }
  if (answered) {
    net::Answer answer = std::move(*entry.answer);
    if (!entry.carried) {
      answer.headers = net::withoutHopByHop(answer.headers);
      dialect.writeForwarded(answer, entry.id, entry.snapshot->version.text());
    }
    reply(finish.request, std::move(answer));
  } else {
    Unserved const why = finish.verdict == retry::Verdict::notRun ? Unserved::overloaded
                         : finish.reason == "deadline"            ? Unserved::deadline
                                                                  : Unserved::failed;
    refuse(finish.request,
           {why, finish.reason, finish.verdict, finish.retryAfter, entry.id, entry.snapshot->version.text()});
  }
  open.erase(found);
}

void Plane::Impl::on(Exchanged const& event) {
  std::unordered_map<std::uint64_t, Outgoing>::iterator const found = outgoing.find(event.attempt);
  if (found == outgoing.end()) {
    return;
  }
  Open const& entry = open.at(found->second.request);
  net::Exchange const& exchange = event.exchange;
  dispatch::AttemptFinished returned;
  returned.attempt = event.attempt;
  returned.verdict = exchange.verdict;
  if (!exchange.answer || exchange.answer->endedByClose) {
    // Nothing shows that an answer is whole whose only end is the end of its connection.
    outgoing.erase(found);
    drive(returned);
    return;
  }
  if (entry.carried) {
    std::optional<std::string> const verdict = net::findHeader(exchange.answer->headers, "limeramp-verdict");
    returned.healthy = true;
    returned.good = true;
    if (verdict && *verdict == "not_run" && exchange.answer->status == 503) {
      returned.good = false;
      returned.verdict = retry::Verdict::notRun;
    }
    keepAnswer(event, returned);
    return;
  }
  Asked const asked = askedOf(entry, found->second.leg);
  Heard heard = dialect.readAnswer(*exchange.answer, asked);
  heard.returned.attempt = event.attempt;
  if (!asked.part) {
    if (heard.returned.good && !heard.returned.healthy && entry.idempotent &&
        heard.returned.verdict != retry::Verdict::notRun) {
      heard.returned.good = false;
    }
    keepAnswer(event, heard.returned);
  } else if (heard.part) {
    onMessage(event.attempt, heard.returned, std::move(*heard.part));
  } else if (!heard.returned.good) {
    if (!heard.reason.empty()) {
      effects.emplace_back(dispatch::LogEntry{logging::Event::shardResultRejected, asked.service, heard.reason});
    }
    outgoing.erase(found);
    drive(heard.returned);
  } else {
    effects.emplace_back(Grind{event.attempt, exchange.answer->body,
                               dispatch::ShardStamp{asked.service, asked.cut, asked.request}, asked.resultSize,
                               heard.returned.load});
  }
}

void Plane::Impl::keepAnswer(Exchanged const& event, dispatch::AttemptFinished const& returned) {
  if (returned.good) {
    answers.emplace(event.attempt, *event.exchange.answer);
  } else {
    outgoing.erase(event.attempt);
  }
  drive(returned);
  answers.erase(event.attempt);
}

void Plane::Impl::onMessage(std::uint64_t attempt, dispatch::AttemptFinished const& returned,
                            dispatch::ShardResult part) {
  ground.emplace(attempt, std::make_shared<dispatch::ShardResult const>(std::move(part)));
  drive(returned);
  ground.erase(attempt);
}

void Plane::Impl::on(Ground const& event) {
  std::unordered_map<std::uint64_t, Outgoing>::iterator const found = outgoing.find(event.attempt);
  if (found == outgoing.end()) {
    return;
  }
  dispatch::AttemptFinished returned;
  returned.attempt = event.attempt;
  returned.verdict = retry::Verdict::ran;
  returned.load = event.load;
  returned.good = returned.healthy = event.part.ok();
  if (event.part.ok()) {
    onMessage(event.attempt, returned, *event.part);
  } else {
    Outgoing const place = found->second;
    effects.emplace_back(dispatch::LogEntry{logging::Event::shardResultRejected,
                                            open.at(place.request).services[place.leg],
                                            std::string(event.part.status().message())});
    outgoing.erase(found);
    drive(returned);
  }
}

void Plane::Impl::on(Merged const& event) {
  std::unordered_map<std::uint64_t, Open>::iterator const found = open.find(event.request);
  if (found == open.end()) {
    return;
  }
  Open const& entry = found->second;
  Gathered gathered;
  gathered.request = entry.id;
  gathered.version = entry.snapshot->version.text();
  gathered.services = entry.services;
  gathered.missing = entry.missing;
  for (dispatch::ShardResultPtr const& part : entry.parts) {
    if (part != nullptr) {
      gathered.parts.push_back(part);
    }
  }
  gathered.records = event.records;
  net::Answer answer = dialect.writeGathered(gathered);
  reply(event.request, std::move(answer));
  open.erase(found);
}

Plane::Plane(Self const& self, dispatch::DispatchOptions const& policy, Dialect dialect)
    : impl_(std::make_unique<Impl>(self, policy, std::move(dialect))) {}
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
config::SnapshotPtr Plane::snapshot() const { return impl_->snapshot; }
std::vector<dispatch::ServerStatus> Plane::servers(TimePoint now) const { return impl_->machine.servers(now); }
dispatch::Counters Plane::counters() const { return impl_->machine.counters(); }
std::size_t Plane::requests() const { return impl_->open.size(); }

}  // namespace limeramp::gateway
