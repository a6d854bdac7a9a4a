// Whether the disk is to be asked now. One symptom, one defence: a disk that does not answer in time is left
// alone, but for a read now and then that tells when it is back; one that does not take writes is written to
// again after a pause that doubles. It guards memory hits and fills against a disk that hangs, is full, is
// read-only or fails, and should guard against a volume behind a network as well. It could harm where single
// reads are slow by nature (an archive behind a robot): then `read_patience_ms` is too short.
//
// Package `store`; no I/O; time comes with each call as steady milliseconds. Not thread-safe.
#pragma once

#include <cstdint>
#include <string>

namespace trailcourse::store {

class DiskHealth {
 public:
  struct Options {
    std::int64_t probe_ms = 250;          // between reads that try a stalled disk
    std::int64_t least_pause_ms = 1'000;  // after a failed write
    std::int64_t most_pause_ms = 60'000;
  };
  enum class State { kOff, kGood, kStalled, kReadOnly };

  explicit DiskHealth(const Options& options) : options_(options) {}

  void opened() { open_ = true; }
  // For good: the folder cannot be used.
  void closed(std::string why);

  // A read was not back in time; it may still come.
  void read_late(std::int64_t now_ms);
  // A read came back after so long, with bytes or an error; it does answer.
  void read_back(std::int64_t took_ms, std::int64_t patience_ms);
  void write_failed(std::int64_t now_ms, std::string why);
  void write_done();

  // Asking counts as the try where the disk is stalled.
  bool may_read(std::int64_t now_ms);
  bool may_write(std::int64_t now_ms) const { return open_ && !stalled_ && now_ms >= write_after_ms_; }

  State state(std::int64_t now_ms) const;
  const std::string& why() const { return why_; }
  std::uint64_t stalls() const { return stalls_; }
  std::uint64_t write_failures() const { return write_failures_; }

 private:
  Options options_;
  bool open_ = false;
  bool stalled_ = false;
  std::int64_t next_probe_ms_ = 0;
  std::int64_t write_after_ms_ = INT64_MIN;
  int failures_ = 0;  // writes in a row
  std::uint64_t stalls_ = 0;
  std::uint64_t write_failures_ = 0;
  std::string why_;
};

const char* to_string(DiskHealth::State state);

}  // namespace trailcourse::store
