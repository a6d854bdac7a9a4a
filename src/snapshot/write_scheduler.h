// Decides when a snapshot is written: soon after a change, from time to time while nothing changes, one at a
// time, and with growing backoff while the directory cannot be written to.
//
// Package `snapshot`: no I/O, no clock. Times are of the caller's steady clock. Not thread-safe.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>

#include "snapshot/snapshot.h"

namespace trailcourse::snapshot {

// Schedules the writes of one router's snapshot.
class WriteScheduler {
 public:
  using Millis = std::chrono::milliseconds;

  WriteScheduler(const SnapshotOptions& options, std::uint64_t seed)
      : write_interval_(options.write_ms), confirm_interval_(options.confirm_ms), random_(seed) {}

  // Records that the list or the purges differ from those written last.
  void on_changed(Millis now);

  // Records that the last written content is still current.
  void on_confirmed() { confirmed_ = true; }

  // Returns when to write next, or nothing while a write is in progress or there is nothing new.
  std::optional<Millis> next_write_at() const;

  void on_write_started();

  // Records how the write ended. Returns whether that differs from the write before, which is when operators
  // are to be informed: at the first failure, and at the first success after failures.
  bool on_write_finished(Millis now, bool succeeded);

 private:
  Millis jitter(Millis longest);

  Millis write_interval_;
  Millis confirm_interval_;
  std::mt19937_64 random_;
  bool changed_ = false;
  bool confirmed_ = false;
  bool writing_ = false;
  Millis changed_at_{0};
  Millis not_before_ = Millis::min();
  std::optional<Millis> confirm_at_;  // set by the first successful write
  int failures_ = 0;                  // in a row
};

}  // namespace trailcourse::snapshot
