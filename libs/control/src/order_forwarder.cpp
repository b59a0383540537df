#include "limeramp/control/order_forwarder.h"

#include "limeramp/control/operator_api.h"

#include <algorithm>
#include <unordered_map>

namespace limeramp::control {
namespace {

using Ms = std::chrono::milliseconds;

constexpr char const* relayedHeader = "limeramp-relayed";

struct Job {
  net::Request content;
  std::string change;
  net::Responder respond;
  bool reads = false;
  /// Of a request that needs its caller; 0 for others.
  std::uint64_t callerToken = 0;
};

RelayOutcome outcomeOfRead(net::Answer const& answer) {
  bool const isDocument = answer.status == 200 && net::findHeader(answer.headers, versionHeader).has_value();
  return isDocument ? RelayOutcome::final : RelayOutcome::mayHaveRun;
}

RelayOutcome outcomeOfChange(net::Answer const& answer, std::string const& change) {
  std::optional<std::string> const named = decidedChange(answer);
  if (answer.status == 503 && named.value_or(change) == change) {
    return RelayOutcome::notRun;
  }
  return named == change ? RelayOutcome::final : RelayOutcome::mayHaveRun;
}

RelayOutcome outcomeOf(net::Exchange const& exchange, Job const& job) {
  if (!exchange.answer || exchange.answer->endedByClose) {
    return exchange.verdict == retry::Verdict::notRun ? RelayOutcome::notRun : RelayOutcome::mayHaveRun;
  }
  net::Answer const& answer = *exchange.answer;
  if (answer.status == 504) {
    return RelayOutcome::mayHaveRun;
  }
  if (job.reads) {
    return answer.status == 503 ? RelayOutcome::notRun : outcomeOfRead(answer);
  }
  return outcomeOfChange(answer, job.change);
}

}  // namespace

struct OrderForwarder::Impl {
  Impl(net::HttpClient& clientIn, std::string const& advertiseIn, std::uint64_t firstAttempt, Post postIn)
      : client(clientIn), advertise(advertiseIn), post(std::move(postIn)), relay({}, firstAttempt) {}

  net::HttpClient& client;
  std::string advertise;
  Post post;
  Relay relay;
  std::string primary;
  std::uint64_t lastTicket = 0;
  std::unordered_map<std::uint64_t, Job> jobs;

  void finish(std::uint64_t ticket, net::Answer answer) {
    std::unordered_map<std::uint64_t, Job>::iterator const found = jobs.find(ticket);
    found->second.respond(std::move(answer));
    jobs.erase(found);
  }

  void drive(TimePoint now, RelayEvent const& event, net::Exchange const* exchange = nullptr) {
    for (RelayEffect const& effect : relay.step(now, event)) {
      if (RelaySend const* const send = std::get_if<RelaySend>(&effect)) {
        begin(now, *send);
      } else if (RelayCancel const* const cancel = std::get_if<RelayCancel>(&effect)) {
        client.cancel(cancel->attempt);
      } else if (RelayDone const* const done = std::get_if<RelayDone>(&effect)) {
        finish(done->ticket, relayAnswer(*exchange, jobs.at(done->ticket).change));
      } else if (OrderOutcome const* const decided = std::get_if<OrderOutcome>(&effect)) {
        OrderOutcome said = *decided;
        said.verdict = jobs.at(said.ticket).reads ? OrderStatus::notRun : said.verdict;
        finish(said.ticket, answerOf(said, jobs.at(said.ticket).change));
      }
    }
  }

  void begin(TimePoint now, RelaySend const& send) {
    net::Request request = jobs.at(send.ticket).content;
    long const leftMs = std::chrono::duration_cast<Ms>(send.deadline - now).count();
    request.headers.emplace_back(deadlineHeader, std::to_string(std::max<long>(1, leftMs)));
    std::uint64_t const ticket = send.ticket;
    std::uint64_t const attempt = send.attempt;
    client.begin(attempt, net::Address::parse(send.address).value_or(net::Address{}), std::move(request), send.deadline,
                 [to = post, ticket, attempt](net::Exchange exchange) {
                   to({ticket, attempt, std::move(exchange)});
                 });
  }
};

OrderForwarder::OrderForwarder(net::HttpClient& client, std::string const& advertise, std::uint64_t firstAttempt,
                               Post post)
    : impl_(std::make_unique<Impl>(client, advertise, firstAttempt, std::move(post))) {}

OrderForwarder::~OrderForwarder() = default;

void OrderForwarder::take(TimePoint now, TimePoint arrivedAt, net::Request content, net::Responder respond) {
  bool const reads = operatorCallOf(content) == OperatorCall::read;
  std::variant<Change, net::Answer> change = reads ? Change{} : readChange(content, arrivedAt);
  std::variant<TimePoint, net::Answer> deadline = readDeadline(content, arrivedAt);
  std::variant<std::vector<std::string>, net::Answer> nodes;
  if (operatorCallOf(content) == OperatorCall::removeNodes) {
    nodes = readRemoveNodes(content.body);
  }
  for (net::Answer* const wrong :
       {std::get_if<net::Answer>(&change), std::get_if<net::Answer>(&deadline), std::get_if<net::Answer>(&nodes)}) {
    if (wrong != nullptr) {
      respond(std::move(*wrong));
      return;
    }
  }
  std::string const& id = std::get<Change>(change).id;
  if (net::findHeader(content.headers, relayedHeader)) {
    respond(answerOf(OrderOutcome{0, OrderStatus::notRun, {}, {}, "this node is not the primary"}, id));
    return;
  }
  content.headers = net::withoutHopByHop(content.headers);
  for (char const* const name : {changeHeader, deadlineHeader, "host"}) {
    net::dropHeader(content.headers, name);
  }
  if (!reads) {
    content.headers.emplace_back(changeHeader, id);
    content.identity = {changeHeader, changeHeader, false};
  }
  content.headers.emplace_back(relayedHeader, "1");
  content.headers.emplace_back("limeramp-from", impl_->advertise);
  std::uint64_t const ticket = ++impl_->lastTicket;
  std::uint64_t const callerToken = needsCaller(content) ? content.token : 0;
  impl_->jobs.emplace(ticket, Job{std::move(content), id, std::move(respond), reads, callerToken});
  impl_->drive(now, RelayRequested{ticket, std::get<TimePoint>(deadline)});
}

void OrderForwarder::onFinished(TimePoint now, ForwardFinished& back) {
  std::unordered_map<std::uint64_t, Job>::const_iterator const job = impl_->jobs.find(back.ticket);
  if (job != impl_->jobs.end()) {
    RelayOutcome const outcome = outcomeOf(back.exchange, job->second);
    impl_->drive(now, RelayAttemptFinished{back.ticket, back.attempt, outcome}, &back.exchange);
  }
}

void OrderForwarder::onCallerLeft(TimePoint now, std::uint64_t requestToken) {
  std::unordered_map<std::uint64_t, Job>::const_iterator const found =
      std::find_if(impl_->jobs.begin(), impl_->jobs.end(),
                   [&](auto const& entry) { return requestToken != 0 && entry.second.callerToken == requestToken; });
  if (found != impl_->jobs.end()) {
    impl_->drive(now, CallerLeft{found->first});
  }
}

void OrderForwarder::tick(TimePoint now, std::string const& primaryAddress) {
  if (primaryAddress != impl_->primary) {
    impl_->primary = primaryAddress;
    impl_->drive(now, RelayPrimary{primaryAddress});
  }
  impl_->drive(now, Tick{});
}

}  // namespace limeramp::control
