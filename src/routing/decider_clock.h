// The clock of the decision module (Decider): Unix time at its construction, and steady from then on.
#pragma once

#include <trailcourse/decider.h>

#include <chrono>
#include <cstdint>

#include "transport/scheduler.h"

namespace trailcourse::routing {

class DeciderClock {
 public:
  DeciderClock() : DeciderClock(transport::Clock::now(), std::chrono::system_clock::now()) {}
  DeciderClock(transport::Clock::time_point steady, std::chrono::system_clock::time_point unix_time)
      : steady_(steady), unix_(std::chrono::duration_cast<Micros>(unix_time.time_since_epoch())) {}

  // Converts a time of the steady clock to the time of the module.
  Micros at(transport::Clock::time_point when) const {
    return unix_ + std::chrono::duration_cast<Micros>(when - steady_);
  }
  // Returns the end of the Unix millisecond `ms`, which is the start of the next one.
  static Micros end_of_unix_ms(std::int64_t ms) { return std::chrono::milliseconds(ms + 1); }

 private:
  transport::Clock::time_point steady_;
  Micros unix_;
};

}  // namespace trailcourse::routing
