// The coordinator of acknowledgement rounds: decides on the record's next state. It runs as owned work; one
// that was replaced and acts late is rejected by the store, since the record has changed meanwhile.
//
// Package `policy`: no I/O, no clock; time is Micros of the caller's steady clock. Not thread-safe.
#pragma once

#include <trailcourse/decider.h>

#include <optional>

#include "policy/acknowledgement.h"

namespace trailcourse::policy {

class AcknowledgementCoordinator {
 public:
  // `min_round_interval`: the least time between the starts of two rounds.
  explicit AcknowledgementCoordinator(Micros min_round_interval) : min_round_interval_(min_round_interval) {}

  // Returns the record as it is to be written, or nothing if it does not change. `position` is that of
  // the coordinator's own process; a round requests no more than that.
  std::optional<Acknowledgement> step(Micros now, const AcknowledgementSnapshot& snapshot,
                                      const DiscoveryPosition& position);
  // Returns when step() may give another answer by time alone; nothing if only a change in the store can.
  std::optional<Micros> next_step_at() const { return next_step_at_; }

 private:
  bool start_round(Micros now);

  Micros min_round_interval_;
  std::optional<Micros> round_started_at_;
  std::optional<Micros> next_step_at_;
};

}  // namespace trailcourse::policy
