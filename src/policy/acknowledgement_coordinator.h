// The coordinator of acknowledgement rounds, which decides on the record's next state. It runs as owned work.
// The store rejects the late write of a coordinator that was replaced, since the record has changed
// meanwhile.
//
// Library `policy`: no I/O, no clock; time is Micros of the caller's steady clock. Not thread-safe.
#pragma once

#include <trailcourse/decider.h>

#include <optional>

#include "policy/acknowledgement.h"

namespace trailcourse::policy {

class AcknowledgementCoordinator {
 public:
  // `min_round_interval` is the shortest time between the starts of two rounds.
  explicit AcknowledgementCoordinator(Micros min_round_interval) : min_round_interval_(min_round_interval) {}

  // Returns the record to write, or nothing if it does not change. `position` is that of the coordinator's
  // own process; a round requests no later position.
  std::optional<Acknowledgement> step(Micros now, const AcknowledgementSnapshot& snapshot,
                                      const DiscoveryPosition& position);
  // Returns the time at which step() may return another result without any change in the store, or nothing if
  // there is no such time.
  std::optional<Micros> next_step_at() const { return next_step_at_; }

 private:
  bool start_round(Micros now);

  Micros min_round_interval_;
  std::optional<Micros> round_started_at_;
  std::optional<Micros> next_step_at_;
};

}  // namespace trailcourse::policy
