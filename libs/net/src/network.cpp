#include "network.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace limeramp::net {

Network::Impl::Impl() : timer(context), readBuffer(64 << 10) {}

bool Network::Impl::onThread() { return context.get_executor().running_in_this_thread(); }

void Network::Impl::add(TimerId id, TimePoint when, Timer work) {
  timerDeadlines.emplace(id, when);
  timers.emplace(std::make_pair(when, id), std::move(work));
  arm();
}

void Network::Impl::erase(TimerId id) {
  std::unordered_map<TimerId, TimePoint>::iterator const found = timerDeadlines.find(id);
  if (found != timerDeadlines.end()) {
    timers.erase(std::make_pair(found->second, id));
    timerDeadlines.erase(found);
  }
}

void Network::Impl::arm() {
  if (timers.empty() || timers.begin()->first.first >= armedFor) {
    return;
  }
  armedFor = timers.begin()->first.first;
  timer.expires_at(armedFor);
  timer.async_wait([this](boost::system::error_code const& error) {
    if (!error) {
      fire();
    }
  });
}

void Network::Impl::fire() {
  TimePoint const now = std::chrono::steady_clock::now();
  armedFor = TimePoint::min();
  while (!timers.empty() && timers.begin()->first.first <= now) {
    std::map<std::pair<TimePoint, TimerId>, Timer>::node_type node = timers.extract(timers.begin());
    TimerId const id = node.key().second;
    Timer& due = node.mapped();
    bool const periodic = due.period.count() > 0;
    if (!periodic) {
      timerDeadlines.erase(id);
    }
    due.work();
    std::unordered_map<TimerId, TimePoint>::iterator const found = timerDeadlines.find(id);
    if (periodic && found != timerDeadlines.end()) {
      found->second = std::max(node.key().first + due.period, now + due.period / 2);
      timers.emplace(std::make_pair(found->second, id), std::move(due));
    }
  }
  armedFor = TimePoint::max();
  arm();
}

Network::Network() : impl_(std::make_shared<Impl>()) {
  impl_->thread = std::thread([this] { impl_->context.run(); });
}

Network::Network(RunOnCallerThread) : impl_(std::make_shared<Impl>()) {}

Network::~Network() { stop(); }

void Network::post(std::function<void()> work) { boost::asio::post(impl_->context, std::move(work)); }

void Network::run() { impl_->context.run(); }

void Network::stop() {
  impl_->context.stop();
  if (impl_->thread.joinable() && !onThread()) {
    impl_->thread.join();
  }
}

bool Network::onThread() const { return impl_->onThread(); }

Network::TimerId Network::at(std::chrono::steady_clock::time_point when, std::function<void()> work) {
  return impl_->schedule(when, {std::move(work), {}});
}

Network::TimerId Network::after(std::chrono::steady_clock::duration delay, std::function<void()> work) {
  return at(std::chrono::steady_clock::now() + delay, std::move(work));
}

Network::TimerId Network::every(std::chrono::steady_clock::duration period, std::function<void()> work) {
  std::chrono::steady_clock::duration const minPeriod = std::chrono::milliseconds(1);
  return impl_->schedule(std::chrono::steady_clock::now() + std::max(period, minPeriod),
                         {std::move(work), std::max(period, minPeriod)});
}

void Network::cancel(TimerId timer) {
  if (onThread()) {
    impl_->erase(timer);
  } else {
    boost::asio::post(impl_->context, [impl = impl_.get(), timer] { impl->erase(timer); });
  }
}

Network::TimerId Network::Impl::schedule(TimePoint when, Timer work) {
  TimerId const id = ++lastTimer;
  if (onThread()) {
    add(id, when, std::move(work));
  } else {
    boost::asio::post(context, [this, id, when, work = std::move(work)]() mutable { add(id, when, std::move(work)); });
  }
  return id;
}

void runOn(std::weak_ptr<Network::Impl> const& network, std::function<void()> work) {
  std::shared_ptr<Network::Impl> const alive = network.lock();
  if (alive != nullptr && alive->onThread()) {
    work();
  } else if (alive != nullptr) {
    boost::asio::post(alive->context, std::move(work));
  }
}

std::string Address::text() const { return host + ":" + std::to_string(port); }

std::optional<Address> Address::parse(std::string const& text) {
  std::size_t const colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    return std::nullopt;
  }
  Address out;
  out.host = text.substr(0, colon);
  char const* const last = text.data() + text.size();
  std::from_chars_result const read = std::from_chars(text.data() + colon + 1, last, out.port);
  boost::system::error_code error;
  boost::asio::ip::make_address_v4(out.host, error);
  if (error || read.ec != std::errc() || read.ptr != last) {
    return std::nullopt;
  }
  return out;
}

std::optional<std::string> findHeader(Headers const& headers, std::string const& name) {
  for (std::pair<std::string, std::string> const& header : headers) {
    if (boost::beast::iequals(header.first, name)) {
      return header.second;
    }
  }
  return std::nullopt;
}

std::string percentEncoded(std::string const& text) {
  std::string out;
  for (char const character : text) {
    char code[4] = {character, 0, 0, 0};
    if (std::isalnum(static_cast<unsigned char>(character)) == 0 &&
        std::string_view("-._~").find(character) == std::string_view::npos) {
      std::snprintf(code, sizeof code, "%%%02X", static_cast<unsigned>(static_cast<unsigned char>(character)));
    }
    out += code;
  }
  return out;
}

std::string plainHost(std::string_view host) {
  std::string out(host.substr(0, host.find(':')));
  std::transform(out.begin(), out.end(), out.begin(),
                 [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
  return out;
}

void dropHeader(Headers& headers, std::string_view name) {
  std::erase_if(headers, [&](std::pair<std::string, std::string> const& header) {
    return boost::beast::iequals(header.first, name);
  });
}

Headers withoutHopByHop(Headers const& headers) {
  static constexpr std::array<std::string_view, 10> hopByHop{
      "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "te",
      "trailer",    "upgrade",    "transfer-encoding",  "content-length",      "proxy-connection"};
  std::string connectionValues;
  for (std::pair<std::string, std::string> const& header : headers) {
    if (boost::beast::iequals(header.first, "connection")) {
      connectionValues += "," + header.second;
    }
  }
  std::vector<std::string> listedNames;
  for (std::size_t at = 0; at < connectionValues.size();) {
    std::size_t const comma = std::min(connectionValues.find(',', at), connectionValues.size());
    std::string name = connectionValues.substr(at, comma - at);
    std::erase_if(name, [](char character) { return character == ' ' || character == '\t'; });
    listedNames.push_back(std::move(name));
    at = comma + 1;
  }
  Headers out;
  for (std::pair<std::string, std::string> const& header : headers) {
    bool const alwaysRemoved = std::any_of(hopByHop.begin(), hopByHop.end(), [&](std::string_view name) {
      return boost::beast::iequals(header.first, name);
    });
    bool const listedByConnection = std::any_of(listedNames.begin(), listedNames.end(), [&](std::string const& name) {
      return !name.empty() && boost::beast::iequals(header.first, name);
    });
    if (!alwaysRemoved && !listedByConnection) {
      out.push_back(header);
    }
  }
  return out;
}

}  // namespace limeramp::net
