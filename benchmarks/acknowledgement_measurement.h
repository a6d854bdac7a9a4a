// Measures with real processes the time from a purge at the discovery service until every router has
// acknowledged it.
#pragma once

#include <string>
#include <vector>

#include "policy_measurement.h"

namespace trailcourse::bench {

// Prints a row for each size and fault, or the reason why it could not be measured. Returns the number of
// sizes that could not be measured completely.
int measure_acknowledgements(const std::string& program, const std::vector<int>& sizes,
                             const Topology& topology);

}  // namespace trailcourse::bench
