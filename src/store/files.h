// The file operations that a store needs on its folder. Tests substitute a folder that records operations or
// injects faults.
//
// Library `store`. Each call may block, may come from any of the store's threads, and throws FileError.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace trailcourse::store {

// A system call failed. `code` is its errno.
class FileError : public std::runtime_error {
 public:
  FileError(const std::string& what, int code);
  int code() const { return code_; }

 private:
  int code_;
};

// An open file.
class File {
 public:
  File() = default;
  File(const File&) = delete;
  File& operator=(const File&) = delete;
  virtual ~File() = default;

  // Returns `size` bytes from `offset` on; fewer only at the end of the file.
  virtual std::string read(std::uint64_t offset, std::size_t size) = 0;
  // Writes all of the bytes. After an error any of them may have been written.
  virtual void write(std::uint64_t offset, std::string_view bytes) = 0;
  // Returns once everything written so far survives a loss of power.
  virtual void sync() = 0;
  virtual std::uint64_t size() = 0;
};

// An open folder. Its files are named relative to it; it has no subfolders.
class Directory {
 public:
  Directory() = default;
  Directory(const Directory&) = delete;
  Directory& operator=(const Directory&) = delete;
  virtual ~Directory() = default;

  // Returns the names of all files, except the lock file.
  virtual std::vector<std::string> list() = 0;
  // Creates a file for reading and writing; truncates an existing one.
  virtual std::unique_ptr<File> create(const std::string& name) = 0;
  // Opens an existing file for reading.
  virtual std::unique_ptr<File> open(const std::string& name) = 0;
  // Removes a file; does nothing if it does not exist.
  virtual void remove(const std::string& name) = 0;
  virtual void rename(const std::string& from, const std::string& to) = 0;
  // Returns once all created, removed and renamed names survive a loss of power.
  virtual void sync_names() = 0;
};

// Opens a folder of the file system, creates it if it does not exist, and locks it against other processes;
// the lock is held until the returned object is destroyed. Throws FileError if the folder cannot be used or
// is locked (EWOULDBLOCK).
std::unique_ptr<Directory> open_folder(const std::string& path);
// Opens an existing folder without locking it, for example to read it while a node uses it.
std::unique_ptr<Directory> open_folder_unlocked(const std::string& path);

}  // namespace trailcourse::store
