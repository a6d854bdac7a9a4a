// The options of the section `aggregator` of the operator's file, for an aggregator's process, and of the
// section `aggregation`, for a router that uses aggregators.
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

// The keys of the section `aggregator`; their descriptions stand in aggregator_record().
struct AggregatorOptions {
  std::string listen;
  std::string name;
  std::vector<std::string> zones;
  std::string
      board;  // of the discovery service; empty: this aggregator coordinates no acknowledgement rounds
  std::int64_t ttl_ms = 4'000;
  std::int64_t renew_ms = 500;
  double drift_percent = 1.0;
  std::int64_t margin_ms = 20;
  std::int64_t retry_ms = 200;
  std::int64_t routers = 2'000;
  std::int64_t connections = 4'096;
};
const config::Record<AggregatorOptions>& aggregator_record();
// Checks what depends on more than one key. `router_ttl_ms` is the time of the leases that routers request.
// Throws config::KeyError.
void check_aggregator(const AggregatorOptions& options, std::int64_t router_ttl_ms);
AggregatorSettings aggregator_settings(const AggregatorOptions& options);

// The keys of the section `aggregation`.
struct AggregationOptions {
  std::vector<std::string> endpoints;  // in the order in which they are tried
};
const config::Record<AggregationOptions>& aggregation_record();
// Throws config::KeyError.
void check_aggregation(const AggregationOptions& options);
// Returns the options by which a router reaches the store through aggregators: timeouts and prefix of
// `coordination`, endpoints of `options`.
coordination::CoordinationOptions through_aggregators(coordination::CoordinationOptions coordination,
                                                      const AggregationOptions& options);

}  // namespace trailcourse::aggregation
