// Owned work of kind `policy`: runs rollouts of policy versions with policy::RolloutCoordinator.
//
// Library `tasks`, over `policy`. Not thread-safe: it belongs to its scheduler's thread.
#pragma once

#include <string>
#include <vector>

#include "policy/options.h"
#include "policy/rollout_coordinator.h"
#include "tasks/reconcile_task.h"

namespace trailcourse::tasks {

constexpr const char* kPolicyWork = "policy";  // name and kind of the work

// Scheduler and store have to outlive this object.
class PolicyRolloutTask : public ReconcileTask {
 public:
  PolicyRolloutTask(transport::Scheduler& scheduler, coordination::CoordinationStore& store,
                    std::string prefix, const policy::PolicyOptions& options, TaskContext context);

 protected:
  coordination::Transaction snapshot_transaction() const override;
  std::vector<coordination::Range> watched_ranges() const override;
  bool is_relevant(const std::string& key) const override;
  Decision decide(Micros now, const coordination::TransactionResult& outcome) override;

 private:
  policy::RolloutCoordinator coordinator_;
  bool rollout_open_ = true;  // in the last snapshot; true also before the first one
};

}  // namespace trailcourse::tasks
