#pragma once

#include <sys/resource.h>

#include <csignal>

namespace limeramp::test_support {

/// While it lives, every write of this process to a file is refused, as by a full disk. Files can be opened and read;
/// sockets and pipes are not touched.
class FullDisk {
 public:
  FullDisk() {
    handler_ = ::signal(SIGXFSZ, SIG_IGN);
    ::getrlimit(RLIMIT_FSIZE, &before_);
    rlimit const none{0, before_.rlim_max};
    ::setrlimit(RLIMIT_FSIZE, &none);
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
