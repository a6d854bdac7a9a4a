#include "tasks/policy_rollout_task.h"

#include <utility>

#include "policy/rollout_transactions.h"
#include "tasks/clock.h"

namespace trailcourse::tasks {

using coordination::Range;

PolicyRolloutTask::PolicyRolloutTask(transport::Scheduler& scheduler, coordination::CoordinationStore& store,
                                     std::string prefix, const policy::PolicyOptions& options,
                                     TaskContext context)
    : ReconcileTask(scheduler, store, std::move(prefix), std::move(context)),
      coordinator_(policy::rollout_timeouts(options)) {}

coordination::Transaction PolicyRolloutTask::snapshot_transaction() const {
  return policy::snapshot_transaction(prefix());
}

std::vector<Range> PolicyRolloutTask::watched_ranges() const {
  return {Range{prefix() + policy::kReportPrefix, true}, Range{prefix() + policy::kRolloutKey, false}};
}

// Without an open rollout, changes of routers' reports do not matter.
bool PolicyRolloutTask::is_relevant(const std::string& key) const {
  return rollout_open_ || key == policy::kRolloutKey;
}

ReconcileTask::Decision PolicyRolloutTask::decide(Micros now,
                                                  const coordination::TransactionResult& outcome) {
  const policy::RolloutSnapshot snapshot = policy::read_snapshot(prefix(), outcome);
  rollout_open_ = snapshot.rollout && snapshot.rollout->is_open();
  std::optional<policy::RolloutStep> step = coordinator_.step(now, snapshot);
  Decision decision;
  if (!step) {
    decision.next_step_at = coordinator_.next_step_at();
    return decision;
  }
  decision.log_text = "rollout " + std::to_string(step->rollout.id) + " to version " +
                      std::to_string(step->rollout.target_version) + ": " + step->audit;
  step->audit = std::to_string(unix_now_ms()) + " " + step->audit;
  decision.write = policy::execute_transaction(prefix(), snapshot, *step);
  return decision;
}

}  // namespace trailcourse::tasks
