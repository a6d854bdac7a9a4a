// Simulates in virtual time how a whole fleet polls its discovery server, either when all routers start or
// when the server is available again after an outage. startup::PollScheduler schedules the polls.
#pragma once

#include <trailcourse/decider.h>

#include <cstddef>
#include <cstdint>

#include "startup/options.h"

namespace trailcourse::scale {

// Counts of the answered polls: the first one of each router.
struct DiscoveryPolls {
  std::size_t polls = 0;  // as many as routers
  std::size_t max_in_100_ms = 0;
  std::size_t max_in_second = 0;
  double last_poll_s = 0.0;  // from `available_at` to the last answered poll
};

// Simulates routers that all start within 3 ms. The server rejects polls before `available_at`; 0: it is
// available from the start.
DiscoveryPolls simulate_discovery_polls(const startup::PollOptions& options, int routers, Micros available_at,
                                        std::uint64_t seed);

}  // namespace trailcourse::scale
