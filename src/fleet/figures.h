// Figures over what was seen: the most in any window, quantiles, and what the system says of a process.
//
// Package `fleet`.
#pragma once

#include <sys/types.h>

#include <vector>

#include "fleet/max_count_within.h"

namespace trailcourse::fleet {

// The value below which `share` of them lie; 0 of none.
double quantile(std::vector<double> values, double share);

struct Footprint {
  double resident_mb = 0.0;
  int descriptors = 0;
};
// Of a living process of ours; zeros where it cannot be read.
Footprint footprint_of(pid_t pid);

}  // namespace trailcourse::fleet
