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

struct Orders {
  long syncMs = 0;
  long stuck = 0;
  long failing = 0;
  long full = 0;
  long clockMs = 0;
};

template <typename Function>
Function real(char const* name) {
  return reinterpret_cast<Function>(dlsym(RTLD_NEXT, name));
}

Orders readOrders() {
  Orders orders;
  char const* const path = getenv("FAULT_INJECTION");
  FILE* const file = path == nullptr ? nullptr : fopen(path, "re");
  if (file == nullptr) {
    return orders;
  }
  char key[32];
  long value = 0;
  while (fscanf(file, "%31s %ld", key, &value) == 2) {
    for (auto const& known : {std::pair<char const*, long*>{"sync_ms", &orders.syncMs},
                              {"stuck", &orders.stuck},
                              {"failing", &orders.failing},
                              {"full", &orders.full},
                              {"clock_ms", &orders.clockMs}}) {
      if (strcmp(known.first, key) == 0) {
        *known.second = value;
      }
    }
  }
  fclose(file);
  return orders;
}

void pauseMs(long ms) {
  timespec const span{ms / 1000, (ms % 1000) * 1'000'000};
  nanosleep(&span, nullptr);
}

bool syncRefused() {
  Orders orders = readOrders();
  while (orders.stuck != 0) {
    pauseMs(50);
    orders = readOrders();
  }
  if (orders.syncMs > 0) {
    pauseMs(orders.syncMs);
  }
  if (orders.failing != 0 || orders.full != 0) {
    errno = orders.full != 0 ? ENOSPC : EIO;
    return true;
  }
  return false;
}

bool isFull() {
  if (readOrders().full != 0) {
    errno = ENOSPC;
    return true;
  }
  return false;
}

std::atomic<long> clockOffsetMs{0};
std::atomic<long> clockReadAt{-1};

long offsetMs() {
  static int (*const realClock)(clockid_t, timespec*) = real<int (*)(clockid_t, timespec*)>("clock_gettime");
  timespec now{};
  realClock(CLOCK_MONOTONIC, &now);
  long const tenth = now.tv_sec * 10 + now.tv_nsec / 100'000'000;
  if (clockReadAt.exchange(tenth) != tenth) {
    clockOffsetMs = readOrders().clockMs;
  }
  return clockOffsetMs;
}

}  // namespace

extern "C" {

int fsync(int file) { return syncRefused() ? -1 : real<int (*)(int)>("fsync")(file); }
int fdatasync(int file) { return syncRefused() ? -1 : real<int (*)(int)>("fdatasync")(file); }

ssize_t pwrite(int file, void const* bytes, size_t size, off_t at) {
  return isFull() ? -1 : real<ssize_t (*)(int, void const*, size_t, off_t)>("pwrite")(file, bytes, size, at);
}

int posix_fallocate(int file, off_t at, off_t size) {
  return isFull() ? ENOSPC : real<int (*)(int, off_t, off_t)>("posix_fallocate")(file, at, size);
}

int clock_gettime(clockid_t clock, timespec* out) {
  static int (*const realClock)(clockid_t, timespec*) = real<int (*)(clockid_t, timespec*)>("clock_gettime");
  int const code = realClock(clock, out);
  if (code == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
    long const shiftMs = offsetMs();
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
