// Reads the platform's list of servers when the directory asks for it, and passes its rows to the directory.
#include "gateway_server_impl.h"

#include "limeramp/logging/logging.h"

namespace limeramp::gateway {
namespace {

constexpr Ms listTimeoutMs{1'000};
/// Id of a list read in the HTTP client, which no request attempt or forwarded call has.
constexpr std::uint64_t listAttemptId = 1ULL << 62;
constexpr int tooManyRequestsStatus = 429;

}  // namespace

void GatewayServer::Impl::apply(discovery::DirectoryStep const& step) {
  peerLink.sendAll(fleet, step.sends);
  for (std::string const& service : step.changed) {
    updateServers(service);
  }
  if (step.emptyListIgnored && listProblem != "empty") {
    listProblem = "empty";
    logging::raise(logging::Event::emptyListIgnored, {{"platform", settings.platform}});
  }
  if (step.readList) {
    readList(step.page);
  }
}

void GatewayServer::Impl::readList(std::string const& page) {
  client.begin(listAttemptId, net::Address::parse(settings.platform).value_or(net::Address{}),
               adapter.listRequest(page), Clock::now() + listTimeoutMs,
               [this](net::Exchange exchange) { post(ListRead{std::move(exchange)}); });
}

void GatewayServer::Impl::applyList(discovery::List const& list) {
  if (list.dropped != droppedRows) {
    for (std::string const& dropped : list.dropped) {
      logging::raise(logging::Event::listRowDropped, {{"row", dropped}});
    }
    droppedRows = list.dropped;
  }
  if (list.rows > 0) {
    listProblem.clear();
  }
  apply(directory.onListPage(Clock::now(), list));
  refreshReadiness(Clock::now());
}

void GatewayServer::Impl::on(ListRead& inbound) {
  std::optional<net::Answer> const& answer = inbound.exchange.answer;
  std::string reason = answer ? "status " + std::to_string(answer->status) : inbound.exchange.reason;
  if (answer && answer->status == 200) {
    absl::StatusOr<discovery::List> const list = adapter.readList(answer->body);
    if (list.ok()) {
      applyList(*list);
      return;
    }
    reason = std::string(list.status().message());
  }
  directory.listFailed(Clock::now(), answer && answer->status == tooManyRequestsStatus);
  if (reason != listProblem) {
    listProblem = reason;
    logging::raise(logging::Event::listUnreachable, {{"platform", settings.platform}, {"reason", reason}});
  }
}

}  // namespace limeramp::gateway
