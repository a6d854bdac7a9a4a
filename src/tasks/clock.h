// Readings of the process's two clocks, in the units that the state machines and the records use.
//
// Package `tasks`. Thread-safe.
#pragma once

#include <trailcourse/decider.h>

#include <chrono>
#include <cstdint>

#include "transport/scheduler.h"

namespace trailcourse::tasks {

// Returns the time of the steady clock since its epoch.
inline Micros steady_now() {
  return std::chrono::duration_cast<Micros>(transport::Clock::now().time_since_epoch());
}

// Converts a time of steady_now() to the time point that timers take.
inline transport::Clock::time_point steady_time_point(Micros time) {
  return transport::Clock::time_point(std::chrono::duration_cast<transport::Clock::duration>(time));
}

// Returns the Unix time in milliseconds, as the records of the store hold it.
inline std::int64_t unix_now_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace trailcourse::tasks
