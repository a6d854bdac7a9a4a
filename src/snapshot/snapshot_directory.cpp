#include "snapshot/snapshot_directory.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstddef>
#include <cstdio>
#include <filesystem>
#include <system_error>
#include <utility>

namespace trailcourse::snapshot {

using transport::Descriptor;

namespace {

constexpr std::size_t kReadBuffer = 65'536;

[[noreturn]] void throw_errno(const std::string& message) {
  throw std::system_error(errno, std::generic_category(), message);
}

Descriptor open_file(const std::string& path, int flags) {
  Descriptor file(::open(path.c_str(), flags | O_CLOEXEC, 0600));
  if (!file.valid()) {
    throw_errno(path);
  }
  return file;
}

void write_synced(const std::string& path, const std::string& bytes) {
  const Descriptor file = open_file(path, O_WRONLY | O_CREAT | O_TRUNC);
  std::size_t written = 0;
  while (written < bytes.size()) {
    const ssize_t count = ::write(file.get(), bytes.data() + written, bytes.size() - written);
    if (count < 0 && errno != EINTR) {
      throw_errno(path);
    }
    written += count > 0 ? static_cast<std::size_t>(count) : 0;
  }
  if (::fsync(file.get()) != 0) {
    throw_errno(path);
  }
}

}  // namespace

SnapshotDirectory::SnapshotDirectory(std::string path) : path_(std::move(path)) {
  std::error_code error;
  std::filesystem::create_directories(path_, error);
  if (error) {
    throw std::system_error(error, path_);
  }
  lock_ = open_file(path_ + "/lock", O_RDWR | O_CREAT);
  if (::flock(lock_.get(), LOCK_EX | LOCK_NB) != 0) {
    throw_errno(path_ + " is in use by another process");
  }
}

std::optional<std::string> SnapshotDirectory::load() const {
  const std::string path = path_ + "/snapshot";
  const Descriptor file(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
  if (!file.valid()) {
    if (errno == ENOENT) {
      return std::nullopt;
    }
    throw_errno(path);
  }
  std::string out;
  std::array<char, kReadBuffer> buffer;
  for (;;) {
    const ssize_t count = ::read(file.get(), buffer.data(), buffer.size());
    if (count < 0 && errno != EINTR) {
      throw_errno(path);
    }
    if (count == 0) {
      return out;
    }
    out.append(buffer.data(), count > 0 ? static_cast<std::size_t>(count) : 0);
  }
}

void SnapshotDirectory::store(const std::string& bytes) const {
  const std::string next = path_ + "/snapshot.next";
  const std::string path = path_ + "/snapshot";
  write_synced(next, bytes);
  if (std::rename(next.c_str(), path.c_str()) != 0) {
    throw_errno(path);
  }
  const Descriptor directory = open_file(path_, O_RDONLY | O_DIRECTORY);
  if (::fsync(directory.get()) != 0) {
    throw_errno(path_);
  }
}

}  // namespace trailcourse::snapshot
