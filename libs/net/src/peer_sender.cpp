#include "limeramp/net/peer_sender.h"

#include <atomic>
#include <map>
#include <mutex>

namespace limeramp::net {
namespace {

constexpr std::size_t maxOutstanding = 32;
constexpr std::chrono::milliseconds sendTimeoutMs{800};

}  // namespace

struct PeerSender::Impl {
  Impl(Network& network, std::string const& fromIn) : client(network, bounds()), from(fromIn) {}

  static ClientBounds bounds() {
    ClientBounds out;
    out.maxAnswerBytes = 64 << 10;
    out.idleMs = std::chrono::milliseconds(5000);
    out.maxConnectionsPerServer = 1;
    out.connectMs = std::chrono::milliseconds(250);
    out.maxWaitingPerServer = maxOutstanding;
    return out;
  }

  HttpClient client;
  std::string from;
  std::mutex mutex;
  std::map<std::string, std::shared_ptr<std::atomic<std::size_t>>> outstanding;
  std::uint64_t lastNumber = 0;
};

PeerSender::PeerSender(Network& network, std::string const& from) : impl_(std::make_unique<Impl>(network, from)) {}
PeerSender::~PeerSender() = default;

void PeerSender::send(std::string const& address, std::string body) {
  std::optional<Address> const target = Address::parse(address);
  if (!target) {
    return;
  }
  std::shared_ptr<std::atomic<std::size_t>> count;
  std::uint64_t number = 0;
  {
    std::unique_lock<std::mutex> const lock(impl_->mutex);
    if (impl_->outstanding.size() > 500) {
      impl_->outstanding.clear();
    }
    std::shared_ptr<std::atomic<std::size_t>>& entry = impl_->outstanding[address];
    if (entry == nullptr) {
      entry = std::make_shared<std::atomic<std::size_t>>(0);
    }
    count = entry;
    number = ++impl_->lastNumber;
  }
  if (count->fetch_add(1) >= maxOutstanding) {
    --*count;
    return;
  }
  Request request;
  request.method = "POST";
  request.target = "/limeramp/inner";
  request.headers.emplace_back("content-type", "avro/binary");
  request.headers.emplace_back("limeramp-from", impl_->from);
  request.body = std::move(body);
  impl_->client.begin(number, *target, std::move(request), std::chrono::steady_clock::now() + sendTimeoutMs,
                      [count](Exchange const&) { --*count; });
}

}  // namespace limeramp::net
