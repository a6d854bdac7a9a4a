// Measures a fleet of real processes at rest: what a router costs, and what the store is asked.
#pragma once

#include <string>
#include <vector>

#include "policy_measurement.h"

namespace trailcourse::bench {

// Prints rows for each size: flat, a router without a store, with one whose tasks it shares, and with one
// whose policy it follows beside; else, one that follows the policy by way of aggregators. Gives how many
// rows could not be measured; each of these says why.
int measure_rest(const std::string& program, const std::vector<int>& sizes, const Topology& topology);

}  // namespace trailcourse::bench
