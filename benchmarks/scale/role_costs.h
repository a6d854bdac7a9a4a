// The groups of measurements that the program role_costs runs. Each runs the project's own code at several
// sizes.
//
// Used by benchmarks only.
#pragma once

#include <cstdint>
#include <string>

#include "cost_meter.h"

namespace trailcourse::scale {

// Inputs common to all measurements.
struct CostContext {
  std::string program;     // path of the built trailcourse program, for measurements of real processes
  std::string folder;      // temporary folder for files, removed when role_costs ends
  std::uint64_t seed = 1;  // seed of the random numbers
};

void measure_router(const CostContext& context, const CostSink& sink);
void measure_router_purges(const CostContext& context, const CostSink& sink);
void measure_router_policy(const CostContext& context, const CostSink& sink);
void measure_cache(const CostContext& context, const CostSink& sink);
void measure_discovery_service(const CostContext& context, const CostSink& sink);
void measure_coordination_store(const CostContext& context, const CostSink& sink);
void measure_rollout_coordinator(const CostContext& context, const CostSink& sink);
void measure_membership(const CostContext& context, const CostSink& sink);
void measure_aggregator(const CostContext& context, const CostSink& sink);
void measure_idle_processes(const CostContext& context, const CostSink& sink);
void measure_request_processes(const CostContext& context, const CostSink& sink);
void measure_purges_by_board(const CostContext& context, const CostSink& sink);
void measure_purges_by_board_long(const CostContext& context, const CostSink& sink);
void measure_purges_by_relays(const CostContext& context, const CostSink& sink);
void measure_purges_http(const CostContext& context, const CostSink& sink);

}  // namespace trailcourse::scale
