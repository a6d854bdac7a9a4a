// The section `policy` of the operator's file: whether a router goes by the fleet's policy, and what it does
// while it cannot know which is in force.
//
// Package `policy`.
#pragma once

#include <cstdint>
#include <string>

#include "config/record.h"
#include "policy/participant.h"
#include "policy/rollout.h"

namespace trailcourse::policy {

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
const config::Record<PolicyOptions>& policy_record();
// What one key alone cannot tell; throws config::KeyError.
void check_policy(const PolicyOptions& options);
ParticipantOptions participant_options(const PolicyOptions& options);
RolloutTimeouts rollout_timeouts(const PolicyOptions& options);

}  // namespace trailcourse::policy
