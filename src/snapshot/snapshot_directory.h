// The directory that stores the snapshot of a router. It is locked against use by a second process, and
// each snapshot is written completely or not at all.
//
// Library `snapshot`. All calls may block: call load() at startup only, and store() in a separate thread.
#pragma once

#include <optional>
#include <string>

#include "transport/socket.h"

namespace trailcourse::snapshot {

// Holds the lock on the directory and accesses the snapshot in it.
class SnapshotDirectory {
 public:
  // Creates the directory if it does not exist, and locks it for the lifetime of this object. Throws
  // std::system_error on failure, with EWOULDBLOCK where another process holds the lock.
  explicit SnapshotDirectory(std::string path);

  // Returns the content of the snapshot, or nothing where there is none. Throws std::system_error where it
  // cannot be read.
  std::optional<std::string> load() const;

  // Replaces the snapshot durably: writes and syncs a new file, renames it over the old one, and syncs the
  // directory. Throws std::system_error on failure; the old snapshot then remains, unless only the sync of
  // the directory failed.
  void store(const std::string& bytes) const;

 private:
  std::string path_;
  transport::Descriptor lock_;
};

}  // namespace trailcourse::snapshot
