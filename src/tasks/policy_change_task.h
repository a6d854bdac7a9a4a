// The task of driving changes of policy, by policy::RolloutCoordinator.
//
// Package `tasks`, over `policy`. One thread.
#pragma once

#include <string>
#include <vector>

#include "policy/options.h"
#include "policy/rollout_coordinator.h"
#include "tasks/store_driver_task.h"

namespace trailcourse::tasks {

constexpr const char* kPolicyWork = "policy";  // name and kind of the work

class PolicyChangeTask : public StoreDriverTask {
 public:
  PolicyChangeTask(transport::Scheduler& scheduler, coordination::CoordinationStore& store,
                   std::string prefix, const policy::PolicyOptions& options, TaskContext context);

 protected:
  coordination::Transaction looks_at() const override;
  std::vector<coordination::Range> follows() const override;
  Decision decide(Micros now, const coordination::TransactionResult& seen) override;
  bool concerns(const std::string& key) const override;

 private:
  policy::RolloutCoordinator coordinator_;
  bool change_open_ = true;  // as it was seen last; true before
};

}  // namespace trailcourse::tasks
