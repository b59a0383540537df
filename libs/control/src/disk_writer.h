#pragma once

#include "limeramp/net/ring.h"
#include "limeramp/storage/record_store.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>

namespace limeramp::control {

/// Records that are to be made safe on the disk.
struct DiskJob {
  std::uint64_t token = 0;
  storage::Puts puts;
  /// Write these and all earlier values anew, since an earlier write failed.
  bool rewrite = false;
};

/// What came of writing to the disk.
struct DiskDone {
  std::uint64_t token = 0;
  bool good = false;
  std::string reason;
};

/// Writes a controller's records on a thread of its own, in the order in which they come.
///
/// Guarantees that no record is on the disk without all that were handed in before it: after one has failed, or found
/// no place in the queue, all are refused until a rewrite has succeeded. `write` is called by one thread; `done` is
/// called by the disk's thread, or by `write` itself where the queue is full.
class DiskWriter {
 public:
  /// Without a store every write is said to be good at once, since there is nothing to keep.
  DiskWriter(std::unique_ptr<storage::RecordStore> store, std::function<void(DiskDone)> done);
  ~DiskWriter();
  DiskWriter(DiskWriter const&) = delete;
  DiskWriter& operator=(DiskWriter const&) = delete;

  /// What the disk held when it was opened. Empty without a store. To be called, and read, before `start` only.
  std::map<std::string, std::string> const& storedAtStart() const;
  bool keepsRecords() const { return store_ != nullptr; }
  /// Begins to write what was handed in.
  void start();
  void write(DiskJob job);

 private:
  void run();
  absl::Status carryOut(DiskJob const& job);

  /// Belongs to the disk's thread from `start` on.
  std::unique_ptr<storage::RecordStore> store_;
  std::function<void(DiskDone)> done_;
  net::Ring<DiskJob> jobs_;
  /// A record found no place in the queue, and no rewrite has been done since.
  std::atomic<bool> recordMissing_{false};
  std::thread thread_;
};

}  // namespace limeramp::control
