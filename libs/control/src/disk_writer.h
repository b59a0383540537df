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

/// A batch of records to be written durably.
struct DiskWrite {
  std::uint64_t token = 0;
  storage::Puts puts;
  /// Rewrite the store with these records and all earlier values. Needed after a failed write.
  bool rewrite = false;
};

/// The result of a write.
struct DiskWriteFinished {
  std::uint64_t token = 0;
  bool succeeded = false;
  std::string reason;
};

/// Writes a controller's records on a dedicated thread, in the order of the calls to `write`.
///
/// Guarantees that no record is on the disk without all records that were handed in before it: after a write has
/// failed, or was dropped because the queue was full, all writes fail until a rewrite has succeeded. `write` is called
/// by one thread; `done` is called on the writer's thread, or by `write` itself if the queue is full.
class DiskWriter {
 public:
  /// Without a store every write is reported as successful, since nothing is kept.
  DiskWriter(std::unique_ptr<storage::RecordStore> store, std::function<void(DiskWriteFinished)> done);
  ~DiskWriter();
  DiskWriter(DiskWriter const&) = delete;
  DiskWriter& operator=(DiskWriter const&) = delete;

  /// The records that the store held when it was opened; empty without a store. The reference may be obtained and read
  /// only before `start`.
  std::map<std::string, std::string> const& storedAtStart() const;
  bool keepsRecords() const { return store_ != nullptr; }
  /// Starts the thread, which first writes the records queued so far.
  void start();
  void write(DiskWrite records);

 private:
  void run();
  absl::Status perform(DiskWrite const& records);

  /// Confined to the writer's thread from `start` on.
  std::unique_ptr<storage::RecordStore> store_;
  std::function<void(DiskWriteFinished)> done_;
  net::Ring<DiskWrite> queue_;
  /// Whether a record was dropped because the queue was full, and no rewrite has succeeded since.
  std::atomic<bool> recordDropped_{false};
  std::thread thread_;
};

}  // namespace limeramp::control
