// The directory of a router's snapshot. It is locked against a second router, and each snapshot is written
// completely or not at all.
//
// Package `snapshot`. Each call may block: load() is for the start, store() for a thread of its own.
#pragma once

#include <optional>
#include <string>

#include "transport/socket.h"

namespace trailcourse::snapshot {

// Owns the lock on the directory.
class SnapshotDirectory {
 public:
  // Creates the directory where it does not exist, and locks it for the lifetime of the object. Throws
  // std::system_error where that fails, with EWOULDBLOCK where another process holds the lock.
  explicit SnapshotDirectory(std::string path);

  // Returns the content of the snapshot, or nothing where there is none. Throws std::system_error.
  std::optional<std::string> load() const;

  // Replaces the snapshot durably: writes and syncs a new file, renames it over the old one, and syncs the
  // directory. Throws std::system_error; the old snapshot remains then.
  void store(const std::string& bytes) const;

 private:
  std::string path_;
  transport::Descriptor lock_;
};

}  // namespace trailcourse::snapshot
