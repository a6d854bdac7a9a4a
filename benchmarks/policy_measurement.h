// Measures changes of policy with real processes, from the proposal to done, under load.
#pragma once

#include <string>
#include <vector>

#include "fleet_bench.h"

namespace trailcourse::bench {

// How routers reach the store.
struct Topology {
  bool flat = false;  // each by itself; else by way of aggregators
  int regions = 0;    // 0: one for each kRoutersOfRegion routers, kFewestRegions at least
  int regions_for(int routers) const;
};

constexpr int kRoutersOfRegion = 50;
constexpr int kFewestRegions = 2;

// A fleet whose routers follow a policy, with the default times.
fleet::FleetSpec policy_shape(int routers, const Topology& topology);

// Calls at the store during a change with all up.
struct ChangeCalls {
  int routers = 0;
  int regions = 0;  // 0: every router at the store
  double store_calls = 0.0;
};

// Prints a row for each size and case, and adds those with all up to `all_up`. Gives how many rows could not
// be measured; each of these says why.
int measure_policy(const std::string& program, const std::vector<int>& sizes, const Topology& topology,
                   std::vector<ChangeCalls>& all_up);
// Puts them into the file of slopes, by routers or by regions. Throws scale::BadSlopes, std::runtime_error.
void save_change_calls(const std::string& path, const std::vector<ChangeCalls>& all_up,
                       const std::string& command);

}  // namespace trailcourse::bench
