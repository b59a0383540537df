#include "disk_writer.h"

#include <utility>

namespace limeramp::control {
namespace {

constexpr std::size_t maxDiskJobs = 1'024;

}  // namespace

DiskWriter::DiskWriter(std::unique_ptr<storage::RecordStore> store, std::function<void(DiskDone)> done)
    : store_(std::move(store)), done_(std::move(done)), jobs_(maxDiskJobs) {}

DiskWriter::~DiskWriter() {
  jobs_.close();
  if (thread_.joinable()) {
    thread_.join();
  }
}

std::map<std::string, std::string> const& DiskWriter::storedAtStart() const {
  static std::map<std::string, std::string> const nothing;
  return store_ == nullptr ? nothing : store_->values();
}

void DiskWriter::start() {
  thread_ = std::thread([this] { run(); });
}

void DiskWriter::write(DiskJob job) {
  std::uint64_t const token = job.token;
  if (!jobs_.tryPush(std::move(job))) {
    recordMissing_ = true;
    done_({token, false, "the disk's queue is full"});
  }
}

absl::Status DiskWriter::carryOut(DiskJob const& job) {
  if (store_ == nullptr) {
    return absl::OkStatus();
  }
  if (!job.rewrite) {
    return recordMissing_ ? absl::FailedPreconditionError("an earlier record found no place in the queue")
                          : store_->put(job.puts);
  }
  absl::Status status = store_->rewrite(job.puts);
  recordMissing_ = recordMissing_ && !status.ok();
  return status;
}

void DiskWriter::run() {
  while (std::optional<DiskJob> job = jobs_.pop()) {
    absl::Status const status = carryOut(*job);
    done_({job->token, status.ok(), std::string(status.message())});
  }
}

}  // namespace limeramp::control
