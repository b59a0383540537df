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

struct Head {
  std::uint32_t magic = 0;
  std::uint32_t size = 0;
  std::uint64_t generation = 0;
  std::uint64_t serial = 0;
  std::uint64_t checksum = 0;
};

constexpr std::uint32_t magicNumber = 0x444c4f48;
/// Bytes of a record beside its pairs, and of a pair beside its key and value, at the most.
constexpr std::size_t maxRecordOverhead = 256;
constexpr std::size_t maxPairOverhead = 32;

std::uint64_t checksumOf(Head const& head, char const* payload) {
  std::uint64_t const marks[3]{head.size, head.generation, head.serial};
  return XXH64(payload, head.size, XXH64(marks, sizeof marks, 0));
}

std::size_t aligned(std::size_t size) { return (size + 7) & ~static_cast<std::size_t>(7); }

absl::Status problem(std::string const& what) { return absl::UnavailableError(what + ": " + std::strerror(errno)); }

std::optional<Head> headAt(std::string const& bytes, std::size_t at) {
  Head head;
  if (at + sizeof head > bytes.size()) {
    return std::nullopt;
  }
  std::memcpy(&head, bytes.data() + at, sizeof head);
  if (head.magic != magicNumber || head.size > bytes.size() - at - sizeof head ||
      head.checksum != checksumOf(head, bytes.data() + at + sizeof head)) {
    return std::nullopt;
  }
  return head;
}

struct FileScan {
  bool checkpoint = false;
  bool rotten = false;
  std::uint64_t generation = 0;
  std::uint64_t nextSerial = 0;
  std::size_t end = 0;
  bool torn = false;
  std::map<std::string, std::string> values;
};

FileScan scan(std::string const& bytes) {
  FileScan out;
  std::optional<Head> const first = headAt(bytes, 0);
  out.checkpoint = first.has_value() && first->serial == 0;
  if (out.checkpoint) {
    out.generation = first->generation;
  }
  std::size_t at = 0;
  while (out.checkpoint) {
    std::optional<Head> const head = headAt(bytes, at);
    if (!head || head->generation != out.generation || head->serial != out.nextSerial) {
      break;
    }
    absl::StatusOr<Batch> batch =
        messages::unpack<Batch>(std::string_view(bytes).substr(at + sizeof(Head), head->size));
    if (!batch.ok()) {
      out.rotten = true;
      break;
    }
    for (Pair& pair : batch->pairs) {
      out.values[pair.key] = std::move(pair.value);
    }
    ++out.nextSerial;
    at += aligned(sizeof(Head) + head->size);
  }
  out.end = at;
  Head raw;
  if (at + sizeof raw <= bytes.size()) {
    std::memcpy(&raw, bytes.data() + at, sizeof raw);
    out.torn = raw.magic == magicNumber && (!out.checkpoint || raw.generation == out.generation);
  }
  for (std::size_t later = at + 8; later + sizeof(Head) <= bytes.size(); later += 8) {
    std::uint32_t word = 0;
    std::memcpy(&word, bytes.data() + later, sizeof word);
    if (word != magicNumber) {
      continue;
    }
    std::optional<Head> const head = headAt(bytes, later);
    if (head && head->serial > 0 && (!out.checkpoint || head->generation >= out.generation)) {
      if (!out.checkpoint) {
        out.generation = std::max(out.generation, head->generation);
      }
      out.rotten = true;
    }
  }
  return out;
}

}  // namespace

struct RecordStore::Impl {
  std::string folder;
  RingLayout shape;
  Findings findings;
  std::map<std::string, std::string> values;
  std::vector<int> files;
  int lock = -1;
  std::size_t current = 0;
  /// The file that holds the last synced values.
  std::size_t syncedFile = 0;
  std::uint64_t generation = 0;
  std::uint64_t serial = 0;
  std::size_t end = 0;
  /// What was read when the store was opened may be in the system's memory alone, if a sync failed before. The first
  /// put writes it all again.
  bool checkpointDue = true;
  /// Why a write failed: nothing more is written then. Empty while all is well.
  std::string writeFailure;

  ~Impl() {
    closeFiles();
    if (lock >= 0) {
      ::close(lock);
    }
  }

  void closeFiles() {
    for (int const file : files) {
      ::close(file);
    }
    files.clear();
  }

  std::string pathOf(std::size_t index) const {
    std::string path = folder;
    path += "/ring-";
    path += std::to_string(index);
    return path;
  }

  absl::Status syncFolder() const {
    int const handle = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (handle < 0) {
      return problem(folder);
    }
    bool const good = ::fsync(handle) == 0;
    ::close(handle);
    return good ? absl::OkStatus() : problem(folder);
  }

  absl::Status openFiles() {
    for (std::size_t index = 0; index < shape.files; ++index) {
      int const file = ::open(pathOf(index).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
      if (file < 0) {
        return problem(pathOf(index));
      }
      files.push_back(file);
      struct stat found {};
      if (::fstat(file, &found) != 0) {
        return problem(pathOf(index));
      }
      // An earlier process may have written longer files: what stands behind `fileBytes` is read and used too.
      shape.fileBytes = std::max(shape.fileBytes, static_cast<std::size_t>(found.st_size));
    }
    for (std::size_t index = 0; index < shape.files; ++index) {
      int const file = files[index];
      int const failure = ::posix_fallocate(file, 0, static_cast<off_t>(shape.fileBytes));
      if (failure != 0) {
        errno = failure;
        return problem(pathOf(index));
      }
      if (::fsync(file) != 0) {
        return problem(pathOf(index));
      }
    }
    return syncFolder();
  }

  absl::Status load() {
    bool any = false;
    std::optional<FileScan> best;
    std::uint64_t rottenGeneration = 0;
    for (std::size_t index = 0; index < shape.files; ++index) {
      std::string bytes(shape.fileBytes, '\0');
      std::size_t got = 0;
      while (got < bytes.size()) {
        ssize_t const count = ::pread(files[index], bytes.data() + got, bytes.size() - got, static_cast<off_t>(got));
        if (count <= 0) {
          return problem(pathOf(index));
        }
        got += static_cast<std::size_t>(count);
      }
      any = any || bytes.find_first_not_of('\0') != std::string::npos;
      FileScan found = scan(bytes);
      if (found.rotten) {
        rottenGeneration = std::max(rottenGeneration, found.generation);
      }
      if (found.checkpoint && (!best || found.generation > best->generation)) {
        best = std::move(found);
        current = index;
      }
    }
    findings.empty = !any;
    if (!best) {
      findings.damaged = any && rottenGeneration > 0;
      findings.tailTruncated = any && rottenGeneration == 0;
      findings.detail = findings.damaged ? "no readable checkpoint" : "";
      return absl::OkStatus();
    }
    if (rottenGeneration >= best->generation) {
      findings.damaged = true;
      findings.detail =
          "a record before the last one of generation " + std::to_string(rottenGeneration) + " is unreadable";
      return absl::OkStatus();
    }
    syncedFile = current;
    generation = best->generation;
    serial = best->nextSerial;
    end = best->end;
    findings.tailTruncated = best->torn;
    values = std::move(best->values);
    return absl::OkStatus();
  }

  absl::Status append(Batch const& batch) {
    std::string const payload = messages::pack(batch);
    Head head{magicNumber, static_cast<std::uint32_t>(payload.size()), generation, serial, 0};
    head.checksum = checksumOf(head, payload.data());
    std::string record(aligned(sizeof head + payload.size()), '\0');
    std::memcpy(record.data(), &head, sizeof head);
    std::memcpy(record.data() + sizeof head, payload.data(), payload.size());
    if (end + record.size() > shape.fileBytes) {
      return absl::ResourceExhaustedError("record larger than a ring file");
    }
    std::size_t done = 0;
    while (done < record.size()) {
      ssize_t const count =
          ::pwrite(files[current], record.data() + done, record.size() - done, static_cast<off_t>(end + done));
      if (count <= 0) {
        return problem(pathOf(current));
      }
      done += static_cast<std::size_t>(count);
    }
    if (::fdatasync(files[current]) != 0) {
      return problem(pathOf(current));
    }
    end += record.size();
    ++serial;
    syncedFile = current;
    return absl::OkStatus();
  }

  // Begins the next generation with one record of these values, which are all there are from then on. The file after
  // the last synced one is taken again as long as attempts fail, so that no number of them reaches the synced values.
  absl::Status writeCheckpoint(std::map<std::string, std::string> next) {
    current = (syncedFile + 1) % shape.files;
    ++generation;
    serial = 0;
    end = 0;
    Batch batch;
    for (std::pair<std::string const, std::string> const& entry : next) {
      batch.pairs.push_back({entry.first, entry.second});
    }
    absl::Status written = append(batch);
    if (written.ok()) {
      values = std::move(next);
      checkpointDue = false;
    }
    return written;
  }

  // New values go into the checkpoint itself: a file has to hold each value once, never an old and a new one.
  absl::Status put(Puts const& puts) {
    Batch batch;
    std::size_t size = maxRecordOverhead;
    for (std::pair<std::string, std::string> const& entry : puts) {
      batch.pairs.push_back({entry.first, entry.second});
      size += entry.first.size() + entry.second.size() + maxPairOverhead;
    }
    if (checkpointDue || end + size > shape.fileBytes) {
      return rewrite(puts);
    }
    absl::Status written = append(batch);
    if (written.ok()) {
      for (Pair& pair : batch.pairs) {
        values[pair.key] = std::move(pair.value);
      }
    }
    return written;
  }

  absl::Status rewrite(Puts const& puts) {
    std::map<std::string, std::string> next = values;
    for (std::pair<std::string, std::string> const& entry : puts) {
      next[entry.first] = entry.second;
    }
    return writeCheckpoint(std::move(next));
  }
};

RecordStore::RecordStore() : impl_(std::make_unique<Impl>()) {}
RecordStore::~RecordStore() = default;

absl::StatusOr<std::unique_ptr<RecordStore>> RecordStore::open(std::string const& folder, RingLayout const& shape) {
  std::unique_ptr<RecordStore> store(new RecordStore());
  Impl& impl = *store->impl_;
  impl.folder = folder;
  impl.shape = shape;
  std::error_code failure;
  std::filesystem::create_directories(folder, failure);
  if (failure) {
    return absl::UnavailableError(folder + ": " + failure.message());
  }
  impl.lock = ::open((folder + "/lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (impl.lock < 0 || ::flock(impl.lock, LOCK_EX | LOCK_NB) != 0) {
    return problem(folder + "/lock");
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
  for (std::size_t index = 0; index < impl_->shape.files; ++index) {
    if (::rename(impl_->pathOf(index).c_str(), (impl_->pathOf(index) + suffix).c_str()) != 0) {
      return problem(impl_->pathOf(index));
    }
  }
  impl_->findings = Findings{true, false, false, ""};
  impl_->values.clear();
  impl_->generation = impl_->serial = 0;
  impl_->end = 0;
  impl_->current = 0;
  impl_->checkpointDue = true;
  impl_->syncedFile = 0;
  impl_->writeFailure.clear();
  return impl_->openFiles();
}

}  // namespace limeramp::storage
