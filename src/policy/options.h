// The section `policy` of the operator's file: whether a router applies the fleet's policy, and how it
// handles requests while it does not know which version is in force.
//
// Library `policy`.
#pragma once

#include <cstdint>
#include <string>

#include "config/record.h"
#include "policy/participant.h"
#include "policy/rollout_coordinator.h"

namespace trailcourse::policy {

// The values of the section, named as its keys; docs/configuration.md describes them.
struct PolicyOptions {
  bool follow = false;
  std::string without = "both";
  std::string folder;
  std::int64_t ttl_ms = 3'000;
  std::int64_t renew_ms = 1'000;
  double drift_percent = 1.0;
  std::int64_t margin_ms = 20;
  std::int64_t retry_ms = 200;
  std::int64_t prepare_most_ms = 30'000;
  std::int64_t hold_most_ms = 30'000;
};
// Returns the declaration of the keys. It has static lifetime.
const config::Record<PolicyOptions>& policy_record();
// Checks the constraints between keys. Throws config::KeyError.
void check_policy(const PolicyOptions& options);
// Convert the options for the participant and for the coordinator of rollouts.
ParticipantOptions participant_options(const PolicyOptions& options);
RolloutTimeouts rollout_timeouts(const PolicyOptions& options);

}  // namespace trailcourse::policy
