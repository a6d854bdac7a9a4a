// Decides when a snapshot is written: soon after a change, periodically while the content is only confirmed,
// one write at a time, and with growing backoff after failed writes.
//
// Library `snapshot`: no I/O and no clock. Times are those of the caller's steady clock. Not thread-safe.
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

  // Records that the endpoint list or the purge events differ from those written last.
  void on_changed(Millis now);

  // Records that the content written last is still current.
  void on_confirmed() { confirmed_ = true; }

  // Returns when to write next, or nothing while a write is in progress or nothing has to be written.
  std::optional<Millis> next_write_at() const;

  void on_write_started();

  // Records the result of a write. Returns whether to log it: true for the first failure in a row and for the
  // first success after failures.
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
  int failures_ = 0;                  // consecutive
};

}  // namespace trailcourse::snapshot
