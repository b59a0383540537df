#include "limeramp/gateway/request_manager.h"

#include <cstdio>
#include <map>
#include <unordered_map>

namespace limeramp::gateway {
namespace {

using Ms = std::chrono::milliseconds;

struct OpenAttempt {
  std::uint64_t request = 0;
  std::size_t shard = 0;
};

struct OpenRequest {
  net::Request content;
  config::SnapshotPtr snapshot;
  config::Search const* search = nullptr;
  bool toCellOwner = false;
  bool idempotent = false;
  std::string id;
  TimePoint deadline;
  std::vector<std::string> services;
  std::vector<std::string> partitions;
  std::vector<dispatch::ShardResultPtr> shardResults;
  std::optional<net::Answer> answer;
  std::vector<std::size_t> missing;
};

}  // namespace

struct RequestManager::Impl {
  Impl(NodeIdentity const& selfIn, dispatch::DispatchOptions const& policy, ProtocolAdapter adapterIn)
      : self(selfIn), adapter(std::move(adapterIn)), dispatcher(policy) {}

  NodeIdentity self;
  ProtocolAdapter adapter;
  dispatch::Dispatcher dispatcher;
  config::SnapshotPtr snapshot;
  std::unordered_map<std::uint64_t, OpenRequest> openRequests;
  std::unordered_map<std::uint64_t, OpenAttempt> openAttempts;
  std::unordered_map<std::uint64_t, dispatch::ShardResultPtr> parsedResults;
  std::unordered_map<std::uint64_t, net::Answer> answers;
  std::map<std::string, std::vector<std::string>> owners;
  std::vector<RequestEffect> effects;
  TimePoint now;

  void on(RequestReceived const& event);
  void on(ExchangeFinished const& event);
  void on(ShardResultParsed const& event);
  void on(MergeFinished const& event);
  void on(ConfigurationInForce const& event);
  void on(EndpointsChanged const& event) { stepDispatcher(event.servers); }
  void on(CellOwners const& event);
  void on(PositionChanged const& event) { stepDispatcher(event.position); }
  void on(Tick const&) { stepDispatcher(dispatch::Tick{}); }

  void stepDispatcher(dispatch::DispatchEvent const& event);
  void apply(dispatch::SendAttempt const& send);
  void apply(dispatch::CancelAttempt const& cancel);
  void apply(dispatch::AcceptShardResult const& accepted);
  void apply(dispatch::FinishRequest const& finish);
  void apply(dispatch::LogEntry const& entry) { effects.emplace_back(entry); }
  void reply(std::uint64_t request, net::Answer answer);
  void refuse(std::uint64_t request, Refusal const& refusal);
  void acceptAnswer(ExchangeFinished const& event, dispatch::AttemptFinished const& finished);
  void acceptShardResult(std::uint64_t attempt, dispatch::AttemptFinished const& finished,
                         dispatch::ShardResult shardResult);
  SubrequestContext contextOf(OpenRequest const& entry, std::size_t shard) const;
};

void RequestManager::Impl::reply(std::uint64_t request, net::Answer answer) {
  effects.emplace_back(Reply{request, std::move(answer)});
}

void RequestManager::Impl::stepDispatcher(dispatch::DispatchEvent const& event) {
  for (dispatch::DispatchEffect const& effect : dispatcher.step(now, event)) {
    std::visit([this](auto const& concrete) { apply(concrete); }, effect);
  }
}

void RequestManager::Impl::on(ConfigurationInForce const& event) { snapshot = event.snapshot; }

void RequestManager::Impl::on(CellOwners const& event) {
  owners[event.cell] = event.addresses;
  dispatch::ServersUpdated servers;
  servers.service = "@" + event.cell;
  for (std::string const& address : event.addresses) {
    dispatch::ServerEndpoint row;
    row.address = address;
    row.capacity = 1e6;
    servers.rows.push_back(row);
  }
  stepDispatcher(servers);
}

void RequestManager::Impl::refuse(std::uint64_t request, Refusal const& refusal) {
  reply(request, adapter.writeRefusal(refusal));
}

SubrequestContext RequestManager::Impl::contextOf(OpenRequest const& entry, std::size_t shard) const {
  SubrequestContext context;
  context.request = entry.id;
  context.service = entry.services[shard];
  context.partition = entry.partitions.empty() ? "" : entry.partitions[shard];
  context.version = entry.snapshot->version.text();
  context.expectsShardResult = entry.search != nullptr;
  context.resultSize = entry.search == nullptr ? 0 : entry.search->resultSize;
  return context;
}

void RequestManager::Impl::on(RequestReceived const& event) {
  using retry::Verdict;
  if (snapshot == nullptr) {
    refuse(event.request, {RefusalReason::stale, "no configuration is known yet", Verdict::notRun, Ms(1000), "", ""});
    return;
  }
  std::variant<Caller, Refusal> read = adapter.readCaller(event.content);
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
    refuse(
        event.request,
        {RefusalReason::unknownEntry, "no entry or route of this tenant has this path", Verdict::notRun, {}, "", ""});
    return;
  }
  OpenRequest entry;
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
  Ms latencyTargetMs{0};
  dispatch::RequestArrived arrive;
  arrive.request = event.request;
  arrive.tenant = caller.tenant;
  if (config::Search const* const* const search = std::get_if<config::Search const*>(&found)) {
    entry.search = *search;
    waitMs = (*search)->deadlineMs;
    latencyTargetMs = (*search)->latencyTargetMs;
    arrive.priority = (*search)->priority;
    arrive.kind = static_cast<std::size_t>(*search - configuration.searches.data());
    for (config::Shard const& shard : (*search)->shards) {
      entry.services.push_back(shard.service);
      entry.partitions.push_back(shard.partition);
    }
    arrive.minimum = (*search)->minimumShards;
    arrive.maxAttempts = (*search)->maxAttempts;
    arrive.idempotent = true;
  } else {
    config::Route const* const route = std::get<config::Route const*>(found);
    waitMs = route->deadlineMs;
    latencyTargetMs = route->latencyTargetMs;
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
    if (event.forwarded) {
      refuse(event.request,
             {RefusalReason::stale, "this node does not own the tenant", Verdict::notRun, Ms(1000), "", ""});
      return;
    }
    entry.toCellOwner = true;
    entry.search = nullptr;
    entry.services = {"@" + cell->name};
    arrive.minimum = 1;
    arrive.maxAttempts = 2;
    arrive.idempotent = false;
  }
  entry.shardResults.resize(entry.services.size());
  arrive.services = entry.services;
  arrive.deadline = entry.deadline;
  arrive.latencyTarget =
      latencyTargetMs.count() == 0 ? entry.deadline : std::min(entry.deadline, now + latencyTargetMs);
  openRequests.emplace(event.request, std::move(entry));
  stepDispatcher(arrive);
}

void RequestManager::Impl::apply(dispatch::SendAttempt const& send) {
  OpenRequest const& entry = openRequests.at(send.request);
  SendRequest out;
  out.attempt = send.attempt;
  out.server = send.server;
  out.deadline = send.deadline;
  out.content = entry.content;
  out.remainingMs = std::chrono::duration_cast<Ms>(send.deadline - now);
  out.toCellOwner = entry.toCellOwner;
  if (!entry.toCellOwner) {
    out.content.headers = net::withoutHopByHop(out.content.headers);
    SubrequestContext context = contextOf(entry, send.shard);
    context.incarnation = send.incarnation;
    context.remainingMs = std::max(Ms(1), out.remainingMs);
    adapter.writeAsk(out.content, context);
  }
  openAttempts.emplace(send.attempt, OpenAttempt{send.request, send.shard});
  effects.emplace_back(std::move(out));
}

void RequestManager::Impl::apply(dispatch::CancelAttempt const& cancel) {
  openAttempts.erase(cancel.attempt);
  effects.emplace_back(CancelRequest{cancel.attempt});
}

void RequestManager::Impl::apply(dispatch::AcceptShardResult const& accepted) {
  OpenRequest& entry = openRequests.at(accepted.request);
  if (entry.search != nullptr) {
    entry.shardResults[accepted.shard] = parsedResults.at(accepted.attempt);
    parsedResults.erase(accepted.attempt);
  } else {
    entry.answer = std::move(answers.at(accepted.attempt));
    answers.erase(accepted.attempt);
  }
  openAttempts.erase(accepted.attempt);
}

void RequestManager::Impl::apply(dispatch::FinishRequest const& finish) {
  std::unordered_map<std::uint64_t, OpenRequest>::iterator const found = openRequests.find(finish.request);
  OpenRequest& entry = found->second;
  bool const answered =
      finish.outcome == dispatch::RequestOutcome::complete || finish.outcome == dispatch::RequestOutcome::partial;
  if (answered && entry.search != nullptr) {
    entry.missing = finish.missing;
    std::vector<dispatch::ShardResultPtr> shardResults;
    for (dispatch::ShardResultPtr const& shardResult : entry.shardResults) {
      if (shardResult != nullptr) {
        shardResults.push_back(shardResult);
      }
    }
    effects.emplace_back(MergeShardResults{finish.request, std::move(shardResults), entry.search->resultSize});
    return;
  }
  if (answered) {
    net::Answer answer = std::move(*entry.answer);
    if (!entry.toCellOwner) {
      answer.headers = net::withoutHopByHop(answer.headers);
      adapter.writeForwarded(answer, entry.id, entry.snapshot->version.text());
    }
    reply(finish.request, std::move(answer));
  } else {
    RefusalReason const kind = finish.verdict == retry::Verdict::notRun                   ? RefusalReason::overloaded
                               : finish.reason == dispatch::FinishReason::deadlineReached ? RefusalReason::deadline
                                                                                          : RefusalReason::failed;
    refuse(finish.request, {kind, std::string(dispatch::textOf(finish.reason)), finish.verdict, finish.retryAfter,
                            entry.id, entry.snapshot->version.text()});
  }
  openRequests.erase(found);
}

void RequestManager::Impl::on(ExchangeFinished const& event) {
  std::unordered_map<std::uint64_t, OpenAttempt>::iterator const found = openAttempts.find(event.attempt);
  if (found == openAttempts.end()) {
    return;
  }
  OpenRequest const& entry = openRequests.at(found->second.request);
  net::Exchange const& exchange = event.exchange;
  dispatch::AttemptFinished finished;
  finished.attempt = event.attempt;
  finished.verdict = exchange.verdict;
  if (!exchange.answer || exchange.answer->endedByClose) {
    // Nothing shows that an answer is whole whose only end is the end of its connection.
    openAttempts.erase(found);
    stepDispatcher(finished);
    return;
  }
  if (entry.toCellOwner) {
    std::optional<std::string> const verdict = net::findHeader(exchange.answer->headers, "limeramp-verdict");
    finished.healthy = true;
    finished.good = true;
    if (verdict && *verdict == "not_run" && exchange.answer->status == 503) {
      finished.good = false;
      finished.verdict = retry::Verdict::notRun;
    }
    acceptAnswer(event, finished);
    return;
  }
  SubrequestContext const context = contextOf(entry, found->second.shard);
  ParsedAnswer parsed = adapter.readAnswer(*exchange.answer, context);
  parsed.finished.attempt = event.attempt;
  if (!context.expectsShardResult) {
    if (parsed.finished.good && !parsed.finished.healthy && entry.idempotent &&
        parsed.finished.verdict != retry::Verdict::notRun) {
      parsed.finished.good = false;
    }
    acceptAnswer(event, parsed.finished);
  } else if (parsed.shardResult) {
    acceptShardResult(event.attempt, parsed.finished, std::move(*parsed.shardResult));
  } else if (!parsed.finished.good) {
    if (!parsed.reason.empty()) {
      effects.emplace_back(dispatch::LogEntry{logging::Event::shardResultRejected, context.service, parsed.reason});
    }
    openAttempts.erase(found);
    stepDispatcher(parsed.finished);
  } else {
    effects.emplace_back(ParseShardResult{event.attempt, exchange.answer->body,
                                          dispatch::ShardStamp{context.service, context.partition, context.request},
                                          context.resultSize, parsed.finished.load});
  }
}

void RequestManager::Impl::acceptAnswer(ExchangeFinished const& event, dispatch::AttemptFinished const& finished) {
  if (finished.good) {
    answers.emplace(event.attempt, *event.exchange.answer);
  } else {
    openAttempts.erase(event.attempt);
  }
  stepDispatcher(finished);
  answers.erase(event.attempt);
}

void RequestManager::Impl::acceptShardResult(std::uint64_t attempt, dispatch::AttemptFinished const& finished,
                                             dispatch::ShardResult shardResult) {
  parsedResults.emplace(attempt, std::make_shared<dispatch::ShardResult const>(std::move(shardResult)));
  stepDispatcher(finished);
  parsedResults.erase(attempt);
}

void RequestManager::Impl::on(ShardResultParsed const& event) {
  std::unordered_map<std::uint64_t, OpenAttempt>::iterator const found = openAttempts.find(event.attempt);
  if (found == openAttempts.end()) {
    return;
  }
  dispatch::AttemptFinished finished;
  finished.attempt = event.attempt;
  finished.verdict = retry::Verdict::ran;
  finished.load = event.load;
  finished.good = finished.healthy = event.shardResult.ok();
  if (event.shardResult.ok()) {
    acceptShardResult(event.attempt, finished, *event.shardResult);
  } else {
    OpenAttempt const position = found->second;
    effects.emplace_back(dispatch::LogEntry{logging::Event::shardResultRejected,
                                            openRequests.at(position.request).services[position.shard],
                                            std::string(event.shardResult.status().message())});
    openAttempts.erase(found);
    stepDispatcher(finished);
  }
}

void RequestManager::Impl::on(MergeFinished const& event) {
  std::unordered_map<std::uint64_t, OpenRequest>::iterator const found = openRequests.find(event.request);
  if (found == openRequests.end()) {
    return;
  }
  OpenRequest const& entry = found->second;
  MergedResult merged;
  merged.request = entry.id;
  merged.version = entry.snapshot->version.text();
  merged.services = entry.services;
  merged.missing = entry.missing;
  for (dispatch::ShardResultPtr const& shardResult : entry.shardResults) {
    if (shardResult != nullptr) {
      merged.shardResults.push_back(shardResult);
    }
  }
  merged.records = event.records;
  net::Answer answer = adapter.writeMerged(merged);
  reply(event.request, std::move(answer));
  openRequests.erase(found);
}

RequestManager::RequestManager(NodeIdentity const& self, dispatch::DispatchOptions const& policy,
                               ProtocolAdapter adapter)
    : impl_(std::make_unique<Impl>(self, policy, std::move(adapter))) {}
RequestManager::~RequestManager() = default;
RequestManager::RequestManager(RequestManager&&) noexcept = default;
RequestManager& RequestManager::operator=(RequestManager&&) noexcept = default;

std::vector<RequestEffect> RequestManager::step(TimePoint now, RequestEvent const& event) {
  impl_->now = now;
  impl_->effects.clear();
  std::visit([this](auto const& concrete) { impl_->on(concrete); }, event);
  return std::move(impl_->effects);
}

std::optional<TimePoint> RequestManager::nextWake(TimePoint now) const { return impl_->dispatcher.nextWake(now); }
config::SnapshotPtr RequestManager::snapshot() const { return impl_->snapshot; }
std::vector<dispatch::ServerStatus> RequestManager::servers(TimePoint now) const {
  return impl_->dispatcher.servers(now);
}
dispatch::Counters RequestManager::counters() const { return impl_->dispatcher.counters(); }
std::size_t RequestManager::requests() const { return impl_->openRequests.size(); }

}  // namespace limeramp::gateway
