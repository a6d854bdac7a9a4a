#include "tasks/policy_rollout_task.h"

#include <utility>

#include "tasks/clock.h"

namespace trailcourse::tasks {

using coordination::Range;

PolicyRolloutTask::PolicyRolloutTask(transport::Scheduler& scheduler, coordination::SharedStore& store,
                                     std::string prefix, const policy::PolicyOptions& options,
                                     TaskContext context)
    : ReconcileTask(scheduler, store, std::move(prefix), std::move(context)),
      driver_(policy::driver_rules(options)) {}

coordination::Transaction PolicyRolloutTask::snapshot_transaction() const { return policy::look(prefix()); }

std::vector<Range> PolicyRolloutTask::watched_ranges() const {
  return {Range{prefix() + policy::kPermits, true}, Range{prefix() + policy::kChangeKey, false}};
}

// Without an open rollout, routers write their reports for other reasons.
bool PolicyRolloutTask::is_relevant(const std::string& key) const {
  return rollout_open_ || key == policy::kChangeKey;
}

ReconcileTask::Decision PolicyRolloutTask::decide(Micros now, const coordination::Outcome& outcome) {
  const policy::Seen snapshot = policy::read_seen(prefix(), outcome);
  rollout_open_ = snapshot.change && snapshot.change->open();
  std::optional<policy::Step> step = driver_.next(now, snapshot);
  Decision decision;
  if (!step) {
    decision.next_step_at = driver_.due();
    return decision;
  }
  decision.log_text = "change " + std::to_string(step->change.id) + " to version " +
                      std::to_string(step->change.version) + ": " + step->audit;
  step->audit = std::to_string(unix_now_ms()) + " " + step->audit;
  decision.write = policy::carry_out(prefix(), snapshot, *step);
  return decision;
}

}  // namespace trailcourse::tasks
