// The measurements of role_costs, one function a role. Each runs the project's own code at several sizes.
//
// Benchmarks only.
#pragma once

#include <cstdint>
#include <string>

#include "cost_meter.h"

namespace trailcourse::scale {

// What a measurement has to know beside its sizes.
struct CostContext {
  std::string program;  // the built trailcourse, for real processes
  std::string folder;   // of its own, for files; removed afterwards
  std::uint64_t seed = 1;
};

void measure_router(const CostContext& context, const CostSink& sink);
void measure_purges(const CostContext& context, const CostSink& sink);
void measure_policy(const CostContext& context, const CostSink& sink);
void measure_cache(const CostContext& context, const CostSink& sink);
void measure_board(const CostContext& context, const CostSink& sink);
void measure_store(const CostContext& context, const CostSink& sink);
void measure_driver(const CostContext& context, const CostSink& sink);
void measure_membership(const CostContext& context, const CostSink& sink);
void measure_aggregator(const CostContext& context, const CostSink& sink);
void measure_idle_processes(const CostContext& context, const CostSink& sink);
void measure_request_processes(const CostContext& context, const CostSink& sink);
void measure_purges_by_board(const CostContext& context, const CostSink& sink);
void measure_purges_by_board_long(const CostContext& context, const CostSink& sink);
void measure_purges_by_relays(const CostContext& context, const CostSink& sink);
void measure_purges_http(const CostContext& context, const CostSink& sink);

}  // namespace trailcourse::scale
