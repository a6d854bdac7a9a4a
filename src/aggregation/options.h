// The sections of the operator's file for aggregation: `aggregator` for the process of an aggregator, and
// `aggregation` for a router that uses aggregators.
//
// Library `aggregation`.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "aggregation/aggregator.h"
#include "config/record.h"
#include "coordination/options.h"

namespace trailcourse::aggregation {

// The values of the section `aggregator`, named as its keys; aggregator_record() declares their units and
// ranges.
struct AggregatorOptions {
  std::string listen;
  std::string name;
  std::vector<std::string> zones;
  // Address of the discovery service. If it is empty, this aggregator coordinates no acknowledgement rounds.
  std::string board;
  std::int64_t ttl_ms = 4'000;
  std::int64_t renew_ms = 500;
  double drift_percent = 1.0;
  std::int64_t margin_ms = 20;
  std::int64_t retry_ms = 200;
  std::int64_t routers = 2'000;
  std::int64_t connections = 4'096;
};
// Returns the declaration of the keys. It has static lifetime.
const config::Record<AggregatorOptions>& aggregator_record();
// Checks addresses, names and the constraints between keys. `router_ttl_ms` is the duration of the leases
// that routers request. Throws config::KeyError.
void check_aggregator(const AggregatorOptions& options, std::int64_t router_ttl_ms);
// Returns the settings of the aggregator.
AggregatorSettings aggregator_settings(const AggregatorOptions& options);

// The values of the section `aggregation`, named as its keys.
struct AggregationOptions {
  std::vector<std::string> endpoints;  // in the order in which they are tried
};
// Returns the declaration of the keys. It has static lifetime.
const config::Record<AggregationOptions>& aggregation_record();
// Checks the addresses. Throws config::KeyError.
void check_aggregation(const AggregationOptions& options);
// Returns the options with which a router connects to the store through aggregators: those of `coordination`,
// with the endpoints of `options`.
coordination::CoordinationOptions through_aggregators(coordination::CoordinationOptions coordination,
                                                      const AggregationOptions& options);

}  // namespace trailcourse::aggregation
