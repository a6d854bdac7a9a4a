// Decides when this router polls the discovery service: at startup, after updates, after a rejection, a
// timeout or a broken connection, and after the address of the service has changed.
//
// The bound (derived in docs/cold-start.md): with N routers and a service that can serve R calls per second,
// the first poll is drawn uniformly from a window of W = 2.4·N/R, and each poll after a failed one from a
// window of 2W, which begins no earlier than Retry-After. Whenever and for any reason the routers start,
// the expected number of their polls in any L seconds is at most N·L/W·(1 + e/2) <= R·L. The draws
// are independent, so the number stays within R·L + 6·sqrt(R·L) + 12 except in one interval in millions.
//
// Library `startup`.
#pragma once

#include <cstdint>
#include <random>

#include "startup/options.h"

namespace trailcourse::startup {

// How a poll of the discovery service ended.
enum class PollResult {
  kUpdates,       // the answer has new events
  kNoUpdates,     // the answer has none; it came at once or at the end of the long poll
  kRejected,      // a status other than 200, with or without Retry-After
  kTimeout,       // no answer in time
  kDisconnected,  // the connection failed or was closed before the answer
  kInvalid        // the answer is malformed or has an older sequence number
};

// The next poll of the discovery service.
struct ScheduledPoll {
  Micros at{0};                 // when to send it
  Micros long_poll_timeout{0};  // how long the service may hold it; 0 for a probe
  bool probe = false;           // a short call that only checks whether the service is available again
};

// Schedules the polls of one router so that those of the whole fleet stay within the bound above.
class PollScheduler {
 public:
  PollScheduler(const PollOptions& options, std::uint64_t seed) : options_(options), random_(seed) {}

  // Sets the number of routers that poll the same service. Polls already scheduled do not change.
  void set_fleet_size(int routers) { routers_ = routers > 0 ? routers : 1; }

  // Schedules the first poll, at startup or at a new address of the service. Resets the count of failures.
  ScheduledPoll first_poll(Micros now);

  // Schedules the poll that follows one which was sent at `started` and ended at `now`. `retry_after` is the
  // Retry-After of the answer, 0 where it has none.
  ScheduledPoll next_poll(Micros started, Micros now, PollResult result, Micros retry_after);

  // Records that the response to a poll arrived after the poll had counted as failed by kTimeout. Resets the
  // count of failures.
  void on_late_response() { failures_ = 0; }

  int consecutive_failures() const { return failures_; }

  // Returns whether only probes are scheduled, after `probe_after_failures` consecutive failures.
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
