// Statistics of measurements: the highest count in any window, quantiles, and the resources of a process.
//
// Library `fleet`.
#pragma once

#include <sys/types.h>

#include <vector>

#include "fleet/max_count_within.h"

namespace trailcourse::fleet {

// Returns the smallest value that at least `share` (0 to 1) of the values do not exceed; 0 without values.
double quantile(std::vector<double> values, double share);

struct Footprint {
  double resident_mb = 0.0;
  int descriptors = 0;
};
// Returns the resources of a running process of the same user; zeros where they cannot be read.
Footprint footprint_of(pid_t pid);

}  // namespace trailcourse::fleet
