#include "store/files.h"

#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <system_error>
#include <utility>

#include "transport/socket.h"

namespace trailcourse::store {

using transport::Descriptor;

namespace {

constexpr const char* kLockName = "lock";
constexpr mode_t kFolderMode = 0750;
constexpr mode_t kFileMode = 0640;

[[noreturn]] void fail(const std::string& what) {
  const int code = errno;
  throw FileError(what, code);
}

class SystemFile : public File {
 public:
  SystemFile(std::string name, Descriptor descriptor)
      : name_(std::move(name)), descriptor_(std::move(descriptor)) {}

  std::string read(std::uint64_t offset, std::size_t size) override {
    std::string out(size, '\0');
    std::size_t done = 0;
    while (done < size) {
      const ssize_t count =
          ::pread(descriptor_.get(), out.data() + done, size - done, static_cast<off_t>(offset + done));
      if (count < 0 && errno == EINTR) {
        continue;
      }
      if (count < 0) {
        fail("cannot read " + name_);
      }
      if (count == 0) {
        break;
      }
      done += static_cast<std::size_t>(count);
    }
    out.resize(done);
    return out;
  }

  void write(std::uint64_t offset, std::string_view bytes) override {
    while (!bytes.empty()) {
      const ssize_t count =
          ::pwrite(descriptor_.get(), bytes.data(), bytes.size(), static_cast<off_t>(offset));
      if (count < 0 && errno == EINTR) {
        continue;
      }
      if (count < 0) {
        fail("cannot write " + name_);
      }
      bytes.remove_prefix(static_cast<std::size_t>(count));
      offset += static_cast<std::uint64_t>(count);
    }
  }

  void sync() override {
    if (::fdatasync(descriptor_.get()) != 0) {
      fail("cannot sync " + name_);
    }
  }

  std::uint64_t size() override {
    struct stat status{};
    if (::fstat(descriptor_.get(), &status) != 0) {
      fail("cannot stat " + name_);
    }
    return static_cast<std::uint64_t>(status.st_size);
  }

 private:
  std::string name_;
  Descriptor descriptor_;
};

class SystemDirectory : public Directory {
 public:
  SystemDirectory(std::string path, Descriptor folder, Descriptor lock)
      : path_(std::move(path)), folder_(std::move(folder)), lock_(std::move(lock)) {}

  std::vector<std::string> list() override {
    std::vector<std::string> out;
    DIR* const dir = ::opendir(path_.c_str());
    if (dir == nullptr) {
      fail("cannot list " + path_);
    }
    while (const dirent* entry = ::readdir(dir)) {
      const std::string name = entry->d_name;
      if (name != "." && name != ".." && name != kLockName) {
        out.push_back(name);
      }
    }
    ::closedir(dir);
    return out;
  }

  std::unique_ptr<File> create(const std::string& name) override {
    return open_as(name, O_RDWR | O_CREAT | O_TRUNC);
  }
  std::unique_ptr<File> open(const std::string& name) override { return open_as(name, O_RDONLY); }

  void remove(const std::string& name) override {
    if (::unlinkat(folder_.get(), name.c_str(), 0) != 0 && errno != ENOENT) {
      fail("cannot remove " + path_ + "/" + name);
    }
  }
  void rename(const std::string& from, const std::string& to) override {
    if (::renameat(folder_.get(), from.c_str(), folder_.get(), to.c_str()) != 0) {
      fail("cannot rename " + path_ + "/" + from);
    }
  }
  void sync_names() override {
    if (::fsync(folder_.get()) != 0) {
      fail("cannot sync " + path_);
    }
  }

 private:
  std::unique_ptr<File> open_as(const std::string& name, int flags) {
    Descriptor descriptor(::openat(folder_.get(), name.c_str(), flags | O_CLOEXEC, kFileMode));
    if (!descriptor.valid()) {
      fail("cannot open " + path_ + "/" + name);
    }
    return std::make_unique<SystemFile>(path_ + "/" + name, std::move(descriptor));
  }

  std::string path_;
  Descriptor folder_;
  Descriptor lock_;
};

Descriptor open_path(const std::string& path) {
  Descriptor folder(::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (!folder.valid()) {
    fail("cannot open folder " + path);
  }
  return folder;
}

}  // namespace

FileError::FileError(const std::string& what, int code)
    : std::runtime_error(what + ": " + std::generic_category().message(code)), code_(code) {}

std::unique_ptr<Directory> open_folder(const std::string& path) {
  if (::mkdir(path.c_str(), kFolderMode) != 0 && errno != EEXIST) {
    fail("cannot create folder " + path);
  }
  Descriptor folder = open_path(path);
  Descriptor lock(::openat(folder.get(), kLockName, O_RDWR | O_CREAT | O_CLOEXEC, kFileMode));
  if (!lock.valid()) {
    fail("cannot open " + path + "/" + kLockName);
  }
  if (::flock(lock.get(), LOCK_EX | LOCK_NB) != 0) {
    fail("folder " + path + " is in use by another process");
  }
  return std::make_unique<SystemDirectory>(path, std::move(folder), std::move(lock));
}

std::unique_ptr<Directory> open_folder_unlocked(const std::string& path) {
  return std::make_unique<SystemDirectory>(path, open_path(path), Descriptor());
}

}  // namespace trailcourse::store
