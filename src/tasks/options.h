// The section `ownership` of the operator's file: the work that a router does for the whole fleet.
//
// Library `tasks`.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "config/record.h"
#include "membership/membership_view.h"
#include "ownership/lease_manager.h"

namespace trailcourse::tasks {

// The values of the section, named as its keys; ownership_record() declares their units and ranges.
struct OwnershipOptions {
  std::vector<std::string> kinds{"probe", "fill", "report", "policy", "acknowledge"};
  std::int64_t ttl_ms = 6'000;
  double drift_percent = 1.0;
  std::int64_t margin_ms = 50;
  std::int64_t renew_ms = 2'000;
  std::int64_t retry_ms = 500;
  std::int64_t turn_ms = 200;
  std::int64_t longest_turn_ms = 2'000;
  std::int64_t settle_ms = 10'000;
  std::int64_t yield_ms = 500;
  std::int64_t stand_back_ms = 5'000;
  std::int64_t most_starts = 3;
  std::int64_t poison_pause_ms = 1'000;
  std::int64_t longest_poison_pause_ms = 60'000;
  std::int64_t most_owned = 64;
  std::int64_t member_ttl_ms = 10'000;
  std::int64_t member_renew_ms = 3'000;
  std::int64_t neighbours = 2;
  std::int64_t neighbour_ms = 5'000;
  std::int64_t neighbour_misses = 2;
  double flap_suppress = 3.0;
  double flap_reuse = 1.0;
  std::int64_t flap_half_life_s = 60;
  std::int64_t suspect_after = 3;
  std::int64_t probe_ms = 1'000;
  std::int64_t probe_timeout_ms = 400;
  std::int64_t verdict_ms = 5'000;
  std::int64_t report_ms = 10'000;
  std::int64_t acknowledge_ms = 250;
  std::int64_t fill_open = 4;
  std::int64_t fill_tries = 5;
  std::int64_t fill_retry_ms = 500;
  std::int64_t fill_patience_ms = 3'000;
};

// Returns the declaration of the section's keys. It has static lifetime.
const config::Record<OwnershipOptions>& ownership_record();

// Checks the constraints between keys. Throws config::KeyError.
void check_ownership(const OwnershipOptions& options);

// Convert the options for the lease manager, for the process's session lease, and for its membership view.
ownership::LeaseManagerOptions lease_manager_options(const OwnershipOptions& options);
ownership::LeaseOptions session_lease_options(const OwnershipOptions& options);
membership::MembershipOptions membership_options(const OwnershipOptions& options);

}  // namespace trailcourse::tasks
