#include "limeramp/config/settings_file.h"

#include <sys/stat.h>

namespace limeramp::config {
namespace {

/// Identifies the content of a file without reading it.
struct FileStamp {
  dev_t device = 0;
  ino_t number = 0;
  off_t bytes = 0;
  time_t writtenSeconds = 0;
  long writtenNanoseconds = 0;
  bool operator==(FileStamp const&) const = default;
};

std::optional<FileStamp> stampOf(std::string const& path) {
  struct stat found {};
  if (path.empty() || stat(path.c_str(), &found) != 0) {
    return std::nullopt;
  }
  return FileStamp{found.st_dev, found.st_ino, found.st_size, found.st_mtim.tv_sec, found.st_mtim.tv_nsec};
}

}  // namespace

struct SettingsFile::Impl {
  std::string path;
  SettingsReader reader;
  std::optional<FileStamp> lastRead;
};

SettingsFile::SettingsFile(std::string const& path, SettingsReader reader)
    : impl_(std::make_unique<Impl>(Impl{path, std::move(reader), std::nullopt})) {}

SettingsFile::~SettingsFile() = default;
SettingsFile::SettingsFile(SettingsFile&&) noexcept = default;
SettingsFile& SettingsFile::operator=(SettingsFile&&) noexcept = default;

CheckedSettings SettingsFile::read() {
  // Takes the stamp before the read, so that the next check detects a write that happens during the read.
  std::optional<FileStamp> const stamp = stampOf(impl_->path);
  CheckedSettings checked = impl_->reader();
  impl_->lastRead = checked.settings ? stamp : std::nullopt;
  return checked;
}

std::optional<CheckedSettings> SettingsFile::readIfChanged() {
  std::optional<FileStamp> const stamp = stampOf(impl_->path);
  if (!stamp || stamp == impl_->lastRead) {
    return std::nullopt;
  }
  return read();
}

}  // namespace limeramp::config
