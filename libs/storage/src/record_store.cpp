#include "limeramp/storage/record_store.h"

#include "limeramp/messages/codec.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <filesystem>
#include <optional>

namespace limeramp::storage {
namespace {

struct Pair {
  static constexpr char const* name = "Pair";
  std::string key;
  std::string value;
  template <typename V, typename T>
  static void describe(V& visit, T& self) {
    visit("key", self.key);
    visit("value", self.value);
  }
};

struct Batch {
  static constexpr char const* name = "Batch";
  std::vector<Pair> pairs;
  template <typename V, typename T>
  static void describe(V& visit, T& self) {
    visit("pairs", self.pairs);
  }
};

/// Precedes each record in a ring file. Each checkpoint begins a new generation and has serial 0.
struct RecordHeader {
  std::uint32_t magic = 0;
  std::uint32_t size = 0;
  std::uint64_t generation = 0;
  std::uint64_t serial = 0;
  std::uint64_t checksum = 0;
};

constexpr std::uint32_t magicNumber = 0x444c4f48;
/// Upper bounds in bytes: of a record without its pairs, and of a pair without its key and value.
constexpr std::size_t maxRecordOverhead = 256;
constexpr std::size_t maxPairOverhead = 32;

std::uint64_t checksumOf(RecordHeader const& header, char const* payload) {
  std::uint64_t const hashedFields[3]{header.size, header.generation, header.serial};
  return XXH64(payload, header.size, XXH64(hashedFields, sizeof hashedFields, 0));
}

std::size_t aligned(std::size_t size) { return (size + 7) & ~static_cast<std::size_t>(7); }

absl::Status errnoStatus(std::string const& what) { return absl::UnavailableError(what + ": " + std::strerror(errno)); }

/// Nothing if no whole record with a correct checksum begins at `offset`.
std::optional<RecordHeader> readHeader(std::string const& bytes, std::size_t offset) {
  RecordHeader header;
  if (offset + sizeof header > bytes.size()) {
    return std::nullopt;
  }
  std::memcpy(&header, bytes.data() + offset, sizeof header);
  if (header.magic != magicNumber || header.size > bytes.size() - offset - sizeof header ||
      header.checksum != checksumOf(header, bytes.data() + offset + sizeof header)) {
    return std::nullopt;
  }
  return header;
}

/// The readable records of one ring file.
struct FileScan {
  bool hasCheckpoint = false;
  /// A record cannot be decoded, or intact records follow an unreadable one.
  bool hasDamage = false;
  std::uint64_t generation = 0;
  std::uint64_t nextSerial = 0;
  std::size_t endOffset = 0;
  /// The last readable record is followed by the header of an incomplete one.
  bool hasTornTail = false;
  std::map<std::string, std::string> values;
};

FileScan scanFile(std::string const& bytes) {
  FileScan result;
  std::optional<RecordHeader> const firstHeader = readHeader(bytes, 0);
  result.hasCheckpoint = firstHeader.has_value() && firstHeader->serial == 0;
  if (result.hasCheckpoint) {
    result.generation = firstHeader->generation;
  }
  std::size_t offset = 0;
  while (result.hasCheckpoint) {
    std::optional<RecordHeader> const header = readHeader(bytes, offset);
    if (!header || header->generation != result.generation || header->serial != result.nextSerial) {
      break;
    }
    absl::StatusOr<Batch> batch =
        messages::unpack<Batch>(std::string_view(bytes).substr(offset + sizeof(RecordHeader), header->size));
    if (!batch.ok()) {
      result.hasDamage = true;
      break;
    }
    for (Pair& pair : batch->pairs) {
      result.values[pair.key] = std::move(pair.value);
    }
    ++result.nextSerial;
    offset += aligned(sizeof(RecordHeader) + header->size);
  }
  result.endOffset = offset;
  RecordHeader unverified;
  if (offset + sizeof unverified <= bytes.size()) {
    std::memcpy(&unverified, bytes.data() + offset, sizeof unverified);
    result.hasTornTail =
        unverified.magic == magicNumber && (!result.hasCheckpoint || unverified.generation == result.generation);
  }
  for (std::size_t laterOffset = offset + 8; laterOffset + sizeof(RecordHeader) <= bytes.size(); laterOffset += 8) {
    std::uint32_t magic = 0;
    std::memcpy(&magic, bytes.data() + laterOffset, sizeof magic);
    if (magic != magicNumber) {
      continue;
    }
    std::optional<RecordHeader> const header = readHeader(bytes, laterOffset);
    if (header && header->serial > 0 && (!result.hasCheckpoint || header->generation >= result.generation)) {
      if (!result.hasCheckpoint) {
        result.generation = std::max(result.generation, header->generation);
      }
      result.hasDamage = true;
    }
  }
  return result;
}

}  // namespace

struct RecordStore::Impl {
  std::string folder;
  RingLayout layout;
  Findings findings;
  std::map<std::string, std::string> values;
  std::vector<int> files;
  int lockFile = -1;
  std::size_t currentFile = 0;
  /// The file that holds the last synced values.
  std::size_t syncedFile = 0;
  std::uint64_t generation = 0;
  std::uint64_t serial = 0;
  std::size_t endOffset = 0;
  /// If a sync failed in an earlier process, the values read by open() may be only in the page cache. The first put
  /// therefore writes a checkpoint of all values.
  bool checkpointDue = true;
  /// Error of the last write; puts are refused until a rewrite succeeds. Empty if that write succeeded.
  std::string writeFailure;

  ~Impl() {
    closeFiles();
    if (lockFile >= 0) {
      ::close(lockFile);
    }
  }

  void closeFiles() {
    for (int const file : files) {
      ::close(file);
    }
    files.clear();
  }

  std::string filePath(std::size_t index) const {
    std::string path = folder;
    path += "/ring-";
    path += std::to_string(index);
    return path;
  }

  absl::Status syncFolder() const {
    int const handle = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (handle < 0) {
      return errnoStatus(folder);
    }
    bool const synced = ::fsync(handle) == 0;
    ::close(handle);
    return synced ? absl::OkStatus() : errnoStatus(folder);
  }

  absl::Status openFiles() {
    for (std::size_t index = 0; index < layout.files; ++index) {
      int const file = ::open(filePath(index).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
      if (file < 0) {
        return errnoStatus(filePath(index));
      }
      files.push_back(file);
      struct stat fileStatus {};
      if (::fstat(file, &fileStatus) != 0) {
        return errnoStatus(filePath(index));
      }
      // An earlier process may have written longer files: their whole length is read and used.
      layout.fileBytes = std::max(layout.fileBytes, static_cast<std::size_t>(fileStatus.st_size));
    }
    for (std::size_t index = 0; index < layout.files; ++index) {
      int const file = files[index];
      int const failure = ::posix_fallocate(file, 0, static_cast<off_t>(layout.fileBytes));
      if (failure != 0) {
        errno = failure;
        return errnoStatus(filePath(index));
      }
      if (::fsync(file) != 0) {
        return errnoStatus(filePath(index));
      }
    }
    return syncFolder();
  }

  absl::Status load() {
    bool hasData = false;
    std::optional<FileScan> newest;
    std::uint64_t damagedGeneration = 0;
    for (std::size_t index = 0; index < layout.files; ++index) {
      std::string bytes(layout.fileBytes, '\0');
      std::size_t bytesRead = 0;
      while (bytesRead < bytes.size()) {
        ssize_t const count =
            ::pread(files[index], bytes.data() + bytesRead, bytes.size() - bytesRead, static_cast<off_t>(bytesRead));
        if (count <= 0) {
          return errnoStatus(filePath(index));
        }
        bytesRead += static_cast<std::size_t>(count);
      }
      hasData = hasData || bytes.find_first_not_of('\0') != std::string::npos;
      FileScan scanned = scanFile(bytes);
      if (scanned.hasDamage) {
        damagedGeneration = std::max(damagedGeneration, scanned.generation);
      }
      if (scanned.hasCheckpoint && (!newest || scanned.generation > newest->generation)) {
        newest = std::move(scanned);
        currentFile = index;
      }
    }
    findings.empty = !hasData;
    if (!newest) {
      findings.damaged = hasData && damagedGeneration > 0;
      findings.tailTruncated = hasData && damagedGeneration == 0;
      findings.detail = findings.damaged ? "no readable checkpoint" : "";
      return absl::OkStatus();
    }
    if (damagedGeneration >= newest->generation) {
      findings.damaged = true;
      findings.detail =
          "a record before the last one of generation " + std::to_string(damagedGeneration) + " is unreadable";
      return absl::OkStatus();
    }
    syncedFile = currentFile;
    generation = newest->generation;
    serial = newest->nextSerial;
    endOffset = newest->endOffset;
    findings.tailTruncated = newest->hasTornTail;
    values = std::move(newest->values);
    return absl::OkStatus();
  }

  absl::Status append(Batch const& batch) {
    std::string const payload = messages::pack(batch);
    RecordHeader header{magicNumber, static_cast<std::uint32_t>(payload.size()), generation, serial, 0};
    header.checksum = checksumOf(header, payload.data());
    std::string record(aligned(sizeof header + payload.size()), '\0');
    std::memcpy(record.data(), &header, sizeof header);
    std::memcpy(record.data() + sizeof header, payload.data(), payload.size());
    if (endOffset + record.size() > layout.fileBytes) {
      return absl::ResourceExhaustedError("record larger than a ring file");
    }
    std::size_t bytesWritten = 0;
    while (bytesWritten < record.size()) {
      ssize_t const count = ::pwrite(files[currentFile], record.data() + bytesWritten, record.size() - bytesWritten,
                                     static_cast<off_t>(endOffset + bytesWritten));
      if (count <= 0) {
        return errnoStatus(filePath(currentFile));
      }
      bytesWritten += static_cast<std::size_t>(count);
    }
    if (::fdatasync(files[currentFile]) != 0) {
      return errnoStatus(filePath(currentFile));
    }
    endOffset += record.size();
    ++serial;
    syncedFile = currentFile;
    return absl::OkStatus();
  }

  // Begins the next generation with one record of `newValues`, which replace all current values. Failed attempts are
  // repeated in the file after the last synced one, so that they never overwrite the synced values.
  absl::Status writeCheckpoint(std::map<std::string, std::string> newValues) {
    currentFile = (syncedFile + 1) % layout.files;
    ++generation;
    serial = 0;
    endOffset = 0;
    Batch batch;
    for (std::pair<std::string const, std::string> const& entry : newValues) {
      batch.pairs.push_back({entry.first, entry.second});
    }
    absl::Status status = append(batch);
    if (status.ok()) {
      values = std::move(newValues);
      checkpointDue = false;
    }
    return status;
  }

  // A checkpoint includes the new values, so that a file needs room for only one copy of each value.
  absl::Status put(Puts const& puts) {
    Batch batch;
    std::size_t size = maxRecordOverhead;
    for (std::pair<std::string, std::string> const& entry : puts) {
      batch.pairs.push_back({entry.first, entry.second});
      size += entry.first.size() + entry.second.size() + maxPairOverhead;
    }
    if (checkpointDue || endOffset + size > layout.fileBytes) {
      return rewrite(puts);
    }
    absl::Status status = append(batch);
    if (status.ok()) {
      for (Pair& pair : batch.pairs) {
        values[pair.key] = std::move(pair.value);
      }
    }
    return status;
  }

  absl::Status rewrite(Puts const& puts) {
    std::map<std::string, std::string> newValues = values;
    for (std::pair<std::string, std::string> const& entry : puts) {
      newValues[entry.first] = entry.second;
    }
    return writeCheckpoint(std::move(newValues));
  }
};

RecordStore::RecordStore() : impl_(std::make_unique<Impl>()) {}
RecordStore::~RecordStore() = default;

absl::StatusOr<std::unique_ptr<RecordStore>> RecordStore::open(std::string const& folder, RingLayout const& layout) {
  std::unique_ptr<RecordStore> store(new RecordStore());
  Impl& impl = *store->impl_;
  impl.folder = folder;
  impl.layout = layout;
  std::error_code failure;
  std::filesystem::create_directories(folder, failure);
  if (failure) {
    return absl::UnavailableError(folder + ": " + failure.message());
  }
  impl.lockFile = ::open((folder + "/lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (impl.lockFile < 0 || ::flock(impl.lockFile, LOCK_EX | LOCK_NB) != 0) {
    return errnoStatus(folder + "/lock");
  }
  absl::Status status = impl.openFiles();
  if (status.ok()) {
    status = impl.load();
  }
  if (!status.ok()) {
    return status;
  }
  return store;
}

Findings const& RecordStore::findings() const { return impl_->findings; }
std::map<std::string, std::string> const& RecordStore::values() const { return impl_->values; }

absl::Status RecordStore::put(Puts const& puts) {
  if (!impl_->writeFailure.empty()) {
    return absl::FailedPreconditionError("an earlier write failed: " + impl_->writeFailure);
  }
  if (impl_->findings.damaged) {
    return absl::DataLossError("the store is damaged");
  }
  absl::Status status = impl_->put(puts);
  impl_->writeFailure = std::string(status.message());
  return status;
}

absl::Status RecordStore::rewrite(Puts const& puts) {
  if (impl_->findings.damaged) {
    return absl::DataLossError("the store is damaged");
  }
  absl::Status status = impl_->rewrite(puts);
  impl_->writeFailure = std::string(status.message());
  return status;
}

absl::Status RecordStore::setAside() {
  impl_->closeFiles();
  std::string const suffix =
      ".damaged-" + std::to_string(std::chrono::system_clock::now().time_since_epoch() / std::chrono::milliseconds(1));
  for (std::size_t index = 0; index < impl_->layout.files; ++index) {
    if (::rename(impl_->filePath(index).c_str(), (impl_->filePath(index) + suffix).c_str()) != 0) {
      return errnoStatus(impl_->filePath(index));
    }
  }
  impl_->findings = Findings{true, false, false, ""};
  impl_->values.clear();
  impl_->generation = impl_->serial = 0;
  impl_->endOffset = 0;
  impl_->currentFile = 0;
  impl_->checkpointDue = true;
  impl_->syncedFile = 0;
  impl_->writeFailure.clear();
  return impl_->openFiles();
}

}  // namespace limeramp::storage
