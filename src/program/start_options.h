// The sections of the operator's file that a router uses besides `router`.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "aggregation/options.h"
#include "config/record.h"
#include "coordination/options.h"
#include "policy/options.h"
#include "snapshot/snapshot.h"
#include "startup/options.h"
#include "startup/relay_selector.h"
#include "tasks/options.h"

namespace trailcourse::program {

// The section `relay`, described in start_options.cpp. A router without peers polls the discovery service
// only.
struct RelayOptions {
  std::string listen;
  std::vector<std::string> peers;
  std::int64_t degree = 8;
  std::int64_t linger_ms = 100;
  std::int64_t grace_ms = 100;
  std::int64_t most_age_ms = 1'000;
  std::int64_t pass_over_ms = 500;
  std::int64_t distrust_s = 300;
  double audits_per_s = 1.0;
  std::int64_t connections = 256;
};

// Returns the declaration of the section `relay`.
const config::Record<RelayOptions>& relay_record();

startup::RelaySelectorOptions relay_selector_options(const RelayOptions& options);

// The sections of a router; those that are absent have their defaults.
struct StartSections {
  bool has_startup = false;
  startup::StartOptions startup;
  bool has_snapshot = false;
  snapshot::SnapshotOptions snapshot;
  bool has_relay = false;
  RelayOptions relay;
  coordination::CoordinationOptions coordination;
  aggregation::AggregationOptions aggregation;
  tasks::OwnershipOptions ownership;
  policy::PolicyOptions policy;
};

}  // namespace trailcourse::program
