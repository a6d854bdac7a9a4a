// The polls of a whole fleet at its discovery server in virtual time, scheduled by startup::PollScheduler:
// either the whole fleet starts, or the server returns after an outage.
#pragma once

#include <trailcourse/decider.h>

#include <cstddef>
#include <cstdint>

#include "startup/options.h"

namespace trailcourse::scale {

// Counts of the polls from the time at which the server is available until each router has its list.
struct DiscoveryPolls {
  std::size_t polls = 0;
  std::size_t max_in_100_ms = 0;
  std::size_t max_in_second = 0;
  double last_poll_s = 0.0;  // from the return of the server to the last router's first answered poll
};

// All routers start within 3 ms. The server rejects polls before `available_at`; 0: it is available from the
// start.
DiscoveryPolls simulate_discovery_polls(const startup::PollOptions& options, int routers, Micros available_at,
                                        std::uint64_t seed);

}  // namespace trailcourse::scale
