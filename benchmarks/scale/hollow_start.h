// The calls of a whole fleet at its notice board in virtual time, on the real startup::PollScheduler:
// everybody starts, or a board that was away for an hour is back.
#pragma once

#include <trailcourse/decider.h>

#include <cstddef>
#include <cstdint>

#include "startup/options.h"

namespace trailcourse::scale {

struct BoardCalls {
  std::size_t calls = 0;  // from the board's return until each router has its list
  std::size_t most_in_100_ms = 0;
  std::size_t most_in_second = 0;
  double last_list_s = 0.0;  // after the board's return; each router's first list counts
};

// All routers begin within 3 ms; the board refuses until `back` (0: it is there from the beginning).
BoardCalls measure_board(const startup::PollOptions& rules, int routers, Micros back, std::uint64_t seed);

}  // namespace trailcourse::scale
