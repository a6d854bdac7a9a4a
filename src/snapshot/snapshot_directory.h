// A router's folder for its snapshot: locked against a second router, written whole or not at all.
//
// Package `snapshot`. Each call may block: load() is for the start, store() for a thread of its own.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "transport/socket.h"

namespace trailcourse::snapshot {

class SnapshotFolder {
 public:
  // Makes the folder where it is not there and locks it. Throws std::system_error where that cannot be, with
  // EWOULDBLOCK where another process holds it.
  explicit SnapshotFolder(std::string path);

  // What stands there; nothing where there is no snapshot. Throws std::system_error.
  std::optional<std::string> load() const;
  // Written beside, synced, and renamed over the old one; the name is synced too. Throws std::system_error,
  // and the old one stands.
  void store(const std::string& bytes) const;

 private:
  std::string path_;
  transport::Descriptor lock_;
};

}  // namespace trailcourse::snapshot
