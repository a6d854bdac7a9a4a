// Measures with real processes how long it takes from a purge at the notice board until every router is known
// to have taken it in.
#pragma once

#include <string>
#include <vector>

#include "policy_measurement.h"

namespace trailcourse::bench {

// Prints a row for each size and case. Gives how many rows could not be measured; each of these says why.
int measure_acknowledgements(const std::string& program, const std::vector<int>& sizes,
                             const Topology& topology);

}  // namespace trailcourse::bench
