#pragma once

#include "limeramp/harbour/relay.h"
#include "limeramp/rigging/http.h"

#include <functional>
#include <memory>
#include <string>

namespace limeramp::harbour {

struct RunBack {
  std::uint64_t ticket = 0;
  std::uint64_t attempt = 0;
  rigging::Exchange exchange;
};

class Runner {
 public:
  using Post = std::function<void(RunBack)>;
  Runner(rigging::HttpClient& client, std::string const& advertise, std::uint64_t firstAttempt, Post post);
  ~Runner();
  Runner(Runner const&) = delete;
  Runner& operator=(Runner const&) = delete;

  void take(TimePoint now, rigging::Request content, rigging::Responder respond);
  void hear(TimePoint now, RunBack& back);
  void tick(TimePoint now, std::string const& primaryAddress);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}
