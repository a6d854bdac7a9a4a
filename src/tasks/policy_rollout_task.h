// The task of driving changes of policy, by policy::Driver.
//
// Package `tasks`, over `policy`. One thread.
#pragma once

#include <string>
#include <vector>

#include "policy/change.h"
#include "policy/options.h"
#include "tasks/reconcile_task.h"

namespace trailcourse::tasks {

constexpr const char* kPolicyWork = "policy";  // name and kind of the work

class PolicyRolloutTask : public ReconcileTask {
 public:
  PolicyRolloutTask(transport::Scheduler& scheduler, coordination::SharedStore& store, std::string prefix,
                    const policy::PolicyOptions& options, TaskContext context);

 protected:
  coordination::Transaction looks_at() const override;
  std::vector<coordination::Range> follows() const override;
  Decision decide(Micros now, const coordination::Outcome& seen) override;
  bool concerns(const std::string& key) const override;

 private:
  policy::Driver driver_;
  bool change_open_ = true;  // as it was seen last; true before
};

}  // namespace trailcourse::tasks
