// The settings profiles of the decision trace.
#pragma once

#include <trailcourse/decider.h>

#include <cstdint>
#include <string>
#include <vector>

namespace trailcourse::decision_trace {

// The settings of one deployment, its nodes and the load on it.
struct Profile {
  std::string name;
  Settings settings;
  std::uint64_t objects = 500;  // number of different objects
  int caches = 6;
  int parents = 3;
  int origins = 1;
  Micros mean_request_interval{8'000};
  double mean_size_kb = 150.0;
  double restart_share = 0.04;  // share of the disturbances that restart an endpoint
  double event_share = 1.0;     // share of EVENTS_PER_PROFILE that this profile runs
};

// Returns the profiles in the order in which the trace runs them.
std::vector<Profile> profiles();

}  // namespace trailcourse::decision_trace
