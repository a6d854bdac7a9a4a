// The section `aggregator` of the operator's file, of an aggregator's process, and `aggregation`, of a router
// that goes by aggregators.
//
// Package `aggregation`.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "aggregation/aggregator.h"
#include "config/record.h"
#include "coordination/options.h"

namespace trailcourse::aggregation {

struct AggregatorOptions {
  std::string listen;
  std::string name;
  std::vector<std::string> zones;
  std::string board;  // the notice board; empty: it drives no acknowledgements
  std::int64_t ttl_ms = 4'000;
  std::int64_t renew_ms = 500;
  double drift_percent = 1.0;
  std::int64_t margin_ms = 20;
  std::int64_t retry_ms = 200;
  std::int64_t routers = 2'000;
  std::int64_t connections = 4'096;
};
const config::Record<AggregatorOptions>& aggregator_record();
// What one key alone cannot tell. `router_ttl_ms`: of the permissions that routers ask for. Throws
// config::KeyError.
void check_aggregator(const AggregatorOptions& options, std::int64_t router_ttl_ms);
AggregatorSettings aggregator_settings(const AggregatorOptions& options);

struct AggregationOptions {
  std::vector<std::string> endpoints;  // in the order in which they are asked
};
const config::Record<AggregationOptions>& aggregation_record();
// Throws config::KeyError.
void check_aggregation(const AggregationOptions& options);
// The store as a router sees it behind aggregators: times and prefix of `coordination`, the endpoints of
// `options`.
coordination::CoordinationOptions through_aggregators(coordination::CoordinationOptions coordination,
                                                      const AggregationOptions& options);

}  // namespace trailcourse::aggregation
