#include "limeramp/gateway/request_manager.h"

#include <cstdio>
#include <map>
#include <unordered_map>

namespace limeramp::gateway {
namespace {

using Ms = std::chrono::milliseconds;

/// The request and the index of the shard that an attempt belongs to.
struct OpenAttempt {
  std::uint64_t request = 0;
  std::size_t shard = 0;
};

/// A request that was admitted and not answered, with the configuration that it is pinned to.
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
  Impl(NodeIdentity const& selfIn, dispatch::DispatchOptions const& options, ProtocolAdapter adapterIn)
      : self(selfIn), adapter(std::move(adapterIn)), dispatcher(options) {}

  NodeIdentity self;
  ProtocolAdapter adapter;
  dispatch::Dispatcher dispatcher;
  config::SnapshotPtr snapshot;
  std::unordered_map<std::uint64_t, OpenRequest> openRequests;
  std::unordered_map<std::uint64_t, OpenAttempt> openAttempts;
  std::unordered_map<std::uint64_t, dispatch::ShardResultPtr> parsedResults;
  std::unordered_map<std::uint64_t, net::Answer> answers;
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
  SubrequestContext contextOf(OpenRequest const& openRequest, std::size_t shard) const;
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

SubrequestContext RequestManager::Impl::contextOf(OpenRequest const& openRequest, std::size_t shard) const {
  SubrequestContext context;
  context.request = openRequest.id;
  context.service = openRequest.services[shard];
  context.partition = openRequest.partitions.empty() ? "" : openRequest.partitions[shard];
  context.version = openRequest.snapshot->version.text();
  context.expectsShardResult = openRequest.search != nullptr;
  context.resultSize = openRequest.search == nullptr ? 0 : openRequest.search->resultSize;
  return context;
}

void RequestManager::Impl::on(RequestReceived const& event) {
  using retry::Verdict;
  if (snapshot == nullptr) {
    refuse(event.request, {RefusalReason::stale, "no configuration is known yet", Verdict::notRun, Ms(1000), "", ""});
    return;
  }
  std::variant<Caller, Refusal> callerOrRefusal = adapter.readCaller(event.content);
  if (Refusal const* const refusal = std::get_if<Refusal>(&callerOrRefusal)) {
    refuse(event.request, *refusal);
    return;
  }
  Caller const& caller = std::get<Caller>(callerOrRefusal);
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
  OpenRequest openRequest;
  openRequest.content = event.content;
  openRequest.snapshot = snapshot;
  openRequest.id = caller.id;
  if (openRequest.id.empty()) {
    char id[64];
    std::snprintf(id, sizeof id, "-%08llx-%llx", static_cast<unsigned long long>(self.boot & 0xffffffff),
                  static_cast<unsigned long long>(event.request));
    openRequest.id = self.node + id;
  }
  Ms timeoutMs{0};
  Ms latencyTargetMs{0};
  dispatch::RequestArrived arrival;
  arrival.request = event.request;
  arrival.tenant = caller.tenant;
  if (config::Search const* const* const search = std::get_if<config::Search const*>(&found)) {
    openRequest.search = *search;
    timeoutMs = (*search)->deadlineMs;
    latencyTargetMs = (*search)->latencyTargetMs;
    arrival.priority = (*search)->priority;
    arrival.kind = static_cast<std::size_t>(*search - configuration.searches.data());
    for (config::Shard const& shard : (*search)->shards) {
      openRequest.services.push_back(shard.service);
      openRequest.partitions.push_back(shard.partition);
    }
    arrival.minimum = (*search)->minimumShards;
    arrival.maxAttempts = (*search)->maxAttempts;
    arrival.idempotent = true;
  } else {
    config::Route const* const route = std::get<config::Route const*>(found);
    timeoutMs = route->deadlineMs;
    latencyTargetMs = route->latencyTargetMs;
    arrival.priority = route->priority;
    arrival.kind = configuration.searches.size() + static_cast<std::size_t>(route - configuration.routes.data());
    openRequest.idempotent = route->idempotent;
    openRequest.services.push_back(config::chooseService(*route, openRequest.id));
    arrival.maxAttempts = route->maxAttempts;
    arrival.idempotent = route->idempotent;
  }
  if (caller.remainingMs) {
    timeoutMs = std::min(timeoutMs, *caller.remainingMs);
  }
  if (event.remainingMs) {
    timeoutMs = std::min(timeoutMs, *event.remainingMs);
  }
  openRequest.deadline = now + timeoutMs;
  config::Cell const* const cell = configuration.cellOf(caller.tenant);
  if (cell != nullptr && !cell->nodes.contains(self.node)) {
    if (event.forwarded) {
      refuse(event.request,
             {RefusalReason::stale, "this node does not own the tenant", Verdict::notRun, Ms(1000), "", ""});
      return;
    }
    openRequest.toCellOwner = true;
    openRequest.search = nullptr;
    openRequest.services = {"@" + cell->name};
    arrival.minimum = 1;
    arrival.maxAttempts = 2;
    arrival.idempotent = false;
  }
  openRequest.shardResults.resize(openRequest.services.size());
  arrival.services = openRequest.services;
  arrival.deadline = openRequest.deadline;
  arrival.latencyTarget =
      latencyTargetMs.count() == 0 ? openRequest.deadline : std::min(openRequest.deadline, now + latencyTargetMs);
  openRequests.emplace(event.request, std::move(openRequest));
  stepDispatcher(arrival);
}

void RequestManager::Impl::apply(dispatch::SendAttempt const& send) {
  OpenRequest const& openRequest = openRequests.at(send.request);
  SendRequest sendRequest;
  sendRequest.attempt = send.attempt;
  sendRequest.server = send.server;
  sendRequest.deadline = send.deadline;
  sendRequest.content = openRequest.content;
  sendRequest.remainingMs = std::chrono::duration_cast<Ms>(send.deadline - now);
  sendRequest.toCellOwner = openRequest.toCellOwner;
  if (!openRequest.toCellOwner) {
    sendRequest.content.headers = net::withoutHopByHop(sendRequest.content.headers);
    SubrequestContext context = contextOf(openRequest, send.shard);
    context.incarnation = send.incarnation;
    context.remainingMs = std::max(Ms(1), sendRequest.remainingMs);
    adapter.writeAsk(sendRequest.content, context);
  }
  openAttempts.emplace(send.attempt, OpenAttempt{send.request, send.shard});
  effects.emplace_back(std::move(sendRequest));
}

void RequestManager::Impl::apply(dispatch::CancelAttempt const& cancel) {
  openAttempts.erase(cancel.attempt);
  effects.emplace_back(CancelRequest{cancel.attempt});
}

void RequestManager::Impl::apply(dispatch::AcceptShardResult const& accepted) {
  OpenRequest& openRequest = openRequests.at(accepted.request);
  if (openRequest.search != nullptr) {
    openRequest.shardResults[accepted.shard] = parsedResults.at(accepted.attempt);
    parsedResults.erase(accepted.attempt);
  } else {
    openRequest.answer = std::move(answers.at(accepted.attempt));
    answers.erase(accepted.attempt);
  }
  openAttempts.erase(accepted.attempt);
}

void RequestManager::Impl::apply(dispatch::FinishRequest const& finish) {
  std::unordered_map<std::uint64_t, OpenRequest>::iterator const found = openRequests.find(finish.request);
  OpenRequest& openRequest = found->second;
  bool const answered =
      finish.outcome == dispatch::RequestOutcome::complete || finish.outcome == dispatch::RequestOutcome::partial;
  if (answered && openRequest.search != nullptr) {
    openRequest.missing = finish.missing;
    std::vector<dispatch::ShardResultPtr> shardResults;
    for (dispatch::ShardResultPtr const& shardResult : openRequest.shardResults) {
      if (shardResult != nullptr) {
        shardResults.push_back(shardResult);
      }
    }
    effects.emplace_back(MergeShardResults{finish.request, std::move(shardResults), openRequest.search->resultSize});
    return;
  }
  if (answered) {
    net::Answer answer = std::move(*openRequest.answer);
    if (!openRequest.toCellOwner) {
      answer.headers = net::withoutHopByHop(answer.headers);
      adapter.writeForwarded(answer, openRequest.id, openRequest.snapshot->version.text());
    }
    reply(finish.request, std::move(answer));
  } else {
    RefusalReason const kind = finish.verdict == retry::Verdict::notRun                   ? RefusalReason::overloaded
                               : finish.reason == dispatch::FinishReason::deadlineReached ? RefusalReason::deadline
                                                                                          : RefusalReason::failed;
    refuse(finish.request, {kind, std::string(dispatch::textOf(finish.reason)), finish.verdict, finish.retryAfter,
                            openRequest.id, openRequest.snapshot->version.text()});
  }
  openRequests.erase(found);
}

void RequestManager::Impl::on(ExchangeFinished const& event) {
  std::unordered_map<std::uint64_t, OpenAttempt>::iterator const found = openAttempts.find(event.attempt);
  if (found == openAttempts.end()) {
    return;
  }
  OpenRequest const& openRequest = openRequests.at(found->second.request);
  net::Exchange const& exchange = event.exchange;
  dispatch::AttemptFinished finished;
  finished.attempt = event.attempt;
  finished.verdict = exchange.verdict;
  if (!exchange.answer || exchange.answer->endedByClose) {
    // An answer that is delimited only by the close of its connection may be truncated.
    openAttempts.erase(found);
    stepDispatcher(finished);
    return;
  }
  if (openRequest.toCellOwner) {
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
  SubrequestContext const context = contextOf(openRequest, found->second.shard);
  ParsedAnswer parsed = adapter.readAnswer(*exchange.answer, context);
  parsed.finished.attempt = event.attempt;
  if (!context.expectsShardResult) {
    if (parsed.finished.good && !parsed.finished.healthy && openRequest.idempotent &&
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
    OpenAttempt const openAttempt = found->second;
    effects.emplace_back(dispatch::LogEntry{logging::Event::shardResultRejected,
                                            openRequests.at(openAttempt.request).services[openAttempt.shard],
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
  OpenRequest const& openRequest = found->second;
  MergedResult merged;
  merged.request = openRequest.id;
  merged.version = openRequest.snapshot->version.text();
  merged.services = openRequest.services;
  merged.missing = openRequest.missing;
  for (dispatch::ShardResultPtr const& shardResult : openRequest.shardResults) {
    if (shardResult != nullptr) {
      merged.shardResults.push_back(shardResult);
    }
  }
  merged.records = event.records;
  net::Answer answer = adapter.writeMerged(merged);
  reply(event.request, std::move(answer));
  openRequests.erase(found);
}

RequestManager::RequestManager(NodeIdentity const& self, dispatch::DispatchOptions const& options,
                               ProtocolAdapter adapter)
    : impl_(std::make_unique<Impl>(self, options, std::move(adapter))) {}
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
