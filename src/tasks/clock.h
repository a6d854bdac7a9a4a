// The steady clock and the wall clock, in the units of the state machines and of the stored records.
//
// Library `tasks`. Thread-safe.
#pragma once

#include <trailcourse/decider.h>

#include <chrono>
#include <cstdint>

#include "transport/scheduler.h"

namespace trailcourse::tasks {

// Returns the time since the epoch of the steady clock.
inline Micros steady_now() {
  return std::chrono::duration_cast<Micros>(transport::Clock::now().time_since_epoch());
}

// Converts a time from steady_now() to a time point for timers.
inline transport::Clock::time_point steady_time_point(Micros time) {
  return transport::Clock::time_point(std::chrono::duration_cast<transport::Clock::duration>(time));
}

// Returns the Unix time in milliseconds, the unit of the records in the store.
inline std::int64_t unix_now_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace trailcourse::tasks
