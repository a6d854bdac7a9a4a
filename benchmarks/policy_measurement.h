// Measures policy changes under load with real processes, from the proposal to the end of each change.
#pragma once

#include <string>
#include <vector>

#include "fleet_bench.h"

namespace trailcourse::bench {

// How the routers of a fleet connect to the store.
struct Topology {
  bool flat = false;  // each router connects to the store directly; otherwise through aggregators
  int regions = 0;    // 0: one for each kRoutersPerRegion routers, at least kMinRegions
  // Returns the number of regions of a fleet of that size.
  int regions_for(int routers) const;
};

constexpr int kRoutersPerRegion = 50;
constexpr int kMinRegions = 2;

// Returns a fleet whose routers follow a policy, with the default times.
fleet::FleetSpec policy_fleet(int routers, const Topology& topology);

// The number of calls at the store during a policy change without a fault.
struct ChangeCalls {
  int routers = 0;
  int regions = 0;  // 0: the routers connect to the store directly
  double store_calls = 0.0;
};

// Prints a row for each size and fault, or the reason why it could not be measured. Adds the number of calls
// of each change without a fault to `calls_all_up`. Returns the number of sizes that could not be measured
// completely.
int measure_policy(const std::string& program, const std::vector<int>& sizes, const Topology& topology,
                   std::vector<ChangeCalls>& calls_all_up);
// Saves the numbers of calls in the file of slopes at `path`, by the number of routers or of regions, with
// `command` as the command that measured them. Throws scale::InvalidSlopes, std::runtime_error.
void save_change_calls(const std::string& path, const std::vector<ChangeCalls>& calls_all_up,
                       const std::string& command);

}  // namespace trailcourse::bench
