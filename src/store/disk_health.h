// Decides whether the disk may be read or written now.
//
// A disk whose reads time out is stalled: it is not used, except for a probe read at intervals, until a read
// completes in time. After a failed write the disk is read-only for a pause that doubles with each failure.
// Memory hits and fills therefore continue while the disk hangs, is full, is read-only or fails; the same
// should hold for a network volume. On storage where every read is slow, such as a tape library, a
// `read_patience_ms` that is too short makes the disk count as stalled.
//
// Library `store`; no I/O; times are steady milliseconds given with each call. Not thread-safe.
#pragma once

#include <cstdint>
#include <string>

namespace trailcourse::store {

// The state of the disk, from the results of its reads and writes.
class DiskHealth {
 public:
  struct Options {
    std::int64_t probe_interval_ms = 250;  // between probe reads of a stalled disk
    std::int64_t min_pause_ms = 1'000;     // after a failed write
    std::int64_t max_pause_ms = 60'000;
  };
  // kOff: there is no usable folder. kStalled: a read timed out, and no read has completed in time since.
  // kReadOnly: a write failed, and the pause after it is not over.
  enum class State { kOff, kGood, kStalled, kReadOnly };

  explicit DiskHealth(const Options& options) : options_(options) {}

  // Records that the folder is open. Until then the state is kOff.
  void enable() { open_ = true; }
  // Records that the folder cannot be used until the process restarts.
  void disable(std::string error);

  // A read exceeded its time limit; it may still complete.
  void on_late_read(std::int64_t now_ms);
  // A read completed after `duration_ms`, successfully or with an error. Ends a stall if that is within
  // `patience_ms`.
  void on_read_done(std::int64_t duration_ms, std::int64_t patience_ms);
  // Pauses writes; the pause doubles with each consecutive failure, up to `max_pause_ms`.
  void on_write_failed(std::int64_t now_ms, std::string error);
  // Ends the pause and resets its length.
  void on_write_done();

  // Returns whether a read may begin. On a stalled disk a call that returns true restarts the probe interval.
  bool may_read(std::int64_t now_ms);
  bool may_write(std::int64_t now_ms) const { return open_ && !stalled_ && now_ms >= write_after_ms_; }

  State state(std::int64_t now_ms) const;
  // Returns the latest error; empty if there was none.
  const std::string& error() const { return error_; }
  std::uint64_t stalls() const { return stalls_; }
  std::uint64_t write_failures() const { return write_failures_; }

 private:
  Options options_;
  bool open_ = false;
  bool stalled_ = false;
  std::int64_t next_probe_ms_ = 0;
  std::int64_t write_after_ms_ = INT64_MIN;
  int consecutive_write_failures_ = 0;
  std::uint64_t stalls_ = 0;
  std::uint64_t write_failures_ = 0;
  std::string error_;
};

const char* to_string(DiskHealth::State state);

}  // namespace trailcourse::store
