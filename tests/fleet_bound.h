// The bound on events of a whole fleet whose moments are drawn independently, which
// src/startup/poll_scheduler.h states.
#pragma once

#include <trailcourse/decider.h>

#include <cmath>

namespace trailcourse::testing_support {

// Returns how many events the bound allows in any stretch of that length, at a mean rate of `per_s`.
inline double max_within(double per_s, Micros stretch) {
  const double mean = per_s * static_cast<double>(stretch.count()) * 1e-6;
  return mean + 6.0 * std::sqrt(mean) + 12.0;
}

}  // namespace trailcourse::testing_support
