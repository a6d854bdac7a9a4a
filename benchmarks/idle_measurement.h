// Measures an idle fleet of real processes: the resources of a router and the calls at the store.
#pragma once

#include <string>
#include <vector>

#include "policy_measurement.h"

namespace trailcourse::bench {

// Prints the rows of each size. A flat topology has three rows: routers without a store, with tasks from the
// store, and with tasks and the policy from the store. Otherwise there is one row: routers that follow the
// policy through aggregators. A row that could not be measured states the reason. Returns the number of such
// rows.
int measure_idle_fleets(const std::string& program, const std::vector<int>& sizes, const Topology& topology);

}  // namespace trailcourse::bench
