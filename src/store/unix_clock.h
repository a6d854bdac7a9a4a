// Unix time that never goes back, neither within a run nor over restarts, whatever the system's clock does.
//
// Ages decide what may be served: were the clock to step back, a copy from before a purge would look young
// enough for the age limit that a router sends. So time runs on steadily from the start, is never before what
// an earlier run has seen (kept in the index), and never before the time at which the origin gave out a copy
// that has just come. A clock that is ahead only makes copies look older: they are fetched again.
//
// Package `store`; no I/O; the caller gives both clocks. Not thread-safe.
#pragma once

#include <algorithm>
#include <cstdint>

namespace trailcourse::store {

class UnixClock {
 public:
  UnixClock(std::int64_t steady_ms, std::int64_t unix_ms) : shift_(unix_ms - steady_ms) {}

  std::int64_t at(std::int64_t steady_ms) const { return steady_ms + shift_; }

  // An earlier run of this program saw this time.
  void not_before(std::int64_t steady_ms, std::int64_t unix_ms) {
    shift_ = std::max(shift_, unix_ms - steady_ms);
  }

  // A copy came just now that was given out at `t0_ms`. False where that is so far ahead that one of the
  // clocks must be wrong: then nothing is learnt and the copy's age cannot be told.
  bool heard(std::int64_t steady_ms, std::int64_t t0_ms) {
    if (t0_ms - at(steady_ms) > kMostAhead) {
      return false;
    }
    not_before(steady_ms, t0_ms);
    return true;
  }

  static constexpr std::int64_t kMostAhead = 60'000;

 private:
  std::int64_t shift_;
};

}  // namespace trailcourse::store
