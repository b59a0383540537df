#pragma once

#include <sys/resource.h>

#include <csignal>
#include <cstddef>

namespace limeramp::test_support {

/// While it lives, every write of this process to a file is refused that ends behind the first `room` bytes, as by a
/// full disk; what fits is written. Files can be opened and read; sockets and pipes are not touched.
class FullDisk {
 public:
  explicit FullDisk(std::size_t room = 0) {
    handler_ = ::signal(SIGXFSZ, SIG_IGN);
    ::getrlimit(RLIMIT_FSIZE, &before_);
    rlimit const limit{room, before_.rlim_max};
    ::setrlimit(RLIMIT_FSIZE, &limit);
  }
  ~FullDisk() {
    ::setrlimit(RLIMIT_FSIZE, &before_);
    ::signal(SIGXFSZ, handler_);
  }
  FullDisk(FullDisk const&) = delete;
  FullDisk& operator=(FullDisk const&) = delete;

 private:
  rlimit before_{};
  sighandler_t handler_ = SIG_DFL;
};

}  // namespace limeramp::test_support
