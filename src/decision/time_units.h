// Conversions between durations and seconds in floating point, for arithmetic with rates.
#pragma once

#include <trailcourse/decider.h>

#include <algorithm>
#include <cstdint>

namespace trailcourse {

// Returns the duration in seconds.
inline double to_seconds(Micros time) { return static_cast<double>(time.count()) * 1e-6; }

// Returns a duration of `time` seconds, clamped to the range from 0 to 4,000.
inline Micros from_seconds(double time) {
  return Micros(static_cast<std::int64_t>(std::clamp(time, 0.0, 4e3) * 1e6));
}

}  // namespace trailcourse
