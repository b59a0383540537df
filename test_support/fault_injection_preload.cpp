#ifndef _GNU_SOURCE
#define _GNU_SOURCE
#endif
#include <dlfcn.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include <atomic>

namespace {

/// Faults of this process, read from the file that FAULT_INJECTION names: one `key value` per line.
struct Faults {
  long syncMs = 0;
  long stuck = 0;
  long failing = 0;
  long full = 0;
  long clockMs = 0;
};

template <typename Function>
Function realFunction(char const* name) {
  return reinterpret_cast<Function>(dlsym(RTLD_NEXT, name));
}

Faults readFaults() {
  Faults faults;
  char const* const path = getenv("FAULT_INJECTION");
  FILE* const file = path == nullptr ? nullptr : fopen(path, "re");
  if (file == nullptr) {
    return faults;
  }
  char key[32];
  long value = 0;
  while (fscanf(file, "%31s %ld", key, &value) == 2) {
    for (auto const& known : {std::pair<char const*, long*>{"sync_ms", &faults.syncMs},
                              {"stuck", &faults.stuck},
                              {"failing", &faults.failing},
                              {"full", &faults.full},
                              {"clock_ms", &faults.clockMs}}) {
      if (strcmp(known.first, key) == 0) {
        *known.second = value;
      }
    }
  }
  fclose(file);
  return faults;
}

void sleepMs(long ms) {
  timespec const span{ms / 1000, (ms % 1000) * 1'000'000};
  nanosleep(&span, nullptr);
}

/// Delays or blocks a sync as the faults demand; true, with errno set, if it must fail.
bool syncFails() {
  Faults faults = readFaults();
  while (faults.stuck != 0) {
    sleepMs(50);
    faults = readFaults();
  }
  if (faults.syncMs > 0) {
    sleepMs(faults.syncMs);
  }
  if (faults.failing != 0 || faults.full != 0) {
    errno = faults.full != 0 ? ENOSPC : EIO;
    return true;
  }
  return false;
}

bool diskIsFull() {
  if (readFaults().full != 0) {
    errno = ENOSPC;
    return true;
  }
  return false;
}

std::atomic<long> clockOffsetMs{0};
std::atomic<long> clockReadAt{-1};

long currentClockOffsetMs() {
  static int (*const realClock)(clockid_t, timespec*) = realFunction<int (*)(clockid_t, timespec*)>("clock_gettime");
  timespec now{};
  realClock(CLOCK_MONOTONIC, &now);
  long const tenthOfSecond = now.tv_sec * 10 + now.tv_nsec / 100'000'000;
  if (clockReadAt.exchange(tenthOfSecond) != tenthOfSecond) {
    clockOffsetMs = readFaults().clockMs;
  }
  return clockOffsetMs;
}

}  // namespace

extern "C" {

int fsync(int file) { return syncFails() ? -1 : realFunction<int (*)(int)>("fsync")(file); }
int fdatasync(int file) { return syncFails() ? -1 : realFunction<int (*)(int)>("fdatasync")(file); }

ssize_t pwrite(int file, void const* bytes, size_t size, off_t at) {
  return diskIsFull() ? -1
                      : realFunction<ssize_t (*)(int, void const*, size_t, off_t)>("pwrite")(file, bytes, size, at);
}

int posix_fallocate(int file, off_t at, off_t size) {
  return diskIsFull() ? ENOSPC : realFunction<int (*)(int, off_t, off_t)>("posix_fallocate")(file, at, size);
}

int clock_gettime(clockid_t clock, timespec* out) {
  static int (*const realClock)(clockid_t, timespec*) = realFunction<int (*)(clockid_t, timespec*)>("clock_gettime");
  int const code = realClock(clock, out);
  if (code == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
    long const shiftMs = currentClockOffsetMs();
    out->tv_sec += shiftMs / 1000;
    out->tv_nsec += (shiftMs % 1000) * 1'000'000;
    if (out->tv_nsec < 0) {
      out->tv_nsec += 1'000'000'000;
      --out->tv_sec;
    }
    if (out->tv_nsec >= 1'000'000'000) {
      out->tv_nsec -= 1'000'000'000;
      ++out->tv_sec;
    }
  }
  return code;
}

int gettimeofday(timeval* __restrict out, void* __restrict) {
  timespec now{};
  int const code = clock_gettime(CLOCK_REALTIME, &now);
  out->tv_sec = now.tv_sec;
  out->tv_usec = now.tv_nsec / 1000;
  return code;
}

time_t time(time_t* out) {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  if (out != nullptr) {
    *out = now.tv_sec;
  }
  return now.tv_sec;
}
}
