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
fleet::Shape policy_shape(int routers, const Topology& topology);

// Prints a row for each size and case. Gives how many rows could not be measured; each of these says why.
int measure_policy(const std::string& program, const std::vector<int>& sizes, const Topology& topology);

}  // namespace trailcourse::bench
