#include "tasks/policy_change_task.h"

#include <chrono>
#include <utility>

#include "policy/rollout_transactions.h"

namespace trailcourse::tasks {

using coordination::Range;

namespace {

std::int64_t unix_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

PolicyChangeTask::PolicyChangeTask(transport::Scheduler& scheduler, coordination::CoordinationStore& store,
                                   std::string prefix, const policy::PolicyOptions& options,
                                   TaskContext context)
    : StoreDriverTask(scheduler, store, std::move(prefix), std::move(context)),
      coordinator_(policy::rollout_timeouts(options)) {}

coordination::Transaction PolicyChangeTask::looks_at() const {
  return policy::snapshot_transaction(prefix());
}

std::vector<Range> PolicyChangeTask::follows() const {
  return {Range{prefix() + policy::kReportPrefix, true}, Range{prefix() + policy::kRolloutKey, false}};
}

// Permits say nothing to it while no change is open: they may be written for other reasons.
bool PolicyChangeTask::concerns(const std::string& key) const {
  return change_open_ || key == policy::kRolloutKey;
}

StoreDriverTask::Decision PolicyChangeTask::decide(Micros now,
                                                   const coordination::TransactionResult& outcome) {
  const policy::RolloutSnapshot seen = policy::read_snapshot(prefix(), outcome);
  change_open_ = seen.rollout && seen.rollout->is_open();
  std::optional<policy::RolloutStep> step = coordinator_.step(now, seen);
  Decision out;
  if (!step) {
    out.look_at = coordinator_.next_step_at();
    return out;
  }
  out.step = "change " + std::to_string(step->rollout.id) + " to version " +
             std::to_string(step->rollout.target_version) + ": " + step->audit;
  step->audit = std::to_string(unix_ms()) + " " + step->audit;
  out.write = policy::execute_transaction(prefix(), seen, *step);
  return out;
}

}  // namespace trailcourse::tasks
