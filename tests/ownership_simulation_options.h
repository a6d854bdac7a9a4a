// Sizes, times and options of the ownership simulation (ownership_simulation.cpp). The seeds of its tests
// depend on every value.
#pragma once

#include <chrono>
#include <cstdint>

#include "ownership/lease_manager_types.h"
#include "ownership_simulation.h"
#include "virtual_world.h"

namespace trailcourse::ownership {

constexpr int kRouters = 4;
constexpr std::uint64_t kShards = 3;
constexpr Micros kFaultsEnd = std::chrono::seconds(60);
constexpr Micros kEnd = std::chrono::seconds(100);
constexpr Micros kStepPeriod = std::chrono::milliseconds(50);
constexpr Micros kExpiryPeriod = std::chrono::milliseconds(50);
constexpr int kClockErrorPartsPerMillion = 1'000;
constexpr Micros kMaxClockOffset = std::chrono::seconds(100);

inline testing_support::CallRules simulation_call_rules() {
  testing_support::CallRules rules;
  rules.lost_percent = 4;
  rules.late_percent = 15;
  rules.late_by_highest_draws = true;  // as when the seeds of this simulation were recorded
  rules.usual = std::chrono::milliseconds(20);
  rules.late = std::chrono::seconds(5);
  rules.timeout = std::chrono::seconds(1);
  return rules;
}

inline LeaseManagerOptions simulation_manager_options(SeededDefect defect) {
  LeaseManagerOptions options;
  options.lease.ttl = std::chrono::seconds(3);
  options.lease.renew_after = std::chrono::seconds(1);
  options.lease.retry_backoff = std::chrono::milliseconds(300);
  options.handover_delay = std::chrono::seconds(4);
  options.restart_backoff = std::chrono::milliseconds(200);
  options.max_restart_backoff = std::chrono::milliseconds(400);
  options.max_starts = 1'000;  // routers crash by random faults here, so their work is never parked
  if (defect == SeededDefect::kNoDriftBound) {
    options.lease.drift = 0.0;
    options.lease.margin = Micros(0);
  }
  return options;
}

}  // namespace trailcourse::ownership
