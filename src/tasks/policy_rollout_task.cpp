#include "tasks/policy_rollout_task.h"

#include <chrono>
#include <utility>

namespace trailcourse::tasks {

using coordination::Range;

namespace {

std::int64_t unix_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

PolicyRolloutTask::PolicyRolloutTask(transport::Scheduler& scheduler, coordination::SharedStore& store,
                                     std::string prefix, const policy::PolicyOptions& options,
                                     TaskContext context)
    : ReconcileTask(scheduler, store, std::move(prefix), std::move(context)),
      driver_(policy::driver_rules(options)) {}

coordination::Transaction PolicyRolloutTask::looks_at() const { return policy::look(prefix()); }

std::vector<Range> PolicyRolloutTask::follows() const {
  return {Range{prefix() + policy::kPermits, true}, Range{prefix() + policy::kChangeKey, false}};
}

// Permits say nothing to it while no change is open: they may be written for other reasons.
bool PolicyRolloutTask::concerns(const std::string& key) const {
  return change_open_ || key == policy::kChangeKey;
}

ReconcileTask::Decision PolicyRolloutTask::decide(Micros now, const coordination::Outcome& outcome) {
  const policy::Seen seen = policy::read_seen(prefix(), outcome);
  change_open_ = seen.change && seen.change->open();
  std::optional<policy::Step> step = driver_.next(now, seen);
  Decision out;
  if (!step) {
    out.look_at = driver_.due();
    return out;
  }
  out.step = "change " + std::to_string(step->change.id) + " to version " +
             std::to_string(step->change.version) + ": " + step->audit;
  step->audit = std::to_string(unix_ms()) + " " + step->audit;
  out.write = policy::carry_out(prefix(), seen, *step);
  return out;
}

}  // namespace trailcourse::tasks
