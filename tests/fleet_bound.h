// The bound, stated in src/startup/poll_scheduler.h, on the events of a whole fleet whose members choose
// their times at random and independently.
#pragma once

#include <trailcourse/decider.h>

#include <cmath>

namespace trailcourse::testing_support {

// Returns the highest number of events that the bound allows in any window of that length, at a mean rate of
// `per_s` events a second.
inline double max_within(double per_s, Micros window) {
  const double mean = per_s * static_cast<double>(window.count()) * 1e-6;
  return mean + 6.0 * std::sqrt(mean) + 12.0;
}

}  // namespace trailcourse::testing_support
