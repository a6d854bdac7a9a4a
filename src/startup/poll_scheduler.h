// Decides when this router polls the discovery service: at the start, after updates, after a rejection, a
// timeout or a broken connection, and after the service has moved.
//
// The bound (derived in docs/cold-start.md). With N routers and a service that bears R calls a second, the
// first window is W = 2.4·N/R, and each poll after a failed one is drawn evenly from a window of 2W, which
// begins no sooner than Retry-After asks. Whenever the routers began, and whatever made them begin, the
// expected number of polls of all of them in any L seconds is N·L/W·(1 + e/2) <= R·L at most. The draws are
// independent, so the sum stays within R·L + 6·sqrt(R·L) + 12 but for one stretch in millions.
//
// Package `startup`.
#pragma once

#include <cstdint>
#include <random>

#include "startup/options.h"

namespace trailcourse::startup {

// How a poll of the discovery service ended.
enum class PollResult {
  kUpdates,       // events that were not known
  kNoUpdates,     // no event, at once or at the end of the long poll
  kRejected,      // a status other than 200, with or without Retry-After
  kTimeout,       // no answer in time
  kDisconnected,  // the connection failed, or ended before the answer
  kInvalid        // an answer that cannot be used, or one with an older sequence number
};

// The next poll, as decided by PollScheduler.
struct ScheduledPoll {
  Micros at{0};                 // when to begin it
  Micros long_poll_timeout{0};  // how long the service may hold it; 0 for a probe
  bool probe = false;           // a short call that only finds out whether the service is back
};

// Schedules the polls of one router so that the sum over the fleet stays within the stated bound.
class PollScheduler {
 public:
  PollScheduler(const PollOptions& options, std::uint64_t seed) : options_(options), random_(seed) {}

  // Sets the number of routers that poll the same service. Polls that are scheduled already stay as they are.
  void set_fleet_size(int routers) { routers_ = routers > 0 ? routers : 1; }

  // Schedules the first poll, also after the service has moved. Earlier failures are forgotten.
  ScheduledPoll first_poll(Micros now);

  // Schedules the poll after one that began at `started` and ended at `now`. `retry_after` is the time that
  // the service asked for, 0 where it named none.
  ScheduledPoll next_poll(Micros started, Micros now, PollResult result, Micros retry_after);

  int consecutive_failures() const { return failures_; }

  // Returns whether so many polls failed that only probes are scheduled.
  bool only_probes() const { return failures_ >= options_.probe_after_failures; }

 private:
  Micros backoff_window(int doublings) const;
  Micros jitter(Micros longest);
  Micros long_poll_timeout() const;

  PollOptions options_;
  std::mt19937_64 random_;
  int routers_ = 1;
  int failures_ = 0;
};

}  // namespace trailcourse::startup
