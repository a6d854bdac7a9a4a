// The coordinator of a policy rollout, which decides on the next transition from a snapshot of the store. It
// runs as owned work. The store rejects the late write of a coordinator that was replaced, since the record
// has changed meanwhile. A successor has only the snapshot, and its timeouts start again.
//
// Library `policy`: no I/O, no clock; time is Micros of the caller's steady clock. Not thread-safe.
#pragma once

#include <trailcourse/decider.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "policy/rollout.h"
#include "policy/rollout_snapshot.h"

namespace trailcourse::policy {

// Timeouts after which a rollout is aborted.
struct RolloutTimeouts {
  Micros prepare_timeout{30'000'000};  // until all participants are ready
  Micros suspend_timeout{30'000'000};  // until all participants have suspended; longer than any lease
};

class RolloutCoordinator {
 public:
  explicit RolloutCoordinator(const RolloutTimeouts& timeouts) : timeouts_(timeouts) {}

  // Returns the next transition, or nothing if the snapshot allows none now.
  std::optional<RolloutStep> step(Micros now, const RolloutSnapshot& snapshot);
  // Returns the time at which step() may return a transition without any change in the store, or nothing if
  // there is no such time.
  std::optional<Micros> next_step_at() const { return next_step_at_; }

 private:
  struct RequestCounts {
    std::uint64_t requests = 0;
    std::uint64_t failed = 0;
  };

  void record_state(Micros now, const Rollout& rollout);
  std::optional<RolloutStep> step_preparing(Micros now, const RolloutSnapshot& snapshot);
  std::optional<RolloutStep> step_suspending(Micros now, const RolloutSnapshot& snapshot);
  static std::optional<RolloutStep> step_committed(const RolloutSnapshot& snapshot);
  std::optional<RolloutStep> step_watching(Micros now, const RolloutSnapshot& snapshot);
  std::optional<RolloutStep> abort_at(Micros now, Micros deadline, const Rollout& rollout,
                                      const std::string& reason);
  RequestCounts counts_while_watching(const RolloutSnapshot& snapshot);

  RolloutTimeouts timeouts_;
  StageId stage_ = 0;
  RolloutState state_ = RolloutState::kPreparing;
  Micros state_since_{0};
  std::optional<Micros> next_step_at_;
  std::map<std::string, RequestCounts> initial_counts_;  // of each process when watching began
};

}  // namespace trailcourse::policy
