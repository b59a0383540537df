#pragma once

#include <sys/resource.h>

#include <csignal>
#include <cstddef>

namespace limeramp::test_support {

/// Simulates a full disk while it exists: every write of this process to a file fails that ends beyond the first
/// `freeBytes` bytes of the file; the part that fits is written. Files can still be opened and read, and sockets and
/// pipes are unaffected.
class FullDisk {
 public:
  explicit FullDisk(std::size_t freeBytes = 0) {
    previousHandler_ = ::signal(SIGXFSZ, SIG_IGN);
    ::getrlimit(RLIMIT_FSIZE, &previousLimit_);
    rlimit const limit{freeBytes, previousLimit_.rlim_max};
    ::setrlimit(RLIMIT_FSIZE, &limit);
  }
  ~FullDisk() {
    ::setrlimit(RLIMIT_FSIZE, &previousLimit_);
    ::signal(SIGXFSZ, previousHandler_);
  }
  FullDisk(FullDisk const&) = delete;
  FullDisk& operator=(FullDisk const&) = delete;

 private:
  rlimit previousLimit_{};
  sighandler_t previousHandler_ = SIG_DFL;
};

}  // namespace limeramp::test_support
