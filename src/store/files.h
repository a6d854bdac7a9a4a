// The folder of a store, as the few calls that it needs. Tests put a recording or failing folder in its
// place.
//
// Package `store`. Each call may block and may come from any of the store's threads.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace trailcourse::store {

// A call of the system failed. `code` is its error number.
class FileError : public std::runtime_error {
 public:
  FileError(const std::string& what, int code);
  int code() const { return code_; }

 private:
  int code_;
};

class File {
 public:
  File() = default;
  File(const File&) = delete;
  File& operator=(const File&) = delete;
  virtual ~File() = default;

  // Up to `size` bytes from `offset`; fewer only at the end of the file.
  virtual std::string read(std::uint64_t offset, std::size_t size) = 0;
  // All of the bytes, or an error after which any part of them may stand there.
  virtual void write(std::uint64_t offset, std::string_view bytes) = 0;
  // Returns once what was written will outlive a loss of power.
  virtual void sync() = 0;
  virtual std::uint64_t size() = 0;
};

class Files {
 public:
  Files() = default;
  Files(const Files&) = delete;
  Files& operator=(const Files&) = delete;
  virtual ~Files() = default;

  virtual std::vector<std::string> list() = 0;
  virtual std::unique_ptr<File> create(const std::string& name) = 0;  // empty, also where there was one
  virtual std::unique_ptr<File> open(const std::string& name) = 0;    // for reading
  virtual void remove(const std::string& name) = 0;                   // nothing happens where there is none
  virtual void rename(const std::string& from, const std::string& to) = 0;
  // Returns once the names of files will outlive a loss of power.
  virtual void sync_names() = 0;
};

// A folder of the system, made where it does not exist. Throws FileError where it cannot be used, or is in
// use by another process (EWOULDBLOCK); the lock goes with the object.
std::unique_ptr<Files> open_folder(const std::string& path);
// The same without a lock and without making anything: for reading beside a node that runs.
std::unique_ptr<Files> look_into_folder(const std::string& path);

}  // namespace trailcourse::store
