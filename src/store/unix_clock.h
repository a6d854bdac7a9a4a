// A Unix clock that never goes back, neither within a run nor over restarts, even if the system clock does.
//
// The age of a copy decides whether it may be served. If the clock went back, a copy from before a purge
// could pass the age limit of a request. The clock therefore advances with the steady clock, and is never
// behind the last time of an earlier run (stored in the index) or the origin time of a copy that was
// received. A clock that is ahead only makes copies look older, so that they are fetched again.
//
// Library `store`; no I/O; the caller provides both clocks. Not thread-safe.
#pragma once

#include <algorithm>
#include <cstdint>

namespace trailcourse::store {

// Converts steady time to Unix time.
class UnixClock {
 public:
  UnixClock(std::int64_t steady_ms, std::int64_t unix_ms) : offset_ms_(unix_ms - steady_ms) {}

  // Returns the Unix time in milliseconds at `steady_ms`.
  std::int64_t at(std::int64_t steady_ms) const { return steady_ms + offset_ms_; }

  // Advances the clock so that it reads at least `unix_ms` at `steady_ms`; never sets it back.
  void advance_to(std::int64_t steady_ms, std::int64_t unix_ms) {
    offset_ms_ = std::max(offset_ms_, unix_ms - steady_ms);
  }

  // Advances the clock to the origin time of a copy received now. Returns false, and changes nothing, if that
  // time is more than kMaxAheadMs ahead: one of the clocks is wrong, and the age of the copy is unknown.
  bool observe_origin_time(std::int64_t steady_ms, std::int64_t origin_time_ms) {
    if (origin_time_ms - at(steady_ms) > kMaxAheadMs) {
      return false;
    }
    advance_to(steady_ms, origin_time_ms);
    return true;
  }

  static constexpr std::int64_t kMaxAheadMs = 60'000;

 private:
  std::int64_t offset_ms_;
};

}  // namespace trailcourse::store
