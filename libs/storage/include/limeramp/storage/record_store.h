#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

/// Durable storage of the controllers: a small key-value map in a ring of preallocated files.
///
/// Each put appends one record with checksum, generation and serial. When a file is full, the store moves to the next
/// one and begins it with a checkpoint: one record of all values, including the new ones. After a power loss the store
/// opens with the values of the last synced put. A torn record at the end is dropped; damage before it is reported, and
/// no values are served.
namespace limeramp::storage {

/// Keys with their new values.
using Puts = std::vector<std::pair<std::string, std::string>>;

/// Number and size of the ring files, which are allocated in full when the store is opened.
struct RingLayout {
  /// At least 2: a checkpoint is never written into the file that holds the last synced values.
  std::size_t files = 4;
  /// Bytes of each file. All values together must fit into one file as one record; a put that does not fit fails, as
  /// does every further put until `rewrite` succeeds. Longer files of an earlier process keep their length, shorter
  /// ones are lengthened.
  std::size_t fileBytes = 16 << 20;
};

/// State of the files when the store was opened.
struct Findings {
  /// The folder held no store: the disk is new.
  bool empty = false;
  /// The last record was torn and has been dropped, as is normal after a power loss.
  bool tailTruncated = false;
  /// A record that had been synced is unreadable. No values are loaded and puts are refused until `setAside`.
  bool damaged = false;
  std::string detail;
};

/// Used by one thread at a time; calls block on the disk. A lock file lets only one process open a folder.
class RecordStore {
 public:
  /// Creates the folder if it is missing. Unavailable if it cannot be used or another process has it open.
  static absl::StatusOr<std::unique_ptr<RecordStore>> open(std::string const& folder, RingLayout const& layout = {});
  ~RecordStore();
  RecordStore(RecordStore const&) = delete;
  RecordStore& operator=(RecordStore const&) = delete;

  /// What open() found.
  Findings const& findings() const;
  /// All current values. Those read by open() are certainly on the disk only after the first put, which writes and
  /// syncs them all again: if a sync failed in an earlier process, they may be only in the page cache.
  std::map<std::string, std::string> const& values() const;
  /// Returns once the values are synced. After an error it is unknown whether they are on the disk, and further puts
  /// are refused until `rewrite` succeeds: a later record must not be on the disk without an earlier one.
  absl::Status put(Puts const& puts);
  /// Recovers from a failed put: writes all values, updated by `puts`, as one record into a file other than the one
  /// with the last synced values, and syncs it. It neither relies on the record whose write failed nor repeats that
  /// write in place. Puts are accepted again once it succeeds; after an error it may be called again.
  absl::Status rewrite(Puts const& puts);
  /// Renames the damaged files, which are kept for inspection, and continues with an empty store.
  absl::Status setAside();

 private:
  RecordStore();
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeramp::storage
