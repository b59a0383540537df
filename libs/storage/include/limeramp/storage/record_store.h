#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

/// The controllers' disk: a small map of keys and values in a ring of preallocated files.
///
/// Each put appends one record with checksum, generation and serial; a turn of the ring begins with a checkpoint, one
/// record of all values with the new ones among them. After a loss of power the store opens with the values of the last
/// put that was synced; a torn record at the end is cut off, damage before it is reported and never served.
namespace limeramp::storage {

/// Keys with their new values.
using Puts = std::vector<std::pair<std::string, std::string>>;

/// Number and size of the files. All are written in full when the store is made.
struct RingLayout {
  /// Two at least: the newest values are never written over the file that holds the last synced ones.
  std::size_t files = 4;
  /// Bytes of each file. All values together must fit in one, in one record; a put that does not fit fails for good.
  /// Longer files of an earlier process stay as long as they are, shorter ones are lengthened.
  std::size_t fileBytes = 16 << 20;
};

/// What opening found.
struct Findings {
  /// No store was here: this is a new disk.
  bool empty = false;
  /// The last record was torn and is cut off: normal after a loss of power.
  bool tailTruncated = false;
  /// A record that had been synced does not read. The values are incomplete: do not serve them.
  bool damaged = false;
  std::string detail;
};

/// Owned by one thread at a time; blocks on the disk. Only one process can hold a folder.
class RecordStore {
 public:
  /// Unavailable if the folder cannot be used or is held by another process.
  static absl::StatusOr<std::unique_ptr<RecordStore>> open(std::string const& folder, RingLayout const& shape = {});
  ~RecordStore();
  RecordStore(RecordStore const&) = delete;
  RecordStore& operator=(RecordStore const&) = delete;

  /// What open() found.
  Findings const& findings() const;
  /// All current values. What was read at the start is certainly on the disk only after the first put, which syncs all
  /// of it again: a sync that failed in an earlier process may have left it in the system's memory alone.
  std::map<std::string, std::string> const& values() const;
  /// Returns once the values are synced. After an error it is unknown whether they are on the disk, and every further
  /// put is refused until `rewrite` has succeeded: a later record must not be on the disk without an earlier one.
  absl::Status put(Puts const& puts);
  /// After a failed put: writes all values and these in one record into another file than that of the last synced
  /// values, and syncs it. Nothing that was written before the failure is relied on, or tried again in its place. Once
  /// it has succeeded, puts are taken again; after an error it may be called again.
  absl::Status rewrite(Puts const& puts);
  /// Renames damaged files, for inspection, and begins with an empty store.
  absl::Status setAside();

 private:
  RecordStore();
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeramp::storage
