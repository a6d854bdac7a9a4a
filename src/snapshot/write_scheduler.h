// When a snapshot is written: soon after a change, now and then while nothing changes, one at a time, and
// more and more rarely while the folder cannot be written to.
//
// Package `snapshot`: no I/O, no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <random>

#include "snapshot/snapshot.h"

namespace trailcourse::snapshot {

class Writer {
 public:
  Writer(const SnapshotOptions& options, std::uint64_t seed) : options_(options), random_(seed) {}

  // The list or the purges are other than those written last.
  void changed(std::int64_t now_ms);
  // All is still current.
  void confirmed(std::int64_t now_ms);

  // When to write next; nothing while one is being written or nothing is to be said.
  std::optional<std::int64_t> due() const;
  void begun(std::int64_t now_ms);
  // How the write ended. Whether the operators are to be told: of the first failure, and of the first success
  // after.
  bool ended(std::int64_t now_ms, bool good);
  int failures() const { return failures_; }

 private:
  SnapshotOptions options_;
  std::mt19937_64 random_;
  bool changed_ = false;
  bool confirmed_ = false;
  bool writing_ = false;
  std::int64_t not_before_ms_ = INT64_MIN;
  std::int64_t confirm_at_ms_ = INT64_MIN;
  std::int64_t changed_at_ms_ = 0;
  int failures_ = 0;
};

}  // namespace trailcourse::snapshot
