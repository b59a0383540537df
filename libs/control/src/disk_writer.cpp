#include "disk_writer.h"

#include <utility>

namespace limeramp::control {
namespace {

constexpr std::size_t maxQueuedWrites = 1'024;

}  // namespace

DiskWriter::DiskWriter(std::unique_ptr<storage::RecordStore> store, std::function<void(DiskWriteFinished)> done)
    : store_(std::move(store)), done_(std::move(done)), queue_(maxQueuedWrites) {}

DiskWriter::~DiskWriter() {
  queue_.close();
  if (thread_.joinable()) {
    thread_.join();
  }
}

std::map<std::string, std::string> const& DiskWriter::storedAtStart() const {
  static std::map<std::string, std::string> const noRecords;
  return store_ == nullptr ? noRecords : store_->values();
}

void DiskWriter::start() {
  thread_ = std::thread([this] { run(); });
}

void DiskWriter::write(DiskWrite records) {
  std::uint64_t const token = records.token;
  if (!queue_.tryPush(std::move(records))) {
    recordDropped_ = true;
    done_({token, false, "the disk's queue is full"});
  }
}

absl::Status DiskWriter::perform(DiskWrite const& records) {
  if (store_ == nullptr) {
    return absl::OkStatus();
  }
  if (!records.rewrite) {
    return recordDropped_ ? absl::FailedPreconditionError("an earlier record was dropped because the queue was full")
                          : store_->put(records.puts);
  }
  absl::Status status = store_->rewrite(records.puts);
  recordDropped_ = recordDropped_ && !status.ok();
  return status;
}

void DiskWriter::run() {
  while (std::optional<DiskWrite> records = queue_.pop()) {
    absl::Status const status = perform(*records);
    done_({records->token, status.ok(), std::string(status.message())});
  }
}

}  // namespace limeramp::control
